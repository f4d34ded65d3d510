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


class Snapshot(msgspec.Struct, frozen=True):
    """Entries and the store revision after which a watch misses no change.

    Attributes:
        entries: The entries; some may be newer than the revision.
        revision: The store revision when the read began.
    """

    entries: tuple[Entry, ...]
    revision: int


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

    async def create(self, key: bytes, value: bytes, lease: LeaseId = NO_LEASE) -> bool:
        """Create a key unless it exists.

        Args:
            key: The key.
            value: Its value.
            lease: The lease that deletes the key when it ends.

        Returns:
            Whether the key was created.
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
        self, key: bytes, start_revision: int
    ) -> collections.abc.AsyncIterator[Entry]:
        """Yield each new entry of one key, starting at a store revision."""
