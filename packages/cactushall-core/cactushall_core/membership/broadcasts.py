"""Queue of updates, each of which is sent a limited number of times."""

from __future__ import annotations

import math

from cactushall_core import identifiers
from cactushall_core.membership import messages, records

RETRANSMIT_FACTOR = 4


def transmit_limit(members: int) -> int:
    """Return how often each member sends an update in a fleet of a given size."""
    return RETRANSMIT_FACTOR * math.ceil(math.log10(members + 2))


class BroadcastQueue:
    """Queue of updates about members, least often sent first."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._transmissions: dict[identifiers.MemberId, int] = {}
        self._updates: dict[identifiers.MemberId, tuple[records.Update, int]] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._updates)

    def add(self, member: identifiers.MemberId, update: records.Update) -> None:
        """Queue an update about a member, replacing an older one."""
        old = self._updates.get(member)
        if isinstance(update, records.StatusUpdate) and old is not None:
            update = _merge_updates(old[0], update)
        self._updates[member] = (update, messages.encoded_size(update))
        self._transmissions[member] = 0

    def take(self, max_bytes: int, limit: int) -> tuple[records.Update, ...]:
        """Return updates that fit into some bytes, and count their transmission.

        Args:
            max_bytes: Space for encoded updates.
            limit: Number of transmissions after which an update is dropped.
        """
        taken = []
        for member in sorted(self._transmissions, key=self._transmissions.__getitem__):
            update, size = self._updates[member]
            if size > max_bytes:
                continue
            max_bytes -= size
            taken.append(update)
            self._count_transmission(member, limit)
        return tuple(taken)

    def _count_transmission(self, member: identifiers.MemberId, limit: int) -> None:
        self._transmissions[member] += 1
        if self._transmissions[member] >= limit:
            del self._transmissions[member]
            del self._updates[member]


def _merge_updates(
    old: records.Update, status_update: records.StatusUpdate
) -> records.Update:
    """Apply a status update to an update that is still being sent.

    A whole record stays one, so that its description reaches all members.
    """
    if isinstance(old, records.StatusUpdate):
        return status_update
    return records.Record(old.member, status_update.incarnation, status_update.status)
