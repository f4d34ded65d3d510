"""New flows at an entry, until a backend server has answered the opening packet."""

from __future__ import annotations

import functools
import typing

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    admission,
    agent_selection,
    cluster_view,
    directory,
    explanation,
    flow_placement,
    flow_queue,
    hedging,
    messages,
    packets,
    preference,
    priorities,
    queue_limits,
    retry_budget,
    routes,
)

RETRY_ELSEWHERE_SECONDS = 0.15
# Reports of agents without capacity start a pass at most this often; meanwhile other
# agents may have answered requests.
PASS_INTERVAL_SECONDS = 0.01
# Callers that give up free a backend server earlier than the estimate says.
FORESEEN_FACTOR = 2.0

REASONS = {
    actions.RefusalCause.NO_ROUTE: actions.Reason.NO_ROUTE,
    actions.RefusalCause.NO_SERVER: actions.Reason.NO_SERVER,
}


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
        is_retry: Whether the agent that it was last sent to has not answered.
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
    is_retry: bool = False
    offered_at: float = float("-inf")
    second_offer: hedging.SecondOffer | None = None


class QueueLengths(typing.NamedTuple):
    """How many flows are queued.

    Attributes:
        highest_priority: Flows of the highest priority among the routes of their
            service, for which no agent has capacity.
        lower_priority: Flows of the other priorities for which no agent has capacity.
        awaiting_view: Flows whose route or agents may not be known yet.
    """

    highest_priority: int
    lower_priority: int
    awaiting_view: int


