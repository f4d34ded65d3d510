"""New flows at an entry, until a backend server has answered the opening packet."""

from __future__ import annotations

import random

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    agent_selection,
    cluster_view,
    directory,
    hedging,
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
        offered_at: When it was last sent to an agent for another reason than the
            silence of the one before.
        second_offer: Its offer to a second agent beside `agent`, if any.
    """

    packet: packets.Packet
    opened_at: float
    sent_at: float = float("-inf")
    agent: addresses.Address | None = None
    tried: set[addresses.Address] = msgspec.field(default_factory=set)
    declined: set[addresses.Address] = msgspec.field(default_factory=set)
    offered_at: float = float("-inf")
    second_offer: hedging.SecondOffer | None = None


class PendingFlows:
    """All pending flows, and the queue of those for which no agent has capacity."""

    def __init__(
        self,
        view: cluster_view.ClusterView,
        zone: identifiers.ZoneName,
        rng: random.Random,
        hedges: hedging.Hedging,
    ) -> None:
        """Start without flows.

        Args:
            view: Routes and agents.
            zone: Availability zone of most callers.
            rng: Breaks ties.
            hedges: Decides on second offers.
        """
        self._hedges = hedges
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
        if flow.second_offer is not None and not _is_settled(flow):
            return self._handle_hedged_declined(flow, flow.second_offer, agent)
        if flow.agent != agent.packet_address:
            return []
        flow.agent = None
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

    def offer_due(self, now: float) -> list[actions.Action]:
        """Make the second offers that are due."""
        decided: list[actions.Action] = []
        for offer in self._hedges.take_due(now):
            flow = self._flows.get(offer.flow)
            if flow is not None and flow.sent_at == offer.sent_at:
                decided += self._offer_second(flow, offer, now)
        return decided

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
        if not self._view.route_table.is_known:
            return self._queue_or_refuse(flow, 0, now, packets.OPENING_TIMEOUT_SECONDS)
        route = self._view.route_table.find(flow_id)
        if route is None:
            return self._queue_without_route(flow, now)
        self._without_route.discard(flow_id)
        service = route.service_of(flow_id)
        candidates = self._candidates(flow, service)
        if not candidates:
            self._hedges.record_contention(service, now)
            timeout = 0.0 if self._view.is_complete else packets.OPENING_TIMEOUT_SECONDS
            return self._queue_or_refuse(flow, 0, now, timeout)
        untried = [a for a in candidates if a.packet_address not in flow.tried]
        objective = route.objective_seconds
        agent = agent_selection.select_agent(
            untried or candidates, self._zone, objective, self._rng, now
        )
        if agent is None:
            self._hedges.record_contention(service, now)
            timeout = self._queue_timeout(len(candidates))
            return self._queue_or_refuse(flow, len(candidates), now, timeout)
        if not flow.tried:
            self._hedges.record_opening(service)
        if flow.agent is None:
            self._schedule_second_offer(flow, route, service, now)
        flow.agent = agent.packet_address
        flow.sent_at = now
        forward = self._forward(flow, agent, now)
        if flow.second_offer is not None:
            second = flow.second_offer.agent
            flow.second_offer = hedging.SecondOffer(second, frozenset(flow.tried))
        return [forward]

    def _candidates(
        self, flow: PendingFlow, service: identifiers.ServiceName
    ) -> list[directory.Agent]:
        """Return the agents that may get a flow of a service."""
        accepting = self._view.accepting(service)
        return [a for a in accepting if a.packet_address not in flow.declined]

    # Second offers.

    def _schedule_second_offer(
        self,
        flow: PendingFlow,
        route: routes.Route,
        service: identifiers.ServiceName,
        now: float,
    ) -> None:
        flow.offered_at = now
        if route.repeatability is routes.Repeatability.IDEMPOTENT:
            self._hedges.schedule(service, flow.packet.flow, now)

    def _offer_second(
        self, flow: PendingFlow, offer: hedging.ScheduledOffer, now: float
    ) -> list[actions.Action]:
        """Offer an opening packet that is unanswered at one agent to another one."""
        flow_id = flow.packet.flow
        route = self._view.route_table.find(flow_id)
        if route is None or route.repeatability is not routes.Repeatability.IDEMPOTENT:
            return []
        service = route.service_of(flow_id)
        if flow.agent is None or self._hedges.is_suspended(service, now):
            return []
        candidates = [
            agent
            for agent in self._candidates(flow, service)
            if agent.packet_address not in flow.tried and not agent.is_cold
        ]
        agent = agent_selection.select_agent(
            candidates, self._zone, route.objective_seconds, self._rng, now
        )
        if agent is None:
            return []
        if not self._hedges.try_spend(service):
            withheld = actions.HedgeOutcome.WITHHELD
            return [actions.RecordHedge(flow_id, withheld)]
        forward = self._forward(flow, agent, now)
        address = agent.packet_address
        flow.second_offer = hedging.SecondOffer(address, frozenset(flow.tried))
        offered = actions.HedgeOutcome.OFFERED
        record = actions.RecordHedge(flow_id, offered, address, offer.delay_seconds)
        return [forward, record]

    def _handle_hedged_declined(
        self,
        flow: PendingFlow,
        second_offer: hedging.SecondOffer,
        agent: directory.Agent,
    ) -> list[actions.Action]:
        """Leave a flow to the one of two agents that has not declined it."""
        if agent.packet_address == flow.agent:
            flow.agent = second_offer.agent
            return []
        if agent.packet_address != second_offer.agent:
            return []
        flow.second_offer = None
        lost = actions.HedgeOutcome.LOST
        return [actions.RecordHedge(flow.packet.flow, lost, second_offer.agent)]

    def _queue_without_route(
        self, flow: PendingFlow, now: float
    ) -> list[actions.Action]:
        """Queue a flow while its route may be in a revision that is not adopted yet."""
        flow_id = flow.packet.flow
        is_late = now - flow.opened_at >= packets.OPENING_TIMEOUT_SECONDS
        if is_late or self._view.certainly_lacks_route(flow_id):
            return self._refuse(flow, 0, now, actions.Reason.NO_ROUTE)
        flow.agent = None
        self._queue.setdefault(flow_id, flow)
        self._without_route.add(flow_id)
        return []

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
        flow.tried.add(agent.packet_address)
        return actions.Forward(agent.packet_address, flow.packet.datagram, placement)

    def _queue_or_refuse(
        self, flow: PendingFlow, agent_count: int, now: float, timeout_seconds: float
    ) -> list[actions.Action]:
        """Queue a flow until an agent has capacity, refuse it after its timeout."""
        flow.agent = None
        if now - flow.opened_at < timeout_seconds:
            self._queue.setdefault(flow.packet.flow, flow)
            return []
        reason = actions.Reason.NO_CAPACITY
        if agent_count == 0:
            reason = actions.Reason.NO_SERVER
        return self._refuse(flow, agent_count, now, reason)

    def _refuse(
        self, flow: PendingFlow, agent_count: int, now: float, reason: actions.Reason
    ) -> list[actions.Action]:
        flow_id = flow.packet.flow
        self.remove(flow_id)
        waited = now - flow.opened_at
        evidence = actions.RefusalEvidence(agent_count, len(flow.tried), waited)
        return [actions.Reset(flow_id, 0, reason, evidence)]


def _is_settled(flow: PendingFlow) -> bool:
    """Return whether only the second agent is left, because the first declined."""
    return flow.second_offer is not None and flow.second_offer.agent == flow.agent
