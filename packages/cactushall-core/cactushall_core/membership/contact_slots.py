"""Decides which contact slot of its availability zone a member claims, and when.

The store lists a few contact points of each zone, which processes that start ask for
their tables. While a member of the fleet runs and reaches the store, the store has to
list one that runs: a slot must not wait for the lease of a holder that is gone.
"""

from __future__ import annotations

import enum
import heapq
import typing

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.membership import records

SLOTS_PER_ZONE = 3
# Places in the order of claims.
_OWN = (0, False, False)
_FREE = 1
_OF_GONE_HOLDER = (2, False, False)
_OF_SILENT_HOLDER = (3, False, False)


class HolderState(enum.Enum):
    """What is known of the process at the address of a slot's holder.

    RUNNING: It is a member that is believed to run.
    GONE: It was a member, and is dead or has left.
    SILENT: It is no known member, and has not answered for a while.
    UNKNOWN: It is no known member, and may answer.
    """

    RUNNING = "running"
    GONE = "gone"
    SILENT = "silent"
    UNKNOWN = "unknown"


class Slot(msgspec.Struct, frozen=True):
    """A contact slot as the store lists it.

    Attributes:
        number: Its number within the availability zone.
        holder: Control address of its holder, None where it is free or cannot be read.
        revision: Store revision of the holder's claim, 0 where the slot is free.
        latest: Control address that was written last beside a claim of it, which
            outlives the claim; None for none.
    """

    number: int
    holder: addresses.Address | None = None
    revision: int = 0
    latest: addresses.Address | None = None


class Option(msgspec.Struct, frozen=True):
    """A slot that may be claimed.

    Attributes:
        slot: The slot, to be claimed only if it is still as it was listed.
        is_latest_kept: Whether the latest holder stays listed beside the claim: it may
            belong to a fleet that runs.
    """

    slot: Slot
    is_latest_kept: bool = False


HolderStates = typing.Mapping[addresses.Address, HolderState]


def order_options(
    slots: typing.Iterable[Slot], own: addresses.Address, states: HolderStates
) -> list[Option]:
    """Return the slots that a member may claim, in the order in which to try them.

    The slot of its own predecessor comes first: that process cannot run, since this
    one has bound its address. Free slots follow, those that another member held last
    after the others, since its address is overwritten; then those whose holders are
    gone, and at last those whose holders do not answer.

    Args:
        slots: All slots of the member's availability zone.
        own: Control address of the member.
        states: What is known of the other holders.
    """
    ranks = {slot: _rank(slot, own, states) for slot in slots}
    claimable = {slot: rank for slot, rank in ranks.items() if rank is not None}
    return [
        Option(slot, is_latest_kept=rank == _OF_SILENT_HOLDER)
        for slot, rank in sorted(claimable.items(), key=lambda item: item[1])
    ]


def _rank(
    slot: Slot, own: addresses.Address, states: HolderStates
) -> tuple[int, bool, bool] | None:
    """Return the place of a slot in the order of claims, None where it is held."""
    if slot.holder == own:
        return _OWN
    if not slot.revision:
        is_of_another = slot.latest not in (None, own)
        return (_FREE, is_of_another, slot.latest is None)
    if slot.holder is None:
        # Its value cannot be read: another writer's, which its lease will end.
        return None
    state = states.get(slot.holder, HolderState.UNKNOWN)
    if state is HolderState.GONE:
        return _OF_GONE_HOLDER
    if state is HolderState.SILENT:
        return _OF_SILENT_HOLDER
    return None


def find_longest_running(
    members: typing.Iterable[records.Record],
    zone: identifiers.ZoneName,
    roles: typing.Collection[records.Role],
    count: int,
) -> list[identifiers.MemberId]:
    """Return the ids of those that run longest among the members of a zone.

    Each member comes to the same result where the tables are equal, so that a few
    do what is to be done once in each zone, without an agreement.

    Args:
        members: Records of all known members.
        zone: The availability zone.
        roles: Only members of these roles count.
        count: How many to return at most.
    """
    # Ids grow with the time of the start.
    return heapq.nsmallest(
        count,
        (
            record.member.id
            for record in members
            if record.is_present
            and record.member.zone == zone
            and record.member.role in roles
        ),
    )


def find_state(
    address: addresses.Address, members: typing.Iterable[records.Record]
) -> HolderState:
    """Return what a table of members tells of the process at a control address."""
    state = HolderState.UNKNOWN
    for record in members:
        if record.member.control_address != address:
            continue
        if record.is_present:
            return HolderState.RUNNING
        state = HolderState.GONE
    return state
