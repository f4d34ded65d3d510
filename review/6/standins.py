"""Stand-ins for the scripted cases: store, routers, backend servers and callers.

They use the standard library only and listen on loopback addresses. Entries and agents
are processes started with the commands of the deploy file, with settings made from its
templates.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import ipaddress
import itertools
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEADER = struct.Struct("<IIIIBBHHIHI")
FIN, SYN, BOUNCED, ACK, RST = 1, 2, 32, 64, 128
MODULUS = 1 << 32
SUM_KEY = b"known to callers and backend servers only"

PORT_RANGE = (7720, 7735)
PACKET_PORT = 8172
READINESS_PORT = 8167
CONTROL_PORT = 8166
SERVER_PORT = 8165
FROM_SERVER_PORT = 8162
STORE_PORT = 8169

HEARTBEAT_MS = 1200
ROUTER_PROBE_SECONDS = 0.5
ROUTER_MISSES = 2
RESTART_SECONDS = 0.4
# Backend servers start later than the VMs.
SERVER_DELAY_SECONDS = 2.0
RETRANSMIT_SECONDS = 0.2
MAX_RETRANSMIT_SECONDS = 1.6
OPENING_COPIES_SECONDS = (0.2, 0.6)
OPENING_TIMEOUT_SECONDS = 1.4
SERVER_RETRANSMISSIONS = 8
WORK_SECONDS = 0.005
MAX_PAGE_ITEMS = 500
MAX_SEEDS = 3
BOUNDS = {
    "contact_ms": 4000,
    "drain_ms": 3000,
    "grace_s": 6,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "reorder_ms": 2000,
    "max_flow_s": 60,
}


class Record:
    """Writes what was sent, answered and run to a file, with the time of each line."""

    def __init__(self, path):
        """Start an empty record."""
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, text):
        """Write a line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


# HTTP.


class HttpConnection:
    """A connection to a server of this module; a silent one answers nothing."""

    def __init__(self, reader, writer):
        """Wrap the streams of a connection."""
        self.reader = reader
        self.writer = writer
        self.path = ""
        self.is_silent = False

    async def read_request(self):
        """Return method, path, query and body, None at the end of the connection."""
        line = await self.reader.readline()
        if not line:
            return None
        method, target, _ = line.decode().split(" ", 2)
        size = 0
        while (header := await self.reader.readline()) not in (b"\r\n", b""):
            name, _, value = header.decode().partition(":")
            if name.lower() == "content-length":
                size = int(value)
        body = await self.reader.readexactly(size)
        path, _, query = target.partition("?")
        self.path = path
        return method, path, dict(urllib.parse.parse_qsl(query)), body

    async def answer(self, status, value):
        """Send a response, or nothing at all where the connection is silent."""
        if self.is_silent:
            await asyncio.Event().wait()
        body = json.dumps(value).encode()
        head = (
            f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)
        await self.writer.drain()


async def serve_http(host, port, handle, connections):
    """Serve HTTP requests; open connections are kept in a set."""

    async def run(reader, writer):
        connection = HttpConnection(reader, writer)
        connections.add(connection)
        try:
            while (request := await connection.read_request()) is not None:
                if connection.is_silent:
                    await asyncio.Event().wait()
                status, value = await handle(*request)
                await connection.answer(status, value)
        except (OSError, EOFError, ValueError):
            return
        finally:
            connections.discard(connection)
            writer.close()

    return await asyncio.start_server(run, host, port)


