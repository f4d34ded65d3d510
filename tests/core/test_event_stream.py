"""Tests of event streams."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from cactushall_core import event_stream

EVENTS = [b"id: 1\ndata: a\n\n", b"data: no id\n\n", b"id: 2\r\ndata: b\r\n\r\n"]


def pass_on(splitter, data):
    whole = b""
    for event, event_id in splitter.split(data):
        whole += event
        splitter.note_passed_on(event_id)
    return whole


@hypothesis.given(strategies.lists(strategies.integers(1, 20), max_size=20))
def test_events_pass_whole_however_they_are_cut(sizes):
    data = b"".join(EVENTS)
    splitter = event_stream.EventSplitter()
    passed = b""
    position = 0
    for size in [*sizes, len(data)]:
        passed += pass_on(splitter, data[position : position + size])
        position += size
        assert data.startswith(passed)
        assert passed == b"" or passed.endswith((b"\n\n", b"\r\n\r\n"))
    assert passed == data
    assert splitter.last_event_id == b"2"


def test_position_starts_where_it_is_told():
    splitter = event_stream.EventSplitter(b"7")
    assert pass_on(splitter, b"data: partial\n") == b""
    assert splitter.last_event_id == b"7"


def test_overlong_event_is_noticed():
    splitter = event_stream.EventSplitter()
    splitter.split(b"x" * (event_stream.MAX_EVENT_BYTES + 1))
    assert splitter.is_overlong
