"""Tests of second offers of opening packets, at an entry and at an agent."""

from __future__ import annotations

import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from cactushall_core import identifiers
from cactushall_core.flows import (
    actions,
    agent,
    entry,
    hedging,
    messages,
    packets,
    pending_flows,
    servers,
)
from cactushall_core.flows import routes as flow_routes
from cactushall_core.membership import records
from tests.core.flows import builders

OPENING_SECONDS = 0.03
PERCENT = 10
FIRST_PORT = 50_000
START = 10.0
OTHER_SERVER_START = 9_000_000
AGENTS = (1, 2, 3)


def flow_id(number):
    return builders.FLOW._replace(caller_port=FIRST_PORT + number)


def peer_address_of(number):
    return builders.agent_record(number).member.control_address


def packet_address_of(number):
    return builders.agent_record(number).member.tunnel_address


def number_of(address):
    return int(address.host.rpartition(".")[2])


def make_entry(
    repeatability=flow_routes.Repeatability.IDEMPOTENT, agents=AGENTS, percent=PERCENT
):
    made = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    made.set_hedging_limit(percent)
    made.update_routes(builders.route_table(repeatability=repeatability), 0.0)
    for number in agents:
        made.update_member(builders.agent_record(number), 0.0)
    made.update_completeness(builders.COMPLETE, 0.0)
    return made


def open_packet(number):
    return builders.opening_packet(flow=flow_id(number))


def accept(flows, number, flow, now, sequence=builders.SERVER_START):
    message = messages.Accepted(flow, sequence, builders.IDLE_LOAD)
    return flows.handle_message(peer_address_of(number), message, now)


def decline(flows, number, flow, now, refusal=messages.Refusal.NOT_READY):
    message = messages.Declined(flow, refusal, 1, builders.IDLE_LOAD)
    return flows.handle_message(peer_address_of(number), message, now)


def open_usual_flows(flows, count=100, start=START):
    """Open flows that are accepted after the usual time, and close them."""
    now = start
    for number in range(count):
        (sent,) = flows.handle_packet(open_packet(number), now)
        now += OPENING_SECONDS
        accept(flows, number_of(sent.address), flow_id(number), now)
    return now


@pytest.fixture
def flows():
    """An entry that knows how long openings usually take, and has tokens."""
    made = make_entry()
    open_usual_flows(made)
    return made


def offer(flows, now=20.0):
    """Open FLOW, let it be unanswered, and return both agents' numbers."""
    (first,) = flows.handle_packet(builders.opening_packet(), now)
    forward, record = flows.offer_due(now + 2 * OPENING_SECONDS)
    assert record.outcome is actions.HedgeOutcome.OFFERED
    return number_of(first.address), number_of(forward.address)


def choose(flows, sequence, now=20.1, flags=packets.Flags.ACK):
    """Send the caller's packet that acknowledges one server's answer."""
    return flows.handle_packet(builders.packet(flags, acknowledgement=sequence), now)


def outcomes(decided):
    return [a.outcome for a in decided if isinstance(a, actions.RecordHedge)]


def released(decided):
    """Return the numbers of the agents that are told to forget the flow."""
    return [
        number_of(a.address)
        for a in decided
        if isinstance(a, actions.SendMessage)
        and isinstance(a.message, messages.ReleaseFlow)
    ]


def offers_of_unanswered(flows, now=20.0):
    """Open FLOW, and return what is decided when its second offer is due."""
    flows.handle_packet(builders.opening_packet(), now)
    return flows.offer_due(now + 2 * OPENING_SECONDS)


# The delay and the limit.


def test_quantile_needs_enough_samples():
    samples = hedging.RunningQuantile()
    for _ in range(hedging.MIN_SAMPLES - 1):
        samples.add(1.0)
    assert samples.value(0.9) is None
    samples.add(1.0)
    assert samples.value(0.9) == 1.0


def test_quantile_follows_the_latest_samples():
    samples = hedging.RunningQuantile()
    for _ in range(hedging.MAX_SAMPLES):
        samples.add(5.0)
    for number in range(hedging.MAX_SAMPLES):
        samples.add(number / hedging.MAX_SAMPLES)
    assert samples.value(0.9) == pytest.approx(0.9, abs=0.01)


