"""Tests of what proves that an agent has seen all flows of its backend server."""

from __future__ import annotations

import pytest
from msgspec import structs

from cactushall_core.flows import actions, agent, messages
from tests.core.flows import builders

STARTED_AT = 100.0
IDLE_TIMEOUT = builders.route_table().idle_timeout_seconds
# A packet from the end of that time may be under way for so long.
KNOWN_AT = STARTED_AT + IDLE_TIMEOUT + agent.CLOSED_RETENTION_SECONDS
NEVER_TRACKED = actions.DenialBasis.NEVER_TRACKED


@pytest.fixture
def flows():
    """An agent that has just started and knows nothing of its backend server."""
    made = agent.AgentFlows(builders.make_server(), STARTED_AT)
    made.update_routes(builders.route_table(), STARTED_AT)
    return made


def basis_of_denial(flows):
    """Return why the agent denies a flow that it does not know, None if it does not."""
    _, record = flows.handle_query((builders.FLOW,), builders.ENTRY)
    return record.denials.get(builders.FLOW)


def announce(flows, now, age_seconds):
    said = builders.announcement(age_seconds=age_seconds)
    flows.handle_announcement(said, now)


def test_a_server_that_has_started_after_the_agent_is_known_at_once(flows):
    """Guards against a started fleet that cannot tell dead flows soon."""
    flows.handle_server_refused(STARTED_AT)
    announce(flows, STARTED_AT + 0.5, 0.4)
    assert basis_of_denial(flows) is None
    assert flows.awaits_acceptance
    flows.handle_server_accepted()
    assert basis_of_denial(flows) is NEVER_TRACKED
    assert not flows.awaits_acceptance


def test_a_server_that_listened_when_the_agent_started_is_not_known(flows):
    flows.handle_server_accepted()
    announce(flows, STARTED_AT + 0.5, 0.4)
    assert not flows.awaits_acceptance
    flows.handle_server_accepted()
    assert basis_of_denial(flows) is None


@pytest.mark.parametrize("age_seconds", [0.8, 60.0, -2.0])
def test_a_server_that_says_another_time_of_its_start_is_not_known(flows, age_seconds):
    """Guards against a server that begins to listen long after it has started."""
    flows.handle_server_refused(STARTED_AT)
    announce(flows, STARTED_AT + 0.5, age_seconds)
    flows.handle_server_accepted()
    assert basis_of_denial(flows) is None


def test_a_server_that_does_not_listen_is_not_known(flows):
    """Guards against a refused connection that is taken for the proof itself."""
    flows.handle_server_refused(STARTED_AT)
    announce(flows, STARTED_AT + 0.5, 0.4)
    flows.handle_server_refused(STARTED_AT + 0.6)
    assert basis_of_denial(flows) is None
    announce(flows, STARTED_AT + 1.7, 1.6)
    assert not flows.awaits_acceptance


def test_a_connection_from_before_the_heartbeat_proves_nothing(flows):
    flows.handle_server_refused(STARTED_AT)
    flows.handle_server_accepted()
    announce(flows, STARTED_AT + 0.5, 0.4)
    assert basis_of_denial(flows) is None


def test_flows_of_a_predecessor_are_too_old_after_the_idle_timeout(flows):
    """Guards against an agent that never knows its server's flows after a restart."""
    announce(flows, STARTED_AT + 0.5, 60.0)
    flows.tick(KNOWN_AT - 0.1)
    assert basis_of_denial(flows) is None
    flows.tick(KNOWN_AT + 1.0)
    assert basis_of_denial(flows) is NEVER_TRACKED


def test_a_longer_idle_timeout_takes_that_back(flows):
    """Guards against the reset of a flow that may be idle for longer from now on."""
    flows.tick(KNOWN_AT + 1.0)
    longer = structs.replace(
        builders.route_table(), idle_timeout_seconds=2 * IDLE_TIMEOUT
    )
    flows.update_routes(longer, KNOWN_AT + 1.5)
    flows.tick(KNOWN_AT + 2.1)
    assert basis_of_denial(flows) is None


def test_the_idle_timeout_counts_once_it_is_known():
    made = agent.AgentFlows(builders.make_server(), STARTED_AT)
    made.tick(KNOWN_AT + 1.0)
    assert basis_of_denial(made) is None


def test_a_flow_that_was_seen_since_is_not_denied(flows):
    """Guards against the denial of a flow that the agent has probed and forgotten."""
    probed_at = KNOWN_AT - 2.0
    flows.handle_caller_packet(builders.packet(), builders.ENTRY, probed_at)
    flows.tick(KNOWN_AT + 1.0)
    assert flows.flow_count == 0
    assert basis_of_denial(flows) is None


def test_another_address_of_the_server_begins_anew(flows):
    builders.see_start(flows, STARTED_AT)
    flows.configure_server(builders.SERVICE, builders.ENTRY, STARTED_AT + 1.0)
    flows.tick(KNOWN_AT + 0.5)
    assert basis_of_denial(flows) is None


def test_an_agent_that_knows_all_flows_tells_them_when_it_leaves(flows):
    flows.update_member(builders.entry_record(1))
    assert flows.leave() == []
    flows.tick(KNOWN_AT + 1.0)
    assert any(isinstance(a.message, messages.HeldFlows) for a in flows.leave())
