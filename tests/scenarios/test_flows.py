"""Scenarios of flows that survive planned changes."""

from __future__ import annotations

import asyncio
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from cactushall_core import connection_id, identifiers
from tests.scenarios import conftest
from tests.standins import site as site_standin

scenarios("flows.feature")

MAX_RATIO_TO_MEAN = 1.15
PING_INTERVAL_SECONDS = 0.2


@given(
    parsers.parse(
        "a site with {servers:d} swap-desk servers, {entries:d} entries and "
        "{connections:d} connections each"
    )
)
def _(world, servers, entries, connections):
    plan = conftest.make_site_plan(servers, entries)
    world.start(site_standin.limit_connections(plan, connections))


async def endpoint_status(world, name):
    status = await world.site.client.status(world.site.control_address(name))
    return status.endpoints[0]


@when(parsers.parse("operators drain {name}"))
def _(world, name):
    world.run(world.site.reconfigure(drained_nodes=(name,)))
    world.results["drained_at"] = time.monotonic()


@when(parsers.parse("operators end the drain of {name}"))
def _(world, name):
    world.run(world.site.reconfigure(drained_nodes=()))


@when(parsers.parse("operators close zone {zone}"))
def _(world, zone):
    world.run(world.site.reconfigure(closed_zones=(zone,)))
    time.sleep(1)


@when(parsers.parse("{name} joins in {zone} through a contact"))
def _(world, name, zone):
    contact = world.site.control_address("entry-1")
    entry = site_standin.EntryPlan(name, zone)
    world.site.start_entry(entry, contacts=[str(contact)])
    time.sleep(3)
    status = world.run(world.site.client.status(world.site.control_address(name)))
    assert status.revision == 2


@when(parsers.parse("the backend server of {name} is restarted"))
def _(world, name):
    plan = next(e for e in world.site.plan.endpoints if e.name == name)
    world.site.kill(f"{name}-server")
    world.site.start_backend(plan)


@when(parsers.parse("{name} is killed"))
def _(world, name):
    if name.startswith("desk"):
        world.results["expected_broken"] = feeds_at(world, name)
        world.results["ping_task"] = world.spawn(ping_until_broken(world))
        time.sleep(PING_INTERVAL_SECONDS)
    world.site.kill(name)
    world.results["killed_at"] = time.monotonic()


def feeds_at(world, name):
    """Return the feeds whose flows an agent owns, by their connection ids."""
    home = world.run(endpoint_status(world, name)).home
    service_keys = connection_id.make_service_keys(
        world.site.key_ring, identifiers.ServiceName("swap-desk")
    )
    return [
        feed
        for feed in world.feeds
        if connection_id.decode(service_keys, feed.caller._quic._peer_cid.cid) == home
    ]


async def ping_until_broken(world):
    """Send pings on all feeds and record when each caller learns of its lost flow."""
    notified_at = {}
    while True:
        for index, feed in enumerate(world.feeds):
            if feed.is_broken:
                notified_at.setdefault(index, time.monotonic())
            else:
                feed.caller._quic.send_ping(7)
                feed.caller.transmit()
        world.results["notified_at"] = notified_at
        await asyncio.sleep(PING_INTERVAL_SECONDS)


@then(parsers.parse("{name} has no flows left within {seconds:g} seconds"))
def _(world, name, seconds):
    async def has_no_flows() -> bool:
        status = await endpoint_status(world, name)
        return status.flows == 0 and status.flows_switching == 0

    world.run(site_standin.wait_until(has_no_flows, seconds))


@then(
    parsers.parse(
        "{name} has received no proposal after {seconds:g} seconds of its drain"
    )
)
def _(world, name, seconds):
    remaining = world.results["drained_at"] + seconds - time.monotonic()
    time.sleep(max(0.0, remaining))
    runs_before = sum(world.site.backend_statistics(name)["runs"].values())
    time.sleep(2)
    assert sum(world.site.backend_statistics(name)["runs"].values()) == runs_before


@then(parsers.parse("the flows are balanced within {seconds:g} seconds"))
def _(world, seconds):
    names = [e.name for e in world.site.plan.endpoints if e.service == "swap-desk"]

    async def is_balanced() -> bool:
        flows = [(await endpoint_status(world, name)).flows for name in names]
        world.results["flows"] = flows
        mean = sum(flows) / len(flows)
        return max(flows) <= max(mean * MAX_RATIO_TO_MEAN, mean + 1)

    try:
        world.run(site_standin.wait_until(is_balanced, seconds))
    except TimeoutError:
        pytest.fail(f"flows {world.results['flows']}")


@then(parsers.parse("{name} reports that flows are waiting"))
def _(world, name):
    assert world.run(endpoint_status(world, name)).flows_waiting > 0
    logged = [event.get("event_id") for event in world.site.log_events(name)]
    assert 3203 in logged


@then(parsers.parse("only the feeds of {name} are broken"))
def _(world, name):
    expected = world.results["expected_broken"]
    assert expected
    broken = [feed for feed in world.feeds if feed.is_broken]
    assert {id(feed) for feed in broken} == {id(feed) for feed in expected}


@then(
    parsers.parse(
        "their callers were notified within {seconds:g} seconds of their next packet"
    )
)
def _(world, seconds):
    killed_at = world.results["killed_at"]
    delays = sorted(at - killed_at for at in world.results["notified_at"].values())
    median = delays[len(delays) // 2]
    print(f"notified after: median {median:.2f} s, worst {delays[-1]:.2f} s")
    assert delays[-1] - 2 * PING_INTERVAL_SECONDS < seconds


@given(
    parsers.parse(
        "a site with {servers:d} swap-desk servers, {entries:d} entries and an idle "
        "timeout of {seconds:g} seconds"
    )
)
def _(world, servers, entries, seconds):
    world.start(conftest.make_site_plan(servers, entries, idle_timeout_seconds=seconds))


async def count_flows(world):
    """Return the number of flows at all swap-desk agents."""
    names = [e.name for e in world.site.plan.endpoints if e.service == "swap-desk"]
    return sum([(await endpoint_status(world, name)).flows for name in names])


@when(
    parsers.parse(
        "{count:d} of the callers disappear without closing their connections"
    )
)
def _(world, count):
    async def close_sockets():
        for feed in world.feeds[:count]:
            feed.caller.disappear()

    world.results["flows_before"] = world.run(count_flows(world))
    world.run(close_sockets())
    world.results["disappeared"] = count


@then(
    parsers.parse("the agents have closed {count:d} flows within {seconds:g} seconds")
)
def _(world, count, seconds):
    async def are_closed() -> bool:
        return await count_flows(world) == world.results["flows_before"] - count

    world.run(site_standin.wait_until(are_closed, seconds))


@then("the feeds of the other callers continue")
def _(world):
    for feed in world.feeds[world.results["disappeared"] :]:
        count_before = len(feed.events)
        time.sleep(0.5)
        assert len(feed.events) > count_before
        assert not feed.is_broken
        assert feed.lost_count == feed.duplicate_count == 0
