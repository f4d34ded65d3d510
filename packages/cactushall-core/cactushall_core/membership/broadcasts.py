"""Queue of news that are passed on a limited number of times."""

from __future__ import annotations

import math

from cactushall_core import identifiers
from cactushall_core.membership import messages, records

RETRANSMIT_FACTOR = 4


def transmit_limit(members: int) -> int:
    """Return how often one member passes on one piece of news."""
    return RETRANSMIT_FACTOR * math.ceil(math.log10(members + 2))


class BroadcastQueue:
    """News about members, the least often sent first."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._sent: dict[identifiers.MemberId, int] = {}
        self._deltas: dict[identifiers.MemberId, tuple[records.Delta, int]] = {}

    def __len__(self) -> int:
        """Return how many pieces of news wait."""
        return len(self._deltas)

    def add(self, member: identifiers.MemberId, delta: records.Delta) -> None:
        """Queue news about a member in place of older news."""
        old = self._deltas.get(member)
        if isinstance(delta, records.Verdict) and old is not None:
            delta = _merge(old[0], delta)
        self._deltas[member] = (delta, messages.encoded_size(delta))
        self._sent[member] = 0

    def take(self, max_bytes: int, limit: int) -> tuple[records.Delta, ...]:
        """Return news that fit into some bytes and count them as sent once more.

        Args:
            max_bytes: Room for encoded deltas.
            limit: After how many transmissions news are dropped.
        """
        taken = []
        for member in sorted(self._sent, key=self._sent.__getitem__):
            delta, size = self._deltas[member]
            if size > max_bytes:
                continue
            max_bytes -= size
            taken.append(delta)
            self._count(member, limit)
        return tuple(taken)

    def _count(self, member: identifiers.MemberId, limit: int) -> None:
        self._sent[member] += 1
        if self._sent[member] >= limit:
            del self._sent[member]
            del self._deltas[member]


def _merge(old: records.Delta, verdict: records.Verdict) -> records.Delta:
    """Keep a record that is still being spread whole when its status changes."""
    if isinstance(old, records.Verdict):
        return verdict
    return records.Record(old.member, verdict.incarnation, verdict.status)
