"""Stand-ins for the two ends of packet flows: backend servers and callers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import socket
import struct
import urllib.request

HEADER = struct.Struct("<IIIIBBHHIHI")
SYN, ACK, FIN, RST, BOUNCED = 2, 64, 1, 128, 32
RETRY_INTERVAL_SECONDS = 0.2
UINT32_MODULUS = 1 << 32
HEARTBEAT_MILLISECONDS = 300


def address_to_number(host):
    """Convert an IPv4 address from text to a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def number_to_address(number):
    """Convert an IPv4 address from a number to text."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def make_heartbeat(service, address, **changes):
    """Return what a backend server says of itself.

    Args:
        service: Name of its service.
        address: Where it receives packets, as text.
        **changes: Fields that differ from those of a server that has just started.
    """
    heartbeat = {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "cold_left_ms": 0,
        "seq_no": 1,
        "born": 100,
    }
    return heartbeat | changes


def encode_packet(source, target, flags, seq=0, ack=0, data=b"", echo=0):
    """Encode one packet.

    The checksum is one that only the two ends can compute, so that a packet that
    cactushall changed or made up is noticed.

    Args:
        source: Host and port of the sender.
        target: Host and port of the receiver.
        flags: Flags of the packet.
        seq: Sequence number.
        ack: Acknowledgement number; in an opening packet, how often it was
            retransmitted.
        data: Payload.
        echo: Value of the echo field.
    """
    checksum = hash((source, target, flags, seq, ack, data)) % UINT32_MODULUS
    header = HEADER.pack(
        seq,
        ack,
        echo,
        checksum,
        flags,
        0,
        len(data),
        target[1],
        address_to_number(target[0]),
        source[1],
        address_to_number(source[0]),
    )
    return header + data


def decode_packet(datagram):
    """Decode a packet and check that it was not changed on its way.

    Returns:
        Source, target, flags, seq, ack and data.
    """
    seq, ack, _, checksum, flags, _, _, dport, dst, sport, src = HEADER.unpack_from(
        datagram
    )
    source, target = (number_to_address(src), sport), (number_to_address(dst), dport)
    data = datagram[HEADER.size :]
    expected = hash((source, target, flags & ~BOUNCED, seq, ack, data)) % UINT32_MODULUS
    is_system_reset = flags == RST and checksum == 0
    assert checksum == expected or is_system_reset, "a packet was changed on its way"
    return source, target, flags, seq, ack, data


class PacketServer:
    """A backend server that answers each request with its own name.

    Attributes:
        state: State that it announces.
        is_full: Whether it bounces new flows.
        stray_packets: Number of packets of flows that it does not own.
        accepted_flows: Number of flows that it has accepted.
        flows: First sequence number of each open flow.
    """

    def __init__(self, name, address, outbound, control, service):
        """Prepare a server; nothing is sent yet.

        Args:
            name: Name of the server.
            address: Where the server receives packets.
            outbound: Where its agent receives packets from the server.
            control: Where its agent receives announcements.
            service: Name of its service.
        """
        self.name = name
        self.service = service
        self.state = "ready"
        self.is_full = False
        self.stray_packets = 0
        self.accepted_flows = 0
        self.flows = {}
        self._address = address
        self._outbound = outbound
        self._control = control
        self._sequence_numbers = itertools.count(1)
        self._incarnation = random.randrange(1 << 40)
        self._socket = None
        self._heartbeat_task = None

    @property
    def address(self):
        """Where the server receives packets, as text."""
        return f"{self._address[0]}:{self._address[1]}"

    async def start(self):
        """Start to receive packets and to send heartbeats."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(self._address)
        asyncio.get_running_loop().add_reader(self._socket, self._receive)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def stop(self):
        """Stop sending and receiving without notice, like a crash.

        Stopping twice is allowed: a site stops all its servers, also those that a
        scenario has stopped before it failed.
        """
        if self._socket.fileno() < 0:
            return
        self._heartbeat_task.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    async def announce(self):
        """Send one heartbeat and return whether it was acknowledged."""
        body = make_heartbeat(
            self.service,
            self.address,
            state=self.state,
            seq_no=next(self._sequence_numbers),
            born=self._incarnation,
        )
        return await self.put_announcement(json.dumps(body).encode())

    async def put_announcement(self, body, name=None):
        """Send any body as a heartbeat and return whether it was acknowledged.

        Args:
            body: The body.
            name: Name of the server that it is said to come from; the own one if None.
        """
        return await asyncio.to_thread(self._put, body, name or self.name)

    def _put(self, body, name):
        url = f"http://{self._control[0]}:{self._control[1]}/api/instances/{name}"
        request = urllib.request.Request(url, body, method="PUT")
        try:
            with urllib.request.urlopen(request, timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    async def _send_heartbeats(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_MILLISECONDS / 1000)

    def _receive(self):
        datagram, sender = self._socket.recvfrom(2048)
        assert sender == self._outbound, (
            "a packet came from elsewhere than the server's agent"
        )
        source, target, flags, seq, ack, data = decode_packet(datagram)
        key = (source, target)
        if flags & SYN:
            self._accept(key, datagram, seq)
        elif key not in self.flows:
            self.stray_packets += 1
            self._bounce(datagram)
        elif flags & FIN:
            self._send(key, ACK | FIN, ack, seq + 1)
            del self.flows[key]
        elif data:
            self._answer(key, seq, ack, data)

    def _accept(self, key, datagram, seq):
        if self.is_full:
            self._bounce(datagram)
            return
        self.accepted_flows += key not in self.flows
        first_seq = self.flows.setdefault(
            key, random.randrange(UINT32_MODULUS - 100_000)
        )
        self._send(key, SYN | ACK, first_seq, seq + 1)

    def _answer(self, key, seq, ack, data):
        answer = self.name.encode() + b":" + data
        self._send(key, ACK, ack, seq + len(data), answer)

    def _send(self, key, flags, seq, ack, data=b""):
        caller, service = key
        packet = encode_packet(
            service, caller, flags, seq % UINT32_MODULUS, ack % UINT32_MODULUS, data
        )
        self._socket.sendto(packet, self._outbound)

    def _bounce(self, datagram):
        bounced = bytearray(datagram)
        bounced[16] |= BOUNCED
        self._socket.sendto(bytes(bounced), self._outbound)


class FlowResetError(Exception):
    """The flow was reset."""


class PacketCaller:
    """A caller with one address and any number of flows."""

    def __init__(self, address, select_entry):
        """Prepare a caller.

        Args:
            address: Where the caller receives packets.
            select_entry: Returns the address of the entry for a caller's and a
                service's address, in place of the routers.
        """
        self._address = address
        self._select_entry = select_entry
        self._ports = itertools.count(20_000)
        self._queues = {}
        self._socket = None

    async def start(self):
        """Start to receive packets."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(self._address)
        asyncio.get_running_loop().add_reader(self._socket, self._receive)

    def stop(self):
        """Stop receiving packets."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    async def open_flow(self, service, timeout=1.4):
        """Open a flow to a service address.

        Raises:
            FlowResetError: The flow was refused.
            TimeoutError: No answer came in time.
        """
        flow = PacketFlow(self, (self._address[0], next(self._ports)), service)
        self._queues[flow.source[1]] = flow.received
        await flow.open(timeout)
        return flow

    def send(self, source, service, packet):
        """Send a packet to the entry that the routers would select."""
        self._socket.sendto(packet, self._select_entry(source, service))

    def _receive(self):
        datagram, _ = self._socket.recvfrom(2048)
        packet = decode_packet(datagram)
        queue = self._queues.get(packet[1][1])
        if queue is not None:
            queue.put_nowait(packet)


class PacketFlow:
    """One flow of a caller, with one request at a time."""

    def __init__(self, caller, source, service):
        """Prepare a flow; nothing is sent yet."""
        self.source = source
        self.service = service
        self.received = asyncio.Queue()
        self._caller = caller
        self._seq = random.randrange(UINT32_MODULUS - 100_000)
        self._ack = 0

    async def open(self, timeout):
        """Send the opening packet and retransmit it until it is answered."""
        packet = await self._exchange(
            lambda copy: encode_packet(self.source, self.service, SYN, self._seq, copy),
            lambda flags, _: flags & SYN,
            timeout,
        )
        self._seq += 1
        self._ack = packet[3] + 1
        self._send(ACK)

    async def request(self, data, timeout=3.0):
        """Send a request, retransmitting it, and return the answer."""
        request_packet = encode_packet(
            self.source, self.service, ACK, self._seq, self._ack, data
        )
        packet = await self._exchange(
            lambda _: request_packet, lambda _, answer: answer.endswith(data), timeout
        )
        self._seq += len(data)
        self._ack = packet[3] + len(packet[5])
        return packet[5]

    async def close(self):
        """Close the flow without waiting for the answer."""
        self._send(ACK | FIN)

    def _send(self, flags):
        packet = encode_packet(self.source, self.service, flags, self._seq, self._ack)
        self._caller.send(self.source, self.service, packet)

    async def _exchange(self, make_packet, is_answer, timeout):
        async with asyncio.timeout(timeout):
            for copy in itertools.count():
                self._caller.send(self.source, self.service, make_packet(copy))
                with contextlib.suppress(TimeoutError):
                    return await asyncio.wait_for(
                        self._wait_for_answer(is_answer), RETRY_INTERVAL_SECONDS
                    )
        raise AssertionError("unreachable")

    async def _wait_for_answer(self, is_answer):
        while True:
            packet = await self.received.get()
            if packet[2] & RST:
                raise FlowResetError
            if is_answer(packet[2], packet[5]):
                return packet
