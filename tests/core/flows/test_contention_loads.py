"""Tests of what callers get when routes compete for the servers of a service."""

from __future__ import annotations

import functools
import statistics

import pytest

from bench import loads
from tests.standins import load_site

SEEDS = range(2)
# Mean worth of requests over a play, half of which is the burst.
SERVED_IN_TIME = 0.95


@functools.cache
def simulate(plan, policy="own"):
    return [loads.simulate_contention(policy, plan, seed) for seed in SEEDS]


def worth(plan, name, policy="own"):
    """Return the mean worth of the requests of one kind."""
    kinds = {kind.name: kind for kind in loads.CONTENTION_PLANS[plan].kinds}
    late_score = kinds[name].late_score
    found = simulate(plan, policy)
    return statistics.mean(by_name[name].score(late_score) for by_name in found)


def total_worth(plan, policy="own"):
    """Return the mean worth of all requests by the scores of their kinds."""
    earned = possible = 0.0
    for kind in loads.CONTENTION_PLANS[plan].kinds:
        for by_name in simulate(plan, policy):
            result = by_name[kind.name]
            earned += kind.score * result.score(kind.late_score) * result.sent
            possible += kind.score * result.sent
    return earned / possible


def test_sufficient_capacity_serves_every_priority_as_before():
    for name in ("low", "high"):
        assert worth("capacity suffices", name) >= 0.995


@pytest.mark.parametrize(
    "plan", ["burst of low priority", "overload of everything", "burst in one zone"]
)
def test_a_burst_leaves_high_priority_served(plan):
    assert worth(plan, "high") >= SERVED_IN_TIME
    for policy in ("without priorities", "first come first served", "random placement"):
        assert worth(plan, "high") > worth(plan, "high", policy) + 0.04


def test_long_flows_of_low_priority_leave_room_for_high_priority():
    plan = "long flows of low priority"
    assert worth(plan, "high") > worth(plan, "high", "without priorities") + 0.07


def test_a_burst_of_high_priority_does_not_starve_low_priority():
    plan = "burst of high priority"
    assert worth(plan, "low") >= 0.6
    assert worth(plan, "high") > worth(plan, "high", "without priorities") + 0.07


def test_a_burst_of_downloads_leaves_callers_of_another_service_alone():
    for name in ("low", "high"):
        assert worth("burst of downloads", name) >= 0.995


def test_a_burst_of_one_route_leaves_another_of_equal_priority_its_share():
    plan = "burst of one route"
    for policy in ("without priorities", "first come first served", "random placement"):
        assert worth(plan, "equal") > worth(plan, "equal", policy) + 0.07


def test_a_burst_in_one_zone_does_not_starve_the_zone():
    assert worth("burst in one zone", "low") >= 0.5


@pytest.mark.parametrize("plan", list(loads.CONTENTION_PLANS))
def test_the_worth_of_all_requests_is_not_below_that_without_priorities(plan):
    # The means of two seeds differ by up to 0.02 where the policies decide alike.
    assert total_worth(plan) >= total_worth(plan, "without priorities") - 0.03


def test_low_priority_is_served_in_every_zone():
    plan = loads.CONTENTION_PLANS["overload of everything"]
    site = load_site.LoadSite(plan, 1)
    site.run()
    for zone in range(load_site.ZONES):
        result = load_site.kind_result(site, "low", zone)
        assert result.score(plan.kinds[0].late_score) >= 0.45
