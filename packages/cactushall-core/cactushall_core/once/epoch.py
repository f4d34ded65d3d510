"""Epochs: the agreed list of a service's members.

One small value in the store for each service; it changes by compare-and-swap only.
"""

from __future__ import annotations

import msgspec

from cactushall_core import exceptions, identifiers

MAX_FORMER = 256


class Former(msgspec.Struct, frozen=True):
    """A member that was removed.

    Attributes:
        member: The member.
        removed_at: Seconds since the epoch of Unix time.
    """

    member: identifiers.MemberId
    removed_at: float


class Epoch(msgspec.Struct, frozen=True):
    """The members of a service.

    Attributes:
        number: Grows by one with each change.
        members: The members.
        former: Members that were removed lately without handing over their keys.
        alone_at: When a lone member, whose keys nobody else knows, last ran some;
            seconds since the epoch of Unix time.
    """

    number: int = 0
    members: tuple[identifiers.MemberId, ...] = ()
    former: tuple[Former, ...] = ()
    alone_at: float = 0.0


_decoder = msgspec.json.Decoder(Epoch)


def encode(epoch: Epoch) -> bytes:
    """Encode an epoch as the store holds it."""
    return msgspec.json.encode(epoch)


def decode(value: bytes) -> Epoch:
    """Decode an epoch.

    Raises:
        DecodeError: The value is no epoch.
    """
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError as error:
        raise exceptions.DecodeError(str(error)) from error


def with_member(
    epoch: Epoch,
    member: identifiers.MemberId,
    wall_now: float,
    *,
    has_run_alone: bool,
) -> Epoch:
    """Return the next epoch, with one member more.

    Args:
        epoch: The present epoch.
        member: The member that joins.
        wall_now: Seconds since the epoch of Unix time.
        has_run_alone: Whether the proposer was alone and ran keys then.
    """
    members = (*epoch.members, member)
    alone_at = wall_now if has_run_alone else epoch.alone_at
    return Epoch(epoch.number + 1, members, epoch.former, alone_at)


def without(
    epoch: Epoch,
    gone: set[identifiers.MemberId],
    handed_over: set[identifiers.MemberId],
    wall_now: float,
    key_lifetime: float,
) -> Epoch:
    """Return the next epoch, without some members.

    Args:
        epoch: The present epoch.
        gone: Members that are dead or have left.
        handed_over: Those of them whose keys other members have taken over.
        wall_now: Seconds since the epoch of Unix time.
        key_lifetime: Seconds for which keys are remembered.
    """
    members = tuple(member for member in epoch.members if member not in gone)
    kept = [f for f in epoch.former if wall_now - f.removed_at < 2 * key_lifetime]
    lost = [member for member in epoch.members if member in gone - handed_over]
    former = (*kept, *(Former(member, wall_now) for member in lost))
    alone_at = epoch.alone_at if members else wall_now
    return Epoch(epoch.number + 1, members, former[-MAX_FORMER:], alone_at)


def is_majority(count: int, epoch: Epoch) -> bool:
    """Tell whether so many members are more than half of an epoch."""
    return 2 * count > len(epoch.members)
