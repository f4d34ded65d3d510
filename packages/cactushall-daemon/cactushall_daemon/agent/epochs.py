"""Maintenance of the epoch of one endpoint's service in the store.

An epoch is a numbered list of the agents that decide about idempotency keys.
"""

from __future__ import annotations

import asyncio
import collections.abc
import time

from cactushall_core import exceptions, identifiers
from cactushall_core.once import epoch, key_registry
from cactushall_daemon import events, logs
from cactushall_daemon.agent import peers
from cactushall_rpc import store, store_keys

log = logs.get_logger(__name__)

CHECK_INTERVAL_SECONDS = 0.2
ABSENCE_TIMEOUT_SECONDS = 3.0
STORE_RETRY_SECONDS = 1.0


class EpochManager:
    """Adds this member to the epoch, proposes changes and adopts those of others."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        member: identifiers.MemberId,
        known_peers: peers.Peers,
        client: store.Store,
    ) -> None:
        """Prepare without reading the epoch.

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
        self._key = store_keys.epoch(service)
        self._loop = asyncio.get_running_loop()
        self._absent_since: dict[identifiers.MemberId, float] = {}
        self._read_requested = asyncio.Event()
        self._read_requested.set()
        self._mod_revision = 0

    def request_read(self) -> None:
        """Schedule a read of the epoch, since a peer has a newer one."""
        self._read_requested.set()

    async def run(self, registry: key_registry.KeyRegistry) -> None:
        """Maintain the epoch until cancelled.

        Args:
            registry: What this member knows of keys; adopts each epoch.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            try:
                if self._read_requested.is_set() or not registry.current_epoch.number:
                    await self._read(registry)
                await self._propose_change(registry)
            except exceptions.StoreUnavailableError:
                await asyncio.sleep(STORE_RETRY_SECONDS)

    async def leave(
        self, registry: key_registry.KeyRegistry, *, is_handed_over: bool
    ) -> None:
        """Remove this member from the epoch if the store is available.

        Args:
            registry: What this member knows of keys.
            is_handed_over: Whether enough other agents have received its keys.
        """
        handed_over = {self._member} if is_handed_over else set()
        try:
            await self._read(registry)
            if self._member in registry.current_epoch.members:
                changed = self._epoch_without(
                    registry.current_epoch, {self._member}, handed_over
                )
                await self._write(registry, changed)
        except exceptions.StoreUnavailableError:
            return

    async def _read(self, registry: key_registry.KeyRegistry) -> None:
        entry = await self._store.get(self._key)
        self._read_requested.clear()
        if entry is None:
            self._mod_revision = 0
            return
        self._mod_revision = entry.mod_revision
        try:
            stored = epoch.decode(entry.value)
        except exceptions.DecodeError as error:
            log.error(events.Event.EPOCH_REFUSED, why=str(error))
            return
        self._adopt(registry, stored)

    async def _propose_change(self, registry: key_registry.KeyRegistry) -> None:
        """Create the epoch, or add or remove one member if this member has a quorum."""
        current = registry.current_epoch
        if not current.members:
            await self._write(registry, self._epoch_with(registry, self._member))
            return
        now = self._loop.time()
        if not registry.may_propose(now):
            return
        present_members = {self._member, *self._peers.present_members()}
        absent = self._find_absent_members(current, present_members, now)
        joining = sorted(present_members - set(current.members))
        if not self._is_proposer(current, present_members):
            return
        if absent:
            await self._write(
                registry,
                self._epoch_without(current, {absent[0]}, registry.handed_over),
            )
        elif joining:
            await self._write(registry, self._epoch_with(registry, joining[0]))

    def _is_proposer(
        self, current: epoch.Epoch, present_members: set[identifiers.MemberId]
    ) -> bool:
        """Return whether this member proposes, which limits the writes to the store."""
        return min(present_members & set(current.members)) == self._member

    def _find_absent_members(
        self,
        current: epoch.Epoch,
        present_members: set[identifiers.MemberId],
        now: float,
    ) -> list[identifiers.MemberId]:
        absent = set(current.members) - present_members
        for member in self._absent_since.keys() - absent:
            del self._absent_since[member]
        for member in absent:
            self._absent_since.setdefault(member, now)
        limit = now - ABSENCE_TIMEOUT_SECONDS
        return sorted(m for m, since in self._absent_since.items() if since <= limit)

    def _epoch_with(
        self, registry: key_registry.KeyRegistry, member: identifiers.MemberId
    ) -> epoch.Epoch:
        has_run_alone = registry.has_run_alone(self._loop.time())
        return epoch.with_member(
            registry.current_epoch, member, time.time(), has_run_alone=has_run_alone
        )

    def _epoch_without(
        self,
        current: epoch.Epoch,
        removed: collections.abc.Set[identifiers.MemberId],
        handed_over: collections.abc.Set[identifiers.MemberId],
    ) -> epoch.Epoch:
        return epoch.without_members(
            current,
            set(removed),
            set(handed_over),
            time.time(),
            key_registry.DEFAULT_KEY_LIFETIME_SECONDS,
        )

    async def _write(
        self, registry: key_registry.KeyRegistry, changed: epoch.Epoch
    ) -> None:
        """Write an epoch unless the stored one has changed since it was read.

        The next check reads it again, in case the write failed or its response was
        lost.
        """
        self._read_requested.set()
        value = epoch.encode(changed)
        if await self._store.replace(self._key, value, self._mod_revision):
            self._adopt(registry, changed)

    def _adopt(self, registry: key_registry.KeyRegistry, adopted: epoch.Epoch) -> None:
        if adopted.number <= registry.current_epoch.number:
            return
        registry.adopt(adopted, self._loop.time(), time.time())
        log.info(
            events.Event.EPOCH_ADOPTED,
            service=self._service,
            number=adopted.number,
            members=len(adopted.members),
        )
