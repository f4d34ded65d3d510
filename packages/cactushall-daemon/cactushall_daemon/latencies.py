"""Latencies of a process, kept until somebody asks for their distribution."""

from __future__ import annotations

import bisect
import collections
import itertools
import typing

from cactushall_core.flows import actions

if typing.TYPE_CHECKING:
    from hdrh import histogram

MAX_WAITING = 10_000
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS = 1e6


class Distribution:
    """Values of one kind: those not yet sorted in, and a histogram of all others.

    The histogram's library loads when it is first asked for, not while a process
    starts; values beyond `MAX_WAITING` until then are counted and left out.
    """

    def __init__(self) -> None:
        """Start with no value."""
        self._waiting: collections.deque[float] = collections.deque(maxlen=MAX_WAITING)
        self._left_out = 0
        self._sum_seconds = 0.0
        self._histogram: histogram.HdrHistogram | None = None

    @property
    def left_out(self) -> int:
        """Values that are in no histogram."""
        return self._left_out

    @property
    def sum_seconds(self) -> float:
        """Sum of all values in the histogram."""
        return self._sum_seconds

    def record(self, seconds: float) -> None:
        """Add a value."""
        if len(self._waiting) == MAX_WAITING:
            self._left_out += 1
        self._waiting.append(seconds)

    def buckets(self, bounds: typing.Sequence[float]) -> list[int]:
        """Return how many values are at or below each bound, and how many there are.

        Args:
            bounds: Upper bounds in seconds, growing.
        """
        sorted_in = self._sort_in()
        counts = [0] * (len(bounds) + 1)
        for item in sorted_in.get_recorded_iterator():
            seconds = item.value_iterated_to / MICROSECONDS
            index = bisect.bisect_left(bounds, seconds)
            counts[index] += item.count_added_in_this_iter_step
        return list(itertools.accumulate(counts))

    def _sort_in(self) -> histogram.HdrHistogram:
        from hdrh import histogram

        if self._histogram is None:
            self._histogram = histogram.HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        while self._waiting:
            seconds = self._waiting.popleft()
            self._sum_seconds += seconds
            self._histogram.record_value(max(1, int(seconds * MICROSECONDS)))
        return self._histogram


class Latencies:
    """All distributions of a process."""

    def __init__(self) -> None:
        """Start with no value."""
        self._kinds = {kind: Distribution() for kind in actions.Latency}

    def record(self, kind: actions.Latency, seconds: float) -> None:
        """Add a value."""
        self._kinds[kind].record(seconds)

    def items(self) -> list[tuple[actions.Latency, Distribution]]:
        """Return all distributions."""
        return list(self._kinds.items())
