"""Tests of what a lookup reports about its evidence and its progress."""

from __future__ import annotations

import collections
import random

import pytest

from cactushall_core import keys
from cactushall_core.flows import (
    actions,
    cluster_view,
    directory,
    lookups,
    messages,
    preference,
    query_queue,
    registered_owners,
)
from cactushall_core.membership import records
from tests.core.flows import builders

SETTLED = 10.0
KEY = keys.make_key(bytes(32))
MAX_QUESTION_BYTES = 64
REFILL_SECONDS = 1.01 * query_queue.QUERY_BURST / query_queue.QUERIES_PER_SECOND
DECIDED = SETTLED + 5.0


@pytest.fixture
def view():
    """A complete view of a route and three agents."""
    made = cluster_view.ClusterView(random.Random(1))
    made.update_routes(builders.route_table())
    add_agents(made, range(1, 4))
    made.update_evidence(builders.COMPLETE)
    return made


@pytest.fixture
def found(view):
    """Lookups at an entry with that view."""
    return lookups.Lookups(view, registered_owners.RegisteredOwners(), builders.ZONE)


def add_agents(view, numbers, now=0.0, **details):
    for number in numbers:
        view.agents.update(builders.agent_record(number, **details), now)


def deny(found, numbers):
    for number in numbers:
        member = builders.agent_record(number).member
        found.record_not_owner(builders.FLOW, member.id)


def number_of(address):
    """Return the number of the agent with an address for messages."""
    return int(address.host.rsplit(".", 1)[1])


def look_up(found, packet=None, now=SETTLED):
    """Send a packet and let all likely owners deny; return all that is decided."""
    packet = packet or builders.packet()
    decided = found.handle_packet(packet, now)
    latest = decided
    while probes := [a for a in latest if is_probe(a)]:
        for probe in probes:
            member = builders.agent_record(number_of(probe.address)).member
            found.record_not_owner(packet.flow, member.id)
        latest = found.ask_others_if_due(packet.flow, now)
        decided = decided + latest
    return decided


def is_probe(action):
    """Return whether an action sends an agent a packet to look up its owner."""
    message = getattr(action, "message", None)
    return isinstance(message, messages.LookupRequest)


def addresses_in(decided):
    return [a.address for a in decided if isinstance(a, actions.SendMessage)]


def starts_in(decided):
    return [a for a in decided if isinstance(a, actions.RecordLookupStarted)]


def evidence_of(decided):
    (reset,) = decided
    assert reset.reason is actions.Reason.NO_OWNER
    return reset.evidence


def test_evidence_tells_which_agents_were_known_and_denied(found):
    found.handle_packet(builders.packet(), SETTLED)
    deny(found, (1, 2, 3))
    decided = found.reset_if_unowned(builders.FLOW, DECIDED)
    assert evidence_of(decided) == actions.NoOwnerEvidence(
        denied=3,
        gone=0,
        excluded=0,
        asked_seconds=DECIDED - SETTLED,
        known_present=3,
        known_gone=0,
        newest_change_seconds=DECIDED,
        table_basis="complete-member",
        table_source=builders.COMPLETE.source.host,
        table_age_seconds=DECIDED,
    )


def test_evidence_tells_silent_agents_that_are_gone(found, view):
    found.handle_packet(builders.packet(), SETTLED)
    deny(found, (1, 2))
    add_agents(view, [3], SETTLED + 1, status=records.Status.DEAD)
    evidence = evidence_of(found.reset_if_unowned(builders.FLOW, DECIDED))
    assert (evidence.denied, evidence.gone) == (2, 1)
    assert (evidence.known_present, evidence.known_gone) == (2, 1)
    assert evidence.newest_change_seconds == DECIDED - SETTLED - 1


def test_gone_agent_that_was_not_asked_is_no_evidence(found, view):
    found.handle_packet(builders.packet(), SETTLED)
    deny(found, (1, 2, 3))
    add_agents(view, [4], SETTLED, status=records.Status.DEAD)
    gone_at = SETTLED + lookups.DEAD_GRACE_SECONDS
    assert found.reset_if_unowned(builders.FLOW, gone_at) == []
    (asked,) = found.tick(gone_at)
    assert asked.address == builders.agent_record(4).member.control_address
    evidence = evidence_of(found.tick(gone_at + lookups.RETRY_INTERVAL_SECONDS))
    assert evidence.gone == 1


