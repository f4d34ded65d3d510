"""Tests that the documented log events match the code."""

from __future__ import annotations

import pathlib
import re

from cactushall_daemon import events

CATALOGUE = pathlib.Path(__file__).parents[2] / "docs" / "user" / "log-events.md"


def test_numbers_are_unique():
    numbers = [event.number for event in events.Event]
    assert len(set(numbers)) == len(numbers)


def test_catalogue_lists_every_event_and_no_other():
    listed = re.findall(r"^\| (\d+) \| ([^|]+?) \|", CATALOGUE.read_text(), re.M)
    assert sorted(listed) == sorted((str(e.number), e.text) for e in events.Event)


def test_every_event_is_logged_somewhere():
    package = pathlib.Path(events.__file__).parent
    code = "".join(path.read_text() for path in package.rglob("*.py"))
    unused = [e.name for e in events.Event if f"Event.{e.name}" not in code]
    assert unused == []
