"""Latency distributions of a process, for its metrics."""

from __future__ import annotations

import bisect
import collections
import itertools
import typing

from cactushall_core.flows import actions

if typing.TYPE_CHECKING:
    from hdrh import histogram

MAX_PENDING = 10_000
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1e6


class Distribution:
    """Distribution of one latency: a histogram and values not yet recorded in it.

    The histogram library is imported with the first call of `buckets`, not while a
    process starts. Up to `MAX_PENDING` values wait for the next call; beyond that the
    oldest are dropped and counted.
    """

    def __init__(self) -> None:
        """Create it empty."""
        self._pending: collections.deque[float] = collections.deque(maxlen=MAX_PENDING)
        self._dropped = 0
        self._sum_seconds = 0.0
        self._histogram: histogram.HdrHistogram | None = None

    @property
    def dropped(self) -> int:
        """Number of values that were dropped."""
        return self._dropped

    @property
    def sum_seconds(self) -> float:
        """Sum of all values in the histogram, in seconds."""
        return self._sum_seconds

    def record(self, seconds: float) -> None:
        """Add a value in seconds."""
        if len(self._pending) == MAX_PENDING:
            self._dropped += 1
        self._pending.append(seconds)

    def buckets(self, bounds: typing.Sequence[float]) -> list[int]:
        """Return cumulative counts: the values up to each bound, then all values.

        Args:
            bounds: Upper bounds in seconds, in ascending order.
        """
        recorded = self._record_pending()
        counts = [0] * (len(bounds) + 1)
        for item in recorded.get_recorded_iterator():
            seconds = item.value_iterated_to / MICROSECONDS_PER_SECOND
            index = bisect.bisect_left(bounds, seconds)
            counts[index] += item.count_added_in_this_iter_step
        return list(itertools.accumulate(counts))

    def _record_pending(self) -> histogram.HdrHistogram:
        from hdrh import histogram

        if self._histogram is None:
            self._histogram = histogram.HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        while self._pending:
            seconds = self._pending.popleft()
            self._sum_seconds += seconds
            self._histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))
        return self._histogram


class Latencies:
    """Distributions of all latencies of a process."""

    def __init__(self) -> None:
        """Create it empty."""
        self._distributions = {kind: Distribution() for kind in actions.Latency}

    def record(self, kind: actions.Latency, seconds: float) -> None:
        """Add a value in seconds."""
        self._distributions[kind].record(seconds)

    def items(self) -> list[tuple[actions.Latency, Distribution]]:
        """Return all distributions."""
        return list(self._distributions.items())
