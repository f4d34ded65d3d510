"""Tests of what operators see of an agent beside a cold backend server."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
import typing

import pytest
from structlog import testing

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


OPENING = packet_peers.encode_packet(
    ("127.40.1.1", 20_000), packet_site.BOARD, packet_peers.SYN
)


class Store(typing.NamedTuple):
    """A store, and where it listens."""

    content: platform_store.PlatformStore
    address: str


@pytest.fixture
async def store():
    """Run a store without a configuration."""
    content = platform_store.PlatformStore()
    host, port = await content.start()
    yield Store(content, f"{host}:{port}")
    await content.stop()


def configure(store, services=SERVICES):
    document = packet_site.make_configuration() | {"services": services}
    store.content.put(configuration.KEY.decode(), json.dumps(document).encode())


def make_settings(folder, store_address):
    """Return settings of an agent of the service "board"."""
    names = ("packet_address", "readiness_address", "metrics")
    names += ("server", "from_server", "announcements")
    bound = {name: f"{HOST}:{fleets.free_port()}" for name in names}
    values = {
        "transport": "packets",
        "node": "side-1",
        "zone": "attica-a",
        "address": HOST,
        "gossip_port": fleets.free_port(),
        "peer_port": fleets.free_port(),
        "store": store_address,
        "keys": [fleets.KEY],
        "service": "board",
        "heartbeat_milliseconds": 1000,
    }
    cls = packet_schema.PacketAgentSettings
    return fleets.load_settings(folder, cls, values | bound)


@pytest.fixture
async def agent(tmp_path, log_lines, store):
    """Run an agent of the service "board"; return its settings."""
    configure(store)
    settings = make_settings(tmp_path, store.address)
    process = agent_process.AgentProcess(settings)
    await process.start()
    yield settings
    await process.stop()


async def announce(agent, service="board", **changes):
    heartbeat = packet_peers.make_heartbeat(
        service, str(agent.server), cold_left_ms=60_000, **changes
    )
    body = json.dumps(heartbeat).encode()
    address = agent.announcements
    target = "/api/instances/i-1"
    response = await http_calls.call(address, "PUT", target, body, CALL_SECONDS)
    assert response.status == 200


@contextlib.contextmanager
def bind(host, port):
    """Return a UDP socket that is bound to an address."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
        made.bind((host, port))
        made.setblocking(False)
        yield made


async def metrics_of(agent):
    response = await http_calls.get(agent.metrics, "/metrics", CALL_SECONDS)
    return response.body.decode().splitlines()


async def test_the_limit_of_a_cold_server_shows_in_metrics_and_log(agent, log_lines):
    await announce(agent)

    async def is_cold():
        return "cactushall_server_cold 1.0" in await metrics_of(agent)

    await fleets.wait_for(is_cold)
    with bind(ENTRY_HOST, 0) as entry:
        entry.sendto(OPENING, agent.packet_address)

        async def has_declined():
            expected = "cactushall_flows_declined_cold_total 1.0"
            return expected in await metrics_of(agent)

        await fleets.wait_for(has_declined)
    logged = [line["event"] for line in log_lines]
    assert events.Event.SERVER_COLD_CHANGED in logged
    refused = events.Event.CONFIGURATION_FIELD_REFUSED
    (why,) = [line["why"] for line in log_lines if line["event"] is refused]
    assert "services[0].cold_start_s" in why


class ChangingSettings:
    """Settings in a file that have changed without a signal, once `changed` is set."""

    def __init__(self, folder, store):
        """Create an agent of the service "board" that may look at the file."""
        self.changed = None
        self.loaded = make_settings(folder, store.address)
        self.process = agent_process.AgentProcess(self.loaded, self._refresh)

    def change(self, folder):
        """Give the server's address to the service "plans"."""
        path = folder / "side-1.json"
        values = json.loads(path.read_text()) | {"service": "plans"}
        cls = packet_schema.PacketAgentSettings
        self.changed = fleets.load_settings(folder, cls, values)

    def _refresh(self):
        changed, self.changed = self.changed, None
        if changed is not None:
            self.process.reload(changed)


async def test_a_waiting_opening_packet_is_decided_by_the_present_settings(
    tmp_path, store
):
    """Guards against a request that runs at another service once routes arrive."""
    settings = ChangingSettings(tmp_path, store)
    await settings.process.start()
    with (
        bind(*settings.loaded.server) as server,
        bind(ENTRY_HOST, 0) as entry,
    ):
        await announce(settings.loaded)
        entry.sendto(OPENING, settings.loaded.packet_address)
        await asyncio.sleep(0.1)
        settings.change(tmp_path)
        configure(store, [{"name": "board"}, {"name": "plans"}])

        async def has_routes():
            return "cactushall_configuration_revision 1.0" in await metrics_of(
                settings.loaded
            )

        await fleets.wait_for(has_routes)
        await asyncio.sleep(0.1)
        with pytest.raises(BlockingIOError):
            server.recv(2048)
    await settings.process.stop()


async def test_the_first_heartbeat_of_another_service_counts_after_a_change(
    tmp_path, store
):
    """Guards against a refused heartbeat of a server that the settings name already."""
    configure(store)
    settings = ChangingSettings(tmp_path, store)
    await settings.process.start()
    settings.change(tmp_path)
    await announce(settings.loaded, "plans")
    await settings.process.stop()


async def listen(settings):
    """Let a server listen at the agent's address for it."""
    host, port = settings.server
    return await asyncio.start_server(lambda _, writer: writer.close(), host, port)


def knows_all_flows(log_lines):
    logged = [line["event"] for line in log_lines]
    return events.Event.FLOWS_KNOWN in logged


def milliseconds_of_day():
    return int(time.time() * 1000)


async def test_an_agent_knows_all_flows_of_a_server_that_starts_after_it(
    agent, log_lines
):
    """Guards against a started fleet in which no agent can tell dead flows."""
    async with await listen(agent):
        await announce(agent, born=milliseconds_of_day())
        await fleets.wait_until(lambda: knows_all_flows(log_lines))


@pytest.mark.parametrize("number", [0, 1])
async def test_an_agent_does_not_know_the_flows_of_a_server_that_ran_before_it(
    tmp_path, store, log_lines, number
):
    """Guards against the reset of flows that a predecessor of the agent delivered."""
    settings = make_settings(tmp_path, store.address)
    async with await listen(settings):
        process = agent_process.AgentProcess(settings)
        await process.start()
        await announce(settings, seq_no=number, born=milliseconds_of_day())
        await asyncio.sleep(5 * agent_process.TICK_SECONDS)
        assert not knows_all_flows(log_lines)
        await process.stop()