@hypothesis.given(
    share=strategies.floats(0.01, 0.2),
    wants=strategies.lists(strategies.booleans(), max_size=600),
)
def test_limit_is_a_share_of_openings_in_any_sequence(share, wants):
    limit = hedging.HedgingLimit()
    spent = [0]
    for wants_offer in wants:
        limit.record_opening(share)
        spent.append(spent[-1] + (wants_offer and limit.try_spend()))
    assert spent[-1] <= share * len(wants) + 1e-6
    burst = max(hedging.MIN_BURST, share * hedging.BURST_OPENINGS)
    for begin in range(0, len(spent), 50):
        for end in range(begin, len(spent), 25):
            allowed = share * (end - begin) + burst + 1e-6
            assert spent[end] - spent[begin] <= allowed


def test_unused_openings_allow_no_more_than_a_burst():
    limit = hedging.HedgingLimit()
    for _ in range(100 * hedging.BURST_OPENINGS):
        limit.record_opening(0.05)
    spent = sum(limit.try_spend() for _ in range(hedging.BURST_OPENINGS))
    assert spent == 0.05 * hedging.BURST_OPENINGS


# Offers.


def test_without_a_limit_nothing_is_scheduled():
    flows = make_entry(percent=0)
    open_usual_flows(flows)
    assert offers_of_unanswered(flows) == []
    assert flows.next_offer_at is None


def test_unanswered_opening_is_offered_to_another_agent_after_the_usual_time(flows):
    (first,) = flows.handle_packet(builders.opening_packet(), 20.0)
    assert flows.offer_due(20.0 + 0.9 * OPENING_SECONDS) == []
    assert flows.next_offer_at == pytest.approx(20.0 + OPENING_SECONDS)
    forward, record = flows.offer_due(20.0 + 1.1 * OPENING_SECONDS)
    assert forward.address != first.address
    assert forward.datagram == first.datagram
    assert record.agent == forward.address
    assert record.delay_seconds == pytest.approx(OPENING_SECONDS)


def test_delay_is_longer_than_the_way_to_the_farthest_zone():
    flows = make_entry()
    now = START
    for number in range(100):
        (sent,) = flows.handle_packet(open_packet(number), now)
        accept(flows, number_of(sent.address), flow_id(number), now + 0.001)
        now += 0.01
    flows.offer_due(19.0)
    flows.handle_packet(builders.opening_packet(), 20.0)
    assert flows.next_offer_at == pytest.approx(20.0 + hedging.MIN_DELAY_SECONDS)


def test_accepted_opening_is_not_offered_again(flows):
    (first,) = flows.handle_packet(builders.opening_packet(), 20.0)
    accept(flows, number_of(first.address), builders.FLOW, 20.005)
    assert flows.offer_due(20.1) == []


def test_reused_port_does_not_get_the_offer_of_the_former_flow(flows):
    flows.handle_packet(builders.opening_packet(), 20.0)
    flows.handle_packet(builders.opening_packet(sequence=5), 20.0 + OPENING_SECONDS / 2)
    assert flows.offer_due(20.0 + 1.1 * OPENING_SECONDS) == []
    assert flows.offer_due(20.0 + 2 * OPENING_SECONDS) != []


def test_delay_starts_again_at_the_agent_after_one_that_declined(flows):
    (first,) = flows.handle_packet(builders.opening_packet(), 20.0)
    later = 20.0 + OPENING_SECONDS / 2
    (second,) = decline(flows, number_of(first.address), builders.FLOW, later)
    assert flows.offer_due(20.0 + 1.1 * OPENING_SECONDS) == []
    forward, _ = flows.offer_due(later + 1.1 * OPENING_SECONDS)
    assert forward.address not in (first.address, second.address)


def test_retry_of_a_silent_opening_is_followed_by_no_second_offer():
    flows = make_entry()
    slow = pending_flows.RETRY_ELSEWHERE_SECONDS + 0.1
    for _ in range(hedging.MIN_SAMPLES):
        flows._hedges.record_opened(builders.SERVICE, slow)
        flows._hedges.record_opening(builders.SERVICE)
    flows.handle_packet(builders.opening_packet(), 20.0)
    (again,) = flows.handle_packet(builders.opening_packet(1), 20.2)
    assert isinstance(again, actions.Forward)
    assert flows.offer_due(20.0 + 2 * slow) == []


