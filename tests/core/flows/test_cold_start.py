"""Tests of the limit of new flows to cold backend servers."""

from __future__ import annotations

import bisect
import itertools
import math
import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from cactushall_core import identifiers
from cactushall_core.flows import (
    actions,
    agent,
    agent_selection,
    cluster_view,
    cold_start,
    directory,
    entry,
    messages,
    reports,
    routes,
)
from tests.core.flows import builders

COLD_SECONDS = 6.0
LIMIT = routes.ColdLimit(COLD_SECONDS, 10.0)
OVERAGE = 1.5
SLACK = 5.0
MOST_PER_SECOND = 20
MOST_PER_BURST = 60
HEARTBEAT_SECONDS = 1.2
RATES = strategies.floats(0.1, 60.0)
GAPS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 2.5), strategies.integers(1, MOST_PER_BURST)
    ),
    min_size=1,
    max_size=40,
)


def announcement(number=1, started=100, cold_seconds=0.0):
    said = builders.announcement(number, started=started)
    return msgspec.structs.replace(said, cold_seconds=cold_seconds)


def route_table(limit=LIMIT, revision=1):
    table = builders.route_table(revision=revision)
    limits = {} if limit is None else {builders.SERVICE: limit}
    return msgspec.structs.replace(table, cold_limits=limits)


class Beside:
    """An agent beside a server, and the times of the new flows that were delivered."""

    def __init__(self, now=0.0, limit=LIMIT, overage=OVERAGE, slack=SLACK):
        """Start the agent, which has the configuration, without an announcement."""
        self.cold = cold_start.ColdStart(overage, slack)
        server = builders.make_server(HEARTBEAT_SECONDS)
        self.flows = agent.AgentFlows(server, now, self.cold)
        self.flows.update_routes(route_table(limit), now)
        self.server = server
        self.delivered_at = []
        self._ports = itertools.count(1024)

    def open(self, now, count=1):
        """Open some flows and close them at once; return how many were delivered."""
        delivered = 0
        for _ in range(count):
            flow = builders.FLOW._replace(caller_port=next(self._ports))
            opening = builders.opening_packet(flow=flow)
            (action,) = self.flows.handle_caller_packet(opening, builders.ENTRY, now)
            if isinstance(action, actions.DeliverToServer):
                delivered += 1
                self.delivered_at.append(now)
                answer = builders.opening_answer(flow)
                self.flows.handle_server_packet(answer, now)
                end = builders.packet(
                    flags=builders.packets.Flags.RST, flow=flow, acknowledgement=0
                )
                self.flows.handle_caller_packet(end, builders.ENTRY, now)
        return delivered


def most_in_a_second(times):
    return max(
        (bisect.bisect_right(times, at + 1.0) - i for i, at in enumerate(times)),
        default=0,
    )


@hypothesis.given(RATES, strategies.floats(1, 3), strategies.floats(0, 20), GAPS)
def test_no_window_of_a_second_exceeds_the_limit(rate, overage, slack, bursts):
    limit = routes.ColdLimit(1000.0, rate)
    beside = Beside(limit=limit, overage=overage, slack=slack)
    beside.flows.handle_announcement(announcement(), 0.0)
    now = 0.0
    for gap, count in bursts:
        now += gap
        beside.open(now, count)
    most = math.floor(rate * overage + slack)
    assert most_in_a_second(beside.delivered_at) <= most


@hypothesis.given(GAPS, strategies.integers(0, 39))
def test_an_agent_restart_does_not_exceed_the_limit(bursts, restarted_before):
    beside = Beside()
    beside.flows.handle_announcement(announcement(cold_seconds=1000.0), 0.0)
    now = 0.0
    times = []
    for index, (gap, count) in enumerate(bursts):
        now += gap
        if index == restarted_before:
            times, beside = beside.delivered_at, Beside(now)
            beside.flows.handle_announcement(
                announcement(number=9, cold_seconds=1000.0), now
            )
        beside.open(now, count)
    assert most_in_a_second(times + beside.delivered_at) <= MOST_PER_SECOND