class PendingFlows:
    """All pending flows, and the queue of those for which no agent has capacity.

    A pending flow is in one of three states: it was sent to an agent, it is queued
    until an agent has capacity, or it awaits the route or the agents that this entry
    may not know yet.
    """

    def __init__(
        self,
        view: cluster_view.ClusterView,
        zone: identifiers.ZoneName,
        hedges: hedging.Hedging,
    ) -> None:
        """Start without flows.

        Args:
            view: Routes and agents.
            zone: Availability zone of most callers.
            hedges: Decides on second offers.
        """
        self._hedges = hedges
        self._view = view
        self._zone = zone
        self._flows: dict[packets.FlowId, PendingFlow] = {}
        self._queue = flow_queue.FlowQueue()
        self._awaiting_view: dict[packets.FlowId, None] = {}
        self._priorities = priorities.Priorities()
        self._retry_budget = retry_budget.RetryBudget()
        self._passes_at: dict[identifiers.ServiceName, float] = {}

    def __len__(self) -> int:
        """Return the number of pending flows."""
        return len(self._flows)

    @property
    def queue_lengths(self) -> QueueLengths:
        """How many flows are queued."""
        highest = lower = 0
        for service in self._queue.services:
            for route, count in self._queue.of_service(service).lengths:
                if self._priorities.is_highest(service, route.priority):
                    highest += count
                else:
                    lower += count
        return QueueLengths(highest, lower, len(self._awaiting_view))

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
        if packet.flow in self._queue or packet.flow in self._awaiting_view:
            return []
        if flow.agent is None:
            return self._place_new(flow, now)
        if now - flow.sent_at < RETRY_ELSEWHERE_SECONDS:
            return [actions.Forward(flow.agent, packet.datagram)]
        return self._retry(flow, flow.agent, now)

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
        flow.second_offer = None
        return self._place(flow, now)

    def place_queued(self, now: float) -> list[actions.Action]:
        """Place queued flows, and refuse those that have waited too long."""
        decided: list[actions.Action] = []
        for flow_id in reversed(list(self._awaiting_view)):
            decided += self._place(self._flows[flow_id], now)
        for service in self._queue.services:
            decided += self._place_queued_of(service, now)
        return decided

    def place_queued_at(
        self, agent: directory.Agent, now: float
    ) -> list[actions.Action]:
        """Place queued flows that an agent's new load may have made room for."""
        decided: list[actions.Action] = []
        if not len(self._queue):
            return decided
        for service in self._queue.services:
            if agent.accepts(service) and self._is_pass_due(service, agent, now):
                decided += self._place_queued_of(service, now)
        return decided

    def explain(
        self,
        flow_id: packets.FlowId,
        zone: identifiers.ZoneName | None,
        now: float,
    ) -> explanation.Explanation:
        """Explain where a new flow would go now.

        Args:
            flow_id: The flow.
            zone: Availability zone of the caller, None for that of most callers.
            now: Current time in seconds.
        """
        zone = zone if zone is not None else self._zone
        self._priorities.update_routes(self._view.route_table)
        return explanation.explain(
            self._view,
            flow_id,
            zone,
            self._priorities.reserved_requests,
            functools.partial(self._queue_seconds, now=now),
            now,
        )

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
        self._queue.remove(flow_id)
        self._awaiting_view.pop(flow_id, None)

    # Placement.

    def _place_new(self, flow: PendingFlow, now: float) -> list[actions.Action]:
        """Place a new flow, after queued flows of other routes that go before it."""
        table = self._view.route_table
        route = table.find(flow.packet.flow)
        if route is None:
            return self._place(flow, now)
        service = route.service_of(flow.packet.flow)
        self._priorities.update_routes(table)
        self._priorities.record_opening(service, route.address)
        decided: list[actions.Action] = []
        if len(self._queue) and self._queue.of_service(service).is_ahead(route):
            decided += self._place_queued_of(service, now)
        return decided + self._place(flow, now)

    def _retry(
        self, flow: PendingFlow, silent: addresses.Address, now: float
    ) -> list[actions.Action]:
        """Place a flow whose agent has not answered, within the retry budget.

        Beyond the budget the agent gets the retransmission, which it tells from a new
        flow. An agent that is known to accept no flows costs no budget: it bears no
        load that a retry could multiply.
        """
        flow_id = flow.packet.flow
        route = self._view.route_table.find(flow_id)
        agent = self._view.agents.by_packet_address(silent)
        if route is not None and agent is not None:
            service = route.service_of(flow_id)
            is_accepting = self._view.exclusion(agent, service) is None
            if is_accepting and not self._retry_budget.spend(service):
                return [
                    actions.Forward(silent, flow.packet.datagram),
                    actions.RecordRetryWithheld(flow_id, silent),
                ]
        flow.is_retry = True
        return self._place(flow, now)

    def _is_pass_due(
        self, service: identifiers.ServiceName, agent: directory.Agent, now: float
    ) -> bool:
        if now - self._passes_at.get(service, float("-inf")) >= PASS_INTERVAL_SECONDS:
            return True
        return any(
            agent_selection.has_capacity(
                agent,
                route.objective_seconds,
                now,
                self._priorities.reserved_requests(service, route.priority),
            )
            for route, _ in self._queue.of_service(service).lengths
        )

    def _place_queued_of(
        self, service: identifiers.ServiceName, now: float
    ) -> list[actions.Action]:
        """Place queued flows of one service.

        Where no agent has capacity for a flow, none has for a later one of the same
        priority and objective.
        """
        self._passes_at[service] = now
        decided: list[actions.Action] = []
        without_capacity: set[tuple[int, float]] = set()
        queue = self._queue.of_service(service)
        for flow_id in queue.in_order(
            functools.partial(self._priorities.is_due, service)
        ):
            if flow_id not in self._queue:
                continue
            flow = self._flows[flow_id]
            route = self._view.route_table.find(flow_id)
            if route is None:
                decided += self._place(flow, now)
                continue
            need = (route.priority, route.objective_seconds)
            timeout = queue_limits.limits_of(route).timeout_seconds
            is_late = now - flow.opened_at >= timeout
            if need in without_capacity and not is_late:
                continue
            decided += self._place(flow, now)
            is_queued = flow_id in self._queue
            if is_queued and not self._has_room_where_tried(flow, service, need, now):
                without_capacity.add(need)
        return decided

    def _has_room_where_tried(
        self,
        flow: PendingFlow,
        service: identifiers.ServiceName,
        need: tuple[int, float],
        now: float,
    ) -> bool:
        """Return whether an agent that has had a flow has capacity for another."""
        priority, objective = need
        reserved = self._priorities.reserved_requests(service, priority)
        tried = map(self._view.agents.by_packet_address, flow.tried)
        return any(
            agent_selection.has_capacity(agent, objective, now, reserved)
            for agent in tried
            if agent is not None
        )

    def _place(self, flow: PendingFlow, now: float) -> list[actions.Action]:
        """Forward an opening packet, preferably to an agent that has not had it."""
        flow_id = flow.packet.flow
        self._priorities.update_routes(self._view.route_table)
        decision = flow_placement.decide(
            self._view,
            flow_id,
            self._zone,
            now,
            self._priorities.reserved_requests,
            flow_placement.Attempts(flow.tried, flow.declined),
        )
        if decision.reason is actions.Reason.NO_ROUTE:
            return self._await_route(flow, now)
        route, service = decision.route, decision.service
        if route is None or service is None:
            return self._await_agents(flow, now)
        if decision.agent is None:
            self._hedges.record_contention(service, now)
            if not decision.candidates:
                return self._await_agents(flow, now)
            return self._queue_for_capacity(
                flow, route, service, decision.candidates, now
            )
        self._record_placed(flow, route, service)
        if flow.agent is None:
            self._schedule_second_offer(flow, route, service, now)
        return [self._forward(flow, decision.agent, now)]

    def _record_placed(
        self,
        flow: PendingFlow,
        route: routes.Route,
        service: identifiers.ServiceName,
    ) -> None:
        """Record that a flow is sent to an agent."""
        if len(self._queue):
            self._queue.of_service(service).record_turn(route.address)
        if not flow.tried:
            self._priorities.record_admitted(service, route.priority)
            self._retry_budget.record_opening(service)
            self._hedges.record_opening(service)

    def _await_agents(self, flow: PendingFlow, now: float) -> list[actions.Action]:
        """Queue a flow while its agents, or all routes, may not be known yet."""
        if self._view.is_complete:
            return self._refuse(flow, 0, now, actions.RefusalCause.NO_SERVER)
        if now - flow.opened_at >= packets.OPENING_TIMEOUT_SECONDS:
            return self._refuse(flow, 0, now, actions.RefusalCause.NO_SERVER)
        self._move_to_awaiting(flow)
        return []

    def _await_route(self, flow: PendingFlow, now: float) -> list[actions.Action]:
        """Queue a flow while its route may be in a revision that is not adopted yet."""
        is_late = now - flow.opened_at >= packets.OPENING_TIMEOUT_SECONDS
        if is_late or self._view.certainly_lacks_route(flow.packet.flow):
            return self._refuse(flow, 0, now, actions.RefusalCause.NO_ROUTE)
        self._move_to_awaiting(flow)
        return []

    def _move_to_awaiting(self, flow: PendingFlow) -> None:
        flow.agent = None
        self._queue.remove(flow.packet.flow)
        self._awaiting_view[flow.packet.flow] = None

    def _queue_for_capacity(
        self,
        flow: PendingFlow,
        route: routes.Route,
        service: identifiers.ServiceName,
        candidates: list[directory.Agent],
        now: float,
    ) -> list[actions.Action]:
        """Queue a flow until an agent has capacity, refuse it where that is too late.

        Flows beyond those that capacity can be expected for soon are refused at once:
        they would be answered late and make others late.
        """
        flow.agent = None
        flow_id = flow.packet.flow
        count = len(candidates)
        limits = queue_limits.limits_of(route)
        remaining = limits.timeout_seconds - (now - flow.opened_at)
        if remaining <= 0:
            return self._refuse(flow, count, now, actions.RefusalCause.TIMEOUT)
        if not self._is_capacity_expected(route, service, candidates, remaining, now):
            return self._refuse(flow, count, now, actions.RefusalCause.FORESEEN)
        route_count = self._priorities.route_count(service)
        verdict = self._queue.add(flow_id, route, service, count, route_count)
        if not verdict.is_queued:
            return self._refuse(flow, count, now, actions.RefusalCause.QUEUE_FULL)
        self._awaiting_view.pop(flow_id, None)
        if verdict.displaced is None:
            return []
        displaced = self._flows[verdict.displaced]
        return self._refuse(displaced, count, now, actions.RefusalCause.DISPLACED)

    def _queue_seconds(
        self, flow_id: packets.FlowId, decision: flow_placement.Decision, now: float
    ) -> float:
        """Return how long a new flow that gets no agent may be queued.

        Its route may be in a revision that is not adopted yet, and its agents may be
        unknown while the table of members is incomplete.
        """
        route, service = decision.route, decision.service
        if decision.candidates and route is not None and service is not None:
            count = len(decision.candidates)
            route_count = self._priorities.route_count(service)
            timeout = queue_limits.limits_of(route).timeout_seconds
            is_queued = self._is_capacity_expected(
                route, service, decision.candidates, timeout, now
            ) and self._queue.has_room(route, service, count, route_count)
            return timeout if is_queued else 0.0
        if decision.reason is actions.Reason.NO_ROUTE:
            is_certain = self._view.certainly_lacks_route(flow_id)
        else:
            is_certain = self._view.is_complete
        return 0.0 if is_certain else packets.OPENING_TIMEOUT_SECONDS

    def _is_capacity_expected(
        self,
        route: routes.Route,
        service: identifiers.ServiceName,
        candidates: list[directory.Agent],
        seconds: float,
        now: float,
    ) -> bool:
        """Return whether an agent may have capacity for a flow within a time.

        A route without an objective has no limit that could be foreseen to be missed.
        """
        if route.objective_seconds <= 0:
            return True
        reserved = self._priorities.reserved_requests(service, route.priority)
        soonest = min(
            admission.seconds_until_capacity(
                agent.load,
                agent.expected_change(now),
                route.objective_seconds,
                reserved,
            )
            for agent in candidates
        )
        return soonest <= FORESEEN_FACTOR * seconds

    def _forward(
        self, flow: PendingFlow, agent: directory.Agent, now: float
    ) -> actions.Forward:
        """Forward an opening packet to the agent that is to get the flow."""
        forward = self._offer(flow, agent, now)
        flow.agent = agent.packet_address
        flow.sent_at = now
        flow.is_retry = False
        if flow.second_offer is not None:
            second = flow.second_offer.agent
            flow.second_offer = hedging.SecondOffer(second, frozenset(flow.tried))
        return forward

    def _offer(
        self, flow: PendingFlow, agent: directory.Agent, now: float
    ) -> actions.Forward:
        if flow.agent is None:
            self._remove_from_queue(flow.packet.flow)
        placement = actions.Placement(
            flow=flow.packet.flow,
            copy=flow.packet.acknowledgement,
            tries=len(flow.tried),
            waited_seconds=now - flow.opened_at,
            requests=agent.load.requests + agent.expected_change(now),
            load_age_seconds=now - agent.load_at,
            is_retry=flow.is_retry,
        )
        agent.unacknowledged[flow.packet.flow] = now
        flow.tried.add(agent.packet_address)
        return actions.Forward(agent.packet_address, flow.packet.datagram, placement)

    def _refuse(
        self,
        flow: PendingFlow,
        agent_count: int,
        now: float,
        cause: actions.RefusalCause,
    ) -> list[actions.Action]:
        flow_id = flow.packet.flow
        route = self._view.route_table.find(flow_id)
        evidence = actions.RefusalEvidence(
            agents=agent_count,
            tries=len(flow.tried),
            waited_seconds=now - flow.opened_at,
            cause=cause,
            priority=route.priority if route is not None else None,
            queued=self._queued_count(route, flow_id),
        )
        self.remove(flow_id)
        reason = REASONS.get(cause, actions.Reason.NO_CAPACITY)
        return [actions.Reset(flow_id, 0, reason, evidence)]

    def _queued_count(self, route: routes.Route | None, flow_id: packets.FlowId) -> int:
        if route is None:
            return len(self._awaiting_view)
        return len(self._queue.of_service(route.service_of(flow_id)))

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
        accepting = self._view.accepting(service)
        candidates = [
            agent
            for agent in flow_placement.without_declined(accepting, flow.declined)
            if agent.packet_address not in flow.tried and not agent.is_cold
        ]
        agent = agent_selection.select_agent(
            candidates,
            self._zone,
            route.objective_seconds,
            preference.order_of(flow_id),
            now,
        )
        if agent is None:
            return []
        if not self._hedges.try_spend(service):
            withheld = actions.HedgeOutcome.WITHHELD
            return [actions.RecordHedge(flow_id, withheld)]
        forward = self._offer(flow, agent, now)
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


def _is_settled(flow: PendingFlow) -> bool:
    """Return whether only the second agent is left, because the first declined."""
    return flow.second_offer is not None and flow.second_offer.agent == flow.agent
