"""New flows at an entry, until a backend server has answered the opening packet."""

from __future__ import annotations

import random

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    cluster_view,
    directory,
    explanation,
    flow_placement,
    messages,
    packets,
    routes,
)

RETRY_ELSEWHERE_SECONDS = 0.15
QUEUE_TIMEOUT_SECONDS = 0.15
QUEUED_FLOWS_PER_AGENT = 0.5
MIN_QUEUE_LIMIT = 2


class PendingFlow(msgspec.Struct):
    """A flow whose opening packet no backend server has answered.

    Attributes:
        packet: The opening packet.
        opened_at: When it first arrived.
        sent_at: When it was last sent to an agent.
        agent: Packet address of the agent that it was last sent to; None while the
            flow is queued.
        tried: All agents that it was sent to.
        declined: Those of them that declined it for another reason than being full.
    """

    packet: packets.Packet
    opened_at: float
    sent_at: float = float("-inf")
    agent: addresses.Address | None = None
    tried: set[addresses.Address] = msgspec.field(default_factory=set)
    declined: set[addresses.Address] = msgspec.field(default_factory=set)


class PendingFlows:
    """All pending flows, and the queue of those for which no agent has capacity."""

    def __init__(
        self,
        view: cluster_view.ClusterView,
        zone: identifiers.ZoneName,
        rng: random.Random,
    ) -> None:
        """Start without flows.

        Args:
            view: Routes and agents.
            zone: Availability zone of most callers.
            rng: Breaks ties.
        """
        self._view = view
        self._zone = zone
        self._rng = rng
        self._flows: dict[packets.FlowId, PendingFlow] = {}
        self._queue: dict[packets.FlowId, PendingFlow] = {}
        self._without_route: set[packets.FlowId] = set()

    def __len__(self) -> int:
        """Return the number of pending flows."""
        return len(self._flows)

    def get(self, flow_id: packets.FlowId) -> PendingFlow | None:
        """Return a pending flow, None where there is none with this id."""
        return self._flows.get(flow_id)

    def remove(self, flow_id: packets.FlowId) -> None:
        """Forget a flow."""
        self._flows.pop(flow_id, None)
        self._remove_from_queue(flow_id)

    def remove_oldest(self) -> None:
        """Forget the flow that was opened first."""
        self.remove(next(iter(self._flows)))

    def handle_packet(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        """Handle an opening packet or a retransmission of it."""
        flow = self._flows.get(packet.flow)
        if flow is None or flow.packet.sequence != packet.sequence:
            flow = PendingFlow(packet, now)
            self.remove(packet.flow)
            self._flows[packet.flow] = flow
        if packet.flow in self._queue:
            return []
        if flow.agent is not None and now - flow.sent_at < RETRY_ELSEWHERE_SECONDS:
            return [actions.Forward(flow.agent, packet.datagram)]
        return self._place(flow, now)

    def handle_declined(
        self, agent: directory.Agent, message: messages.Declined, now: float
    ) -> list[actions.Action]:
        """Handle an agent's refusal of a flow."""
        agent.unacknowledged.pop(message.flow, None)
        if message.refusal is messages.Refusal.FULL:
            agent.mark_full(now)
        flow = self._flows.get(message.flow)
        if flow is None:
            return []
        if message.refusal is not messages.Refusal.FULL:
            flow.declined.add(agent.packet_address)
        if flow.agent != agent.packet_address:
            return []
        return self._place(flow, now)

    def place_queued(self, now: float) -> list[actions.Action]:
        """Place queued flows, the newest first.

        The callers of the oldest have the least time left for an answer.
        """
        decided: list[actions.Action] = []
        for flow_id in reversed(list(self._queue)):
            flow = self._queue[flow_id]
            decided += self._place(flow, now)
        return decided

    def explain(
        self,
        address: routes.ServiceAddress,
        zone: identifiers.ZoneName | None,
        now: float,
    ) -> explanation.Explanation:
        """Explain where a new flow would go now.

        Args:
            address: The address that the caller sends to.
            zone: Availability zone of the caller, None for that of most callers.
            now: Current time in seconds.
        """
        zone = zone if zone is not None else self._zone
        return explanation.explain(
            self._view, address, zone, self._rng, self._queue_seconds, now
        )

    def expire(self, now: float) -> None:
        """Forget flows whose callers have given up."""
        for flow_id, flow in list(self._flows.items()):
            if (
                now - flow.opened_at
                > packets.OPENING_TIMEOUT_SECONDS + RETRY_ELSEWHERE_SECONDS
            ):
                self.remove(flow_id)

    def _remove_from_queue(self, flow_id: packets.FlowId) -> None:
        self._queue.pop(flow_id, None)
        self._without_route.discard(flow_id)

    def _place(self, flow: PendingFlow, now: float) -> list[actions.Action]:
        """Forward an opening packet, preferably to an agent that has not had it."""
        flow_id = flow.packet.flow
        self._without_route.discard(flow_id)
        decision = flow_placement.decide(
            self._view,
            flow_id,
            self._zone,
            self._rng,
            now,
            flow.tried,
            flow.declined,
        )
        if decision.agent is not None:
            return [self._forward(flow, decision.agent, now)]
        return self._queue_or_refuse(flow, decision, now)

    def _queue_seconds(
        self, flow_id: packets.FlowId, decision: flow_placement.Decision
    ) -> float:
        """Return how long a flow that gets no agent may be queued, in seconds.

        Its route may be in a revision that is not adopted yet, and its agents may be
        unknown while the table of members is incomplete.
        """
        if decision.reason is actions.Reason.NO_CAPACITY:
            return self._queue_timeout(len(decision.candidates))
        if decision.reason is actions.Reason.NO_ROUTE:
            is_certain = self._view.certainly_lacks_route(flow_id)
        else:
            is_certain = self._view.is_complete
        return 0.0 if is_certain else packets.OPENING_TIMEOUT_SECONDS

    def _queue_timeout(self, agent_count: int) -> float:
        """Return how long a flow may be queued, in seconds.

        Flows beyond those that capacity can be expected for soon are refused at once:
        they would be answered late and make others late.
        """
        limit = max(MIN_QUEUE_LIMIT, QUEUED_FLOWS_PER_AGENT * agent_count)
        awaiting_capacity = len(self._queue) - len(self._without_route)
        return QUEUE_TIMEOUT_SECONDS if awaiting_capacity < limit else 0.0

    def _forward(
        self, flow: PendingFlow, agent: directory.Agent, now: float
    ) -> actions.Forward:
        self._remove_from_queue(flow.packet.flow)
        placement = actions.Placement(
            flow=flow.packet.flow,
            copy=flow.packet.acknowledgement,
            tries=len(flow.tried),
            waited_seconds=now - flow.opened_at,
            requests=agent.load.requests + agent.expected_change(now),
            load_age_seconds=now - agent.load_at,
        )
        agent.unacknowledged[flow.packet.flow] = now
        flow.agent = agent.packet_address
        flow.sent_at = now
        flow.tried.add(agent.packet_address)
        return actions.Forward(flow.agent, flow.packet.datagram, placement)

    def _queue_or_refuse(
        self, flow: PendingFlow, decision: flow_placement.Decision, now: float
    ) -> list[actions.Action]:
        """Queue a flow until it can be placed, refuse it after its timeout."""
        assert decision.reason is not None
        flow_id = flow.packet.flow
        flow.agent = None
        if now - flow.opened_at >= self._queue_seconds(flow_id, decision):
            return self._refuse(flow, len(decision.candidates), now, decision.reason)
        self._queue.setdefault(flow_id, flow)
        if decision.reason is actions.Reason.NO_ROUTE:
            self._without_route.add(flow_id)
        return []

    def _refuse(
        self, flow: PendingFlow, agent_count: int, now: float, reason: actions.Reason
    ) -> list[actions.Action]:
        flow_id = flow.packet.flow
        self.remove(flow_id)
        waited = now - flow.opened_at
        evidence = actions.RefusalEvidence(agent_count, len(flow.tried), waited)
        return [actions.Reset(flow_id, 0, reason, evidence)]
