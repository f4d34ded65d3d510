"""Tests of `cactushall explain`."""

from __future__ import annotations

import json

import click.testing
import pytest

from cactushall_client import __main__, exit_codes
from cactushall_client.commands import explain as explain_command
from cactushall_daemon import events

FLOW = "100.64.0.7:1040>198.18.0.1:443"


def log_line(second, node, event_id, text, **fields):
    """Return a log line in the format of the daemons."""
    stamp = f"2026-07-07T07:24:{second:09.6f}Z"
    standard_fields = {
        "event": text,
        "event_id": event_id,
        "timestamp": stamp,
        "node": node,
    }
    return json.dumps({"level": "info", "module": "m", **fields, **standard_fields})


@pytest.fixture
def explain(tmp_path):
    """Return a function that runs the command on one log file per list of lines."""

    def run(flow, *files):
        paths = []
        for number, lines in enumerate(files):
            path = tmp_path / f"{number}.log"
            path.write_text("\n".join(lines))
            paths.append(str(path))
        runner = click.testing.CliRunner()
        return runner.invoke(__main__.cli, ["explain", flow, *paths])

    return run


def test_lines_of_all_files_are_merged_by_timestamp(explain):
    agent = [
        log_line(2.0, "side-1", 2104, "new flow declined", flow=FLOW, why="full"),
        log_line(
            1.0, "side-1", 2201, "backend server changed its state", state="ready"
        ),
    ]
    entry = [
        "  36.2 front-1 "
        + log_line(
            1.9, "front-1", 2102, "new flow placed", flow=FLOW, agent="10.0.0.2"
        ),
        log_line(2.2, "front-1", 2101, "flow reset", flow=FLOW, why="no-capacity"),
        log_line(2.3, "front-1", 1301, "service configuration adopted", revision=9),
        "a line of something else {",
        log_line(1.5, "front-2", 1301, "service configuration adopted", revision=8),
    ]
    result = explain(FLOW, agent, entry)
    assert result.exit_code == 0
    texts = result.output.splitlines()
    order = [text.partition(": ")[2] for text in texts[1:4]]
    assert order[0].startswith("new flow placed agent=10.0.0.2")
    assert order[1].startswith("new flow declined why=full")
    assert order[2].startswith("flow reset why=no-capacity")
    assert "ended: front-1 reset it, no-capacity" in result.output
    assert "backend server changed its state state=ready" in result.output
    assert "revision=9" not in result.output
    assert "revision=8" not in result.output


def test_each_flow_of_a_caller_is_explained(explain):
    other = FLOW.replace("1040", "1041")
    lines = [
        log_line(1.0, "front-1", 2102, "new flow placed", flow=FLOW, agent="10.0.0.2"),
        log_line(2.0, "front-1", 2102, "new flow placed", flow=other, agent="10.0.0.3"),
    ]
    result = explain("100.64.0.7:", lines)
    assert f"flow {FLOW}" in result.output
    assert f"flow {other}" in result.output
    assert "log ends: 10.0.0.3 has not answered" in result.output


def test_outcome_of_a_lookup_is_described(explain):
    started = log_line(
        1.0, "front-1", 2107, "flow lookup started", flow=FLOW, asked=64, known=70
    )
    found = log_line(
        1.1, "front-1", 2108, "flow owner found", flow=FLOW, owner="10.0.0.2"
    )
    result = explain(FLOW, [started])
    assert "log ends: owner not found yet, 64 of 70 known agents asked" in result.output
    result = explain(FLOW, [started, found])
    assert "open: held beside 10.0.0.2" in result.output


def test_flow_without_log_lines_is_an_error(explain):
    result = explain("100.64.9.9", [log_line(1.0, "front-1", 1001, "process started")])
    assert result.exit_code == exit_codes.ExitCode.FAILURE
    assert "no log line is about 100.64.9.9" in result.output


def test_unreadable_file_is_an_error():
    runner = click.testing.CliRunner()
    result = runner.invoke(__main__.cli, ["explain", FLOW, "nowhere.log"])
    assert result.exit_code == exit_codes.ExitCode.FAILURE
    assert "cannot read nowhere.log" in result.output


def test_event_numbers_match_those_of_the_daemons():
    numbers = {event.name: event.number for event in events.Event}
    constants = {
        k: v for k, v in vars(explain_command).items() if k.startswith("FLOW_")
    }
    assert constants
    assert constants.items() <= numbers.items()
    assert set(numbers.values()) >= explain_command.CONTEXT_EVENTS
