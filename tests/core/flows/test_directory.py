"""Tests of an entry's directory of agents."""

from __future__ import annotations

from cactushall_core.flows import directory
from cactushall_core.membership import records
from tests.core.flows import builders


def test_present_and_gone_agents_are_counted():
    agents = directory.AgentDirectory()
    statuses = list(records.Status)
    for number, status in enumerate(statuses, 1):
        agents.update(builders.agent_record(number, status), 1.0)
    assert agents.counts == directory.AgentCounts(present=2, gone=2)
    agents.remove_gone(2.0)
    assert agents.counts == directory.AgentCounts(present=2, gone=0)


def test_accepting_agents_follow_each_change_of_a_member():
    # Guards against a list of accepting agents that is kept after a member has changed.
    agents = directory.AgentDirectory()
    changes = [
        (builders.agent_record(1), 1),
        (builders.agent_record(2), 2),
        (builders.agent_record(1, is_draining=True, incarnation=2), 1),
        (builders.agent_record(1, incarnation=3), 2),
        (builders.agent_record(2, records.Status.SUSPECT), 1),
        (builders.agent_record(1, has_server=False, incarnation=4), 0),
        (builders.agent_record(1, start=2), 1),
        (builders.agent_record(1, records.Status.LEFT, start=2), 0),
    ]
    for record, expected_count in changes:
        agents.update(record, 1.0)
        assert len(agents.accepting(builders.SERVICE)) == expected_count
    agents.update(builders.agent_record(3, records.Status.DEAD), 1.0)
    agents.remove_gone(2.0)
    assert agents.accepting(builders.SERVICE) == []


def test_the_addresses_of_an_agent_are_those_of_its_member():
    agents = directory.AgentDirectory()
    record = builders.agent_record(1)
    agents.update(record, 1.0)
    agent = agents.by_packet_address(record.member.tunnel_address)
    assert agent is agents.by_peer_address(record.member.control_address)
    assert agent.packet_address == record.member.tunnel_address
    assert agent.peer_address == record.member.control_address


def test_overdue_acknowledgements_do_not_count():
    agents = directory.AgentDirectory()
    record = builders.agent_record(1)
    agents.update(record, 0.0)
    agent = agents.by_packet_address(record.member.tunnel_address)
    agent.unacknowledged[builders.FLOW] = 1.0
    agent.unacknowledged[builders.FLOW._replace(caller_port=9)] = 1.1
    assert agent.expected_change(1.1) == 2
    assert agent.expected_change(1.01 + directory.UNACKNOWLEDGED_SECONDS) == 1
    assert agent.expected_change(1.11 + directory.UNACKNOWLEDGED_SECONDS) == 0
