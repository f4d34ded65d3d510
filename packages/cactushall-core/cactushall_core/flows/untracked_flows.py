"""What an agent knows of flows that it does not track.

Only what proves that the backend server does not hold a flow allows a denial. The
server gets packets through its agent only. So an agent has seen all of its flows if no
server ran at a moment since the agent started, or if flows from before have been idle
for longer than flows last.
"""

from __future__ import annotations

import collections.abc

from cactushall_core.flows import actions, bounded, packets

MAX_FLOWS = 20_000
NEVER = float("-inf")


class UntrackedFlows:
    """Flows that were tracked once, and flows that the server has returned."""

    def __init__(self, now: float) -> None:
        """Start without having seen anything before the present time."""
        # The times of the latest packets.
        self._not_owned: dict[packets.FlowId, float] = {}
        self._forgotten: dict[packets.FlowId, float] = {}
        # When the latest packet may have passed of a flow that is not known here.
        self._unseen_until = now
        # Flows whose latest packets passed until then are not open any more.
        self._idle_before = NEVER

    @property
    def has_seen_all(self) -> bool:
        """Whether the agent has seen all flows that the backend server may hold.

        A flow that it has never tracked cannot be one of them.
        """
        return self._unseen_until <= self._idle_before

    @property
    def forgotten(self) -> collections.abc.Set[packets.FlowId]:
        """Flows that were tracked, which the backend server may hold nevertheless."""
        return self._forgotten.keys()

    def record_none_missed(self) -> None:
        """Record proof that no server got packets before the agent ran."""
        self._unseen_until = NEVER

    def record_missed(self, now: float) -> None:
        """Record that the server may hold flows which have not passed until now."""
        self._unseen_until = now

    def forget_returned(self) -> None:
        """Forget what another backend server has returned."""
        self._not_owned.clear()

    def record_tracked(self, flow_id: packets.FlowId) -> None:
        """Record that a flow is tracked again."""
        self._forgotten.pop(flow_id, None)

    def record_opened(self, flow_id: packets.FlowId) -> None:
        """Record that the backend server may hold a flow from now on."""
        self._not_owned.pop(flow_id, None)

    def record_returned(self, flow_id: packets.FlowId, last_packet_at: float) -> None:
        """Record that the backend server has returned a flow's packet."""
        bounded.put(self._not_owned, flow_id, last_packet_at, MAX_FLOWS)

    def record_forgotten(self, flow_id: packets.FlowId, last_packet_at: float) -> None:
        """Record that a flow is not tracked any more."""
        if len(self._forgotten) >= MAX_FLOWS:
            oldest = next(iter(self._forgotten.values()))
            self._unseen_until = max(self._unseen_until, oldest)
        bounded.put(self._forgotten, flow_id, last_packet_at, MAX_FLOWS)

    def denial_basis(self, flow_id: packets.FlowId) -> actions.DenialBasis | None:
        """Return why a flow is certainly not held, None where it may be."""
        if flow_id in self._not_owned:
            return actions.DenialBasis.SERVER_DENIED
        if self.has_seen_all and flow_id not in self._forgotten:
            return actions.DenialBasis.NEVER_TRACKED
        return None

    def expire(self, before: float) -> None:
        """Remove flows whose latest packets are older than a point in time.

        Args:
            before: The time before which flows have been idle for too long to be open.
        """
        self._idle_before = before
        for known in (self._not_owned, self._forgotten):
            for flow_id in [f for f, at in known.items() if at <= before]:
                del known[flow_id]
