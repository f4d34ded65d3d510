"""Tests of the counts of messages by kind."""

from __future__ import annotations

import typing

from cactushall_core import traffic
from cactushall_core.flows import messages as flow_messages
from cactushall_core.membership import messages as membership_messages

SENT = traffic.Direction.SENT
RECEIVED = traffic.Direction.RECEIVED


def test_interval_has_only_what_was_added_since_the_last_reading():
    """Guards against totals in a line that should show one interval."""
    counts = traffic.Traffic()
    counts.add(SENT, traffic.Kind.GOSSIP, 100)
    interval = traffic.IntervalBytes(counts)

    counts.add(SENT, traffic.Kind.GOSSIP, 30)
    counts.add(RECEIVED, traffic.Kind.ANSWERS, 7)

    assert interval.take() == {SENT: {"gossip": 30}, RECEIVED: {"answers": 7}}
    assert interval.take() == {SENT: {}, RECEIVED: {}}


def test_each_message_has_a_kind():
    """Guards against a message that fails when it is counted."""
    assert set(typing.get_args(flow_messages.Message)) == set(flow_messages.KINDS)
    assert set(typing.get_args(membership_messages.Body)) == set(
        membership_messages.KINDS
    )
