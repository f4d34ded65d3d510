"""Lookup of the availability zone nearest to a caller."""

from __future__ import annotations

import ipaddress
import typing

from cactushall_core import configuration, identifiers

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class ZoneMap:
    """Maps callers' networks to availability zones; the longest prefix wins."""

    def __init__(self, zones: typing.Iterable[configuration.Zone] = ()) -> None:
        """Build the map.

        Args:
            zones: Zones of a validated configuration.
        """
        self._networks: list[tuple[Network, identifiers.ZoneName]] = [
            (ipaddress.ip_network(network), zone.name)
            for zone in zones
            for network in zone.caller_networks
        ]
        self._networks.sort(key=lambda item: -item[0].prefixlen)

    @property
    def is_empty(self) -> bool:
        """Whether no zone lists a network."""
        return not self._networks

    def zone_of(self, host: str) -> identifiers.ZoneName | None:
        """Return the zone of the most specific network that contains an address.

        Args:
            host: A numeric IP address.

        Returns:
            The zone, or None where no network contains the address.
        """
        if self.is_empty:
            return None
        address = ipaddress.ip_address(host)
        for network, zone in self._networks:
            if address in network:
                return zone
        return None
