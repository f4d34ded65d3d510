"""The table of members, with hashes for anti-entropy."""

from __future__ import annotations

import dataclasses
import hashlib
import typing

from cactushall_core import addresses, identifiers
from cactushall_core.membership import messages, records

BUCKETS = 64
DEAD_RETENTION_SECONDS = 2 * 3600.0
LEFT_RETENTION_SECONDS = 600.0

_BUCKET_HASH_BYTES = 4


@dataclasses.dataclass
class _Row:
    record: records.Record
    changed_at: float


class Table:
    """Beliefs about members, indexed by id and by address."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._rows: dict[identifiers.MemberId, _Row] = {}
        self._by_address: dict[addresses.Address, identifiers.MemberId] = {}
        self._buckets: list[set[identifiers.MemberId]] = [set() for _ in range(BUCKETS)]
        self._hashes = [0] * BUCKETS
        self._present = 0

    @property
    def present_count(self) -> int:
        """How many members are believed to be running."""
        return self._present

    def __len__(self) -> int:
        """Return how many records there are, dead ones included."""
        return len(self._rows)

    def __iter__(self) -> typing.Iterator[records.Record]:
        """Iterate over all records."""
        return (row.record for row in self._rows.values())

    def get(self, member: identifiers.MemberId) -> records.Record | None:
        """Return the record of a member."""
        row = self._rows.get(member)
        return row.record if row else None

    def at_address(self, address: addresses.Address) -> records.Record | None:
        """Return the latest started member at a gossip address."""
        member = self._by_address.get(address)
        return self.get(member) if member is not None else None

    def put(self, record: records.Record, now: float) -> None:
        """Store a record in place of an older one."""
        member = record.member.id
        old = self.get(member)
        if old is not None:
            self._forget(old)
        self._rows[member] = _Row(record, now)
        bucket = member % BUCKETS
        self._buckets[bucket].add(member)
        self._hashes[bucket] ^= _hash(record)
        self._present += record.is_present
        known = self._by_address.get(record.member.gossip_address)
        if known is None or known <= member:
            self._by_address[record.member.gossip_address] = member

    def digest(self) -> bytes:
        """Return the hashes of all buckets."""
        return b"".join(
            value.to_bytes(_BUCKET_HASH_BYTES, "big") for value in self._hashes
        )

    def differing_buckets(self, digest: bytes) -> list[int]:
        """Return the buckets whose hash differs from that in a digest."""
        mine = self.digest()
        if len(digest) != len(mine):
            return []
        width = _BUCKET_HASH_BYTES
        return [
            bucket
            for bucket in range(BUCKETS)
            if mine[bucket * width : (bucket + 1) * width]
            != digest[bucket * width : (bucket + 1) * width]
        ]

    def summary(self, bucket: int) -> messages.BucketSummary:
        """Return the versions of all records in a bucket."""
        found = [self._rows[member].record for member in self._buckets[bucket]]
        entries = tuple(
            messages.BucketEntry(record.member.id, record.incarnation, record.status)
            for record in found
        )
        return messages.BucketSummary(bucket, entries)

    def bucket_members(self, bucket: int) -> frozenset[identifiers.MemberId]:
        """Return the ids in a bucket."""
        return frozenset(self._buckets[bucket])

    def expire(self, now: float) -> None:
        """Forget members that have been gone for long."""
        expired = [row.record for row in self._rows.values() if _is_expired(row, now)]
        for record in expired:
            self._forget(record)
            del self._rows[record.member.id]
            address = record.member.gossip_address
            if self._by_address.get(address) == record.member.id:
                del self._by_address[address]

    def _forget(self, record: records.Record) -> None:
        bucket = record.member.id % BUCKETS
        self._buckets[bucket].discard(record.member.id)
        self._hashes[bucket] ^= _hash(record)
        self._present -= record.is_present


def _is_expired(row: _Row, now: float) -> bool:
    if row.record.status is records.Status.DEAD:
        return now - row.changed_at > DEAD_RETENTION_SECONDS
    if row.record.status is records.Status.LEFT:
        return now - row.changed_at > LEFT_RETENTION_SECONDS
    return False


def _hash(record: records.Record) -> int:
    version = f"{record.member.id}/{record.incarnation}/{record.status.value}"
    digest = hashlib.blake2s(version.encode(), digest_size=_BUCKET_HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")
