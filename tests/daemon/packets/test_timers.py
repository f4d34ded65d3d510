"""Tests of periodic work that an unexpected error must not end."""

from __future__ import annotations

import pytest

from cactushall_core import addresses
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import agent_process, entry_process
from tests.daemon import fleets

HOST = fleets.HOSTS[0]
CONTACT = addresses.Address(fleets.HOSTS[1], 2)
TICK_SECONDS = 0.01
COMMON = {
    "transport": "packets",
    "node": "node",
    "zone": "attica-a",
    "address": HOST,
    "gossip_port": 1,
    "peer_port": 2,
    "packet_address": f"{HOST}:3",
    "readiness_address": f"{HOST}:4",
    "store": f"{HOST}:5",
    "keys": [fleets.KEY],
}
ENTRY = COMMON | {"grace_seconds": 0}
AGENT = COMMON | {
    "service": "board",
    "server": f"{HOST}:6",
    "from_server": f"{HOST}:7",
    "announcements": f"{HOST}:8",
    "heartbeat_milliseconds": 400,
}


def make_entry(folder):
    cls = packet_schema.PacketEntrySettings
    return entry_process.EntryProcess(fleets.load_settings(folder, cls, ENTRY))


def make_agent(folder):
    cls = packet_schema.PacketAgentSettings
    return agent_process.AgentProcess(fleets.load_settings(folder, cls, AGENT))


class FailsFirst:
    """Work that fails the first time."""

    def __init__(self):
        self.calls = 0

    def __call__(self, _now):
        self.calls += 1
        if self.calls == 1:
            raise OverflowError("unexpected")
        return []


@pytest.mark.parametrize("make", [make_entry, make_agent])
async def test_flows_are_tended_after_an_unexpected_error(make, tmp_path, monkeypatch):
    """Guards against a process that reports no load and ends no lookup any more."""
    for module in (agent_process, entry_process):
        monkeypatch.setattr(module, "TICK_SECONDS", TICK_SECONDS)
    process = make(tmp_path)
    work = FailsFirst()
    monkeypatch.setattr(process._flows, "tick", work)
    with pytest.raises(OverflowError):
        process._tick()
    await fleets.wait_until(lambda: work.calls > 2)


async def test_gossip_goes_on_after_an_unexpected_error(tmp_path, monkeypatch):
    """Guards against a member that probes nobody any more, and is believed dead."""
    gossip = make_entry(tmp_path)._node.gossip
    work = FailsFirst()
    monkeypatch.setattr(gossip.membership, "tick", work)
    with pytest.raises(OverflowError):
        gossip._tick()
    await fleets.wait_until(lambda: work.calls > 2)
    gossip._timer.cancel()


async def test_a_member_can_be_asked_again_after_an_unexpected_error(
    tmp_path, monkeypatch
):
    """Guards against a contact point that is never asked for its table again."""
    node = make_entry(tmp_path)._node
    questions = []

    async def fail(address, _data):
        questions.append(address)
        raise KeyError("unexpected")

    monkeypatch.setattr(node.gossip, "_exchange", fail)
    node.gossip.set_contacts([CONTACT])
    node.gossip._tick()
    await fleets.wait_until(lambda: len(questions) > 1)
    assert set(questions) == {CONTACT}
    node.gossip._timer.cancel()
