"""Contact points: members whose addresses the store lists for joining processes.

Each availability zone has a few slots in the store; a contact point holds one
of them by a lease. Leases end where the store is down for long; the latest holder of
each slot is listed besides, so that a joining process does not take a fleet for gone
whose leases have ended.
"""

from __future__ import annotations

import collections.abc

import msgspec

from cactushall_core import addresses, exceptions, identifiers, store
from cactushall_core.membership import contact_slots
from cactushall_daemon import unreadable_entries
from cactushall_rpc import store_keys

StoreResultCallback = collections.abc.Callable[[Exception | None], None]


class StoredContacts(msgspec.Struct, frozen=True):
    """What the store lists, by its keys.

    Attributes:
        current: Addresses of the contact points.
        latest: Addresses of the latest holders of all slots; they may be gone.
        revisions: Revision of the latest change of each key, also of unreadable ones.
    """

    current: dict[bytes, addresses.Address]
    latest: dict[bytes, addresses.Address]
    revisions: dict[bytes, int]

    @property
    def all_addresses(self) -> list[addresses.Address]:
        """All addresses, each once, those of contact points first."""
        listed = (*self.current.values(), *self.latest.values())
        return list(dict.fromkeys(listed))

    def slots(self, zone: identifiers.ZoneName) -> list[contact_slots.Slot]:
        """Return all slots of an availability zone."""
        return [
            self._slot(zone, number) for number in range(contact_slots.SLOTS_PER_ZONE)
        ]

    def _slot(self, zone: identifiers.ZoneName, number: int) -> contact_slots.Slot:
        key = store_keys.contact(zone, number)
        return contact_slots.Slot(
            number,
            self.current.get(key),
            self.revisions.get(key, 0),
            self.latest.get(store_keys.latest_holder(key)),
        )


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
    found = StoredContacts({}, {}, {})
    for unreadable in snapshot.unreadable:
        found.revisions[unreadable.key] = unreadable.mod_revision
    for entry in snapshot.entries:
        found.revisions[entry.key] = entry.mod_revision
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
