"""Tests of which availability zones count as evacuated."""

from __future__ import annotations

import itertools

import pytest

from cactushall_core import identifiers
from cactushall_core.flows import evacuations
from cactushall_core.membership import zone_states

A = identifiers.ZoneName("a")
B = identifiers.ZoneName("b")
WAIT = evacuations.RESTORE_WAIT_SECONDS


def read(era, revision, **written):
    return evacuations.StoreRead(era, revision, written)


def state(era, revision, is_evacuated=True, zone=A):
    return zone_states.ZoneState(zone, era, revision, is_evacuated)


@pytest.fixture
def evacuated():
    """Evacuations of a process that has read a key written at revision 10."""
    made = evacuations.Evacuations()
    assert made.handle_read(read(1, 12, a=10), 0.0) == (state(1, 10),)
    return made


def test_a_present_key_evacuates_its_zone_at_its_revision(evacuated):
    assert evacuated.evacuated == {A}
    assert evacuated.states == (state(1, 10),)


def test_a_key_that_is_absent_later_in_the_same_era_was_withdrawn(evacuated):
    assert evacuated.handle_read(read(1, 15), 0.1) == (state(1, 15, False),)
    assert evacuated.evacuated == frozenset()


@pytest.mark.parametrize("revision", [9, 10])
def test_a_read_that_is_not_later_than_the_key_does_not_withdraw_it(revision):
    """A watch of another process may be ahead of this process's read."""
    made = evacuations.Evacuations()
    made.merge((state(1, 10),), 0.0)
    assert made.handle_read(read(1, revision), 0.1) == ()
    assert made.evacuated == {A}


def test_an_older_read_does_not_undo_a_newer_one(evacuated):
    assert evacuated.handle_read(read(1, 11), 0.1) == ()
    assert evacuated.evacuated == {A}


def test_a_key_in_an_older_read_still_counts_for_a_zone_without_a_state(evacuated):
    evacuated.handle_read(read(1, 11, b=5), 0.1)
    assert evacuated.evacuated == {A, B}


def test_changes_of_the_store_are_applied(evacuated):
    assert evacuated.handle_change(state(1, 13, zone=B), 0.1) == (state(1, 13, zone=B),)
    assert evacuated.handle_change(state(1, 14, False), 0.2) == (state(1, 14, False),)
    assert evacuated.evacuated == {B}


def test_a_change_that_the_read_includes_is_not_applied_again(evacuated):
    assert evacuated.handle_change(state(1, 9, False), 0.1) == ()
    assert evacuated.evacuated == {A}
    evacuated.handle_change(state(1, 13, zone=B), 0.2)
    assert evacuated.evacuated == {A, B}


def test_a_change_of_another_era_than_the_last_read_is_only_merged(evacuated):
    """A member of the store that lags may answer a read in the earlier era."""
    evacuated.handle_read(read(2, 3), 0.1)
    evacuated.handle_change(state(1, 14, False), 0.2)
    assert evacuated.evacuated == frozenset()
    evacuated.handle_change(state(1, 15, zone=B), 0.3)
    evacuated.handle_change(state(2, 4, zone=A), 0.4)
    assert evacuated.evacuated == {A, B}
    assert evacuated.next_read_at is not None


def test_stale_states_of_members_do_not_undo_a_later_change(evacuated):
    evacuated.handle_change(state(1, 14, False), 0.2)
    assert evacuated.merge((state(1, 10), state(1, 13)), 0.3) == ()
    assert evacuated.evacuated == frozenset()


def test_an_era_counts_more_than_a_revision(evacuated):
    assert evacuated.merge((state(0, 99, False),), 0.1) == ()
    evacuated.merge((state(2, 3, False),), 0.1)
    assert evacuated.evacuated == frozenset()
    assert evacuated.merge((state(1, 98),), 0.2) == ()


def test_states_are_the_same_in_whatever_order_they_arrive():
    received = [state(1, 5), state(1, 7, False), state(2, 1), state(2, 2, zone=B)]
    results = set()
    for order in itertools.permutations(received):
        made = evacuations.Evacuations()
        for one in order:
            made.merge((one,), 0.0)
        results.add(made.states)
    assert results == {(state(2, 1), state(2, 2, zone=B))}


def test_a_member_that_was_cut_off_does_not_bring_a_withdrawn_evacuation_back():
    """All others have restarted since, so that only the store knows better."""
    made = evacuations.Evacuations()
    made.handle_read(read(1, 20), 0.0)
    made.merge((state(1, 10),), 1.0)
    assert made.states == (state(1, 20, False),)


