"""Tests of the service quality under the loads that the policies are made for."""

from __future__ import annotations

import dataclasses
import functools
import statistics
from unittest import mock

import pytest

from bench import loads
from cactushall_core.flows import cold_start
from tests.standins import load_site

# The mean worth of two seeds differs by 0.03 from that of many.
SEEDS = range(8)


@functools.cache
def mean_worth(plan, policy="own"):
    return statistics.mean(loads.simulate(policy, plan, seed)[0] for seed in SEEDS)


@pytest.mark.parametrize(
    ("plan", "minimum"),
    [
        ("surge after an outage, one slot", 0.74),
        ("surge after an outage, two slots", 0.73),
        ("swing", 0.96),
        ("one server in eight is slow", 0.96),
        ("straggler tail", 0.965),
        ("more than can be served", 0.70),
        ("one server", 0.93),
    ],
)
def test_service_quality_stays_above_minimum(plan, minimum):
    assert mean_worth(plan) >= minimum


@pytest.mark.parametrize("plan", list(loads.PLANS)[:2] + ["more than can be served"])
def test_admission_is_better_than_first_come_first_served(plan):
    assert mean_worth(plan) > mean_worth(plan, "first come first served") + 0.03


@pytest.mark.parametrize("plan", list(loads.PLANS)[:2] + ["more than can be served"])
def test_admission_is_better_than_none_with_the_same_placement(plan):
    assert mean_worth(plan) > mean_worth(plan, "no admission") + 0.01


@pytest.mark.parametrize("plan", ["swing", "one server in eight is slow"])
def test_placement_is_better_than_random(plan):
    assert mean_worth(plan) > mean_worth(plan, "random placement") + 0.01


SELECTION_SEEDS = range(2)


def mean_outcome(rule, plan):
    outcomes = [loads.simulate_selection(rule, plan, seed) for seed in SELECTION_SEEDS]
    return loads.SelectionOutcome(*map(statistics.mean, zip(*outcomes, strict=True)))


@pytest.mark.parametrize("plan", ["23 entries", "59 entries, one zone busy"])
def test_many_entries_do_not_send_to_the_same_servers(plan):
    # Guards against entries that agree, by the same old reports, on the best server.
    own, best_of_all = mean_outcome("own", plan), mean_outcome("best of all", plan)
    assert own.declined < 0.3 * best_of_all.declined
    assert own.mean_milliseconds < 0.85 * best_of_all.mean_milliseconds
    assert own.worth > best_of_all.worth


def test_few_entries_select_as_well_as_with_the_best_of_all():
    own, best_of_all = (
        mean_outcome("own", "4 entries"),
        mean_outcome("best of all", "4 entries"),
    )
    assert own.mean_milliseconds <= best_of_all.mean_milliseconds
    assert own.in_zone > best_of_all.in_zone


COLD_SURGE = load_site.Plan(
    7.0,
    load_site.constant_rate(150.0),
    outage=(2.0, 3.0),
    server_count=6,
    entry_count=10,
    new_flow_share=0.8,
    cold_seconds=3.0,
)
MOST_OPENED_COLD = 20
LIMITED_COLD_SURGE = dataclasses.replace(
    COLD_SURGE,
    cold_per_second=10.0,
    cold_overage=1.5,
    cold_slack=5.0,
    knows_entries=True,
)


def surge_onto_cold_servers(policy, plan):
    with loads.POLICIES[policy]():
        site = load_site.LoadSite(plan, 1)
        site.run()
    return site


@pytest.mark.parametrize("policy", ["own", "random placement"])
def test_a_surge_onto_cold_servers_stays_within_the_limit(policy):
    site = surge_onto_cold_servers(policy, LIMITED_COLD_SURGE)
    assert load_site.most_opened_cold(site) <= MOST_OPENED_COLD


@pytest.mark.parametrize("policy", ["own", "random placement"])
def test_the_same_surge_exceeds_the_limit_where_none_is_configured(policy):
    """Guards against a load that could not show a missing limit."""
    site = surge_onto_cold_servers(policy, COLD_SURGE)
    assert load_site.most_opened_cold(site) > MOST_OPENED_COLD


def test_entries_that_share_an_allowance_are_seldom_declined():
    """Guards against all entries using the whole allowance of each report."""
    plan = dataclasses.replace(LIMITED_COLD_SURGE, entry_count=59)
    shared = surge_onto_cold_servers("own", plan)
    with mock.patch.object(cold_start, "draw_share", lambda allowance, *_: allowance):
        whole = surge_onto_cold_servers("own", plan)
    assert shared.declined_cold < whole.declined_cold / 2

    def opened(site):
        return sum(len(server.opened_cold_at) for server in site.servers)

    assert opened(shared) > 0.85 * opened(whole)


# All callers return at once after an outage; each request opens a flow.
RETURN_SECONDS = 4.2
RECOVERY = load_site.Plan(
    9.0,
    load_site.constant_rate(250.0),
    outage=(3.0, 4.5),
    server_count=16,
    service_seconds=0.036,
    objective_seconds=0.42,
    deadline_seconds=5.2,
    late_score=0.3,
    new_flow_share=1.0,
    entry_count=8,
)


def failed_share(timeout_seconds):
    """Return the share of callers without an answer, by the timeout of the route."""
    plan = dataclasses.replace(RECOVERY, route_timeout_seconds=timeout_seconds)
    totals = [load_site.LoadSite(plan, seed).run() for seed in range(3)]
    return sum(t.failed for t in totals) / sum(t.sent for t in totals)


def test_callers_of_a_route_with_a_long_timeout_are_served_late_rather_than_refused():
    # Guards against callers that use up their attempts while the servers recover.
    refused_soon = failed_share(RETURN_SECONDS / 2)
    queued_longer = failed_share(RETURN_SECONDS)
    # Smaller differences count as noise.
    assert queued_longer < refused_soon - 0.03
