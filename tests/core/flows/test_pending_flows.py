"""Tests of the queue of an entry, its priorities and its retries."""

from __future__ import annotations

import random

import msgspec
import pytest

from cactushall_core.flows import (
    actions,
    agent_selection,
    entry,
    messages,
    pending_flows,
    priorities,
    queue_limits,
    retry_budget,
)
from cactushall_core.membership import records
from tests.core.flows import builders

NOW = 10.0
AGENTS = 8
LIMIT = int(AGENTS * queue_limits.DEFAULT.flows_per_agent)
HIGH, LOW, OTHER = range(3)
FULL = messages.Load(0, 2, 1, 0.05)
RESERVE_USED = messages.Load(0, 3, 1, 0.05)
HOPELESS = messages.Load(0, 60, 1, 0.05)
IDLE = messages.Load(0, 0, 1, 0.05)


class Site:
    """An entry with routes of priorities 1, 2 and 2, the last to another service."""

    def __init__(self, load=FULL, objective=0.3):
        self.entry = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
        table = builders.priority_table(1, 2, 2, objective=objective)
        made = dict(table.routes)
        last = list(made)[OTHER]
        share = made[last].shares[0]._replace(service=builders.OTHER_SERVICE)
        made[last] = msgspec.structs.replace(made[last], shares=(share,))
        self.entry.update_routes(msgspec.structs.replace(table, routes=made), 0.0)
        for number in range(1, AGENTS + 1):
            self.entry.update_member(builders.agent_record(number), 0.0)
            other = builders.agent_record(number + 100, service=builders.OTHER_SERVICE)
            self.entry.update_member(other, 0.0)
        self.entry.update_completeness(builders.COMPLETE, 0.0)
        for number in range(1, AGENTS + 1):
            self.report(number, load)
            self.report(number + 100, load)

    def report(self, number, load, now=NOW):
        peer = builders.agent_record(number).member.control_address
        return self.entry.handle_message(peer, messages.LoadReport(load), now)

    def open(self, route, number, now=NOW, copy=0):
        packet = builders.opening_packet(copy, flow(route, number))
        return self.entry.handle_packet(packet, now)


def flow(route, number):
    return builders.FLOW._replace(
        service_port=builders.FLOW.service_port + route, caller_port=number
    )


def queued_site(route, load=FULL):
    """Return a site whose queue is full of flows of one route."""
    site = Site(RESERVE_USED if route == HIGH else load)
    for number in range(LIMIT):
        assert site.open(route, number) == []
    return site


def test_the_highest_priority_gets_capacity_that_lower_ones_do_not():
    site = Site()
    assert site.open(LOW, 1) == []
    (sent,) = site.open(HIGH, 2)
    assert isinstance(sent, actions.Forward)


def test_a_displaced_flow_is_refused_at_once_with_the_reason():
    site = queued_site(LOW, RESERVE_USED)
    (reset,) = site.open(HIGH, 1)
    assert reset.flow == flow(LOW, 0)
    assert reset.reason is actions.Reason.NO_CAPACITY
    assert reset.evidence == actions.RefusalEvidence(
        AGENTS, 0, 0.0, actions.RefusalCause.DISPLACED, 2, LIMIT
    )


def test_the_full_queue_of_one_service_leaves_callers_of_another_alone():
    site = queued_site(LOW)
    (reset,) = site.open(LOW, 99)
    assert reset.evidence.cause is actions.RefusalCause.QUEUE_FULL
    assert site.open(OTHER, 99) == []


def test_a_message_starts_no_pass_for_other_services(monkeypatch):
    site = queued_site(LOW)
    site.report(1, FULL)
    calls = []
    monkeypatch.setattr(
        agent_selection, "select_agent", lambda *_: calls.append(1) or None
    )
    assert site.report(101, IDLE, NOW + 0.001) == []
    assert site.report(2, FULL, NOW + 0.001) == []
    assert calls == []
    site.report(2, IDLE, NOW + 0.001)
    assert len(calls) == 1


def test_capacity_that_time_frees_at_other_agents_is_found_by_any_message():
    site = queued_site(LOW)
    later = NOW + 0.06
    (sent, *_) = site.report(1, messages.Load(0, 9, 1, 0.05), later)
    assert isinstance(sent, actions.Forward)


def test_a_flow_that_an_agent_has_declined_does_not_end_the_pass():
    site = Site(IDLE)
    (sent,) = site.open(LOW, 1)
    number = int(sent.address.host.rpartition(".")[2])
    for other in range(1, AGENTS + 1):
        slow = messages.Load(0, 3, 1, 9.0)
        site.report(other, FULL if other == number else slow)
    assert site.open(LOW, 2) == []
    peer = builders.agent_record(number).member.control_address
    declined = messages.Declined(flow(LOW, 1), messages.Refusal.FULL, 1, FULL)
    assert site.entry.handle_message(peer, declined, NOW) == []
    (placed,) = site.report(number, IDLE, NOW + 0.06)
    assert placed.placement.flow == flow(LOW, 2)


