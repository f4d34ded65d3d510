"""Tests of an entry's decisions about flows."""

from __future__ import annotations

import collections
import random

import pytest

from cactushall_core import identifiers
from cactushall_core.flows import (
    actions,
    admission,
    cluster_view,
    entry,
    flow_queue,
    lookup_state,
    lookups,
    messages,
    packets,
    queue_limits,
    routes,
)
from cactushall_core.membership import records
from tests.core.flows import builders

SETTLED = 10.0


@pytest.fixture
def flows():
    """An entry that knows a route and all of three agents."""
    made = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    made.update_routes(builders.route_table(), 0.0)
    for number in (1, 2, 3):
        made.update_member(builders.agent_record(number), 0.0)
    made.update_completeness(builders.COMPLETE, 0.0)
    return made


def packet_address_of(record):
    return record.member.tunnel_address


def peer_address_of(number):
    return builders.agent_record(number).member.control_address


def open_flow(flows, now=SETTLED):
    """Open FLOW and return the number of the agent that owns it."""
    (sent,) = flows.handle_packet(builders.opening_packet(), now)
    number = int(sent.address.host.rpartition(".")[2])
    accepted = messages.Accepted(
        builders.FLOW, builders.SERVER_START, builders.IDLE_LOAD
    )
    flows.handle_message(peer_address_of(number), accepted, now)
    return number


def look_up(flows, now=SETTLED):
    """Send a packet of FLOW, whose owner is unknown; return the agents asked."""
    decided = flows.handle_packet(builders.packet(), now)
    told = [action for action in decided if isinstance(action, actions.SendMessage)]
    assert all(isinstance(action.message, messages.OwnershipQuery) for action in told)
    for action in decided[len(told) :]:
        assert isinstance(action, actions.RecordLookupStarted)
        assert action.agents == len(told)
    return {action.address for action in told}


def deny(flows, numbers, now):
    """Let agents deny FLOW and return the actions after the last denial."""
    decided = []
    for number in numbers:
        decided = flows.handle_message(
            peer_address_of(number), messages.OwnershipDenied(builders.FLOW), now
        )
    return decided


# New flows.


def test_opening_packet_is_forwarded_unchanged_to_one_agent(flows):
    decided = flows.handle_packet(builders.opening_packet(), SETTLED)
    assert [type(action) for action in decided] == [actions.Forward]
    assert decided[0].datagram == builders.opening_packet().datagram


def test_later_packets_go_to_the_agent_that_accepted(flows):
    number = open_flow(flows)
    (sent,) = flows.handle_packet(builders.packet(), SETTLED + 0.1)
    assert sent.address == packet_address_of(builders.agent_record(number))


def test_flow_without_route_is_reset_immediately(flows):
    unknown = builders.FLOW._replace(service_port=1)
    decided = flows.handle_packet(builders.opening_packet(flow=unknown), SETTLED)
    (reset,) = decided
    assert reset[:3] == (unknown, 0, actions.Reason.NO_ROUTE)


def test_new_flow_is_queued_until_the_first_configuration():
    flows = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    flows.update_member(builders.agent_record(1), 0.0)
    assert flows.handle_packet(builders.opening_packet(), 0.1) == []
    (sent,) = flows.update_routes(builders.route_table(), 0.2)
    assert isinstance(sent, actions.Forward)


def test_queued_flow_is_refused_after_its_timeout():
    flows = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    flows.handle_packet(builders.opening_packet(), 0.1)
    (reset,) = flows.tick(0.2 + packets.OPENING_TIMEOUT_SECONDS)
    assert reset.reason is actions.Reason.NO_SERVER


def test_open_flow_whose_route_was_seen_to_be_removed_is_reset_at_any_time(flows):
    open_flow(flows)
    flows.update_routes(routes.RouteTable(identifiers.Revision(2)), SETTLED)
    flows.update_completeness(None, SETTLED)
    flows.record_revision(identifiers.Revision(3))
    (reset,) = flows.handle_packet(builders.packet(), SETTLED)
    assert reset.reason is actions.Reason.NO_ROUTE
    flows.update_routes(builders.route_table(revision=3), SETTLED)
    assert look_up(flows, SETTLED) == {peer_address_of(n) for n in (1, 2, 3)}


