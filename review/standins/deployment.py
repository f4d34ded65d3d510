"""A small deployment: the project's own processes, and the stand-ins around them."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
import typing

from standins import clients, endpoints, packets, records, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/cactushall/boot.toml"
GRACE_SECONDS = 6
START_SECONDS = 25.0
PORTS_PER_MACHINE = 24
FIRST_PORT = 21_000
LAST_PORT = 31_000
HEALTH_PATH = "/health"
ZONES = ("attica-a", "attica-b", "attica-c")
FIRST_CLIENT_NUMBER = 200
STORE_HOST_NUMBER = 220

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": GRACE_SECONDS,
    "lost_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "recovery_s": 12,
    "reorder_ms": 2000,
    "max_flow_s": 60,
}


class CannotRunError(Exception):
    """The case cannot run here."""


class Ports(typing.NamedTuple):
    """Ports of a deployment, the same on all machines.

    Attributes:
        first: First port between nodes.
        last: Last port between nodes.
        datagrams: Where nodes and clients receive packets.
        outbound: Where a node receives packets of its endpoint.
        readiness: Where a node answers whether it is ready.
        control: Where a node receives heartbeats.
        app: Where an endpoint receives packets and health checks.
        store: Where the store listens.
    """

    first: int
    last: int
    datagrams: int
    outbound: int
    readiness: int
    control: int
    app: int
    store: int


def zone_of(number: int) -> str:
    """Return the zone of a machine: machines 1, 2 and 3 are in different ones."""
    return ZONES[(number - 1) % len(ZONES)]


def render(template: str, fields: dict[str, typing.Any]) -> str:
    """Fill in a template of settings, as the platform does."""

    def find(name: str, scope: dict[str, typing.Any]) -> typing.Any:
        found: typing.Any = scope
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        name, text = match.group(1), match.group(2)
        value = find(name, fields)
        if value is None or value is False:
            return ""
        entries = value if isinstance(value, list) else [value]
        parts = []
        for index, entry in enumerate(entries):
            comma = "," if index < len(entries) - 1 else ""
            part = text.replace("{{.|json}}", json.dumps(entry))
            part = part.replace("{{.}}", str(entry)).replace("{{,}}", comma)
            parts.append(part)
        return "".join(parts)

    def value_of(match: re.Match[str]) -> str:
        name, _, form = match.group(1).partition("|")
        value = find(name, fields)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", value_of, text)


class Node:
    """One process of the project, on a machine of its own.

    Attributes:
        name: Its name.
        host: Address of its machine.
    """

    def __init__(
        self, name: str, host: str, role: str, settings: str, folder: pathlib.Path
    ) -> None:
        """Write the settings; the process does not run yet.

        Args:
            name: Name of the node.
            host: Address of its machine.
            role: Name of its role in the deploy file.
            settings: Its settings.
            folder: Folder for its files.
        """
        self.name = name
        self.host = host
        self._settings_path = folder / f"{name}.settings"
        self._settings_path.write_text(settings, encoding="utf-8")
        self._log_path = folder / f"{name}.log"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        words = deploy["roles"][role]["run"].split()
        path = str(self._settings_path)
        self._words = [path if word == SETTINGS_PATH else word for word in words]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> str:
        """What the process has written so far."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CACTUSHALL_CONFIG"] = str(self._settings_path)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def wait(self, seconds: float) -> bool:
        """Wait for the end of the process, and return whether it has ended."""
        for _ in range(int(seconds / 0.02)):
            if not self.is_running:
                return True
            await asyncio.sleep(0.02)
        return not self.is_running

    async def stop(self) -> None:
        """Stop the process as the platform does."""
        self.send_signal(signal.SIGTERM)
        if not await self.wait(GRACE_SECONDS):
            self.send_signal(signal.SIGKILL)
            await self.wait(2.0)


