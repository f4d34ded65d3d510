"""Contact points: the few addresses in the store that a new process asks first."""

from __future__ import annotations

import asyncio
import collections.abc

import msgspec

from cactushall_core import addresses, exceptions, store
from cactushall_core.membership import records
from cactushall_daemon import events, logs, unreadable
from cactushall_rpc import paths

log = logs.get_logger(__name__)

SLOTS_PER_ZONE = 3
LEASE_SECONDS = 30
KEEP_ALIVE_SECONDS = 10.0
RETRY_SECONDS = 2.0

StoreNoter = collections.abc.Callable[[Exception | None], None]


class Claim(msgspec.Struct, frozen=True):
    """A contact slot that this process holds."""

    key: bytes
    lease: store.LeaseId


async def read(
    client: store.Store, on_unreadable: unreadable.Noter
) -> list[addresses.Address]:
    """Return the addresses of all contact points.

    Args:
        client: The store.
        on_unreadable: Told the key of each value that is no address, and why.

    Raises:
        StoreUnavailableError: The store gave no answer.
    """
    snapshot = await client.get_prefix(paths.CONTACTS)
    found = []
    for entry in snapshot.entries:
        try:
            found.append(addresses.parse(entry.value.decode()))
        except ValueError as error:
            on_unreadable(entry.key.decode(), str(error))
    return found


async def read_if_available(
    client: store.Store, on_unreadable: unreadable.Noter, note_store: StoreNoter
) -> list[addresses.Address]:
    """Return the addresses of all contact points, none where the store is away.

    Args:
        client: The store.
        on_unreadable: Told the key of each value that is no address, and why.
        note_store: Told where the store gave no answer.
    """
    try:
        return await read(client, on_unreadable)
    except exceptions.StoreUnavailableError as error:
        note_store(error)
        return []


async def claim(
    client: store.Store, member: records.Member, address: addresses.Address
) -> Claim | None:
    """Become a contact point where the member's availability zone needs one.

    Args:
        client: The store.
        member: The member.
        address: Where a new process should ask.

    Returns:
        The claim, or None where all slots are taken.

    Raises:
        StoreUnavailableError: The store gave no answer.
    """
    snapshot = await client.get_prefix(paths.CONTACTS)
    taken = {entry.key for entry in snapshot.entries}
    slots = (paths.contact(member.zone, slot) for slot in range(SLOTS_PER_ZONE))
    free = [key for key in slots if key not in taken]
    if not free:
        return None
    lease = await client.grant(LEASE_SECONDS)
    value = str(address).encode()
    for key in free:
        if await client.create(key, value, lease):
            return Claim(key, lease)
    await client.revoke(lease)
    return None


async def hold(client: store.Store, held: Claim) -> None:
    """Keep a claim until its lease has expired.

    The store may be down for any time; the claim is lost only when the store says
    so.
    """
    while True:
        await asyncio.sleep(KEEP_ALIVE_SECONDS)
        try:
            await client.keep_alive(held.lease)
        except store.LeaseExpiredError:
            log.info(events.Event.CONTACT_LOST, key=held.key.decode())
            return
        except exceptions.StoreUnavailableError:
            continue


async def serve(
    client: store.Store,
    member: records.Member,
    address: addresses.Address,
    note_store: StoreNoter,
    duties: collections.abc.Callable[
        [], list[collections.abc.Coroutine[None, None, None]]
    ],
) -> None:
    """Hold a contact slot whenever one is free, until cancelled.

    Args:
        client: The store.
        member: The member that serves.
        address: Where a new process should ask.
        note_store: Told whether the store answered.
        duties: Returns what a contact point does while it holds its slot.
    """
    while True:
        try:
            held = await claim(client, member, address)
            note_store(None)
        except exceptions.StoreUnavailableError as error:
            note_store(error)
            await asyncio.sleep(RETRY_SECONDS)
            continue
        if held is None:
            await asyncio.sleep(LEASE_SECONDS)
            continue
        log.info(events.Event.CONTACT_CLAIMED, key=held.key.decode())
        tasks = [asyncio.create_task(duty) for duty in duties()]
        try:
            await hold(client, held)
        finally:
            for task in tasks:
                task.cancel()
