"""Tests of an agent's decisions about flows."""

from __future__ import annotations

import pytest

from cactushall_core.flows import (
    actions,
    agent,
    messages,
    packets,
    registrations,
    servers,
    untracked_flows,
)
from tests.core.flows import builders

HEARTBEAT_SECONDS = 1.2


@pytest.fixture
def server():
    return builders.make_server(HEARTBEAT_SECONDS)


@pytest.fixture
def flows(server):
    """An agent that was running before its backend server started."""
    made = agent.AgentFlows(server, 0.0)
    made.update_routes(builders.route_table(), 0.0)
    builders.see_start(made, 0.0)
    return made


@pytest.fixture
def restarted(server):
    """An agent that has just started beside a running backend server."""
    made = agent.AgentFlows(server, 0.0)
    made.update_routes(builders.route_table(), 0.0)
    made.handle_announcement(builders.announcement(number=20), 0.0)
    return made


def open_flow(flows, now=1.0):
    flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, now)
    flows.handle_server_packet(builders.opening_answer(), now)
    return flows.handle_caller_packet(
        builders.packet(acknowledgement=builders.SERVER_START + 1), builders.ENTRY, now
    )


def denial(basis):
    """Return the action that denies FLOW on some basis."""
    message = messages.OwnershipDenied(builders.FLOW)
    return actions.SendMessage(builders.ENTRY, message, basis)


def look_up(flows, now):
    return flows.handle_lookup(builders.packet(), builders.ENTRY, now)


def is_probe(decided):
    """Return whether the backend server is asked, by a packet, for its flow."""
    return decided == [actions.DeliverToServer(builders.packet().datagram)]


def refusal_of(decided):
    (told,) = decided
    return told.message.refusal


def test_opening_packet_is_delivered_and_entry_is_notified_of_the_answer(flows):
    opening = builders.opening_packet()
    decided = flows.handle_caller_packet(opening, builders.ENTRY, 1.0)
    assert decided == [actions.DeliverToServer(opening.datagram)]
    told, returned = flows.handle_server_packet(builders.opening_answer(), 1.0)
    assert told.message.sequence == builders.SERVER_START
    assert told.address == builders.ENTRY
    assert returned == actions.SendToCaller(
        builders.FLOW, builders.opening_answer().datagram
    )


def test_packets_pass_unchanged_both_ways(flows):
    (delivered,) = open_flow(flows)
    assert isinstance(delivered, actions.DeliverToServer)
    answer = builders.packet(length=100)
    returned, measured = flows.handle_server_packet(answer, 1.1)
    assert returned == actions.SendToCaller(builders.FLOW, answer.datagram)
    assert measured.kind is actions.Latency.REQUEST_ANSWERED
    assert measured.seconds == pytest.approx(0.1)


def test_a_flow_of_another_service_is_never_delivered(flows):
    flows.update_routes(builders.route_table(builders.OTHER_SERVICE), 0.5)
    decided = flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 1.0)
    assert refusal_of(decided) is messages.Refusal.NO_ROUTE


def test_draining_backend_server_immediately_gets_no_new_flows(flows):
    flows.handle_announcement(builders.announcement(2, is_draining=True), 1.0)
    decided = flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 1.0)
    assert refusal_of(decided) is messages.Refusal.DRAINING


def test_established_flows_continue_during_a_drain(flows):
    open_flow(flows)
    flows.handle_announcement(builders.announcement(2, is_draining=True), 1.0)
    (delivered,) = flows.handle_caller_packet(builders.packet(), builders.ENTRY, 1.1)
    assert isinstance(delivered, actions.DeliverToServer)


def test_a_late_heartbeat_does_not_end_a_drain(flows):
    flows.handle_announcement(builders.announcement(3, is_draining=True), 1.0)
    assert (
        flows.handle_announcement(builders.announcement(2), 1.1)
        is servers.Outcome.STALE
    )
    decided = flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 1.1)
    assert refusal_of(decided) is messages.Refusal.DRAINING


def test_bounced_opening_packet_is_declined(flows):
    opening = builders.opening_packet()
    flows.handle_caller_packet(opening, builders.ENTRY, 1.0)
    decided = flows.handle_server_packet(builders.bounced_packet(opening), 1.0)
    assert refusal_of(decided) is messages.Refusal.FULL