def test_questions_to_all_agents_are_small(found, view):
    add_agents(view, range(4, 137))
    packet = builders.packet(length=1200)._replace(datagram=bytes(1200))
    authenticator = messages.make_authenticator((KEY,))
    asked = look_up(found, packet)
    for tick in range(3):
        asked += found.tick(SETTLED + REFILL_SECONDS * tick)
    assert len(set(addresses_in(asked))) == 136
    assert len([a for a in asked if is_probe(a)]) <= 2 * preference.CHOICES
    questions = [m for m in queries_in(asked) if isinstance(m, messages.OwnershipQuery)]
    size = sum(len(messages.encode(authenticator, message)) for message in questions)
    assert size <= 136 * MAX_QUESTION_BYTES


def test_agents_of_all_services_are_asked_at_any_number(found, view):
    others = range(4, 4 + 2 * query_queue.QUERY_BURST)
    add_agents(view, others, service=builders.OTHER_SERVICE)
    asked = look_up(found)
    likely = [builders.agent_record(n).member.control_address for n in (1, 2, 3)]
    assert set(addresses_in(asked)[:3]) == set(likely)
    assert len(queries_in(asked)) == query_queue.QUERY_BURST + preference.CHOICES
    for tick in range(3):
        asked += found.tick(SETTLED + REFILL_SECONDS * tick)
    addresses = addresses_in(asked)
    assert len(addresses) == len(set(addresses)) == 3 + len(others)


def test_old_packet_of_a_caller_is_not_sent_to_new_agents(found, view):
    found.handle_packet(builders.packet(), SETTLED)
    deny(found, (1, 2))
    add_agents(view, range(4, 8), SETTLED + 3.0)
    assert found.tick(SETTLED + 3.0) == []
    again = SETTLED + 4.0
    asked = found.handle_packet(builders.packet(length=7), again)[:-1]
    assert len(asked) == 7


def test_all_agents_are_asked_while_some_may_be_unknown(found, view):
    count = 2 * query_queue.QUERY_BURST + 10
    add_agents(view, range(4, count + 1))
    view.update_evidence(None)
    decided = look_up(found)
    for number in range(1, 3):
        decided += found.tick(SETTLED + REFILL_SECONDS * number)
    asked = [a.address for a in decided if isinstance(a, actions.SendMessage)]
    assert len(asked) == len(set(asked)) == count


def flow(number):
    return builders.FLOW._replace(caller_port=number)


def queries_in(decided):
    return [a.message for a in decided if isinstance(a, actions.SendMessage)]


def look_up_many(found, count):
    """Look up some flows at once, and return the questions about all of them."""
    decided = []
    for number in range(count):
        decided += found.handle_packet(builders.packet(flow=flow(number)), SETTLED)
    for number in range(1, 11):
        decided += found.tick(SETTLED + REFILL_SECONDS * number)
    return queries_in(decided)


def test_each_agent_is_asked_about_many_flows_in_few_messages(found):
    queries = look_up_many(found, 100)
    asked = collections.Counter(f for query in queries for f in query.flows)
    assert asked == {flow(number): 3 for number in range(100)}
    assert max(len(query.flows) for query in queries) <= query_queue.MAX_FLOWS_PER_QUERY
    batched = 3 * 100 / query_queue.MAX_FLOWS_PER_QUERY
    assert len(queries) <= query_queue.QUERY_BURST + batched


def test_questions_at_once_are_bounded_at_any_number_of_lookups(found, view):
    add_agents(view, range(4, 201))
    for number in range(100):
        look_up(found, builders.packet(flow=flow(number)))
    for tick in range(1, 20):
        now = SETTLED + REFILL_SECONDS * tick
        assert len(queries_in(found.tick(now))) <= query_queue.QUERY_BURST


def test_flow_whose_owner_is_found_is_not_asked_about_any_more(found, view):
    add_agents(view, range(4, 4 + query_queue.QUERY_BURST))
    found.handle_packet(builders.packet(), SETTLED)
    found.remove(builders.FLOW)
    assert found.tick(SETTLED + REFILL_SECONDS) == []


def test_agent_that_has_denied_is_not_asked_in_the_next_round(found):
    found.handle_packet(builders.packet(), SETTLED)
    deny(found, (1, 2))
    later = SETTLED + lookups.RETRY_INTERVAL_SECONDS
    (asked,) = found.handle_packet(builders.packet(), later)
    assert asked.address == builders.agent_record(3).member.control_address


