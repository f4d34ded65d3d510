"""Watches the configuration in the store and adopts each newer revision."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import random
import typing

from cactushall_core import adoption, backoff, exceptions, identifiers, store
from cactushall_core.membership import records
from cactushall_daemon import counters, events, logs, tasks

CLOSE_WATCH_SECONDS = 2.0

log = logs.get_logger(__name__)

Fetch = collections.abc.Callable[[records.Member], collections.abc.Awaitable[bytes]]
ConfigurationT = typing.TypeVar("ConfigurationT", bound=adoption.Versioned)


class StoreObserver(typing.Protocol):
    """Applies the keys beside the configuration that the same watch returns."""

    @property
    def next_read_at(self) -> float | None:
        """When the store has to be read again, None for never."""

    def handle_snapshot(self, snapshot: store.Snapshot) -> None:
        """Apply a read of all keys."""

    def handle_change(self, change: store.Change) -> None:
        """Apply a change of a key."""


class NoObserver:
    """Observes nothing: the configuration is the only key."""

    next_read_at = None

    def handle_snapshot(self, snapshot: store.Snapshot) -> None:
        """Do nothing."""

    def handle_change(self, change: store.Change) -> None:
        """Do nothing."""


class ConfigurationFollower(typing.Generic[ConfigurationT]):
    """Keeps the configuration up to date, from the store or from other members."""

    def __init__(
        self,
        client: store.Store,
        key: bytes,
        adopter: adoption.Adopter[ConfigurationT],
        on_adopted: collections.abc.Callable[[ConfigurationT], None],
        fetch: Fetch,
        count_members: collections.abc.Callable[[], int],
        background_tasks: tasks.Tasks,
        process_counters: counters.Counters,
    ) -> None:
        """Create the follower without sending anything.

        Args:
            client: The store.
            key: The key that holds the configuration.
            adopter: Holds the configuration in force.
            on_adopted: Called when a configuration is adopted.
            fetch: Fetches the encoded configuration from a member.
            count_members: Returns the number of members in the fleet.
            background_tasks: Runs fetches.
            process_counters: The process's counters.
        """
        self._store = client
        self._prefix = key
        self._observer: StoreObserver = NoObserver()
        self._watch_timeout: asyncio.Timeout | None = None
        self._wait_seconds: float | None = None
        self._key = key
        self._adopter = adopter
        self._on_adopted = on_adopted
        self._fetch = fetch
        self._count_members = count_members
        self._rng = random.Random()
        self._failures = 0
        self._tasks = background_tasks
        self._fetching_revision = identifiers.Revision(0)
        self._counters = process_counters
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
                await self._watch_store()
            except store.ConnectionLostError as error:
                # The store may answer on a new connection.
                log.warning(events.Event.STORE_CONNECTION_LOST, why=str(error))
                continue
            except exceptions.StoreUnavailableError as error:
                self._failures += 1
                self.record_store_result(error)
            await asyncio.sleep(self._retry_seconds())

    def set_close_watch(self, is_close: bool) -> None:
        """Keep waits short from now on or not, so that a silent connection soon shows.

        A few processes do so for the fleet: gossip spreads the revision that they read.
        """
        wait_seconds = CLOSE_WATCH_SECONDS if is_close else None
        if wait_seconds == self._wait_seconds:
            return
        self._wait_seconds = wait_seconds
        if is_close:
            self._end_watch(asyncio.get_running_loop().time())

    def observe(self, prefix: bytes, observer: StoreObserver) -> None:
        """Watch more keys together with the configuration.

        Args:
            prefix: Prefix of all keys, that of the configuration included.
            observer: Applies the other keys.
        """
        self._prefix = prefix
        self._observer = observer

    def schedule_read(self) -> None:
        """End the watch when the observer needs the next read of the store."""
        self._end_watch(self._observer.next_read_at)

    def fetch_if_newer(
        self, member: records.Member, revision: identifiers.Revision
    ) -> None:
        """Fetch the configuration from a member if its revision is newer."""
        if revision <= max(self._fetching_revision, self.current.revision):
            return
        self._fetching_revision = revision
        self._tasks.spawn(self._fetch_from(member))

    def fetch_initial_from(self, member: records.Member) -> None:
        """Fetch the configuration from a member if none is in force yet."""
        if not self.current.revision:
            self.fetch_if_newer(member, identifiers.Revision(1))

    def _end_watch(self, at: float | None) -> None:
        """End the watch at some time, so that a read follows; None for never."""
        if self._watch_timeout is not None:
            # Fails where the timeout has just ended the watch; a read follows anyway.
            with contextlib.suppress(RuntimeError):
                self._watch_timeout.reschedule(at)

    def _retry_seconds(self) -> float:
        return backoff.retry_delay_seconds(
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
            self._fetching_revision = self.current.revision

    def offer(self, value: bytes, source: str) -> None:
        """Adopt a configuration from the store or a peer if it is valid and newer."""
        outcome = self._adopter.offer(value, source)
        if isinstance(outcome, adoption.Invalid):
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

    def record_store_result(self, error: Exception | None) -> None:
        """Record whether the store responded, and log where that has changed.

        Args:
            error: Why the store did not respond, or None if it did.
        """
        self._counters.set(counters.Counter.STORE_CALLS, self._store.calls)
        is_available = error is None
        if is_available == self._is_store_available:
            return
        self._is_store_available = is_available
        if error is None:
            log.info(events.Event.STORE_AVAILABLE)
        else:
            log.warning(events.Event.STORE_UNAVAILABLE, why=str(error))

    async def _watch_store(self) -> None:
        snapshot = await self._store.get_prefix(self._prefix)
        self._failures = 0
        self.record_store_result(None)
        # The observer comes first: its keys decide where these routes may lead.
        self._observer.handle_snapshot(snapshot)
        for entry in snapshot.entries:
            self._offer_change(entry)
        try:
            async with asyncio.timeout_at(self._observer.next_read_at) as watch_timeout:
                self._watch_timeout = watch_timeout
                await self._follow_changes(snapshot)
        except TimeoutError:
            # The observer needs another read.
            return
        finally:
            self._watch_timeout = None

    async def _follow_changes(self, snapshot: store.Snapshot) -> None:
        first = snapshot.revision + 1
        async with contextlib.aclosing(
            self._store.watch(self._prefix, first, snapshot.era, self._wait_seconds)
        ) as changes:
            async for change in changes:
                self._observer.handle_change(change)
                self._offer_change(change)
                self.schedule_read()

    def _offer_change(self, change: store.Change) -> None:
        if isinstance(change, store.Entry) and change.key == self._key:
            self.offer(change.value, "store")
