"""Measures an entry's and an agent's processor time per packet and memory per flow.

python -m bench.packets
"""

from __future__ import annotations

import collections
import random
import sys
import time
import tracemalloc

from bench import results
from cactushall_core import addresses, identifiers, keys
from cactushall_core.flows import (
    actions,
    agent,
    entry,
    messages,
    packets,
    routes,
    servers,
)
from cactushall_core.membership import records
from cactushall_platform import packets as packet_codec
from tests.standins import packet_peers

FLOW_COUNT = 20_000
REPORTING_AGENT_COUNT = 48
QUEUED_FLOW_COUNT = 20
REPORT_COUNT = 100
AGENT_COUNT = 9
MANY_AGENTS = 48
QUEUED_FLOWS = 20
QUEUE_ROUNDS = 400
LOADED_OPENINGS = 4000
SERVICE_SECONDS = 0.034
PAYLOAD = b"x" * 1000
SERVICE = identifiers.ServiceName("board")
SERVICE_ADDRESS = ("198.18.0.1", 8443)
ENTRY_ADDRESS = addresses.Address("10.0.0.1", 7735)
SERVER_ADDRESS = addresses.Address("10.0.1.1", 8165)
HEARTBEAT_SECONDS = 1.2
NOW = 100.0
TARGET_MICROSECONDS = 20.0
ENTRY_BUDGET_MICROSECONDS = 40.0
AGENT_BUDGET_MICROSECONDS = 80.0


def make_table() -> routes.RouteTable:
    """Return a route table with one route."""
    address = routes.ServiceAddress(
        packet_peers.address_to_number(SERVICE_ADDRESS[0]), SERVICE_ADDRESS[1]
    )
    route = routes.Route("board", address, (routes.Share(SERVICE, 1.0),))
    return routes.RouteTable(identifiers.Revision(1), {address: route})


def make_record(number: int) -> records.Record:
    """Return the record of an agent with one endpoint."""
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


