"""Finds members through the settings and the contact points in the store."""

from __future__ import annotations

import asyncio
import collections.abc

from cactushall_core import addresses, store
from cactushall_daemon import contacts, gossip, unreadable_entries

CHECK_SECONDS = 0.1
ALONE_READ_SECONDS = 0.4
INCOMPLETE_READ_SECONDS = 1.0

SettingsContacts = collections.abc.Callable[[], list[addresses.Address]]


class Discovery:
    """Hands contact points to the membership protocol."""

    def __init__(
        self,
        gossip_endpoint: gossip.GossipEndpoint,
        client: store.Store,
        on_unreadable: unreadable_entries.Reporter,
        record_store_result: contacts.StoreResultCallback,
        settings_contacts: SettingsContacts,
    ) -> None:
        """Create it without reading anything.

        Args:
            gossip_endpoint: Asks the contact points for their tables.
            client: The store, which lists further contact points.
            on_unreadable: Called for each contact point that cannot be read.
            record_store_result: Called with the error if the store did not respond.
            settings_contacts: Returns the control addresses that the settings name.
        """
        self._gossip = gossip_endpoint
        self._store = client
        self._on_unreadable = on_unreadable
        self._record_store_result = record_store_result
        self._settings_contacts = settings_contacts
        self._stored: list[addresses.Address] = []

    async def run(self) -> None:
        """Look for contact points while some members may not be known."""
        loop = asyncio.get_running_loop()
        next_read_at = loop.time()
        while True:
            if loop.time() >= next_read_at and self._gossip.membership.needs_contacts:
                await self._look_for_contacts()
                is_alone = self._gossip.membership.is_alone
                pause = ALONE_READ_SECONDS if is_alone else INCOMPLETE_READ_SECONDS
                next_read_at = loop.time() + pause
            await asyncio.sleep(CHECK_SECONDS)

    def merge_unknown(
        self, listed: collections.abc.Iterable[addresses.Address]
    ) -> None:
        """Merge with contact points that are not known, as a split fleet has to.

        Args:
            listed: The contact points that the store lists.
        """
        table = self._gossip.membership.table
        known = {r.member.control_address for r in table if r.is_present}
        for address in (*self._settings_contacts(), *listed):
            if address not in known:
                self._gossip.request_merge(address)

    async def _look_for_contacts(self) -> None:
        self._gossip.set_contacts([*self._settings_contacts(), *self._stored])
        found = await contacts.read_if_available(
            self._store, self._on_unreadable, self._record_store_result
        )
        if found is None:
            return
        self._stored = found.all_addresses
        self._gossip.set_contacts([*self._settings_contacts(), *self._stored])
        self._gossip.record_contacts_listed()
