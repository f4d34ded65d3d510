"""Tests of packets and the ids of flows."""

from __future__ import annotations

import pytest

from cactushall_core.flows import packets
from tests.core.flows import builders

FLAGS = packets.Flags


def test_a_flow_id_is_shown_with_dotted_addresses():
    flow = packets.FlowId(0x0A000102, 4000, 0xC6120001, 443)
    assert str(flow) == "10.0.1.2:4000>198.18.0.1:443"


@pytest.mark.parametrize(
    ("flags", "is_opening"),
    [
        (FLAGS.SYN, True),
        (FLAGS.SYN | FLAGS.BOUNCED, True),
        (FLAGS.SYN | FLAGS.ACK, False),
        (FLAGS.ACK, False),
        (FLAGS.NONE, False),
    ],
)
def test_only_a_first_packet_opens_a_flow(flags, is_opening):
    assert builders.packet(flags).is_opening is is_opening