class Deployment:
    """All processes of one case.

    Attributes:
        record: Where all events are written.
        store: The platform's store.
        router: The platform's routers.
        clients: A client in each zone.
        ports: Ports of the day.
        entries: The entries, by name.
        agents: The agents, by name.
        endpoints: The endpoints, by id.
    """

    def __init__(self, record: records.Record, machines: int) -> None:
        """Choose addresses and ports.

        Args:
            record: Where events are written.
            machines: Number of machines at most.
        """
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.entries: dict[str, Node] = {}
        self.agents: dict[str, Node] = {}
        self.endpoints: dict[str, endpoints.Endpoint] = {}
        self._net = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        hosts = [self.host(n) for n in range(1, machines + 1)]
        client_hosts = [self.host(FIRST_CLIENT_NUMBER + n) for n in range(len(ZONES))]
        hosts += [*client_hosts, self.host(STORE_HOST_NUMBER)]
        self.ports = _choose_ports(hosts)
        self.store = store.Store()
        self.router = clients.Router(record)
        self.clients = {
            zone: clients.Client(zone, host, self.ports.datagrams, self.router, record)
            for zone, host in zip(ZONES, client_hosts, strict=True)
        }
        self._seeds: list[str] = []

    def host(self, number: int) -> str:
        """Return the address of a machine."""
        return f"{self._net}.{number}"

    async def start(self, seeds: list[int]) -> None:
        """Start the store and the clients.

        Args:
            seeds: Numbers of the machines whose addresses nodes get as seeds.
        """
        self.set_seeds(seeds)
        await self.store.start(self.host(STORE_HOST_NUMBER), self.ports.store)
        for client in self.clients.values():
            await client.start()

    def set_seeds(self, seeds: list[int]) -> None:
        """Set the seeds of the nodes that are added from now on."""
        self._seeds = [f"{self.host(n)}:{self.ports.control}" for n in seeds]

    def add_entry(self, number: int) -> Node:
        """Add a machine with an entry, and start it."""
        name = f"frontend-{zone_of(number)}-{number}"
        node = self._make_node(name, number, "entry", "deploy/entry.yaml", {})
        self.entries[name] = node
        host = self.host(number)
        self.router.add(
            name,
            zone_of(number),
            (host, self.ports.readiness),
            (host, self.ports.datagrams),
        )
        self._start_node(node)
        return node

    def add_agent(self, number: int, service: str) -> Node:
        """Add a machine with an agent, and start it."""
        name = f"side-{zone_of(number)}-{number}"
        app = f"{self.host(number)}:{self.ports.app}"
        extra = {"service": service, "app": app}
        node = self._make_node(name, number, "agent", "deploy/agent.yaml", extra)
        self.agents[name] = node
        self._start_node(node)
        return node

    def make_endpoint(self, number: int, service: str, name: str) -> endpoints.Endpoint:
        """Return an endpoint on the machine of an agent; it does not run yet."""
        place = endpoints.Place(
            self.host(number), self.ports.app, self.ports.outbound, self.ports.control
        )
        zone = zone_of(number)
        endpoint = endpoints.Endpoint(name, service, zone, place, self.record)
        self.endpoints[name] = endpoint
        return endpoint

    async def add_server(self, number: int, service: str) -> endpoints.Endpoint:
        """Add a machine with an endpoint and an agent, and start both."""
        self.add_agent(number, service)
        endpoint = self.make_endpoint(number, service, f"i-{number}")
        await endpoint.start()
        return endpoint

    async def wait_until_ready(self, names: typing.Iterable[str]) -> None:
        """Wait until some entries are ready.

        Raises:
            CannotRunError: They were not ready in time.
        """
        wanted = list(names)
        for _ in range(int(START_SECONDS / 0.1)):
            if all(self.router.is_ready(name) for name in wanted):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"not ready in time: {wanted}")

    async def stop(self) -> None:
        """End everything that was started."""
        self.router.stop()
        nodes = [*self.entries.values(), *self.agents.values()]
        await asyncio.gather(*(node.stop() for node in nodes))
        for endpoint in self.endpoints.values():
            endpoint.crash()
        for client in self.clients.values():
            client.stop()
        self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _start_node(self, node: Node) -> None:
        node.start()
        self.record.write("node-started", name=node.name)

    def _make_node(
        self,
        name: str,
        number: int,
        role: str,
        template: str,
        extra: dict[str, object],
    ) -> Node:
        host = self.host(number)
        ports = self.ports
        fields: dict[str, typing.Any] = {
            "node_name": name,
            "ip": host,
            "zone": zone_of(number),
            "port_range": [ports.first, ports.last],
            "seeds": self._seeds,
            "heartbeat_ms": 1200,
            "listen": {
                "datagram_addr": f"{host}:{ports.datagrams}",
                "outbound": f"{host}:{ports.outbound}",
                "readiness_addr": f"{host}:{ports.readiness}",
                "control": f"{host}:{ports.control}",
            },
            "bounds": BOUNDS,
            "platform": {"address": f"{self.host(STORE_HOST_NUMBER)}:{ports.store}"},
            **extra,
        }
        settings = render((ROOT / template).read_text("utf-8"), fields)
        return Node(name, host, role, settings, self.folder)


def make_configuration(
    version: int,
    services: typing.Iterable[str],
    routes: dict[packets.End, str],
    kind: str = "idempotent",
) -> dict[str, object]:
    """Return a configuration as the operator writes it.

    Args:
        version: Its version.
        services: Names of the services.
        routes: The service of each route, by the route's address.
        kind: Type of all routes.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}-{port}",
                "host": host,
                "prefix": f"/{port}/",
                "type": kind,
                "timeout_ms": 1000,
                "slo_ms": 120,
                "priority": 2,
                "service": service,
                "max_attempts": 2,
            }
            for (host, port), service in routes.items()
        ],
        "services": [
            {
                "name": name,
                "health_path": HEALTH_PATH,
                "max_conns": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def _choose_ports(hosts: list[str]) -> Ports:
    """Return ports that are free on all machines.

    Raises:
        CannotRunError: There are none.
    """
    for _ in range(50):
        first = random.randrange(FIRST_PORT, LAST_PORT, PORTS_PER_MACHINE)
        numbers = range(first, first + PORTS_PER_MACHINE)
        if all(_is_free(host, port) for host in hosts for port in numbers):
            others = range(first + 16, first + PORTS_PER_MACHINE)
            return Ports(first, first + 15, *others[:6])
    raise CannotRunError("no free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
