"""Selects the agent that gets a new flow.

The policy is made for long flows with successive requests beside flows of one request
each, on backend servers with one or two slots.
"""

from __future__ import annotations

import random
import typing

from cactushall_core import identifiers
from cactushall_core.flows import admission, cold_start, directory, exclusions

OPEN_FLOW_WEIGHT = 0.05
REMOTE_ZONE_PENALTY = 0.1


def expected_wait(
    agent: directory.Agent,
    zone: identifiers.ZoneName,
    median_service_seconds: float,
    now: float,
) -> float:
    """Estimate the wait of a new flow's requests at an agent, in service times.

    Args:
        agent: The agent.
        zone: Availability zone of the caller.
        median_service_seconds: Median service time of the candidates, 0 if unknown.
        now: Current time in seconds.
    """
    load = agent.load
    slowness = 1.0
    if median_service_seconds > 0 and load.service_seconds > 0:
        slowness = load.service_seconds / median_service_seconds
    requests = max(0.0, load.requests + agent.expected_change(now))
    flows = load.flows + agent.unacknowledged_count(now)
    waiting = requests + OPEN_FLOW_WEIGHT * flows
    penalty = REMOTE_ZONE_PENALTY if agent.member.zone != zone else 0.0
    return waiting / max(1, load.slots) * slowness + penalty


def median_service_seconds(agents: typing.Sequence[directory.Agent]) -> float:
    """Return the median service time of some agents, 0 where none is known."""
    known = sorted(a.load.service_seconds for a in agents if a.load.service_seconds > 0)
    return known[len(known) // 2] if known else 0.0


def has_capacity(agent: directory.Agent, objective_seconds: float, now: float) -> bool:
    """Return whether a new request at an agent is likely to be answered in time.

    Args:
        agent: The agent.
        objective_seconds: Time in which a request should be answered, 0 for no limit.
        now: Current time in seconds.
    """
    return find_exclusion(agent, objective_seconds, now) is None


def find_exclusion(
    agent: directory.Agent, objective_seconds: float, now: float
) -> exclusions.Exclusion | None:
    """Return why an agent that accepts flows lacks capacity, None where it has some."""
    if agent.full_until > now:
        return exclusions.Exclusion.BACKING_OFF
    if not has_cold_allowance(agent, now):
        return exclusions.Exclusion.COLD
    change = agent.expected_change(now)
    if not admission.has_capacity(agent.load, change, objective_seconds):
        return exclusions.Exclusion.FULL
    return None


def has_cold_allowance(agent: directory.Agent, now: float) -> bool:
    """Return whether an agent has no limit, or is likely to be within it."""
    if agent.cold_allowance < 0:
        return True
    return cold_start.has_allowance(
        agent.cold_allowance,
        now - agent.load_at,
        agent.unacknowledged_count(now),
        agent.cold_refill_per_second,
    )


def select_agent(
    agents: typing.Sequence[directory.Agent],
    zone: identifiers.ZoneName,
    objective_seconds: float,
    rng: random.Random,
    now: float,
) -> directory.Agent | None:
    """Return the agent that should get a new flow, None where none has capacity.

    Args:
        agents: Agents that accept new flows of the service.
        zone: Availability zone of the caller.
        objective_seconds: Time in which a request should be answered, 0 for no limit.
        rng: Breaks ties.
        now: Current time in seconds.
    """
    available = [
        agent for agent in agents if has_capacity(agent, objective_seconds, now)
    ]
    if not available:
        return None
    median = median_service_seconds(available)
    return min(
        available,
        key=lambda agent: (expected_wait(agent, zone, median, now), rng.random()),
    )
