"""Background tasks that run until they end or the process stops."""

from __future__ import annotations

import asyncio
import collections.abc

from cactushall_daemon import events, logs

log = logs.get_logger(__name__)


class Tasks:
    """All background tasks of a process."""

    def __init__(self) -> None:
        """Create it without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: collections.abc.Coroutine[object, object, None]) -> None:
        """Run a task until it ends or all are cancelled."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(events.Event.TASK_FAILED, why=repr(task.exception()))
