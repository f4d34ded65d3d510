"""Tests of what operators see of an agent beside a cold backend server."""

from __future__ import annotations

import json
import socket

import pytest
from structlog import testing

from cactushall_core import addresses
from cactushall_daemon import events
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import agent_process
from cactushall_platform import configuration
from cactushall_rpc import http as http_calls
from tests.daemon import fleets
from tests.standins import packet_peers, packet_site, platform_store

HOST = fleets.HOSTS[0]
ENTRY_HOST = fleets.HOSTS[1]
CALL_SECONDS = 1.0
SERVICES = [
    {"name": "board", "cold_start_s": -3, "cold_per_s": 0.5},
    {"name": "plans"},
]


@pytest.fixture
async def log_lines():
    """Return the log lines of the test, those of the start of the agent included."""
    with testing.capture_logs() as lines:
        yield lines


@pytest.fixture
async def agent(tmp_path, log_lines):
    """Run an agent of the service "board"; return its addresses by setting."""
    store = platform_store.PlatformStore()
    document = packet_site.make_configuration() | {"services": SERVICES}
    store.put(configuration.KEY.decode(), json.dumps(document).encode())
    store_address = addresses.Address(*await store.start())
    names = ("packet_address", "readiness_address", "metrics")
    names += ("server", "from_server", "announcements")
    bound = {name: addresses.Address(HOST, fleets.free_port()) for name in names}
    values = {
        "transport": "packets",
        "node": "side-1",
        "zone": "attica-a",
        "address": HOST,
        "gossip_port": fleets.free_port(),
        "peer_port": fleets.free_port(),
        "store": str(store_address),
        "keys": [fleets.KEY],
        "service": "board",
        "heartbeat_milliseconds": 1000,
    }
    values |= {name: str(address) for name, address in bound.items()}
    cls = packet_schema.PacketAgentSettings
    process = agent_process.AgentProcess(fleets.load_settings(tmp_path, cls, values))
    await process.start()
    yield bound
    await process.stop()
    await store.stop()


async def announce(agent):
    heartbeat = packet_peers.make_heartbeat(
        "board", str(agent["server"]), cold_left_ms=60_000
    )
    body = json.dumps(heartbeat).encode()
    address = agent["announcements"]
    target = "/api/instances/i-1"
    response = await http_calls.call(address, "PUT", target, body, CALL_SECONDS)
    assert response.status == 200


async def metrics_of(agent):
    response = await http_calls.get(agent["metrics"], "/metrics", CALL_SECONDS)
    return response.body.decode().splitlines()


async def test_the_limit_of_a_cold_server_shows_in_metrics_and_log(agent, log_lines):
    await announce(agent)

    async def is_cold():
        return "cactushall_server_cold 1.0" in await metrics_of(agent)

    await fleets.wait_for(is_cold)
    datagram = packet_peers.encode_packet(
        ("127.40.1.1", 20_000), packet_site.BOARD, packet_peers.SYN
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as entry:
        entry.bind((ENTRY_HOST, 0))
        entry.sendto(datagram, agent["packet_address"])

        async def has_declined():
            expected = "cactushall_flows_declined_cold_total 1.0"
            return expected in await metrics_of(agent)

        await fleets.wait_for(has_declined)
    logged = [line["event"] for line in log_lines]
    assert events.Event.SERVER_COLD_CHANGED in logged
    refused = events.Event.CONFIGURATION_FIELD_REFUSED
    (why,) = [line["why"] for line in log_lines if line["event"] is refused]
    assert "services[0].cold_start_s" in why
