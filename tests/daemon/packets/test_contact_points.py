"""Tests of which processes of the packet transport the store lists."""

from __future__ import annotations

import http

from cactushall_core import addresses
from cactushall_rpc import store_keys
from tests.daemon import fleets

SLOTS = 3


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