def test_requests_that_may_run_once_are_not_offered_again():
    flows = make_entry(flow_routes.Repeatability.ONCE)
    open_usual_flows(flows)
    flows.handle_packet(builders.opening_packet(), 20.0)
    assert flows.next_offer_at is None
    assert flows.offer_due(20.1) == []


def test_route_that_has_changed_to_run_once_stops_a_scheduled_offer(flows):
    flows.handle_packet(builders.opening_packet(), 20.0)
    flows.update_routes(builders.route_table(revision=2), 20.001)
    assert flows.offer_due(20.1) == []


def make_cold(flows, number):
    cold = messages.Load(0, 0, 1, 0.0, 0.0, 3.0)
    flows.handle_message(peer_address_of(number), messages.LoadReport(cold), 20.0)


def make_draining(flows, number):
    record = builders.agent_record(number, is_draining=True, incarnation=2)
    flows.update_member(record, 20.0)


def make_suspect(flows, number):
    flows.update_member(builders.agent_record(number, records.Status.SUSPECT), 20.0)


@pytest.mark.parametrize("make_unfit", [make_cold, make_draining, make_suspect])
def test_cold_draining_and_suspect_agents_get_no_second_offer(flows, make_unfit):
    (first,) = flows.handle_packet(builders.opening_packet(), 20.0)
    for number in set(AGENTS) - {number_of(first.address)}:
        make_unfit(flows, number)
    assert flows.offer_due(20.0 + 1.1 * OPENING_SECONDS) == []


def test_agents_of_an_evacuated_zone_get_no_second_offer():
    other_zone = identifiers.ZoneName("b")
    flows = make_entry(agents=(1,))
    open_usual_flows(flows)
    flows.update_member(builders.agent_record(2, zone=other_zone), 19.0)
    flows.update_evacuated(frozenset([other_zone]), 19.5)
    assert offers_of_unanswered(flows) == []
    flows.update_evacuated(frozenset(), 30.0)
    assert offers_of_unanswered(flows, 60.0) != []


def test_full_agent_gets_no_second_offer(flows):
    (first,) = flows.handle_packet(builders.opening_packet(), 20.0)
    due_at = 20.0 + 1.01 * OPENING_SECONDS
    for number in set(AGENTS) - {number_of(first.address)}:
        decline(flows, number, flow_id(99), due_at, messages.Refusal.FULL)
    assert flows.offer_due(due_at + 0.001) == []


def report(flows, load, now):
    for number in AGENTS:
        flows.handle_message(peer_address_of(number), messages.LoadReport(load), now)


def open_again(flows, number, now):
    """Open a flow on the port of a former one."""
    opening = builders.opening_packet(flow=flow_id(number), sequence=9)
    return flows.handle_packet(opening, now)


def test_no_second_offers_while_a_flow_is_queued(flows):
    flows.handle_packet(builders.opening_packet(), 20.0)
    report(flows, messages.Load(9, 9, 1, 1.0), 20.001)
    assert open_again(flows, 0, 20.002) == []
    report(flows, builders.IDLE_LOAD, 20.003)
    assert flows.offer_due(20.0 + 2 * OPENING_SECONDS) == []
    later = 20.002 + hedging.CONTENTION_SECONDS
    open_again(flows, 1, later)
    assert outcomes(flows.offer_due(later + 2 * OPENING_SECONDS)) != []


def test_no_second_offers_after_a_refusal(flows):
    flows.handle_packet(builders.opening_packet(), 20.0)
    for number in AGENTS:
        record = builders.agent_record(number, is_draining=True, incarnation=2)
        flows.update_member(record, 20.001)
    (refused,) = open_again(flows, 0, 20.002)
    assert refused.reason is actions.Reason.NO_SERVER
    for number in AGENTS:
        flows.update_member(builders.agent_record(number, incarnation=3), 20.003)
    assert flows.offer_due(20.0 + 2 * OPENING_SECONDS) == []


