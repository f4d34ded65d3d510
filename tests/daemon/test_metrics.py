"""Tests of the metrics and the latencies behind them."""

from __future__ import annotations

import http

import pytest
from prometheus_client import parser

from cactushall_core import addresses
from cactushall_core.flows import actions
from cactushall_daemon import counters, latencies, metrics
from cactushall_rpc import http as http_calls


@pytest.fixture
def tallies():
    return counters.Counters()


@pytest.fixture
def spans():
    return latencies.Latencies()


@pytest.fixture
def made(tallies, spans):
    return metrics.Metrics(tallies, spans, lambda: {"flows": 7.0})


def samples(body):
    """Return all values by name and labels."""
    families = parser.text_string_to_metric_families(body.decode())
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in families
        for sample in family.samples
    }


def test_counters_and_present_values_are_shown(made, tallies):
    tallies.add(counters.Counter.RECEIVED, 3)
    found = samples(made.render())
    assert found["cactushall_datagrams_received_total",] == 3
    assert found["cactushall_flows",] == 7


def test_latencies_are_shown_as_a_histogram(made, spans):
    for seconds in (0.0004, 0.0015, 0.03, 0.03, 70.0):
        spans.record(actions.Latency.FLOW_OPENED, seconds)
    found = samples(made.render())
    name = "cactushall_flow_opened_seconds"
    assert found[f"{name}_bucket", "0.001"] == 1
    assert found[f"{name}_bucket", "0.002"] == 2
    assert found[f"{name}_bucket", "0.05"] == 4
    assert found[f"{name}_bucket", "10.0"] == 4
    assert found[f"{name}_bucket", "+Inf"] == found[f"{name}_count",] == 5
    assert found[f"{name}_sum",] == pytest.approx(70.0619)


def test_values_stay_after_they_were_shown(made, spans):
    spans.record(actions.Latency.REQUEST_ANSWERED, 0.01)
    made.render()
    spans.record(actions.Latency.REQUEST_ANSWERED, 0.01)
    found = samples(made.render())
    assert found["cactushall_request_answered_seconds_count",] == 2


def test_values_that_nobody_asks_for_are_bounded():
    distribution = latencies.Distribution()
    for _ in range(latencies.MAX_WAITING + 5):
        distribution.record(0.01)
    assert distribution.left_out == 5
    assert distribution.buckets([1.0]) == [latencies.MAX_WAITING] * 2


async def test_they_are_served_over_http(made):
    server = await http_calls.serve(addresses.Address("127.0.0.1", 0), made.answer)
    address = addresses.Address(*server.sockets[0].getsockname())
    answer = await http_calls.call_once(address, metrics.PATH, 5.0)
    assert ("cactushall_flows",) in samples(answer.body)
    other = await http_calls.call_once(address, "/other", 5.0)
    assert other.status == http.HTTPStatus.NOT_FOUND
    server.close()