def test_lost_question_is_repeated_after_an_agent_has_appeared(found, view):
    view.update_evidence(None)
    found.handle_packet(builders.packet(), SETTLED)
    add_agents(view, [4], SETTLED)
    first = builders.agent_record(1).member.control_address
    asked = [
        action.address
        for seconds in (0.2, 0.6)
        for action in found.handle_packet(builders.packet(), SETTLED + seconds)
    ]
    assert first in asked


def count_visits(monkeypatch):
    """Return a list to which the id of each agent is added whose status is read."""
    visited = []
    original = directory.Agent.is_present.fget

    def is_present(self):
        visited.append(self.member.id)
        return original(self)

    monkeypatch.setattr(directory.Agent, "is_present", property(is_present))
    return visited


@pytest.mark.parametrize("count", [64, 300])
def test_tick_does_not_visit_each_agent_of_a_lookup_that_waits(
    found, view, count, monkeypatch
):
    add_agents(view, range(4, count + 1))
    found.handle_packet(builders.packet(), SETTLED)
    for tick in range(10):
        found.tick(SETTLED + REFILL_SECONDS * tick)
    visited = count_visits(monkeypatch)
    assert found.tick(SETTLED + 1.0) == []
    assert len(visited) <= 2


def test_tick_does_not_visit_each_gone_agent_of_a_lookup_that_waits(
    found, view, monkeypatch
):
    gone = range(1, 201)
    add_agents(view, gone, status=records.Status.DEAD)
    add_agents(view, range(201, 204))
    found.handle_packet(builders.packet(), SETTLED)
    for tick in range(10):
        found.tick(SETTLED + REFILL_SECONDS * tick)
    visited = count_visits(monkeypatch)
    assert found.tick(SETTLED + 1.0) == []
    assert len(visited) <= 2


def test_flow_is_not_reset_while_one_of_many_agents_is_silent(found, view):
    count = 3 * query_queue.QUERY_BURST
    add_agents(view, range(4, count + 1))
    found.handle_packet(builders.packet(), SETTLED)
    deny(found, range(1, count))
    for tick in range(100):
        asked = found.tick(SETTLED + 0.05 * tick)
        assert all(isinstance(action, actions.SendMessage) for action in asked)
    deny(found, [count])
    assert evidence_of(found.tick(SETTLED + 5.0)).denied == count


def test_start_is_reported_once_after_the_agents_are_asked(found):
    decided = found.handle_packet(builders.packet(), SETTLED)
    assert [type(action) for action in decided[:-1]] == [actions.SendMessage] * 3
    assert decided[-1] == actions.RecordLookupStarted(builders.FLOW, 0, 3, 3)
    later = SETTLED + lookups.RETRY_INTERVAL_SECONDS
    assert starts_in(found.handle_packet(builders.packet(), later)) == []


def test_start_is_reported_where_no_agent_is_known():
    found = lookups.Lookups(
        cluster_view.ClusterView(random.Random(1)),
        registered_owners.RegisteredOwners(),
        builders.ZONE,
    )
    decided = found.handle_packet(builders.packet(), SETTLED)
    assert decided == [actions.RecordLookupStarted(builders.FLOW, 0, 0, 0)]


def test_start_tells_agents_that_were_known_and_not_asked_yet(found, view):
    others = range(4, 4 + query_queue.QUERY_BURST)
    add_agents(view, others, service=builders.OTHER_SERVICE)
    decided = found.handle_packet(builders.packet(), SETTLED)
    known = 3 + query_queue.QUERY_BURST
    assert decided[-1] == actions.RecordLookupStarted(builders.FLOW, 0, 1, known)


def test_age_of_the_oldest_lookup_is_counted_from_its_first_question(found):
    assert found.oldest_seconds(SETTLED) == 0.0
    found.start(builders.OTHER_FLOW, 0, SETTLED - 1)
    assert found.oldest_seconds(SETTLED) == 0.0
    found.handle_packet(builders.packet(), SETTLED)
    found.handle_packet(builders.packet(flow=builders.OTHER_FLOW), SETTLED + 2)
    assert found.oldest_seconds(SETTLED + 3) == 3.0
    found.remove(builders.FLOW)
    assert found.oldest_seconds(SETTLED + 3) == 1.0