@hypothesis.given(GAPS, strategies.integers(0, 39), strategies.floats(0.0, 1.0))
def test_a_server_start_that_was_not_noticed_counts(bursts, started_before, delay):
    """Guards against a second allowance when the first announcement comes late."""
    beside = Beside()
    beside.flows.handle_announcement(announcement(number=9), 0.0)
    now = 0.0
    delivered_before = len(bursts) * MOST_PER_BURST
    for index, (gap, count) in enumerate(bursts):
        now += gap
        if index == started_before:
            now += delay
            delivered_before = len(beside.delivered_at)
            beside.flows.handle_announcement(
                announcement(started=200, cold_seconds=1000.0), now
            )
        beside.open(now, count)
    times = beside.delivered_at
    for index in range(delivered_before, len(times)):
        first = bisect.bisect_left(times, times[index] - 1.0)
        assert index - first + 1 <= MOST_PER_SECOND


@pytest.mark.parametrize(
    ("rate", "overage", "slack", "most"),
    [
        (10.0, 1.5, 5.0, 20),
        (10.0, 1.0, 0.0, 10),
        (1.0, 1.0, 0.0, 1),
        (0.4, 1.0, 2.0, 2),
        (2.5, 1.5, 0.3, 4),
        (60.0, 1.1, 0.0, 66),
    ],
)
def test_a_burst_after_a_pause_and_the_refill_behind_it_stay_within_the_limit(
    rate, overage, slack, most
):
    """Guards against a burst that leaves no room for the refill of its second."""
    limit = routes.ColdLimit(1000.0, rate)
    beside = Beside(limit=limit, overage=overage, slack=slack)
    beside.flows.handle_announcement(announcement(), 0.0)
    for step in range(400):
        beside.open(60.0 + step * 0.01, 3)
    assert beside.delivered_at
    # A tenth of a second's refill is reserved for the jitter of deliveries.
    assert 0.9 * most - 1 <= most_in_a_second(beside.delivered_at) <= most


def test_a_start_after_a_long_load_costs_one_second_at_most():
    """Guards against a debt that grows with each flow before the start."""
    beside = Beside()
    beside.flows.handle_announcement(announcement(number=9), 0.0)
    for step in range(500):
        assert beside.open(step * 0.01) == 1
    beside.flows.handle_announcement(announcement(started=200), 5.0)
    assert beside.open(5.0 + 1.0) == 0
    assert beside.open(5.0 + 1.0 + 1.1 / LIMIT.requests_per_second) == 1


def test_sustained_surge_gets_the_configured_rate():
    beside = Beside(limit=routes.ColdLimit(100.0, 10.0))
    beside.flows.handle_announcement(announcement(), 0.0)
    for step in range(1000):
        beside.open(step * 0.05, 20)
    assert len(beside.delivered_at) == pytest.approx(500, abs=1)


def test_without_a_limit_all_new_flows_are_delivered():
    beside = Beside(limit=None)
    beside.flows.handle_announcement(announcement(cold_seconds=9.0), 0.0)
    assert beside.open(0.1, 500) == 500
    assert beside.flows.load.cold_allowance < 0
    assert not beside.cold.is_cold


def test_a_limit_below_one_request_lets_none_through_while_the_server_is_cold():
    beside = Beside(limit=routes.ColdLimit(COLD_SECONDS, 0.5), overage=1.0, slack=0.0)
    beside.flows.handle_announcement(announcement(), 0.0)
    assert beside.open(COLD_SECONDS - 0.1) == 0
    assert beside.open(COLD_SECONDS) == 1


def test_a_declined_flow_is_full_and_tells_the_allowance():
    beside = Beside()
    beside.flows.handle_announcement(announcement(), 0.0)
    opening = builders.opening_packet()
    (told,) = beside.flows.handle_caller_packet(opening, builders.ENTRY, 0.0)
    assert told.message.refusal is messages.Refusal.FULL
    assert told.message.load.cold_allowance == 0
    assert beside.cold.declined == 1
    beside.flows.tick(0.3)
    assert beside.flows.load.cold_allowance == 3


