"""Steering of callers' datagrams to the home agents of their flows.

An entry keeps no state per flow. Later packets carry their home in the connection
id; a first packet is placed by rendezvous hashing of the id that its caller chose.
"""

from __future__ import annotations

import dataclasses
import enum
import os
import typing

import msgspec

from cactushall_core import (
    addresses,
    connection_id,
    identifiers,
    keys,
    quic_header,
    rendezvous,
    zones,
)
from cactushall_core.membership import records

UNKNOWN_HOME_GRACE_SECONDS = 3.0
UNREACHABLE_PORT_TTL_SECONDS = 5.0
MAX_UNKNOWN_HOMES = 4096
MAX_DEPARTED_HOMES = 4096
MIN_RESET_BYTES = 21
MAX_RESET_BYTES = 64


class Forward(msgspec.Struct, frozen=True):
    """Forward the datagram to an agent.

    Attributes:
        home: The endpoint that gets the datagram.
        tunnel_address: Where its agent receives datagrams.
        zone: The agent's availability zone.
    """

    home: identifiers.HomeId
    tunnel_address: addresses.Address
    zone: identifiers.ZoneName


class Reset(msgspec.Struct, frozen=True):
    """Answer the caller with a stateless reset.

    Attributes:
        datagram: The reset to send.
    """

    datagram: bytes


class DropReason(enum.Enum):
    """Why a datagram is dropped.

    Attributes:
        MALFORMED: It is no QUIC packet.
        FOREIGN_ID: Its connection id was not issued for the service.
        UNKNOWN_HOME: The home is unknown, and no reset is sent.
        NO_BACKEND_SERVER: The service has no backend server.
        UNKNOWN_SERVICE: The service is not configured.
    """

    MALFORMED = "malformed"
    FOREIGN_ID = "foreign_id"
    UNKNOWN_HOME = "unknown_home"
    NO_BACKEND_SERVER = "no_backend_server"
    UNKNOWN_SERVICE = "unknown_service"


class Drop(msgspec.Struct, frozen=True):
    """Drop the datagram and count it."""

    reason: DropReason


Decision = Forward | Reset | Drop

_DROPS = {reason: Drop(reason) for reason in DropReason}


@dataclasses.dataclass
class _ServiceTable:
    keys: connection_id.ServiceKeys
    targets: dict[identifiers.HomeId, Forward] = dataclasses.field(default_factory=dict)
    eligible: dict[identifiers.HomeId, Forward] = dataclasses.field(
        default_factory=dict
    )
    departed: dict[identifiers.HomeId, None] = dataclasses.field(default_factory=dict)
    unknown_since: dict[identifiers.HomeId, float] = dataclasses.field(
        default_factory=dict
    )


class Steering:
    """Steering tables of one entry: the homes of each service and their addresses."""

    def __init__(self, key_ring: tuple[keys.Key, ...]) -> None:
        """Create empty tables.

        Args:
            key_ring: Keys that authenticate connection ids, the signing key first.
        """
        self._key_ring = key_ring
        self._services: dict[identifiers.ServiceName, _ServiceTable] = {}
        self._zone_map = zones.ZoneMap()
        self._unreachable_since: dict[addresses.Address, float] = {}

    def set_services(self, names: typing.Iterable[identifiers.ServiceName]) -> None:
        """Create and delete tables so that exactly these services have one."""
        wanted = set(names)
        for name in wanted - self._services.keys():
            service_keys = connection_id.make_service_keys(self._key_ring, name)
            self._services[name] = _ServiceTable(service_keys)
        for name in self._services.keys() - wanted:
            del self._services[name]

    def set_zones(self, zone_map: zones.ZoneMap) -> None:
        """Set which zone is preferred for each caller's first packets."""
        self._zone_map = zone_map

    def load_members(self, members: typing.Iterable[records.Record]) -> None:
        """Rebuild all tables from the records of all members."""
        for table in self._services.values():
            table.targets.clear()
            table.eligible.clear()
        for record in members:
            self.update_member(record)

    def update_member(self, record: records.Record) -> None:
        """Update the tables with the changed record of one member."""
        if record.status is records.Status.ALIVE:
            self._unreachable_since.pop(record.member.tunnel_address, None)
        for endpoint in record.member.endpoints:
            table = self._services.get(endpoint.service)
            if table is not None:
                _apply_endpoint(table, record, endpoint)

    def steer(
        self,
        service: identifiers.ServiceName,
        datagram: bytes,
        caller_host: str,
        now: float,
    ) -> Decision:
        """Decide what to do with a datagram.

        Args:
            service: The service whose address the datagram was sent to.
            datagram: The payload of the datagram.
            caller_host: The caller's IP address.
            now: Current time in seconds.
        """
        table = self._services.get(service)
        if table is None:
            return _DROPS[DropReason.UNKNOWN_SERVICE]
        header = quic_header.parse(datagram)
        if header is None:
            return _DROPS[DropReason.MALFORMED]
        home = connection_id.decode(table.keys, header.destination_cid)
        if home is not None:
            target = table.targets.get(home)
            if target is None:
                return _steer_unknown_home(table, home, header, datagram, now)
            if self._unreachable_since and self._is_port_unreachable(
                target.tunnel_address, now
            ):
                return _reset_flow(table, header, datagram)
            return target
        if header.is_initial or header.is_version_unknown:
            return self._steer_first_packet(table, header, caller_host, now)
        return _DROPS[DropReason.FOREIGN_ID]

    def mark_port_unreachable(self, address: addresses.Address, now: float) -> None:
        """Mark an address whose VM has reported the port as unreachable.

        No agent listens there: it has ended, and its flows with it. A VM that is
        merely silent may be paused; the membership protocol decides about it.
        """
        self._unreachable_since[address] = now

    def _is_port_unreachable(self, address: addresses.Address, now: float) -> bool:
        since = self._unreachable_since.get(address)
        if since is None:
            return False
        if now - since > UNREACHABLE_PORT_TTL_SECONDS:
            del self._unreachable_since[address]
            return False
        return True

    def _steer_first_packet(
        self,
        table: _ServiceTable,
        header: quic_header.Header,
        caller_host: str,
        now: float,
    ) -> Decision:
        candidates = list((table.eligible or table.targets).values())
        if self._unreachable_since:
            reachable = [
                target
                for target in candidates
                if not self._is_port_unreachable(target.tunnel_address, now)
            ]
            candidates = reachable or candidates
        zone = self._zone_map.zone_of(caller_host)
        local_targets = [target for target in candidates if target.zone == zone]
        candidates = local_targets or candidates
        if not candidates:
            return _DROPS[DropReason.NO_BACKEND_SERVER]
        ranked = rendezvous.rank(
            header.destination_cid, candidates, _target_home, _equal_weight, 1
        )
        return ranked[0]


