"""Tests of when an agent reports its load."""

from __future__ import annotations

import msgspec
import pytest

from cactushall_core.flows import messages, reports

LOAD = messages.Load(flows=10, requests=2, slots=1, service_seconds=0.1)
# Within one interval, the backend server answers both requests.
IDLE = msgspec.structs.replace(LOAD, requests=0)
NEXT = reports.REPORT_INTERVAL_SECONDS + 0.01


@pytest.fixture
def reporter():
    made = reports.LoadReporter(0.0)
    assert made.is_due(LOAD, 0.0)
    return made


def test_what_entries_expect_already_is_not_reported(reporter):
    # Guards against a message to each entry for each answer that it counts on.
    assert not reporter.is_due(IDLE, NEXT)


@pytest.mark.parametrize(
    "change",
    [
        {"requests": 1},
        {"flows": 13},
        {"slots": 2},
        {"service_seconds": 0.12},
        {"failure_share": 0.05},
        {"cold_allowance": 3.0},
    ],
)
def test_what_entries_do_not_expect_is_reported(reporter, change):
    assert reporter.is_due(msgspec.structs.replace(IDLE, **change), NEXT)


@pytest.mark.parametrize("change", [{"flows": 11}, {"service_seconds": 0.105}])
def test_a_small_change_is_reported_late(reporter, change):
    # Guards against a difference that is never reported, where a message was lost.
    load = msgspec.structs.replace(IDLE, **change)
    assert not reporter.is_due(load, NEXT)
    assert reporter.is_due(load, reports.MAX_REPORT_INTERVAL_SECONDS + NEXT)


def test_freed_capacity_is_reported_early(reporter):
    # Flows that are queued at entries wait for it.
    load = msgspec.structs.replace(LOAD, requests=0)
    early = reports.CAPACITY_REPORT_MIN_INTERVAL_SECONDS + 0.01
    assert reporter.is_due(load, early)


def test_an_unchanged_load_is_not_reported_again(reporter):
    assert not reporter.is_due(LOAD, 10.0)
