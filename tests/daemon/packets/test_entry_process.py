"""Tests of the gauges of an entry."""

from __future__ import annotations

import random

from cactushall_core.flows import entry
from cactushall_core.membership import records
from cactushall_daemon.packets import entry_process
from tests.core.flows import builders


def test_gauges_tell_known_agents_and_lookups():
    flows = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    flows.update_routes(builders.route_table(), 0.0)
    for number in (1, 2):
        flows.update_member(builders.agent_record(number), 0.0)
    flows.update_member(builders.agent_record(3, records.Status.DEAD), 0.0)
    flows.handle_packet(builders.packet(), 10.0)
    assert entry_process.read_gauges(flows, 12.5) == {
        "flows": 1,
        "agents_present": 2,
        "agents_gone": 1,
        "queued_flows_highest_priority": 0,
        "queued_flows_lower_priority": 0,
        "queued_flows_awaiting_view": 0,
        "lookups": 1,
        "oldest_lookup_seconds": 2.5,
    }
