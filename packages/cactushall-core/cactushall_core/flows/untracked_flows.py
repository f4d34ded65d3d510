"""What an agent knows of flows that it does not track.

Only what proves that the backend server does not hold a flow allows a denial.
"""

from __future__ import annotations

import collections.abc

from cactushall_core.flows import actions, bounded, packets

MAX_FLOWS = 20_000


class UntrackedFlows:
    """Flows that were tracked once, and flows that the server has returned."""

    def __init__(self) -> None:
        """Start without having seen anything."""
        # The times of the latest packets.
        self._not_owned: dict[packets.FlowId, float] = {}
        self._forgotten: dict[packets.FlowId, float] = {}
        self._has_seen_all = False

    @property
    def has_seen_all(self) -> bool:
        """Whether the agent has seen all flows since the backend server started.

        A flow that it has never tracked cannot be one of them.
        """
        return self._has_seen_all

    @property
    def forgotten(self) -> collections.abc.Set[packets.FlowId]:
        """Flows that were tracked, which the backend server may hold nevertheless."""
        return self._forgotten.keys()

    def record_start(self, *, has_seen_all: bool) -> None:
        """Record a start of the backend server.

        Args:
            has_seen_all: Whether the agent has seen all flows since that start.
        """
        self._has_seen_all = has_seen_all

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
            self._has_seen_all = False
        bounded.put(self._forgotten, flow_id, last_packet_at, MAX_FLOWS)

    def denial_basis(self, flow_id: packets.FlowId) -> actions.DenialBasis | None:
        """Return why a flow is certainly not held, None where it may be."""
        if flow_id in self._not_owned:
            return actions.DenialBasis.SERVER_DENIED
        if self._has_seen_all and flow_id not in self._forgotten:
            return actions.DenialBasis.NEVER_TRACKED
        return None

    def expire(self, before: float) -> None:
        """Remove flows whose latest packets are older than a point in time."""
        for known in (self._not_owned, self._forgotten):
            for flow_id in [f for f, at in known.items() if at <= before]:
                del known[flow_id]
