"""Explains where a new flow would go now, for operators."""

from __future__ import annotations

import collections.abc
import math

import msgspec

from cactushall_core import identifiers
from cactushall_core.flows import (
    actions,
    agent_selection,
    cluster_view,
    directory,
    exclusions,
    flow_placement,
    packets,
    preference,
    routes,
)

QueueSeconds = collections.abc.Callable[
    [packets.FlowId, flow_placement.Decision], float
]


class Refusal(msgspec.Struct, frozen=True):
    """Why a flow would get no agent now.

    Attributes:
        reason: The reason.
        queue_seconds: How long it would wait for that to change, 0 where it would be
            refused at once.
    """

    reason: actions.Reason
    queue_seconds: float


class Candidate(msgspec.Struct, frozen=True):
    """An agent of the service.

    Attributes:
        node: Its name.
        address: Its packet address.
        zone: Its availability zone.
        exclusion: Why it cannot get the flow, None where it can.
        flows: Number of flows that it last reported.
        requests: Estimated number of requests in its backend server.
        slots: Number of requests that the server runs at once.
        service_seconds: Recent mean time of a request, 0 if unknown.
        load_age_seconds: Age of its load report, None where it has not sent any.
        expected_wait: Expected wait in service times; the least of those drawn is
            chosen.
    """

    node: identifiers.NodeName
    address: str
    zone: identifiers.ZoneName
    exclusion: exclusions.Exclusion | None
    flows: int
    requests: float
    slots: int
    service_seconds: float
    load_age_seconds: float | None
    expected_wait: float


class ServiceExplanation(msgspec.Struct, frozen=True):
    """Where a flow would go if it belongs to one of the services of its route.

    Attributes:
        service: The service.
        weight: Its weight among the services of the route.
        candidates: All agents that have announced the service.
        agent: Name of the chosen agent, None where none is.
        refusal: Why none is chosen.
    """

    service: identifiers.ServiceName
    weight: float
    candidates: tuple[Candidate, ...]
    agent: identifiers.NodeName | None
    refusal: Refusal | None


class Explanation(msgspec.Struct, frozen=True):
    """Where a new flow would go now.

    Attributes:
        zone: Availability zone of the caller.
        revision: Revision of the routes.
        route: Name of the route, None where there is none.
        services: The services of the route; a flow belongs to one of them by its
            caller's address and port.
        refusal: Why the flow gets no service.
    """

    zone: identifiers.ZoneName
    revision: identifiers.Revision
    route: str | None = None
    services: tuple[ServiceExplanation, ...] = ()
    refusal: Refusal | None = None


def explain(
    view: cluster_view.ClusterView,
    flow_id: packets.FlowId,
    zone: identifiers.ZoneName,
    reserved_requests: flow_placement.ReservedRequests,
    queue_seconds: QueueSeconds,
    now: float,
) -> Explanation:
    """Explain where a new flow would go, without sending anything.

    Args:
        view: Routes and agents.
        flow_id: The flow.
        zone: Availability zone of the caller.
        reserved_requests: Returns how many requests per slot a flow of a service may
            use beyond the regular limit, by the priority of its route.
        queue_seconds: Returns how long a flow that gets no agent may be queued.
        now: Current time in seconds.
    """
    revision = view.route_table.revision
    if view.is_stale(now):
        refusal = Refusal(actions.Reason.STALE, 0.0)
        return Explanation(zone, revision, refusal=refusal)
    route = view.route_table.find(flow_id)
    if route is None:
        decision = flow_placement.decide(view, flow_id, zone, now, reserved_requests)
        refusal_or_none = _make_refusal(flow_id, decision, queue_seconds)
        return Explanation(zone, revision, refusal=refusal_or_none)

    def explain_service(share: routes.Share) -> ServiceExplanation:
        decision = flow_placement.select(
            view.eligible(share.service),
            route,
            share.service,
            zone,
            preference.order_of(flow_id),
            now,
            reserved_requests,
        )
        return ServiceExplanation(
            share.service,
            share.weight,
            _describe_agents(
                view,
                route,
                share.service,
                zone,
                decision,
                reserved_requests(share.service, route.priority),
                now,
            ),
            decision.agent.member.name if decision.agent is not None else None,
            _make_refusal(flow_id, decision, queue_seconds),
        )

    services = tuple(map(explain_service, route.shares))
    return Explanation(zone, revision, route.name, services)


def _make_refusal(
    flow_id: packets.FlowId,
    decision: flow_placement.Decision,
    queue_seconds: QueueSeconds,
) -> Refusal | None:
    if decision.reason is None:
        return None
    return Refusal(decision.reason, queue_seconds(flow_id, decision))


def _describe_agents(
    view: cluster_view.ClusterView,
    route: routes.Route,
    service: identifiers.ServiceName,
    zone: identifiers.ZoneName,
    decision: flow_placement.Decision,
    reserved: float,
    now: float,
) -> tuple[Candidate, ...]:
    """Describe all agents of a service, the chosen one and the best first."""
    accepting = {agent.packet_address for agent in decision.candidates}
    median = agent_selection.median_service_seconds(decision.candidates)

    def describe(agent: directory.Agent) -> Candidate:
        known = agent_selection.Candidate(agent, agent.expected_change(now))
        if agent.packet_address in accepting:
            exclusion = agent_selection.find_exclusion(
                known, route.objective_seconds, now, reserved
            )
        else:
            exclusion = view.exclusion(agent, service) or exclusions.Exclusion.LEFT_OUT
        return Candidate(
            node=agent.member.name,
            address=str(agent.packet_address),
            zone=agent.member.zone,
            exclusion=exclusion,
            flows=agent.load.flows,
            requests=max(0.0, agent.load.requests + known.expected_change),
            slots=agent.load.slots,
            service_seconds=agent.load.service_seconds,
            load_age_seconds=_finite_age(agent, now),
            expected_wait=agent_selection.expected_wait(known, zone, median),
        )

    described = [describe(agent) for agent in view.agents.of_service(service)]
    chosen = decision.agent.member.name if decision.agent is not None else None
    described.sort(
        key=lambda c: (c.node != chosen, c.exclusion is not None, c.expected_wait)
    )
    return tuple(described)


def _finite_age(agent: directory.Agent, now: float) -> float | None:
    age = now - agent.load_at
    return age if math.isfinite(age) else None
