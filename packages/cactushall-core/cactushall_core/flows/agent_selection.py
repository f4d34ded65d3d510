"""Selects the agent that gets a new flow.

The policy is made for long flows with successive requests beside flows of one request
each, on backend servers with one or two slots.
"""

from __future__ import annotations

import random
import typing

from cactushall_core import identifiers
from cactushall_core.flows import admission, directory

OPEN_FLOW_WEIGHT = 0.05
REMOTE_ZONE_PENALTY = 0.1


class _Candidate(typing.NamedTuple):
    """An agent with capacity, and the expected change of its requests."""

    agent: directory.Agent
    expected_change: float


def expected_wait(
    agent: directory.Agent,
    zone: identifiers.ZoneName,
    median_service_seconds: float,
    expected_change: float,
) -> float:
    """Estimate the wait of a new flow's requests at an agent, in service times.

    Args:
        agent: The agent, without flows whose acknowledgement is overdue.
        zone: Availability zone of the caller.
        median_service_seconds: Median service time of the candidates, 0 if unknown.
        expected_change: Expected change of its requests since its last report.
    """
    load = agent.load
    waiting = OPEN_FLOW_WEIGHT * (load.flows + len(agent.unacknowledged))
    requests = load.requests + expected_change
    if requests > 0:
        waiting += requests
    if load.slots > 1:
        waiting /= load.slots
    if median_service_seconds > 0 and load.service_seconds > 0:
        waiting *= load.service_seconds / median_service_seconds
    if agent.member.zone != zone:
        waiting += REMOTE_ZONE_PENALTY
    return waiting


def median_service_seconds(agents: typing.Iterable[directory.Agent]) -> float:
    """Return the median service time of some agents, 0 where none is known."""
    reported = [agent.load.service_seconds for agent in agents]
    known = sorted([seconds for seconds in reported if seconds > 0])
    return known[len(known) // 2] if known else 0.0


def has_capacity(
    agent: directory.Agent,
    objective_seconds: float,
    now: float,
    reserved_requests: float = 0.0,
) -> bool:
    """Return whether a new request at an agent is likely to be answered in time.

    Args:
        agent: The agent.
        objective_seconds: Time in which a request should be answered, 0 for no limit.
        now: Current time in seconds.
        reserved_requests: Requests per slot that it may use beyond the regular limit.
    """
    if agent.full_until > now:
        return False
    expected_change = agent.expected_change(now)
    return admission.has_capacity(
        agent.load, expected_change, objective_seconds, reserved_requests
    )


def select_agent(
    agents: typing.Sequence[directory.Agent],
    zone: identifiers.ZoneName,
    objective_seconds: float,
    rng: random.Random,
    now: float,
    reserved_requests: float = 0.0,
) -> directory.Agent | None:
    """Return the agent that should get a new flow, None where none has capacity.

    Args:
        agents: Agents that accept new flows of the service.
        zone: Availability zone of the caller.
        objective_seconds: Time in which a request should be answered, 0 for no limit.
        rng: Breaks ties.
        now: Current time in seconds.
        reserved_requests: Requests per slot that it may use beyond the regular limit.
    """
    available = _with_capacity(agents, objective_seconds, now, reserved_requests)
    if not available:
        return None
    candidates = [c for c in available if c.agent.held_back_until <= now] or available
    median = median_service_seconds([agent for agent, _ in candidates])
    waits = [
        expected_wait(agent, zone, median, expected_change)
        for agent, expected_change in candidates
    ]
    shortest = min(waits)
    best = [
        candidate.agent
        for candidate, wait in zip(candidates, waits, strict=True)
        if wait <= shortest
    ]
    return best[0] if len(best) == 1 else rng.choice(best)


def _with_capacity(
    agents: typing.Sequence[directory.Agent],
    objective_seconds: float,
    now: float,
    reserved_requests: float,
) -> list[_Candidate]:
    """Return the agents at which a request is likely to be answered in time."""
    candidates = []
    for agent in agents:
        if agent.full_until > now:
            continue
        change = agent.expected_change(now)
        if admission.has_capacity(
            agent.load, change, objective_seconds, reserved_requests
        ):
            candidates.append(_Candidate(agent, change))
    return candidates
