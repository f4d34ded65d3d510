"""Fixtures of tests with nodes on loopback hosts."""

from __future__ import annotations

import pytest

from tests.daemon.packets import node_fleet
from tests.standins import packet_site, platform_store


@pytest.fixture
async def fleet(tmp_path):
    """Return nodes, which are stopped after the test."""
    made = node_fleet.Fleet(tmp_path)
    yield made
    await made.stop()


@pytest.fixture
async def store():
    """Return a store that holds a configuration, and its address."""
    server = platform_store.PlatformStore()
    packet_site.write_configuration(server, packet_site.make_configuration())
    server.address = await server.start()
    yield server
    await server.stop()