def test_new_flows_are_queued_until_the_first_configuration(server):
    flows = agent.AgentFlows(server, 0.0)
    flows.handle_announcement(builders.announcement(), 0.0)
    opening = builders.opening_packet()
    assert flows.handle_caller_packet(opening, builders.ENTRY, 1.0) == []
    decided = flows.update_routes(builders.route_table(), 1.1)
    assert decided == [actions.DeliverToServer(opening.datagram)]


def test_queued_flow_is_declined_where_the_first_configuration_has_no_route(server):
    flows = agent.AgentFlows(server, 0.0)
    flows.handle_announcement(builders.announcement(), 0.0)
    flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 1.0)
    decided = flows.update_routes(builders.route_table(builders.OTHER_SERVICE), 1.1)
    assert refusal_of(decided) is messages.Refusal.NO_ROUTE


def test_queued_flows_expire(server):
    flows = agent.AgentFlows(server, 0.0)
    flows.handle_announcement(builders.announcement(), 0.0)
    flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 1.0)
    assert (
        flows.update_routes(
            builders.route_table(), 1.1 + packets.OPENING_TIMEOUT_SECONDS
        )
        == []
    )


def test_queue_of_new_flows_is_bounded(server):
    flows = agent.AgentFlows(server, 0.0)
    for port in range(agent.MAX_QUEUED_OPENINGS):
        flow = builders.FLOW._replace(caller_port=port)
        assert (
            flows.handle_caller_packet(
                builders.opening_packet(flow=flow), builders.ENTRY, 1.0
            )
            == []
        )
    decided = flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 1.0)
    assert refusal_of(decided) is messages.Refusal.NOT_READY
    flows.tick(1.1 + packets.OPENING_TIMEOUT_SECONDS)
    assert (
        flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 2.5) == []
    )


def test_agent_that_has_seen_all_flows_denies_unknown_ones_itself(flows):
    decided = flows.handle_lookup(builders.packet(), builders.ENTRY, 1.0)
    assert decided == [denial(actions.DenialBasis.NEVER_TRACKED)]


def test_restarted_agent_probes_its_backend_server(restarted):
    packet = builders.packet()
    decided = restarted.handle_lookup(packet, builders.ENTRY, 1.0)
    assert decided == [actions.DeliverToServer(packet.datagram)]
    told, _ = restarted.handle_server_packet(builders.packet(length=5), 1.0)
    assert told.message == messages.OwnershipConfirmed(builders.FLOW)


def test_backend_server_is_probed_once_for_each_flow_that_it_does_not_hold(restarted):
    packet = builders.packet()
    restarted.handle_caller_packet(packet, builders.ENTRY, 1.0)
    (told,) = restarted.handle_server_packet(builders.bounced_packet(packet), 1.0)
    assert told.message == messages.OwnershipDenied(builders.FLOW)
    (again,) = restarted.handle_caller_packet(packet, builders.ENTRY, 1.1)
    assert again.message == messages.OwnershipDenied(builders.FLOW)


def test_reset_in_answer_to_a_probe_is_a_denial_and_never_reaches_the_caller(
    restarted,
):
    """Another backend server may hold the flow that this one resets."""
    restarted.handle_lookup(builders.packet(length=5), builders.ENTRY, 1.0)
    decided = restarted.handle_server_packet(builders.packet(packets.Flags.RST), 1.1)
    assert decided == [denial(actions.DenialBasis.SERVER_DENIED)]
    assert restarted.load.requests == 0
    again = restarted.handle_lookup(builders.packet(), builders.ENTRY, 1.2)
    assert again == [denial(actions.DenialBasis.SERVER_DENIED)]


def ask(flows, *others):
    """Ask an agent which of FLOW and others it owns, and return what is decided."""
    answer, record = flows.handle_query((builders.FLOW, *others), builders.ENTRY)
    assert answer.address == record.asker == builders.ENTRY
    assert answer.message.owned == record.owned
    assert answer.message.denied == tuple(record.denials)
    return answer.message, record