def test_open_flow_whose_route_is_removed_is_reset(flows):
    open_flow(flows)
    flows.update_routes(routes.RouteTable(identifiers.Revision(2)), 0.0)
    (reset,) = flows.handle_packet(builders.packet(), SETTLED)
    assert reset.reason is actions.Reason.NO_ROUTE
    assert reset.sequence == builders.SERVER_START


def test_early_retransmission_goes_to_the_same_agent(flows):
    (first,) = flows.handle_packet(builders.opening_packet(), SETTLED)
    (copy,) = flows.handle_packet(builders.opening_packet(1), SETTLED + 0.05)
    assert copy.address == first.address


def test_later_retransmission_goes_to_another_agent(flows):
    tried = set()
    for copy, at in enumerate((0.0, 0.2, 0.6)):
        (sent,) = flows.handle_packet(builders.opening_packet(copy), SETTLED + at)
        tried.add(sent.address)
    assert len(tried) == 3
    (again,) = flows.handle_packet(builders.opening_packet(3), SETTLED + 1.0)
    assert again.address in tried


def test_a_declined_flow_is_offered_to_each_agent_once_and_then_refused(flows):
    (sent,) = flows.handle_packet(builders.opening_packet(), SETTLED)
    seen = []
    while isinstance(sent, actions.Forward):
        seen.append(sent.address)
        number = int(sent.address.host.rpartition(".")[2])
        declined = messages.Declined(
            builders.FLOW, messages.Refusal.DRAINING, 1, builders.IDLE_LOAD
        )
        (sent,) = flows.handle_message(peer_address_of(number), declined, SETTLED)
    assert len(set(seen)) == len(seen) == 3
    assert sent.reason is actions.Reason.NO_SERVER
    assert sent.evidence == actions.RefusalEvidence(
        agents=0,
        tries=3,
        waited_seconds=0.0,
        cause=actions.RefusalCause.NO_SERVER,
        priority=0,
        queued=0,
    )


def test_draining_agent_gets_no_new_flow(flows):
    for number in (1, 2):
        drained = builders.agent_record(number, incarnation=2, is_draining=True)
        flows.update_member(drained, SETTLED)
    for port in range(20):
        flow = builders.FLOW._replace(caller_port=port)
        (sent,) = flows.handle_packet(builders.opening_packet(flow=flow), SETTLED + 1)
        assert sent.address == packet_address_of(builders.agent_record(3))
        accepted = messages.Accepted(flow, builders.SERVER_START, builders.IDLE_LOAD)
        flows.handle_message(peer_address_of(3), accepted, SETTLED + 1)


def test_new_flows_are_spread_before_agents_have_answered(flows):
    sent = [
        flows.handle_packet(
            builders.opening_packet(flow=builders.FLOW._replace(caller_port=n)), 10
        )
        for n in range(9)
    ]
    counts = collections.Counter(forward.address for (forward,) in sent)
    assert set(counts.values()) == {3}


def fill(flows, now=SETTLED):
    """Open flows until no agent has capacity; return the last one and its agent."""
    for number in range(3 * int(admission.MAX_REQUESTS_PER_SLOT)):
        flow = builders.FLOW._replace(caller_port=number)
        (sent,) = flows.handle_packet(builders.opening_packet(flow=flow), now)
        assert isinstance(sent, actions.Forward)
    return flow, int(sent.address.host.rpartition(".")[2])


def test_flow_is_queued_and_gets_the_first_free_capacity(flows):
    last, number = fill(flows)
    assert flows.handle_packet(builders.opening_packet(), SETTLED) == []
    accepted = messages.Accepted(last, 1, builders.IDLE_LOAD)
    measured, sent = flows.handle_message(
        peer_address_of(number), accepted, SETTLED + 0.01
    )
    assert measured.kind is actions.Latency.FLOW_OPENED
    assert measured.seconds == pytest.approx(0.01)
    assert sent.address == packet_address_of(builders.agent_record(number))
    assert sent.datagram == builders.opening_packet().datagram


