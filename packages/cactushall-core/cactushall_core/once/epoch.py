"""Epochs: numbered versions of the agreed list of a service's members.

The store holds one epoch for each service, which is changed by compare-and-swap only.
"""

from __future__ import annotations

import msgspec

from cactushall_core import decoding, identifiers

MAX_FORMER_MEMBERS = 256


class FormerMember(msgspec.Struct, frozen=True):
    """A member that was removed from the epoch.

    Attributes:
        member: The member.
        removed_at: When it was removed, in seconds since the Unix epoch.
    """

    member: identifiers.MemberId
    removed_at: float


class Epoch(msgspec.Struct, frozen=True):
    """One version of the members of a service.

    Attributes:
        number: Number of the epoch, incremented by each change.
        members: The members.
        former: Members that were recently removed without handing over their keys.
        alone_at: Latest time at which keys may have run on a sole member, so that no
            other member has recorded them; seconds since the Unix epoch.
    """

    number: int = 0
    members: tuple[identifiers.MemberId, ...] = ()
    former: tuple[FormerMember, ...] = ()
    alone_at: float = 0.0


_decoder = msgspec.json.Decoder(Epoch)


def encode(epoch: Epoch) -> bytes:
    """Encode an epoch for the store."""
    return msgspec.json.encode(epoch)


def decode(value: bytes) -> Epoch:
    """Decode an epoch from the store.

    Raises:
        DecodeError: The value is not a valid epoch.
    """
    return decoding.decode(_decoder, value)


def with_member(
    epoch: Epoch,
    member: identifiers.MemberId,
    wall_now: float,
    *,
    has_run_alone: bool,
) -> Epoch:
    """Return the next epoch, with one member added.

    Args:
        epoch: The current epoch.
        member: The member to add.
        wall_now: Seconds since the Unix epoch.
        has_run_alone: Whether the proposer recently ran keys as the only member.
    """
    members = (*epoch.members, member)
    alone_at = wall_now if has_run_alone else epoch.alone_at
    return Epoch(epoch.number + 1, members, epoch.former, alone_at)


def without_members(
    epoch: Epoch,
    removed: set[identifiers.MemberId],
    handed_over: set[identifiers.MemberId],
    wall_now: float,
    key_lifetime: float,
) -> Epoch:
    """Return the next epoch, with some members removed.

    Args:
        epoch: The current epoch.
        removed: Members to remove, which are dead or have left.
        handed_over: Members whose keys have been handed over to others.
        wall_now: Seconds since the Unix epoch.
        key_lifetime: Seconds for which keys are remembered.
    """
    members = tuple(member for member in epoch.members if member not in removed)
    recent = [f for f in epoch.former if wall_now - f.removed_at < 2 * key_lifetime]
    not_handed_over = [
        member for member in epoch.members if member in removed - handed_over
    ]
    former = (*recent, *(FormerMember(member, wall_now) for member in not_handed_over))
    alone_at = epoch.alone_at if members else wall_now
    return Epoch(epoch.number + 1, members, former[-MAX_FORMER_MEMBERS:], alone_at)


def is_majority(count: int, epoch: Epoch) -> bool:
    """Return whether a number of members is more than half of an epoch."""
    return 2 * count > len(epoch.members)
