"""Tests of the settings file of a running process."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from structlog import testing

from cactushall_daemon import events
from cactushall_daemon.commands import settings_file
from cactushall_daemon.config import common, options
from tests.daemon import fleets

CHECK_SECONDS = 0.02


class Settings(common.ProcessSettings):
    """Settings with one option that may change."""

    color = options.Option(options.text(("red", "blue")))


class Watched:
    """A settings file that is followed."""

    def __init__(self, path):
        self.path = path
        self.applied = []
        self.write("red")
        stamp = settings_file.read_stamp(path)
        self.file = settings_file.SettingsFile(path, Settings, stamp, self._apply)

    def write(self, color):
        """Replace the file, as an operator's tool does."""
        text = f"node: n\nzone: a\naddress: 127.0.0.1\ncolor: {color}\n"
        new = self.path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.path)

    def _apply(self, settings):
        self.applied.append(settings.color)


@pytest.fixture
async def watched(tmp_path, monkeypatch):
    monkeypatch.setattr(settings_file, "CHECK_SECONDS", CHECK_SECONDS)
    made = Watched(tmp_path / "settings.yaml")
    task = asyncio.create_task(made.file.follow())
    yield made
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def test_a_change_without_a_signal_is_applied_once(watched):
    """Guards against settings that no signal announces and that are never read."""
    watched.write("blue")
    await fleets.wait_until(lambda: watched.applied)
    await asyncio.sleep(5 * CHECK_SECONDS)
    assert watched.applied == ["blue"]


async def test_an_unchanged_file_is_not_read_again(watched):
    await asyncio.sleep(5 * CHECK_SECONDS)
    assert watched.applied == []


async def test_a_file_that_is_gone_or_not_valid_changes_nothing(watched):
    """Guards against a process that ends, or follows no more, on a broken file."""
    with testing.capture_logs() as lines:
        watched.path.unlink()
        await asyncio.sleep(3 * CHECK_SECONDS)
        watched.write("green")
        await asyncio.sleep(3 * CHECK_SECONDS)
    assert [line["event"] for line in lines] == [events.Event.SETTINGS_REFUSED]
    assert watched.applied == []
    watched.write("blue")
    await fleets.wait_until(lambda: watched.applied)


def test_a_refresh_applies_a_change_before_it_returns(tmp_path):
    """Guards against a decision by settings that have just been replaced."""
    watched = Watched(tmp_path / "settings.yaml")
    watched.file.refresh()
    assert watched.applied == []
    watched.write("blue")
    watched.file.refresh()
    watched.file.refresh()
    assert watched.applied == ["blue"]