def test_owner_confirms_without_a_packet(flows):
    open_flow(flows)
    answer, _ = ask(flows)
    assert answer == messages.OwnershipAnswer(owned=(builders.FLOW,))


def test_agent_that_has_seen_all_flows_denies_without_a_packet(flows):
    answer, record = ask(flows)
    assert answer == messages.OwnershipAnswer(denied=(builders.FLOW,))
    assert record.denials == {builders.FLOW: actions.DenialBasis.NEVER_TRACKED}


def test_agent_answers_about_many_flows_at_once(flows):
    open_flow(flows)
    answer, _ = ask(flows, builders.OTHER_FLOW)
    assert answer == messages.OwnershipAnswer(
        owned=(builders.FLOW,), denied=(builders.OTHER_FLOW,)
    )


def test_restarted_agent_needs_a_packet_until_its_server_has_answered(restarted):
    undecided = messages.OwnershipAnswer(undecided=(builders.FLOW,))
    assert ask(restarted)[0] == undecided
    packet = builders.packet()
    restarted.handle_lookup(packet, builders.ENTRY, 1.0)
    assert ask(restarted)[0] == undecided
    restarted.handle_server_packet(builders.bounced_packet(packet), 1.0)
    _, record = ask(restarted)
    assert record.denials == {builders.FLOW: actions.DenialBasis.SERVER_DENIED}


def test_agent_needs_a_packet_until_the_caller_has_chosen_a_server(flows):
    flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 1.0)
    flows.handle_server_packet(builders.opening_answer(), 1.0)
    assert ask(flows)[0] == messages.OwnershipAnswer(undecided=(builders.FLOW,))


def test_owner_confirms_a_lookup(flows):
    open_flow(flows)
    delivered, told = flows.handle_lookup(builders.packet(), builders.ENTRY, 1.1)
    assert isinstance(delivered, actions.DeliverToServer)
    assert told.message == messages.OwnershipConfirmed(builders.FLOW)


def test_flow_is_not_owned_where_the_caller_took_another_backend_servers_answer(flows):
    flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 1.0)
    flows.handle_server_packet(builders.opening_answer(), 1.0)
    foreign = builders.packet(acknowledgement=builders.SERVER_START + 50_000)
    (told,) = flows.handle_caller_packet(foreign, builders.ENTRY, 1.1)
    assert told == denial(actions.DenialBasis.OTHER_CHOSEN)
    assert is_probe(look_up(flows, 1.2))


def test_flow_that_its_backend_server_has_lost_is_reset_immediately(flows):
    open_flow(flows)
    packet = builders.packet(acknowledgement=builders.SERVER_START + 7)
    flows.handle_caller_packet(packet, builders.ENTRY, 1.2)
    (reset,) = flows.handle_server_packet(builders.bounced_packet(packet), 1.2)
    assert reset.reason is actions.Reason.SERVER_LOST_FLOW
    assert reset.sequence == builders.SERVER_START + 7


def test_a_closed_flow_is_not_reset(flows):
    open_flow(flows)
    flows.handle_caller_packet(builders.packet(packets.Flags.FIN), builders.ENTRY, 1.2)
    late = builders.packet()
    flows.handle_caller_packet(late, builders.ENTRY, 1.3)
    (told,) = flows.handle_server_packet(builders.bounced_packet(late), 1.3)
    assert told.message == messages.OwnershipDenied(builders.FLOW)


def test_restart_of_the_backend_server_ends_all_flows(flows):
    open_flow(flows)
    flows.handle_announcement(builders.announcement(server_id="s2", started=200), 2.0)
    assert flows.load.flows == 0
    assert is_probe(look_up(flows, 2.0))
    bounced = builders.bounced_packet(builders.packet())
    decided = flows.handle_server_packet(bounced, 2.1)
    assert decided == [denial(actions.DenialBasis.SERVER_DENIED)]
    assert look_up(flows, 2.2) == [denial(actions.DenialBasis.SERVER_DENIED)]


def test_flow_whose_opening_packet_is_answered_late_is_not_denied(flows):
    flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 1.0)
    flows.tick(1.0 + agent.UNANSWERED_RETENTION_SECONDS + 0.1)
    flows.handle_server_packet(builders.opening_answer(), 2.2)
    assert is_probe(look_up(flows, 2.3))
    told, _ = flows.handle_server_packet(builders.packet(length=5), 2.4)
    assert told.message == messages.OwnershipConfirmed(builders.FLOW)


