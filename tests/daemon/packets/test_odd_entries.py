"""Tests of processes beside odd entries that another writer has left in the store."""

from __future__ import annotations

import json

import pytest

from cactushall_daemon import counters, tasks
from cactushall_platform import configuration
from cactushall_rpc import store_keys
from tests.daemon import fleets
from tests.daemon.packets import test_table_exchange
from tests.standins import packet_site, platform_store

NESTING = 100_000
FIRST, SECOND = fleets.HOSTS[:2]
ODD_VALUES = {
    "deeply nested": b'{"x":' + b"[" * NESTING + b"]" * NESTING + b"}",
    "number too large": b'{"x":' + b"9" * 400 + b"}",
    "integer too large": json.dumps({"slots": 10**30, "born": 10**30}).encode(),
    "port out of range": b"10.0.0.1:99999",
    "port too long": b"10.0.0.1:" + b"9" * 5000,
    "no text": b"\xff\xfe\x00",
    "address of another kind": b"[::1]:7720",
    "address of nobody": b"0.0.0.0:7720",
    "empty": b"",
}
ODD_KEYS = (
    "op/evacuate/nowhere",
    "op/other",
    store_keys.CONTACT_PREFIX.decode() + "attica-a/2",
    store_keys.LATEST_HOLDER_PREFIX.decode() + "attica-a/2",
)


@pytest.fixture
async def fleet(tmp_path):
    made = test_table_exchange.Fleet(tmp_path)
    yield made
    await made.stop()


@pytest.fixture
async def server():
    made = platform_store.PlatformStore()
    write_configuration(made, 1)
    made.address = await made.start()
    yield made
    await made.stop()


def write_configuration(server, version):
    document = packet_site.make_configuration(version)
    server.put(configuration.KEY.decode(), json.dumps(document).encode())


def revisions(nodes):
    return [node.route_table.revision for node in nodes]


@pytest.mark.parametrize("key", ODD_KEYS)
@pytest.mark.parametrize("kind", ODD_VALUES)
async def test_an_odd_entry_stops_nobody_from_following_the_store(
    fleet, server, kind, key
):
    """Guards against processes that follow no configuration after an odd entry."""
    first = await fleet.start_node(FIRST, [SECOND], store_address=server.address)
    await fleets.wait_until(lambda: revisions([first]) == [1])
    server.put(key, ODD_VALUES[kind])
    write_configuration(server, 2)
    await fleets.wait_until(lambda: revisions([first]) == [2])
    second = await fleet.start_node(SECOND, [FIRST], store_address=server.address)
    write_configuration(server, 3)
    await fleets.wait_until(lambda: revisions([first, second]) == [3, 3])
    for node in (first, second):
        assert counters.Counter.TASKS_FAILED not in dict(node.counters.items())


@pytest.mark.parametrize("name", ["handle_snapshot", "handle_change"])
async def test_a_failing_observer_does_not_end_the_following(
    fleet, server, monkeypatch, name
):
    """Guards against one unexpected error after which no configuration is adopted."""
    monkeypatch.setattr(tasks, "RESTART_SECONDS", 0.05)
    node = await fleet.start_node(FIRST, [], store_address=server.address)
    await fleets.wait_until(lambda: revisions([node]) == [1])
    observer = node._follower._observer
    original = getattr(observer, name)
    failures = []

    def fail_once(argument):
        if not failures:
            failures.append(argument)
            raise KeyError("unexpected")
        original(argument)

    monkeypatch.setattr(observer, name, fail_once)
    if name == "handle_snapshot":
        # All keys are read again.
        server.come_back_from(server.make_copy())
    write_configuration(server, 2)
    await fleets.wait_until(lambda: revisions([node]) == [2])
    write_configuration(server, 3)
    await fleets.wait_until(lambda: revisions([node]) == [3])
    assert len(failures) == 1
