"""Tests of which contact slot a member claims."""

from __future__ import annotations

import pytest
from msgspec import structs

from cactushall_core import addresses
from cactushall_core.membership import contact_slots, records
from tests.core import builders

OWN = addresses.Address("10.0.0.2", 7720)
OTHER = addresses.Address("10.0.0.3", 7720)
THIRD = addresses.Address("10.0.0.4", 7720)
GONE = contact_slots.HolderState.GONE
SILENT = contact_slots.HolderState.SILENT
RUNNING = contact_slots.HolderState.RUNNING


def free(number, latest=None):
    return contact_slots.Slot(number, latest=latest)


def held(number, holder, revision=7):
    return contact_slots.Slot(number, holder, revision, holder)


def order(slots, **states):
    known = {
        address: states.get(name, contact_slots.HolderState.UNKNOWN)
        for name, address in (("other", OTHER), ("third", THIRD))
    }
    return [o.slot.number for o in contact_slots.order_options(slots, OWN, known)]


def test_latest_holders_that_are_other_members_are_overwritten_last():
    """Guards against new members that overwrite the addresses of the old ones."""
    assert order([free(0, OTHER), free(1), free(2)]) == [1, 2, 0]


def test_a_member_claims_the_free_slot_that_it_held_last_first():
    assert order([free(0, OTHER), free(1), free(2, OWN)]) == [2, 1, 0]


def test_the_slot_of_a_member_that_runs_is_not_claimed():
    assert order([held(0, OTHER)], other=RUNNING) == []


def test_the_slot_of_a_member_that_is_gone_is_claimed_after_free_ones():
    assert order([held(0, OTHER), free(1)], other=GONE) == [1, 0]


def test_a_slot_that_cannot_be_read_is_not_claimed():
    assert order([contact_slots.Slot(0, None, 7)]) == []


def test_a_member_takes_over_the_slot_of_its_predecessor_first():
    assert order([free(0), held(1, OWN)]) == [1, 0]


def test_the_slot_of_a_holder_that_does_not_answer_is_claimed_last():
    slots = [held(0, OTHER), held(1, THIRD)]
    assert order(slots, other=SILENT, third=GONE) == [1, 0]
    assert order(slots, other=SILENT) == [0]


def test_a_holder_that_does_not_answer_stays_listed_as_latest_one():
    """Guards against a process that is cut off and hides a fleet that runs."""
    states = {OTHER: SILENT, THIRD: GONE}
    slots = [held(0, OTHER), held(1, THIRD)]
    options = contact_slots.order_options(slots, OWN, states)
    assert {o.slot.number: o.is_latest_kept for o in options} == {0: True, 1: False}


# What membership tells.


def member_at(number, status=records.Status.ALIVE, start=0):
    record = builders.make_agent(3 * number, status=status)
    member_id = record.member.id + 100 * start
    return structs.replace(record, member=structs.replace(record.member, id=member_id))


@pytest.mark.parametrize(
    ("members", "expected"),
    [
        ([], contact_slots.HolderState.UNKNOWN),
        ([member_at(1, records.Status.LEFT)], GONE),
        ([member_at(1, records.Status.SUSPECT)], RUNNING),
        ([member_at(1, start=1), member_at(1, records.Status.DEAD)], RUNNING),
    ],
)
def test_state_of_a_holder_is_that_of_the_latest_member_at_its_address(
    members, expected
):
    address = member_at(1).member.control_address
    assert contact_slots.find_state(address, members) is expected


def test_those_that_run_longest_in_the_zone_are_found():
    zone = member_at(0).member.zone
    members = [
        member_at(4),
        member_at(3),
        member_at(2),
        member_at(1, records.Status.LEFT),
        builders.make_agent(1),
    ]
    found = contact_slots.find_longest_running(members, zone, (records.Role.AGENT,), 2)
    assert found == [member_at(2).member.id, member_at(3).member.id]
    assert not contact_slots.find_longest_running(
        members, zone, (records.Role.ENTRY,), 2
    )
