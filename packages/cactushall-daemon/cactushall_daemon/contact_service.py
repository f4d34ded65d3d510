"""Claims a contact slot of the own availability zone in the store, and holds it."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import random

import msgspec

from cactushall_core import addresses, exceptions, store
from cactushall_core.membership import contact_slots, records
from cactushall_daemon import contacts, events, gossip, logs, tasks, unreadable_entries
from cactushall_rpc import store_keys

log = logs.get_logger(__name__)

LEASE_SECONDS = 30
# A slot may become free without a sign in the membership.
LOOK_SECONDS = 30.0
# Contact points whose leases have ended are back so soon after the store is.
KEEP_ALIVE_SECONDS = 2.0
REFRESH_SECONDS = 10.0
RETRY_SECONDS = 2.0
RACE_RETRY_SECONDS = 0.5
CHECK_SECONDS = 0.25
RELEASE_TIMEOUT_SECONDS = 0.3
# A member that starts asks all contact points, so that those that run become known.
UNKNOWN_HOLDER_SECONDS = 2.0

MergeCallback = collections.abc.Callable[
    [collections.abc.Iterable[addresses.Address]], None
]


class SlotClaim(msgspec.Struct, frozen=True):
    """A contact slot that this process holds.

    Attributes:
        key: Key of the slot.
        lease: Its lease.
    """

    key: bytes
    lease: store.LeaseId


class ContactService:
    """Makes this process a contact point whenever its zone has too few.

    A slot whose holder has gone is claimed as soon as membership tells, by those that
    run longest in the zone; the others look for a free one from time to time.
    """

    def __init__(
        self,
        client: store.Store,
        gossip_endpoint: gossip.GossipEndpoint,
        roles: collections.abc.Collection[records.Role],
        on_unreadable: unreadable_entries.Reporter,
        record_store_result: contacts.StoreResultCallback,
        on_merge_due: MergeCallback,
        while_held: collections.abc.Sequence[tasks.Run] = (),
    ) -> None:
        """Create it without a slot.

        Args:
            client: The store.
            gossip_endpoint: The membership protocol of this process.
            roles: Roles of the processes that serve as contact points.
            on_unreadable: Called for each contact point that cannot be read.
            record_store_result: Called after each attempt to claim a slot with the
                error if the store did not respond, else with None.
            on_merge_due: Called with the contact points that the store lists, regularly
                while a slot is held; with none if the store did not respond.
            while_held: What to run while a slot is held.
        """
        self._store = client
        self._gossip = gossip_endpoint
        self._roles = roles
        self._on_unreadable = on_unreadable
        self._record_store_result = record_store_result
        self._on_merge_due = on_merge_due
        self._while_held = while_held
        self._rng = random.Random()
        self._claim: SlotClaim | None = None
        self._is_released = False
        # No attempt is made before the one time, and one is at the other.
        self._pause_ends_at = float("-inf")
        self._next_attempt_at = float("-inf")
        self._checked_changes = 0
        # Holders of all slots at the latest attempt.
        self._listed_holders: tuple[addresses.Address, ...] = ()
        self._was_candidate = False

    async def run(self) -> None:
        """Claim and hold slots until released or cancelled."""
        while not self._is_released:
            if self._is_attempt_due():
                await self._attempt()
            if self._claim is None:
                await asyncio.sleep(CHECK_SECONDS)
            else:
                await self._serve(self._claim)

    async def release(self) -> None:
        """Give the slot back, if one is held, and claim none any more."""
        self._is_released = True
        claim, self._claim = self._claim, None
        if claim is not None:
            await self._revoke(claim.lease)

    @property
    def _member(self) -> records.Member:
        return self._gossip.membership.member

    @property
    def _own_address(self) -> addresses.Address:
        return self._member.control_address

    # Claiming.

    def _is_attempt_due(self) -> bool:
        """Return whether a slot may be free that this member should claim."""
        now = asyncio.get_running_loop().time()
        return self._pause_ends_at <= now and (
            self._has_opportunity() or self._next_attempt_at <= now
        )

    def _has_opportunity(self) -> bool:
        """Return whether membership tells that this member should look for a slot."""
        changes = self._gossip.membership.table.change_count
        if changes == self._checked_changes:
            return False
        self._checked_changes = changes
        was_candidate, self._was_candidate = self._was_candidate, self._is_candidate()
        return self._was_candidate and (
            not was_candidate
            or any(
                self._state_of(holder) is contact_slots.HolderState.GONE
                for holder in self._listed_holders
            )
        )

    def _is_candidate(self) -> bool:
        """Return whether this member is among those of its zone to claim slots."""
        longest_running = contact_slots.find_longest_running(
            self._gossip.membership.table,
            self._member.zone,
            self._roles,
            contact_slots.SLOTS_PER_ZONE,
        )
        return self._member.id in longest_running

    def _state_of(self, address: addresses.Address) -> contact_slots.HolderState:
        return contact_slots.find_state(address, self._gossip.membership.table)

    async def _attempt(self) -> None:
        """Claim a slot, if one can be had; set when to try again otherwise."""
        retry_seconds: float | None = RETRY_SECONDS
        try:
            retry_seconds = await self._claim_slot()
            self._record_store_result(None)
        except exceptions.StoreUnavailableError as error:
            self._record_store_result(error)
        except store.LeaseExpiredError:
            # It lapsed while the claim was under way.
            retry_seconds = RETRY_SECONDS
        now = asyncio.get_running_loop().time()
        self._pause_ends_at = now + (retry_seconds or 0.0)
        wait = LOOK_SECONDS if retry_seconds is None else retry_seconds
        self._next_attempt_at = now + wait

    async def _claim_slot(self) -> float | None:
        """Claim a slot, if one can be had.

        Returns:
            Seconds after which to try again: none after a claim, which is for the time
            when it is lost; None where members that run hold all slots.
        """
        found = await contacts.read(self._store, self._on_unreadable)
        slots = found.slots(self._member.zone)
        holders = tuple(slot.holder for slot in slots if slot.holder is not None)
        options = self._order_options(slots, frozenset())
        if not options:
            options = self._order_options(slots, await self._find_silent(holders))
        self._listed_holders = holders
        if not options:
            return None
        lease = await self._store.grant(LEASE_SECONDS)
        for option in options:
            if await self._write_claim(option, lease):
                return 0.0
        await self._store.revoke(lease)
        return RACE_RETRY_SECONDS * self._rng.uniform(0.5, 1.5)

    def _order_options(
        self,
        slots: collections.abc.Sequence[contact_slots.Slot],
        silent: collections.abc.Set[addresses.Address],
    ) -> list[contact_slots.Option]:
        states = {
            slot.holder: contact_slots.HolderState.SILENT
            if slot.holder in silent
            else self._state_of(slot.holder)
            for slot in slots
            if slot.holder is not None
        }
        return contact_slots.order_options(slots, self._own_address, states)

    async def _find_silent(
        self, holders: collections.abc.Sequence[addresses.Address]
    ) -> frozenset[addresses.Address]:
        """Return those that are still no known members after a while, nor answer."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + UNKNOWN_HOLDER_SECONDS
        while self._find_unknown(holders) and loop.time() < deadline:
            await asyncio.sleep(CHECK_SECONDS)
        unknown = self._find_unknown(holders)
        answered = await asyncio.gather(
            *(self._gossip.exchange_tables(holder) for holder in unknown)
        )
        return frozenset(
            holder
            for holder, is_answered in zip(unknown, answered, strict=True)
            if not is_answered
        )

    def _find_unknown(
        self, holders: collections.abc.Sequence[addresses.Address]
    ) -> list[addresses.Address]:
        return [
            holder
            for holder in holders
            if self._state_of(holder) is contact_slots.HolderState.UNKNOWN
        ]

    async def _write_claim(
        self, option: contact_slots.Option, lease: store.LeaseId
    ) -> bool:
        """Claim a slot unless it has changed since it was listed."""
        slot = option.slot
        key = store_keys.contact(self._member.zone, slot.number)
        value = str(self._own_address).encode()
        latest = store.Write(store_keys.latest_holder(key), value)
        beside = () if option.is_latest_kept else (latest,)
        if not await self._store.replace(key, value, slot.revision, lease, beside):
            return False
        replaced = None if slot.holder is None else str(slot.holder)
        log.info(events.Event.CONTACT_CLAIMED, key=key.decode(), replaced=replaced)
        self._claim = SlotClaim(key, lease)
        return True

    # Holding.

    async def _serve(self, claim: SlotClaim) -> None:
        """Run what a contact point runs until the slot is lost."""
        running = [asyncio.create_task(run()) for run in self._while_held]
        try:
            await self._hold(claim)
        finally:
            for task in running:
                task.cancel()
        if self._claim is not None:
            self._claim = None
            log.info(events.Event.CONTACT_LOST, key=claim.key.decode())
            await self._revoke(claim.lease)

    async def _revoke(self, lease: store.LeaseId) -> None:
        """Revoke a lease, unless the store does not respond soon."""
        with contextlib.suppress(exceptions.StoreUnavailableError, TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                await self._store.revoke(lease)

    async def _hold(self, claim: SlotClaim) -> None:
        """Renew the lease of a claim until the slot is lost or released.

        The store may be unavailable for any time; the slot is lost only when the store
        reports that the lease has expired, or that another process holds the slot.
        """
        loop = asyncio.get_running_loop()
        next_read_at = loop.time() + REFRESH_SECONDS
        while not self._is_released:
            await asyncio.sleep(KEEP_ALIVE_SECONDS)
            with contextlib.suppress(exceptions.StoreUnavailableError):
                try:
                    await self._store.keep_alive(claim.lease)
                except store.LeaseExpiredError:
                    return
            if loop.time() >= next_read_at:
                next_read_at = loop.time() + REFRESH_SECONDS
                if not await self._is_listed(claim):
                    return

    async def _is_listed(self, claim: SlotClaim) -> bool:
        """Read the contact points, and return whether this process may be listed."""
        found = await contacts.read_if_available(
            self._store, self._on_unreadable, self._record_store_result
        )
        self._on_merge_due(() if found is None else found.current.values())
        if found is None:
            return True
        if found.current.get(claim.key) != self._own_address:
            return False
        await self._replace_latest(claim, found)
        return True

    async def _replace_latest(
        self, claim: SlotClaim, found: contacts.StoredContacts
    ) -> None:
        """Become the latest holder of the slot where the one that is listed is gone."""
        key = store_keys.latest_holder(claim.key)
        latest = found.latest.get(key)
        if latest == self._own_address or not self._gossip.membership.is_complete:
            return
        if (
            latest is not None
            and self._state_of(latest) is contact_slots.HolderState.RUNNING
        ):
            return
        value = str(self._own_address).encode()
        with contextlib.suppress(exceptions.StoreUnavailableError):
            await self._store.replace(key, value, found.revisions.get(key, 0))
