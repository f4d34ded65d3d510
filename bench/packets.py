"""Processor time of one packet at an entry and at an agent, and memory of a flow.

python -m bench.packets
"""

from __future__ import annotations

import random
import sys
import time
import tracemalloc

from bench import results
from cactushall_core import addresses, identifiers, keys
from cactushall_core.flows import agent, entry, messages, packets, routes, servers
from cactushall_core.membership import records
from cactushall_platform import packets as layout
from tests.standins import packet_peers

FLOWS = 20_000
AGENTS = 9
DATA = b"x" * 1000
SERVICE = identifiers.ServiceName("board")
ADDRESS = ("198.18.0.1", 8443)
ENTRY = addresses.Address("10.0.0.1", 7735)
NOW = 100.0
TARGET_MICROSECONDS = 20.0


def make_table() -> routes.RouteTable:
    """Return one route."""
    address = routes.ServiceAddress(packet_peers.number_of(ADDRESS[0]), ADDRESS[1])
    route = routes.Route("board", address, (routes.Share(SERVICE, 1.0),))
    return routes.RouteTable(identifiers.Revision(1), {address: route})


def make_record(number: int) -> records.Record:
    """Return one agent."""
    endpoint = records.Endpoint(SERVICE, identifiers.HomeId(0), 2000)
    member = records.Member(
        identifiers.MemberId(number + 1),
        identifiers.NodeName(f"agent-{number}"),
        records.Role.AGENT,
        identifiers.ZoneName("a"),
        f"10.0.1.{number + 1}",
        7720,
        7735,
        8172,
        (endpoint,),
    )
    return records.Record(member, 1, records.Status.ALIVE)


def caller_of(number: int) -> tuple[str, int]:
    """Return the address of a caller."""
    return packet_peers.host_of(0x64400000 + number // 1000), 20_000 + number % 1000


def openings() -> list[bytes]:
    """Return the opening packets of all flows."""
    syn = packet_peers.SYN
    return [
        packet_peers.pack(caller_of(number), ADDRESS, syn, seq=5)
        for number in range(FLOWS)
    ]


def requests() -> list[bytes]:
    """Return one packet with data of each flow."""
    ack = packet_peers.ACK
    return [
        packet_peers.pack(caller_of(number), ADDRESS, ack, 6, 71, DATA)
        for number in range(FLOWS)
    ]


def answers(flags: int, data: bytes) -> list[bytes]:
    """Return one packet of the backend server on each flow."""
    return [
        packet_peers.pack(ADDRESS, caller_of(number), flags, 70, 6, data)
        for number in range(FLOWS)
    ]


def decode(datagram: bytes) -> packets.Packet:
    """Return a caller's packet."""
    packet = layout.decode_from_caller(datagram)
    assert packet is not None
    return packet


def measure_entry() -> tuple[float, float, float]:
    """Return microseconds for an opening packet and for a later one, bytes a flow."""
    flows = entry.EntryFlows(identifiers.ZoneName("a"), random.Random(1), 0.0)
    flows.update_routes(make_table(), 0.0)
    peers = {}
    for number in range(AGENTS):
        record = make_record(number)
        flows.update_member(record, 0.0)
        peers[record.member.tunnel_address] = record.member.control_address
    load = messages.Load(0, 0, 1, 0.01)
    first, later = openings(), requests()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    _open_all(flows, first, peers, load)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.process_time()
    for datagram in later:
        flows.handle_packet(decode(datagram), NOW)
    forwarding = time.process_time() - started
    flows = entry.EntryFlows(identifiers.ZoneName("a"), random.Random(1), 0.0)
    flows.update_routes(make_table(), 0.0)
    for number in range(AGENTS):
        flows.update_member(make_record(number), 0.0)
    started = time.process_time()
    _open_all(flows, first, peers, load)
    opening = time.process_time() - started
    return opening / FLOWS * 1e6, forwarding / FLOWS * 1e6, grown / FLOWS


def _open_all(
    flows: entry.EntryFlows,
    datagrams: list[bytes],
    peers: dict[addresses.Address, addresses.Address],
    load: messages.Load,
) -> None:
    for datagram in datagrams:
        packet = decode(datagram)
        (sent,) = flows.handle_packet(packet, NOW)
        accepted = messages.Accepted(packet.flow, 70, load)
        flows.handle_message(peers[sent.address], accepted, NOW)


def measure_agent() -> tuple[float, float, float]:
    """Return microseconds for each way of a packet, bytes a flow."""
    server = servers.Server(SERVICE, 1.2)
    flows = agent.AgentFlows(server, 0.0)
    flows.update_routes(make_table(), 0.0)
    flows.handle_announcement(
        servers.Announcement("s", 1, 1, SERVICE, FLOWS, False), NOW
    )
    first, later = openings(), requests()
    accepting = answers(packet_peers.SYN | packet_peers.ACK, b"")
    answering = answers(packet_peers.ACK, DATA)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for opening, accept in zip(first, accepting, strict=True):
        flows.handle_caller_packet(decode(opening), ENTRY, NOW)
        flows.handle_server_packet(_decode_from_server(accept), NOW)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.process_time()
    for datagram in later:
        flows.handle_caller_packet(decode(datagram), ENTRY, NOW)
    towards = time.process_time() - started
    started = time.process_time()
    for datagram in answering:
        flows.handle_server_packet(_decode_from_server(datagram), NOW)
    back = time.process_time() - started
    return towards / FLOWS * 1e6, back / FLOWS * 1e6, grown / FLOWS


def _decode_from_server(datagram: bytes) -> packets.Packet:
    packet = layout.decode_from_server(datagram)
    assert packet is not None
    return packet


def measure_message() -> float:
    """Return microseconds to encode and decode one message."""
    authenticator = messages.make_authenticator((keys.make_key(bytes(32)),))
    flow = decode(openings()[0]).flow
    message = messages.Accepted(flow, 70, messages.Load(1, 2, 1, 0.01))
    started = time.process_time()
    for _ in range(FLOWS):
        messages.decode(authenticator, messages.encode(authenticator, message))
    return (time.process_time() - started) / FLOWS * 1e6


def main() -> None:
    """Measure decisions with the codec, without the kernel's part."""
    opening, forwarding, entry_bytes = measure_entry()
    towards, back, agent_bytes = measure_agent()
    figure = results.Figure
    target = TARGET_MICROSECONDS
    results.report(
        "packets",
        [
            figure("entry: opening packet and acceptance", opening, "us"),
            figure("entry: later packet", forwarding, "us/packet", target),
            figure("entry: memory", entry_bytes, "bytes/flow"),
            figure("agent: packet to the server", towards, "us/packet", target),
            figure("agent: packet to the caller", back, "us/packet", target),
            figure("agent: memory", agent_bytes, "bytes/flow"),
            figure("message, both ends", measure_message(), "us"),
        ],
    )


if __name__ == "__main__":
    sys.exit(main())
