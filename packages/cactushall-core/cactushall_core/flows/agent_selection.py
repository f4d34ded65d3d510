"""Selects the agent that gets a new flow.

The policy is made for long flows with successive requests beside flows of one request
each, on backend servers with one or two slots.
"""

from __future__ import annotations

import collections.abc
import typing

from cactushall_core import identifiers
from cactushall_core.flows import (
    admission,
    cold_start,
    directory,
    exclusions,
    preference,
)

OPEN_FLOW_WEIGHT = 0.05
REMOTE_ZONE_PENALTY = 0.1
# Estimates of requests are fractions; a smaller one is more likely a busy slot.
MIN_IDLE_SLOTS = 0.5
# A report that the server is not cold any more may be lost; the agent keeps the limit.
ALLOWANCE_RETENTION_SECONDS = 2.0


class Candidate(typing.NamedTuple):
    """An agent that accepts new flows.

    Attributes:
        agent: The agent, without flows whose acknowledgement is overdue.
        expected_change: Expected change of its requests since its last report.
    """

    agent: directory.Agent
    expected_change: float


Predicate = collections.abc.Callable[[Candidate], bool]


def expected_wait(
    candidate: Candidate, zone: identifiers.ZoneName, median_service_seconds: float
) -> float:
    """Estimate the wait of a new flow's requests at an agent, in service times.

    Args:
        candidate: The agent.
        zone: Availability zone of the caller.
        median_service_seconds: Median service time of all agents, 0 if unknown.
    """
    agent = candidate.agent
    load = agent.load
    slowness = 1.0
    if median_service_seconds > 0 and load.service_seconds > 0:
        slowness = load.service_seconds / median_service_seconds
    requests = max(0.0, load.requests + candidate.expected_change)
    flows = load.flows + len(agent.unacknowledged)
    waiting = requests + OPEN_FLOW_WEIGHT * flows
    penalty = REMOTE_ZONE_PENALTY if agent.member.zone != zone else 0.0
    return waiting / max(1, load.slots) * slowness + penalty


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
    candidate = Candidate(agent, agent.expected_change(now))
    exclusion = find_exclusion(candidate, objective_seconds, now, reserved_requests)
    return exclusion is None


def find_exclusion(
    candidate: Candidate,
    objective_seconds: float,
    now: float,
    reserved_requests: float = 0.0,
) -> exclusions.Exclusion | None:
    """Return why an agent that accepts flows lacks capacity, None where it has some."""
    agent = candidate.agent
    if agent.full_until > now:
        return exclusions.Exclusion.BACKING_OFF
    if not has_cold_allowance(agent, now):
        return exclusions.Exclusion.COLD
    if not admission.has_capacity(
        agent.load, candidate.expected_change, objective_seconds, reserved_requests
    ):
        return exclusions.Exclusion.FULL
    return None


def has_cold_allowance(agent: directory.Agent, now: float) -> bool:
    """Return whether an agent has no limit, or is likely to be within it."""
    age_seconds = now - agent.load_at
    if agent.cold_allowance < 0 or age_seconds > ALLOWANCE_RETENTION_SECONDS:
        return True
    return cold_start.has_allowance(
        agent.cold_allowance,
        age_seconds,
        agent.unacknowledged_count(now),
        agent.cold_refill_per_second,
    )


def select_agent(
    agents: typing.Sequence[directory.Agent],
    zone: identifiers.ZoneName,
    objective_seconds: float,
    order: preference.Order,
    now: float,
    reserved_requests: float = 0.0,
) -> directory.Agent | None:
    """Return the agent that should get a new flow, None where none has capacity.

    It is the better one of a few agents that are drawn in an order of the flow's own,
    because entries that all chose the best of all agents by the same reports would
    overload it together.
    Agents of another zone are drawn where none of those drawn in the caller's zone is
    expected to have an idle slot, and agents that are held back where no other has
    capacity.

    Args:
        agents: Agents that accept new flows of the service.
        zone: Availability zone of the caller.
        objective_seconds: Time in which a request should be answered, 0 for no limit.
        order: Sorts agents in the order in which they are drawn for the flow.
        now: Current time in seconds.
        reserved_requests: Requests per slot that it may use beyond the regular limit.
    """

    def can_take(candidate: Candidate) -> bool:
        exclusion = find_exclusion(candidate, objective_seconds, now, reserved_requests)
        return exclusion is None

    regular = [agent for agent in agents if agent.held_back_until <= now]
    candidates = _draw_candidates(regular, zone, can_take, order, now)
    if not candidates and len(regular) < len(agents):
        held_back = [agent for agent in agents if agent.held_back_until > now]
        candidates = _draw_candidates(held_back, zone, can_take, order, now)
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0].agent
    median = median_service_seconds(agents)
    best = min(candidates, key=lambda c: expected_wait(c, zone, median))
    return best.agent


def _draw_candidates(
    agents: list[directory.Agent],
    zone: identifiers.ZoneName,
    can_take: Predicate,
    order: preference.Order,
    now: float,
) -> list[Candidate]:
    """Draw agents of the caller's zone, and of others where it has no idle slot."""
    near = [agent for agent in agents if agent.member.zone == zone]
    candidates = _draw(order(near), can_take, now)
    if not any(_has_idle_slot(candidate) for candidate in candidates):
        far = [agent for agent in agents if agent.member.zone != zone]
        candidates += _draw(order(far), can_take, now)
    return candidates


def _draw(
    agents: list[directory.Agent], can_take: Predicate, now: float
) -> list[Candidate]:
    """Return the first of some agents that have capacity."""
    candidates: list[Candidate] = []
    for agent in agents:
        candidate = Candidate(agent, agent.expected_change(now))
        if can_take(candidate):
            candidates.append(candidate)
            if len(candidates) == preference.CHOICES:
                break
    return candidates


def _has_idle_slot(candidate: Candidate) -> bool:
    load = candidate.agent.load
    return load.requests + candidate.expected_change <= load.slots - MIN_IDLE_SLOTS