def caller_address(number: int) -> tuple[str, int]:
    """Return the address from which a caller opens a flow."""
    return (
        packet_peers.number_to_address(0x64400000 + number // 1000),
        20_000 + number % 1000,
    )


def make_opening_packets() -> list[bytes]:
    """Return the opening packets of all flows."""
    syn = packet_peers.SYN
    return [
        packet_peers.encode_packet(caller_address(number), SERVICE_ADDRESS, syn, seq=5)
        for number in range(FLOW_COUNT)
    ]


def make_request_packets() -> list[bytes]:
    """Return one caller's packet with data for each flow."""
    ack = packet_peers.ACK
    return [
        packet_peers.encode_packet(
            caller_address(number), SERVICE_ADDRESS, ack, 6, 71, PAYLOAD
        )
        for number in range(FLOW_COUNT)
    ]


def make_server_packets(flags: int, data: bytes) -> list[bytes]:
    """Return one packet of the backend server for each flow.

    Args:
        flags: TCP flags of the packets.
        data: Payload of the packets.
    """
    return [
        packet_peers.encode_packet(
            SERVICE_ADDRESS, caller_address(number), flags, 70, 6, data
        )
        for number in range(FLOW_COUNT)
    ]


def decode_from_caller(datagram: bytes) -> packets.Packet:
    """Return the decoded packet of a caller."""
    packet = packet_codec.decode_from_caller(datagram)
    assert packet is not None
    return packet


def measure_entry() -> tuple[float, float, float]:
    """Measure the flows of an entry.

    Returns:
        Microseconds per opening packet with its acceptance, microseconds per later
        packet, and bytes per flow.
    """
    flows = entry.EntryFlows(identifiers.ZoneName("a"), random.Random(1), 0.0)
    flows.update_routes(make_table(), 0.0)
    control_addresses = {}
    for number in range(AGENT_COUNT):
        record = make_record(number)
        flows.update_member(record, 0.0)
        control_addresses[record.member.tunnel_address] = record.member.control_address
    load = messages.Load(0, 0, 1, 0.01)
    opening_packets, later_packets = make_opening_packets(), make_request_packets()
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    _open_flows(flows, opening_packets, control_addresses, load)
    memory_growth = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    started_at = time.process_time()
    for datagram in later_packets:
        flows.handle_packet(decode_from_caller(datagram), NOW)
    forwarding_seconds = time.process_time() - started_at
    flows = entry.EntryFlows(identifiers.ZoneName("a"), random.Random(1), 0.0)
    flows.update_routes(make_table(), 0.0)
    for number in range(AGENT_COUNT):
        flows.update_member(make_record(number), 0.0)
    started_at = time.process_time()
    _open_flows(flows, opening_packets, control_addresses, load)
    opening_seconds = time.process_time() - started_at
    return (
        opening_seconds / FLOW_COUNT * 1e6,
        forwarding_seconds / FLOW_COUNT * 1e6,
        memory_growth / FLOW_COUNT,
    )


def _open_flows(
    flows: entry.EntryFlows,
    datagrams: list[bytes],
    control_addresses: dict[addresses.Address, addresses.Address],
    load: messages.Load,
) -> None:
    for datagram in datagrams:
        packet = decode_from_caller(datagram)
        (forwarded,) = flows.handle_packet(packet, NOW)
        accepted = messages.Accepted(packet.flow, 70, load)
        flows.handle_message(control_addresses[forwarded.address], accepted, NOW)


def _make_loaded_entry(
    load: messages.Load,
) -> tuple[entry.EntryFlows, list[addresses.Address]]:
    """Return an entry with many agents that report a load, and their addresses."""
    flows = entry.EntryFlows(identifiers.ZoneName("a"), random.Random(1), 0.0)
    flows.update_routes(make_table(), 0.0)
    senders = []
    for number in range(MANY_AGENTS):
        record = make_record(number)
        flows.update_member(record, 0.0)
        senders.append(record.member.control_address)
        flows.handle_message(senders[-1], messages.LoadReport(load), NOW)
    return flows, senders


def measure_loaded_opening() -> float:
    """Return microseconds per opening packet that is placed among many agents.

    Each is accepted 10 ms later, so that agents have unacknowledged flows meanwhile.
    """
    flows, _ = _make_loaded_entry(messages.Load(5, 1, 1, SERVICE_SECONDS))
    control_addresses = {}
    for number in range(MANY_AGENTS):
        member = make_record(number).member
        control_addresses[member.tunnel_address] = member.control_address
    placed: collections.deque[tuple[addresses.Address, packets.FlowId]]
    placed = collections.deque()
    load = messages.Load(5, 1, 1, SERVICE_SECONDS)
    datagrams = make_opening_packets()[:LOADED_OPENINGS]
    seconds = 0.0
    for number, datagram in enumerate(datagrams):
        now = NOW + number * 0.001
        started_at = time.process_time()
        packet = decode_from_caller(datagram)
        decided = flows.handle_packet(packet, now)
        seconds += time.process_time() - started_at
        for forwarded in decided:
            assert isinstance(forwarded, actions.Forward)
            placed.append((forwarded.address, packet.flow))
        if len(placed) > 10:
            address, flow_id = placed.popleft()
            accepted = messages.Accepted(flow_id, 70, load)
            flows.handle_message(control_addresses[address], accepted, now)
    return seconds / LOADED_OPENINGS * 1e6


def measure_load_message() -> float:
    """Return microseconds per load message of a busy agent while flows are queued."""
    busy = messages.Load(20, 6, 1, SERVICE_SECONDS)
    flows, senders = _make_loaded_entry(busy)
    for datagram in make_opening_packets()[:QUEUED_FLOWS]:
        flows.handle_packet(decode_from_caller(datagram), NOW)
    assert flows.flow_count == QUEUED_FLOWS
    started_at = time.process_time()
    for number in range(QUEUE_ROUNDS):
        sender = senders[number % MANY_AGENTS]
        flows.handle_message(sender, messages.LoadReport(busy), NOW)
    return (time.process_time() - started_at) / QUEUE_ROUNDS * 1e6


def _make_agent() -> agent.AgentFlows:
    """Return an agent whose backend server takes all flows."""
    server = servers.Server(SERVICE, SERVER_ADDRESS, HEARTBEAT_SECONDS)
    flows = agent.AgentFlows(server, 0.0)
    flows.update_routes(make_table(), 0.0)
    announcement = servers.Announcement(
        "s", 1, 1, SERVICE, SERVER_ADDRESS, FLOW_COUNT, is_draining=False
    )
    flows.handle_announcement(announcement, NOW)
    return flows


def measure_agent_opening() -> float:
    """Return microseconds per opening packet at an agent, with its server's answer."""
    flows = _make_agent()
    openings = make_opening_packets()
    answers = make_server_packets(packet_peers.SYN | packet_peers.ACK, b"")
    started_at = time.process_time()
    for opening, answer in zip(openings, answers, strict=True):
        flows.handle_caller_packet(decode_from_caller(opening), ENTRY_ADDRESS, NOW)
        flows.handle_server_packet(_decode_from_server(answer), NOW)
    return (time.process_time() - started_at) / FLOW_COUNT * 1e6


def measure_agent() -> tuple[float, float, float]:
    """Measure the flows of an agent.

    Returns:
        Microseconds per packet to the server, microseconds per packet to the caller,
        and bytes per flow.
    """
    flows = _make_agent()
    opening_packets, later_packets = make_opening_packets(), make_request_packets()
    accept_packets = make_server_packets(packet_peers.SYN | packet_peers.ACK, b"")
    response_packets = make_server_packets(packet_peers.ACK, PAYLOAD)
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    for opening, accept in zip(opening_packets, accept_packets, strict=True):
        flows.handle_caller_packet(decode_from_caller(opening), ENTRY_ADDRESS, NOW)
        flows.handle_server_packet(_decode_from_server(accept), NOW)
    memory_growth = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    started_at = time.process_time()
    for datagram in later_packets:
        flows.handle_caller_packet(decode_from_caller(datagram), ENTRY_ADDRESS, NOW)
    to_server_seconds = time.process_time() - started_at
    started_at = time.process_time()
    for datagram in response_packets:
        flows.handle_server_packet(_decode_from_server(datagram), NOW)
    to_caller_seconds = time.process_time() - started_at
    return (
        to_server_seconds / FLOW_COUNT * 1e6,
        to_caller_seconds / FLOW_COUNT * 1e6,
        memory_growth / FLOW_COUNT,
    )


def measure_load_report() -> float:
    """Return microseconds of an entry per load report while flows are queued.

    No agent has capacity; the reports come 1 ms apart.
    """
    flows = entry.EntryFlows(identifiers.ZoneName("a"), random.Random(1), 0.0)
    flows.update_routes(make_table(), 0.0)
    reporters = [make_record(number) for number in range(REPORTING_AGENT_COUNT)]
    report = messages.LoadReport(messages.Load(20, 20, 1, 0.02))
    for record in reporters:
        flows.update_member(record, 0.0)
        flows.handle_message(record.member.control_address, report, NOW)
    for datagram in make_opening_packets()[:QUEUED_FLOW_COUNT]:
        flows.handle_packet(decode_from_caller(datagram), NOW)
    started_at = time.process_time()
    for index in range(REPORT_COUNT):
        address = reporters[index % len(reporters)].member.control_address
        flows.handle_message(address, report, NOW + index * 0.001)
    return (time.process_time() - started_at) / REPORT_COUNT * 1e6


def _decode_from_server(datagram: bytes) -> packets.Packet:
    packet = packet_codec.decode_from_server(datagram)
    assert packet is not None
    return packet


def measure_message() -> float:
    """Return microseconds to encode and decode one message."""
    authenticator = messages.make_authenticator((keys.make_key(bytes(32)),))
    flow = decode_from_caller(make_opening_packets()[0]).flow
    message = messages.Accepted(flow, 70, messages.Load(1, 2, 1, 0.01))
    started_at = time.process_time()
    for _ in range(FLOW_COUNT):
        messages.decode(authenticator, messages.encode(authenticator, message))
    return (time.process_time() - started_at) / FLOW_COUNT * 1e6


def main() -> None:
    """Measure decisions and the codec, without the kernel's work on packets."""
    opening_us, forwarding_us, entry_bytes = measure_entry()
    to_server_us, to_caller_us, agent_bytes = measure_agent()
    figure = results.Figure
    target = TARGET_MICROSECONDS
    results.report(
        "packets",
        [
            figure("entry: opening packet and acceptance", opening_us, "us"),
            figure("entry: later packet", forwarding_us, "us/packet", target),
            figure(
                "entry: opening packet among 48 agents",
                measure_loaded_opening(),
                "us",
                ENTRY_BUDGET_MICROSECONDS,
            ),
            figure(
                "entry: load message while 20 flows are queued",
                measure_load_message(),
                "us",
                ENTRY_BUDGET_MICROSECONDS,
            ),
            figure("entry: memory", entry_bytes, "bytes/flow"),
            figure("entry: load report, flows queued", measure_load_report(), "us"),
            figure("agent: packet to the server", to_server_us, "us/packet", target),
            figure("agent: packet to the caller", to_caller_us, "us/packet", target),
            figure(
                "agent: opening packet and its answer",
                measure_agent_opening(),
                "us",
                AGENT_BUDGET_MICROSECONDS,
            ),
            figure("agent: memory", agent_bytes, "bytes/flow"),
            figure("message, both ends", measure_message(), "us"),
        ],
    )


if __name__ == "__main__":
    sys.exit(main())
