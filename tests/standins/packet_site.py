"""A site on the platform: store, entries, agents, servers and a caller on loopback.

Entries and agents are real processes; the rest runs in the process of the test.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import urllib.error
import urllib.request

import yaml

from tests.standins import packet_peers, platform_store

PACKET_PORT = 18172
GOSSIP_PORT = 17720
PEER_PORT = 17735
READINESS_PORT = 18167
SERVER_PORT = 18165
FROM_SERVER_PORT = 18162
CONTROL_PORT = 18166
START_TIMEOUT_SECONDS = 10.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.05
KEY = "ab" * 32
BOARD = ("198.18.0.1", 8443)
PLANS = ("198.18.0.2", 8443)
SERVICE_NAMES = {BOARD: "board", PLANS: "plans"}


def make_configuration(version=1, addresses=(BOARD, PLANS)):
    """Return a configuration document with routes to some services.

    Args:
        version: Version of the configuration; each write needs a higher one.
        addresses: Service addresses that get a route.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": SERVICE_NAMES[address],
                "host": address[0],
                "prefix": f"/{address[1]}/",
                "type": "idempotent",
                "service": SERVICE_NAMES[address],
            }
            for address in addresses
        ],
        "services": [
            {"name": name, "health_path": "/health"} for name in SERVICE_NAMES.values()
        ],
        "limits": {"idle_timeout_ms": 15000},
    }


def write_configuration(store, value):
    """Write a configuration to the platform's store, as operators do."""
    store.put("op/config", json.dumps(value).encode())