def test_a_retransmission_of_a_delivered_opening_packet_needs_no_allowance():
    beside = Beside()
    beside.flows.handle_announcement(announcement(), 0.0)
    for copy in range(3):
        opening = builders.opening_packet(copy)
        decided = beside.flows.handle_caller_packet(opening, builders.ENTRY, 0.15)
        assert decided == [actions.DeliverToServer(opening.datagram)]
    assert beside.open(0.15) == 0


def test_a_reused_port_is_a_new_flow():
    beside = Beside()
    beside.flows.handle_announcement(announcement(), 0.0)
    first = builders.opening_packet()
    beside.flows.handle_caller_packet(first, builders.ENTRY, 0.15)
    second = builders.opening_packet(sequence=builders.CALLER_START + 5000)
    (told,) = beside.flows.handle_caller_packet(second, builders.ENTRY, 0.15)
    assert told.message.refusal is messages.Refusal.FULL


def test_the_heartbeat_tells_how_long_the_server_stays_cold():
    beside = Beside()
    beside.flows.handle_announcement(announcement(number=9, cold_seconds=3.0), 0.0)
    assert beside.open(2.9, 500) < MOST_PER_SECOND
    assert beside.open(3.0, 500) == 500


def test_a_start_that_the_agent_saw_is_cold_for_the_configured_time():
    beside = Beside()
    beside.flows.handle_announcement(announcement(), 0.0)
    beside.flows.handle_announcement(announcement(number=2), 1.0)
    assert beside.open(COLD_SECONDS - 0.1, 500) < MOST_PER_SECOND
    assert beside.open(COLD_SECONDS, 500) == 500


def test_a_server_that_starts_again_is_cold_again():
    beside = Beside()
    beside.flows.handle_announcement(announcement(), 0.0)
    beside.flows.handle_announcement(announcement(number=6), 9.0)
    assert beside.open(9.0, 500) == 500
    beside.flows.handle_announcement(announcement(started=200), 20.0)
    assert beside.open(20.0, 500) < MOST_PER_SECOND
    assert beside.open(25.9, 500) < MOST_PER_SECOND
    assert beside.open(26.0, 500) == 500


def test_a_late_heartbeat_of_the_former_start_changes_nothing():
    beside = Beside()
    beside.flows.handle_announcement(announcement(number=9), 0.0)
    beside.flows.handle_announcement(announcement(started=200, cold_seconds=6.0), 10.0)
    beside.flows.handle_announcement(announcement(number=10), 10.1)
    assert beside.cold.is_cold
    beside.flows.handle_announcement(
        announcement(2, started=200, cold_seconds=2.0), 14.0
    )
    beside.flows.handle_announcement(
        announcement(1, started=200, cold_seconds=6.0), 14.1
    )
    beside.flows.tick(16.0)
    assert not beside.cold.is_cold


def test_a_server_known_only_by_its_health_check_counts_as_cold():
    """Guards against a burst by an agent that has restarted beside a cold server."""
    beside = Beside()
    beside.server.record_health_check_success(0.1)
    assert beside.open(0.1, 500) == 1
    beside.flows.handle_announcement(announcement(number=9), 0.2)
    assert beside.open(0.2, 500) == 500


def test_a_changed_limit_applies_from_the_next_flow():
    beside = Beside(limit=None)
    beside.flows.handle_announcement(announcement(number=9, cold_seconds=60.0), 0.0)
    assert beside.open(1.0, 100) == 100
    beside.flows.update_routes(route_table(revision=2), 1.0)
    assert beside.open(1.0, 100) == 0
    beside.flows.update_routes(route_table(None, revision=3), 1.1)
    assert beside.open(1.1, 100) == 100


