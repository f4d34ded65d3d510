"""Scenarios of flows that outlast planned changes."""

from __future__ import annotations

import asyncio
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from cactushall_core import connection_id, identifiers
from tests.scenarios import conftest
from tests.standins import site as site_standin

scenarios("flows.feature")

MAX_IMBALANCE = 1.15
KEEP_ALIVE_SECONDS = 0.2


@given(
    parsers.parse(
        "a site with {servers:d} swap-desk servers, {entries:d} entries and "
        "{connections:d} connections each"
    )
)
def _(world, servers, entries, connections):
    plan = conftest.small_site(servers, entries)
    world.start(site_standin.limit_connections(plan, connections))


async def endpoint_status(world, name):
    status = await world.site.client.status(world.site.control_address(name))
    return status.endpoints[0]


@when(parsers.parse("operators drain {name}"))
def _(world, name):
    world.run(world.site.reconfigure(drained_nodes=(name,)))
    world.results["drained_at"] = time.monotonic()


@when(parsers.parse("operators return {name}"))
def _(world, name):
    world.run(world.site.reconfigure(drained_nodes=()))


@when(parsers.parse("operators close zone {zone}"))
def _(world, zone):
    world.run(world.site.reconfigure(closed_zones=(zone,)))
    time.sleep(1)


@when(parsers.parse("{name} joins in {zone} by its contacts"))
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
        world.results["victims"] = feeds_at(world, name)
        world.results["notices"] = world.spawn(watch_notices(world))
        time.sleep(KEEP_ALIVE_SECONDS)
    world.site.kill(name)
    world.results["killed_at"] = time.monotonic()


def feeds_at(world, name):
    """Return the feeds whose flows live at an agent."""
    home = world.run(endpoint_status(world, name)).home
    service_keys = connection_id.make_service_keys(
        world.site.ring, identifiers.ServiceName("swap-desk")
    )
    return [
        feed
        for feed in world.feeds
        if connection_id.decode(service_keys, feed.caller._quic._peer_cid.cid) == home
    ]


async def watch_notices(world):
    """Let callers ping often and note when each learns that its flow is gone."""
    noticed = {}
    while True:
        for index, feed in enumerate(world.feeds):
            if feed.is_broken:
                noticed.setdefault(index, time.monotonic())
            else:
                feed.caller._quic.send_ping(7)
                feed.caller.transmit()
        world.results["noticed"] = noticed
        await asyncio.sleep(KEEP_ALIVE_SECONDS)


@then(parsers.parse("{name} has no flows left within {seconds:g} seconds"))
def _(world, name, seconds):
    async def is_empty() -> bool:
        status = await endpoint_status(world, name)
        return status.flows == 0 and status.flows_switching == 0

    world.run(site_standin.poll(is_empty, seconds))


@then(
    parsers.parse(
        "{name} has received no proposal after {seconds:g} seconds of its drain"
    )
)
def _(world, name, seconds):
    remaining = world.results["drained_at"] + seconds - time.monotonic()
    time.sleep(max(0.0, remaining))
    before = sum(world.site.counts(name)["runs"].values())
    time.sleep(2)
    assert sum(world.site.counts(name)["runs"].values()) == before


@then(parsers.parse("the flows are balanced within {seconds:g} seconds"))
def _(world, seconds):
    names = [e.name for e in world.site.plan.endpoints if e.service == "swap-desk"]

    async def is_balanced() -> bool:
        flows = [(await endpoint_status(world, name)).flows for name in names]
        world.results["flows"] = flows
        mean = sum(flows) / len(flows)
        return max(flows) <= max(mean * MAX_IMBALANCE, mean + 1)

    try:
        world.run(site_standin.poll(is_balanced, seconds))
    except TimeoutError:
        pytest.fail(f"flows {world.results['flows']}")


@then(parsers.parse("{name} says that flows wait"))
def _(world, name):
    assert world.run(endpoint_status(world, name)).flows_waiting > 0
    logged = [event.get("event_id") for event in world.site.log_events(name)]
    assert 3203 in logged


@then(parsers.parse("only the feeds of {name} are broken"))
def _(world, name):
    victims = world.results["victims"]
    assert victims
    broken = [feed for feed in world.feeds if feed.is_broken]
    assert {id(feed) for feed in broken} == {id(feed) for feed in victims}


@then(
    parsers.parse("their callers knew within {seconds:g} seconds of their next packet")
)
def _(world, seconds):
    killed_at = world.results["killed_at"]
    delays = sorted(at - killed_at for at in world.results["noticed"].values())
    median = delays[len(delays) // 2]
    print(f"noticed after: median {median:.2f} s, worst {delays[-1]:.2f} s")
    assert delays[-1] - 2 * KEEP_ALIVE_SECONDS < seconds


@given(
    parsers.parse(
        "a site with {servers:d} swap-desk servers, {entries:d} entries and an idle "
        "timeout of {seconds:g} seconds"
    )
)
def _(world, servers, entries, seconds):
    world.start(conftest.small_site(servers, entries, idle_timeout_seconds=seconds))


async def count_flows(world):
    """Return the flows of all swap-desk agents."""
    names = [e.name for e in world.site.plan.endpoints if e.service == "swap-desk"]
    return sum([(await endpoint_status(world, name)).flows for name in names])


@when(parsers.parse("the network forgets {count:d} of the callers"))
def _(world, count):
    async def forget():
        for feed in world.feeds[:count]:
            feed.caller._transport.abort()

    world.results["before"] = world.run(count_flows(world))
    world.run(forget())
    world.results["forgotten"] = count


@then(
    parsers.parse("the agents have closed {count:d} flows within {seconds:g} seconds")
)
def _(world, count, seconds):
    async def is_noticed() -> bool:
        return await count_flows(world) == world.results["before"] - count

    world.run(site_standin.poll(is_noticed, seconds))


@then("the feeds of the other callers go on")
def _(world):
    for feed in world.feeds[world.results["forgotten"] :]:
        seen = len(feed.events)
        time.sleep(0.5)
        assert len(feed.events) > seen
        assert not feed.is_broken
        assert feed.lost == feed.doubled == 0
