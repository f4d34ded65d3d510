"""Tests of nodes whose open connections to the store have gone silent."""

from __future__ import annotations

import asyncio

import pytest

from cactushall_core.membership import records
from cactushall_daemon.packets import node
from tests.daemon import fleets
from tests.standins import packet_site

HOSTS = fleets.HOSTS[:3]
CONTACT_SECONDS = 4.0
CONFIGURATION_SECONDS = 3.0


@pytest.mark.parametrize("silent", ["/", "/api/kv-watch"])
async def test_a_change_is_adopted_although_open_connections_are_silent(
    fleet, store, silent
):
    """Guards against a removed route that all nodes serve until their watches end."""
    nodes = await start_contact_points(fleet, store)
    await check_change_is_adopted(nodes, store, silent)


async def test_a_change_is_adopted_after_the_first_contact_point_has_left(fleet, store):
    """Guards against a zone in which nobody watches closely after one restart."""
    first, *others = await start_contact_points(fleet, store)
    first.stop()
    await fleets.wait_until(
        lambda: all(n.gossip.membership.table.present_count == 2 for n in others)
    )
    await check_change_is_adopted(others, store, "/api/kv-watch")


@pytest.mark.parametrize("closes_connections", [False, True])
@pytest.mark.parametrize("silent", ["/", "/api/kv-watch"])
async def test_a_change_right_after_the_silence_is_in_force_in_touch(
    fleet, store, silent, closes_connections
):
    """Guards against time-outs that together take longer than `contact_ms`.

    Watches begin just before the silence, and where the store closes the connection of
    each call, no call shows the silence.
    """
    store.closes_connections = closes_connections
    nodes = await start_contact_points(fleet, store)
    await fleets.wait_until(lambda: has_adopted(nodes, 1))
    await asyncio.sleep(2 * node.CLOSE_WATCH_CHECK_SECONDS)
    packet_site.write_configuration(store, packet_site.make_configuration(2))
    await fleets.wait_until(lambda: has_adopted(nodes, 2))
    store.silence_connections(silent)
    async with asyncio.timeout(CONTACT_SECONDS):
        await asyncio.sleep(0.1)
        packet_site.write_configuration(store, packet_site.make_configuration(3))
        await fleets.wait_until(lambda: has_adopted(nodes, 3))


def has_adopted(nodes, version):
    return all(one.route_table.revision == version for one in nodes)


async def start_contact_points(fleet, store):
    """Start nodes that serve as contact points, the longest-running one first."""
    nodes = []
    for host in HOSTS:
        started = await fleet.start_node(
            host, [HOSTS[0]], store_address=store.address, role=records.Role.ENTRY
        )
        started.serve_as_contact()
        nodes.append(started)
        await fleets.wait_until(lambda: len(store.leases) == len(nodes))
    return nodes


async def check_change_is_adopted(nodes, store, silent):
    """Let open connections go silent and write a change, which all must adopt."""
    await fleets.wait_until(lambda: has_adopted(nodes, 1))
    packet_site.write_configuration(store, packet_site.make_configuration(2))
    await fleets.wait_until(lambda: has_adopted(nodes, 2))
    await asyncio.sleep(1.0)
    store.silence_connections(silent)
    await asyncio.sleep(CONTACT_SECONDS)
    packet_site.write_configuration(store, packet_site.make_configuration(3))
    async with asyncio.timeout(CONFIGURATION_SECONDS):
        await fleets.wait_until(lambda: has_adopted(nodes, 3))
