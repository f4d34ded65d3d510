"""Keeps the epoch of one endpoint's service in the store."""

from __future__ import annotations

import asyncio
import collections.abc
import time

from cactushall_core import exceptions, identifiers
from cactushall_core.once import epoch, ledger
from cactushall_daemon import events, logs
from cactushall_daemon.agent import peers
from cactushall_rpc import paths, store

log = logs.get_logger(__name__)

CHECK_SECONDS = 0.2
ABSENT_SECONDS = 3.0
STEP_BACK_SECONDS = 1.0


class EpochKeeper:
    """Joins the epoch, proposes changes, and follows those of others."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        member: identifiers.MemberId,
        known_peers: peers.Peers,
        client: store.Store,
    ) -> None:
        """Prepare; nothing is read yet.

        Args:
            service: The service.
            member: The agent's member id.
            known_peers: The other agents.
            client: The store.
        """
        self._service = service
        self._member = member
        self._peers = known_peers
        self._store = client
        self._key = paths.epoch(service)
        self._loop = asyncio.get_running_loop()
        self._absent_since: dict[identifiers.MemberId, float] = {}
        self._read_wanted = asyncio.Event()
        self._read_wanted.set()
        self._mod_revision = 0

    def want_read(self) -> None:
        """Read the epoch soon, since a peer has a newer one."""
        self._read_wanted.set()

    async def run(self, keys: ledger.Ledger) -> None:
        """Keep the epoch until cancelled.

        Args:
            keys: Adopts each epoch.
        """
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            try:
                if self._read_wanted.is_set() or not keys.current_epoch.number:
                    await self._read(keys)
                await self._propose(keys)
            except exceptions.StoreUnavailableError:
                await asyncio.sleep(STEP_BACK_SECONDS)

    async def leave(self, keys: ledger.Ledger, *, is_handed_over: bool) -> None:
        """Take this member out of the epoch, as far as the store answers."""
        handed_over = {self._member} if is_handed_over else set()
        try:
            await self._read(keys)
            if self._member in keys.current_epoch.members:
                changed = self._without(keys.current_epoch, {self._member}, handed_over)
                await self._write(keys, changed)
        except exceptions.StoreUnavailableError:
            return

    async def _read(self, keys: ledger.Ledger) -> None:
        entry = await self._store.get(self._key)
        self._read_wanted.clear()
        if entry is None:
            self._mod_revision = 0
            return
        self._mod_revision = entry.mod_revision
        try:
            stored = epoch.decode(entry.value)
        except exceptions.DecodeError as error:
            log.error(events.Event.EPOCH_REFUSED, why=str(error))
            return
        self._adopt(keys, stored)

    async def _propose(self, keys: ledger.Ledger) -> None:
        """Change the epoch by one member, where this member has a quorum."""
        present = keys.current_epoch
        if not present.members:
            await self._write(keys, self._with_member(keys, self._member))
            return
        now = self._loop.time()
        if not keys.may_propose(now):
            return
        known = {self._member, *self._peers.present()}
        gone = self._long_absent(present, known, now)
        waiting = sorted(known - set(present.members))
        if not self._is_first(present, known):
            return
        if gone:
            await self._write(keys, self._without(present, {gone[0]}, keys.handed_over))
        elif waiting:
            await self._write(keys, self._with_member(keys, waiting[0]))

    def _is_first(self, present: epoch.Epoch, known: set[identifiers.MemberId]) -> bool:
        """Tell whether this member is the one to propose, to spare the store."""
        return min(known & set(present.members)) == self._member

    def _long_absent(
        self,
        present: epoch.Epoch,
        known: set[identifiers.MemberId],
        now: float,
    ) -> list[identifiers.MemberId]:
        absent = set(present.members) - known
        for member in self._absent_since.keys() - absent:
            del self._absent_since[member]
        for member in absent:
            self._absent_since.setdefault(member, now)
        limit = now - ABSENT_SECONDS
        return sorted(m for m, since in self._absent_since.items() if since <= limit)

    def _with_member(
        self, keys: ledger.Ledger, member: identifiers.MemberId
    ) -> epoch.Epoch:
        has_run_alone = keys.has_run_alone(self._loop.time())
        return epoch.with_member(
            keys.current_epoch, member, time.time(), has_run_alone=has_run_alone
        )

    def _without(
        self,
        present: epoch.Epoch,
        gone: collections.abc.Set[identifiers.MemberId],
        handed_over: collections.abc.Set[identifiers.MemberId],
    ) -> epoch.Epoch:
        return epoch.without(
            present,
            set(gone),
            set(handed_over),
            time.time(),
            ledger.DEFAULT_LIFETIME_SECONDS,
        )

    async def _write(self, keys: ledger.Ledger, changed: epoch.Epoch) -> None:
        """Propose an epoch; a lost race or a lost answer is read back next."""
        self._read_wanted.set()
        value = epoch.encode(changed)
        if await self._store.replace(self._key, value, self._mod_revision):
            self._adopt(keys, changed)

    def _adopt(self, keys: ledger.Ledger, adopted: epoch.Epoch) -> None:
        if adopted.number <= keys.current_epoch.number:
            return
        keys.adopt(adopted, self._loop.time(), time.time())
        log.info(
            events.Event.EPOCH_ADOPTED,
            service=self._service,
            number=adopted.number,
            members=len(adopted.members),
        )
