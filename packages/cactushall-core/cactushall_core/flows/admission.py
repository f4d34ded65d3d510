"""Whether a backend server should get one more request.

The load that this answers: all callers at once after an outage, on servers that are
still slow. A server works on its requests in their order, so each request beyond those
that it can answer in time makes all that follow late as well; a slot without a request
is lost.
"""

from __future__ import annotations

from cactushall_core.flows import messages

# One request runs while the next one is on its way.
MIN_REQUESTS_PER_SLOT = 2.0
MAX_REQUESTS_PER_SLOT = 6.0
OBJECTIVE_SHARE = 0.35


def has_room(load: messages.Load, expected: float, objective_seconds: float) -> bool:
    """Tell whether one more request is likely to be answered in time.

    Args:
        load: The backend server's load as last known.
        expected: Requests that are about to reach it, less those that it has answered
            since.
        objective_seconds: Time in which a request should be answered, 0 for any.
    """
    requests = max(0.0, load.requests + expected)
    slots = max(1, load.slots)
    if requests >= MAX_REQUESTS_PER_SLOT * slots:
        return False
    if requests < MIN_REQUESTS_PER_SLOT * slots or objective_seconds <= 0:
        return True
    seconds = (requests / slots + 1) * load.service_seconds
    return seconds <= OBJECTIVE_SHARE * objective_seconds


def answered_since(load: messages.Load, age_seconds: float) -> float:
    """Return how many requests a backend server has answered since its load was told.

    Args:
        load: Its load as last known.
        age_seconds: How long ago that was.
    """
    if load.service_seconds <= 0:
        return 0.0
    return min(load.requests, load.slots * age_seconds / load.service_seconds)
