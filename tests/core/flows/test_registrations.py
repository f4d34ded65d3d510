"""Tests of when an agent registers flows with entries."""

from __future__ import annotations

import pytest

from cactushall_core.flows import known_entries, messages, registrations
from cactushall_core.membership import records
from tests.core.flows import builders

START = 10.0
AGED = START + registrations.MIN_AGE_SECONDS


@pytest.fixture
def entries():
    """Three known entries."""
    known = known_entries.KnownEntries()
    for number in (1, 2, 3):
        known.update(builders.entry_record(number))
    return known


@pytest.fixture
def made(entries):
    """The registrations of an agent that knows those entries."""
    return registrations.Registrations(entries)


def flow(number):
    return builders.FLOW._replace(caller_port=number)


def told(actions):
    """Return the flows that each address was told of, in the order of messages."""
    assert all(isinstance(a.message, messages.RegisterFlows) for a in actions)
    return [(action.address, action.message.flows) for action in actions]


def addresses_of(found):
    return {registrar.address for registrar in found}


def test_flow_is_registered_once_it_is_old_enough(made, entries):
    made.add(builders.FLOW, START)
    assert made.tick(AGED - 0.01) == []
    sent = told(made.tick(AGED + 0.01))
    assert {address for address, _ in sent} == addresses_of(
        entries.registrars_of(builders.FLOW)
    )
    assert all(flows == (builders.FLOW,) for _, flows in sent)
    assert made.tick(AGED + 0.1) == []


def test_flow_that_ends_early_is_not_registered(made):
    made.add(builders.FLOW, START)
    made.remove(builders.FLOW)
    assert made.tick(AGED + 0.01) == []


def test_flows_are_registered_in_few_messages(made):
    for number in range(200):
        made.add(flow(number), START)
    sent = told(made.tick(AGED + 0.01))
    largest = registrations.MAX_FLOWS_PER_MESSAGE
    assert max(len(flows) for _, flows in sent) <= largest
    assert sum(len(flows) for _, flows in sent) == 2 * 200
    assert len(sent) <= 2 * 200 / largest + 3


def test_entry_that_starts_again_is_told_of_its_flows_again(made, entries):
    made.add(builders.FLOW, START)
    made.tick(AGED + 0.01)
    first, _ = entries.registrars_of(builders.FLOW)
    number = int(first.address.host.rpartition(".")[2])
    entries.update(builders.entry_record(number, start=2))
    sent = told(made.tick(AGED + 0.1))
    assert sent == [(first.address, (builders.FLOW,))]


def test_flows_of_an_entry_that_is_gone_are_registered_elsewhere(made, entries):
    made.add(builders.FLOW, START)
    made.tick(AGED + 0.01)
    first, second = entries.registrars_of(builders.FLOW)
    number = int(first.address.host.rpartition(".")[2])
    entries.update(builders.entry_record(number, records.Status.DEAD))
    ((address, flows),) = told(made.tick(AGED + 0.1))
    assert address not in (first.address, second.address)
    assert flows == (builders.FLOW,)


def test_entry_that_joins_gets_only_its_own_flows(made, entries):
    for number in range(200):
        made.add(flow(number), START)
    made.tick(AGED + 0.01)
    joined = builders.entry_record(4)
    entries.update(joined)
    sent = told(made.tick(AGED + 0.1))
    assert {address for address, _ in sent} == {joined.member.control_address}
    assert 0 < sum(len(flows) for _, flows in sent) < 200


def test_flow_is_registered_when_the_first_entry_appears():
    known = known_entries.KnownEntries()
    made = registrations.Registrations(known)
    made.add(builders.FLOW, START)
    assert made.tick(AGED + 0.01) == []
    known.update(builders.entry_record(1))
    assert len(made.tick(AGED + 0.1)) == 1


def test_registration_is_repeated_as_a_message_may_be_lost(made):
    made.add(builders.FLOW, START)
    made.tick(AGED + 0.01)
    later = AGED + 0.01 + registrations.REPEAT_INTERVAL_SECONDS
    assert made.tick(later - 0.1) == []
    assert len(made.tick(later)) == 2
    assert made.tick(later + 0.1) == []


def test_flow_that_has_ended_is_not_registered_again(made):
    made.add(builders.FLOW, START)
    made.tick(AGED + 0.01)
    made.remove(builders.FLOW)
    assert made.tick(START + 2 * registrations.REPEAT_INTERVAL_SECONDS) == []
