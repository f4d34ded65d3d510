"""Tests of processes beside odd entries that another writer has left in the store."""

from __future__ import annotations

import json

import pytest

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
