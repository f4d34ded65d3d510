"""Tests of contact points in the store."""

from __future__ import annotations

import asyncio

import pytest

from cactushall_core import addresses, store
from cactushall_core.membership import contact_slots, records
from cactushall_daemon import contact_service, contacts
from cactushall_platform import store as platform_client
from cactushall_rpc import store as etcd_client
from cactushall_rpc import store_keys
from tests.daemon import contact_zone, fleets
from tests.standins import platform_store
from tests.standins import store as etcd_store

PREFIX = store_keys.CONTACT_PREFIX.decode()
ADDRESS = addresses.Address("10.0.0.2", 7720)


class FixedStore:
    """A store that holds fixed entries."""

    def __init__(self, **values):
        self._entries = tuple(
            store.Entry((PREFIX + key).encode(), value, 1)
            for key, value in values.items()
        )

    async def get_prefix(self, _prefix):
        return store.Snapshot(self._entries, 1)


@pytest.fixture
async def platform_server():
    server = platform_store.PlatformStore()
    yield server
    await server.stop()


@pytest.fixture
async def platform(platform_server):
    """A client of the platform's store."""
    address = addresses.Address(*await platform_server.start())
    client = platform_client.KeyValueStore(address, contact_zone.fail)
    yield client
    client.close()


@pytest.fixture(params=["platform", "etcd"])
async def client(request, platform):
    """A client of each kind of store."""
    if request.param == "platform":
        yield platform
        return
    address = addresses.Address(fleets.HOSTS[0], fleets.free_port())
    async with etcd_store.serving(*address):
        made = etcd_client.Store((address,))
        yield made
        made.close()


@pytest.mark.parametrize("value", [b"", b"nonsense", b"10.0.0.1", b"\xff\xfe", b"{}"])
async def test_an_undecodable_entry_is_reported_and_skipped(value):
    reported = []
    client = FixedStore(foreign=value, own=b"10.0.0.2:7720")
    found = await contacts.read(client, lambda key, why: reported.append((key, why)))
    assert found.all_addresses == [ADDRESS]
    ((key, why),) = reported
    assert key == PREFIX + "foreign"
    assert why


@pytest.fixture
async def zone(client, monkeypatch):
    """A zone whose members look for a change often."""
    monkeypatch.setattr(contact_service, "CHECK_SECONDS", 0.02)
    monkeypatch.setattr(contact_service, "KEEP_ALIVE_SECONDS", 0.05)
    monkeypatch.setattr(contact_service, "UNKNOWN_HOLDER_SECONDS", 0.1)
    made = contact_zone.Zone(client)
    yield made
    made.close()


async def test_latest_holder_is_listed_after_its_lease_has_ended(zone):
    """Guards against a fleet that nobody finds after an outage of the store."""
    zone.start(1)
    await zone.wait_for_listed([1])
    await zone.stop(1)
    assert await zone.listed() == set()
    assert await zone.latest() == {1}


async def test_a_contact_point_is_back_soon_after_its_lease_has_ended(
    platform_server, platform, monkeypatch
):
    """Guards against an outage after which contact points are not listed for long."""
    monkeypatch.setattr(contact_service, "KEEP_ALIVE_SECONDS", 0.05)
    zone = contact_zone.Zone(platform)
    zone.start(1)
    await zone.wait_for_listed([1])
    for lease in tuple(platform_server.leases):
        platform_server.expire(lease)
    assert await zone.listed() == set()
    await zone.wait_for_listed([1])
    zone.close()


async def test_the_slot_of_a_stopped_contact_point_is_claimed_at_once(zone):
    """Guards against running members that nobody finds after planned stops."""
    for number in range(5):
        zone.start(number)
    await fleets.wait_for(lambda: has_full_list(zone))
    first, second, *_ = sorted(await zone.listed())
    await zone.stop(first)
    await fleets.wait_for(lambda: has_full_list(zone))
    await zone.stop(second)
    await zone.wait_for_listed(set(range(5)) - {first, second})


async def test_the_slot_of_a_dead_contact_point_is_claimed_before_its_lease_ends(zone):
    """Guards against joining members that are told of dead ones only."""
    for number in range(4):
        zone.start(number)
    await fleets.wait_for(lambda: has_full_list(zone))
    dead = min(await zone.listed())
    zone.kill(dead)
    zone.set_status(dead, records.Status.DEAD)
    await zone.wait_for_listed(set(range(4)) - {dead})


async def test_the_slots_of_processes_that_nobody_knows_are_claimed(zone):
    """Guards against restarted members that find nobody until leases have ended."""
    lost = set(range(3))
    for number in lost:
        zone.start(number)
    await zone.wait_for_listed(lost)
    zone.lose_power()
    for number in (3, 4):
        zone.start(number)

    async def are_listed():
        return {3, 4} < await zone.listed()

    await fleets.wait_for(are_listed)
    assert await zone.latest() == lost


async def test_a_holder_becomes_the_latest_one_once_the_former_is_known_to_be_gone(
    zone, monkeypatch
):
    """Guards against latest holders that are long gone in a later outage."""
    monkeypatch.setattr(contact_service, "REFRESH_SECONDS", 0.1)
    for number in range(3):
        zone.start(number)
    await zone.wait_for_listed(range(3))
    zone.lose_power()
    zone.start(3)

    async def is_latest():
        return 3 in await zone.latest()

    await fleets.wait_for(is_latest)


async def test_the_slot_of_a_process_that_answers_is_not_claimed(zone):
    """Guards against members that take each other's slots in turn."""
    for number in range(3):
        zone.start(number)
    await zone.wait_for_listed(range(3))
    zone.forget_all()
    zone.start(3)
    await asyncio.sleep(1.0)
    assert await zone.listed() == set(range(3))


async def test_a_process_that_starts_again_holds_its_former_slot_by_its_own_lease(zone):
    """Guards against slots that restarted holders lose when their old leases end."""
    for number in range(3):
        zone.start(number)
    await zone.wait_for_listed(range(3))
    zone.lose_power()
    zone.start(0)
    await asyncio.sleep(0.5)
    await zone.stop(0)
    assert await zone.listed() == {1, 2}


async def has_full_list(zone):
    return len(await zone.listed()) == contact_slots.SLOTS_PER_ZONE
