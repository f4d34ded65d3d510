"""Tests of the explanation of a flow from logs."""

from __future__ import annotations

import json

import click.testing
import pytest

from cactushall_client import __main__, exit_codes
from cactushall_client.commands import explain as explain_command
from cactushall_daemon import events

FLOW = "100.64.0.7:1040>198.18.0.1:443"


def line(second, node, number, text, **facts):
    """Return a log line as a daemon writes it."""
    stamp = f"2026-07-07T07:24:{second:09.6f}Z"
    known = {"event": text, "event_id": number, "timestamp": stamp, "node": node}
    return json.dumps({"level": "info", "module": "m", **facts, **known})


@pytest.fixture
def explain(tmp_path):
    """Return a function that explains a flow from files with some lines each."""

    def run(flow, *files):
        paths = []
        for number, lines in enumerate(files):
            path = tmp_path / f"{number}.log"
            path.write_text("\n".join(lines))
            paths.append(str(path))
        runner = click.testing.CliRunner()
        return runner.invoke(__main__.cli, ["explain", flow, *paths])

    return run


def test_lines_of_all_files_are_joined_in_their_order(explain):
    agent = [
        line(2.0, "side-1", 2104, "new flow declined", flow=FLOW, why="full"),
        line(1.0, "side-1", 2201, "backend server changed its state", state="ready"),
    ]
    entry = [
        "  36.2 front-1 "
        + line(1.9, "front-1", 2102, "new flow placed", flow=FLOW, agent="10.0.0.2"),
        line(2.2, "front-1", 2101, "flow reset", flow=FLOW, why="no-capacity"),
        line(2.3, "front-1", 1301, "service configuration adopted", revision=9),
        "a line of something else {",
        line(1.5, "front-2", 1301, "service configuration adopted", revision=8),
    ]
    found = explain(FLOW, agent, entry)
    assert found.exit_code == 0
    texts = found.output.splitlines()
    order = [text.partition(": ")[2] for text in texts[1:4]]
    assert order[0].startswith("new flow placed agent=10.0.0.2")
    assert order[1].startswith("new flow declined why=full")
    assert order[2].startswith("flow reset why=no-capacity")
    assert "ended: front-1 reset it, no-capacity" in found.output
    assert "backend server changed its state state=ready" in found.output
    assert "revision=9" not in found.output
    assert "revision=8" not in found.output


def test_each_flow_of_a_caller_is_explained(explain):
    other = FLOW.replace("1040", "1041")
    lines = [
        line(1.0, "front-1", 2102, "new flow placed", flow=FLOW, agent="10.0.0.2"),
        line(2.0, "front-1", 2102, "new flow placed", flow=other, agent="10.0.0.3"),
    ]
    found = explain("100.64.0.7:", lines)
    assert f"flow {FLOW}" in found.output
    assert f"flow {other}" in found.output
    assert "trail ends: 10.0.0.3 has not answered" in found.output


def test_a_flow_that_nobody_has_logged_is_said_so(explain):
    found = explain("100.64.9.9", [line(1.0, "front-1", 1001, "process started")])
    assert found.exit_code == exit_codes.ExitCode.FAILURE
    assert "no line is about 100.64.9.9" in found.output


def test_a_file_that_cannot_be_read_is_said_so():
    runner = click.testing.CliRunner()
    found = runner.invoke(__main__.cli, ["explain", FLOW, "nowhere.log"])
    assert found.exit_code == exit_codes.ExitCode.FAILURE
    assert "cannot read nowhere.log" in found.output


def test_its_numbers_are_those_of_the_catalogue():
    numbers = {event.name: event.number for event in events.Event}
    named = {k: v for k, v in vars(explain_command).items() if k.startswith("FLOW_")}
    assert named
    assert named.items() <= numbers.items()
    assert set(numbers.values()) >= explain_command.CHANGES
