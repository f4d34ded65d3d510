"""Tests of lookups of flows that their owners may have registered with entries."""

from __future__ import annotations

import random

import pytest

from cactushall_core.flows import actions, entry, lookup_state, lookups, messages
from cactushall_core.membership import records
from tests.core.flows import builders

SETTLED = 10.0
AGENTS = (1, 2, 3)
OWNER = 2
ENTRIES = (1, 2)


def make_entry(agents=AGENTS, entries=ENTRIES):
    """Return an entry that knows a route, some agents and some other entries."""
    made = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    made.update_routes(builders.route_table(), 0.0)
    for number in agents:
        made.update_member(builders.agent_record(number), 0.0)
    for number in entries:
        made.update_member(builders.entry_record(number), 0.0)
    made.update_completeness(builders.COMPLETE, 0.0)
    return made


@pytest.fixture
def flows():
    """An entry that knows three agents and two other entries."""
    return make_entry()


def agent_address(number):
    return builders.agent_record(number).member.control_address


def entry_address(number):
    return builders.entry_record(number).member.control_address


def send(flows, now=SETTLED, packet=None):
    """Send a packet of FLOW and return the messages that the entry sends."""
    return sent_in(flows.handle_packet(packet or builders.packet(), now))


def sent_in(decided):
    return [action for action in decided if isinstance(action, actions.SendMessage)]


def answer(flows, number, owner, now=SETTLED + 0.01):
    """Let an entry answer which agent owns FLOW; return what is decided then."""
    address = agent_address(owner) if owner is not None else None
    message = messages.OwnerAnswer(builders.FLOW, address)
    return flows.handle_message(entry_address(number), message, now)


def deny(flows, numbers, now):
    decided = []
    for number in numbers:
        denial = messages.OwnershipDenied(builders.FLOW)
        decided = flows.handle_message(agent_address(number), denial, now)
    return decided


def is_for_all(decided, numbers=AGENTS):
    """Return whether some agents, and nobody else, are asked without a packet."""
    return {(a.address, a.message) for a in decided} == {
        (agent_address(number), messages.OwnershipQuery((builders.FLOW,)))
        for number in numbers
    }


def probe_of(number, packet=None):
    """Return the action that sends an agent the packet of a lookup."""
    datagram = (packet or builders.packet()).datagram
    return actions.SendMessage(agent_address(number), messages.LookupRequest(datagram))


@pytest.mark.parametrize("agents", [3, 64, 250])
def test_messages_of_a_lookup_do_not_grow_with_the_number_of_agents(agents):
    flows = make_entry(range(1, agents + 1))
    sent = send(flows)
    assert {action.address for action in sent} == set(map(entry_address, ENTRIES))
    assert {a.message for a in sent} == {messages.OwnerQuery(builders.FLOW)}
    sent += sent_in(answer(flows, 1, OWNER))
    sent += sent_in(answer(flows, 2, OWNER))
    confirmed = messages.OwnershipConfirmed(builders.FLOW)
    decided = flows.handle_message(agent_address(OWNER), confirmed, SETTLED + 0.02)
    assert [type(action) for action in decided] == [actions.RecordOwnerFound]
    assert sent_in(flows.tick(SETTLED + 1.0)) == []
    assert len(sent) == len(ENTRIES) + 1


def test_registered_owner_gets_the_packet_at_once(flows):
    send(flows)
    assert answer(flows, 1, OWNER) == [probe_of(OWNER)]
    assert answer(flows, 2, OWNER) == []


def test_all_agents_are_asked_once_no_registrar_knows_the_owner(flows):
    send(flows)
    assert answer(flows, 1, None) == []
    assert is_for_all(answer(flows, 2, None))


def test_all_agents_are_asked_where_registrars_are_silent(flows):
    send(flows)
    answer(flows, 1, None)
    assert flows.tick(SETTLED + lookups.REGISTRAR_TIMEOUT_SECONDS / 2) == []
    assert is_for_all(flows.tick(SETTLED + lookups.REGISTRAR_TIMEOUT_SECONDS))


def test_answer_that_comes_late_changes_nothing(flows):
    send(flows)
    flows.tick(SETTLED + lookups.REGISTRAR_TIMEOUT_SECONDS)
    assert answer(flows, 1, OWNER, SETTLED + 0.1) == []


def test_answer_of_an_entry_that_was_not_asked_changes_nothing(flows):
    send(flows)
    message = messages.OwnerAnswer(builders.FLOW, agent_address(OWNER))
    assert flows.handle_message(entry_address(9), message, SETTLED) == []


def test_all_others_are_asked_once_the_registered_owner_has_denied(flows):
    send(flows)
    answer(flows, 1, OWNER)
    decided = deny(flows, [OWNER], SETTLED + 0.02)
    others = [number for number in AGENTS if number != OWNER]
    assert is_for_all(decided, others)
    (reset,) = deny(flows, others, SETTLED + 0.03)
    assert reset.reason is actions.Reason.NO_OWNER
    assert reset.evidence.denied == len(AGENTS)


