"""Follows the configuration in the store and adopts each newer one."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import typing

from cactushall_core import adoption, exceptions, identifiers, polling, store
from cactushall_core.membership import records
from cactushall_daemon import counters, events, logs, tasks

log = logs.get_logger(__name__)

Fetch = collections.abc.Callable[[records.Member], collections.abc.Awaitable[bytes]]
ConfigurationT = typing.TypeVar("ConfigurationT", bound=adoption.Versioned)


class Follower(typing.Generic[ConfigurationT]):
    """The configuration in force and the way to newer ones."""

    def __init__(
        self,
        client: store.Store,
        key: bytes,
        adopter: adoption.Adopter[ConfigurationT],
        on_adopted: collections.abc.Callable[[ConfigurationT], None],
        fetch: Fetch,
        count_members: collections.abc.Callable[[], int],
        background: tasks.Tasks,
        tallies: counters.Counters,
    ) -> None:
        """Prepare; nothing is sent yet.

        Args:
            client: The store.
            key: The key that holds the configuration.
            adopter: Holds the configuration in force.
            on_adopted: Called when a configuration is adopted.
            fetch: Gets the encoded configuration from a member.
            count_members: Returns how many members the fleet has.
            background: Runs fetches.
            tallies: Takes counts.
        """
        self._store = client
        self._key = key
        self._adopter = adopter
        self._on_adopted = on_adopted
        self._fetch = fetch
        self._count_members = count_members
        self._rng = random.Random()
        self._failures = 0
        self._background = background
        self._fetching = identifiers.Revision(0)
        self._counters = tallies
        self._is_store_available = True

    @property
    def current(self) -> ConfigurationT:
        """The configuration in force."""
        return self._adopter.current

    @property
    def value(self) -> bytes:
        """The configuration in force, encoded."""
        return self._adopter.value

    async def run(self) -> None:
        """Watch the store until cancelled."""
        while True:
            try:
                await self._follow()
            except exceptions.StoreUnavailableError as error:
                self._failures += 1
                self.note_store(error)
            await asyncio.sleep(self._retry_seconds())

    def note_revision(
        self, member: records.Member, revision: identifiers.Revision
    ) -> None:
        """Fetch the configuration from a member that has a newer one."""
        if revision <= max(self._fetching, self.current.revision):
            return
        self._fetching = revision
        self._background.spawn(self._fetch_from(member))

    def want_from(self, member: records.Member) -> None:
        """Fetch the configuration from a member that has one, none being in force."""
        if not self.current.revision:
            self.note_revision(member, identifiers.Revision(1))

    def _retry_seconds(self) -> float:
        return polling.retry_seconds(
            max(1, self._failures),
            self._count_members(),
            self._rng,
            is_urgent=not self.current.revision,
        )

    async def _fetch_from(self, member: records.Member) -> None:
        try:
            self.offer(await self._fetch(member), member.name)
        except exceptions.CactushallError as error:
            log.warning(
                events.Event.CONFIGURATION_FETCH_FAILED,
                peer=member.name,
                why=str(error),
            )
        finally:
            self._fetching = self.current.revision

    def offer(self, value: bytes, source: str) -> None:
        """Take in a configuration from the store or from a peer."""
        outcome = self._adopter.offer(value, source)
        if isinstance(outcome, adoption.Refused):
            log.error(
                events.Event.CONFIGURATION_REFUSED, source=source, why=outcome.reason
            )
        elif isinstance(outcome, adoption.Adopted):
            adopted = outcome.configuration
            log.info(
                events.Event.CONFIGURATION_ADOPTED,
                source=source,
                revision=adopted.revision,
            )
            self._on_adopted(adopted)

    def note_store(self, error: Exception | None) -> None:
        """Note whether the store answered."""
        self._counters.set(counters.Counter.STORE_CALLS, self._store.calls)
        is_available = error is None
        if is_available == self._is_store_available:
            return
        self._is_store_available = is_available
        if error is None:
            log.info(events.Event.STORE_AVAILABLE)
        else:
            log.warning(events.Event.STORE_UNAVAILABLE, why=str(error))

    async def _follow(self) -> None:
        snapshot = await self._store.get_prefix(self._key)
        self._failures = 0
        self.note_store(None)
        for entry in snapshot.entries:
            if entry.key == self._key:
                self.offer(entry.value, "store")
        watched = self._store.watch(self._key, snapshot.revision + 1)
        async for entry in watched:
            self.offer(entry.value, "store")
