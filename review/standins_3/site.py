"""A small deployment on loopback: real entries and agents, the rest stand-ins."""

from __future__ import annotations

import asyncio
import atexit
import json
import os
import pathlib
import re
import socket
import subprocess
import tomllib
import urllib.error
import urllib.request

from review.standins_3 import peers, store

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_MS = 1200
GRACE_S = 6
START_SECONDS = 20.0
POLL_SECONDS = 0.05
# Of the template for settings.
METRICS_PORT = 9464


def find_ports(hosts, count):
    """Return ports that are free on all hosts, one after the other."""
    for first in range(23_000, 31_000, count):
        wanted = (METRICS_PORT, *range(first, first + count))
        if all(_is_free(host, port) for host in hosts for port in wanted):
            return list(range(first, first + count))
    raise OSError("no free ports")


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def fill_template(text, fields):
    """Fill a template of settings as DEPLOY.md tells, as far as this one needs it."""

    def fill_section(match):
        name, content = match.groups()
        value = _look_up(fields, name)
        if not value:
            return ""
        entries = value if isinstance(value, list) else [value]
        filled = []
        for number, entry in enumerate(entries):
            part = content.replace("{{.|json}}", json.dumps(entry))
            part = part.replace("{{.}}", str(entry))
            comma = "," if number + 1 < len(entries) else ""
            filled.append(part.replace("{{,}}", comma))
        return "".join(filled)

    def fill_value(match):
        value = _look_up(fields, match.group(1))
        return json.dumps(value) if match.group(2) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill_value, text)


def _look_up(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


class Site:
    """Entries and agents as processes; store, servers and caller in this one.

    Attributes:
        store: The platform's store.
        caller: The caller.
        runs: All requests that backend servers have run.
    """

    def __init__(self, folder, entries, agents, store_closes=False):
        """Prepare a site.

        Args:
            folder: Where settings and logs are written.
            entries: Number of entries.
            agents: Service of the backend server beside each agent.
            store_closes: Whether the store closes each connection after one answer.
        """
        # Runs beside each other have hosts of their own.
        network = f"127.{16 + os.getpid() % 200}"
        self._store_host = f"{network}.31.9"
        self.entries = [f"{network}.33.{number + 1}" for number in range(entries)]
        self.agents = {f"{network}.34.{n + 1}": s for n, s in enumerate(agents)}
        caller_host = f"{network}.35.1"
        hosts = [*self.entries, *self.agents, self._store_host, caller_host]
        ports = find_ports(hosts, 8)
        self._ports = dict(
            zip(
                ("data", "ready", "control", "out", "app", "store", "first", "second"),
                ports,
                strict=True,
            )
        )
        self.store = store.Store(store_closes)
        self.runs = []
        self.caller = peers.Caller((caller_host, self._ports["data"]), self._select)
        self._folder = pathlib.Path(folder)
        self._processes = {}
        self._endpoints = []
        atexit.register(self._kill)
        self._roles = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())[
            "roles"
        ]

    async def start(self, configuration):
        """Start the store and all processes, and wait until the entries are ready."""
        await self.store.start((self._store_host, self._ports["store"]))
        self.store.put_json("op/config", configuration)
        self.caller.start()
        for host in self.entries:
            self.start_process(host)
        for host in self.agents:
            self.start_process(host)
        async with asyncio.timeout(START_SECONDS):
            for host in self.entries:
                while not await self.is_ready(host):
                    await asyncio.sleep(POLL_SECONDS)

    async def close(self):
        """End all processes that were started, and the stand-ins."""
        self._kill()
        for process in self._processes.values():
            await asyncio.to_thread(process.wait)
        for endpoint in self._endpoints:
            endpoint.crash()
        self.caller.stop()
        self.store.stop()

    def _kill(self):
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()

    def make_endpoint(self, name, host, service, first_number=1):
        """Return a backend server for the machine of an agent."""
        addresses = (
            (host, self._ports["app"]),
            (host, self._ports["out"]),
            (host, self._ports["control"]),
        )
        seconds = HEARTBEAT_MS / 1000
        endpoint = peers.Endpoint(
            name, service, addresses, seconds, self.runs, first_number
        )
        self._endpoints.append(endpoint)
        return endpoint

    def write_settings(self, host):
        """Write the settings file of a machine, from the template of its role."""
        role = "entry" if host in self.entries else "agent"
        port = self._ports
        fields = {
            "node_name": f"{role}-{host}",
            "zone": "zone-a",
            "ip": host,
            "port_range": [port["first"], port["second"]],
            "seeds": [f"{entry}:{port['control']}" for entry in self.entries[:3]],
            "platform": {"address": f"{self._store_host}:{port['store']}"},
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": {"grace_s": GRACE_S},
            "listen": {
                "datagram_addr": f"{host}:{port['data']}",
                "readiness_addr": f"{host}:{port['ready']}",
                "outbound": f"{host}:{port['out']}",
                "control": f"{host}:{port['control']}",
            },
            "service": self.agents.get(host),
            "app": f"{host}:{port['app']}",
        }
        template = (REPOSITORY / self._roles[role]["template"]).read_text()
        path = self._folder / f"{host}.settings"
        written = path.with_suffix(".new")
        written.write_text(fill_template(template, fields))
        written.replace(path)
        return path

    def start_process(self, host):
        """Start the program of a machine by the command of the deploy file."""
        role = "entry" if host in self.entries else "agent"
        path = self.write_settings(host)
        words = self._roles[role]["run"].split()
        words[-1] = str(path)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CACTUSHALL_CONFIG": str(path),
        }
        with (self._folder / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                words, stdout=log, stderr=log, cwd=REPOSITORY, env=environment
            )

    def signal(self, host, number):
        """Send a signal to the process of a machine."""
        self._processes[host].send_signal(number)

    async def wait_for_exit(self, host):
        """Wait until the process of a machine has exited."""
        await asyncio.to_thread(self._processes[host].wait)

    def is_running(self, host):
        """Return whether the process of a machine runs."""
        return self._processes[host].poll() is None

    async def is_ready(self, host):
        """Return whether an entry answers that it is ready."""
        url = f"http://{host}:{self._ports['ready']}/api/ready"
        return await asyncio.to_thread(_answers_ok, url)

    def log_lines(self, host):
        """Return the log lines of the processes of a machine."""
        text = (self._folder / f"{host}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def _select(self, port):
        """Return the entry that the routers choose for a port of the caller."""
        return self.entries[port % len(self.entries)], self._ports["data"]


def _answers_ok(url):
    try:
        with urllib.request.urlopen(url, timeout=1) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False
