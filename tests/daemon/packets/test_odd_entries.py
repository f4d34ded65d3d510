"""Tests of processes beside odd entries that another writer has left in the store."""

from __future__ import annotations

import pytest

from cactushall_daemon import counters, tasks
from tests.daemon import fleets
from tests.standins import odd_entries, packet_site

FIRST, SECOND = fleets.HOSTS[:2]


def revisions(nodes):
    return [node.route_table.revision for node in nodes]


@pytest.mark.parametrize("key", odd_entries.KEYS)
@pytest.mark.parametrize("kind", odd_entries.VALUES)
async def test_an_odd_entry_stops_nobody_from_following_the_store(
    fleet, store, kind, key
):
    """Guards against processes that follow no configuration after an odd entry."""
    first = await fleet.start_node(FIRST, [SECOND], store_address=store.address)
    await fleets.wait_until(lambda: revisions([first]) == [1])
    store.put(key, odd_entries.VALUES[kind])
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