def test_a_state_that_is_newer_than_the_last_read_is_kept():
    """The watch of this process may be slow, or the store may reject it."""
    made = evacuations.Evacuations()
    made.handle_read(read(1, 20), 0.0)
    made.merge((state(1, 21),), 1.0)
    assert made.evacuated == {A}


# A store restored from an older copy.


def test_a_key_that_a_restored_copy_lacks_counts_until_the_waiting_time_ends(evacuated):
    assert evacuated.handle_read(read(2, 5), 1.0) == ()
    assert evacuated.next_read_at == 1.0 + WAIT
    assert evacuated.handle_read(read(2, 6), WAIT) == ()
    assert evacuated.evacuated == {A}
    assert evacuated.handle_read(read(2, 7), 1.0 + WAIT) == (state(2, 7, False),)
    assert evacuated.next_read_at is None


def test_only_a_read_ends_an_evacuation_after_the_waiting_time(evacuated):
    """The operator may have written the key again while the store did not answer."""
    evacuated.handle_read(read(2, 5), 1.0)
    evacuated.handle_change(state(2, 6, zone=B), 1.0 + 2 * WAIT)
    evacuated.merge((state(1, 3, zone=B),), 1.0 + 2 * WAIT)
    assert A in evacuated.evacuated


def test_a_key_written_again_in_the_new_era_counts_at_once(evacuated):
    evacuated.handle_read(read(2, 5), 1.0)
    evacuated.handle_change(state(2, 6), 2.0)
    assert evacuated.next_read_at is None
    evacuated.handle_read(read(2, 7, a=6), 2.0 + 2 * WAIT)
    assert evacuated.states == (state(2, 6),)


def test_a_key_written_again_and_removed_in_the_new_era_ends_at_once(evacuated):
    evacuated.handle_read(read(2, 5), 1.0)
    evacuated.handle_change(state(2, 6), 2.0)
    evacuated.handle_change(state(2, 7, False), 3.0)
    assert evacuated.states == (state(2, 7, False),)


def test_the_waiting_time_starts_again_where_the_store_is_restored_again(evacuated):
    evacuated.handle_read(read(2, 5), 1.0)
    evacuated.handle_read(read(3, 4), WAIT)
    evacuated.handle_read(read(3, 5), 1.0 + WAIT)
    assert evacuated.evacuated == {A}
    assert evacuated.next_read_at == WAIT + WAIT


def test_a_restored_copy_that_holds_a_withdrawn_key_evacuates_the_zone(evacuated):
    evacuated.handle_change(state(1, 14, False), 0.2)
    evacuated.handle_read(read(2, 11, a=10), 1.0)
    assert evacuated.states == (state(2, 10),)


def test_a_state_of_an_earlier_era_heard_after_the_read_waits_too():
    made = evacuations.Evacuations()
    made.handle_read(read(2, 5), 1.0)
    made.merge((state(1, 10),), 4.0)
    assert made.evacuated == {A}
    assert made.next_read_at == 4.0 + WAIT
    made.handle_read(read(2, 5), 4.0 + WAIT)
    assert made.evacuated == frozenset()


def test_a_state_of_a_later_era_calls_for_a_read(evacuated):
    """The store may hold the watch of this process until its revisions catch up."""
    evacuated.merge((state(2, 6),), 2.0)
    assert evacuated.next_read_at == 2.0
    evacuated.handle_read(read(2, 7, a=6), 2.1)
    assert evacuated.next_read_at is None


def test_a_state_of_a_later_era_is_not_undone_by_a_read_of_an_earlier_one(evacuated):
    evacuated.merge((state(2, 6),), 2.0)
    assert evacuated.handle_read(read(1, 30), 2.1) == ()
    assert evacuated.evacuated == {A}


def test_the_end_of_an_evacuation_by_another_member_ends_the_waiting(evacuated):
    evacuated.handle_read(read(2, 5), 1.0)
    evacuated.merge((state(2, 6, False),), 2.0)
    assert evacuated.next_read_at is None


def test_keys_that_one_transaction_has_written_all_stay_evacuated(evacuated):
    """Guards against a zone that returns to service while its key exists."""
    evacuated.handle_change(state(1, 20, zone=B), 0.1)
    c = identifiers.ZoneName("c")
    evacuated.handle_change(state(1, 20, zone=c), 0.1)
    evacuated.handle_change(state(1, 25, False), 0.2)
    assert evacuated.evacuated == {B, c}
