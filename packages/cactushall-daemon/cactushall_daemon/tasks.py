"""Background tasks that run until they end or the process stops."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from cactushall_daemon import counters, events, logs

RESTART_SECONDS = 1.0

Run = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]

log = logs.get_logger(__name__)


class Tasks:
    """All background tasks of a process."""

    def __init__(self, process_counters: counters.Counters) -> None:
        """Create it without tasks.

        Args:
            process_counters: The process's counters.
        """
        self._counters = process_counters
        self._tasks: set[asyncio.Task[object]] = set()

    def spawn(
        self, coroutine: collections.abc.Coroutine[object, object, object]
    ) -> None:
        """Run a task until it ends or all are cancelled; its result is not used."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def keep_running(self, run: Run) -> None:
        """Run a task that is to run as long as the process, until all are cancelled.

        Args:
            run: Makes the coroutine, anew after each unexpected error.
        """
        self.spawn(self.run_again(run))

    async def run_again(self, run: Run) -> None:
        """Run a coroutine until it ends by itself, anew after each unexpected error.

        An error ends the task and not the process, which would go on without it.

        Args:
            run: Makes the coroutine.
        """
        while True:
            try:
                await run()
            except Exception as error:
                self._record_failure(error)
            else:
                return
            await asyncio.sleep(RESTART_SECONDS)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._record_failure(error)

    def _record_failure(self, error: BaseException) -> None:
        self._counters.add(counters.Counter.TASKS_FAILED)
        log.error(events.Event.TASK_FAILED, why=repr(error), exc_info=error)


def log_callback_failure(
    _loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    """Log an error that a callback of the event loop has raised."""
    error = context.get("exception")
    why = context["message"] if error is None else repr(error)
    log.error(events.Event.CALLBACK_FAILED, why=why, exc_info=error)