def test_flow_opened_before_the_first_announcement_of_its_server_is_not_denied(flows):
    open_flow(flows, 2.0)
    flows.handle_announcement(builders.announcement(1, "s2", started=200), 2.1)
    assert is_probe(look_up(flows, 8.0))


def test_flow_that_is_answered_long_after_its_caller_closed_it_is_not_denied(flows):
    open_flow(flows)
    flows.handle_caller_packet(builders.packet(packets.Flags.FIN), builders.ENTRY, 1.2)
    flows.tick(1.2 + agent.CLOSED_RETENTION_SECONDS + 0.1)
    assert is_probe(look_up(flows, 7.0))


def test_repeated_opening_answer_is_no_answer_to_a_probe(restarted):
    look_up(restarted, 1.0)
    (returned,) = restarted.handle_server_packet(builders.opening_answer(), 1.0)
    assert isinstance(returned, actions.SendToCaller)
    bounced = builders.bounced_packet(builders.packet())
    decided = restarted.handle_server_packet(bounced, 1.1)
    assert decided == [denial(actions.DenialBasis.SERVER_DENIED)]


def test_late_deregistration_of_an_unknown_server_denies_no_flow(server):
    started = agent.AgentFlows(server, 0.0)
    started.update_routes(builders.route_table(), 0.0)
    server.handle_stopped("former", 0.5)
    assert is_probe(look_up(started, 1.0))


def test_denial_while_the_backend_server_is_gone_is_based_on_that(restarted, server):
    server.handle_stopped("s1", 1.0)
    assert look_up(restarted, 1.1) == [denial(actions.DenialBasis.SERVER_GONE)]


def test_a_forgotten_flow_that_is_opened_again_is_tracked(flows):
    open_flow(flows)
    flows.handle_announcement(builders.announcement(server_id="s2", started=200), 2.0)
    open_flow(flows, 2.1)
    _, told = look_up(flows, 2.2)
    assert told.message == messages.OwnershipConfirmed(builders.FLOW)


def basis_at(flows, now):
    """Return why the agent denies a flow that it has never seen."""
    other = builders.packet(flow=builders.OTHER_FLOW)
    (told,) = flows.handle_lookup(other, builders.ENTRY, now)
    return told.basis


def test_forgotten_flows_are_kept_for_the_idle_timeout_and_a_while(flows):
    """Guards against the reset of a flow whose last packet was under way for long."""
    open_flow(flows)
    flows.handle_announcement(builders.announcement(server_id="s2", started=200), 2.0)
    flows.tick(1.0 + 15.0 + 2.0)
    assert is_probe(look_up(flows, 18.0))
    assert basis_at(flows, 18.1) is actions.DenialBasis.NEVER_TRACKED


def test_forgotten_flows_are_denied_after_the_idle_timeout(flows):
    open_flow(flows)
    flows.handle_announcement(builders.announcement(server_id="s2", started=200), 2.0)
    flows.tick(1.0 + 15.0 + agent.CLOSED_RETENTION_SECONDS + 0.1)
    assert look_up(flows, 22.0) == [denial(actions.DenialBasis.NEVER_TRACKED)]


def test_memory_of_forgotten_flows_is_bounded(flows, monkeypatch):
    for module in (agent, untracked_flows):
        monkeypatch.setattr(module, "MAX_FLOWS", 2)
    for port in range(40_001, 40_006):
        flow = builders.FLOW._replace(caller_port=port)
        opening = builders.opening_packet(flow=flow)
        flows.handle_caller_packet(opening, builders.ENTRY, 1.0)
    assert len(flows._untracked.forgotten) == 2
    assert is_probe(look_up(flows, 1.1))


def test_a_late_heartbeat_of_an_earlier_start_changes_nothing(flows):
    flows.handle_announcement(builders.announcement(server_id="s2", started=200), 1.0)
    old = builders.announcement(99, server_id="s1", started=100, is_draining=True)
    assert flows.handle_announcement(old, 1.1) is servers.Outcome.OTHER_START
    assert flows.handle_query((builders.OTHER_FLOW,), builders.ENTRY)[0].message == (
        messages.OwnershipAnswer((), (builders.OTHER_FLOW,))
    )


