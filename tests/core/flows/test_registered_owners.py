"""Tests of the owners that agents have registered with an entry."""

from __future__ import annotations

from cactushall_core.flows import registered_owners
from tests.core.flows import builders

OWNER = builders.agent_record(1).member.control_address
OTHER_OWNER = builders.agent_record(2).member.control_address
NOW = 10.0


def test_latest_registration_counts():
    owners = registered_owners.RegisteredOwners()
    owners.put([builders.FLOW], OWNER, NOW)
    owners.put([builders.FLOW], OTHER_OWNER, NOW)
    assert owners.find(builders.FLOW) == OTHER_OWNER
    assert owners.find(builders.OTHER_FLOW) is None
    owners.remove(builders.FLOW)
    assert owners.find(builders.FLOW) is None


def test_registration_that_is_not_repeated_expires():
    owners = registered_owners.RegisteredOwners()
    owners.put([builders.FLOW, builders.OTHER_FLOW], OWNER, NOW)
    later = NOW + registered_owners.RETENTION_SECONDS
    owners.put([builders.FLOW], OWNER, later)
    owners.expire(later + 0.1)
    assert owners.find(builders.FLOW) == OWNER
    assert owners.find(builders.OTHER_FLOW) is None


def test_memory_is_bounded_and_the_oldest_go_first(monkeypatch):
    monkeypatch.setattr(registered_owners, "MAX_FLOWS", 10)
    owners = registered_owners.RegisteredOwners()
    flows = [builders.FLOW._replace(caller_port=port) for port in range(30)]
    owners.put(flows, OWNER, NOW)
    assert len(owners) == 10
    assert owners.find(flows[19]) is None
    assert owners.find(flows[20]) == OWNER
