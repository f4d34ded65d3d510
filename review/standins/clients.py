"""Stand-ins for the platform's routers and for clients."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import hashlib
import itertools
import random
import socket
import typing

from standins import packets, records, web

READINESS_PATH = "/api/ready"
READINESS_SECONDS = 0.5
MISSES = 2
COPIES_AT_SECONDS = (0.0, 0.2, 0.6)
OPENING_SECONDS = 1.4
FIRST_RETRANSMISSION_SECONDS = 0.2
MAX_RETRANSMISSION_SECONDS = 1.6
FIRST_PORT = 40_001


class Router:
    """Selects the entry of each packet by a steady hash over the rotation."""

    def __init__(self, record: records.Record) -> None:
        """Start without entries.

        Args:
            record: Where changes of the rotation are written.
        """
        self._record = record
        self._zones: dict[str, str] = {}
        self._misses: dict[str, int] = {}
        self._readiness: dict[str, packets.End] = {}
        self._datagrams: dict[str, packets.End] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def rotation(self, zone: str) -> list[str]:
        """Return the names of the entries that get packets of a zone's clients."""
        local = [name for name, other in self._zones.items() if other == zone]
        ready = [name for name in local if self.is_ready(name)]
        if not ready:
            elsewhere = [name for name in self._zones if self.is_ready(name)]
            return elsewhere or local or list(self._zones)
        return ready if 2 * len(ready) >= len(local) else local

    def is_ready(self, name: str) -> bool:
        """Return whether an entry answers that it is ready."""
        return self._misses[name] < MISSES

    def add(
        self, name: str, zone: str, readiness: packets.End, datagrams: packets.End
    ) -> None:
        """Add an entry, which is out of rotation until it is ready."""
        self._zones[name] = zone
        self._misses[name] = MISSES
        self._readiness[name] = readiness
        self._datagrams[name] = datagrams
        self._tasks.append(asyncio.create_task(self._probe(name)))

    def stop(self) -> None:
        """Stop probing."""
        for task in self._tasks:
            task.cancel()

    def name_of(self, zone: str, source: packets.End, target: packets.End) -> str:
        """Return the name of the entry for a flow of a client in a zone."""

        def weight(name: str) -> bytes:
            return hashlib.sha256(repr((name, source, target)).encode()).digest()

        return max(self.rotation(zone), key=weight)

    def address_of(self, name: str) -> packets.End:
        """Return where an entry receives packets."""
        return self._datagrams[name]

    async def _probe(self, name: str) -> None:
        host, port = self._readiness[name]
        while True:
            status = await web.call(
                host, port, "GET", READINESS_PATH, None, READINESS_SECONDS
            )
            was_ready = self.is_ready(name)
            self._misses[name] = 0 if status == 200 else self._misses[name] + 1
            if self.is_ready(name) != was_ready:
                self._record.write("rotation", entry=name, ready=not was_ready)
            await asyncio.sleep(READINESS_SECONDS)


class FlowEndedError(Exception):
    """The flow was reset, or was not opened in time."""


class Reset(typing.NamedTuple):
    """A reset that a client has accepted.

    Attributes:
        at: When, in seconds of the record.
        is_of_system: Whether the system has sent it, not the endpoint.
        was_open: Whether the flow was open.
        endpoint: Id of the flow's endpoint, None before its first answer.
    """

    at: float
    is_of_system: bool
    was_open: bool
    endpoint: str | None


class Client:
    """A client with one address and any number of flows.

    Attributes:
        resets: The resets that ended flows.
    """

    def __init__(
        self,
        zone: str,
        host: str,
        port: int,
        router: Router,
        record: records.Record,
    ) -> None:
        """Create the client; it does not run yet.

        Args:
            zone: Its zone.
            host: Its address.
            port: Port at which the machines of the system receive packets, and it too.
            router: Selects entries.
            record: Where it writes what it sends and gets.
        """
        self.resets: list[Reset] = []
        self.record = record
        self._zone = zone
        self._host = host
        self._port = port
        self._router = router
        self._ports = itertools.count(FIRST_PORT)
        self._attempts = itertools.count(1)
        self._flows: dict[int, ClientFlow] = {}
        self._socket: socket.socket | None = None

    async def start(self) -> None:
        """Start to receive packets."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((self._host, self._port))
        asyncio.get_running_loop().add_reader(self._socket, self._receive)

    def stop(self) -> None:
        """Stop receiving packets."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()

    def make_flow(self, service: packets.End) -> ClientFlow:
        """Return a flow from a new port, which is not open yet."""
        port = next(self._ports)
        flow = ClientFlow(self, (self._host, port), service)
        self._flows[port] = flow
        return flow

    def next_attempt(self) -> str:
        """Return the id of a new attempt."""
        return f"{self._host}-{next(self._attempts)}"

    def send(self, source: packets.End, service: packets.End, datagram: bytes) -> str:
        """Send a packet through the routers, and return the name of the entry."""
        assert self._socket is not None
        entry = self._router.name_of(self._zone, source, service)
        self._socket.sendto(datagram, self._router.address_of(entry))
        return entry

    def _receive(self) -> None:
        assert self._socket is not None
        datagram, _ = self._socket.recvfrom(2048)
        packet = packets.decode(datagram)
        if not packet.is_sound and not packet.is_system_reset:
            self.record.write("client-got-forged-packet", flags=packet.flags)
            return
        flow = self._flows.get(packet.target[1])
        if flow is not None:
            flow.handle(packet)


