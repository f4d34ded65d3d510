"""Tests that processes make second offers in time, and follow their settings."""

from __future__ import annotations

import asyncio

import pytest

from cactushall_core import addresses
from cactushall_core.flows import actions, hedging, messages, routes
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import agent_process, entry_process
from tests.core.flows import builders
from tests.daemon import fleets

HOST = fleets.HOSTS[0]
WAIT_SECONDS = 1.0
PEER = addresses.Address(HOST, 7735)


class Recorder:
    """Stands in for the executor; actions are kept."""

    def __init__(self):
        self.actions = []

    def execute(self, decisions):
        """Keep actions."""
        self.actions += decisions


def load_settings(folder, cls, **values):
    return fleets.load_settings(
        folder,
        cls,
        {
            "transport": "packets",
            "node": "node-1",
            "zone": "attica-a",
            "address": HOST,
            "gossip_port": 7720,
            "peer_port": 7735,
            "packet_address": f"{HOST}:8172",
            "readiness_address": f"{HOST}:8173",
            "store": f"{HOST}:8174",
            "keys": [fleets.KEY],
            **values,
        },
    )


def entry_settings(folder, percent):
    return load_settings(
        folder,
        packet_schema.PacketEntrySettings,
        grace_seconds=0,
        hedging_percent=percent,
    )


@pytest.mark.parametrize("percent", [0, 2])
async def test_limit_applies_from_the_start_and_after_a_reload(tmp_path, percent):
    process = entry_process.EntryProcess(entry_settings(tmp_path, percent))
    assert process._flows._hedges.is_on == bool(percent)
    process.reload(entry_settings(tmp_path, 2 - percent))
    assert process._flows._hedges.is_on != bool(percent)


async def test_entry_wakes_up_when_a_second_offer_is_due(tmp_path):
    process = entry_process.EntryProcess(entry_settings(tmp_path, 20))
    process._executor = Recorder()
    flows, now = process._flows, asyncio.get_running_loop().time()
    repeated = routes.Repeatability.IDEMPOTENT
    flows.update_routes(builders.route_table(repeatability=repeated), now)
    for number in (1, 2):
        flows.update_member(builders.agent_record(number), now)
    for _ in range(hedging.MIN_SAMPLES):
        flows._hedges.record_opened(builders.SERVICE, 0.001)
        flows._hedges.record_opening(builders.SERVICE)
    process._execute(flows.handle_packet(builders.opening_packet(), now))
    assert len(process._executor.actions) == 1
    await fleets.wait_until(lambda: len(process._executor.actions) > 1)
    _, _, record = process._executor.actions
    assert record.outcome is actions.HedgeOutcome.OFFERED
    assert asyncio.get_running_loop().time() - now < WAIT_SECONDS


async def test_agent_process_passes_a_release_on(tmp_path):
    settings = load_settings(
        tmp_path,
        packet_schema.PacketAgentSettings,
        service="board",
        server=str(builders.SERVER),
        from_server=f"{HOST}:8176",
        announcements=f"{HOST}:8177",
        heartbeat_milliseconds=400,
    )
    process = agent_process.AgentProcess(settings)
    flows, now = process._flows, asyncio.get_running_loop().time()
    flows.update_routes(builders.route_table(), now)
    flows.handle_announcement(builders.announcement(), now)
    flows.handle_caller_packet(builders.opening_packet(), PEER, now)
    assert flows.load.requests == 1
    process._on_message(PEER, messages.ReleaseFlow(builders.FLOW, 1000))
    assert flows.load.requests == 0
