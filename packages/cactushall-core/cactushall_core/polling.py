"""When to ask a store again that gave no answer.

The load that this answers: all processes have started at once while the store is
away, and wait for their configuration.
"""

from __future__ import annotations

import random

FLEET_CALLS_PER_SECOND = 100.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.0
RETRY_GROWTH = 1.3
JITTER = 0.25


def retry_seconds(
    failures: int, members: int, rng: random.Random, *, is_urgent: bool
) -> float:
    """Return how long to wait before the next call.

    The members of a large fleet wait longer, so that all together call no more often
    than the store allows; whoever gets an answer first tells the others.

    Args:
        failures: Calls without an answer so far, 1 or more.
        members: Members of the fleet as far as known.
        rng: Spreads the calls of many members.
        is_urgent: Whether nothing can be served before the answer.
    """
    own = LONGEST_RETRY_SECONDS
    if is_urgent:
        own = min(own, FIRST_RETRY_SECONDS * RETRY_GROWTH ** (failures - 1))
    shared = members / FLEET_CALLS_PER_SECOND
    return max(own, shared) * rng.uniform(1 - JITTER, 1 + JITTER)
