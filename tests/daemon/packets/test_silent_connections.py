"""Tests of nodes whose open connections to the store have gone silent."""

from __future__ import annotations

import asyncio
import json

import pytest

from cactushall_platform import configuration
from tests.daemon import fleets
from tests.daemon.packets import test_table_exchange
from tests.standins import packet_site, platform_store

HOSTS = fleets.HOSTS[:3]
CONTACT_SECONDS = 4.0
CONFIGURATION_SECONDS = 3.0


@pytest.fixture
async def fleet(tmp_path):
    made = test_table_exchange.Fleet(tmp_path)
    yield made
    await made.stop()


@pytest.fixture
async def server():
    made = platform_store.PlatformStore()
    made.address = await made.start()
    yield made
    await made.stop()


def write_configuration(server, version):
    document = packet_site.make_configuration(version)
    server.put(configuration.KEY.decode(), json.dumps(document).encode())


@pytest.mark.parametrize("silent", ["/", "/api/kv-watch"])
async def test_a_change_is_adopted_although_open_connections_are_silent(
    fleet, server, silent
):
    """Guards against a removed route that all nodes serve until their watches end."""
    write_configuration(server, 1)
    nodes = [
        await fleet.start_node(host, [HOSTS[0]], store_address=server.address)
        for host in HOSTS
    ]
    nodes[0].serve_as_contact()

    def has_adopted(version):
        return all(node.route_table.revision == version for node in nodes)

    await fleets.wait_until(lambda: has_adopted(1) and server.leases)
    write_configuration(server, 2)
    await fleets.wait_until(lambda: has_adopted(2))
    await asyncio.sleep(1.0)
    server.silence_connections(silent)
    await asyncio.sleep(CONTACT_SECONDS)
    write_configuration(server, 3)
    async with asyncio.timeout(CONFIGURATION_SECONDS):
        await fleets.wait_until(lambda: has_adopted(3))
