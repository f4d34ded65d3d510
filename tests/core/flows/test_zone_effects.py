"""Tests of what entries and agents do while an availability zone is evacuated."""

from __future__ import annotations

import collections
import itertools
import random

import pytest

from cactushall_core import identifiers
from cactushall_core.flows import (
    actions,
    admission,
    agent,
    entry,
    messages,
    packets,
    slow_start,
)
from tests.core.flows import builders

A = builders.ZONE
B = identifiers.ZoneName("b")
ZONE_OF_AGENT = {1: A, 2: A, 3: B, 4: B}
NOW = 10.0
FLOWS = 400
PORTS = itertools.count(1)


@pytest.fixture
def flows():
    """An entry in zone a that knows two agents in each of two zones."""
    made = entry.EntryFlows(A, random.Random(1), 0.0)
    made.update_routes(builders.route_table(), 0.0)
    for number, zone in ZONE_OF_AGENT.items():
        made.update_member(builders.agent_record(number, zone=zone), 0.0)
    made.update_completeness(builders.COMPLETE, 0.0)
    return made


def number_of(forward):
    return int(forward.address.host.rpartition(".")[2])


def opening_of(port):
    flow = builders.FLOW._replace(caller_port=port)
    return builders.opening_packet(flow=flow)


def report_load(flows, number, load, now):
    address = builders.agent_record(number).member.control_address
    return flows.handle_message(address, messages.LoadReport(load), now)


def zones_of_new_flows(flows, now, count=FLOWS):
    """Open flows that are accepted and closed at once, and count their zones."""
    zones = collections.Counter()
    for port in itertools.islice(PORTS, count):
        opening = opening_of(port)
        (sent,) = flows.handle_packet(opening, now)
        number = number_of(sent)
        zones[ZONE_OF_AGENT[number]] += 1
        address = builders.agent_record(number).member.control_address
        accepted = messages.Accepted(opening.flow, 1, builders.IDLE_LOAD)
        flows.handle_message(address, accepted, now)
    return zones


# Entries.


def test_new_flows_avoid_an_evacuated_zone(flows):
    flows.update_evacuated(frozenset({A}), NOW)
    assert zones_of_new_flows(flows, NOW) == {B: FLOWS}


def test_a_declined_flow_does_not_go_to_an_evacuated_zone(flows):
    (sent,) = flows.handle_packet(builders.opening_packet(), NOW)
    first = number_of(sent)
    assert ZONE_OF_AGENT[first] == A
    flows.update_evacuated(frozenset({A}), NOW)
    declined = messages.Declined(
        builders.FLOW, messages.Refusal.DRAINING, 1, builders.IDLE_LOAD
    )
    address = builders.agent_record(first).member.control_address
    (again,) = flows.handle_message(address, declined, NOW)
    assert ZONE_OF_AGENT[number_of(again)] == B


def test_a_flow_is_refused_at_once_where_no_server_is_left(flows):
    flows.update_evacuated(frozenset({A, B}), NOW)
    (reset,) = flows.handle_packet(builders.opening_packet(), NOW)
    assert reset.reason is actions.Reason.NO_SERVER
    assert reset.evidence.waited_seconds == 0


def test_a_queued_flow_is_refused_as_soon_as_no_server_is_left(flows):
    busy = messages.Load(9, 9, 1, 1.0)
    for number in ZONE_OF_AGENT:
        report_load(flows, number, busy, NOW)
    assert flows.handle_packet(builders.opening_packet(), NOW) == []
    (reset,) = flows.update_evacuated(frozenset({A, B}), NOW + 0.01)
    assert reset.reason is actions.Reason.NO_SERVER


def test_open_flows_of_an_evacuated_zone_continue(flows):
    (sent,) = flows.handle_packet(builders.opening_packet(), NOW)
    address = builders.agent_record(number_of(sent)).member.control_address
    accepted = messages.Accepted(
        builders.FLOW, builders.SERVER_START, builders.IDLE_LOAD
    )
    flows.handle_message(address, accepted, NOW)
    flows.update_evacuated(frozenset({A}), NOW)
    (forwarded,) = flows.handle_packet(builders.packet(), NOW + 1)
    assert forwarded.address == sent.address


