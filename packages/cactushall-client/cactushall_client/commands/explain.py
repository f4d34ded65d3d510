"""`cactushall explain`: shows what all processes decided about one flow.

The numbers of events are those of `cactushall_daemon.events`.
"""

from __future__ import annotations

import collections.abc
import json
import pathlib
import typing

import click

from cactushall_core import exceptions

OMITTED_FIELDS = {"event", "event_id", "timestamp", "node", "flow", "level", "module"}
FLOW_RESET = 2101
FLOW_PLACED = 2102
FLOW_ACCEPTED = 2103
FLOW_DECLINED = 2104
FLOW_RESET_BY_SERVER = 2106
FLOW_LOOKUP_STARTED = 2107
FLOW_OWNER_FOUND = 2108
# Starts and stops of processes; changes of members, store, configuration and backend
# servers.
CONTEXT_EVENTS = {1001, 1002, 1003, 1008, 1101, 1201, 1202, 1301, 1302, 2201, 2202}
MAX_CONTEXT_LINES = 12

LogLine = dict[str, typing.Any]


class LogError(exceptions.CactushallError):
    """Log files cannot be read or contain no line about a flow."""


def main(flow: str, paths: collections.abc.Sequence[pathlib.Path]) -> None:
    """Print the decisions about a flow and the state changes that preceded them.

    Args:
        flow: The flow as written in logs, ``caller:port>address:port``, or a prefix
            of it, which selects all matching flows.
        paths: Log files of any processes.

    Raises:
        LogError: A file cannot be read, or no line is about the flow.
    """
    lines = sorted(_read_log_lines(paths), key=lambda line: str(line.get("timestamp")))
    flow_lines = [line for line in lines if str(line.get("flow", "")).startswith(flow)]
    if not flow_lines:
        raise LogError(f"no log line is about {flow}; busy processes omit some lines")
    for name in dict.fromkeys(str(line["flow"]) for line in flow_lines):
        _explain_flow(
            name, [line for line in flow_lines if line["flow"] == name], lines
        )


def _explain_flow(flow: str, flow_lines: list[LogLine], lines: list[LogLine]) -> None:
    click.echo(f"flow {flow}")
    for line in flow_lines:
        click.echo(f"  {_format_line(line)}")
    click.echo(f"  {_describe_outcome(flow_lines)}")
    nodes = {line.get("node") for line in flow_lines}
    context = [
        line
        for line in lines
        if line.get("event_id") in CONTEXT_EVENTS
        and line.get("node") in nodes
        and str(line.get("timestamp")) <= str(flow_lines[-1].get("timestamp"))
    ]
    click.echo(f"  earlier events on {', '.join(sorted(map(str, nodes)))}:")
    for line in context[-MAX_CONTEXT_LINES:]:
        click.echo(f"    {_format_line(line)}")
    if not context:
        click.echo("    none logged")


def _format_line(line: LogLine) -> str:
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in OMITTED_FIELDS)
    time = str(line.get("timestamp", "?")).partition("T")[2].rstrip("Z")
    return f"{time} {line.get('node', '?')}: {line.get('event', '?')} {fields}".rstrip()


def _describe_outcome(flow_lines: list[LogLine]) -> str:
    """Describe the flow's state after its last log line."""
    last = flow_lines[-1]
    event_id = last.get("event_id")
    if event_id == FLOW_RESET:
        return f"ended: {last.get('node')} reset it, {last.get('why')}"
    if event_id == FLOW_RESET_BY_SERVER:
        return f"ended: its backend server beside {last.get('node')} reset it"
    if event_id == FLOW_PLACED:
        return f"log ends: {last.get('agent')} has not answered the opening packet"
    if event_id == FLOW_DECLINED:
        return "log ends: declined, and not placed on another agent"
    if event_id == FLOW_ACCEPTED:
        return "open: accepted by a backend server; later packets are not logged"
    if event_id == FLOW_LOOKUP_STARTED:
        asked, known = last.get("asked"), last.get("known")
        return f"log ends: owner not found yet, {asked} of {known} known agents asked"
    if event_id == FLOW_OWNER_FOUND:
        return f"open: held beside {last.get('owner')}; later packets are not logged"
    return "log ends"


def _read_log_lines(
    paths: collections.abc.Sequence[pathlib.Path],
) -> collections.abc.Iterator[LogLine]:
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            raise LogError(f"cannot read {path}: {error.strerror}") from error
        yield from filter(None, map(_parse_line, text.splitlines()))


def _parse_line(text: str) -> LogLine | None:
    """Parse a log line after any prefix that a log collector has added.

    Returns:
        The log line, or None if the text contains none.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        parsed = json.loads(text[start:])
    except ValueError:
        return None
    return parsed if isinstance(parsed, dict) else None
