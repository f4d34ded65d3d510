"""Counters and latencies in the Prometheus text format.

The library loads with the first call, outside the event loop, and not while a process
starts.
"""

from __future__ import annotations

import asyncio
import collections.abc
import http
import typing

from cactushall_daemon import counters, latencies
from cactushall_rpc import http as http_calls

if typing.TYPE_CHECKING:
    from prometheus_client import metrics_core

PATH = "/metrics"
PREFIX = "cactushall"
BOUNDS_SECONDS = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
    *(0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0),
)

Gauges = collections.abc.Callable[[], dict[str, float]]


class Metrics:
    """Answers calls for the metrics of a process."""

    def __init__(
        self, tallies: counters.Counters, spans: latencies.Latencies, gauges: Gauges
    ) -> None:
        """Take in what there is to show.

        Args:
            tallies: The counters.
            spans: The latencies.
            gauges: Returns present values by name.
        """
        self._tallies = tallies
        self._spans = spans
        self._gauges = gauges

    async def answer(self, request: http_calls.Request) -> http_calls.Response:
        """Answer a call."""
        if request.path != PATH:
            return http_calls.Response(http.HTTPStatus.NOT_FOUND)
        await asyncio.to_thread(_load)
        return http_calls.Response(body=self.render(), content_type=http_calls.TEXT)

    def render(self) -> bytes:
        """Return all metrics as text."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(typing.cast(typing.Any, self))
        return prometheus_client.generate_latest(registry)

    def collect(self) -> typing.Iterator[metrics_core.Metric]:
        """Yield all metrics; the library calls this."""
        from prometheus_client import metrics_core

        for counter, value in self._tallies.items():
            name = f"{PREFIX}_{counter.value}"
            yield metrics_core.CounterMetricFamily(name, counter.value, value)
        for name, level in self._gauges().items():
            yield metrics_core.GaugeMetricFamily(f"{PREFIX}_{name}", name, level)
        for kind, distribution in self._spans.items():
            counts = distribution.buckets(BOUNDS_SECONDS)
            bounds = [*map(str, BOUNDS_SECONDS), "+Inf"]
            yield metrics_core.HistogramMetricFamily(
                f"{PREFIX}_{kind.value}_seconds",
                kind.value,
                buckets=list(zip(bounds, counts, strict=True)),
                sum_value=distribution.sum_seconds,
            )


def _load() -> None:
    """Load what rendering needs."""
    import hdrh.histogram  # noqa: F401
    import prometheus_client  # noqa: F401
