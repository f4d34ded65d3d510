"""`cactushall explain`: what all processes decided about one flow."""

from __future__ import annotations

import collections.abc
import json
import pathlib
import typing

import click

from cactushall_core import exceptions

HIDDEN = {"event", "event_id", "timestamp", "node", "flow", "level", "module"}
FLOW_RESET = 2101
FLOW_PLACED = 2102
FLOW_ACCEPTED = 2103
FLOW_DECLINED = 2104
FLOW_RESET_BY_SERVER = 2106
# Starts, stops, members, store, configuration, backend servers.
CHANGES = {1001, 1002, 1003, 1008, 1101, 1201, 1202, 1301, 1302, 2201, 2202}
MAX_CHANGES = 12

Line = dict[str, typing.Any]


class LogError(exceptions.CactushallError):
    """Logs cannot be read, or say nothing of a flow."""


def main(flow: str, paths: collections.abc.Sequence[pathlib.Path]) -> None:
    """Print the decisions about a flow in their order and the beliefs behind them.

    Args:
        flow: The flow as logs name it, ``caller:port>address:port``, or a part of it
            from the start.
        paths: Log files of any processes.

    Raises:
        LogError: A file cannot be read, or no line is about the flow.
    """
    lines = sorted(_read_all(paths), key=lambda line: str(line.get("timestamp")))
    about = [line for line in lines if str(line.get("flow", "")).startswith(flow)]
    if not about:
        raise LogError(f"no line is about {flow}; lines of a busy second are left out")
    for name in dict.fromkeys(str(line["flow"]) for line in about):
        _explain(name, [line for line in about if line["flow"] == name], lines)


def _explain(flow: str, about: list[Line], lines: list[Line]) -> None:
    click.echo(f"flow {flow}")
    for line in about:
        click.echo(f"  {_describe(line)}")
    click.echo(f"  {_end_of(about)}")
    deciders = {line.get("node") for line in about}
    changes = [
        line
        for line in lines
        if line.get("event_id") in CHANGES
        and line.get("node") in deciders
        and str(line.get("timestamp")) <= str(about[-1].get("timestamp"))
    ]
    click.echo(f"  beliefs of {', '.join(sorted(map(str, deciders)))} until then:")
    for line in changes[-MAX_CHANGES:]:
        click.echo(f"    {_describe(line)}")
    if not changes:
        click.echo("    none logged")


def _describe(line: Line) -> str:
    facts = " ".join(f"{k}={v}" for k, v in line.items() if k not in HIDDEN)
    time = str(line.get("timestamp", "?")).partition("T")[2].rstrip("Z")
    return f"{time} {line.get('node', '?')}: {line.get('event', '?')} {facts}".rstrip()


def _end_of(about: list[Line]) -> str:
    """Say where the trail ends."""
    last = about[-1]
    number = last.get("event_id")
    if number == FLOW_RESET:
        return f"ended: {last.get('node')} reset it, {last.get('why')}"
    if number == FLOW_RESET_BY_SERVER:
        return f"ended: its backend server beside {last.get('node')} reset it"
    if number == FLOW_PLACED:
        return f"trail ends: {last.get('agent')} has not answered the opening packet"
    if number == FLOW_DECLINED:
        return "trail ends: declined, and placed nowhere else"
    if number == FLOW_ACCEPTED:
        return "open: a backend server has it; later packets are not logged"
    return "trail ends here"


def _read_all(
    paths: collections.abc.Sequence[pathlib.Path],
) -> collections.abc.Iterator[Line]:
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            raise LogError(f"cannot read {path}: {error.strerror}") from error
        yield from filter(None, map(_parse, text.splitlines()))


def _parse(text: str) -> Line | None:
    """Return the log line in a line of a file, whatever a collector put before it."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        found = json.loads(text[start:])
    except ValueError:
        return None
    return found if isinstance(found, dict) else None