def test_limit_withholds_offers():
    flows = make_entry(percent=1)
    now = open_usual_flows(flows, 150)
    decided = []
    for number in range(3):
        flows.handle_packet(open_packet(number)._replace(sequence=9), now)
    decided = flows.offer_due(now + 2 * OPENING_SECONDS)
    withheld = actions.HedgeOutcome.WITHHELD
    assert outcomes(decided) == [actions.HedgeOutcome.OFFERED, withheld, withheld]


# The caller's choice.


def test_loser_is_told_when_the_second_agent_wins(flows):
    first, second = offer(flows)
    accept(flows, second, builders.FLOW, 20.05, OTHER_SERVER_START)
    decided = choose(flows, OTHER_SERVER_START + 1)
    assert decided[0].address == packet_address_of(second)
    assert outcomes(decided) == [actions.HedgeOutcome.WON]
    assert released(decided) == [first]
    assert released(choose(flows, OTHER_SERVER_START + 1)) == []


def test_loser_is_told_when_the_first_agent_wins(flows):
    first, second = offer(flows)
    accept(flows, first, builders.FLOW, 20.05)
    decided = choose(flows, builders.SERVER_START + 1)
    assert outcomes(decided) == [actions.HedgeOutcome.LOST]
    assert released(decided) == [second]


@pytest.mark.parametrize("takes_second", [False, True])
def test_where_both_servers_answer_the_acknowledged_one_gets_the_flow(
    flows, takes_second
):
    first, second = offer(flows)
    accept(flows, first, builders.FLOW, 20.05)
    accept(flows, second, builders.FLOW, 20.06, OTHER_SERVER_START)
    taken = OTHER_SERVER_START if takes_second else builders.SERVER_START
    decided = choose(flows, taken + 1)
    assert decided[0].address == packet_address_of(second if takes_second else first)
    assert released(decided) == [first if takes_second else second]


def test_nobody_is_told_before_the_choice_is_known(flows):
    first, _ = offer(flows)
    accept(flows, first, builders.FLOW, 20.05)
    decided = choose(flows, OTHER_SERVER_START + 1)
    assert released(decided) == []
    assert released(choose(flows, builders.SERVER_START + 1)) != []


def test_reset_by_the_caller_before_its_choice_is_known_releases_the_other(flows):
    first, second = offer(flows)
    accept(flows, first, builders.FLOW, 20.05)
    decided = choose(flows, OTHER_SERVER_START + 1, flags=packets.Flags.RST)
    assert released(decided) == [second]


def test_released_flow_is_no_longer_expected_at_the_loser(flows):
    first, second = offer(flows)
    accept(flows, second, builders.FLOW, 20.03)
    known = flows._view.agents.by_packet_address(packet_address_of(first))
    assert known.unacknowledged_count(20.04) == 1
    choose(flows, builders.SERVER_START + 1, 20.04)
    assert known.unacknowledged_count(20.04) == 0


def test_flow_stays_at_the_agent_that_has_not_declined(flows):
    first, second = offer(flows)
    assert decline(flows, first, builders.FLOW, 20.05) == []
    (again,) = flows.handle_packet(builders.opening_packet(1), 20.06)
    assert again.address == packet_address_of(second)
    (elsewhere,) = decline(flows, second, builders.FLOW, 20.07)
    assert number_of(elsewhere.address) not in (first, second)


def test_decline_of_the_second_agent_is_not_followed_by_a_third_offer(flows):
    first, second = offer(flows)
    decided = decline(flows, second, builders.FLOW, 20.05)
    assert decided == [
        actions.RecordHedge(
            builders.FLOW, actions.HedgeOutcome.LOST, packet_address_of(second)
        )
    ]
    (elsewhere,) = decline(flows, first, builders.FLOW, 20.07)
    assert number_of(elsewhere.address) not in (first, second)


def test_all_losers_are_told_after_a_retry_elsewhere(flows):
    first, second = offer(flows)
    (third,) = flows.handle_packet(builders.opening_packet(1), 20.2)
    number = number_of(third.address)
    accept(flows, first, builders.FLOW, 20.21)
    assert released(choose(flows, builders.SERVER_START + 1, 20.22)) == sorted(
        {second, number}
    )


# Changes while it runs.


