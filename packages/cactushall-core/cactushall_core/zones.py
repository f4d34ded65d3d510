"""Which availability zone a caller is near."""

from __future__ import annotations

import ipaddress
import typing

from cactushall_core import configuration, identifiers

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class ZoneMap:
    """Networks of callers and their availability zones."""

    def __init__(self, zones: typing.Iterable[configuration.Zone] = ()) -> None:
        """Take in the zones of a configuration that has been checked."""
        self._networks: list[tuple[Network, identifiers.ZoneName]] = [
            (ipaddress.ip_network(network), zone.name)
            for zone in zones
            for network in zone.caller_networks
        ]
        self._networks.sort(key=lambda item: -item[0].prefixlen)

    @property
    def is_empty(self) -> bool:
        """Whether no zone names a network."""
        return not self._networks

    def zone_of(self, host: str) -> identifiers.ZoneName | None:
        """Return the zone with the longest network that holds an address.

        Args:
            host: A numeric IP address.
        """
        if self.is_empty:
            return None
        address = ipaddress.ip_address(host)
        for network, zone in self._networks:
            if address in network:
                return zone
        return None