async def call_http(host, port, method, path, body=b"", timeout=1.0):
    """Send a request on a new connection; return its status, None without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            head = (
                f"{method} {path} HTTP/1.1\r\nhost: {host}\r\n"
                "content-type: application/json\r\n"
                f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            line = await reader.readline()
            return int(line.split()[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The platform's store.


class Store:
    """Keys, leases, watches and conditional writes, as the platform's page tells.

    Attributes:
        items: The item of each key.
        revision: Revision of the latest change.
    """

    def __init__(self, record):
        """Create an empty store; it does not listen yet."""
        self.items = {}
        self.revision = 10
        self._record = record
        self._history = []
        self._changed = asyncio.Event()
        self._lease_ids = itertools.count(1)
        self._leases = {}
        self._connections = set()
        self._server = None
        self._expiry = None

    async def start(self, host):
        """Listen at a host."""
        self._server = await serve_http(
            host, STORE_PORT, self._handle, self._connections
        )
        self._expiry = asyncio.create_task(self._expire_leases())

    def stop(self):
        """Stop listening."""
        if self._expiry is not None:
            self._expiry.cancel()
            self._server.close()

    def silence_connections(self, path=""):
        """Let open connections go silent for good; new ones work.

        Args:
            path: Only those whose latest request was for a path that begins so.
        """
        silenced = [c for c in self._connections if c.path.startswith(path)]
        for connection in silenced:
            connection.is_silent = True
        self._record.write(
            f"store: {len(silenced)} open connections go silent, new ones work"
        )

    def write_configuration(self, value):
        """Write a configuration, as the operator does; the write is acknowledged."""
        self._put("op/config", base64.b64encode(json.dumps(value).encode()).decode(), 0)
        routes = ", ".join(
            f"{r['host']}{r['prefix']} to {r['service']}" for r in value["routes"]
        )
        self._record.write(
            f"operator: version {value['version']} is acknowledged ({routes})"
        )

    def holder_of_first_slot(self):
        """Return the host of the entry that holds the first contact slot, if any."""
        for key, item in self.items.items():
            if item["lease"] and key.endswith("/0"):
                return base64.b64decode(item["value"]).decode().rpartition(":")[0]
        return None

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._add_event(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "revision": self.revision, "removed": True})

    def _add_event(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self._leases.items()):
                if ends_at < now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)

    async def _handle(self, method, path, query, body):
        value = json.loads(body) if body else {}
        name, _, argument = path.removeprefix("/api/").partition("/")
        if name == "kv-range":
            return self._read_range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(value)
        if name == "kv-lease":
            lease, ttl = next(self._lease_ids), value["ttl_ms"] / 1000
            self._leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": lease, "ttl_ms": value["ttl_ms"]}
        if name == "kv-keep":
            return self._renew(int(argument))
        if name == "kv-lease-end":
            self._end_lease(int(argument))
            return 200, {}
        return 404, {}

    def _renew(self, lease):
        if lease not in self._leases:
            return 404, {}
        ttl, _ = self._leases[lease]
        self._leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {"ttl_ms": int(ttl * 1000)}

    def _read_range(self, query):
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {
            "items": [self.items[key] for key in keys[:MAX_PAGE_ITEMS]],
            "as_of": self.revision,
            "has_more": len(keys) > MAX_PAGE_ITEMS,
        }

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining = ends_at - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "as_of": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining)

    def _transact(self, value):
        expected = value.get("expected", [])
        current = {
            row["key"]: self.items.get(row["key"], {}).get("revision", 0)
            for row in expected
        }
        if any(current[row["key"]] != row["revision"] for row in expected):
            return 412, {"items": [self.items[k] for k in current if k in self.items]}
        writes = value.get("writes", [])
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return 404, {}
        for write in writes:
            self._put(write["key"], write["value"], write.get("lease", 0))
        for key in value.get("remove", []):
            self._remove(key)
        return 200, {"revision": self.revision}


# Packets.


def pack_host(host):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def unpack_host(number):
    """Return an IPv4 address as text."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def encode(source, target, flags, seq, ack, data=b""):
    """Encode a packet from one end of a flow to the other."""
    addresses = (target[1], pack_host(target[0]), source[1], pack_host(source[0]))
    checksum = _checksum(flags, seq, ack, addresses, data)
    fields = (seq, ack, 0, checksum, flags, 0, len(data), *addresses)
    return HEADER.pack(*fields) + data


def decode(datagram):
    """Return source, target, flags, seq, ack, data and whether the sum is right."""
    seq, ack, _, checksum, flags, _, _, *addresses = HEADER.unpack_from(datagram)
    dport, dst, sport, src = addresses
    data = datagram[HEADER.size :]
    is_right = checksum == _checksum(flags & ~BOUNCED, seq, ack, addresses, data)
    source, target = (unpack_host(src), sport), (unpack_host(dst), dport)
    return source, target, flags, seq, ack, data, is_right


def _checksum(flags, seq, ack, addresses, data):
    fields = struct.pack("<BIIHIHI", flags, seq, ack, *addresses)
    return zlib.crc32(SUM_KEY + fields + data)


