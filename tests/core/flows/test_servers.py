"""Tests of an agent's view of the starts of its backend server."""

from __future__ import annotations

import pytest

from cactushall_core.flows import servers
from tests.core.flows import builders

HEARTBEAT = builders.HEARTBEAT_SECONDS
SILENCE = servers.MISSED_HEARTBEATS * HEARTBEAT
LATER_START = 10**9
APPLIED = servers.Outcome.APPLIED
OTHER_START = servers.Outcome.OTHER_START


@pytest.fixture
def server():
    """A server whose latest announcement, at 0 s, names a later start than its own."""
    made = builders.make_server()
    made.handle_announcement(builders.announcement(1, "odd", LATER_START), 0.0)
    return made


def announce(server, number, now, **changed):
    """Handle an announcement of the start that counts as an earlier one."""
    said = builders.announcement(number, "s1", **changed)
    return server.handle_announcement(said, now)


def test_a_server_that_goes_on_is_heard_once_a_later_start_is_silent(server):
    """Guards against one odd heartbeat that silences a server for good."""
    outcomes = [announce(server, n, n * HEARTBEAT) for n in range(1, 6)]
    assert outcomes == [OTHER_START] * 3 + [APPLIED] * 2
    assert server.latest_announcement.id == "s1"
    assert server.state is servers.State.READY
    assert announce(server, 6, 6 * HEARTBEAT, is_draining=True) is APPLIED
    assert server.state is servers.State.DRAINING


def test_a_server_whose_clock_was_set_back_is_heard_after_its_restart():
    """Guards against a restarted server that gets no more flows."""
    made = builders.make_server()
    made.handle_announcement(builders.announcement(7, "before", 5000), 0.0)
    times = [SILENCE + n * HEARTBEAT for n in range(1, 3)]
    outcomes = [announce(made, n, at) for n, at in enumerate(times, 1)]
    assert outcomes == [OTHER_START, APPLIED]


def test_one_late_announcement_counts_for_nothing_while_the_server_is_silent(server):
    """Guards against a late heartbeat that revives a server which has crashed."""
    for now in (SILENCE + 1, SILENCE + 3, SILENCE + 5):
        assert announce(server, 4, now) is OTHER_START
    assert server.latest_announcement.id == "odd"


def test_late_announcements_that_arrive_together_count_for_nothing(server):
    for number in range(4, 8):
        now = SILENCE + 1 + number * HEARTBEAT / 100
        assert announce(server, number, now) is OTHER_START


def test_announcements_of_several_earlier_starts_do_not_add_up(server):
    for number in range(1, 9):
        now = SILENCE + number * HEARTBEAT
        said = builders.announcement(number, f"s{number % 2}", started=number % 2)
        assert server.handle_announcement(said, now) is OTHER_START


def test_a_later_start_counts_at_once_when_it_is_heard_again(server):
    for number in range(1, 6):
        announce(server, number, number * HEARTBEAT)
    again = builders.announcement(2, "odd", LATER_START)
    assert server.handle_announcement(again, 6 * HEARTBEAT) is APPLIED
    assert announce(server, 6, 6.1 * HEARTBEAT) is OTHER_START


def test_an_announcement_that_overtook_another_of_its_start_is_no_earlier_start():
    made = builders.make_server()
    announce(made, 2, 0.0, is_draining=True)
    assert announce(made, 1, 0.1) is servers.Outcome.STALE
    assert made.state is servers.State.DRAINING


def test_a_deregistration_before_any_announcement_proves_no_end():
    """Guards against another writer that stops a server which has just started."""
    made = builders.make_server()
    made.handle_stopped("unknown", 0.1)
    made.record_health_check_success(0.2)
    assert made.state is servers.State.READY
    assert not made.has_certainly_stopped


def test_a_deregistration_of_an_unknown_server_ends_belief_in_its_health_check():
    """Guards against flows to a server that ended beside an agent that restarted."""
    made = builders.make_server()
    made.record_health_check_success(0.1)
    made.handle_stopped("unknown", 0.2)
    assert made.state is servers.State.UNKNOWN


@pytest.fixture
def draining():
    """A server that was acknowledged to drain at 0 s."""
    made = builders.make_server()
    announce(made, 1, -HEARTBEAT)
    announce(made, 2, 0.0, is_draining=True)
    return made


def test_a_late_heartbeat_does_not_take_back_that_a_server_drains(draining):
    """Guards against new flows at a server whose end of service was acknowledged."""
    late = builders.announcement(2, "before", LATER_START)
    assert draining.handle_announcement(late, 0.5) is OTHER_START
    assert draining.state is servers.State.DRAINING
    assert announce(draining, 3, HEARTBEAT, is_draining=True) is APPLIED
    assert draining.handle_announcement(late, 3 * HEARTBEAT) is OTHER_START
    assert draining.state is servers.State.DRAINING


def test_late_heartbeats_together_do_not_take_back_that_a_server_drains(draining):
    for number in range(2, 6):
        late = builders.announcement(number, "before", LATER_START)
        now = HEARTBEAT + number * HEARTBEAT / 100
        assert draining.handle_announcement(late, now) is OTHER_START


def test_the_successor_of_a_server_that_drained_is_heard_once_that_is_silent(draining):
    """Guards against a started server that gets no flows."""
    heard_at = [HEARTBEAT / 2 + n * HEARTBEAT for n in range(5)]
    outcomes = [
        draining.handle_announcement(builders.announcement(n, "next", LATER_START), at)
        for n, at in enumerate(heard_at, 1)
    ]
    assert outcomes == [OTHER_START] * 3 + [APPLIED] * 2
    assert draining.state is servers.State.READY


def test_the_successor_of_a_server_that_has_deregistered_is_heard_at_once(draining):
    draining.handle_stopped("s1", 1.0)
    said = builders.announcement(1, "next", LATER_START)
    assert draining.handle_announcement(said, 1.1) is APPLIED


def test_unanswered_opening_packets_do_not_take_back_that_a_server_drains():
    """Guards against a health check that makes a draining server ready again."""
    made = builders.make_server()
    announce(made, 1, 0.0)
    for _ in range(servers.MAX_UNANSWERED):
        made.record_opening_sent(0.0)
    announce(made, 2, 0.1, is_draining=True)
    made.record_opening_sent(0.1)
    made.record_opening_sent(0.1)
    made.tick(1.0)
    made.record_health_check_success(1.1)
    assert made.state is servers.State.DRAINING


def test_a_health_check_does_not_count_after_an_announcement(draining):
    """Guards against a health check that is good while its server leaves."""
    assert draining.tick(SILENCE + 0.1)
    draining.record_health_check_success(SILENCE + 0.2)
    assert draining.state is servers.State.UNKNOWN
