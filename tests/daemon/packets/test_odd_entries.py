"""Tests of processes beside odd entries that another writer has left in the store."""

from __future__ import annotations

import json

import pytest

from cactushall_daemon import counters, tasks
from cactushall_rpc import store_keys
from tests.daemon import fleets
from tests.standins import packet_site

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


def revisions(nodes):
    return [node.route_table.revision for node in nodes]


@pytest.mark.parametrize("key", ODD_KEYS)
@pytest.mark.parametrize("kind", ODD_VALUES)
async def test_an_odd_entry_stops_nobody_from_following_the_store(
    fleet, store, kind, key
):
    """Guards against processes that follow no configuration after an odd entry."""
    first = await fleet.start_node(FIRST, [SECOND], store_address=store.address)
    await fleets.wait_until(lambda: revisions([first]) == [1])
    store.put(key, ODD_VALUES[kind])
    packet_site.write_configuration(store, packet_site.make_configuration(2))
    await fleets.wait_until(lambda: revisions([first]) == [2])
    second = await fleet.start_node(SECOND, [FIRST], store_address=store.address)
    packet_site.write_configuration(store, packet_site.make_configuration(3))
    await fleets.wait_until(lambda: revisions([first, second]) == [3, 3])
    for node in (first, second):
        assert counters.Counter.TASKS_FAILED not in dict(node.counters.items())


@pytest.mark.parametrize("name", ["handle_snapshot", "handle_change"])
async def test_a_failing_observer_does_not_end_the_following(
    fleet, store, monkeypatch, name
):
    """Guards against one unexpected error after which no configuration is adopted."""
    monkeypatch.setattr(tasks, "RESTART_SECONDS", 0.05)
    node = await fleet.start_node(FIRST, [], store_address=store.address)
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
        store.come_back_from(store.make_copy())
    packet_site.write_configuration(store, packet_site.make_configuration(2))
    await fleets.wait_until(lambda: revisions([node]) == [2])
    packet_site.write_configuration(store, packet_site.make_configuration(3))
    await fleets.wait_until(lambda: revisions([node]) == [3])
    assert len(failures) == 1