def queued_bytes(host, port):
    """Return how many bytes wait unread at a UDP socket, as the kernel tells."""
    octets = ipaddress.IPv4Address(host).packed[::-1].hex().upper()
    for line in pathlib.Path("/proc/net/udp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == f"{octets}:{port:04X}":
            return int(fields[4].partition(":")[2], 16)
    return 0


def _bind_udp(host, port, handle):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((host, port))

    def receive():
        with contextlib.suppress(BlockingIOError):
            while True:
                handle(sock.recv(4096))

    asyncio.get_running_loop().add_reader(sock, receive)
    return sock


class ServerFlow:
    """One flow at a backend server."""

    def __init__(self, caller, service, caller_seq):
        """Start a flow with its opening packet."""
        self.caller = caller
        self.service = service
        self.opening_seq = caller_seq
        self.seq = random.randrange(MODULUS)
        self.expected = (caller_seq + 1) % MODULUS
        self.is_open = False
        self.acknowledged = (self.seq + 1) % MODULUS
        self.next_seq = (self.seq + 1) % MODULUS


class Server:
    """A backend server: opens flows, runs requests, announces itself.

    Attributes:
        state: What its heartbeats tell.
        runs: Time and id of each request that it ran.
        stray: Number of packets of flows that it does not hold.
        acknowledged: Status of the latest heartbeat, None without an answer.
        flows: The flows that it holds.
    """

    def __init__(self, name, host, service, record):
        """Create a server; it does not run yet."""
        self.name = name
        self.host = host
        self.service = service
        self.state = "ready"
        self.runs = []
        self.stray = 0
        self.acknowledged = None
        self.flows = {}
        self._record = record
        self._numbers = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._socket = None
        self._tasks = set()
        self._health = None

    async def start(self):
        """Take packets and health checks and send heartbeats."""
        self._socket = _bind_udp(self.host, SERVER_PORT, self._receive)
        self._health = await serve_http(
            self.host, SERVER_PORT, self._check_health, set()
        )
        self._spawn(self._send_heartbeats())

    def stop(self):
        """End without a word, like a crash."""
        if self._socket is None:
            return
        for task in self._tasks:
            task.cancel()
        self._health.close()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    async def announce(self, state):
        """Tell of a new state at once; return the status of the answer."""
        self.state = state
        return await self._send_heartbeat()

    def heartbeat(self):
        """Return the fields of the next heartbeat."""
        return {
            "service": self.service,
            "address": f"{self.host}:{SERVER_PORT}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "cold_left_ms": 0,
            "seq_no": next(self._numbers),
            "born": self._born,
        }

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_health(self, _method, _path, _query, _body):
        return (200 if self.state == "ready" else 503), {}

    async def _send_heartbeats(self):
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _send_heartbeat(self):
        body = json.dumps(self.heartbeat()).encode()
        path = f"/api/instances/{self.name}"
        self.acknowledged = await call_http(self.host, CONTROL_PORT, "PUT", path, body)
        return self.acknowledged

    def _receive(self, datagram):
        source, target, flags, seq, ack, data, is_right = decode(datagram)
        if not is_right:
            self._record.write(f"{self.name}: got a packet that nobody wrote so")
            return
        flow = self.flows.get((source, target))
        if flags & SYN:
            self._open(flow, source, target, seq)
        elif flow is None or not self._accepts(flow, ack):
            self._bounce(datagram)
        elif flags & RST:
            del self.flows[source, target]
        else:
            flow.acknowledged = ack
            if data:
                self._take(flow, seq, data)

    def _open(self, flow, source, target, seq):
        if flow is None or flow.opening_seq != seq:
            flow = ServerFlow(source, target, seq)
            self.flows[source, target] = flow
        self._send(flow, SYN | ACK, flow.seq)

    def _accepts(self, flow, ack):
        if not flow.is_open:
            flow.is_open = ack == (flow.seq + 1) % MODULUS
            if flow.is_open:
                self._record.write(f"{self.name}: flow {flow.caller[1]} is open")
        return flow.is_open

    def _bounce(self, datagram):
        self.stray += 1
        flags = datagram[16] | BOUNCED
        returned = datagram[:16] + bytes((flags, 0)) + datagram[18:]
        self._socket.sendto(returned, (self.host, FROM_SERVER_PORT))

    def _take(self, flow, seq, data):
        if seq != flow.expected:
            self._send(flow, ACK, flow.next_seq)
            return
        flow.expected = (seq + len(data)) % MODULUS
        self._spawn(self._run(flow, data))

    async def _run(self, flow, request):
        self.runs.append((time.monotonic(), request))
        self._record.write(
            f"{self.name}: flow {flow.caller[1]} runs {request.decode()}"
        )
        await asyncio.sleep(WORK_SECONDS)
        answer = self.name.encode() + b" ran " + request
        seq, flow.next_seq = flow.next_seq, (flow.next_seq + len(answer)) % MODULUS
        pause = RETRANSMIT_SECONDS
        for _ in range(SERVER_RETRANSMISSIONS):
            self._send(flow, ACK, seq, answer)
            await asyncio.sleep(pause)
            if (flow.acknowledged - seq) % MODULUS >= len(answer):
                return
            pause = min(2 * pause, MAX_RETRANSMIT_SECONDS)

    def _send(self, flow, flags, seq, data=b""):
        packet = encode(flow.service, flow.caller, flags, seq, flow.expected, data)
        self._socket.sendto(packet, (self.host, FROM_SERVER_PORT))


class FlowResetError(Exception):
    """The flow was reset."""


class CallerFlow:
    """One flow at its caller.

    Attributes:
        name: Its port, as the record names it.
        server: Name of the backend server that has answered last.
        is_reset: Whether the caller got a reset that no backend server sent.
    """

    def __init__(self, caller, port, service):
        """Create a flow; nothing is sent yet."""
        self.name = port
        self.server = None
        self.is_reset = False
        self._caller = caller
        self._source = (caller.host, port)
        self._service = service
        self._seq = random.randrange(MODULUS)
        self._ack = 0
        self._received = asyncio.Queue()

    async def open(self):
        """Open the flow; return whether a backend server has taken it."""
        opening_seq = self._seq
        copies = enumerate((*OPENING_COPIES_SECONDS, OPENING_TIMEOUT_SECONDS))
        started_at = time.monotonic()
        for copy, ends_at in copies:
            self._send(SYN, opening_seq, copy)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(
                    asyncio.get_running_loop().time()
                    + ends_at
                    - (time.monotonic() - started_at)
                ):
                    return await self._wait_for_opening(opening_seq)
        return False

    async def _wait_for_opening(self, opening_seq):
        while True:
            flags, seq, _ = await self._received.get()
            if flags & RST:
                return False
            if flags & SYN:
                self._seq = (opening_seq + 1) % MODULUS
                self._ack = (seq + 1) % MODULUS
                self._send(ACK, self._seq, self._ack)
                return True

    async def request(self, data, deadline):
        """Send a request; return the answer, None at the deadline.

        Raises:
            FlowResetError: The flow was reset.
        """
        seq, self._seq = self._seq, (self._seq + len(data)) % MODULUS
        self._caller.record.write(f"caller: flow {self.name} sends {data.decode()}")
        pause = RETRANSMIT_SECONDS
        try:
            async with asyncio.timeout(deadline):
                while True:
                    self._send(ACK, seq, self._ack, data)
                    with contextlib.suppress(TimeoutError):
                        return await asyncio.wait_for(self._wait_for_answer(), pause)
                    pause = min(2 * pause, MAX_RETRANSMIT_SECONDS)
        except TimeoutError:
            self._caller.record.write(f"caller: flow {self.name}: deadline passes")
            return None

    async def _wait_for_answer(self):
        while True:
            flags, seq, data = await self._received.get()
            if flags & RST:
                raise FlowResetError
            if not data:
                continue
            if seq == self._ack:
                self._ack = (seq + len(data)) % MODULUS
            self._send(ACK, self._seq, self._ack)
            if seq == (self._ack - len(data)) % MODULUS:
                self.server = data.decode().partition(" ")[0]
                self._caller.record.write(
                    f"caller: flow {self.name} gets: {data.decode()}"
                )
                return data

    def receive(self, flags, seq, data, is_right):
        """Take a packet that has arrived."""
        if flags & RST and not is_right:
            self.is_reset = True
            self._caller.record.write(
                f"caller: flow {self.name} gets a reset that no server sent"
                f" (seq {seq}, last ack of the caller {self._ack})"
            )
        self._received.put_nowait((flags, seq, data))

    def _send(self, flags, seq, ack, data=b""):
        packet = encode(self._source, self._service, flags, seq, ack, data)
        self._caller.send(packet, self._source, self._service)


class Caller:
    """All callers of a site, and the routers in front of the entries.

    Attributes:
        host: Address of the callers.
        record: What was sent and answered.
        flows: All flows, by port.
        in_rotation: Entries that are ready.
        removed: Entries whose machines are gone for good.
    """

    def __init__(self, host, entries, record):
        """Create it; nothing is sent yet."""
        self.host = host
        self.record = record
        self.flows = {}
        self.in_rotation = []
        self.removed = set()
        self._entries = entries
        self._ports = itertools.count(40_001)
        self._socket = None
        self._task = None

    def start(self):
        """Start to receive, and to ask the entries whether they are ready."""
        self._socket = _bind_udp(self.host, PACKET_PORT, self._receive)
        self._task = asyncio.create_task(self._probe_entries())

    def stop(self):
        """Stop."""
        if self._task is None:
            return
        self._task.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    async def open_flow(self, service):
        """Open a flow on a new port; return it, None where it was not opened."""
        port = next(self._ports)
        flow = CallerFlow(self, port, service)
        self.flows[port] = flow
        return flow if await flow.open() else None

    def route(self, source, service):
        """Return the entry that the routers select; only a lost entry's flows move."""
        entries = [entry for entry in self._entries if entry not in self.removed]
        candidates = [entry for entry in self.in_rotation if entry in entries]
        if 2 * len(candidates) < len(entries):
            candidates = entries
        return max(
            candidates,
            key=lambda entry: zlib.crc32(f"{source} {service} {entry}".encode()),
        )

    def entry_of(self, flow, service):
        """Return the entry that gets the packets of a flow now."""
        return self.route((self.host, flow.name), service)

    def send(self, packet, source, service):
        """Send a packet to the service, through the routers."""
        self._socket.sendto(packet, (self.route(source, service), PACKET_PORT))

    def _receive(self, datagram):
        _, target, flags, seq, _, data, is_right = decode(datagram)
        flow = self.flows.get(target[1])
        if flow is not None:
            flow.receive(flags, seq, data, is_right)

    async def _probe_entries(self):
        misses = dict.fromkeys(self._entries, ROUTER_MISSES)

        async def probe(entry):
            status = await call_http(
                entry, READINESS_PORT, "GET", "/api/ready", timeout=0.4
            )
            misses[entry] = 0 if status == 200 else misses[entry] + 1

        while True:
            await asyncio.gather(*map(probe, self._entries))
            self.in_rotation = [e for e in self._entries if misses[e] < ROUTER_MISSES]
            await asyncio.sleep(ROUTER_PROBE_SECONDS)


# The site.


def render(template, values):
    """Fill in a settings template as the platform does."""

    def find(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = find(match[1])
        if not isinstance(value, list):
            value = [] if value is None else [value]
        parts = []
        for number, entry in enumerate(value):
            comma = "," if number < len(value) - 1 else ""
            text = match[2].replace("{{.|json}}", json.dumps(entry))
            parts.append(text.replace("{{.}}", str(entry)).replace("{{,}}", comma))
        return "".join(parts)

    def place(match):
        value = find(match[1])
        return json.dumps(value) if match[2] else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


def _reserve_network():
    """Return the first two octets of loopback addresses, and what reserves them.

    The socket keeps other cases from the same addresses until it is closed.
    """
    while True:
        network = f"127.{random.randrange(20, 250)}"
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((f"{network}.9.2", STORE_PORT))
        except OSError:
            reservation.close()
        else:
            return network, reservation


class Site:
    """A small deployment in one availability zone.

    Attributes:
        store: The platform's store.
        entries: Hosts of the entries.
        servers: The backend servers; each has an agent at its host.
        caller: The callers and the routers.
        record: What was sent, answered and run.
        seeds: Hosts of the entries that the settings of new processes name.
    """

    def __init__(self, folder, services, entries=2):
        """Prepare a site.

        Args:
            folder: Folder of the case, which gets the record.
            services: Service of each backend server.
            entries: Number of entries.
        """
        network, self._reservation = _reserve_network()
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.entries = [f"{network}.3.{n + 1}" for n in range(entries)]
        self.servers = [
            Server(f"server-{n + 1}", f"{network}.4.{n + 1}", service, self.record)
            for n, service in enumerate(services)
        ]
        self.caller = Caller(f"{network}.5.1", self.entries, self.record)
        self.addresses = {
            service: (f"{network}.6.{n + 1}", 8443)
            for n, service in enumerate(dict.fromkeys(services))
        }
        self.seeds = self.entries[:MAX_SEEDS]
        self._store_host = f"{network}.9.1"
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._processes = {}

    def configuration(self, version, routes=None, **limits):
        """Return a configuration.

        Args:
            version: Its version.
            routes: Service of each route's address; by default each its own.
            **limits: Limits that differ from the usual ones.
        """
        routes = self.addresses if routes is None else routes
        return {
            "version": version,
            "routes": [
                {
                    "name": f"route-{address[0]}",
                    "host": address[0],
                    "prefix": f"/{address[1]}/",
                    "type": "idempotent",
                    "service": service,
                    "timeout_ms": 5000,
                    "slo_ms": 1000,
                    "priority": 1,
                }
                for service, address in routes.items()
            ],
            "services": [
                {"name": service, "health_path": "/health"}
                for service in self.addresses
            ],
            "limits": {"idle_timeout_ms": 15000} | limits,
        }

    async def start(self, entries=None, servers=None):
        """Start everything and wait until all entries are in rotation.

        Args:
            entries: How many entries to start; by default all.
            servers: How many backend servers to start, with their agents.
        """
        await self.store.start(self._store_host)
        self.store.write_configuration(self.configuration(1))
        started = self.entries[:entries]
        for host in started:
            self.start_process("entry", host)
        started_servers = self.servers[:servers]
        for server in started_servers:
            self.start_process("agent", server.host, server)
        await asyncio.sleep(SERVER_DELAY_SECONDS)
        for server in started_servers:
            await server.start()
        self.caller.start()
        await self.wait_until(lambda: len(self.caller.in_rotation) == len(started), 20)
        await self.wait_until(
            lambda: all(s.acknowledged == 200 for s in started_servers), 10
        )

    async def wait_until(self, is_true, seconds):
        """Wait until a condition holds.

        Raises:
            TimeoutError: It did not hold in time.
        """
        async with asyncio.timeout(seconds):
            while not is_true():
                await asyncio.sleep(0.05)

    def close(self):
        """End all processes and close all sockets."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self.servers:
            server.stop()
        self.caller.stop()
        self.store.stop()
        self.record.close()
        self._reservation.close()

    def signal(self, host, number):
        """Send a signal to the process of a host."""
        self.record.write(f"platform: {signal.Signals(number).name} to {host}")
        self._processes[host].send_signal(number)

    async def wait_for_exit(self, host):
        """Wait until a process has ended after SIGTERM; SIGKILL follows the grace."""
        process = self._processes[host]
        try:
            await asyncio.to_thread(process.wait, BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    async def restart(self, role, host, server=None, down=RESTART_SECONDS):
        """Stop a process with SIGTERM, SIGKILL after the grace, and start it again."""
        self.signal(host, signal.SIGTERM)
        await self.wait_for_exit(host)
        self.record.write(f"platform: {host} has ended")
        await asyncio.sleep(down)
        self.start_process(role, host, server)

    def start_process(self, role, host, server=None):
        """Start the process of a host as the deploy file says."""
        deployed = self._roles[role]
        settings = self._folder / f"{host}.json"
        self.rewrite_settings(role, host, server)
        command = shlex.split(deployed["run"])
        command[command.index("--config") + 1] = str(settings)
        environment = {"PATH": os.environ["PATH"], "PYTHONPATH": "target/deps"}
        with (self._folder / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"platform: starts {role} at {host}")

    def rewrite_settings(self, role, host, server=None):
        """Write the settings of a host again, with the seeds of now."""
        template = (ROOT / self._roles[role]["template"]).read_text()
        settings = self._folder / f"{host}.json"
        settings.write_text(render(template, self._values(role, host, server)))

    def logs(self, host):
        """Return the log lines of all processes of a host."""
        return (self._folder / f"{host}.log").read_text().splitlines()

    def _values(self, role, host, server):
        values = {
            "node_name": f"{role}-{host}",
            "zone": "zone-a",
            "ip": host,
            "port_range": list(PORT_RANGE),
            "seeds": [f"{entry}:{CONTROL_PORT}" for entry in self.seeds],
            "heartbeat_ms": HEARTBEAT_MS,
            "listen": {
                "datagram_addr": f"{host}:{PACKET_PORT}",
                "readiness_addr": f"{host}:{READINESS_PORT}",
                "control": f"{host}:{CONTROL_PORT}",
                "outbound": f"{host}:{FROM_SERVER_PORT}",
            },
            "bounds": BOUNDS,
            "platform": {"address": f"{self._store_host}:{STORE_PORT}"},
        }
        if server is not None:
            values |= {"service": server.service, "app": f"{host}:{SERVER_PORT}"}
        return values
