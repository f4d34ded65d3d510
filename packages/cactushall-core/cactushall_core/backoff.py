"""Backoff of calls to the configuration store while it is unavailable.

It limits the load on the store after an outage during which all processes have
started at once and wait for their configuration.
"""

from __future__ import annotations

import random

MAX_FLEET_CALLS_PER_SECOND = 100.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
BACKOFF_FACTOR = 1.3
JITTER = 0.25


def retry_delay_seconds(
    failures: int, members: int, rng: random.Random, *, is_urgent: bool
) -> float:
    """Return the seconds to wait before the next call, with jitter.

    The members of a large fleet wait longer, so that all of them together stay within
    `MAX_FLEET_CALLS_PER_SECOND`. The first member that gets an answer informs the
    others.

    Args:
        failures: Calls that have failed in a row, 1 or more.
        members: Known members of the fleet.
        rng: Source of the jitter.
        is_urgent: Whether the caller has no configuration and cannot serve until it
            gets one.
    """
    backoff = MAX_BACKOFF_SECONDS
    if is_urgent:
        backoff = min(
            backoff, INITIAL_BACKOFF_SECONDS * BACKOFF_FACTOR ** (failures - 1)
        )
    fleet_interval = members / MAX_FLEET_CALLS_PER_SECOND
    return max(backoff, fleet_interval) * rng.uniform(1 - JITTER, 1 + JITTER)