def test_newest_queued_flow_gets_capacity_first(flows):
    last, number = fill(flows)
    newer = builders.opening_packet(flow=builders.OTHER_FLOW)
    flows.handle_packet(builders.opening_packet(), SETTLED)
    flows.handle_packet(newer, SETTLED + 0.01)
    accepted = messages.Accepted(last, 1, builders.IDLE_LOAD)
    flows.handle_message(peer_address_of(number), accepted, SETTLED + 0.02)
    assert flows.handle_packet(newer, SETTLED + 0.03) != []
    assert flows.handle_packet(builders.opening_packet(1), SETTLED + 0.03) == []


def test_flows_beyond_the_queue_limit_are_refused_immediately(flows):
    fill(flows)
    decided = []
    for port in range(flow_queue.MIN_LIMIT + 1):
        flow = builders.OTHER_FLOW._replace(caller_port=50_000 + port)
        decided += flows.handle_packet(builders.opening_packet(flow=flow), SETTLED)
    (reset,) = decided
    assert reset.reason is actions.Reason.NO_CAPACITY
    assert reset.flow.caller_port == 50_000 + flow_queue.MIN_LIMIT


def test_capacity_is_estimated_from_the_age_of_the_load_report(flows):
    busy = messages.Load(0, 8, 1, 0.02)
    for number in (1, 2, 3):
        flows.handle_message(
            peer_address_of(number), messages.LoadReport(busy), SETTLED
        )
    assert flows.handle_packet(builders.opening_packet(), SETTLED + 0.01) == []
    assert flows.tick(SETTLED + 0.03) == []
    (sent,) = flows.tick(SETTLED + 0.05)
    assert isinstance(sent, actions.Forward)


def test_flow_is_refused_after_the_queue_timeout(flows):
    busy = messages.Load(0, 20, 1, 0.02)
    for number in (1, 2, 3):
        flows.handle_message(
            peer_address_of(number), messages.LoadReport(busy), SETTLED
        )
    flows.handle_packet(builders.opening_packet(), SETTLED)
    assert flows.tick(SETTLED + queue_limits.DEFAULT.timeout_seconds / 2) == []
    (reset,) = flows.tick(SETTLED + queue_limits.DEFAULT.timeout_seconds + 0.01)
    assert reset._replace(evidence=None) == actions.Reset(
        builders.FLOW, 0, actions.Reason.NO_CAPACITY
    )
    assert reset.evidence.agents == 3
    assert reset.evidence.waited_seconds >= queue_limits.DEFAULT.timeout_seconds


def test_unacknowledged_flows_take_no_capacity_for_long(flows):
    fill(flows)
    (sent,) = flows.handle_packet(builders.opening_packet(), SETTLED + 0.2)
    assert isinstance(sent, actions.Forward)


def test_new_flow_is_queued_while_members_are_discovered():
    flows = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    flows.update_routes(builders.route_table(), 0.0)
    assert flows.handle_packet(builders.opening_packet(), 0.1) == []
    (sent,) = flows.update_member(builders.agent_record(1), 0.3)
    assert isinstance(sent, actions.Forward)


def test_new_flow_is_refused_immediately_where_no_known_member_serves_it():
    flows = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    flows.update_routes(builders.route_table(), 0.0)
    flows.update_completeness(builders.COMPLETE, 0.0)
    (reset,) = flows.handle_packet(builders.opening_packet(), SETTLED)
    assert reset.reason is actions.Reason.NO_SERVER


def test_of_two_backend_servers_the_one_that_the_caller_acknowledges_gets_the_flow(
    flows,
):
    (first,) = flows.handle_packet(builders.opening_packet(), SETTLED)
    (second,) = flows.handle_packet(builders.opening_packet(1), SETTLED + 0.2)
    for sent, sequence in ((first, 500_000), (second, 900_000)):
        number = int(sent.address.host.rpartition(".")[2])
        accepted = messages.Accepted(builders.FLOW, sequence, builders.IDLE_LOAD)
        flows.handle_message(peer_address_of(number), accepted, SETTLED + 0.21)
    answer = builders.packet(acknowledgement=900_001)
    (sent,) = flows.handle_packet(answer, SETTLED + 0.22)
    assert sent.address == second.address