def test_late_heartbeat_of_a_former_start_is_no_sight_of_the_present_one(server):
    """Guards against an agent that denies flows which its backend server holds."""
    started = agent.AgentFlows(server, 0.0)
    started.update_routes(builders.route_table(), 0.0)
    started.handle_announcement(builders.announcement(7, "former"), 0.1)
    started.handle_announcement(builders.announcement(9, "s2", started=200), 0.9)
    assert is_probe(look_up(started, 1.0))
    bounced = builders.bounced_packet(builders.packet())
    assert started.handle_server_packet(bounced, 1.1) == [
        denial(actions.DenialBasis.SERVER_DENIED)
    ]
    started.handle_announcement(builders.announcement(10, "s2", started=200), 2.0)
    other = builders.packet(flow=builders.OTHER_FLOW)
    decided = started.handle_lookup(other, builders.ENTRY, 2.1)
    assert decided == [actions.DeliverToServer(other.datagram)]


def test_flow_between_a_late_heartbeat_and_that_of_its_server_is_not_denied(server):
    """Guards against a flow that is forgotten as one of the former start."""
    started = agent.AgentFlows(server, 0.0)
    started.update_routes(builders.route_table(), 0.0)
    started.handle_announcement(builders.announcement(7, "former"), 0.1)
    open_flow(started, 0.5)
    started.handle_announcement(builders.announcement(9, "s2", started=200), 0.9)
    assert is_probe(look_up(started, 1.0))


@pytest.mark.parametrize("number", [0, 1, 2])
@pytest.mark.parametrize("age_seconds", [4.0, 1.2, 0.0, -4.0])
def test_a_heartbeat_alone_is_no_sight_of_a_start(server, number, age_seconds):
    """Guards against an agent that denies the flows of its predecessor.

    Its server may count from 0 or from 1, and the time of day may have been set back
    since the server started.
    """
    started = agent.AgentFlows(server, 0.0)
    started.update_routes(builders.route_table(), 0.0)
    said = builders.announcement(number, "s1", age_seconds=age_seconds)
    started.handle_announcement(said, 0.1)
    assert is_probe(look_up(started, 0.2))


@pytest.mark.parametrize("number", [0, 1, 2])
def test_a_heartbeat_after_another_start_is_no_sight_of_a_start(restarted, number):
    """Guards against a late heartbeat that seems to be of a former start."""
    said = builders.announcement(number, "s2", started=200)
    restarted.handle_announcement(said, 2.0)
    assert is_probe(look_up(restarted, 2.1))


@pytest.mark.parametrize("number", [0, 1, 2])
def test_an_agent_that_runs_on_knows_the_flows_of_each_later_start(flows, number):
    """Guards against lookups that need a packet for each server that has restarted."""
    flows.handle_announcement(builders.announcement(number, "s2", started=200), 2.0)
    assert look_up(flows, 2.1) == [denial(actions.DenialBasis.NEVER_TRACKED)]


def test_server_that_is_heard_again_may_hold_its_flows(flows):
    """Guards against denials after one odd heartbeat of another writer."""
    open_flow(flows)
    odd = builders.announcement(1, "odd", started=10**9)
    flows.handle_announcement(odd, 1.0)
    for number in range(2, 8):
        said = builders.announcement(number)
        outcome = flows.handle_announcement(said, number * HEARTBEAT_SECONDS)
    assert outcome is servers.Outcome.APPLIED
    assert is_probe(look_up(flows, 10.0))


def test_settings_that_change_the_service_end_what_was_known_of_the_server(
    flows, server
):
    """Guards against requests that a server runs for the service it had before."""
    open_flow(flows)
    other = builders.OTHER_SERVICE
    assert flows.configure_server(other, builders.SERVER, 2.0)
    flow = builders.FLOW._replace(caller_port=50_000)
    opening = builders.opening_packet(flow=flow)
    decided = flows.handle_caller_packet(opening, builders.ENTRY, 2.0)
    assert refusal_of(decided) is messages.Refusal.NO_ROUTE
    unknown = builders.packet(flow=builders.OTHER_FLOW)
    assert is_probe(flows.handle_lookup(unknown, builders.ENTRY, 2.0))
    former = builders.announcement(2, is_draining=True)
    outcome = flows.handle_announcement(former, 2.1)
    assert outcome is servers.Outcome.FOREIGN
    announced = builders.announcement(server_id="s2", service=other)
    assert flows.handle_announcement(announced, 2.2) is servers.Outcome.APPLIED
    assert server.state is servers.State.READY


