"""States of availability zones, which membership messages carry to all members.

The membership protocol only transports them; `cactushall_core.flows.evacuations`
decides what they are.
"""

from __future__ import annotations

import typing

import msgspec

from cactushall_core import identifiers

# Leaves most of a datagram to updates about members; table replies carry all states.
MAX_DATAGRAM_STATES_BYTES = 400

_encoder = msgspec.msgpack.Encoder()


class ZoneState(msgspec.Struct, frozen=True, array_like=True):
    """Whether an availability zone is evacuated, as of a revision of the store.

    Attributes:
        zone: The availability zone.
        era: How often the store had been restored from a copy.
        revision: Store revision of the change or of the read that showed it.
        is_evacuated: Whether the zone gets no new flows.
    """

    zone: identifiers.ZoneName
    era: int
    revision: int
    is_evacuated: bool

    def supersedes(self, other: ZoneState) -> bool:
        """Return whether this state is later than another one of the same zone."""
        return (self.era, self.revision) > (other.era, other.revision)


ZoneStates = tuple[ZoneState, ...]


def select_for_datagram(states: typing.Iterable[ZoneState]) -> ZoneStates:
    """Return the states that a datagram has room for.

    Evacuated zones come first, and the latest of them: too many new flows in a zone do
    more harm than too few.
    """
    ranked = sorted(states, key=lambda s: (s.is_evacuated, s.era, s.revision))
    selected = []
    room_bytes = MAX_DATAGRAM_STATES_BYTES
    for state in reversed(ranked):
        room_bytes -= len(_encoder.encode(state))
        if room_bytes < 0:
            break
        selected.append(state)
    return tuple(sorted(selected, key=lambda s: s.zone))


def encoded_size(states: ZoneStates) -> int:
    """Return the number of bytes that some states add to a message."""
    return sum(len(_encoder.encode(state)) for state in states)
