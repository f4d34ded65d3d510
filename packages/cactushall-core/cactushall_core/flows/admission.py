"""Decides whether a backend server should get one more request.

The policy is made for all callers returning at once after an outage, to servers that
are still slow. A server handles requests in order, so each request beyond those that it
can answer in time makes all later ones late as well; an idle slot wastes capacity.
"""

from __future__ import annotations

from cactushall_core.flows import messages

# One request runs while the next one is in transit.
MIN_REQUESTS_PER_SLOT = 2.0
MAX_REQUESTS_PER_SLOT = 6.0
OBJECTIVE_SHARE = 0.35


def has_capacity(
    load: messages.Load,
    expected_change: float,
    objective_seconds: float,
    reserved_requests: float = 0.0,
) -> bool:
    """Return whether one more request is likely to be answered in time.

    Args:
        load: The load that the backend server last reported.
        expected_change: Requests that are about to reach it, less those that it has
            answered since that report.
        objective_seconds: Time in which a request should be answered, 0 for no limit.
        reserved_requests: Requests per slot beyond the regular limit that are reserved
            for requests like this one.
    """
    slots = max(1, load.slots)
    regular = load.requests + expected_change - reserved_requests * slots
    requests = max(0.0, regular)
    if requests >= MAX_REQUESTS_PER_SLOT * slots:
        return False
    if requests < MIN_REQUESTS_PER_SLOT * slots or objective_seconds <= 0:
        return True
    seconds = (requests / slots + 1) * load.service_seconds
    return seconds <= OBJECTIVE_SHARE * objective_seconds


def seconds_until_capacity(
    load: messages.Load,
    expected_change: float,
    objective_seconds: float,
    reserved_requests: float = 0.0,
) -> float:
    """Estimate when a backend server has capacity if it gets nothing else.

    Args:
        load: The load that the backend server last reported.
        expected_change: Requests that are about to reach it, less those that it has
            answered since that report.
        objective_seconds: Time in which a request should be answered, 0 for no limit.
        reserved_requests: Requests per slot beyond the regular limit that are reserved
            for requests like this one.
    """
    limit = MAX_REQUESTS_PER_SLOT
    if objective_seconds > 0 and load.service_seconds > 0:
        in_time = OBJECTIVE_SHARE * objective_seconds / load.service_seconds - 1
        limit = min(limit, max(MIN_REQUESTS_PER_SLOT, in_time))
    waiting = (load.requests + expected_change) / max(1, load.slots)
    return max(0.0, waiting - limit - reserved_requests) * load.service_seconds


def estimate_answered(load: messages.Load, age_seconds: float) -> float:
    """Estimate how many requests a backend server has answered since a load report.

    Args:
        load: The reported load.
        age_seconds: Age of the report.
    """
    if load.service_seconds <= 0:
        return 0.0
    return min(load.requests, load.slots * age_seconds / load.service_seconds)
