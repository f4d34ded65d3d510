"""Tests of the reserve of the highest priority and the minimum of the others."""

from __future__ import annotations

import pytest

from cactushall_core.flows import priorities
from tests.core.flows import builders


def make(*levels):
    """Return priorities of a service that has one route of each given priority."""
    made = priorities.Priorities()
    made.update_routes(builders.priority_table(*levels))
    return made


def test_one_priority_has_no_reserve_and_is_never_due():
    made = make(2, 2)
    for _ in range(100):
        made.record_admitted(builders.SERVICE, 2)
    assert made.reserved_requests(builders.SERVICE, 2) == 0
    assert not made.is_due(builders.SERVICE, 2)


def test_only_the_highest_priority_has_a_reserve():
    made = make(1, 2)
    assert made.reserved_requests(builders.SERVICE, 1) > 0
    assert made.reserved_requests(builders.SERVICE, 2) == 0


@pytest.mark.parametrize("levels", [(1, 2), (1, 2, 3)])
def test_a_burst_of_high_priority_owes_every_lower_priority_a_minimum(levels):
    made = make(*levels)
    served = dict.fromkeys(levels, 0)
    for _ in range(1000):
        due = [level for level in levels if made.is_due(builders.SERVICE, level)]
        level = due[-1] if due else 1
        made.record_admitted(builders.SERVICE, level)
        served[level] += 1
    for level in levels[1:]:
        assert 0.08 <= served[level] / 1000 <= 0.15


def test_credit_of_an_idle_priority_is_bounded():
    made = make(1, 2)
    for _ in range(1000):
        made.record_admitted(builders.SERVICE, 1)
    owed = 0
    while made.is_due(builders.SERVICE, 2):
        made.record_admitted(builders.SERVICE, 2)
        owed += 1
    assert owed == priorities.MAX_CREDIT


def test_routes_without_flows_take_neither_reserve_nor_share():
    """Guards against configured but unused routes of a higher priority."""
    made = priorities.Priorities()
    table = builders.priority_table(0, 0, 0, 1, 2)
    made.update_routes(table)
    *_, high, low = table.routes
    assert made.route_count(builders.SERVICE) == 5
    for _ in range(priorities.RECENT_OPENINGS):
        made.record_opening(builders.SERVICE, low)
        made.record_opening(builders.SERVICE, high)
    assert made.route_count(builders.SERVICE) == 2
    assert made.is_highest(builders.SERVICE, 1)
    assert made.reserved_requests(builders.SERVICE, 1) > 0
    assert made.reserved_requests(builders.SERVICE, 2) == 0


def test_a_route_that_is_used_again_counts_at_once():
    made = priorities.Priorities()
    table = builders.priority_table(1, 2)
    made.update_routes(table)
    high, low = table.routes
    for _ in range(2 * priorities.RECENT_OPENINGS):
        made.record_opening(builders.SERVICE, low)
    assert made.reserved_requests(builders.SERVICE, 1) == 0
    made.record_opening(builders.SERVICE, high)
    assert made.reserved_requests(builders.SERVICE, 1) > 0


def test_a_newer_table_keeps_what_is_known_of_its_routes():
    made = priorities.Priorities()
    table = builders.priority_table(0, 1, 2)
    made.update_routes(table)
    _, high, low = table.routes
    for _ in range(priorities.RECENT_OPENINGS):
        made.record_opening(builders.SERVICE, low)
        made.record_opening(builders.SERVICE, high)
    made.update_routes(builders.priority_table(0, 1, 2))
    assert made.route_count(builders.SERVICE) == 2
