"""Contact points: members whose addresses the store lists for joining processes.

Each availability zone has a few slots in the store; a contact point holds one
of them by a lease. Leases end where the store is down for long; the latest holder of
each slot is listed besides, so that a joining process does not take a fleet for gone
whose leases have ended.
"""

from __future__ import annotations

import asyncio
import collections.abc

import msgspec

from cactushall_core import addresses, exceptions, store
from cactushall_core.membership import records
from cactushall_daemon import events, logs, tasks, unreadable_entries
from cactushall_rpc import store_keys

log = logs.get_logger(__name__)

SLOTS_PER_ZONE = 3
LEASE_SECONDS = 30
# Contact points whose leases have ended are back so soon after the store is.
KEEP_ALIVE_SECONDS = 2.0
RETRY_SECONDS = 2.0

StoreResultCallback = collections.abc.Callable[[Exception | None], None]


class SlotClaim(msgspec.Struct, frozen=True):
    """A contact slot that this process holds.

    Attributes:
        key: Key of the slot.
        lease: Its lease.
        is_first: Whether it is the first slot of its availability zone.
    """

    key: bytes
    lease: store.LeaseId
    is_first: bool


class StoredContacts(msgspec.Struct, frozen=True):
    """Addresses that the store lists, by their keys.

    Attributes:
        current: The contact points.
        latest: The latest holders of all slots, by the key of the slot; they may be
            gone.
    """

    current: dict[bytes, addresses.Address]
    latest: dict[bytes, addresses.Address]

    @property
    def all_addresses(self) -> list[addresses.Address]:
        """All addresses, each once, those of contact points first."""
        listed = (*self.current.values(), *self.latest.values())
        return list(dict.fromkeys(listed))


async def read(
    client: store.Store, on_unreadable: unreadable_entries.Reporter
) -> StoredContacts:
    """Read the contact points.

    Args:
        client: The store.
        on_unreadable: Called with the key of each value that is not an address, and
            the reason.

    Raises:
        StoreUnavailableError: The store did not respond.
    """
    return _decode(await client.get_prefix(store_keys.CONTACTS), on_unreadable)


def _decode(
    snapshot: store.Snapshot, on_unreadable: unreadable_entries.Reporter
) -> StoredContacts:
    found = StoredContacts({}, {})
    for entry in snapshot.entries:
        try:
            address = addresses.parse(entry.value.decode())
        except ValueError as error:
            on_unreadable(entry.key.decode(errors="replace"), str(error))
            continue
        if entry.key.startswith(store_keys.LATEST_HOLDER_PREFIX):
            found.latest[entry.key] = address
        elif entry.key.startswith(store_keys.CONTACT_PREFIX):
            found.current[entry.key] = address
    return found


async def read_if_available(
    client: store.Store,
    on_unreadable: unreadable_entries.Reporter,
    record_store_result: StoreResultCallback,
) -> StoredContacts | None:
    """Read the contact points, None if the store is unavailable.

    Args:
        client: The store.
        on_unreadable: Called with the key of each value that is not an address, and
            the reason.
        record_store_result: Called with the error if the store did not respond.
    """
    try:
        return await read(client, on_unreadable)
    except exceptions.StoreUnavailableError as error:
        record_store_result(error)
        return None


async def claim_slot(
    client: store.Store, member: records.Member, address: addresses.Address
) -> SlotClaim | None:
    """Claim a free contact slot of the member's availability zone.

    Args:
        client: The store.
        member: The member that becomes a contact point.
        address: The address that joining processes should use.

    Returns:
        The claim, or None if all slots are taken.

    Raises:
        StoreUnavailableError: The store did not respond.
    """
    snapshot = await client.get_prefix(store_keys.CONTACTS)
    free = _free_slots(snapshot, member, address)
    if not free:
        return None
    lease = await client.grant(LEASE_SECONDS)
    value = str(address).encode()
    for key in free:
        latest = store.Write(store_keys.latest_holder(key), value)
        if await client.create(key, value, lease, [latest]):
            is_first = key == store_keys.contact(member.zone, 0)
            return SlotClaim(key, lease, is_first)
    await client.revoke(lease)
    return None


def _free_slots(
    snapshot: store.Snapshot, member: records.Member, address: addresses.Address
) -> list[bytes]:
    """Return the free slots of a zone, in the order in which to claim them.

    A slot that another member held last comes last: its address is overwritten.
    """
    values = {entry.key: entry.value for entry in snapshot.entries}
    own = str(address).encode()

    def is_of_another(key: bytes) -> bool:
        return values.get(store_keys.latest_holder(key), own) != own

    def is_unused(key: bytes) -> bool:
        return store_keys.latest_holder(key) not in values

    slots = (store_keys.contact(member.zone, slot) for slot in range(SLOTS_PER_ZONE))
    free = [key for key in slots if key not in values]
    return sorted(free, key=lambda key: (is_of_another(key), is_unused(key)))


async def hold_slot(client: store.Store, claim: SlotClaim) -> None:
    """Renew the lease of a claim until it has expired.

    The store may be unavailable for any time; the claim is lost only when the store
    reports that the lease has expired.
    """
    while True:
        await asyncio.sleep(KEEP_ALIVE_SECONDS)
        try:
            await client.keep_alive(claim.lease)
        except store.LeaseExpiredError:
            log.info(events.Event.CONTACT_LOST, key=claim.key.decode())
            return
        except exceptions.StoreUnavailableError:
            continue


async def serve(
    client: store.Store,
    member: records.Member,
    address: addresses.Address,
    record_store_result: StoreResultCallback,
    while_held: collections.abc.Callable[
        [SlotClaim], collections.abc.Sequence[tasks.Run]
    ],
) -> None:
    """Claim and hold a contact slot whenever one is free, until cancelled.

    Args:
        client: The store.
        member: The member that serves as a contact point.
        address: The address that joining processes should use.
        record_store_result: Called after each claim with the error if the store did not
            respond, else with None.
        while_held: Returns what to run while a slot is held.
    """
    while True:
        try:
            claim = await claim_slot(client, member, address)
            record_store_result(None)
        except exceptions.StoreUnavailableError as error:
            record_store_result(error)
            await asyncio.sleep(RETRY_SECONDS)
            continue
        except store.LeaseExpiredError:
            # It lapsed while the claim was under way.
            await asyncio.sleep(RETRY_SECONDS)
            continue
        if claim is None:
            await asyncio.sleep(LEASE_SECONDS)
            continue
        log.info(events.Event.CONTACT_CLAIMED, key=claim.key.decode())
        running = [asyncio.create_task(run()) for run in while_held(claim)]
        try:
            await hold_slot(client, claim)
        finally:
            for task in running:
                task.cancel()
