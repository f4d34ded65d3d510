"""Stand-in for an endpoint: one incarnation of a backend server."""

from __future__ import annotations

import asyncio
import random
import re
import socket
import time
import typing

from standins import packets, records, web

HEARTBEAT_SECONDS = 1.2
HEARTBEAT_ANSWER_SECONDS = 1.0
FIRST_RETRANSMISSION_SECONDS = 0.2
MAX_RETRANSMISSION_SECONDS = 1.6
MAX_RETRANSMISSIONS = 8
HEALTH_PATH = "/health"

_ATTEMPT = re.compile(rb"^X-Cactushall-Attempt-Id: (\S+)\r$", re.MULTILINE)

FlowKey = tuple[packets.End, packets.End]


class Place(typing.NamedTuple):
    """The addresses of the machine of an endpoint.

    Attributes:
        host: Address of the machine.
        app: Port at which the endpoint receives packets and health checks.
        outbound: Port of the node for the endpoint's packets.
        control: Port of the node for heartbeats.
    """

    host: str
    app: int
    outbound: int
    control: int


class Flow:
    """A flow at an endpoint."""

    def __init__(self, key: FlowKey, first_seq: int) -> None:
        """Start as a flow whose opening packet was answered.

        Args:
            key: Both ends, the client's first.
            first_seq: Sequence number of the opening packet.
        """
        self.key = key
        self.is_open = False
        self.is_ended = False
        self.first_seq = first_seq
        self.own_first_seq = random.randrange(packets.MODULUS)
        self.seq = self.own_first_seq + 1
        self.expected = first_seq + 1
        self.received = b""
        self.unacknowledged: tuple[int, int, bytes] | None = None


class Run(typing.NamedTuple):
    """A request that an endpoint has begun to work on.

    Attributes:
        attempt: Id of the client's attempt.
        at: When, in seconds of the record.
        service: Service of the endpoint.
        endpoint: Id of the endpoint.
    """

    attempt: str
    at: float
    service: str
    endpoint: str


