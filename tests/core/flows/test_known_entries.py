"""Tests of the entries that an agent sends reports to."""

from __future__ import annotations

import msgspec

from cactushall_core import identifiers
from cactushall_core.flows import known_entries
from cactushall_core.membership import records
from tests.core import builders

DEAD = records.Status.DEAD


def entry_record(number, member_id, status=records.Status.ALIVE):
    """Return the record of an entry on the VM of a number."""
    member = msgspec.structs.replace(
        builders.make_agent(number).member,
        id=identifiers.MemberId(member_id),
        role=records.Role.ENTRY,
        endpoints=(),
    )
    return records.Record(member, 0, status)


def known_after(*updates):
    """Return the control addresses that are known after some updates."""
    known = known_entries.KnownEntries()
    for record in updates:
        known.update(record)
    assert len(known.gossip_addresses) == len(known.control_addresses)
    return known.control_addresses


def test_present_entry_is_known_until_it_is_gone():
    alive = entry_record(1, 10)
    assert known_after(alive) == [alive.member.control_address]
    assert known_after(alive, entry_record(1, 10, DEAD)) == []


def test_agents_are_ignored():
    assert known_after(builders.make_agent(1)) == []


def test_entry_that_runs_stays_known_when_its_predecessor_is_declared_dead():
    updates = entry_record(1, 10), entry_record(1, 20), entry_record(1, 10, DEAD)
    assert known_after(*updates) == [updates[0].member.control_address]


def test_entry_that_runs_stays_known_after_late_news_of_its_predecessor():
    updates = entry_record(1, 20), entry_record(1, 10), entry_record(1, 10, DEAD)
    assert known_after(*updates) == [updates[0].member.control_address]
