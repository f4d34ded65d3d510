"""Tests of the metrics and of the latency distributions."""

from __future__ import annotations

import http

import pytest
from prometheus_client import parser

from cactushall_core import addresses, traffic
from cactushall_core.flows import actions
from cactushall_daemon import counters, latencies, metrics
from cactushall_rpc import http as http_calls


@pytest.fixture
def process_counters():
    return counters.Counters()


@pytest.fixture
def process_latencies():
    return latencies.Latencies()


@pytest.fixture
def process_metrics(process_counters, process_latencies):
    return metrics.Metrics(process_counters, process_latencies, lambda: {"flows": 7.0})


def parse_samples(body):
    """Return all values by metric name and label values."""
    families = parser.text_string_to_metric_families(body.decode())
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in families
        for sample in family.samples
    }


def test_counters_and_gauges_are_rendered(process_metrics, process_counters):
    process_counters.add(counters.Counter.RECEIVED, 3)
    found = parse_samples(process_metrics.render())
    assert found["cactushall_datagrams_received_total",] == 3
    assert found["cactushall_flows",] == 7


def test_latencies_are_rendered_as_a_histogram(process_metrics, process_latencies):
    for seconds in (0.0004, 0.0015, 0.03, 0.03, 70.0):
        process_latencies.record(actions.Latency.FLOW_OPENED, seconds)
    found = parse_samples(process_metrics.render())
    name = "cactushall_flow_opened_seconds"
    assert found[f"{name}_bucket", "0.001"] == 1
    assert found[f"{name}_bucket", "0.002"] == 2
    assert found[f"{name}_bucket", "0.05"] == 4
    assert found[f"{name}_bucket", "10.0"] == 4
    assert found[f"{name}_bucket", "+Inf"] == found[f"{name}_count",] == 5
    assert found[f"{name}_sum",] == pytest.approx(70.0619)


def test_values_are_kept_after_rendering(process_metrics, process_latencies):
    process_latencies.record(actions.Latency.REQUEST_ANSWERED, 0.01)
    process_metrics.render()
    process_latencies.record(actions.Latency.REQUEST_ANSWERED, 0.01)
    found = parse_samples(process_metrics.render())
    assert found["cactushall_request_answered_seconds_count",] == 2


def test_pending_values_are_bounded():
    distribution = latencies.Distribution()
    for _ in range(latencies.MAX_PENDING + 5):
        distribution.record(0.01)
    assert distribution.dropped == 5
    assert distribution.buckets([1.0]) == [latencies.MAX_PENDING] * 2


async def test_metrics_are_served_over_http(process_metrics):
    server = await http_calls.serve(
        addresses.Address("127.0.0.1", 0), process_metrics.handle_call
    )
    address = addresses.Address(*server.sockets[0].getsockname())
    response = await http_calls.get(address, metrics.PATH, 5.0)
    assert ("cactushall_flows",) in parse_samples(response.body)
    not_found = await http_calls.get(address, "/other", 5.0)
    assert not_found.status == http.HTTPStatus.NOT_FOUND
    server.close()


def test_traffic_is_rendered_by_direction_and_kind(process_metrics, process_counters):
    """Guards against bytes that cannot be told apart by what they carry."""
    sent, gossip = traffic.Direction.SENT, traffic.Kind.GOSSIP
    process_counters.traffic.add(sent, gossip, 120)
    process_counters.traffic.add(sent, gossip, 30)
    found = parse_samples(process_metrics.render())
    assert found["cactushall_traffic_bytes_total", "sent", "gossip"] == 150
    assert found["cactushall_traffic_messages_total", "sent", "gossip"] == 2
