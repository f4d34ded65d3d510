"""Stand-ins for both ends of flows: backend servers and a caller.

They follow PROTOCOL.md: opening packets with copies, retransmissions, returned packets,
heartbeats and health checks. Each keeps a list of what it has seen.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import socket
import struct
import time
import typing

from review.standins_3 import store

HEADER = struct.Struct("<IIIIBBHHIHI")
FLAGS_OFFSET = 16
PAD_OFFSET = 17
SYN, ACK, FIN, RST, BOUNCED = 2, 64, 1, 128, 32
OPENING_COPIES_SECONDS = (0.0, 0.2, 0.6)
OPENING_SECONDS = 1.4
RETRANSMIT_SECONDS = 0.2
MAX_RETRANSMIT_SECONDS = 1.6
HEARTBEAT_TIMEOUT_SECONDS = 1.0
RESET_WINDOW = 76_800
MODULUS = 1 << 32


def host_number(host):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def host_text(number):
    """Return an IPv4 address as text."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet(typing.NamedTuple):
    """The fields of one packet that the two ends use."""

    source: tuple[str, int]
    target: tuple[str, int]
    flags: int
    seq: int
    ack: int
    data: bytes = b""
    checksum: int = 0

    def seal(self):
        """Return the packet with its checksum, which only the two ends can make."""
        return self._replace(checksum=self.expected_checksum())

    def expected_checksum(self):
        """Return the checksum of the fields that the system may not change."""
        fields = (
            *self.source,
            *self.target,
            self.flags & ~BOUNCED,
            self.seq,
            self.ack,
            self.data,
        )
        return 1 + hash(fields) % (MODULUS - 1)

    def encode(self):
        """Return the bytes of the packet."""
        return (
            HEADER.pack(
                self.seq,
                self.ack,
                0,
                self.checksum,
                self.flags,
                0,
                len(self.data),
                self.target[1],
                host_number(self.target[0]),
                self.source[1],
                host_number(self.source[0]),
            )
            + self.data
        )


def decode(datagram):
    """Return the packet that a datagram holds."""
    seq, ack, _, checksum, flags, _, length, dport, dst, sport, src = (
        HEADER.unpack_from(datagram)
    )
    data = datagram[HEADER.size : HEADER.size + length]
    source, target = (host_text(src), sport), (host_text(dst), dport)
    return Packet(source, target, flags, seq, ack, data, checksum)


