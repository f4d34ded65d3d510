"""Tests of background tasks that an unexpected error must not end."""

from __future__ import annotations

import asyncio

import pytest
from structlog import testing

from cactushall_daemon import counters, events, tasks
from tests.daemon import fleets

RESTART_SECONDS = 0.02


class Background:
    """Background tasks, and how often one of them has started."""

    def __init__(self):
        self.counters = counters.Counters()
        self.tasks = tasks.Tasks(self.counters)
        self.starts = 0

    async def fail_twice(self):
        self.starts += 1
        await asyncio.sleep(0)
        if self.starts <= 2:
            raise KeyError("unexpected")
        await asyncio.Event().wait()

    async def end(self):
        self.starts += 1

    @property
    def failed(self):
        return dict(self.counters.items()).get(counters.Counter.TASKS_FAILED, 0)


@pytest.fixture
async def background(monkeypatch):
    monkeypatch.setattr(tasks, "RESTART_SECONDS", RESTART_SECONDS)
    made = Background()
    yield made
    await made.tasks.stop()


async def test_a_task_of_the_process_runs_again_after_an_unexpected_error(background):
    """Guards against a process that stays up and ready, and follows nothing more."""
    with testing.capture_logs() as lines:
        background.tasks.keep_running(background.fail_twice)
        await fleets.wait_until(lambda: background.starts == 3)
    await asyncio.sleep(3 * RESTART_SECONDS)
    assert background.starts == 3
    assert background.failed == 2
    failures = [x for x in lines if x["event"] is events.Event.TASK_FAILED]
    assert [x["log_level"] for x in failures] == ["error", "error"]
    assert all("unexpected" in x["why"] for x in failures)


async def test_a_task_that_ends_by_itself_is_not_started_again(background):
    background.tasks.keep_running(background.end)
    await asyncio.sleep(3 * RESTART_SECONDS)
    assert background.starts == 1
    assert background.failed == 0


async def test_tasks_end_when_they_are_cancelled(background):
    background.tasks.keep_running(background.fail_twice)
    await background.tasks.stop()
    starts = background.starts
    await asyncio.sleep(3 * RESTART_SECONDS)
    assert background.starts == starts


async def test_a_single_task_that_fails_is_logged_and_counted(background):
    with testing.capture_logs() as lines:
        background.tasks.spawn(background.fail_twice())
        await fleets.wait_until(lambda: background.failed)
    assert [line["event"] for line in lines] == [events.Event.TASK_FAILED]


async def test_a_callback_that_fails_is_logged():
    """Guards against an error in a timer that no log line tells of."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(tasks.log_callback_failure)

    def fail():
        raise KeyError("unexpected")

    with testing.capture_logs() as lines:
        loop.call_soon(fail)
        await asyncio.sleep(RESTART_SECONDS)
    loop.set_exception_handler(None)
    (line,) = lines
    assert line["event"] is events.Event.CALLBACK_FAILED
    assert "unexpected" in line["why"]
