"""Tests of which processes of the packet transport the store lists."""

from __future__ import annotations

import asyncio
import http

from cactushall_core import addresses
from cactushall_rpc import store_keys
from tests.daemon import fleets
from tests.daemon.packets import node_fleet

SLOTS = 3
LOST_LEASE = 999
RECOVERY_SECONDS = 12.0


def make_store_probe(store):
    """Return a function that tells the hosts that the store lists."""
    prefix = store_keys.CONTACT_PREFIX.decode()

    def listed_hosts():
        return {
            addresses.parse(store.value_of(key).decode()).host
            for key in store.items
            if key.startswith(prefix)
        }

    return listed_hosts


async def test_a_process_that_stays_is_listed_once_the_contact_points_have_stopped(
    fleet, store
):
    """Guards against new processes that find only each other in the store."""
    *stopped, staying = fleets.HOSTS[: SLOTS + 1]
    listed_hosts = make_store_probe(store)
    for host in stopped:
        await fleet.start_entry(host, stopped, store.address)
    await fleets.wait_until(lambda: listed_hosts() == set(stopped))
    await fleet.start_entry(staying, stopped, store.address)

    async def is_ready():
        return await fleet.readiness(staying) == http.HTTPStatus.OK

    await fleets.wait_for(is_ready)
    for host in stopped:
        await fleet.stop_entry(host)
    await fleets.wait_until(lambda: listed_hosts() == {staying})


async def test_entries_find_each_other_while_lost_ones_hold_all_slots(fleet, store):
    """Guards against a restarted fleet that nobody serves until leases have ended."""
    *lost, first, second = fleets.HOSTS[: SLOTS + 2]
    for slot, host in enumerate(lost):
        key = store_keys.contact(node_fleet.ZONE, slot)
        address = str(fleet.peer_address(host)).encode()
        store.put(key.decode(), address, lease=LOST_LEASE)
        store.put(store_keys.latest_holder(key).decode(), address)
    for host in (first, second):
        await fleet.start_entry(host, lost, store.address)

    async def are_ready():
        statuses = [await fleet.readiness(host) for host in (first, second)]
        return statuses == [http.HTTPStatus.OK] * 2

    async with asyncio.timeout(RECOVERY_SECONDS):
        while not await are_ready():
            await asyncio.sleep(fleets.POLL_SECONDS)
