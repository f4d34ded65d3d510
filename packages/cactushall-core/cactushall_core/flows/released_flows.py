"""Flows whose callers have taken another backend server's answer."""

from __future__ import annotations

from cactushall_core.flows import bounded, packets

MAX_FLOWS = 20_000


class ReleasedFlows:
    """Flows that were released, for as long as their packets may still arrive."""

    def __init__(self) -> None:
        """Start without flows."""
        # Sequence numbers of the opening packets, and when each flow was released.
        self._flows: dict[packets.FlowId, tuple[int, float]] = {}

    def __contains__(self, flow_id: packets.FlowId) -> bool:
        """Return whether a flow was released recently."""
        return flow_id in self._flows

    def add(self, flow_id: packets.FlowId, opening_sequence: int, now: float) -> None:
        """Record that a flow with a certain opening packet is released."""
        bounded.put(self._flows, flow_id, (opening_sequence, now), MAX_FLOWS)

    def is_late(self, packet: packets.Packet) -> bool:
        """Return whether an opening packet arrives after its flow was released.

        Another opening packet on the same port begins another flow.
        """
        released = self._flows.get(packet.flow)
        if released is not None and released[0] != packet.sequence:
            del self._flows[packet.flow]
            return False
        return released is not None

    def expire(self, before: float) -> None:
        """Forget flows that were released up to a point in time."""
        self._flows = {
            f: entry for f, entry in self._flows.items() if entry[1] > before
        }