class ClientFlow:
    """One flow of a client, with one request at a time.

    Attributes:
        source: The client's end.
        reset: The reset that ended it, if any.
        attempt: Id of its latest attempt, None before the first one.
        endpoint: Id of its endpoint, None before the first answer.
        is_closed: Whether its endpoint has closed it.
    """

    def __init__(
        self, client: Client, source: packets.End, service: packets.End
    ) -> None:
        """Create the flow; nothing is sent yet.

        Args:
            client: The client.
            source: The client's end.
            service: Address and port of the route.
        """
        self.source = source
        self.reset: Reset | None = None
        self.attempt: str | None = None
        self.endpoint: str | None = None
        self.is_closed = False
        self._client = client
        self._service = service
        self._first_seq = random.randrange(packets.MODULUS)
        self._seq = self._first_seq + 1
        self._ack = 0
        self._is_open = False
        self._received = b""
        self._changed = asyncio.Event()

    async def open(self) -> None:
        """Open the flow.

        Raises:
            FlowEndedError: It was reset, or was not opened in time.
        """
        sender = asyncio.create_task(self._send_copies())
        try:
            await self._wait(lambda: self._is_open, OPENING_SECONDS)
        finally:
            sender.cancel()

    async def request(self, seconds: float) -> bytes:
        """Send a request and return the whole answer.

        Raises:
            FlowEndedError: The flow was reset, or no answer came in time.
        """
        attempt = self.attempt = self._client.next_attempt()
        text = (
            f"GET /{attempt} HTTP/1.1\r\nHost: {self._service[0]}\r\n"
            f"X-Cactushall-Attempt-Id: {attempt}\r\n\r\n"
        )
        data = text.encode()
        self._received = b""
        sender = asyncio.create_task(self._send_request(attempt, data))
        try:
            await self._wait(lambda: _is_whole(self._received), seconds)
        finally:
            sender.cancel()
        self._seq += len(data)
        self._write(packets.ACK)
        self.endpoint = _header(self._received, b"x-cactushall-instance-id")
        self._client.record.write("answered", attempt=attempt, endpoint=self.endpoint)
        return self._received

    def close(self) -> None:
        """Close the flow, without waiting for the other end."""
        self._write(packets.FIN | packets.ACK)

    def handle(self, packet: packets.Packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & packets.RST:
            self._handle_reset(packet)
        elif packet.flags & packets.SYN:
            if not self._is_open:
                self._ack = packet.seq + 1
                self._is_open = True
        elif packet.data and packet.seq == self._ack % packets.MODULUS:
            self._ack += len(packet.data)
            self._received += packet.data
        elif packet.data:
            self._write(packets.ACK)
        elif packet.flags & packets.FIN and packet.seq == self._ack % packets.MODULUS:
            self._ack += 1
            self.is_closed = True
            self.close()
        self._changed.set()

    def _handle_reset(self, packet: packets.Packet) -> None:
        ahead = packets.distance(packet.seq, self._ack)
        behind = packets.distance(self._ack, packet.seq)
        if self._is_open and min(ahead, behind) > packets.RESET_WINDOW_BYTES:
            return
        if self.reset is not None:
            return
        at = self._client.record.write(
            "reset",
            port=self.source[1],
            system=packet.is_system_reset,
            open=self._is_open,
        )
        self.reset = Reset(at, packet.is_system_reset, self._is_open, self.endpoint)
        self._client.resets.append(self.reset)

    async def _wait(
        self, is_done: collections.abc.Callable[[], bool], seconds: float
    ) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not is_done() and self.reset is None:
                    self._changed.clear()
                    await self._changed.wait()
        if not is_done():
            raise FlowEndedError

    async def _send_copies(self) -> None:
        waited = 0.0
        for copy, at in enumerate(COPIES_AT_SECONDS):
            await asyncio.sleep(at - waited)
            waited = at
            packet = packets.encode(
                self.source, self._service, packets.SYN, self._first_seq, copy
            )
            entry = self._client.send(self.source, self._service, packet)
            if not copy:
                self._client.record.write(
                    "opening",
                    port=self.source[1],
                    route=f"{self._service[0]}:{self._service[1]}",
                    entry=entry,
                )

    async def _send_request(self, attempt: str, data: bytes) -> None:
        pause = FIRST_RETRANSMISSION_SECONDS
        for copy in itertools.count():
            entry = self._write(packets.ACK, data)
            if not copy:
                self._client.record.write(
                    "sent", attempt=attempt, port=self.source[1], entry=entry
                )
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RETRANSMISSION_SECONDS)

    def _write(self, flags: int, data: bytes = b"") -> str:
        packet = packets.encode(
            self.source, self._service, flags, self._seq, self._ack, data
        )
        return self._client.send(self.source, self._service, packet)


def _header(answer: bytes, wanted: bytes) -> str | None:
    """Return a header of an answer, None where it is not there."""
    head, separator, _ = answer.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n") if separator else ():
        name, _, value = line.partition(b":")
        if name.lower() == wanted:
            return value.strip().decode()
    return None


def _is_whole(answer: bytes) -> bool:
    length = _header(answer, b"content-length")
    body = answer.partition(b"\r\n\r\n")[2]
    return length is not None and len(body) >= int(length)
