"""Runs a whole site as real processes on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime
import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import urllib.request

import yaml
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
from msgspec import structs

from cactushall_core import addresses, configuration, identifiers, keys
from cactushall_rpc import control, store, store_keys
from cactushall_rpc.generated import control_pb2
from tests.standins import fabric as fabric_standin

STORE_ADDRESS = addresses.Address("127.0.0.2", 23790)
SERVER_PORT = 8080
SERVICE_PORT = 4433
STOP_TIMEOUT_SECONDS = 40.0
READY_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.1
PROPAGATION_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class EndpointPlan:
    """One backend server with its agent.

    Attributes:
        name: Name of the agent's node; the server's process adds `-server`.
        service: Name of the service.
        zone: Availability zone.
        slots: Requests that the agent lets the server run at once.
        connections: Flows that the agent accepts at most.
        service_seconds: Time that the server takes for a proposal.
    """

    name: str
    service: str
    zone: str
    slots: int = 1
    connections: int = 2000
    service_seconds: float = 0.01


@dataclasses.dataclass(frozen=True)
class EntryPlan:
    """One entry.

    Attributes:
        name: Name of the node.
        zone: Availability zone.
    """

    name: str
    zone: str


@dataclasses.dataclass(frozen=True)
class SitePlan:
    """The services, processes and timeouts of a site.

    Attributes:
        services: Host of each service, by the service's name.
        endpoints: Backend servers with their agents.
        entries: Entries.
        idle_timeout_seconds: Idle timeout of flows.
        deadline_seconds: Deadline of requests.
        drain_timeout_seconds: How long a stopping agent waits for its flows.
    """

    services: dict[str, str]
    endpoints: tuple[EndpointPlan, ...]
    entries: tuple[EntryPlan, ...]
    idle_timeout_seconds: float = 60.0
    deadline_seconds: float = 10.0
    drain_timeout_seconds: float = 5.0


def limit_connections(plan: SitePlan, connections: int) -> SitePlan:
    """Return a plan in which each agent accepts at most so many flows."""
    endpoints = tuple(
        dataclasses.replace(endpoint, connections=connections)
        for endpoint in plan.endpoints
    )
    return dataclasses.replace(plan, endpoints=endpoints)


def kalymnos_plan() -> SitePlan:
    """Return the plan of Kalymnos Swapworks: three zones and two services."""
    zones = ("attica-1", "attica-2", "attica-3")
    desk = [
        EndpointPlan(f"desk-{n}", "swap-desk", zones[n % 3], service_seconds=0.02)
        for n in range(7)
    ]
    catalogue = [
        EndpointPlan(f"catalogue-{n}", "catalogue", zones[n % 3]) for n in range(3)
    ]
    return SitePlan(
        services={"swap-desk": "127.0.1.1", "catalogue": "127.0.1.2"},
        endpoints=(*desk, *catalogue),
        entries=tuple(EntryPlan(f"entry-{n}", zones[n]) for n in range(3)),
    )


class Site:
    """The running processes of a site.

    Attributes:
        plan: What the site consists of.
        client: Client of the control interface of all daemons.
        key_ring: Keys that the daemons share.
    """

    def __init__(self, plan: SitePlan, folder: pathlib.Path) -> None:
        """Write keys and certificates to a folder; nothing is started yet.

        Args:
            plan: What the site consists of.
            folder: Where keys, certificates, settings and logs are written.
        """
        self.plan = plan
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._logs = folder / "logs"
        self._logs.mkdir()
        self._hosts: dict[str, str] = {}
        self._fabric = fabric_standin.Fabric(
            [self.service_address(name) for name in plan.services]
        )
        write_secrets(folder)
        context = control.client_context(credentials(folder))
        self.client = control.Client(context)
        secret = bytes.fromhex((folder / "key").read_text())
        self.key_ring = (keys.make_key(secret),)

    def service_address(self, service: str) -> addresses.Address:
        """Return the address of a service."""
        return addresses.Address(self.plan.services[service], SERVICE_PORT)

    def control_address(self, name: str) -> addresses.Address:
        """Return the control address of a process."""
        return addresses.Address(self._hosts[name], 7947)

    def process(self, name: str) -> subprocess.Popen[bytes]:
        """Return the process of that name."""
        return self._processes[name]

    async def start(self) -> None:
        """Start all processes and wait until they are ready."""
        self.start_store()
        for endpoint in self.plan.endpoints:
            self.start_backend(endpoint)
        await self.configure()
        for endpoint in self.plan.endpoints:
            self.start_agent(endpoint)
        for entry in self.plan.entries:
            self.start_entry(entry)
        await self.wait_until_ready()
        self._fabric.spray(len(self.plan.entries))

    def start_store(self) -> None:
        """Start the store."""
        host, port = STORE_ADDRESS
        self._spawn("store", ["-m", "tests.standins.store", host, str(port)])

    async def configure(self) -> None:
        """Write the first configuration to the store, once it is reachable."""
        client = store.Store((STORE_ADDRESS,))
        value = configuration.encode(self._configuration())
        await wait_until(lambda: _try_create(client, value), READY_TIMEOUT_SECONDS)
        client.close()

    async def reconfigure(self, **changes: object) -> None:
        """Write a changed configuration to the store as the next revision."""
        client = store.Store((STORE_ADDRESS,))
        entry = await client.get(store_keys.CONFIGURATION)
        current = configuration.decode(entry.value, "store")
        revision = identifiers.Revision(current.revision + 1)
        changed = structs.replace(current, revision=revision, **changes)
        value = configuration.encode(changed)
        assert await client.replace(store_keys.CONFIGURATION, value, entry.mod_revision)
        client.close()

    def _configuration(self) -> configuration.Configuration:
        services = tuple(
            configuration.Service(
                identifiers.ServiceName(name),
                str(self.service_address(name)),
                deadline_seconds=self.plan.deadline_seconds,
                idle_timeout_seconds=self.plan.idle_timeout_seconds,
            )
            for name in self.plan.services
        )
        return configuration.Configuration(identifiers.Revision(1), services)

    def start_backend(self, endpoint: EndpointPlan) -> None:
        """Start the backend server of an endpoint."""
        self._spawn(
            f"{endpoint.name}-server",
            [
                "-m",
                "tests.standins.backend",
                self._host(endpoint.name),
                str(SERVER_PORT),
                str(endpoint.service_seconds),
            ],
        )

    def start_agent(self, endpoint: EndpointPlan) -> None:
        """Start the agent of an endpoint."""
        host = self._host(endpoint.name)
        settings = self._node_settings(endpoint.name, endpoint.zone)
        settings |= {
            "certificate": "certificate.pem",
            "private_key": "private_key.pem",
            "drain_timeout_seconds": self.plan.drain_timeout_seconds,
            "endpoints": [
                {
                    "service": endpoint.service,
                    "server": f"{host}:{SERVER_PORT}",
                    "slots": endpoint.slots,
                    "connections": endpoint.connections,
                }
            ],
        }
        self._start_daemon("agent", endpoint.name, settings)

    def start_entry(self, entry: EntryPlan, contacts: tuple[str, ...] = ()) -> None:
        """Start an entry.

        Args:
            entry: The entry.
            contacts: Control addresses of members through which it can join without the
                store.
        """
        settings = self._node_settings(entry.name, entry.zone)
        settings["contacts"] = list(contacts)
        self._start_daemon("entry", entry.name, settings)

    def spray(self, entries: int) -> None:
        """Let the fabric spray packets over so many entries."""
        self._fabric.spray(entries)

    async def wait_until_ready(self) -> None:
        """Wait until all daemons have all members, a configuration and a full epoch."""
        daemon_names = [name for name in self._processes if name in self._hosts]
        member_count = len(daemon_names)

        async def is_ready() -> bool:
            for name in daemon_names:
                try:
                    status = await self.client.status(self.control_address(name))
                except control.ControlError:
                    return False
                if status.members != member_count or status.revision == 0:
                    return False
                if not all(map(self._is_epoch_complete, status.endpoints)):
                    return False
            return True

        await wait_until(is_ready, READY_TIMEOUT_SECONDS)
        await asyncio.sleep(PROPAGATION_SECONDS)

    def _is_epoch_complete(self, status: control_pb2.EndpointStatus) -> bool:
        agent_count = sum(e.service == status.service for e in self.plan.endpoints)
        return status.has_quorum and status.epoch_members == agent_count

    def backend_statistics(self, endpoint: str) -> dict:
        """Return the counters and the behaviour of a backend server."""
        return json.loads(self._call_backend(endpoint, "counts", None))

    def change_backend(self, endpoint: str, **changes: object) -> None:
        """Change the behaviour of a backend server.

        Args:
            endpoint: Name of the endpoint.
            **changes: New values of fields of `backend.State`.
        """
        self._call_backend(endpoint, "behave", json.dumps(changes).encode())

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    async def terminate(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        return await asyncio.to_thread(process.wait, STOP_TIMEOUT_SECONDS)

    def suspend(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self._processes[name].send_signal(signal.SIGCONT)

    def log_events(self, name: str) -> list[dict]:
        """Return the parsed log lines of a process so far."""
        text = (self._logs / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line[:1] == "{"]

    def close(self) -> None:
        """Kill all processes that still run and release the service addresses."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._fabric.close()

    def _host(self, name: str) -> str:
        if name not in self._hosts:
            self._hosts[name] = f"127.0.2.{len(self._hosts) + 1}"
        return self._hosts[name]

    def _node_settings(self, name: str, zone: str) -> dict:
        return {
            "node": name,
            "zone": zone,
            "address": self._host(name),
            "store": [str(STORE_ADDRESS)],
            "key_files": ["key"],
            "control_certificate": "control.pem",
            "control_private_key": "control_key.pem",
            "control_authority": "control.pem",
        }

    def _start_daemon(self, role: str, name: str, settings: dict) -> None:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self._spawn(name, ["-m", "cactushall_daemon", role, "--config", str(path)])

    def _spawn(self, name: str, arguments: list[str]) -> None:
        with (self._logs / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                cwd=pathlib.Path(__file__).parents[2],
                env=dict(os.environ, PYTHONUNBUFFERED="1"),
            )

    def _call_backend(self, endpoint: str, path: str, body: bytes | None) -> bytes:
        url = f"http://{self._hosts[endpoint]}:{SERVER_PORT}/{path}"
        with urllib.request.urlopen(url, body, timeout=5) as response:
            return response.read()