def test_a_flow_that_cannot_be_served_in_time_is_refused_at_once():
    site = Site(HOPELESS)
    (reset,) = site.open(LOW, 1)
    assert reset.reason is actions.Reason.NO_CAPACITY
    assert reset.evidence.cause is actions.RefusalCause.FORESEEN


def test_a_flow_without_objective_is_queued_whatever_is_foreseen():
    site = Site(HOPELESS, objective=0.0)
    assert site.open(LOW, 1) == []


def test_a_new_flow_does_not_overtake_queued_flows_of_higher_priority():
    site = queued_site(HIGH)
    # Time has freed capacity at one agent, which no message has told.
    decided = site.open(LOW, 1, NOW + 0.09)
    assert decided[0].placement.flow.service_port == flow(HIGH, 0).service_port


def test_queue_lengths_are_told_by_priority():
    site = queued_site(LOW)
    assert site.entry.queue_lengths == pending_flows.QueueLengths(0, LIMIT, 0)


def test_lower_priority_that_is_due_gets_the_reserve():
    site = Site(IDLE)
    for number in range(int(1 / priorities.MIN_SHARE)):
        assert site.open(HIGH, number) != []
    for number in range(1, AGENTS + 1):
        site.report(number, FULL)
    later = NOW + pending_flows.RETRY_ELSEWHERE_SECONDS + 0.01
    for number in range(1, AGENTS + 1):
        site.report(number, FULL, later)
    assert site.open(LOW, 1, later) != []
    assert site.open(LOW, 2, later) == []


# Retries.


def retry_all(site, count):
    """Retransmit the opening packets of flows whose agents are silent."""
    decided = []
    for number in range(count):
        decided += site.open(LOW, number, NOW + 0.2, copy=1)
    return decided


@pytest.fixture
def silent():
    """Return a site whose agents do not answer 100 openings."""
    site = Site(messages.Load(0, 0, 100, 0.001))
    for number in range(100):
        site.open(LOW, number)
    return site


def test_retries_after_silence_are_limited_by_the_budget(silent):
    decided = retry_all(silent, 100)
    sent = [a for a in decided if isinstance(a, actions.Forward) and a.placement]
    assert len(sent) == retry_budget.MAX_TOKENS
    assert all(action.placement.is_retry for action in sent)
    withheld = [a for a in decided if isinstance(a, actions.RecordRetryWithheld)]
    assert len(withheld) == 100 - retry_budget.MAX_TOKENS


def test_without_a_token_the_same_agent_gets_the_retransmission(silent):
    first = {}
    for number in range(100):
        (first[number],) = silent.open(LOW, number, NOW + 0.1, copy=1)
    retry_all(silent, 99)
    repeated, record = silent.open(LOW, 99, NOW + 0.2, copy=1)
    assert repeated.address == first[99].address == record.agent
    assert repeated.placement is None


def test_a_retry_where_the_agent_is_gone_costs_no_budget(silent):
    for number in range(1, AGENTS):
        gone = builders.agent_record(number, records.Status.DEAD, incarnation=2)
        silent.entry.update_member(gone, NOW)
    decided = retry_all(silent, 100)
    elsewhere = [a for a in decided if isinstance(a, actions.Forward) and a.placement]
    assert len(elsewhere) > 2 * retry_budget.MAX_TOKENS


def test_a_decline_costs_no_budget():
    has_room = messages.Load(0, 0, 100, 0.001)
    site = Site(has_room)
    for number in range(100):
        (sent,) = site.open(LOW, number)
        agent = int(sent.address.host.rpartition(".")[2])
        peer = builders.agent_record(agent).member.control_address
        refusal = messages.Refusal.NOT_READY
        declined = messages.Declined(flow(LOW, number), refusal, 1, has_room)
        (again,) = site.entry.handle_message(peer, declined, NOW)
        assert again.placement.tries == 1
        assert not again.placement.is_retry


def test_a_retry_of_a_flow_in_an_evacuated_zone_costs_no_budget(silent):
    """Guards against retransmissions to silent agents of a zone that has failed."""
    retry_all(silent, 100)
    other_zone = builders.agent_record(90, zone="b")
    silent.entry.update_member(other_zone, NOW)
    silent.report(90, IDLE)
    silent.entry.update_evacuated(frozenset({builders.ZONE}), NOW)
    (sent,) = silent.open(LOW, 99, NOW + 0.4, copy=2)
    assert sent.placement.is_retry
    assert sent.address == other_zone.member.tunnel_address
