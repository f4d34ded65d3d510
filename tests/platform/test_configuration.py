"""Tests of decoding the operators' configuration and heartbeats."""

from __future__ import annotations

import ipaddress
import json

import pytest

from cactushall_core import addresses, exceptions
from cactushall_core.flows import packets, routes, servers
from cactushall_platform import calls, configuration
from tests.standins import packet_peers

STORED = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "type": "idempotent",
            "timeout_ms": 1000,
            "slo_ms": 120,
            "priority": 2,
            "backends": [
                {"service": "one", "weight": 90},
                {"service": "two", "weight": 10},
                {"service": "three", "weight": 0},
            ],
            "max_attempts": 2,
        },
        {
            "name": "r-2",
            "host": "198.18.0.2",
            "prefix": "/8080/",
            "type": "non_idempotent",
            "service": "two",
        },
    ],
    "services": [{"name": "one", "health_path": "/health", "tls": False}],
    "limits": {"idle_timeout_ms": 12000},
}
NOW = 3.5
TIME_OF_DAY = 1.8e9
HEARTBEAT = packet_peers.make_heartbeat(
    "one", "10.128.0.9:8080", slots=2, cold_left_ms=500, seq_no=4, born=1234
)


def flow_to(host, port, caller_port=1):
    return packets.FlowId(1, caller_port, int(ipaddress.IPv4Address(host)), port)


def decode(**changes):
    return configuration.decode(json.dumps(STORED | changes).encode(), "store")


def test_routes_are_found_by_their_service_address():
    table = decode()
    assert table.revision == 7
    assert table.idle_timeout_seconds == 12.0
    assert table.health_paths == {"one": "/health"}
    first = table.find(flow_to("198.18.0.1", 8443))
    assert first.repeatability is routes.Repeatability.IDEMPOTENT
    assert first.objective_seconds == pytest.approx(0.12)
    assert first.allows("two")
    assert not first.allows("three")
    second = table.find(flow_to("198.18.0.2", 8080))
    assert second.repeatability is routes.Repeatability.ONCE
    assert table.find(flow_to("198.18.0.2", 8443)) is None


def test_new_flows_are_shared_by_weight():
    route = decode().find(flow_to("198.18.0.1", 8443))
    flows = [flow_to("198.18.0.1", 8443, port) for port in range(4000)]
    share = sum(route.service_of(flow) == "one" for flow in flows) / len(flows)
    assert share == pytest.approx(0.9, abs=0.02)


@pytest.mark.parametrize(
    "value",
    [b"", b"\xff\xfe", b"[]", b'{"version": "x"}'],
)
def test_an_undecodable_configuration_is_refused(value):
    with pytest.raises(exceptions.ConfigurationError):
        configuration.decode(value, "store")


def test_a_route_without_port_is_refused():
    invalid_route = STORED["routes"][1] | {"prefix": "/x/"}
    with pytest.raises(exceptions.ConfigurationError):
        decode(routes=[invalid_route])


def decode_service(**fields):
    return decode(services=[STORED["services"][0] | fields])


def test_a_limit_of_cold_servers_is_decoded():
    table = decode_service(cold_start_s=4, cold_per_s=12.5)
    assert table.cold_limits == {"one": routes.ColdLimit(4.0, 12.5)}
    assert table.findings == ()


@pytest.mark.parametrize(
    "fields",
    [{}, {"cold_start_s": 4}, {"cold_start_s": 4, "cold_per_s": 0}]
    + [{"cold_start_s": 4, "cold_per_s": None}],
)
def test_a_service_without_a_rate_has_no_limit(fields):
    table = decode_service(**fields)
    assert table.cold_limits == {}
    assert table.findings == ()


def test_a_rate_without_a_time_limits_what_heartbeats_call_cold():
    table = decode_service(cold_per_s=3)
    assert table.cold_limits == {"one": routes.ColdLimit(0.0, 3.0)}


@pytest.mark.parametrize("value", [-1, "4", True, [], {}, -0.5])
@pytest.mark.parametrize("field", ["cold_start_s", "cold_per_s"])
def test_a_wrong_cold_field_is_one_finding_and_the_rest_holds(field, value):
    """Guards against a configuration that is refused as a whole for one field."""
    fields = {"cold_start_s": 4.0, "cold_per_s": 3.0} | {field: value}
    table = decode_service(**fields)
    (finding,) = table.findings
    assert str(finding.place) == f"store: services[0].{field}"
    assert len(table.routes) == len(STORED["routes"])
    limit = routes.ColdLimit(0.0, 3.0)
    expected = {"one": limit} if field == "cold_start_s" else {}
    assert table.cold_limits == expected


def test_a_version_that_no_message_can_carry_is_refused():
    """Guards against a member that can send no datagram any more."""
    with pytest.raises(exceptions.ConfigurationError):
        decode(version=10**30)


def test_a_heartbeat_is_decoded():
    body = json.dumps(HEARTBEAT).encode()
    assert calls.parse_server_id("/api/instances/i-1") == "i-1"
    announcement = calls.decode_announcement("i-1", body, NOW)
    assert announcement.id == "i-1"
    assert announcement.started_ms == 1234
    assert announcement.number == 4
    assert announcement.address == addresses.Address("10.128.0.9", 8080)
    assert announcement.slots == 2
    assert announcement.cold_seconds == pytest.approx(0.5)
    assert announcement.age_seconds == pytest.approx(NOW - 1.234)
    assert not announcement.is_draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"seq_no": "four"},
        {"service": None},
        {"state": 3},
        {"address": 8080},
        {"address": "10.128.0.9"},
        {"address": "10.128.0.9:80800"},
        {"zone": None},
        {"version": 1},
        {"seq_no": 10**30},
        {"seq_no": -1},
        {"slots": 10**30},
        {"slots": calls.MAX_SLOTS + 1},
        {"slots": -1},
        {"born": 10**30},
        {"born": -1},
        {"cold_left_ms": 1e308},
        {"cold_left_ms": calls.MAX_COLD_MILLISECONDS + 1},
        {"cold_left_ms": -1},
    ],
)
def test_a_malformed_heartbeat_is_refused(change):
    body = json.dumps(HEARTBEAT | change).encode()
    with pytest.raises(exceptions.DecodeError):
        calls.decode_announcement("i-1", body, NOW)


@pytest.mark.parametrize("field", HEARTBEAT)
def test_a_heartbeat_of_another_writer_without_a_field_is_refused(field):
    """Guards against another writer's heartbeat that redirects a backend server."""
    rest = {name: value for name, value in HEARTBEAT.items() if name != field}
    with pytest.raises(exceptions.DecodeError):
        calls.decode_announcement("i-1", json.dumps(rest).encode(), NOW)


def test_a_heartbeat_with_fields_that_are_new_is_accepted():
    heartbeat = HEARTBEAT | {"capacity": 3, "labels": {"rack": "r1"}}
    announcement = calls.decode_announcement("i-1", json.dumps(heartbeat).encode(), NOW)
    assert announcement.service == "one"


def test_a_heartbeat_without_a_time_of_start_is_not_that_of_a_server_just_started():
    """Guards against an agent that denies the flows that its server holds."""
    heartbeat = HEARTBEAT | {"seq_no": 1, "born": 0}
    body = json.dumps(heartbeat).encode()
    announcement = calls.decode_announcement("i-1", body, TIME_OF_DAY)
    assert not servers.has_just_started(announcement)


def test_other_paths_contain_no_server_id():
    assert calls.parse_server_id("/api/instances/") is None
    assert calls.parse_server_id("/other") is None