def test_reused_port_opens_a_new_flow(flows):
    open_flow(flows)
    again = builders.opening_packet(sequence=builders.CALLER_START + 9_999)
    for number in (1, 2, 3):
        drained = builders.agent_record(number, incarnation=2, is_draining=number < 3)
        flows.update_member(drained, SETTLED)
    (sent,) = flows.handle_packet(again, SETTLED + 1)
    assert sent.address == packet_address_of(builders.agent_record(3))


# Routes that may be older than those of other members.


def make_flows(table):
    """Return an entry that knows some routes and three agents, maybe not all."""
    made = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    made.update_routes(table, 0.0)
    for number in (1, 2, 3):
        made.update_member(builders.agent_record(number), 0.0)
    return made


def make_flows_with_older_routes():
    """Return a complete entry that has been told of a revision it has not adopted."""
    made = make_flows(builders.older_route_table())
    made.record_revision(builders.newer_route_table().revision)
    made.update_completeness(builders.COMPLETE, 0.0)
    return made


def flows_that_are_uncertain():
    """Return an incomplete entry, and a complete one with older routes."""
    incomplete = make_flows(builders.older_route_table())
    return [incomplete, make_flows_with_older_routes()]


def resets_of(decided):
    return [action for action in decided if isinstance(action, actions.Reset)]


def test_open_flow_without_route_is_looked_up_while_members_are_discovered():
    flows = make_flows(builders.older_route_table())
    packet = builders.packet(flow=builders.NEW_ROUTE_FLOW)
    decided = flows.handle_packet(packet, SETTLED)
    assert [type(action) for action in decided[:3]] == [actions.SendMessage] * 3
    assert not resets_of(decided)


def test_open_flow_without_route_is_looked_up_until_the_newest_revision():
    flows = make_flows_with_older_routes()
    packet = builders.packet(flow=builders.NEW_ROUTE_FLOW)
    assert not resets_of(flows.handle_packet(packet, SETTLED))
    confirmed = messages.OwnershipConfirmed(builders.NEW_ROUTE_FLOW)
    flows.handle_message(peer_address_of(2), confirmed, SETTLED + 0.01)
    (sent,) = flows.handle_packet(packet, SETTLED + 60)
    assert sent.address == packet_address_of(builders.agent_record(2))
    flows.update_routes(builders.newer_route_table(), SETTLED + 61)
    (sent,) = flows.handle_packet(packet, SETTLED + 62)
    assert sent.address == packet_address_of(builders.agent_record(2))


def test_flow_without_owner_is_reset_although_newer_routes_exist():
    flows = make_flows_with_older_routes()
    look_up(flows)
    (reset,) = deny(flows, (1, 2, 3), SETTLED)
    assert reset.reason is actions.Reason.NO_OWNER


def test_flow_of_a_dropped_route_is_reset_once_the_newest_revision_is_adopted():
    flows = make_flows_with_older_routes()
    packet = builders.packet(flow=builders.DROPPED_ROUTE_FLOW)
    assert not resets_of(flows.handle_packet(packet, SETTLED))
    flows.update_routes(builders.newer_route_table(), SETTLED + 0.1)
    (reset,) = flows.handle_packet(packet, SETTLED + 0.2)
    assert reset.reason is actions.Reason.NO_ROUTE


def test_new_flow_of_a_new_route_is_placed_once_the_revision_is_adopted():
    for flows in flows_that_are_uncertain():
        packet = builders.opening_packet(flow=builders.NEW_ROUTE_FLOW)
        assert flows.handle_packet(packet, SETTLED) == []
        assert flows.handle_packet(packet._replace(acknowledgement=1), SETTLED) == []
        (sent,) = flows.update_routes(builders.newer_route_table(), SETTLED + 0.5)
        assert isinstance(sent, actions.Forward)


