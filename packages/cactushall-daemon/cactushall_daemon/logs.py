"""Structured logs: one JSON object per line on standard output.

Logging neither blocks nor fails. Lines are dropped while the reader of standard output
is behind or gone, and while an event exceeds its rate limit; the next line has their
count.
"""

from __future__ import annotations

import functools
import logging
import os
import select
import sys
import time
import typing

import structlog

from cactushall_core import token_bucket
from cactushall_daemon import events

LINES_PER_SECOND = 50.0
BURST_LINES = 200.0
MAX_LINE_BYTES = select.PIPE_BUF


def configure(level: str, node: str) -> None:
    """Set up logging for the process.

    Args:
        level: Name of the lowest level to log.
        node: Name of the node, added to each line.
    """
    writer = LineWriter(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            RateLimit(time.monotonic),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _expand_event,
            functools.partial(_add_node, node),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    logging.getLogger("quic").setLevel(logging.CRITICAL)


def get_logger(name: str) -> typing.Any:
    """Return the logger of a module."""
    return structlog.get_logger(module=name)


class LineWriter:
    """Writes lines to a pipe or file, dropping those that would block."""

    def __init__(self, descriptor: int) -> None:
        """Create a writer to a file descriptor."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped = 0

    def msg(self, message: str) -> None:
        """Write one line, or drop it if writing would block or fails."""
        line = message.encode()
        if self._dropped:
            line = b'{"dropped_lines": %d, ' % self._dropped + line[1:]
        if not self._poll.poll(0):
            self._dropped += 1
            return
        try:
            os.write(self._descriptor, line[: MAX_LINE_BYTES - 1] + b"\n")
        except OSError:
            # The reader is gone; nobody who logs must fail for it.
            self._dropped += 1
            return
        self._dropped = 0

    log = debug = info = warning = error = critical = exception = msg


class RateLimit:
    """Drops lines of an event that exceed its rate, by a token bucket per event."""

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Start with a full burst for each event.

        Args:
            clock: Returns the current time in seconds.
        """
        self._clock = clock
        self._budgets: dict[object, token_bucket.TokenBucket] = {}
        self._suppressed: dict[object, int] = {}

    def __call__(
        self, _logger: object, _method: str, event_dict: typing.Any
    ) -> typing.Any:
        """Pass on a line, or raise DropEvent if the event exceeds its rate."""
        event = event_dict.get("event")
        now = self._clock()
        budget = self._budgets.get(event)
        if budget is None:
            budget = token_bucket.TokenBucket(LINES_PER_SECOND, BURST_LINES, now)
            self._budgets[event] = budget
        budget.refill(now)
        if budget.tokens < 1:
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            raise structlog.DropEvent
        budget.spend(1)
        if suppressed := self._suppressed.pop(event, 0):
            event_dict["left_out"] = suppressed
        return event_dict


def _expand_event(
    _logger: typing.Any, _method: str, event_dict: typing.Any
) -> typing.Any:
    event = event_dict.get("event")
    if isinstance(event, events.Event):
        event_dict["event"] = event.text
        event_dict["event_id"] = event.number
    return event_dict


def _add_node(
    node: str, _logger: typing.Any, _method: str, event_dict: typing.Any
) -> typing.Any:
    event_dict["node"] = node
    return event_dict
