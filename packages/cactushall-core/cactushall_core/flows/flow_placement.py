"""Decides which agent gets a new flow, or why none does.

Pending flows are placed by it; an explanation shows what it would decide.
"""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    agent_selection,
    cluster_view,
    directory,
    packets,
    preference,
    routes,
)

ReservedRequests = collections.abc.Callable[[identifiers.ServiceName, int], float]


class Attempts(typing.NamedTuple):
    """Agents that have had a flow.

    Attributes:
        tried: All of them.
        declined: Those that have declined it for another reason than being full.
    """

    tried: collections.abc.Set[addresses.Address]
    declined: collections.abc.Set[addresses.Address]


NO_ATTEMPTS = Attempts(frozenset(), frozenset())


class Decision(msgspec.Struct, frozen=True):
    """Which agent gets a new flow.

    Attributes:
        route: Its route, None where there is none.
        service: The service that it belongs to, None where there is no route.
        candidates: Agents that accept the flow.
        agent: The agent that gets it, None where none does.
        reason: Why no agent gets it, None where one does.
    """

    route: routes.Route | None = None
    service: identifiers.ServiceName | None = None
    candidates: list[directory.Agent] = []
    agent: directory.Agent | None = None
    reason: actions.Reason | None = None


def decide(
    view: cluster_view.ClusterView,
    flow_id: packets.FlowId,
    zone: identifiers.ZoneName,
    now: float,
    reserved_requests: ReservedRequests,
    attempts: Attempts = NO_ATTEMPTS,
) -> Decision:
    """Decide which agent gets a flow, preferably one that has not had it.

    Args:
        view: Routes and agents.
        flow_id: The flow.
        zone: Availability zone of the caller.
        now: Current time in seconds.
        reserved_requests: Returns how many requests per slot a flow of a service may
            use beyond the regular limit, by the priority of its route.
        attempts: Agents that have had the flow.
    """
    table = view.route_table
    if not table.is_known:
        return Decision(reason=actions.Reason.NO_SERVER)
    route = table.find(flow_id)
    if route is None:
        return Decision(reason=actions.Reason.NO_ROUTE)
    service = route.service_of(flow_id)
    accepting = view.accepting(service)
    return select(
        accepting,
        route,
        service,
        zone,
        preference.order_of(flow_id),
        now,
        reserved_requests,
        attempts,
    )


def select(
    accepting: list[directory.Agent],
    route: routes.Route,
    service: identifiers.ServiceName,
    zone: identifiers.ZoneName,
    order: preference.Order,
    now: float,
    reserved_requests: ReservedRequests,
    attempts: Attempts = NO_ATTEMPTS,
) -> Decision:
    """Decide which of some agents of a service gets a flow; see `decide`."""
    candidates = without_declined(accepting, attempts.declined)
    if not candidates:
        return Decision(route, service, reason=actions.Reason.NO_SERVER)
    untried = [a for a in candidates if a.packet_address not in attempts.tried]
    agent = agent_selection.select_agent(
        untried or candidates,
        zone,
        route.objective_seconds,
        order,
        now,
        reserved_requests(service, route.priority),
    )
    reason = actions.Reason.NO_CAPACITY if agent is None else None
    return Decision(route, service, candidates, agent, reason)


def without_declined(
    agents: list[directory.Agent], declined: collections.abc.Set[addresses.Address]
) -> list[directory.Agent]:
    """Return the agents that have not declined a flow for another reason than full."""
    return [agent for agent in agents if agent.packet_address not in declined]