def test_new_flow_is_refused_in_time_where_the_newest_revision_is_not_adopted():
    for flows in flows_that_are_uncertain():
        packet = builders.opening_packet(flow=builders.NO_ROUTE_FLOW)
        assert flows.handle_packet(packet, SETTLED) == []
        assert flows.tick(SETTLED + packets.OPENING_TIMEOUT_SECONDS - 0.01) == []
        (reset,) = flows.tick(SETTLED + packets.OPENING_TIMEOUT_SECONDS)
        assert reset.reason is actions.Reason.NO_ROUTE
        assert flows.flow_count == 0


def test_new_flow_without_route_is_refused_once_the_newest_revision_is_adopted():
    flows = make_flows_with_older_routes()
    packet = builders.opening_packet(flow=builders.NO_ROUTE_FLOW)
    assert flows.handle_packet(packet, SETTLED) == []
    (reset,) = flows.update_routes(builders.newer_route_table(), SETTLED + 0.5)
    assert reset.reason is actions.Reason.NO_ROUTE


def test_an_older_revision_of_another_member_changes_nothing(flows):
    flows.update_routes(builders.newer_route_table(), SETTLED)
    flows.record_revision(builders.older_route_table().revision)
    packet = builders.packet(flow=builders.NO_ROUTE_FLOW)
    (reset,) = flows.handle_packet(packet, SETTLED)
    assert reset.reason is actions.Reason.NO_ROUTE


def test_flows_without_route_leave_the_queue_to_those_that_await_capacity(flows):
    flows.record_revision(builders.newer_route_table().revision)
    for port in range(flow_queue.MIN_LIMIT):
        flow = builders.NO_ROUTE_FLOW._replace(caller_port=port)
        assert flows.handle_packet(builders.opening_packet(flow=flow), SETTLED) == []
    fill(flows)
    assert flows.handle_packet(builders.opening_packet(), SETTLED) == []


# Flows with unknown owner.


def test_lookup_asks_every_agent(flows):
    assert look_up(flows) == {peer_address_of(number) for number in (1, 2, 3)}


def test_packets_are_buffered_during_a_lookup_and_forwarded_to_the_owner(flows):
    look_up(flows)
    later = builders.packet(length=10)
    assert flows.handle_packet(later, SETTLED + 0.01) == []
    decided = flows.handle_message(
        peer_address_of(2), messages.OwnershipConfirmed(builders.FLOW), SETTLED + 0.02
    )
    address = packet_address_of(builders.agent_record(2))
    seconds = pytest.approx(0.02)
    assert decided == [
        actions.Forward(address, builders.packet().datagram),
        actions.Forward(address, later.datagram),
        actions.RecordOwnerFound(builders.FLOW, address, seconds, 3),
    ]
    (sent,) = flows.handle_packet(builders.packet(), SETTLED + 0.1)
    assert sent.address == address


def need_packet(flows, number, now):
    """Let an agent need a packet of FLOW, and return what it gets."""
    needed = messages.OwnershipAnswer(undecided=(builders.FLOW,))
    return flows.handle_message(peer_address_of(number), needed, now)


def test_only_an_agent_that_needs_a_packet_to_tell_gets_it_and_once(flows):
    look_up(flows)
    assert need_packet(flows, 2, SETTLED + 0.01) == []
    assert deny(flows, (1,), SETTLED + 0.01) == []
    (probe,) = deny(flows, (3,), SETTLED + 0.01)
    request = messages.LookupRequest(builders.packet().datagram)
    assert probe == actions.SendMessage(peer_address_of(2), request)
    confirmed = messages.OwnershipConfirmed(builders.FLOW)
    (found,) = flows.handle_message(peer_address_of(2), confirmed, SETTLED + 0.02)
    assert isinstance(found, actions.RecordOwnerFound)


def test_agent_that_needs_a_packet_has_not_denied(flows):
    look_up(flows)
    need_packet(flows, 2, SETTLED)
    (probe,) = deny(flows, (1, 3), SETTLED)
    assert isinstance(probe.message, messages.LookupRequest)
    (reset,) = deny(flows, (2,), SETTLED)
    assert reset.reason is actions.Reason.NO_OWNER


def test_old_packet_is_not_sent_to_an_agent_that_answers_late(flows):
    look_up(flows)
    late = SETTLED + lookup_state.CALLER_PAUSE_SECONDS + 0.1
    assert need_packet(flows, 2, late) == []