def test_settings_that_name_the_same_server_change_nothing(flows):
    assert not flows.configure_server(builders.SERVICE, builders.SERVER, 2.0)
    unknown = builders.packet(flow=builders.OTHER_FLOW)
    (told,) = flows.handle_lookup(unknown, builders.ENTRY, 2.0)
    assert told.basis is actions.DenialBasis.NEVER_TRACKED


def test_load_counts_requests_until_their_first_answer(flows):
    open_flow(flows)
    asked = builders.packet(sequence=5_000, length=50)
    flows.handle_caller_packet(asked, builders.ENTRY, 2.0)
    assert flows.load.requests == 1
    flows.handle_caller_packet(asked, builders.ENTRY, 2.1)
    assert flows.load.requests == 1
    flows.handle_server_packet(builders.packet(length=900), 2.5)
    assert flows.load.requests == 0
    assert flows.load.service_seconds == pytest.approx(0.5)
    flows.handle_caller_packet(asked, builders.ENTRY, 2.6)
    assert flows.load.requests == 0


def test_unresponsive_backend_server_gets_no_new_flows(flows, server):
    for port in range(servers.MAX_UNANSWERED):
        flow = builders.FLOW._replace(caller_port=port)
        flows.handle_caller_packet(
            builders.opening_packet(flow=flow), builders.ENTRY, 1.0
        )
    assert not server.tick(1.0 + servers.UNANSWERED_TIMEOUT_SECONDS / 2)
    assert server.tick(1.1 + servers.UNANSWERED_TIMEOUT_SECONDS)
    decided = flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 2.0)
    assert refusal_of(decided) is messages.Refusal.NOT_READY


def test_a_backend_server_without_heartbeats_gets_no_new_flows(server):
    server.handle_announcement(builders.announcement(), 0.0)
    assert not server.tick(servers.MISSED_HEARTBEATS * HEARTBEAT_SECONDS - 0.1)
    assert server.tick(servers.MISSED_HEARTBEATS * HEARTBEAT_SECONDS + 0.1)
    assert server.state is servers.State.UNKNOWN


def test_memory_is_bounded_and_forgets_idle_flows(flows):
    open_flow(flows)
    flows.tick(1.0 + 15.0)
    assert flows.flow_count == 1
    flows.tick(1.0 + 15.0 + agent.CLOSED_RETENTION_SECONDS + 1.1)
    assert flows.flow_count == 0


def test_a_new_flow_counts_as_a_request_until_its_answer(flows):
    open_flow(flows)
    assert flows.load.requests == 1
    flows.handle_caller_packet(builders.packet(length=5), builders.ENTRY, 1.1)
    assert flows.load.requests == 1
    flows.handle_server_packet(builders.packet(length=5), 1.2)
    assert flows.load.requests == 0


def test_new_flow_without_request_is_not_counted_for_long(flows):
    flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 1.0)
    flows.tick(1.0 + agent.FIRST_REQUEST_TIMEOUT_SECONDS / 2)
    assert flows.load.requests == 1
    flows.tick(1.0 + agent.FIRST_REQUEST_TIMEOUT_SECONDS)
    assert flows.load.requests == 0


def test_request_on_a_flow_that_the_caller_closed_is_not_counted(flows):
    open_flow(flows)
    flows.handle_caller_packet(builders.packet(length=5), builders.ENTRY, 1.1)
    flows.handle_caller_packet(builders.packet(packets.Flags.FIN), builders.ENTRY, 1.2)
    assert flows.load.requests == 0


