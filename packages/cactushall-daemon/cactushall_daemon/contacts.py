"""Contact points: the few addresses in the store that a new process asks first."""

from __future__ import annotations

import asyncio
import dataclasses

from cactushall_core import addresses, exceptions
from cactushall_core.membership import records
from cactushall_daemon import events, logs
from cactushall_rpc import paths, store

log = logs.get_logger(__name__)

SLOTS_PER_ZONE = 3
LEASE_SECONDS = 30
KEEP_ALIVE_SECONDS = 10.0
RETRY_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Claim:
    """A contact slot that this process holds."""

    key: bytes
    lease: store.LeaseId


async def read(client: store.Store) -> list[addresses.Address]:
    """Return the control addresses of all contact points.

    Raises:
        StoreUnavailableError: The store gave no answer.
    """
    snapshot = await client.get_prefix(paths.CONTACTS)
    found = []
    for entry in snapshot.entries:
        try:
            found.append(addresses.parse(entry.value.decode()))
        except ValueError:
            continue
    return found


async def claim(client: store.Store, member: records.Member) -> Claim | None:
    """Become a contact point where the member's availability zone needs one.

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
    value = str(member.control_address).encode()
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