def test_newer_packet_is_delivered_although_an_older_one_was_probed(flows):
    look_up(flows)
    need_packet(flows, 2, SETTLED)
    newer = builders.packet(length=7)
    flows.handle_packet(newer, SETTLED + lookups.RETRY_INTERVAL_SECONDS)
    confirmed = messages.OwnershipConfirmed(builders.FLOW)
    decided = flows.handle_message(peer_address_of(2), confirmed, SETTLED + 0.2)
    sent = [a.datagram for a in decided if isinstance(a, actions.Forward)]
    assert sent == [newer.datagram]


def test_flow_that_all_agents_deny_is_reset_immediately(flows):
    look_up(flows)
    assert deny(flows, (1, 2), SETTLED) == []
    decided = deny(flows, (3,), SETTLED)
    reason = actions.Reason.NO_OWNER
    (reset,) = decided
    assert reset[:3] == (builders.FLOW, builders.SERVER_START, reason)
    assert reset.evidence.denied == 3


def test_silence_is_no_denial(flows):
    look_up(flows)
    deny(flows, (1, 2), SETTLED)
    assert flows.tick(SETTLED + 60) == []


@pytest.mark.parametrize("is_answer", [False, True])
@pytest.mark.parametrize("is_later", [False, True])
def test_a_denial_of_another_process_at_the_address_does_not_count(
    flows, is_answer, is_later
):
    """Guards against a denial of one agent that counts for another one there."""
    look_up(flows)
    deny(flows, (1, 2), SETTLED)
    known = builders.agent_record(3).member.id
    sender = identifiers.MemberId(known + 1 if is_later else known - 1)
    if is_answer:
        denial = messages.OwnershipAnswer(denied=(builders.FLOW,), sender=sender)
    else:
        denial = messages.OwnershipDenied(builders.FLOW, sender)
    address = peer_address_of(3)
    decided = flows.handle_message(address, denial, SETTLED)
    assert decided == ([actions.ReportUnknownSender(address)] if is_later else [])
    assert flows.tick(SETTLED + 0.1) == []
    decided = deny(flows, (3,), SETTLED + 0.1)
    assert [type(action) for action in decided] == [actions.Reset]


def test_a_flow_is_held_whichever_process_at_the_address_tells(flows):
    """Guards against a lookup that waits for a process that the entry knows."""
    look_up(flows)
    sender = identifiers.MemberId(builders.agent_record(3).member.id + 1)
    answer = messages.OwnershipAnswer(owned=(builders.FLOW,), sender=sender)
    decided = flows.handle_message(peer_address_of(3), answer, SETTLED)
    assert actions.ReportUnknownSender(peer_address_of(3)) in decided
    (forwarded,) = flows.handle_packet(builders.packet(), SETTLED)
    assert forwarded.address == packet_address_of(builders.agent_record(3))


def test_silent_agents_are_asked_again(flows):
    look_up(flows)
    deny(flows, (1,), SETTLED)
    asked = look_up(flows, SETTLED + 0.2)
    assert asked == {peer_address_of(2), peer_address_of(3)}


def test_dead_agent_has_a_grace_period_to_come_back(flows):
    look_up(flows)
    deny(flows, (1, 2), SETTLED)
    dead = builders.agent_record(3, records.Status.DEAD)
    assert flows.update_member(dead, SETTLED + 1) == []
    assert flows.tick(SETTLED + 1 + lookups.DEAD_GRACE_SECONDS / 2) == []
    decided = flows.tick(SETTLED + 1 + lookups.DEAD_GRACE_SECONDS)
    assert [type(action) for action in decided] == [actions.Reset]


def test_lookup_waits_for_a_restarted_agent(flows):
    look_up(flows)
    deny(flows, (1, 2), SETTLED)
    restarted = builders.agent_record(3, start=2)
    (sent,) = flows.update_member(restarted, SETTLED + 0.1)
    assert sent.address == peer_address_of(3)
    assert flows.tick(SETTLED + 1.5) == []
    assert look_up(flows, SETTLED + 1.5) == {peer_address_of(3)}


