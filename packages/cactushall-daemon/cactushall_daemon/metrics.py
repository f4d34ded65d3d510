"""Counters, gauges and latencies in the Prometheus text format.

The Prometheus library is imported with the first call, outside the event loop, so that
it slows down neither the start of a process nor its packets.
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
    """Serves the metrics of a process over HTTP."""

    def __init__(
        self,
        process_counters: counters.Counters,
        process_latencies: latencies.Latencies,
        gauges: Gauges,
    ) -> None:
        """Create the metrics of a process.

        Args:
            process_counters: The process's counters.
            process_latencies: The process's latencies.
            gauges: Returns the current values of gauges by name.
        """
        self._counters = process_counters
        self._latencies = process_latencies
        self._read_gauges = gauges

    async def handle_call(self, request: http_calls.Request) -> http_calls.Response:
        """Handle an HTTP call."""
        if request.path != PATH:
            return http_calls.Response(http.HTTPStatus.NOT_FOUND)
        await asyncio.to_thread(_import_libraries)
        return http_calls.Response(
            body=self.render(), content_type=http_calls.PROMETHEUS_CONTENT_TYPE
        )

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(typing.cast(typing.Any, self))
        return prometheus_client.generate_latest(registry)

    def collect(self) -> typing.Iterator[metrics_core.Metric]:
        """Yield all metrics; called by the Prometheus library."""
        from prometheus_client import metrics_core

        for counter, value in self._counters.items():
            name = f"{PREFIX}_{counter.value}"
            yield metrics_core.CounterMetricFamily(name, counter.value, value)
        for name, reading in self._read_gauges().items():
            yield metrics_core.GaugeMetricFamily(f"{PREFIX}_{name}", name, reading)
        yield from self._collect_traffic(metrics_core.CounterMetricFamily)
        for kind, distribution in self._latencies.items():
            counts = distribution.buckets(BOUNDS_SECONDS)
            bounds = [*map(str, BOUNDS_SECONDS), "+Inf"]
            yield metrics_core.HistogramMetricFamily(
                f"{PREFIX}_{kind.value}_seconds",
                kind.value,
                buckets=list(zip(bounds, counts, strict=True)),
                sum_value=distribution.sum_seconds,
            )

    def _collect_traffic(
        self, make_family: type[metrics_core.CounterMetricFamily]
    ) -> typing.Iterator[metrics_core.Metric]:
        labels = ("direction", "kind")
        messages = make_family(f"{PREFIX}_traffic_messages", "messages", labels=labels)
        sizes = make_family(f"{PREFIX}_traffic_bytes", "payload bytes", labels=labels)
        for direction, kind, count in self._counters.traffic.items():
            messages.add_metric((direction.value, kind.value), count.messages)
            sizes.add_metric((direction.value, kind.value), count.size_bytes)
        yield from (messages, sizes)


def _import_libraries() -> None:
    """Import the libraries that `render` needs."""
    import hdrh.histogram  # noqa: F401
    import prometheus_client  # noqa: F401
