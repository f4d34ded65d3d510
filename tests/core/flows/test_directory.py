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