def test_entry_resets_nothing_before_it_knows_all_agents(flows):
    started = entry.EntryFlows(builders.ZONE, random.Random(1), SETTLED)
    started.update_routes(builders.route_table(), 0.0)
    for number in (1, 2, 3):
        started.update_member(builders.agent_record(number), SETTLED)
    look_up(started, SETTLED + 0.1)
    assert deny(started, (1, 2, 3), SETTLED + 0.1) == []
    assert started.tick(SETTLED + 12.0) == []
    (reset,) = started.update_completeness(builders.COMPLETE, SETTLED + 12.0)
    assert reset.reason is actions.Reason.NO_OWNER


def test_entry_that_may_have_missed_an_agent_resets_nothing(flows):
    look_up(flows)
    flows.update_completeness(None, SETTLED)
    assert deny(flows, (1, 2, 3), SETTLED + 0.1) == []
    assert flows.tick(SETTLED + 12.0) == []


def test_agent_that_appears_during_a_lookup_is_asked_immediately(flows):
    look_up(flows)
    (sent,) = flows.update_member(builders.agent_record(4), SETTLED + 0.01)
    assert sent.address == peer_address_of(4)
    assert deny(flows, (1, 2, 3), SETTLED + 0.1) == []
    assert flows.tick(SETTLED + 12.0) == []
    (reset,) = deny(flows, (4,), SETTLED + 12.0)
    assert reset.reason is actions.Reason.NO_OWNER


def test_flow_is_reset_immediately_where_its_server_has_ended(flows):
    number = open_flow(flows)
    left = builders.agent_record(
        number, records.Status.LEFT, incarnation=2, has_server=False
    )
    flows.update_member(left, SETTLED)
    look_up(flows, SETTLED + 0.1)
    (reset,) = deny(flows, [n for n in (1, 2, 3) if n != number], SETTLED + 0.1)
    assert reset.reason is actions.Reason.NO_OWNER


def test_flow_is_not_reset_while_the_successor_of_a_stopped_agent_may_start(flows):
    left = builders.agent_record(3, records.Status.LEFT, incarnation=2)
    flows.update_member(left, SETTLED)
    look_up(flows)
    deny(flows, (1, 2), SETTLED)
    late = SETTLED + lookups.SUCCESSOR_GRACE_SECONDS - 0.1
    assert flows.tick(late) == []
    successor = builders.agent_record(3, start=2)
    assert flows.update_member(successor, late) == []
    assert look_up(flows, late) >= {peer_address_of(3)}
    assert flows.tick(late + 5.0) == []


def test_flow_denied_by_its_agent_is_looked_up_at_the_others(flows):
    number = open_flow(flows)
    deny(flows, (number,), SETTLED)
    others = {peer_address_of(other) for other in (1, 2, 3) if other != number}
    assert look_up(flows, SETTLED + 0.01) == others


def test_flow_of_a_dead_agent_is_reset_once_no_agent_owns_it(flows):
    number = open_flow(flows)
    dead = builders.agent_record(number, records.Status.DEAD)
    flows.update_member(dead, SETTLED)
    (sent,) = flows.handle_packet(builders.packet(), SETTLED + 0.1)
    assert isinstance(sent, actions.Forward)
    later = SETTLED + lookups.DEAD_GRACE_SECONDS + 0.1
    look_up(flows, later)
    assert deny(flows, [n for n in (1, 2, 3) if n != number], later) == []
    (reset,) = flows.tick(later + lookups.RETRY_INTERVAL_SECONDS + 0.01)
    assert reset.reason is actions.Reason.NO_OWNER


def test_a_stray_reset_is_not_answered(flows):
    (dropped,) = flows.handle_packet(builders.packet(packets.Flags.RST), SETTLED)
    assert isinstance(dropped, actions.Drop)


def test_memory_is_bounded(flows, monkeypatch):
    monkeypatch.setattr(entry, "MAX_FLOWS", 10)
    monkeypatch.setattr(flow_queue, "MIN_LIMIT", 100)
    for port in range(30):
        flow = builders.FLOW._replace(caller_port=port)
        flows.handle_packet(builders.opening_packet(flow=flow), SETTLED)
    assert flows.flow_count == 10


