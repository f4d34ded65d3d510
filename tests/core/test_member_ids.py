"""Tests of members that start again with a lower id than their predecessor's."""

from __future__ import annotations

import random

import msgspec
import pytest

from cactushall_core import identifiers
from cactushall_core.membership import (
    records,
    state,
    timing,
)
from tests.core import builders, network

ALIVE = records.Status.ALIVE
DEAD = records.Status.DEAD
LEFT = records.Status.LEFT
PREDECESSOR = 50
LOWER_ID = identifiers.MemberId(20)
KNOWN_TO_ALL_SECONDS = 3.0


@pytest.fixture
def fleet():
    """Members that know each other, the predecessor among them."""
    made = network.Network(12, may_change_ids=True)
    made.add(PREDECESSOR)
    made.introduce_all()
    made.run(1.0)
    return made


def start_again(fleet, contact=0):
    """Start the predecessor's process again, under a lower id."""
    predecessor = fleet.node(PREDECESSOR).member
    started = fleet.add_member(msgspec.structs.replace(predecessor, id=LOWER_ID), 7)
    started.set_contacts([fleet.node(contact).member.control_address])
    return started


def make_membership(member_id, seed, *, may_change_id=True):
    """Return a member that knows only itself, at the predecessor's address."""
    member = builders.make_agent(PREDECESSOR).member
    return state.Membership(
        msgspec.structs.replace(member, id=identifiers.MemberId(member_id)),
        builders.RING,
        timing.Timing(),
        random.Random(seed),
        0.0,
        may_change_id=may_change_id,
    )


def assert_only_started_runs(fleet, started, predecessor, predecessor_status):
    for node in fleet.nodes.values():
        latest = node.table.at_address(started.member.gossip_address)
        assert (latest.member, latest.status) == (started.member, ALIVE)
        assert node.table.get(predecessor.id).status is predecessor_status
        former = node.table.get(LOWER_ID)
        assert former is None or former.status is DEAD
        assert node.table.present_count == 13


def test_member_with_a_lower_id_than_a_killed_predecessor_is_known_alive(fleet):
    predecessor = fleet.node(PREDECESSOR).member
    started = start_again(fleet)
    fleet.run(KNOWN_TO_ALL_SECONDS)
    assert_only_started_runs(fleet, started, predecessor, DEAD)


def test_member_with_a_lower_id_than_a_predecessor_that_left_is_known_alive(fleet):
    node = fleet.node(PREDECESSOR)
    fleet.execute(node, node.leave(fleet.now))
    fleet.run(1.0)
    started = start_again(fleet)
    fleet.run(KNOWN_TO_ALL_SECONDS)
    assert_only_started_runs(fleet, started, node.member, LEFT)


def test_member_that_learns_late_of_its_predecessor_is_known_alive(fleet):
    predecessor = fleet.nodes.pop(fleet.node(PREDECESSOR).member.gossip_address).member
    record = fleet.node(0).table.get(predecessor.id)
    forgotten = network.Network(12, may_change_ids=True)
    started = forgotten.add_member(msgspec.structs.replace(predecessor, id=LOWER_ID), 7)
    forgotten.introduce_all()
    forgotten.run(20.0)
    assert started.member.id == LOWER_ID
    forgotten.node(3).merge((record,), forgotten.now, is_broadcast=True)
    forgotten.run(KNOWN_TO_ALL_SECONDS)
    assert_only_started_runs(forgotten, started, predecessor, DEAD)


def test_member_whose_id_has_changed_is_complete_again_and_stays_alive(fleet):
    started = start_again(fleet)
    fleet.run(KNOWN_TO_ALL_SECONDS)
    assert started.is_complete
    member = started.member
    fleet.run(20.0)
    assert started.member == member
    assert set(_statuses(fleet, member.id)) == {ALIVE}
    assert all(node.is_complete for node in fleet.nodes.values())


def test_record_of_an_earlier_id_changes_nothing():
    node = make_membership(100, 1)
    earlier = make_membership(90, 2).snapshot()
    node.merge(earlier, 0.0)
    assert node.member.id == 100


def test_several_predecessors_cause_one_change():
    node = make_membership(100, 1)
    node.merge([make_membership(n, 2).snapshot()[0] for n in range(110, 130)], 0.0)
    assert node.member.id > 129
    assert node.table.present_count == 1
    assert node.table.get(identifiers.MemberId(100)).status is DEAD


def test_member_that_leaves_keeps_its_id():
    node = make_membership(100, 1)
    node.leave(0.0)
    node.merge(make_membership(110, 2).snapshot(), 0.0)
    assert node.member.id == 100


def test_member_keeps_an_id_from_which_others_are_derived():
    node = make_membership(100, 1, may_change_id=False)
    node.merge(make_membership(110, 2).snapshot(), 0.0)
    assert node.member.id == 100


def test_two_running_members_at_one_address_stop_taking_higher_ids():
    first, second = make_membership(100, 1), make_membership(110, 2)
    ids = set()
    for exchange in range(100):
        now = exchange * 1.0
        first.merge(second.snapshot(), now)
        second.merge(first.snapshot(), now)
        ids |= {first.member.id, second.member.id}
    assert len(ids) <= 2 + 2 * state.MAX_ID_CHANGES


def _statuses(fleet, member_id):
    return [
        record.status if (record := node.table.get(member_id)) else None
        for node in fleet.nodes.values()
    ]
