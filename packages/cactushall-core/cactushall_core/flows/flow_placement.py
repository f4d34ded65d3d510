"""Decides which agent gets a new flow, or why none does.

Pending flows are placed by it; an explanation shows what it would decide.
"""

from __future__ import annotations

import collections.abc
import random

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    agent_selection,
    cluster_view,
    directory,
    packets,
    routes,
)

NO_ADDRESSES: frozenset[addresses.Address] = frozenset()


class Decision(msgspec.Struct, frozen=True):
    """Which agent gets a new flow.

    Attributes:
        candidates: Agents that accept the flow.
        agent: The agent that gets it, None where none does.
        reason: Why no agent gets it, None where one does.
    """

    candidates: list[directory.Agent] = []
    agent: directory.Agent | None = None
    reason: actions.Reason | None = None


def decide(
    view: cluster_view.ClusterView,
    flow_id: packets.FlowId,
    zone: identifiers.ZoneName,
    rng: random.Random,
    now: float,
    tried: collections.abc.Set[addresses.Address] = NO_ADDRESSES,
    declined: collections.abc.Set[addresses.Address] = NO_ADDRESSES,
) -> Decision:
    """Decide which agent gets a flow, preferably one that has not had it.

    Args:
        view: Routes and agents.
        flow_id: The flow.
        zone: Availability zone of the caller.
        rng: Breaks ties.
        now: Current time in seconds.
        tried: Agents that have had the flow.
        declined: Agents that have declined it for another reason than being full.
    """
    table = view.route_table
    if not table.is_known:
        return Decision(reason=actions.Reason.NO_SERVER)
    route = table.find(flow_id)
    if route is None:
        return Decision(reason=actions.Reason.NO_ROUTE)
    service = route.service_of(flow_id)
    return select(view, route, service, zone, rng, now, tried, declined)


def select(
    view: cluster_view.ClusterView,
    route: routes.Route,
    service: identifiers.ServiceName,
    zone: identifiers.ZoneName,
    rng: random.Random,
    now: float,
    tried: collections.abc.Set[addresses.Address] = NO_ADDRESSES,
    declined: collections.abc.Set[addresses.Address] = NO_ADDRESSES,
) -> Decision:
    """Decide which agent of a service gets a flow of a route; see `decide`."""
    accepting = view.accepting(service)
    candidates = [a for a in accepting if a.packet_address not in declined]
    if not candidates:
        return Decision(reason=actions.Reason.NO_SERVER)
    untried = [a for a in candidates if a.packet_address not in tried]
    agent = agent_selection.select_agent(
        untried or candidates, zone, route.objective_seconds, rng, now
    )
    reason = actions.Reason.NO_CAPACITY if agent is None else None
    return Decision(candidates, agent, reason)