@contextlib.asynccontextmanager
async def running_site(plan: SitePlan, folder: pathlib.Path):
    """Run a site within a context."""
    site = Site(plan, folder)
    try:
        await site.start()
        yield site
    finally:
        site.close()


async def wait_until(condition, timeout: float) -> None:
    """Wait until an asynchronous condition holds.

    Args:
        condition: Returns whether the condition holds; called again and again.
        timeout: Time in seconds in which it must hold.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    async with asyncio.timeout(timeout):
        while not await condition():
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _try_create(client: store.Store, value: bytes) -> bool:
    try:
        return await client.create(store_keys.CONFIGURATION, value)
    except store.exceptions.StoreUnavailableError:
        return False


def write_secrets(folder: pathlib.Path) -> None:
    """Write a shared key and self-signed certificates to a folder."""
    (folder / "key").write_text(secrets.token_hex(32))
    _write_certificate(folder, "certificate.pem", "private_key.pem")
    _write_certificate(folder, "control.pem", "control_key.pem")


def credentials(folder: pathlib.Path) -> control.Credentials:
    """Return the files for mutual TLS on the control interface."""
    certificate = folder / "control.pem"
    return control.Credentials(certificate, folder / "control_key.pem", certificate)


def _write_certificate(
    folder: pathlib.Path, certificate_name: str, key_name: str
) -> None:
    private_key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "swapworks.example")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(private_key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=30))
        .sign(private_key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / certificate_name).write_bytes(certificate.public_bytes(pem))
    (folder / key_name).write_bytes(
        private_key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