def test_the_callers_of_an_evacuated_zone_are_served_by_its_entry(flows):
    flows.update_evacuated(frozenset({A}), NOW)
    (sent,) = flows.handle_packet(builders.opening_packet(), NOW)
    assert isinstance(sent, actions.Forward)


def test_flows_of_a_zone_are_summed_from_load_reports(flows):
    report_load(flows, 1, messages.Load(3, 0, 1, 0.0), NOW)
    report_load(flows, 2, messages.Load(4, 0, 1, 0.0), NOW)
    report_load(flows, 3, messages.Load(5, 0, 1, 0.0), NOW)
    assert flows.reported_flows(A) == 7


# Slow start.


def test_the_load_of_a_zone_that_returns_increases_step_by_step(flows):
    normal = zones_of_new_flows(flows, NOW)[A]
    flows.update_evacuated(frozenset({A}), NOW)
    flows.update_evacuated(frozenset(), NOW)
    shares = []
    for step in range(slow_start.STEPS + 1):
        now = NOW + step * slow_start.STEP_SECONDS
        flows.tick(now)
        shares.append(zones_of_new_flows(flows, now)[A] / normal)
    assert 0.03 < shares[0] < 0.25
    assert 0.35 < shares[slow_start.STEPS // 2] < 0.75
    assert shares[-1] == 1.0
    rises = [b - a for a, b in zip(shares, shares[1:], strict=False)]
    assert max(rises) < 0.3


def test_an_agent_that_restarts_in_a_returning_zone_is_held_back_too(flows):
    flows.update_evacuated(frozenset({A}), NOW)
    flows.update_evacuated(frozenset(), NOW)
    for number in (1, 2):
        flows.update_member(builders.agent_record(number, start=2, zone=A), NOW)
    assert zones_of_new_flows(flows, NOW)[A] < FLOWS * 0.25


def test_a_returning_zone_takes_flows_for_which_no_other_has_capacity(flows):
    flows.update_evacuated(frozenset({A}), NOW)
    flows.update_evacuated(frozenset(), NOW)
    for number in (3, 4):
        report_load(flows, number, messages.Load(9, 9, 1, 1.0), NOW)
    assert zones_of_new_flows(flows, NOW) == {A: FLOWS}


def test_a_service_that_is_only_in_a_returning_zone_is_served(flows):
    flows.update_evacuated(frozenset({A, B}), NOW)
    flows.update_evacuated(frozenset({B}), NOW)
    assert zones_of_new_flows(flows, NOW) == {A: FLOWS}


def test_a_zone_evacuated_again_during_its_slow_start_gets_no_flows(flows):
    for zones in ({A}, set(), {A}):
        flows.update_evacuated(frozenset(zones), NOW)
    assert zones_of_new_flows(flows, NOW + 1) == {B: FLOWS}


def test_without_an_evacuation_no_random_choice_is_made():
    class Unused(random.Random):
        def random(self):
            raise AssertionError("no zone has returned")

    idle = slow_start.SlowStart(Unused())
    idle.tick(NOW)
    idle.hold_back([])
    idle.start([A], NOW)
    with pytest.raises(AssertionError):
        idle.hold_back([])
    idle.tick(NOW + slow_start.STEPS * slow_start.STEP_SECONDS)
    idle.hold_back([])


# Agents.


@pytest.fixture
def at_agent():
    made = agent.AgentFlows(builders.make_server(1.2), 0.0)
    made.update_routes(builders.route_table(), 0.0)
    made.handle_announcement(builders.announcement(), 0.0)
    return made


def open_at(flows, packet=None, now=NOW):
    packet = packet or builders.opening_packet()
    return flows.handle_caller_packet(packet, builders.ENTRY, now)


def refusal_of(decided):
    (told,) = decided
    return told.message.refusal


def test_an_agent_of_an_evacuated_zone_declines_openings(at_agent):
    at_agent.update_evacuated(True)
    assert refusal_of(open_at(at_agent)) is messages.Refusal.DRAINING
    at_agent.update_evacuated(False)
    assert isinstance(open_at(at_agent)[0], actions.DeliverToServer)


def test_it_declines_a_repeated_opening_that_its_server_has_not_answered(at_agent):
    open_at(at_agent)
    at_agent.update_evacuated(True)
    assert refusal_of(open_at(at_agent, now=NOW + 0.5)) is messages.Refusal.DRAINING


def test_it_declines_an_opening_that_reuses_the_port_of_an_open_flow(at_agent):
    open_at(at_agent)
    at_agent.handle_server_packet(builders.opening_answer(), NOW)
    at_agent.update_evacuated(True)
    reused = builders.opening_packet(sequence=builders.CALLER_START + 1)
    assert refusal_of(open_at(at_agent, reused)) is messages.Refusal.DRAINING


def test_it_declines_an_opening_of_a_flow_that_was_only_probed(at_agent):
    restarted = agent.AgentFlows(builders.make_server(1.2), 0.0)
    restarted.update_routes(builders.route_table(), 0.0)
    restarted.handle_announcement(builders.announcement(number=20), 0.0)
    restarted.handle_lookup(builders.packet(), builders.ENTRY, NOW)
    restarted.update_evacuated(True)
    assert refusal_of(open_at(restarted)) is messages.Refusal.DRAINING


def test_open_flows_at_an_agent_of_an_evacuated_zone_continue(at_agent):
    open_at(at_agent)
    at_agent.handle_server_packet(builders.opening_answer(), NOW)
    at_agent.update_evacuated(True)
    answered = builders.packet(acknowledgement=builders.SERVER_START + 1)
    (delivered,) = open_at(at_agent, answered)
    assert isinstance(delivered, actions.DeliverToServer)
    repeated = open_at(at_agent)
    assert isinstance(repeated[0].message, messages.Accepted)


def test_a_repeated_opening_that_the_server_has_answered_is_delivered(at_agent):
    """Its answer was lost, and the server holds the flow already."""
    open_at(at_agent)
    at_agent.handle_server_packet(builders.opening_answer(), NOW)
    at_agent.update_evacuated(True)
    (delivered,) = open_at(at_agent, now=NOW + 0.3)
    assert isinstance(delivered, actions.DeliverToServer)


def test_an_evacuation_is_the_reason_also_where_the_server_is_full(
    at_agent, monkeypatch
):
    """The entry comes back to an agent that declines a flow as full."""
    monkeypatch.setattr(admission, "has_capacity", lambda *_args: False)
    at_agent.update_evacuated(True)
    assert refusal_of(open_at(at_agent)) is messages.Refusal.DRAINING


def test_an_opening_queued_before_the_first_configuration_is_declined():
    flows = agent.AgentFlows(builders.make_server(1.2), 0.0)
    flows.handle_announcement(builders.announcement(), 0.0)
    assert open_at(flows, now=0.1) == []
    flows.update_evacuated(True)
    decided = flows.update_routes(builders.route_table(), 0.2)
    assert refusal_of(decided) is messages.Refusal.DRAINING
    assert packets.OPENING_TIMEOUT_SECONDS > 0.2


def test_an_explanation_does_not_change_where_later_flows_go():
    """Guards against an explanation that draws which zones are held back."""

    def open_after(explains):
        made = entry.EntryFlows(A, random.Random(1), 0.0)
        made.update_routes(builders.route_table(), 0.0)
        for number, zone in ZONE_OF_AGENT.items():
            made.update_member(builders.agent_record(number, zone=zone), 0.0)
        made.update_completeness(builders.COMPLETE, 0.0)
        made.update_evacuated(frozenset({A}), NOW)
        made.update_evacuated(frozenset(), NOW)
        numbers = []
        for port in range(1, 50):
            if explains:
                made.explain(builders.FLOW, None, NOW + 1.0)
            decided = made.handle_packet(opening_of(port), NOW + 1.0)
            numbers += [number_of(a) for a in decided if isinstance(a, actions.Forward)]
        return numbers

    assert open_after(explains=True) == open_after(explains=False)
