"""Tests of nodes whose open connections to the store have gone silent."""

from __future__ import annotations

import asyncio

import pytest

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
    nodes = [
        await fleet.start_node(host, [HOSTS[0]], store_address=store.address)
        for host in HOSTS
    ]
    nodes[0].serve_as_contact()

    def has_adopted(version):
        return all(node.route_table.revision == version for node in nodes)

    await fleets.wait_until(lambda: has_adopted(1) and store.leases)
    packet_site.write_configuration(store, packet_site.make_configuration(2))
    await fleets.wait_until(lambda: has_adopted(2))
    await asyncio.sleep(1.0)
    store.silence_connections(silent)
    await asyncio.sleep(CONTACT_SECONDS)
    packet_site.write_configuration(store, packet_site.make_configuration(3))
    async with asyncio.timeout(CONFIGURATION_SECONDS):
        await fleets.wait_until(lambda: has_adopted(3))
