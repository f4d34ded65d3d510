"""Tests of the calls by which a backend server announces itself to its agent."""

from __future__ import annotations

import http
import json

import pytest
from structlog import testing

from cactushall_core.flows import agent, messages, servers
from cactushall_daemon import counters, events
from cactushall_daemon.packets import announcement_calls
from cactushall_rpc import http as http_calls
from tests.core import builders as core_builders
from tests.core.flows import builders
from tests.standins import packet_peers

HEARTBEAT_SECONDS = 1.2
STARTED_SECONDS = 0.1
IGNORED = counters.Counter.ANNOUNCEMENTS_IGNORED
REFUSED = counters.Counter.ANNOUNCEMENTS_REFUSED
HEARTBEAT = packet_peers.make_heartbeat(str(builders.SERVICE), str(builders.SERVER))


class Beside:
    """An agent's calls of the backend server beside it, without sockets."""

    def __init__(self):
        self.now = 0.0
        self.server = builders.make_server(HEARTBEAT_SECONDS)
        self.flows = agent.AgentFlows(self.server, self.now)
        self.counters = counters.Counters()
        self.announced = 0
        self._calls = announcement_calls.AnnouncementCalls(
            self.server,
            self.flows,
            self.counters,
            lambda: self.now,
            lambda: STARTED_SECONDS + self.now,
            self._count,
        )

    def put(self, server_id="s1", **changed):
        """Send a heartbeat and return the status of the answer."""
        body = json.dumps(HEARTBEAT | changed).encode()
        return self.call("PUT", f"/api/instances/{server_id}", body)

    def call(self, method, path, body=b""):
        return self._calls.handle(http_calls.Request(method, path, body)).status

    def _count(self):
        self.announced += 1


@pytest.fixture
def beside():
    return Beside()


def test_a_heartbeat_is_acknowledged(beside):
    assert beside.put() == http.HTTPStatus.OK
    assert beside.server.state is servers.State.READY
    assert beside.announced == 1


def test_calls_of_other_paths_and_methods_change_nothing(beside):
    assert beside.call("PUT", "/other") == http.HTTPStatus.NOT_FOUND
    expected = http.HTTPStatus.METHOD_NOT_ALLOWED
    assert beside.call("POST", "/api/instances/s1") == expected
    assert beside.announced == 0


def test_log_names_the_start_that_a_heartbeat_belongs_to(beside):
    """Guards against a change of the server that no log line explains."""
    with testing.capture_logs() as lines:
        beside.put()
        beside.put(seq_no=2)
        beside.put("s2", born=200)
    started = [x for x in lines if x["event"] is events.Event.SERVER_STARTED]
    assert [(x["server"], x["number"]) for x in started] == [("s1", 1), ("s2", 1)]


def test_a_heartbeat_without_effect_is_not_acknowledged(beside):
    """Guards against a server that drains, is acknowledged and gets new flows."""
    beside.put("s2", born=200)
    assert beside.put(state="draining") == http.HTTPStatus.CONFLICT
    assert beside.server.state is servers.State.READY
    assert beside.announced == 1


def test_log_names_a_start_whose_heartbeats_are_ignored_once(beside):
    """Guards against heartbeats that are acknowledged without effect or log line."""
    beside.put("s2", born=200)
    with testing.capture_logs() as lines:
        beside.put(seq_no=7)
        beside.put(seq_no=8)
    (line,) = [x for x in lines if x["event"] is events.Event.ANNOUNCEMENT_IGNORED]
    assert (line["server"], line["latest"]) == ("s1", "s2")
    assert dict(beside.counters.items())[IGNORED] == 2


def test_a_heartbeat_of_another_writer_without_born_tells_of_no_start(beside):
    """Guards against a restarted agent that denies flows that its server holds."""
    body = {name: value for name, value in HEARTBEAT.items() if name != "born"}
    status = beside.call("PUT", "/api/instances/s2", json.dumps(body).encode())
    assert status == http.HTTPStatus.BAD_REQUEST
    assert beside.server.latest_announcement is None
    assert beside.server.state is servers.State.UNKNOWN
    assert beside.announced == 0


@pytest.mark.parametrize(
    "change",
    [
        {"service": str(builders.OTHER_SERVICE)},
        {"service": "no-service-of-the-site"},
        {"address": "10.0.1.2:8165"},
    ],
)
def test_a_heartbeat_of_another_writer_does_not_redirect_a_server(beside, change):
    """Guards against requests that are run by a service their route never led to."""
    beside.put()
    assert beside.put("s2", born=200, **change) == http.HTTPStatus.BAD_REQUEST
    assert beside.server.service == builders.SERVICE
    assert beside.put(seq_no=2, state="draining") == http.HTTPStatus.OK
    assert beside.server.state is servers.State.DRAINING
    assert dict(beside.counters.items())[REFUSED] == 1


def test_a_heartbeat_of_another_service_is_no_first_one(beside):
    """Guards against an agent that starts and takes another writer's service."""
    status = beside.put(service=str(builders.OTHER_SERVICE))
    assert status == http.HTTPStatus.BAD_REQUEST
    assert beside.server.state is servers.State.UNKNOWN
    beside.flows.update_routes(builders.route_table(builders.OTHER_SERVICE), 0.0)
    (told,) = beside.flows.handle_caller_packet(
        builders.opening_packet(), builders.ENTRY, 0.0
    )
    assert told.message.refusal is messages.Refusal.NO_ROUTE


@pytest.mark.parametrize("odd", [{"slots": 10**30}, {"seq_no": 10**30}])
def test_a_number_that_no_message_can_carry_is_refused(beside, odd):
    """Guards against an agent that can tell nobody of its load any more."""
    beside.put()
    assert beside.put(**({"seq_no": 2} | odd)) == http.HTTPStatus.BAD_REQUEST
    report = messages.LoadReport(beside.flows.load)
    messages.encode(messages.make_authenticator(core_builders.RING), report)
    assert beside.put(seq_no=2, state="draining") == http.HTTPStatus.OK
    assert beside.server.state is servers.State.DRAINING
