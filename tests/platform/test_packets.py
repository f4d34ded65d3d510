"""Tests of the packet layout."""

from __future__ import annotations

import ipaddress
import struct

import hypothesis
from hypothesis import strategies

from cactushall_core.flows import packets
from cactushall_platform import packets as layout

SYN = bytes.fromhex(
    "44332211 00000000 00000000 d5c3b2a1 02 00 0000 bb01 010012c6 419c 07004064"
)
RESET = bytes.fromhex(
    "00000000 00000000 00000000 00000000 80 00 0000 419c 07004064 bb01 010012c6"
)
FLOW = packets.FlowId(
    int(ipaddress.IPv4Address("100.64.0.7")),
    40001,
    int(ipaddress.IPv4Address("198.18.0.1")),
    443,
)
NUMBERS = strategies.integers(0, 2**32 - 1)
PORTS = strategies.integers(0, 2**16 - 1)
FLOWS = strategies.builds(packets.FlowId, NUMBERS, PORTS, NUMBERS, PORTS)


def test_the_documented_opening_packet_is_decoded():
    packet = layout.decode_from_caller(SYN)
    assert packet == packets.Packet(FLOW, packets.Flags.SYN, 0x11223344, 0, 0, SYN)
    assert packet.is_opening
    assert str(FLOW) == "100.64.0.7:40001>198.18.0.1:443"


def test_the_documented_reset_is_encoded():
    assert layout.encode_reset(FLOW, 0) == RESET


@hypothesis.given(FLOWS, NUMBERS)
def test_an_encoded_reset_decodes_as_a_packet_of_the_backend_server(flow, sequence):
    packet = layout.decode_from_server(layout.encode_reset(flow, sequence))
    assert packet.flow == flow
    assert packet.sequence == sequence
    assert packet.flags == packets.Flags.RST


def test_both_directions_and_bounced_packets_have_the_same_flow():
    bounced = bytearray(SYN)
    bounced[16] |= 32
    assert layout.decode_from_server(bytes(bounced)).flow == FLOW
    assert layout.decode_from_server(bytes(bounced)).is_bounced
    answer = bytearray(RESET)
    answer[16] = 2 | 64
    assert layout.decode_from_server(bytes(answer)).flow == FLOW


@hypothesis.given(strategies.binary(max_size=1300))
def test_any_bytes_are_decoded_or_refused(datagram):
    packet = layout.decode_from_caller(datagram)
    if packet is not None:
        assert packet.datagram == datagram
        assert packet.length == len(datagram) - layout.HEADER_BYTES


def test_a_wrong_length_is_refused():
    assert layout.decode_from_caller(SYN + b"x") is None
    assert layout.decode_from_caller(SYN[:-1]) is None
    longer = bytearray(SYN + b"x")
    struct.pack_into("<H", longer, 18, 1)
    assert layout.decode_from_caller(bytes(longer)).length == 1
