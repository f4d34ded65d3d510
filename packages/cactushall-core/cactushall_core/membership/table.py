"""Table of member records, with bucket hashes for anti-entropy."""

from __future__ import annotations

import hashlib
import random
import typing

from cactushall_core import addresses, identifiers
from cactushall_core.membership import messages, records

BUCKETS = 64
DEAD_RETENTION_SECONDS = 2 * 3600.0
LEFT_RETENTION_SECONDS = 600.0

_BUCKET_HASH_BYTES = 4
_MAX_DRAWS_PER_MEMBER = 8


class Table:
    """Records of members, indexed by id and by gossip address."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._records: dict[identifiers.MemberId, records.Record] = {}
        self._by_address: dict[addresses.Address, identifiers.MemberId] = {}
        self._member_ids: list[identifiers.MemberId] = []
        self._gone_at: dict[identifiers.MemberId, float] = {}
        self._hashes = [0] * BUCKETS
        self._present_count = 0
        self._change_count = 0

    @property
    def change_count(self) -> int:
        """How often a record was stored, to tell whether anything may have changed."""
        return self._change_count

    @property
    def present_count(self) -> int:
        """Number of members that are believed to be running."""
        return self._present_count

    @property
    def gone(self) -> typing.Iterable[records.Record]:
        """Records of members that are dead or have left."""
        return (self._records[member] for member in self._gone_at)

    def __len__(self) -> int:
        """Return the number of records, including those of gone members."""
        return len(self._records)

    def __iter__(self) -> typing.Iterator[records.Record]:
        """Iterate over all records."""
        return iter(self._records.values())

    def copy(self) -> Table:
        """Return an independent copy of the table."""
        copied = Table()
        copied._records = self._records.copy()
        copied._by_address = self._by_address.copy()
        copied._member_ids = self._member_ids.copy()
        copied._gone_at = self._gone_at.copy()
        copied._hashes = self._hashes.copy()
        copied._present_count = self._present_count
        copied._change_count = self._change_count
        return copied

    def get(self, member: identifiers.MemberId) -> records.Record | None:
        """Return the record of a member, or None if it is unknown."""
        return self._records.get(member)

    def at_address(self, address: addresses.Address) -> records.Record | None:
        """Return the most recently started member at a gossip address, if any."""
        member = self._by_address.get(address)
        return self.get(member) if member is not None else None

    def put(self, record: records.Record, now: float) -> None:
        """Store a record, replacing an older one of the same member."""
        member = record.member.id
        self._change_count += 1
        old = self._records.get(member)
        if old is None:
            self._member_ids.append(member)
        else:
            self._remove_from_counts(old)
        self._records[member] = record
        self._hashes[member % BUCKETS] ^= _hash(record)
        self._present_count += record.is_present
        if record.is_present:
            self._gone_at.pop(member, None)
        else:
            self._gone_at.setdefault(member, now)
        known = self._by_address.get(record.member.gossip_address)
        if known is None or known <= member:
            self._by_address[record.member.gossip_address] = member

    def sample(
        self, count: int, exclude: identifiers.MemberId, rng: random.Random
    ) -> list[records.Record]:
        """Return distinct random members that are believed to be running.

        Args:
            count: Maximum number of members to return.
            exclude: A member not to return.
            rng: Source of random choices.
        """
        chosen: dict[identifiers.MemberId, records.Record] = {}
        for _ in range(count * _MAX_DRAWS_PER_MEMBER):
            if len(chosen) == count:
                break
            member = self._member_ids[int(rng.random() * len(self._member_ids))]
            record = self._records[member]
            if record.is_present and member != exclude:
                chosen[member] = record
        return list(chosen.values())

    def digest(self) -> bytes:
        """Return the hashes of all buckets."""
        return b"".join(
            value.to_bytes(_BUCKET_HASH_BYTES, "big") for value in self._hashes
        )

    def differing_buckets(self, digest: bytes) -> list[int]:
        """Return the buckets whose hashes differ from those in a digest.

        These are all buckets where the digest has another number of them.
        """
        own = self.digest()
        if len(digest) != len(own):
            return list(range(BUCKETS))
        width = _BUCKET_HASH_BYTES
        return [
            bucket
            for bucket in range(BUCKETS)
            if own[bucket * width : (bucket + 1) * width]
            != digest[bucket * width : (bucket + 1) * width]
        ]

    def summary(self, bucket: int) -> messages.BucketSummary:
        """Return a summary of the records in a bucket."""
        entries = tuple(
            messages.BucketEntry(record.member.id, record.incarnation, record.status)
            for record in self.records_in((bucket,))
        )
        return messages.BucketSummary(bucket, entries)

    def records_in(self, buckets: typing.Collection[int]) -> list[records.Record]:
        """Return the records in some buckets, bucket by bucket."""
        wanted = frozenset(buckets)
        chosen = [m for m in self._member_ids if m % BUCKETS in wanted]
        chosen.sort(key=lambda member: member % BUCKETS)
        return [self._records[member] for member in chosen]

    def expire(self, now: float) -> None:
        """Forget gone members whose retention time is over."""
        expired = {
            m for m, since in self._gone_at.items() if self._is_expired(m, since, now)
        }
        if not expired:
            return
        self._member_ids = [
            member for member in self._member_ids if member not in expired
        ]
        for member in expired:
            record = self._records.pop(member)
            self._remove_from_counts(record)
            del self._gone_at[member]
            address = record.member.gossip_address
            if self._by_address.get(address) == member:
                del self._by_address[address]

    def _is_expired(
        self, member: identifiers.MemberId, since: float, now: float
    ) -> bool:
        retention = DEAD_RETENTION_SECONDS
        if self._records[member].status is records.Status.LEFT:
            retention = LEFT_RETENTION_SECONDS
        return now - since > retention

    def _remove_from_counts(self, record: records.Record) -> None:
        self._hashes[record.member.id % BUCKETS] ^= _hash(record)
        self._present_count -= record.is_present


def _hash(record: records.Record) -> int:
    version = f"{record.member.id}/{record.incarnation}/{record.status.value}"
    digest = hashlib.blake2s(version.encode(), digest_size=_BUCKET_HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")