def bind(address):
    """Return a UDP socket that is bound to an address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(address)
    return sock


def receive(sock, handler):
    """Call a handler with each datagram that arrives."""

    def read():
        try:
            while True:
                handler(sock.recv(4096))
        except BlockingIOError:
            return

    asyncio.get_running_loop().add_reader(sock, read)


class Run(typing.NamedTuple):
    """A request that a backend server has run."""

    at: float
    server: str
    service: str
    attempt: str
    opening_at: float


class Endpoint:
    """A backend server that answers each request with its own name."""

    def __init__(
        self, name, service, addresses, heartbeat_seconds, runs, first_number=1
    ):
        """Prepare a server.

        Args:
            name: Its id.
            service: Name of its service.
            addresses: Where it receives packets, where its agent takes them from it,
                and where its agent takes heartbeats.
            heartbeat_seconds: Interval of the heartbeats.
            runs: List to which each run is added.
            first_number: Number of its first heartbeat.
        """
        self.name = name
        self.service = service
        self.state = "ready"
        self.beats = []
        self._address, self._outbound, self._control = addresses
        self._heartbeat_seconds = heartbeat_seconds
        self._runs = runs
        self._numbers = itertools.count(first_number)
        self.born = int(time.time() * 1000)
        # By both ends: own first sequence number, whether open, opening time, answer.
        self._flows = {}
        self._ended = set()
        self._socket = None
        self._health = None
        self._beating = None

    @property
    def host(self):
        """Host of its machine."""
        return self._address[0]

    async def start(self):
        """Start to receive packets and to send heartbeats."""
        self._socket = bind(self._address)
        receive(self._socket, self._receive)
        self._health = await asyncio.start_server(self._serve_health, *self._address)
        self._beating = asyncio.create_task(self._beat_regularly())

    def crash(self):
        """Stop at once, without a word."""
        if self._socket is None or self._socket.fileno() < 0:
            return
        self._beating.cancel()
        self._health.close()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    async def beat(self):
        """Send one heartbeat and return the status of the answer, 0 for none."""
        return await self.send_beat(self.make_beat())

    def make_beat(self):
        """Return the next heartbeat."""
        return {
            "service": self.service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "cold_left_ms": 0,
            "seq_no": next(self._numbers),
            "born": self.born,
        }

    async def send_beat(self, beat):
        """Send a heartbeat and return the status of the answer, 0 for none."""
        status = await self._call("PUT", json.dumps(beat).encode())
        self.beats.append((time.time(), beat["state"], status))
        return status

    async def _call(self, method, body):
        head = (
            f"{method} /api/instances/{self.name} HTTP/1.1\r\nHost: agent\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer = None
        try:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(*self._control)
                writer.write(head.encode() + body)
                message = await store.read_message(reader)
                return int(message[0].split()[1]) if message else 0
        except (OSError, EOFError, TimeoutError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    async def _beat_regularly(self):
        while True:
            await self.beat()
            await asyncio.sleep(self._heartbeat_seconds)

    async def _serve_health(self, reader, writer):
        try:
            while await store.read_message(reader) is not None:
                is_well = self.state == "ready"
                writer.write(store.make_response(200 if is_well else 503, {}))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    def _receive(self, datagram):
        packet = decode(datagram)
        if packet.checksum != packet.expected_checksum():
            return
        ends = (packet.source, packet.target)
        if packet.flags & SYN and not packet.flags & ACK:
            self._open(ends, packet)
            return
        flow = self._flows.get(ends)
        is_held = flow is not None and (flow["open"] or packet.ack == flow["seq"] + 1)
        if not is_held:
            self._refuse(datagram, packet, ends)
            return
        flow["open"] = True
        if packet.flags & FIN:
            self._send(ends, FIN | ACK, flow["next"], packet.seq + 1)
            del self._flows[ends]
            self._ended.add(ends)
        elif packet.flags & RST:
            del self._flows[ends]
        elif packet.data:
            self._answer(ends, flow, packet)

    def _open(self, ends, packet):
        flow = self._flows.get(ends)
        if flow is None or flow["opening"] != packet.seq:
            flow = {
                "seq": random.randrange(1 << 20, MODULUS >> 1),
                "opening": packet.seq,
                "open": False,
                "at": time.time(),
                "answers": {},
            }
            flow["next"] = flow["seq"] + 1
            self._flows[ends] = flow
        self._send(ends, SYN | ACK, flow["seq"], packet.seq + 1)

    def _refuse(self, datagram, packet, ends):
        if ends in self._ended:
            flags = ACK if packet.flags & FIN else RST
            self._send(ends, flags, packet.ack, packet.seq + len(packet.data))
            return
        returned = bytearray(datagram)
        returned[FLAGS_OFFSET] |= BOUNCED
        returned[PAD_OFFSET] = 0
        self._socket.sendto(bytes(returned), self._outbound)

    def _answer(self, ends, flow, packet):
        """Run a request that fits into one packet, once, and answer it."""
        if packet.seq not in flow["answers"]:
            attempt = packet.data.partition(b"Attempt-Id: ")[2].split(b"\r\n")[0]
            run = Run(
                time.time(), self.name, self.service, attempt.decode(), flow["at"]
            )
            self._runs.append(run)
            body = f"{self.name} {run.attempt}".encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            flow["answers"][packet.seq] = (flow["next"], head.encode() + body)
            flow["next"] += len(head) + len(body)
        seq, data = flow["answers"][packet.seq]
        self._send(ends, ACK, seq, packet.seq + len(packet.data), data)

    def _send(self, ends, flags, seq, ack, data=b""):
        caller, route = ends
        packet = Packet(route, caller, flags, seq % MODULUS, ack % MODULUS, data)
        self._socket.sendto(packet.seal().encode(), self._outbound)


class FlowResetError(Exception):
    """A flow was reset."""


class Flow:
    """A caller's end of one flow."""

    def __init__(self, caller, port, route):
        """Prepare the flow; nothing is sent."""
        self.port = port
        self.is_open = False
        self.resets = []
        self._caller = caller
        self._route = route
        self._seq = random.randrange(1 << 20, MODULUS >> 1)
        self._ack = 0
        self._opening = self._seq
        self._inbox = asyncio.Queue()

    async def open(self):
        """Open the flow.

        Raises:
            TimeoutError: Nobody has answered.
            FlowResetError: The attempt was reset.
        """
        sending = asyncio.create_task(self._send_copies())
        try:
            async with asyncio.timeout(OPENING_SECONDS):
                while True:
                    packet = await self._next()
                    if packet.flags & SYN and packet.flags & ACK:
                        break
        finally:
            sending.cancel()
        self.is_open = True
        self._seq += 1
        self._ack = packet.seq + 1
        self._send(ACK)

    async def _send_copies(self):
        started_at = asyncio.get_running_loop().time()
        for copy, seconds in enumerate(OPENING_COPIES_SECONDS):
            due_at = started_at + seconds
            await asyncio.sleep(due_at - asyncio.get_running_loop().time())
            self._send(SYN, ack=copy)

    async def request(self, attempt, seconds):
        """Send a request and return the body of its answer.

        Raises:
            TimeoutError: There was no answer in time.
            FlowResetError: The flow was reset.
        """
        data = (
            f"POST / HTTP/1.1\r\nX-Cactushall-Attempt-Id: {attempt}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        sending = asyncio.create_task(self._send_until_answered(data))
        try:
            async with asyncio.timeout(seconds):
                while True:
                    packet = await self._next()
                    if packet.data and packet.seq == self._ack:
                        break
        finally:
            sending.cancel()
        self._seq += len(data)
        self._ack = packet.seq + len(packet.data)
        self._send(ACK)
        return packet.data.partition(b"\r\n\r\n")[2].decode()

    async def _send_until_answered(self, data):
        pause = RETRANSMIT_SECONDS
        while True:
            self._send(ACK, data=data)
            await asyncio.sleep(pause)
            pause = min(MAX_RETRANSMIT_SECONDS, 2 * pause)

    def close(self):
        """Close the flow."""
        if self.is_open:
            self._send(FIN | ACK)

    def handle(self, packet):
        """Handle a packet of the flow."""
        if packet.flags & RST:
            distance = (packet.seq - self._ack) % MODULUS
            is_near = min(distance, MODULUS - distance) <= RESET_WINDOW
            if self.is_open and not is_near:
                return
            by = "system" if packet.checksum == 0 else "server"
            self.resets.append((time.time(), by, self.is_open))
        self._inbox.put_nowait(packet)

    async def _next(self):
        packet = await self._inbox.get()
        if packet.flags & RST:
            raise FlowResetError
        return packet

    def _send(self, flags, ack=None, data=b""):
        ack = self._ack if ack is None else ack
        source = (self._caller.host, self.port)
        packet = Packet(source, self._route, flags, self._seq % MODULUS, ack, data)
        self._caller.send(packet.seal(), self.port)


class Caller:
    """All flows of one caller's host, through entries in rotation."""

    def __init__(self, address, select_entry):
        """Prepare the caller.

        Args:
            address: Where it receives packets.
            select_entry: Returns the address of the entry for a port of the caller.
        """
        self.host = address[0]
        self._address = address
        self._select_entry = select_entry
        self._flows = {}
        self._ports = itertools.count(20_000)
        self._socket = None

    def start(self):
        """Start to receive packets."""
        self._socket = bind(self._address)
        receive(self._socket, self._receive)

    def stop(self):
        """Stop receiving."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def make_flow(self, route):
        """Return a new flow from a port that was not used before."""
        flow = Flow(self, next(self._ports), route)
        self._flows[flow.port] = flow
        return flow

    def send(self, packet, port):
        """Send a packet as the platform's routers would."""
        self._socket.sendto(packet.encode(), self._select_entry(port))

    def _receive(self, datagram):
        packet = decode(datagram)
        flow = self._flows.get(packet.target[1])
        if flow is not None:
            flow.handle(packet)