def test_denial_of_the_registered_owner_is_no_evidence_about_others(flows):
    send(flows)
    answer(flows, 1, OWNER)
    decided = deny(flows, [OWNER], SETTLED + 0.02)
    assert not any(isinstance(action, actions.Reset) for action in decided)
    assert flows.tick(SETTLED + 5.0) == []


def test_all_agents_are_asked_where_the_registered_owner_is_silent(flows):
    send(flows)
    answer(flows, 1, OWNER)
    silent_until = SETTLED + 0.01 + lookups.RETRY_INTERVAL_SECONDS
    assert is_for_all(flows.tick(silent_until))


def test_flow_is_not_reset_where_no_registrar_knows_the_owner(flows):
    send(flows)
    answer(flows, 1, None)
    answer(flows, 2, None)
    assert flows.tick(SETTLED + 5.0) == []


def test_registered_agent_that_is_gone_is_not_waited_for(flows):
    dead = builders.agent_record(OWNER, records.Status.DEAD)
    flows.update_member(dead, SETTLED - 1.0)
    send(flows)
    answer(flows, 1, OWNER)
    assert is_for_all(answer(flows, 2, OWNER))


def test_owner_registered_here_is_asked_without_other_entries(flows):
    registration = messages.RegisterFlows((builders.FLOW,))
    flows.handle_message(agent_address(OWNER), registration, SETTLED - 1.0)
    assert send(flows) == [probe_of(OWNER)]


def test_registration_of_an_agent_that_is_not_known_yet_counts_once_it_is():
    flows = make_entry(agents=())
    registration = messages.RegisterFlows((builders.FLOW,))
    decided = flows.handle_message(agent_address(OWNER), registration, SETTLED)
    assert decided == [actions.ReportUnknownSender(agent_address(OWNER))]
    flows.update_member(builders.agent_record(OWNER), SETTLED + 0.1)
    assert send(flows, SETTLED + 0.2) == [probe_of(OWNER)]


def test_entry_answers_with_the_registered_owner(flows):
    registration = messages.RegisterFlows((builders.FLOW,))
    flows.handle_message(agent_address(OWNER), registration, SETTLED)
    query = messages.OwnerQuery(builders.FLOW)
    (told,) = flows.handle_message(entry_address(1), query, SETTLED)
    expected = messages.OwnerAnswer(builders.FLOW, agent_address(OWNER))
    assert told == actions.SendMessage(entry_address(1), expected)


def test_entry_answers_with_the_owner_of_a_flow_that_it_forwards(flows):
    (sent,) = flows.handle_packet(builders.opening_packet(), SETTLED)
    number = int(sent.address.host.rpartition(".")[2])
    accepted = messages.Accepted(
        builders.FLOW, builders.SERVER_START, builders.IDLE_LOAD
    )
    flows.handle_message(agent_address(number), accepted, SETTLED)
    query = messages.OwnerQuery(builders.FLOW)
    (told,) = flows.handle_message(entry_address(1), query, SETTLED)
    assert told.message.owner == agent_address(number)


def test_entry_that_knows_no_owner_says_so(flows):
    query = messages.OwnerQuery(builders.FLOW)
    (told,) = flows.handle_message(entry_address(1), query, SETTLED)
    assert told.message == messages.OwnerAnswer(builders.FLOW, None)


def test_registration_is_forgotten_when_a_new_flow_uses_its_port(flows):
    registration = messages.RegisterFlows((builders.FLOW,))
    flows.handle_message(agent_address(OWNER), registration, SETTLED)
    flows.handle_packet(builders.opening_packet(), SETTLED)
    query = messages.OwnerQuery(builders.FLOW)
    (told,) = flows.handle_message(entry_address(1), query, SETTLED)
    assert told.message.owner is None


def test_packets_that_arrive_meanwhile_follow_to_the_owner(flows):
    send(flows)
    second = builders.packet(length=7)
    assert flows.handle_packet(second, SETTLED + 0.005) == []
    answer(flows, 1, OWNER)
    confirmed = messages.OwnershipConfirmed(builders.FLOW)
    decided = flows.handle_message(agent_address(OWNER), confirmed, SETTLED + 0.02)
    forwarded = [a.datagram for a in decided if isinstance(a, actions.Forward)]
    assert forwarded == [second.datagram]


def test_packet_of_a_caller_that_has_gone_on_elsewhere_asks_nobody_later(flows):
    flows.update_completeness(None, SETTLED)
    send(flows)
    late = SETTLED + lookup_state.CALLER_PAUSE_SECONDS + 0.1
    assert flows.tick(late) == []