def test_fin_that_overtakes_the_answer_counts_as_the_answer(flows):
    open_flow(flows)
    flows.handle_caller_packet(builders.packet(length=5), builders.ENTRY, 1.1)
    flows.handle_server_packet(builders.packet(packets.Flags.FIN), 1.13)
    flows.handle_server_packet(builders.packet(length=5), 1.14)
    assert flows.load.requests == 0
    assert flows.load.service_seconds == pytest.approx(0.03)


def test_service_time_is_not_dominated_by_one_slow_request(flows):
    for number, seconds in enumerate([0.2, 0.02, 0.02, 0.02, 0.02]):
        flow = builders.FLOW._replace(caller_port=number)
        flows.handle_caller_packet(
            builders.opening_packet(flow=flow), builders.ENTRY, number
        )
        flows.handle_caller_packet(
            builders.packet(length=5, flow=flow), builders.ENTRY, number
        )
        answer = builders.packet(length=5, flow=flow)
        flows.handle_server_packet(answer, number + seconds)
    assert flows.load.service_seconds == pytest.approx(0.28 / 5)


@pytest.mark.parametrize("flag", [packets.Flags.FIN, packets.Flags.RST])
def test_a_request_on_a_flow_that_its_backend_server_ends_is_not_counted(
    restarted, flag
):
    restarted.handle_caller_packet(builders.packet(length=5), builders.ENTRY, 1.1)
    assert restarted.load.requests == 1
    restarted.handle_server_packet(builders.packet(flag), 1.2)
    assert restarted.load.requests == 0


def test_request_times_out(flows):
    open_flow(flows)
    flows.handle_caller_packet(builders.packet(length=5), builders.ENTRY, 1.1)
    flows.tick(1.1 + agent.MIN_REQUEST_TIMEOUT_SECONDS)
    assert flows.load.requests == 1
    flows.tick(1.1 + agent.MIN_REQUEST_TIMEOUT_SECONDS + agent.SWEEP_INTERVAL_SECONDS)
    assert flows.load.requests == 0


def test_request_timeout_grows_with_the_service_time(flows):
    open_flow(flows)
    flows.handle_caller_packet(builders.packet(length=5), builders.ENTRY, 1.0)
    flows.handle_server_packet(builders.packet(length=5), 4.0)
    flows.handle_caller_packet(
        builders.packet(sequence=2000, length=5), builders.ENTRY, 5.0
    )
    flows.tick(5.0 + 3.0)
    assert flows.load.requests == 1


def test_service_time_excludes_queueing(flows):
    for number in range(4):
        flow = builders.FLOW._replace(caller_port=number)
        flows.handle_caller_packet(
            builders.opening_packet(flow=flow), builders.ENTRY, 1.0
        )
        flows.handle_caller_packet(
            builders.packet(length=5, flow=flow), builders.ENTRY, 1.0
        )
    for number in range(4):
        flow = builders.FLOW._replace(caller_port=number)
        answer = builders.packet(length=5, flow=flow)
        flows.handle_server_packet(answer, 1.0 + 0.02 * (number + 1))
    assert flows.load.service_seconds == pytest.approx(0.02)


@pytest.mark.parametrize(("objective", "most"), [(0.11, 2), (0.3, 5)])
def test_backend_server_gets_only_requests_that_it_can_answer_in_time(
    flows, objective, most
):
    flows.update_routes(builders.route_table(objective=objective), 0.5)
    test_service_time_excludes_queueing(flows)
    admitted = 0
    for number in range(100, 120):
        flow = builders.FLOW._replace(caller_port=number)
        decided = flows.handle_caller_packet(
            builders.opening_packet(flow=flow), builders.ENTRY, 2.0
        )
        admitted += isinstance(decided[0], actions.DeliverToServer)
    assert admitted == most
    assert refusal_of(decided) is messages.Refusal.FULL


