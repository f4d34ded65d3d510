"""Finds the entries with which the owner of a flow registers it.

Agents and entries that know the same entries find the same ones. Where an entry joins
or is gone, only its share of the flows is registered elsewhere.

Source: Karger et al., "Consistent Hashing and Random Trees", STOC 1997.
"""

from __future__ import annotations

import bisect
import hashlib
import typing

from cactushall_core import addresses, identifiers
from cactushall_core.flows import packets

REGISTRARS_PER_FLOW = 2
POINTS_PER_ENTRY = 16
POINT_BYTES = 8


class Registrar(typing.NamedTuple):
    """An entry with which flows are registered.

    Attributes:
        address: Its address for messages.
        member: Its id, which is another one after each start.
    """

    address: addresses.Address
    member: identifiers.MemberId


class RegistrarRing:
    """Entries as points on a ring; a flow's registrars are the next ones on it."""

    def __init__(self) -> None:
        """Start without entries."""
        self._members: dict[addresses.Address, identifiers.MemberId] = {}
        self._points: list[tuple[int, addresses.Address]] = []

    def add(self, registrar: Registrar) -> None:
        """Add an entry, in place of a predecessor at its address."""
        if registrar.address not in self._members:
            for point in _points_of(registrar.address):
                bisect.insort(self._points, point)
        self._members[registrar.address] = registrar.member

    def remove(self, address: addresses.Address) -> None:
        """Remove the entry at an address."""
        del self._members[address]
        self._points = [point for point in self._points if point[1] != address]

    def find(self, flow_id: packets.FlowId) -> tuple[Registrar, ...]:
        """Return the registrars of a flow, none where no entry is known."""
        count = min(REGISTRARS_PER_FLOW, len(self._members))
        index = bisect.bisect(self._points, (_hash(flow_id.encode()),))
        found: dict[addresses.Address, Registrar] = {}
        while len(found) < count:
            address = self._points[index % len(self._points)][1]
            found.setdefault(address, Registrar(address, self._members[address]))
            index += 1
        return tuple(found.values())


def _points_of(address: addresses.Address) -> list[tuple[int, addresses.Address]]:
    name = str(address).encode()
    return [
        (_hash(name + number.to_bytes(1, "big")), address)
        for number in range(POINTS_PER_ENTRY)
    ]


def _hash(data: bytes) -> int:
    digest = hashlib.blake2b(data, digest_size=POINT_BYTES).digest()
    return int.from_bytes(digest, "big")