def stateless_reset(
    service_keys: connection_id.ServiceKeys, cid: bytes, received_bytes: int
) -> bytes | None:
    """Return a stateless reset for a packet with a valid connection id.

    Args:
        service_keys: Keys of the service that the packet was sent to.
        cid: The packet's destination connection id, already verified.
        received_bytes: Size of the packet. The reset is smaller, so that two endpoints
            cannot answer each other's resets forever.

    Returns:
        The reset, or None where the packet is too small to be answered.

    Source: RFC 9000 section 10.3.
    """
    size = min(received_bytes - 1, MAX_RESET_BYTES)
    if size < MIN_RESET_BYTES:
        return None
    token = connection_id.reset_token(service_keys, cid)
    unpredictable = bytearray(os.urandom(size - len(token)))
    unpredictable[0] = unpredictable[0] & 0x3F | quic_header.FIXED_BIT
    return bytes(unpredictable) + token


def _apply_endpoint(
    table: _ServiceTable, record: records.Record, endpoint: records.Endpoint
) -> None:
    table.targets.pop(endpoint.home, None)
    table.eligible.pop(endpoint.home, None)
    if not record.is_present:
        table.departed[endpoint.home] = None
        if len(table.departed) > MAX_DEPARTED_HOMES:
            del table.departed[next(iter(table.departed))]
        return
    table.departed.pop(endpoint.home, None)
    table.unknown_since.pop(endpoint.home, None)
    target = Forward(endpoint.home, record.member.tunnel_address, record.member.zone)
    table.targets[endpoint.home] = target
    if record.status is records.Status.ALIVE and not endpoint.is_draining:
        table.eligible[endpoint.home] = target


def _steer_unknown_home(
    table: _ServiceTable,
    home: identifiers.HomeId,
    header: quic_header.Header,
    datagram: bytes,
    now: float,
) -> Decision:
    """Reset a flow whose home has departed.

    A home that was never known may be new: its packets are dropped for a grace period
    first.
    """
    if home not in table.departed:
        since = table.unknown_since.setdefault(home, now)
        if len(table.unknown_since) > MAX_UNKNOWN_HOMES:
            del table.unknown_since[next(iter(table.unknown_since))]
        if now - since < UNKNOWN_HOME_GRACE_SECONDS:
            return _DROPS[DropReason.UNKNOWN_HOME]
    return _reset_flow(table, header, datagram)


def _reset_flow(
    table: _ServiceTable, header: quic_header.Header, datagram: bytes
) -> Decision:
    if header.is_long:
        return _DROPS[DropReason.UNKNOWN_HOME]
    reset = stateless_reset(table.keys, header.destination_cid, len(datagram))
    if reset is None:
        return _DROPS[DropReason.UNKNOWN_HOME]
    return Reset(reset)


def _target_home(target: Forward) -> int:
    return target.home


def _equal_weight(_: Forward) -> float:
    return 1.0