class PacketSite:
    """Entries and agents as child processes, the rest in this process.

    Attributes:
        store: The key-value store.
        entries: Hosts of the entries.
        servers: The backend servers.
        caller: The caller of all flows.
    """

    def __init__(
        self, folder, entries=2, servers=("board", "board", "plans"), zones="aaa"
    ):
        """Prepare a site; nothing is started yet.

        Args:
            folder: Where settings and logs are written.
            entries: Number of entries.
            servers: Service of each backend server.
            zones: Availability zone of each backend server; entries are in zone a.
        """
        self.store = platform_store.PlatformStore()
        self.entries = [f"127.0.3.{number + 1}" for number in range(entries)]
        self.servers = []
        self.caller = packet_peers.PacketCaller(
            ("127.0.5.1", PACKET_PORT), self._select_entry
        )
        self._folder = folder
        self._services = servers
        self._zones = zones
        self._processes = {}
        self._settings = {}

    async def start(self):
        """Start everything and wait until each backend server gets flows."""
        self._store_address = await self.store.start("127.0.0.9")
        self.configure(make_configuration())
        for host in self.entries:
            self.start_entry(host)
        for number, service in enumerate(self._services):
            host = f"127.0.4.{number + 1}"
            self.start_agent(host, service, self._zones[number])
            server = _make_server(f"server-{number}", host, service)
            self.servers.append(server)
            await server.start()
        await self.caller.start()
        for host in self.entries:
            await self.wait_until_ready(host)
        for server in self.servers:
            await self._wait_until_served(server)

    async def close(self):
        """Kill the processes and stop the servers, the caller and the store."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        for server in self.servers:
            await server.stop()
        self.caller.stop()
        await self.store.stop()

    def configure(self, value):
        """Write a configuration to the store, as operators do."""
        write_configuration(self.store, value)

    def start_entry(self, host):
        """Start the entry of a host."""
        self._start("entry", host, {"grace_seconds": 6})

    def start_agent(self, host, service, zone="a"):
        """Start the agent of a host."""
        self._start(
            "agent",
            host,
            {
                "zone": zone,
                "service": service,
                "server": f"{host}:{SERVER_PORT}",
                "from_server": f"{host}:{FROM_SERVER_PORT}",
                "announcements": f"{host}:{CONTROL_PORT}",
                "heartbeat_milliseconds": packet_peers.HEARTBEAT_MILLISECONDS,
            },
        )

    def agent_host(self, server):
        """Return the host of a backend server and its agent."""
        return f"127.0.4.{self.servers.index(server) + 1}"

    def restart(self, host, **changed):
        """Start the process of a host again after its exit.

        Args:
            host: The host.
            **changed: Settings that differ from those of the last start.
        """
        role, role_settings = self._settings[host]
        self._start(role, host, role_settings | changed)

    async def replace(self, server, service):
        """Crash a server and give its address to one of another service.

        The settings of its agent change without a signal, before the successor starts.

        Returns:
            The successor.
        """
        host = self.agent_host(server)
        await server.stop()
        path = self._settings_path(host)
        settings = yaml.safe_load(path.read_text()) | {"service": service}
        changed = path.with_suffix(".new")
        changed.write_text(yaml.safe_dump(settings))
        changed.replace(path)
        successor = _make_server(f"{server.name}-successor", host, service)
        self.servers[self.servers.index(server)] = successor
        await successor.start()
        return successor

    def signal(self, host, signal_number):
        """Send a signal to the process of a host."""
        self._processes[host].send_signal(signal_number)

    async def kill(self, host):
        """Kill the process of a host and wait for its exit."""
        self.signal(host, signal.SIGKILL)
        await self.wait_for_exit(host)

    async def wait_for_exit(self, host):
        """Wait until the process of a host has exited and return its exit code."""
        return await asyncio.to_thread(self._processes[host].wait, STOP_TIMEOUT_SECONDS)

    def is_running(self, host):
        """Return whether the latest process of a host runs."""
        return self._processes[host].poll() is None

    async def wait_until_ready(self, host):
        """Wait until an entry reports that it is ready."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not await self.is_ready(host):
                await asyncio.sleep(POLL_SECONDS)

    async def is_ready(self, host):
        """Return whether an entry reports that it is ready."""
        url = f"http://{host}:{READINESS_PORT}/api/ready"
        return await asyncio.to_thread(_answers_ok, url)

    async def open_flow(self, service=BOARD, seconds=START_TIMEOUT_SECONDS):
        """Open a flow, retrying until it is accepted.

        Raises:
            TimeoutError: No attempt succeeded in time.
        """
        async with asyncio.timeout(seconds):
            while True:
                try:
                    return await self.caller.open_flow(service)
                except (TimeoutError, packet_peers.FlowResetError):
                    await asyncio.sleep(POLL_SECONDS)

    def log_lines(self, host):
        """Return the parsed log lines of all processes of a host so far."""
        text = (self._folder / f"{host}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    async def _wait_until_served(self, server):
        """Open flows until a backend server has accepted one."""
        address = next(a for a, name in SERVICE_NAMES.items() if name == server.service)
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not server.accepted_flows:
                await (await self.open_flow(address)).close()
                await asyncio.sleep(POLL_SECONDS)

    def _select_entry(self, source, _service):
        """Return the entry for a caller's port, as equal-cost routing does.

        Only running entries are considered, as if the routers had noticed at once.
        """
        running = [host for host in self.entries if self.is_running(host)]
        return running[source[1] % len(running)], PACKET_PORT

    def _settings_path(self, host):
        return self._folder / f"{host}.yaml"

    def _start(self, role, host, role_settings):
        self._settings[host] = (role, role_settings)
        settings = {
            "transport": "packets",
            "node": f"{role}-{host}",
            "zone": "a",
            "address": host,
            "gossip_port": GOSSIP_PORT,
            "peer_port": PEER_PORT,
            "packet_address": f"{host}:{PACKET_PORT}",
            "readiness_address": f"{host}:{READINESS_PORT}",
            "store": f"{self._store_address[0]}:{self._store_address[1]}",
            "seeds": [f"{entry}:{CONTROL_PORT}" for entry in self.entries[:3]],
            "keys": [KEY],
        }
        path = self._settings_path(host)
        path.write_text(yaml.safe_dump(settings | role_settings))
        with (self._folder / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                [sys.executable, "-m", "cactushall_daemon", role, "-c", str(path)],
                stdout=log,
                stderr=log,
                cwd=pathlib.Path(__file__).parents[2],
                env=dict(os.environ, PYTHONUNBUFFERED="1"),
            )


def _make_server(name, host, service):
    return packet_peers.PacketServer(
        name,
        (host, SERVER_PORT),
        (host, FROM_SERVER_PORT),
        (host, CONTROL_PORT),
        service,
    )


def _answers_ok(url):
    try:
        with urllib.request.urlopen(url, timeout=1) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False
