"""Interface of the key-value store, independent of its protocol."""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from cactushall_core import exceptions

LeaseId = typing.NewType("LeaseId", int)

NO_LEASE = LeaseId(0)


class LeaseExpiredError(exceptions.StoreError):
    """The lease has expired or was revoked."""


class ConnectionLostError(exceptions.StoreUnavailableError):
    """An open connection has gone silent; the store may answer on a new one."""


class Entry(msgspec.Struct, frozen=True):
    """A key with its value.

    Attributes:
        key: The key.
        value: The value.
        mod_revision: Store revision of the last change of this key.
    """

    key: bytes
    value: bytes
    mod_revision: int


class UnreadableEntry(msgspec.Struct, frozen=True):
    """A key whose value cannot be decoded.

    Attributes:
        key: The key.
        mod_revision: Store revision of the last change of this key.
    """

    key: bytes
    mod_revision: int


class Removal(msgspec.Struct, frozen=True):
    """A key that was removed.

    Attributes:
        key: The key.
        mod_revision: Store revision of the removal.
    """

    key: bytes
    mod_revision: int


Change = Entry | UnreadableEntry | Removal


class Write(msgspec.Struct, frozen=True):
    """A value to be written whatever the key held before.

    Attributes:
        key: The key.
        value: Its new value.
    """

    key: bytes
    value: bytes


class Snapshot(msgspec.Struct, frozen=True):
    """Entries and the store revision after which a watch misses no change.

    Attributes:
        entries: The entries; some may be newer than the revision.
        revision: The store revision when the read began.
        era: How often the store had been restored from a copy; 0 where it does not
            tell.
        unreadable: Keys whose values cannot be decoded.
    """

    entries: tuple[Entry, ...]
    revision: int
    era: int = 0
    unreadable: tuple[UnreadableEntry, ...] = ()


class Store(typing.Protocol):
    """A key-value store with compare-and-swap, leases and watches.

    Every method raises StoreUnavailableError where the store does not answer; a write
    may have taken effect then.
    """

    @property
    def calls(self) -> int:
        """Number of calls made so far; a watch counts as one."""

    def close(self) -> None:
        """Close all connections."""

    async def get_prefix(self, prefix: bytes) -> Snapshot:
        """Return all entries whose keys start with a prefix."""

    async def create(
        self,
        key: bytes,
        value: bytes,
        lease: LeaseId = NO_LEASE,
        beside: collections.abc.Sequence[Write] = (),
    ) -> bool:
        """Create a key unless it exists, as `replace` does with revision 0."""

    async def replace(
        self,
        key: bytes,
        value: bytes,
        mod_revision: int,
        lease: LeaseId = NO_LEASE,
        beside: collections.abc.Sequence[Write] = (),
    ) -> bool:
        """Write a key by compare-and-swap.

        Args:
            key: The key.
            value: Its new value.
            mod_revision: Expected revision of the key's last change, 0 if the key must
                not exist.
            lease: The lease that deletes the key when it ends; a former one does not
                any more.
            beside: Other keys to write, without the lease, if the key is written.

        Returns:
            Whether the key was written.

        Raises:
            LeaseExpiredError: The lease no longer exists.
        """

    async def grant(self, ttl_seconds: int) -> LeaseId:
        """Grant a lease."""

    async def revoke(self, lease: LeaseId) -> None:
        """Revoke a lease, which deletes its keys."""

    async def keep_alive(self, lease: LeaseId) -> None:
        """Renew a lease once.

        Raises:
            LeaseExpiredError: The lease no longer exists.
        """

    def watch(
        self,
        prefix: bytes,
        start_revision: int,
        era: int | None = None,
        wait_seconds: float | None = None,
    ) -> collections.abc.AsyncGenerator[Change, None]:
        """Yield each change of the keys that start with a prefix.

        Args:
            prefix: The prefix.
            start_revision: First store revision whose changes are included.
            era: The era of that revision, None for the one last seen; the watch ends
                where the store has been restored from a copy since.
            wait_seconds: Longest time for which the store may answer nothing, where
                the protocol has one; None for the usual one.
        """
