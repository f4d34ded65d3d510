"""Notice of the flows that a backend server may hold when its agent leaves.

An agent that leaves beside a running server is not asked any more, and its successor
may not run yet. Its notice tells which flows have to wait for that successor, so that
all others do not.
"""

from __future__ import annotations

import collections.abc
import zlib

import msgspec

from cactushall_core.flows import messages, packets

# Two flows have the same hash once in 4 billion; that one waits for the successor, too.
HASH_BYTES = 4
HASHES_PER_MESSAGE = 280
MAX_MESSAGES = 16


def make_notice(
    flow_ids: collections.abc.Collection[packets.FlowId],
) -> list[messages.HeldFlows]:
    """Return the messages of a notice, none where there are too many flows.

    Args:
        flow_ids: All flows that the backend server may hold.
    """
    hashes = sorted(map(_hash, flow_ids))
    parts = max(1, -(-len(hashes) // HASHES_PER_MESSAGE))
    if parts > MAX_MESSAGES:
        return []
    return [
        messages.HeldFlows(
            part,
            parts,
            b"".join(
                value.to_bytes(HASH_BYTES, "big")
                for value in hashes[part * HASHES_PER_MESSAGE :][:HASHES_PER_MESSAGE]
            ),
        )
        for part in range(parts)
    ]


class HeldFlows(msgspec.Struct):
    """The notice of one agent, as far as it has arrived.

    Attributes:
        parts: Number of its messages, 0 while none has arrived.
        received: Numbers of those that have arrived.
        hashes: Hashes of the flows.
    """

    parts: int = 0
    received: set[int] = msgspec.field(default_factory=set)
    hashes: set[int] = msgspec.field(default_factory=set)

    def add(self, message: messages.HeldFlows) -> None:
        """Add a message."""
        self.parts = message.parts
        self.received.add(message.part)
        data = message.hashes
        self.hashes.update(
            int.from_bytes(data[start : start + HASH_BYTES], "big")
            for start in range(0, len(data), HASH_BYTES)
        )

    def excludes(self, flow_id: packets.FlowId) -> bool:
        """Return whether the server certainly did not hold a flow."""
        is_whole = self.parts > 0 and self.received.issuperset(range(self.parts))
        return is_whole and _hash(flow_id) not in self.hashes


def _hash(flow_id: packets.FlowId) -> int:
    return zlib.crc32(flow_id.encode())