def test_idle_backend_server_gets_a_request_however_slow_it_is(flows):
    flows.update_routes(builders.route_table(objective=0.001), 0.5)
    test_service_time_excludes_queueing(flows)
    (delivered,) = flows.handle_caller_packet(
        builders.opening_packet(), builders.ENTRY, 2.0
    )
    assert isinstance(delivered, actions.DeliverToServer)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_late_copy_of_the_opening_packet_ends_no_established_flow(
    flows, restarted, is_restarted
):
    """An entry that was paused forwards what it had received before the pause."""
    if is_restarted:
        flows = restarted
        flows.handle_caller_packet(builders.packet(), builders.ENTRY, 1.0)
        flows.handle_server_packet(builders.packet(length=5), 1.0)
    else:
        open_flow(flows)
    flows.handle_announcement(builders.announcement(30, is_draining=True), 2.0)
    (told,) = flows.handle_caller_packet(builders.opening_packet(), builders.ENTRY, 3.0)
    assert isinstance(told.message, messages.OwnershipConfirmed | messages.Accepted)
    flows.handle_server_packet(builders.opening_answer(sequence=555_000), 3.0)
    asked = builders.packet(acknowledgement=builders.SERVER_START + 500)
    delivered, told = flows.handle_lookup(asked, builders.ENTRY, 3.1)
    assert delivered == actions.DeliverToServer(asked.datagram)
    assert told.message == messages.OwnershipConfirmed(builders.FLOW)


def test_reused_port_opens_a_new_flow(flows):
    open_flow(flows)
    again = builders.opening_packet(sequence=builders.CALLER_START + 9_999)
    flows.handle_caller_packet(again, builders.ENTRY, 3.0)
    told, _ = flows.handle_server_packet(builders.opening_answer(sequence=555_000), 3.0)
    assert told.message.sequence == 555_000


def test_long_flow_is_registered_until_it_closes(flows):
    for number in (1, 2):
        flows.update_member(builders.entry_record(number))
    open_flow(flows, 1.0)
    registration = messages.RegisterFlows((builders.FLOW,))
    told = flows.tick(1.1 + registrations.MIN_AGE_SECONDS)
    assert [action.message for action in told] == [registration] * 2
    packet = builders.packet(packets.Flags.FIN | packets.Flags.ACK)
    flows.handle_caller_packet(packet, builders.ENTRY, 2.0)
    flows.update_member(builders.entry_record(1, start=2))
    assert flows.tick(2.1) == []


def test_restarted_agent_registers_flows_that_its_server_holds(restarted):
    restarted.update_member(builders.entry_record(1))
    restarted.handle_lookup(builders.packet(), builders.ENTRY, 1.0)
    restarted.handle_server_packet(builders.packet(length=5), 1.0)
    (told,) = restarted.tick(1.1 + registrations.MIN_AGE_SECONDS)
    assert told.message == messages.RegisterFlows((builders.FLOW,))


# Priorities.


def open_until_full(flows, level, first_port=1):
    """Open flows of one of two priorities until one is declined; return how many."""
    count = 0
    while True:
        flow = builders.FLOW._replace(
            caller_port=first_port + count, service_port=8443 + level
        )
        opening = builders.opening_packet(flow=flow)
        (decided,) = flows.handle_caller_packet(opening, builders.ENTRY, 1.0)
        if isinstance(decided, actions.SendMessage):
            assert decided.message.refusal is messages.Refusal.FULL
            return count
        count += 1


def test_lower_priority_leaves_room_for_the_highest(flows):
    flows.update_routes(builders.priority_table(1, 2), 0.5)
    assert open_until_full(flows, 1) == 6
    assert open_until_full(flows, 0, 100) == 1


def test_routes_of_one_priority_have_the_same_limit_as_before(flows):
    flows.update_routes(builders.priority_table(2, 2), 0.5)
    assert open_until_full(flows, 1) == 6
    assert open_until_full(flows, 0, 100) == 0


def test_a_lower_priority_that_is_due_gets_the_reserve(flows):
    flows.update_routes(builders.priority_table(1, 2), 0.5)
    assert open_until_full(flows, 0) == 7
    assert open_until_full(flows, 1, 100) == 0
    for port in range(1, 3):
        flow = builders.FLOW._replace(caller_port=port)
        closing = builders.packet(packets.Flags.RST, flow=flow)
        flows.handle_caller_packet(closing, builders.ENTRY, 1.1)
    assert open_until_full(flows, 0, 200) == 2
    closing = builders.packet(
        packets.Flags.RST, flow=builders.FLOW._replace(caller_port=3)
    )
    flows.handle_caller_packet(closing, builders.ENTRY, 1.2)
    assert open_until_full(flows, 1, 300) == 1
