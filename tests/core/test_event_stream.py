"""Tests of splitting event streams."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from cactushall_core import event_stream

EVENTS = [b"id: 1\ndata: a\n\n", b"data: no id\n\n", b"id: 2\r\ndata: b\r\n\r\n"]


def forward(splitter, data):
    complete = b""
    for event, event_id in splitter.split(data):
        complete += event
        splitter.mark_forwarded(event_id)
    return complete


@hypothesis.given(strategies.lists(strategies.integers(1, 20), max_size=20))
def test_only_complete_events_are_returned_however_the_data_is_cut(sizes):
    data = b"".join(EVENTS)
    splitter = event_stream.EventSplitter()
    forwarded = b""
    position = 0
    for size in [*sizes, len(data)]:
        forwarded += forward(splitter, data[position : position + size])
        position += size
        assert data.startswith(forwarded)
        assert forwarded == b"" or forwarded.endswith((b"\n\n", b"\r\n\r\n"))
    assert forwarded == data
    assert splitter.last_event_id == b"2"


def test_last_event_id_starts_at_the_given_one():
    splitter = event_stream.EventSplitter(b"7")
    assert forward(splitter, b"data: partial\n") == b""
    assert splitter.last_event_id == b"7"


def test_overlong_event_is_detected():
    splitter = event_stream.EventSplitter()
    splitter.split(b"x" * (event_stream.MAX_EVENT_BYTES + 1))
    assert splitter.is_overlong
