"""Tests of the rate limit of log events and of a reader that falls behind."""

from __future__ import annotations

import json
import os
import pathlib

import pytest
import structlog

from cactushall_daemon import events, logs


def test_lines_of_one_event_are_limited_and_dropped_lines_counted():
    now = [0.0]
    limit = logs.RateLimit(lambda: now[0])
    written = 0
    for _ in range(10 * int(logs.BURST_LINES)):
        try:
            limit(None, "info", {"event": events.Event.FLOW_PLACED})
            written += 1
        except structlog.DropEvent:
            continue
    assert written == logs.BURST_LINES
    assert limit(None, "info", {"event": events.Event.STARTED})
    now[0] += 1 / logs.LINES_PER_SECOND
    line = limit(None, "info", {"event": events.Event.FLOW_PLACED})
    assert line["left_out"] == 9 * logs.BURST_LINES


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_lines_are_dropped_and_counted_while_the_pipe_is_full(pipe):
    reading, writing = pipe
    writer = logs.LineWriter(writing)
    line = json.dumps({"text": "x" * 1000})
    for _ in range(1000):
        writer.msg(line)
    received = os.read(reading, 1 << 20).count(b"\n")
    assert 0 < received < 1000
    writer.msg(line)
    latest = json.loads(os.read(reading, 1 << 20))
    assert latest["dropped_lines"] == 1000 - received


def test_a_reader_that_is_gone_costs_lines_only():
    """Guards against a log line that ends the task which writes it."""
    reading, writing = os.pipe()
    writer = logs.LineWriter(writing)
    os.close(reading)
    writer.msg("{}")
    writer.msg("{}")
    assert writer._dropped == 2
    os.close(writing)


def test_lines_of_a_failed_disk_are_dropped():
    with pathlib.Path("/dev/full").open("wb", buffering=0) as full:
        writer = logs.LineWriter(full.fileno())
        writer.msg("{}")
    assert writer._dropped == 1