def test_memory_of_lookups_is_bounded(flows, monkeypatch):
    monkeypatch.setattr(entry, "MAX_FLOWS", 10)
    for port in range(30):
        flow = builders.FLOW._replace(caller_port=port)
        flows.handle_packet(builders.packet(flow=flow), SETTLED)
    assert flows.flow_count == 10


def test_flows_that_were_never_opened_are_forgotten(flows):
    flows.handle_packet(builders.opening_packet(), SETTLED)
    flows.tick(SETTLED + 3.0)
    assert flows.flow_count == 0


def test_idle_flows_are_forgotten(flows):
    open_flow(flows)
    flows.tick(SETTLED + 15.0)
    assert flows.flow_count == 1
    flows.tick(SETTLED + 15.0 + entry.CLOSED_RETENTION_SECONDS + 1.1)
    assert flows.flow_count == 0


def test_messages_of_unknown_senders_change_nothing_and_are_reported(flows):
    number = open_flow(flows)
    unknown_sender = builders.ENTRY
    denial = messages.OwnershipDenied(builders.FLOW)
    assert flows.handle_message(unknown_sender, denial, SETTLED) == [
        actions.ReportUnknownSender(unknown_sender)
    ]
    (sent,) = flows.handle_packet(builders.packet(), SETTLED)
    assert sent.address == packet_address_of(builders.agent_record(number))


def test_late_retransmission_goes_to_the_owner(flows):
    (sent,) = flows.handle_packet(builders.opening_packet(), SETTLED)
    number = int(sent.address.host.rpartition(".")[2])
    flows.handle_message(
        peer_address_of(number), messages.OwnershipConfirmed(builders.FLOW), SETTLED
    )
    (sent,) = flows.handle_packet(builders.packet(), SETTLED + 0.1)
    assert sent.address == packet_address_of(builders.agent_record(number))
    (copy,) = flows.handle_packet(builders.opening_packet(), SETTLED + 1.0)
    assert copy.address == sent.address


def test_denials_are_not_kept_for_a_later_flow_from_the_same_port(flows):
    look_up(flows)
    deny(flows, (1, 2), SETTLED)
    later = SETTLED + lookup_state.CALLER_PAUSE_SECONDS + 0.1
    assert look_up(flows, later) == {peer_address_of(number) for number in (1, 2, 3)}
    assert deny(flows, (3,), later) == []


def test_packets_queued_during_a_pause_open_and_end_no_flows(flows):
    flows.handle_pause(SETTLED)
    (dropped,) = flows.handle_packet(builders.opening_packet(), SETTLED + 0.01)
    assert isinstance(dropped, actions.Drop)
    look_up(flows, SETTLED + 0.01)
    assert deny(flows, (1, 2, 3), SETTLED + 0.02) == []
    (sent,) = flows.handle_packet(
        builders.opening_packet(flow=builders.OTHER_FLOW),
        SETTLED + cluster_view.STALE_AFTER_PAUSE_SECONDS,
    )
    assert isinstance(sent, actions.Forward)


def test_agent_wrongly_believed_dead_can_confirm_ownership(flows):
    dead = builders.agent_record(3, records.Status.DEAD)
    flows.update_member(dead, SETTLED - 5)
    assert peer_address_of(3) in look_up(flows)
    assert deny(flows, (1, 2), SETTLED) == []
    flows.handle_message(
        peer_address_of(3), messages.OwnershipConfirmed(builders.FLOW), SETTLED + 0.05
    )
    (sent,) = flows.handle_packet(builders.packet(), SETTLED + 0.1)
    assert sent.address == packet_address_of(dead)


def test_an_agent_believed_dead_has_time_to_answer(flows):
    flows.update_member(builders.agent_record(3, records.Status.DEAD), SETTLED - 5)
    look_up(flows)
    assert deny(flows, (1, 2), SETTLED) == []
    assert flows.tick(SETTLED + lookups.RETRY_INTERVAL_SECONDS / 2) == []
    decided = flows.tick(SETTLED + lookups.RETRY_INTERVAL_SECONDS)
    assert [type(action) for action in decided] == [actions.Reset]