def test_limit_of_zero_stops_scheduled_offers_but_settles_those_made(flows):
    first, second = offer(flows)
    flows.handle_packet(open_packet(0)._replace(sequence=9), 20.02)
    flows.set_hedging_limit(0)
    assert flows.offer_due(20.1) == []
    accept(flows, first, builders.FLOW, 20.11)
    assert released(choose(flows, builders.SERVER_START + 1, 20.12)) == [second]


def test_lower_limit_does_not_spend_what_the_higher_one_allowed(flows):
    flows.set_hedging_limit(1)
    assert outcomes(offers_of_unanswered(flows)) == [actions.HedgeOutcome.WITHHELD]


def test_unchanged_limit_keeps_what_was_measured(flows):
    flows.set_hedging_limit(PERCENT)
    offer(flows)


def test_new_server_of_the_same_vm_is_no_second_agent():
    flows = make_entry(agents=(1,))
    open_usual_flows(flows)
    flows.handle_packet(builders.opening_packet(), 20.0)
    flows.update_member(builders.agent_record(1, start=2), 20.001)
    assert flows.offer_due(20.1) == []


def test_second_agent_that_has_restarted_is_released_by_its_address(flows):
    first, second = offer(flows)
    flows.update_member(builders.agent_record(second, start=2), 20.03)
    accept(flows, first, builders.FLOW, 20.05)
    assert released(choose(flows, builders.SERVER_START + 1)) == [second]


# The losing agent.


def make_agent():
    server = builders.make_server(1.2)
    made = agent.AgentFlows(server, 0.0)
    table = builders.route_table(repeatability=flow_routes.Repeatability.IDEMPOTENT)
    made.update_routes(table, 0.0)
    made.handle_announcement(builders.announcement(), 0.0)
    return made, server


def release(flows, now, sequence=builders.CALLER_START):
    return flows.handle_release(builders.FLOW, sequence, now)


def open_at(flows, now=1.0, sequence=builders.CALLER_START):
    opening = builders.opening_packet(sequence=sequence)
    return flows.handle_caller_packet(opening, builders.ENTRY, now)


@pytest.mark.parametrize("is_answered", [False, True])
def test_release_frees_the_flow_and_its_slot_at_once(is_answered):
    flows, _ = make_agent()
    open_at(flows)
    if is_answered:
        flows.handle_server_packet(builders.opening_answer(), 1.001)
    assert (flows.load.flows, flows.load.requests) == (1, 1)
    decided = release(flows, 1.002)
    assert (flows.load.flows, flows.load.requests) == (0, 0)
    late = [actions.HedgeOutcome.LATE] if is_answered else []
    assert outcomes(decided) == late


def test_opening_that_arrives_after_its_release_is_not_delivered():
    flows, _ = make_agent()
    assert release(flows, 1.0) == []
    assert open_at(flows, 1.001) == []
    assert flows.load.requests == 0
    assert open_at(flows, 1.002, sequence=7) != []


def test_release_is_remembered_only_for_a_while():
    flows, _ = make_agent()
    release(flows, 1.0)
    flows.tick(2.0 + agent.CLOSED_RETENTION_SECONDS)
    assert open_at(flows, 3.0 + agent.CLOSED_RETENTION_SECONDS) != []


def test_established_flow_is_not_released():
    flows, _ = make_agent()
    open_at(flows)
    flows.handle_server_packet(builders.opening_answer(), 1.0)
    request = builders.packet(
        acknowledgement=builders.SERVER_START + 1, sequence=1001, length=10
    )
    flows.handle_caller_packet(request, builders.ENTRY, 1.01)
    assert release(flows, 1.02) == []
    assert flows.load.requests == 1
    answer = flows.handle_server_packet(builders.packet(length=5), 1.03)
    assert any(isinstance(action, actions.SendToCaller) for action in answer)


def test_release_of_a_former_flow_on_the_port_keeps_the_new_one():
    flows, _ = make_agent()
    open_at(flows, sequence=7)
    release(flows, 1.01, sequence=builders.CALLER_START)
    assert flows.flow_count == 1


def test_late_answer_of_the_losing_server_does_not_reach_the_caller():
    flows, _ = make_agent()
    open_at(flows)
    release(flows, 1.001)
    assert flows.handle_server_packet(builders.opening_answer(), 1.002) == []


