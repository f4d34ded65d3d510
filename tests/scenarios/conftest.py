"""Steps shared by all scenarios over QUIC, and the marker of all scenarios."""

from __future__ import annotations

import asyncio
import pathlib
import time

import pytest
from pytest_bdd import given, parsers, then, when

from cactushall_rpc import control
from tests.scenarios import world as world_module
from tests.standins import site as site_standin


def pytest_collection_modifyitems(items):
    """Mark all tests in this folder with `scenario`."""
    folder = pathlib.Path(__file__).parent
    for item in items:
        if folder in item.path.parents:
            item.add_marker(pytest.mark.scenario)


@pytest.fixture
def world(tmp_path):
    scenario_world = world_module.World(tmp_path)
    yield scenario_world
    scenario_world.close()


def make_site_plan(servers: int, entries: int, **options) -> site_standin.SitePlan:
    """Return a site with several swap-desk servers and one catalogue server.

    Servers and entries are spread over three availability zones.

    Args:
        servers: Number of backend servers of the service swap-desk.
        entries: Number of entries.
        **options: Further fields of the site's plan.
    """
    zones = ("attica-1", "attica-2", "attica-3")
    desk = tuple(
        site_standin.EndpointPlan(f"desk-{n}", "swap-desk", zones[n % 3])
        for n in range(servers)
    )
    catalogue = site_standin.EndpointPlan("catalogue-0", "catalogue", zones[0])
    return site_standin.SitePlan(
        services={"swap-desk": "127.0.1.1", "catalogue": "127.0.1.2"},
        endpoints=(*desk, catalogue),
        entries=tuple(
            site_standin.EntryPlan(f"entry-{n}", zones[n % 3]) for n in range(entries)
        ),
        **options,
    )


@given(
    parsers.parse("a site with {servers:d} swap-desk servers and {entries:d} entries")
)
def _(world, servers, entries):
    world.start(make_site_plan(servers, entries))


@given(
    parsers.parse(
        "a site with {servers:d} swap-desk servers, {entries:d} entries and a "
        "deadline of {seconds:g} seconds"
    )
)
def _(world, servers, entries, seconds):
    world.start(make_site_plan(servers, entries, deadline_seconds=seconds))


@given(parsers.parse("{count:d} feeds of {service}"))
@when(parsers.parse("{count:d} more feeds of {service} are opened"))
def _(world, count, service):
    world.run(world.open_feeds(count, service))


@when(parsers.parse("{callers:d} callers send {each:d} proposals each"))
def _(world, callers, each):
    async def send_proposals():
        caller = await world.open_caller("swap-desk")
        for _ in range(each):
            await world.send_proposal(caller)

    async def send_from_all_callers():
        await asyncio.gather(*(send_proposals() for _ in range(callers)))

    world.run(send_from_all_callers())


@when(parsers.parse("{callers:d} callers send proposals in the background"))
def _(world, callers):
    async def send_proposals():
        caller = await world.open_caller("swap-desk")
        while not world.results.get("stop"):
            await world.send_proposal(caller)
            await asyncio.sleep(0.1)

    for _ in range(callers):
        world.spawn(send_proposals())


@when(parsers.parse("{name} is killed"))
def _(world, name):
    world.site.kill(name)


@when(parsers.parse("{name} is started again"))
def _(world, name):
    plan = next(e for e in world.site.plan.endpoints if e.name == name)
    world.site.start_agent(plan)


@when(parsers.parse("the fabric sprays packets over {entries:d} entries"))
def _(world, entries):
    world.site.spray(entries)


@when(parsers.parse("{name} joins in {zone}"))
def _(world, name, zone):
    world.site.start_entry(site_standin.EntryPlan(name, zone))

    async def is_ready() -> bool:
        try:
            address = world.site.control_address(name)
            status = await world.site.client.status(address)
        except control.ControlError:
            return False
        return status.revision > 0

    world.run(site_standin.wait_until(is_ready, 20.0))


@when(parsers.parse("{seconds:g} seconds pass"))
def _(seconds):
    time.sleep(seconds)


@when(parsers.parse("{name} is frozen for {seconds:g} seconds"))
def _(world, name, seconds):
    world.site.suspend(name)
    time.sleep(seconds)
    world.site.resume(name)


@when("the callers stop sending proposals")
def _(world):
    world.results["stop"] = True

    async def wait_for_answers():
        async def all_finished() -> bool:
            return all(p.status or p.is_broken for p in world.proposals)

        await site_standin.wait_until(all_finished, 30.0)

    world.run(wait_for_answers())


@then("every proposal was answered once")
def _(world):
    assert world.proposals
    assert [p for p in world.proposals if p.status != 200] == []
    assert {world.run_count(p.key) for p in world.proposals} == {1}


@then("no feed is broken and no event is lost or duplicated")
def _(world):
    assert world.feeds
    assert world.broken_feeds() == []
    assert [f for f in world.feeds if f.lost_count or f.duplicate_count] == []


@then(parsers.parse("{name} exits with code {code:d} on SIGTERM"))
def _(world, name, code):
    assert world.run(world.site.terminate(name)) == code


@then(parsers.parse("{callers:d} callers can send {each:d} proposals each"))
def _(world, callers, each):
    async def send_proposals():
        for _ in range(callers):
            caller = await world.open_caller("swap-desk")
            for _ in range(each):
                assert (await world.send_proposal(caller)).status == 200

    world.run(send_proposals())
