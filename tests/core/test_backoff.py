"""Tests of the backoff while the store is unavailable."""

from __future__ import annotations

import random

import pytest

from cactushall_core import backoff

STORE_READS_PER_SECOND = 2000.0


def call_times(members, until, *, is_urgent):
    """Return when all members together call a store that never answers."""
    times = []
    for seed in range(members):
        rng = random.Random(seed)
        now, failures = 0.0, 0
        while now < until:
            times.append(now)
            failures += 1
            now += backoff.retry_delay_seconds(
                failures, members, rng, is_urgent=is_urgent
            )
    return sorted(times)


def test_member_without_configuration_retries_soon():
    rng = random.Random(1)
    delays = [
        backoff.retry_delay_seconds(n, 2, rng, is_urgent=True) for n in range(1, 30)
    ]
    assert delays[0] <= backoff.INITIAL_BACKOFF_SECONDS * (1 + backoff.JITTER)
    assert max(delays) <= backoff.MAX_BACKOFF_SECONDS * (1 + backoff.JITTER)


@pytest.mark.parametrize("outage", [0.5, 1.3, 2.0, 4.0])
def test_some_member_retries_soon_after_an_outage_of_any_length(outage):
    times = call_times(20, 6.0, is_urgent=True)
    first = next(time for time in times if time >= outage)
    assert first - outage < 0.15


@pytest.mark.parametrize("members", [20, 300, 6300])
def test_all_members_together_stay_within_the_call_rate_of_the_store(members):
    times = call_times(members, 60.0, is_urgent=True)
    for second in range(2, 60):
        calls = sum(second <= time < second + 1 for time in times)
        assert calls < STORE_READS_PER_SECOND / 5


def test_member_with_configuration_waits_the_maximum_backoff():
    rng = random.Random(1)
    delay = backoff.retry_delay_seconds(1, 20, rng, is_urgent=False)
    assert delay >= backoff.MAX_BACKOFF_SECONDS * (1 - backoff.JITTER)
