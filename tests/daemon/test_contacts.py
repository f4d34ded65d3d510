"""Tests of contact points in the store."""

from __future__ import annotations

import pytest

from cactushall_core import addresses, store
from cactushall_daemon import contacts
from cactushall_platform import store as platform_client
from cactushall_rpc import store as etcd_client
from cactushall_rpc import store_keys
from tests.core import builders
from tests.daemon import fleets
from tests.standins import platform_store
from tests.standins import store as etcd_store

PREFIX = store_keys.CONTACT_PREFIX.decode()
ADDRESS = addresses.Address("10.0.0.2", 7720)
OTHER_ADDRESS = addresses.Address("10.0.0.3", 7720)
MEMBER = builders.make_agent(1).member


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
    client = platform_client.KeyValueStore(address, fail)
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


def fail(key, why):
    pytest.fail(f"{key}: {why}")


def slot(number):
    return store_keys.contact(MEMBER.zone, number)


@pytest.mark.parametrize("value", [b"", b"nonsense", b"10.0.0.1", b"\xff\xfe", b"{}"])
async def test_an_undecodable_entry_is_reported_and_skipped(value):
    reported = []
    client = FixedStore(foreign=value, own=b"10.0.0.2:7720")
    found = await contacts.read(client, lambda key, why: reported.append((key, why)))
    assert found.all_addresses == [ADDRESS]
    ((key, why),) = reported
    assert key == PREFIX + "foreign"
    assert why


async def test_latest_holder_is_listed_after_its_lease_has_ended(client):
    """Guards against a fleet that nobody finds after an outage of the store."""
    claim = await contacts.claim_slot(client, MEMBER, ADDRESS)
    found = await contacts.read(client, fail)
    assert list(found.current.values()) == [ADDRESS]
    await client.revoke(claim.lease)
    found = await contacts.read(client, fail)
    assert found.current == {}
    assert found.all_addresses == [ADDRESS]


async def test_claims_overwrite_the_latest_holders_of_other_members_last(client):
    """Guards against new members that overwrite the addresses of the old ones."""
    first = await contacts.claim_slot(client, MEMBER, ADDRESS)
    await client.revoke(first.lease)
    claims = [
        await contacts.claim_slot(client, MEMBER, OTHER_ADDRESS)
        for _ in range(contacts.SLOTS_PER_ZONE - 1)
    ]
    assert first.key not in [claim.key for claim in claims]
    assert set((await contacts.read(client, fail)).all_addresses) == {
        ADDRESS,
        OTHER_ADDRESS,
    }
    again = await contacts.claim_slot(client, MEMBER, ADDRESS)
    assert again.key == first.key
    assert await contacts.claim_slot(client, MEMBER, OTHER_ADDRESS) is None


async def test_a_holder_claims_its_former_slot_first(client):
    for number in range(contacts.SLOTS_PER_ZONE):
        address = ADDRESS if number == 1 else OTHER_ADDRESS
        latest = store.Write(
            store_keys.latest_holder(slot(number)), str(address).encode()
        )
        lease = await client.grant(contacts.LEASE_SECONDS)
        assert await client.create(slot(number), b"", lease, [latest])
        await client.revoke(lease)
    claim = await contacts.claim_slot(client, MEMBER, ADDRESS)
    assert claim.key == slot(1)


async def test_a_contact_point_is_back_soon_after_its_lease_has_ended(
    platform_server, platform, monkeypatch
):
    """Guards against an outage after which contact points are not listed for long."""
    monkeypatch.setattr(contacts, "KEEP_ALIVE_SECONDS", 0.05)
    claim = await contacts.claim_slot(platform, MEMBER, ADDRESS)
    platform_server.expire(claim.lease)
    await contacts.hold_slot(platform, claim)
    again = await contacts.claim_slot(platform, MEMBER, ADDRESS)
    assert again.key == claim.key