def release_openings(flows):
    for number in range(servers.MAX_UNANSWERED + 1):
        opening = open_packet(number)
        flows.handle_caller_packet(opening, builders.ENTRY, 1.0)
        flows.handle_release(opening.flow, opening.sequence, 1.001)


def test_released_openings_that_are_answered_late_are_no_failure_of_the_server():
    flows, server = make_agent()
    release_openings(flows)
    flows.handle_server_packet(builders.opening_answer(flow_id(0)), 1.002)
    assert not server.tick(1.0 + 2 * servers.UNANSWERED_TIMEOUT_SECONDS)
    assert server.state is servers.State.READY


def test_releases_do_not_hide_that_a_server_answers_nothing():
    flows, server = make_agent()
    release_openings(flows)
    assert server.tick(1.0 + 2 * servers.UNANSWERED_TIMEOUT_SECONDS)


def test_lost_release_frees_the_slot_after_the_first_request_timeout():
    flows, _ = make_agent()
    open_at(flows)
    flows.handle_server_packet(builders.opening_answer(), 1.0)
    flows.tick(1.0 + agent.FIRST_REQUEST_TIMEOUT_SECONDS)
    assert flows.load.requests == 0


def test_loser_without_release_does_not_deliver_the_request():
    flows, _ = make_agent()
    open_at(flows)
    flows.handle_server_packet(builders.opening_answer(), 1.0)
    taken = builders.packet(acknowledgement=OTHER_SERVER_START + 1, length=10)
    decided = flows.handle_caller_packet(taken, builders.ENTRY, 1.1)
    assert not any(isinstance(action, actions.DeliverToServer) for action in decided)
    assert flows.flow_count == 0


def test_release_after_a_restart_of_the_server_does_no_harm():
    flows, _ = make_agent()
    open_at(flows)
    flows.handle_announcement(
        builders.announcement(1, server_id="s2", started=200), 1.01
    )
    assert release(flows, 1.02) == []
    assert (flows.load.flows, flows.load.requests) == (0, 0)


def sends_in(decided):
    return [a for a in decided if isinstance(a, actions.SendMessage)]


def test_where_the_entry_dies_between_choice_and_release_one_agent_delivers():
    agents = {number: make_agent()[0] for number in (1, 2)}
    starts = {1: builders.SERVER_START, 2: OTHER_SERVER_START}
    for number, flows in agents.items():
        open_at(flows)
        answer = builders.opening_answer(sequence=starts[number])
        flows.handle_server_packet(answer, 1.001)
    taken = builders.packet(acknowledgement=OTHER_SERVER_START + 1, length=10)
    successor = make_entry(agents=(1, 2))
    pending = sends_in(successor.handle_packet(taken, 1.002))
    delivered = []
    while pending:
        sent = pending.pop(0)
        number = number_of(sent.address)
        if isinstance(sent.message, messages.OwnershipQuery):
            decided = agents[number].handle_query(sent.message.flows, builders.ENTRY)
        else:
            decided = agents[number].handle_lookup(taken, builders.ENTRY, 1.004)
        delivered += [number for a in decided if isinstance(a, actions.DeliverToServer)]
        for answer in sends_in(decided):
            told = successor.handle_message(sent.address, answer.message, 1.004)
            pending += sends_in(told)
    assert delivered == [2]
    assert agents[1].load.requests == 0


def test_entry_that_dies_before_the_second_offer_leaves_none_behind():
    flows = make_entry()
    open_usual_flows(flows)
    flows.handle_packet(builders.opening_packet(), 20.0)
    successor = make_entry()
    (again,) = successor.handle_packet(builders.opening_packet(1), 20.2)
    assert isinstance(again, actions.Forward)
    assert successor.next_offer_at is None
    assert successor.offer_due(20.5) == []


# The previous release.


def test_previous_release_refuses_a_release_as_one_malformed_message():
    previous = (
        messages.LookupRequest
        | messages.OwnershipQuery
        | messages.OwnerQuery
        | messages.OwnerAnswer
        | messages.AgentMessage
    )
    data = msgspec.msgpack.encode(messages.ReleaseFlow(builders.FLOW, 1))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(data, type=previous)