class Endpoint:
    """Serves flows, sends heartbeats and answers health checks.

    Attributes:
        id: Its id.
        service: Its service.
        runs: The requests that it has begun to work on.
        openings: Times at which it took an opening packet.
        acknowledged_at: When a heartbeat was acknowledged last.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        place: Place,
        record: records.Record,
        work_seconds: float = 0.015,
    ) -> None:
        """Create the endpoint; it does not run yet.

        Args:
            name: Its id.
            service: Its service.
            zone: Its zone.
            place: The addresses of its machine.
            record: Where it writes what it runs.
            work_seconds: How long it works on a request.
        """
        self.id = name
        self.service = service
        self.runs: list[Run] = []
        self.openings: list[float] = []
        self.acknowledged_at = float("-inf")
        self._zone = zone
        self._place = place
        self._record = record
        self._work_seconds = work_seconds
        self._state = "ready"
        self._number = 0
        self._born = 0
        self._flows: dict[FlowKey, Flow] = {}
        self._socket: socket.socket | None = None
        self._health = web.Server(self._answer_health)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start this incarnation."""
        self._born = int(time.time() * 1000)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((self._place.host, self._place.app))
        asyncio.get_running_loop().add_reader(self._socket, self._receive)
        await self._health.start(self._place.host, self._place.app)
        self._spawn(self._send_heartbeats())
        self._record.write("endpoint-started", id=self.id, service=self.service)

    def crash(self) -> None:
        """End without notice; all flows are gone."""
        for task in self._tasks:
            task.cancel()
        self._health.stop()
        if self._socket is not None and self._socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()

    def make_heartbeat(self) -> dict[str, object]:
        """Return the content of the next heartbeat."""
        self._number += 1
        return {
            "service": self.service,
            "address": f"{self._place.host}:{self._place.app}",
            "zone": self._zone,
            "version": "v1",
            "slots": 2,
            "state": self._state,
            "cold_left_ms": 0,
            "seq_no": self._number,
            "born": self._born,
        }

    async def deliver(self, heartbeat: dict[str, object]) -> int | None:
        """Deliver a heartbeat, and return the status of its answer."""
        status = await web.call(
            self._place.host,
            self._place.control,
            "PUT",
            f"/api/instances/{self.id}",
            heartbeat,
            HEARTBEAT_ANSWER_SECONDS,
        )
        if status == web.OK:
            self.acknowledged_at = self._record.now()
        return status

    async def beat(self) -> int | None:
        """Send one heartbeat, and return the status of its answer."""
        return await self.deliver(self.make_heartbeat())

    async def drain(self) -> float:
        """Report `draining` until it is acknowledged, and return when that was."""
        self._state = "draining"
        while await self.beat() != web.OK:
            await asyncio.sleep(0.1)
        return self._record.write("draining-acknowledged", id=self.id)

    async def leave(self, seconds: float) -> None:
        """Drain, serve on, then say that it leaves, and exit.

        Args:
            seconds: How long it serves on after the acknowledgement.
        """
        await self.drain()
        await asyncio.sleep(seconds)
        await web.call(
            self._place.host,
            self._place.control,
            "DELETE",
            f"/api/instances/{self.id}",
            None,
            HEARTBEAT_ANSWER_SECONDS,
        )
        self._record.write("endpoint-left", id=self.id)
        self.crash()

    def _spawn(self, coroutine: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_heartbeats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS * random.uniform(0.95, 1.05))

    async def _answer_health(self, call: web.Call) -> web.Answer:
        is_well = call.target == HEALTH_PATH and self._state == "ready"
        return web.Answer(200 if is_well else 503)

    # Packets.

    def _receive(self) -> None:
        assert self._socket is not None
        datagram, _ = self._socket.recvfrom(2048)
        packet = packets.decode(datagram)
        if not packet.is_sound or packet.flags & packets.BOUNCED:
            self._record.write("endpoint-got-forged-packet", id=self.id)
            return
        key = (packet.source, packet.target)
        flow = self._flows.get(key)
        if packet.flags & packets.SYN:
            self._accept(key, flow, packet, datagram)
        elif flow is None or not self._opens(flow, packet):
            self._write(packets.bounce(datagram))
        elif flow.is_ended:
            self._answer_ended(flow, packet)
        else:
            self._handle(flow, packet)

    def _accept(
        self, key: FlowKey, flow: Flow | None, packet: packets.Packet, datagram: bytes
    ) -> None:
        if packet.flags & packets.ACK:
            self._record.write("endpoint-got-forged-packet", id=self.id)
            return
        if flow is None or flow.first_seq != packet.seq:
            if flow is not None and flow.is_open and not flow.is_ended:
                self._write(packets.bounce(datagram))
                return
            flow = self._flows[key] = Flow(key, packet.seq)
            self.openings.append(self._record.now())
        self._send(flow, packets.SYN | packets.ACK, flow.own_first_seq)

    def _opens(self, flow: Flow, packet: packets.Packet) -> bool:
        """Return whether a flow is open, which the client's first packet decides."""
        if not flow.is_open and packet.flags & packets.ACK:
            ahead = packets.distance(packet.ack, flow.own_first_seq)
            flow.is_open = ahead <= 1
        return flow.is_open

    def _answer_ended(self, flow: Flow, packet: packets.Packet) -> None:
        if packet.flags & packets.FIN:
            self._send(flow, packets.ACK, flow.seq)
        elif packet.data:
            self._send(flow, packets.RST, flow.seq)

    def _handle(self, flow: Flow, packet: packets.Packet) -> None:
        if flow.unacknowledged is not None and not packets.distance(
            packet.ack, flow.unacknowledged[1]
        ):
            flow.unacknowledged = None
        if packet.flags & packets.RST:
            flow.is_ended = True
            return
        is_next = packet.seq == flow.expected % packets.MODULUS
        if packet.data:
            if is_next:
                flow.expected += len(packet.data)
                flow.received += packet.data
            self._send(flow, packets.ACK, flow.seq)
            if is_next and b"\r\n\r\n" in flow.received:
                request, flow.received = flow.received, b""
                self._spawn(self._run(flow, request))
        if packet.flags & packets.FIN and is_next:
            flow.expected += 1
            flow.is_ended = True
            self._send(flow, packets.FIN | packets.ACK, flow.seq)

    async def _run(self, flow: Flow, request: bytes) -> None:
        found = _ATTEMPT.search(request)
        attempt = found.group(1).decode() if found is not None else "none"
        at = self._record.write(
            "run", attempt=attempt, service=self.service, endpoint=self.id
        )
        self.runs.append(Run(attempt, at, self.service, self.id))
        await asyncio.sleep(self._work_seconds)
        body = f"{self.service}:{attempt}".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            f"X-Cactushall-Response-Signature: s-{attempt}\r\n"
            f"X-Cactushall-Instance-Id: {self.id}\r\n\r\n"
        )
        answer = head.encode() + body
        first = flow.seq
        flow.seq += len(answer)
        flow.unacknowledged = (first, flow.seq % packets.MODULUS, answer)
        pause = FIRST_RETRANSMISSION_SECONDS
        for _ in range(MAX_RETRANSMISSIONS + 1):
            if flow.unacknowledged is None or flow.is_ended:
                self._close_if_draining(flow)
                return
            self._send(flow, packets.ACK, first, answer)
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RETRANSMISSION_SECONDS)
        flow.is_ended = True

    def _close_if_draining(self, flow: Flow) -> None:
        """Close a flow after its response, as an endpoint does that drains."""
        if self._state == "draining" and not flow.is_ended:
            self._send(flow, packets.FIN | packets.ACK, flow.seq)

    def _send(self, flow: Flow, flags: int, seq: int, data: bytes = b"") -> None:
        client, service = flow.key
        self._write(packets.encode(service, client, flags, seq, flow.expected, data))

    def _write(self, datagram: bytes) -> None:
        if self._socket is not None and self._socket.fileno() >= 0:
            self._socket.sendto(datagram, (self._place.host, self._place.outbound))
