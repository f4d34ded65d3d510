"""Which agent gets a new flow.

The load that this answers: long flows, whose requests follow one another, beside flows
of one request each, on backend servers with one or two slots.
"""

from __future__ import annotations

import random
import typing

from cactushall_core import identifiers
from cactushall_core.flows import admission, directory

FLOW_WEIGHT = 0.05
FAR_PENALTY = 0.1


def cost(
    agent: directory.Agent,
    zone: identifiers.ZoneName,
    service_seconds: float,
    now: float,
) -> float:
    """Return how long a new flow's requests may wait at an agent, in service times.

    Args:
        agent: The agent.
        zone: Availability zone of the caller.
        service_seconds: Usual service time; 0 where nothing is known.
        now: Present time in seconds.
    """
    load = agent.load
    slowness = 1.0
    if service_seconds > 0 and load.service_seconds > 0:
        slowness = load.service_seconds / service_seconds
    requests = max(0.0, load.requests + agent.expected(now))
    flows = load.flows + agent.unanswered_count(now)
    waiting = requests + FLOW_WEIGHT * flows
    far = FAR_PENALTY if agent.member.zone != zone else 0.0
    return waiting / max(1, load.slots) * slowness + far


def usual_service_seconds(agents: typing.Sequence[directory.Agent]) -> float:
    """Return the middle service time of some agents, 0 where none is known."""
    known = sorted(a.load.service_seconds for a in agents if a.load.service_seconds > 0)
    return known[len(known) // 2] if known else 0.0


def has_room(agent: directory.Agent, objective_seconds: float, now: float) -> bool:
    """Tell whether a new request is likely to be answered in time by an agent.

    Args:
        agent: The agent.
        objective_seconds: Time in which a request should be answered, 0 for any.
        now: Present time in seconds.
    """
    if agent.full_until > now:
        return False
    expected = agent.expected(now)
    return admission.has_room(agent.load, expected, objective_seconds)


def choose(
    agents: typing.Sequence[directory.Agent],
    zone: identifiers.ZoneName,
    objective_seconds: float,
    rng: random.Random,
    now: float,
) -> directory.Agent | None:
    """Return the agent that a new flow should go to, None where none has room.

    Args:
        agents: Agents that take flows of the service.
        zone: Availability zone of the caller.
        objective_seconds: Time in which a request should be answered, 0 for any.
        rng: Breaks ties.
        now: Present time in seconds.
    """
    roomy = [agent for agent in agents if has_room(agent, objective_seconds, now)]
    if not roomy:
        return None
    usual = usual_service_seconds(roomy)
    return min(roomy, key=lambda agent: (cost(agent, zone, usual, now), rng.random()))