def agent_with(load, entries=1):
    """Return an agent as an entry sees it that has just got a load report."""
    view = cluster_view.ClusterView(random.Random(1))
    view.update_routes(route_table())
    record = builders.agent_record(1)
    view.agents.update(record, 0.0)
    for number in range(entries):
        view.entries.update(builders.entry_record(number))
    one = view.agents.by_packet_address(record.member.tunnel_address)
    one.update_load(load, 0.0)
    one.cold_allowance = load.cold_allowance
    one.cold_refill_per_second = view.cold_refill_per_second(one)
    return one


def load(allowance):
    return msgspec.structs.replace(builders.IDLE_LOAD, cold_allowance=allowance)


def test_an_entry_counts_the_flows_that_it_has_sent_since_the_report():
    one = agent_with(load(2.0))
    assert agent_selection.has_cold_allowance(one, 0.0)
    one.unacknowledged = {builders.FLOW: 0.0, builders.OTHER_FLOW: 0.0}
    assert not agent_selection.has_cold_allowance(one, 0.0)


def test_an_entry_estimates_its_part_of_the_refill():
    one = agent_with(load(0.0))
    assert not agent_selection.has_cold_allowance(one, 0.09)
    assert agent_selection.has_cold_allowance(one, 0.11)
    shared = agent_with(load(0.0), entries=4)
    assert not agent_selection.has_cold_allowance(shared, 0.2)


@hypothesis.given(strategies.integers(0, 100), strategies.integers(1, 100))
def test_entries_together_use_an_allowance_a_bounded_number_of_times(
    allowance, entries
):
    rng = random.Random(allowance)
    shares = [cold_start.draw_share(allowance, entries, rng) for _ in range(entries)]
    assert all(0 <= share <= allowance for share in shares)
    # All shares are rounded by less than one.
    together = min(entries, cold_start.OVERBOOKING) * allowance
    assert abs(sum(shares) - together) < entries
    assert cold_start.draw_share(allowance, 1, rng) == allowance


def test_no_limit_is_not_shared():
    assert cold_start.draw_share(-1.0, 23, random.Random(1)) < 0


def test_a_load_that_was_not_reported_again_is_unchanged():
    one = agent_with(load(0.0), entries=4)
    retention = agent_selection.ALLOWANCE_RETENTION_SECONDS
    assert not agent_selection.has_cold_allowance(one, retention)


def test_an_agent_without_a_limit_has_no_allowance_to_lack():
    one = directory.Agent(builders.agent_record(1).member, 0, 0.0)
    assert agent_selection.has_cold_allowance(one, 0.0)


def test_a_flow_is_queued_while_all_servers_lack_allowance_then_refused():
    flows = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    flows.update_routes(route_table(), 0.0)
    flows.update_completeness(builders.COMPLETE, 0.0)
    record = builders.agent_record(1)
    flows.update_member(record, 0.0)
    for number in range(9):
        flows.update_member(builders.entry_record(number), 0.0)
    report = messages.LoadReport(load(0.0))
    flows.handle_message(record.member.control_address, report, 0.0)
    assert flows.handle_packet(builders.opening_packet(), 0.0) == []
    (reset,) = flows.tick(0.2)
    assert reset.reason is actions.Reason.NO_CAPACITY


def test_allowance_after_none_is_reported_soon():
    reporter = reports.LoadReporter(0.0)
    assert reporter.is_due(load(0.0), 0.0)
    assert not reporter.is_due(load(0.0), 0.1)
    assert reporter.is_due(load(1.0), 0.1)


def test_the_limit_of_another_service_is_not_applied():
    beside = Beside()
    other = identifiers.ServiceName("other")
    table = msgspec.structs.replace(route_table(revision=2), cold_limits={other: LIMIT})
    beside.flows.update_routes(table, 0.0)
    beside.flows.handle_announcement(announcement(), 0.0)
    assert beside.open(0.1, 500) == 500


def test_an_old_allowance_does_not_exclude_an_agent_for_ever():
    """Guards against a lost report that the server is not cold any more."""
    one = agent_with(load(0.0), entries=1000)
    assert not agent_selection.has_cold_allowance(one, 1.0)
    late = agent_selection.ALLOWANCE_RETENTION_SECONDS + 0.1
    assert agent_selection.has_cold_allowance(one, late)
