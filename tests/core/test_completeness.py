"""Tests of when a member's table counts as complete."""

from __future__ import annotations

import random

import pytest

from cactushall_core.membership import completeness, messages
from tests.core import builders

COLD_START = completeness.Basis.COLD_START
COMPLETE_MEMBER = completeness.Basis.COMPLETE_MEMBER
INTERVAL = completeness.ASK_INTERVAL_SECONDS
LATE = completeness.COLD_START_SECONDS + completeness.COLD_START_STABLE_SECONDS
STEP_SECONDS = 0.05
PATIENCE_SECONDS = 30.0


class Asker:
    """A member that asks others, and what it would be answered.

    Attributes:
        state: Its completeness.
        present: All other members that it believes to run.
        contacts: Control addresses of its contact points.
    """

    def __init__(self, count, seed=1, contacts=()):
        """Know some other members from the start."""
        self.state = completeness.Completeness(random.Random(seed), 0.0)
        self.present = [builders.make_agent(number).member for number in range(count)]
        self.contacts = list(contacts)

    @property
    def basis(self):
        """Why the table is complete, None where it may not be."""
        evidence = self.state.evidence
        return evidence and evidence.basis

    def targets(self, now):
        """Return the members that are asked now."""
        return self.state.next_targets(self.contacts, self.present, now)

    def answer(self, number, now, *, is_complete, knew_sender):
        """Let a member answer."""
        reply = messages.TableReply(is_complete, knew_sender, ())
        self.state.handle_reply(address_of(number), reply, self.present, now)

    def answer_from(self, address, now):
        """Let the member at an address answer that it is not complete."""
        reply = messages.TableReply(False, True, ())
        self.state.handle_reply(address, reply, self.present, now)

    def answer_all(self, now, *, is_complete=False, knew_sender=True):
        """Let all members answer alike."""
        for number in range(len(self.present)):
            self.answer(number, now, is_complete=is_complete, knew_sender=knew_sender)

    def read_list(self, now):
        """Read the contact points in the store."""
        self.state.record_contacts_listed(self.contacts, now)

    def tick(self, now):
        """Decide by time."""
        self.state.tick(self.contacts, self.present, now)


def address_of(number):
    return builders.make_agent(number).member.control_address


def make_complete(count=5):
    asker = Asker(count)
    asker.answer(0, 0.1, is_complete=True, knew_sender=True)
    assert asker.basis is COMPLETE_MEMBER
    return asker


# Answers of other members.


def test_member_that_has_just_started_is_not_complete():
    asker = Asker(5)
    assert asker.basis is None
    assert asker.state.is_asking


def test_answer_of_a_complete_member_that_had_heard_of_this_one_completes():
    asker = Asker(5)
    asker.answer(1, 0.1, is_complete=True, knew_sender=True)
    evidence = asker.state.evidence
    assert evidence.basis is COMPLETE_MEMBER
    assert (evidence.source, evidence.answers) == (address_of(1), 1)
    assert evidence.obtained_at == evidence.asked_seconds == 0.1
    assert not asker.state.is_asking


def test_answer_of_a_complete_member_that_did_not_know_this_one_is_not_enough():
    asker = Asker(5)
    asker.answer(1, 0.1, is_complete=True, knew_sender=False)
    assert asker.basis is None


def test_member_that_knows_this_one_from_its_first_question_is_not_enough():
    asker = Asker(5)
    asker.answer(1, 0.1, is_complete=True, knew_sender=False)
    asker.answer(1, 0.4, is_complete=True, knew_sender=True)
    assert asker.basis is None


def test_member_that_knows_this_one_from_a_question_without_answer_is_not_enough():
    asker = Asker(5)
    asker.state.handle_failure(address_of(1), 0.1)
    asker.answer(1, 0.4, is_complete=True, knew_sender=True)
    assert asker.basis is None


def test_second_complete_member_that_heard_of_this_one_completes():
    asker = Asker(5)
    asker.answer(1, 0.1, is_complete=True, knew_sender=False)
    asker.answer(2, 0.3, is_complete=True, knew_sender=True)
    assert asker.state.evidence.source == address_of(2)
    assert asker.state.evidence.answers == 2


@pytest.mark.parametrize("knew_sender", [False, True])
def test_incomplete_members_do_not_complete_at_once(knew_sender):
    asker = Asker(40)
    asker.answer_all(0.1, knew_sender=knew_sender)
    assert asker.basis is None


def test_later_answers_do_not_replace_the_evidence():
    asker = make_complete()
    first = asker.state.evidence
    asker.answer(3, 0.5, is_complete=True, knew_sender=True)
    asker.answer(4, 0.5, is_complete=False, knew_sender=False)
    assert asker.state.evidence is first


def test_only_other_member_of_the_fleet_completes_with_its_second_answer():
    asker = Asker(1)
    assert set(asker.targets(0.0)) == {address_of(0)}
    asker.answer(0, 0.1, is_complete=True, knew_sender=False)
    assert asker.basis is None
    assert asker.targets(INTERVAL) == [address_of(0)]
    asker.answer(0, 0.3, is_complete=True, knew_sender=True)
    assert asker.basis is COMPLETE_MEMBER


def test_repeated_answer_counts_only_once_all_members_have_answered():
    asker = Asker(3)
    asker.answer(0, 0.1, is_complete=True, knew_sender=False)
    asker.answer(1, 0.1, is_complete=False, knew_sender=False)
    asker.answer(0, 0.4, is_complete=True, knew_sender=True)
    assert asker.basis is None
    asker.answer(2, 0.5, is_complete=False, knew_sender=False)
    asker.answer(0, 0.7, is_complete=True, knew_sender=True)
    assert asker.basis is COMPLETE_MEMBER


# Whom it asks, and how often.


def test_contact_without_answer_is_asked_again_not_before_the_interval():
    contact = address_of(90)
    asker = Asker(0, contacts=[contact])
    assert asker.targets(0.0) == [contact]
    asker.state.handle_failure(contact, 0.01)
    assert asker.targets(INTERVAL * 0.9) == []
    assert asker.targets(INTERVAL) == [contact]


def test_contact_whose_answer_is_awaited_is_not_asked_again():
    asker = Asker(0, contacts=[address_of(90)])
    assert asker.targets(0.0)
    assert asker.targets(INTERVAL * 10) == []


def test_contact_that_has_answered_is_not_asked_before_others():
    contact = address_of(90)
    asker = Asker(5, contacts=[contact])
    asker.targets(0.0)
    asker.answer(90, 0.1, is_complete=False, knew_sender=False)
    assert contact not in asker.targets(INTERVAL)


def test_no_member_is_asked_more_often_than_the_interval():
    asker = Asker(3, contacts=[address_of(90)])
    asked_at = {}
    for step in range(400):
        now = step * 0.01
        for address in asker.targets(now):
            assert now - asked_at.get(address, float("-inf")) >= INTERVAL - 1e-9
            asked_at[address] = now
            asker.state.handle_failure(address, now)
    assert len(asked_at) == 4


def test_members_that_have_not_answered_are_asked_first():
    asker = Asker(30)
    for number in range(28):
        asker.answer(number, 0.1, is_complete=False, knew_sender=False)
    assert set(asker.targets(1.0)) <= {address_of(28), address_of(29)}


def test_every_member_is_asked_in_the_end():
    asker = Asker(40)
    asked = set()
    for step in range(40):
        now = step * INTERVAL
        for address in asker.targets(now):
            asked.add(address)
            asker.state.handle_failure(address, now)
    assert asked == {member.control_address for member in asker.present}


@pytest.mark.parametrize("seed", range(10))
def test_one_of_the_longest_running_is_among_those_asked_first(seed):
    asker = Asker(300, seed)
    random.Random(seed).shuffle(asker.present)
    longest_running = {address_of(n) for n in range(completeness.LONGEST_RUNNING)}
    assert longest_running & set(asker.targets(0.0))


def test_complete_member_asks_nobody():
    asker = make_complete()
    asker.contacts = [address_of(90)]
    assert asker.targets(10.0) == []


# Cold start.


def test_cold_start_after_answers_of_all():
    asker = Asker(4)
    asker.answer_all(0.1)
    asker.tick(LATE)
    assert asker.basis is COLD_START


def test_no_cold_start_while_one_of_few_members_has_not_answered():
    asker = Asker(4)
    for number in range(3):
        asker.answer(number, 0.1, is_complete=False, knew_sender=True)
    asker.tick(LATE)
    assert asker.basis is None


def test_cold_start_after_enough_answers_of_many():
    enough = completeness.COLD_START_ANSWERS
    asker = Asker(300)
    for number in range(enough - 1):
        asker.answer(number, 0.1, is_complete=False, knew_sender=True)
    asker.tick(LATE)
    assert asker.basis is None
    asker.answer(enough, 0.2, is_complete=False, knew_sender=True)
    asker.tick(LATE)
    assert asker.basis is COLD_START


def test_failures_are_not_enough_answers_for_a_cold_start():
    asker = Asker(300)
    for number in range(2 * completeness.COLD_START_ANSWERS):
        asker.state.handle_failure(address_of(number), 0.1)
    asker.answer(299, 0.1, is_complete=False, knew_sender=True)
    asker.tick(LATE)
    assert asker.basis is None


def test_no_cold_start_of_a_member_that_nobody_has_answered():
    asker = Asker(2)
    for number in range(2):
        asker.state.handle_failure(address_of(number), 0.1)
    asker.tick(PATIENCE_SECONDS)
    assert asker.basis is None


def test_no_cold_start_of_a_member_that_knows_nobody():
    asker = Asker(0)
    asker.tick(PATIENCE_SECONDS)
    assert asker.basis is None


def test_no_cold_start_before_its_time():
    asker = Asker(4)
    asker.answer_all(0.1)
    asker.tick(completeness.COLD_START_SECONDS - 0.01)
    assert asker.basis is None


def test_no_cold_start_while_members_are_still_discovered():
    asker = Asker(4)
    asker.answer_all(0.1)
    asker.state.handle_new_member(LATE, has_started_before=False)
    asker.tick(LATE + completeness.COLD_START_STABLE_SECONDS - 0.01)
    assert asker.basis is None
    asker.tick(LATE + completeness.COLD_START_STABLE_SECONDS)
    assert asker.basis is COLD_START


def test_no_cold_start_while_a_member_is_complete():
    asker = Asker(4)
    asker.answer_all(0.1)
    asker.answer(2, 0.2, is_complete=True, knew_sender=False)
    asker.tick(PATIENCE_SECONDS)
    assert asker.basis is None


def test_cold_start_once_the_complete_member_says_that_it_is_not_any_more():
    asker = Asker(4)
    asker.answer_all(0.1)
    asker.answer(2, 0.2, is_complete=True, knew_sender=False)
    asker.answer(2, 0.4, is_complete=False, knew_sender=True)
    asker.tick(LATE)
    assert asker.basis is COLD_START


def test_cold_start_once_the_complete_member_does_not_answer_any_more():
    asker = Asker(4)
    asker.answer_all(0.1)
    asker.answer(2, 0.2, is_complete=True, knew_sender=False)
    asker.state.handle_failure(address_of(2), 0.4)
    asker.tick(LATE)
    assert asker.basis is COLD_START


@pytest.mark.parametrize("is_contact", [False, True])
def test_complete_member_that_has_died_does_not_block_a_cold_start(is_contact):
    asker = Asker(5, contacts=[address_of(0)] if is_contact else ())
    asker.answer(0, 0.1, is_complete=True, knew_sender=False)
    dead = asker.present.pop(0).control_address
    now = 0.2
    while now < PATIENCE_SECONDS and asker.basis is None:
        for address in asker.targets(now):
            if address == dead:
                asker.state.handle_failure(address, now)
            else:
                reply = messages.TableReply(False, True, ())
                asker.state.handle_reply(address, reply, asker.present, now)
        asker.tick(now)
        now += STEP_SECONDS
    assert asker.basis is COLD_START


# Contact points that do not answer.


STALE_SEEDS = (90, 91, 92)
WAIT = completeness.COLD_START_SILENT_CONTACTS_SECONDS


def make_newcomer(*listed):
    """Return a member that has met one other and whose seeds are gone.

    Args:
        *listed: Numbers of the contact points that the store lists.
    """
    asker = Asker(1, contacts=[address_of(n) for n in (*STALE_SEEDS, *listed)])
    asker.answer(0, 0.1, is_complete=False, knew_sender=True)
    for number in STALE_SEEDS:
        asker.state.handle_failure(address_of(number), 0.1)
    return asker


def test_silence_of_stale_seeds_is_no_cold_start():
    """Guards against new members that take each other for the whole fleet."""
    asker = make_newcomer()
    asker.tick(PATIENCE_SECONDS)
    assert asker.basis is None


def test_silence_counts_from_when_the_store_has_listed_contact_points():
    """Guards against the time of an outage of the store that counts as silence."""
    asker = make_newcomer()
    asker.read_list(10.0)
    asker.tick(10.0 + WAIT - 0.01)
    assert asker.basis is None
    asker.read_list(10.0 + WAIT - 0.01)
    asker.tick(10.0 + WAIT)
    assert asker.basis is COLD_START
    assert asker.state.evidence.silent_contacts == len(STALE_SEEDS)


def test_silence_does_not_count_beside_an_old_list():
    """Guards against a fleet that was listed only after the list had been read."""
    asker = make_newcomer()
    asker.read_list(10.0)
    asker.tick(PATIENCE_SECONDS)
    assert asker.basis is None
    asker.read_list(PATIENCE_SECONDS)
    asker.tick(PATIENCE_SECONDS)
    assert asker.basis is COLD_START


def test_silence_of_a_contact_point_counts_from_when_that_one_was_listed():
    """Guards against a member of the fleet that is listed last and not yet asked."""
    asker = make_newcomer()
    for now in (10.0, 11.0, 12.0):
        asker.read_list(now)
    asker.contacts.append(address_of(93))
    asker.read_list(12.9)
    asker.tick(10.0 + WAIT)
    assert asker.basis is None
    asker.read_list(12.9 + WAIT)
    asker.tick(12.9 + WAIT)
    assert asker.basis is COLD_START


def test_list_from_before_updates_were_missed_does_not_count():
    asker = make_newcomer()
    asker.read_list(0.1)
    asker.state.forget_evidence(10.0)
    asker.answer(0, 10.1, is_complete=False, knew_sender=True)
    asker.tick(PATIENCE_SECONDS)
    assert asker.basis is None


def test_answers_of_others_do_not_outvote_silent_contact_points():
    """Guards against many new members that outnumber the seeds of one of them."""
    asker = Asker(40, contacts=[address_of(number) for number in STALE_SEEDS])
    asker.answer_all(0.1)
    asker.tick(PATIENCE_SECONDS)
    assert asker.basis is None


def test_cold_start_when_most_contact_points_have_started():
    """Guards against a fleet that starts while the store is away, and is not ready."""
    asker = Asker(4, contacts=[address_of(0), address_of(1), address_of(90)])
    asker.answer_all(0.1)
    asker.tick(LATE)
    assert asker.basis is COLD_START


def test_listed_member_of_the_running_fleet_prevents_a_cold_start():
    asker = make_newcomer(1, 2)
    asker.present += [builders.make_agent(number).member for number in (1, 2)]
    asker.read_list(10.0)
    for number in (1, 2):
        asker.answer(number, 10.1, is_complete=True, knew_sender=False)
    asker.tick(PATIENCE_SECONDS)
    assert asker.basis is None
    asker.answer(2, PATIENCE_SECONDS, is_complete=True, knew_sender=True)
    assert asker.basis is COMPLETE_MEMBER


# Pauses and isolation.


def test_restart_makes_incomplete():
    asker = make_complete()
    asker.state.forget_evidence(10.0)
    assert asker.basis is None
    assert asker.targets(10.0)


def test_restart_forgets_earlier_answers():
    asker = Asker(4)
    asker.answer_all(0.1)
    asker.state.forget_evidence(10.0)
    asker.tick(10.0 + LATE)
    assert asker.basis is None


def test_restart_begins_the_time_of_a_cold_start_anew():
    asker = Asker(4)
    asker.state.forget_evidence(10.0)
    asker.answer_all(10.1)
    asker.tick(10.0 + completeness.COLD_START_SECONDS - 0.01)
    assert asker.basis is None
    asker.tick(10.0 + completeness.COLD_START_SECONDS + 0.01)
    assert asker.basis is COLD_START


def test_member_is_complete_again_with_an_answer_after_the_restart():
    asker = make_complete()
    asker.state.forget_evidence(10.0)
    asker.answer(0, 10.2, is_complete=True, knew_sender=True)
    assert asker.basis is COMPLETE_MEMBER
    assert asker.state.evidence.asked_seconds == pytest.approx(0.2)


def test_answer_to_a_question_from_before_a_pause_does_not_complete():
    asker = Asker(1)
    assert asker.targets(0.0)
    asker.state.forget_evidence(10.0)
    asker.answer(0, 10.0, is_complete=True, knew_sender=True)
    assert asker.basis is None


# Messages of unknown members.


def test_message_of_an_unknown_member_makes_incomplete_until_it_answers():
    asker = make_complete()
    first = asker.state.evidence
    asker.state.handle_unknown_sender(address_of(70), 5.0)
    assert asker.basis is None
    assert asker.targets(5.0) == [address_of(70)]
    asker.answer(70, 5.1, is_complete=False, knew_sender=True)
    assert asker.state.evidence is first


def test_each_of_several_unknown_members_must_answer():
    asker = make_complete()
    for number in (70, 71):
        asker.state.handle_unknown_sender(address_of(number), 5.0)
    assert set(asker.targets(5.0)) == {address_of(70), address_of(71)}
    asker.answer(70, 5.1, is_complete=True, knew_sender=True)
    assert asker.basis is None
    asker.answer(71, 5.1, is_complete=True, knew_sender=True)
    assert asker.basis is COMPLETE_MEMBER


def test_repeated_messages_of_an_unknown_member_cause_one_question():
    asker = make_complete()
    targets = []
    for step in range(100):
        now = 5.0 + step * 0.01
        asker.state.handle_unknown_sender(address_of(70), now)
        targets += asker.targets(now)
    assert targets == [address_of(70)]


def test_answer_of_an_unknown_member_does_not_complete_a_started_one():
    asker = Asker(5)
    asker.state.handle_unknown_sender(address_of(70), 0.1)
    asker.answer(70, 0.2, is_complete=False, knew_sender=True)
    assert asker.basis is None


def test_unknown_member_that_cannot_be_asked_does_not_keep_incomplete():
    asker = make_complete()
    asker.state.handle_unknown_sender(address_of(70), 5.0)
    asker.targets(5.0)
    asker.state.handle_failure(address_of(70), 5.5)
    assert asker.basis is COMPLETE_MEMBER


def test_failed_unknown_member_is_ignored_for_a_while_only():
    asker = make_complete()
    retry = completeness.UNKNOWN_SENDER_RETRY_SECONDS
    asker.state.handle_unknown_sender(address_of(70), 5.0)
    asker.targets(5.0)
    asker.state.handle_failure(address_of(70), 5.5)
    asker.state.handle_unknown_sender(address_of(70), 5.5 + retry - 0.01)
    assert asker.basis is COMPLETE_MEMBER
    assert asker.targets(5.5 + retry - 0.01) == []
    asker.state.handle_unknown_sender(address_of(70), 5.5 + retry)
    assert asker.basis is None
    assert asker.targets(5.5 + retry) == [address_of(70)]


def test_failure_of_one_unknown_member_does_not_excuse_another():
    asker = make_complete()
    asker.state.handle_unknown_sender(address_of(70), 5.0)
    asker.targets(5.0)
    asker.state.handle_failure(address_of(70), 5.5)
    asker.state.handle_unknown_sender(address_of(71), 5.6)
    assert asker.basis is None


def test_restart_does_not_forget_unknown_members():
    asker = make_complete()
    asker.state.handle_unknown_sender(address_of(70), 5.0)
    asker.state.forget_evidence(6.0)
    asker.answer(0, 6.1, is_complete=True, knew_sender=True)
    assert asker.basis is None
    assert address_of(70) in asker.targets(6.2)


def test_a_paced_member_asks_seldom_once_one_has_answered():
    """Guards against a whole fleet that starts and fills small links with tables."""
    asker = Asker(60)
    asker.state = completeness.Completeness(random.Random(1), 0.0, is_paced=True)
    asked = 0
    for step in range(1, 101):
        targets = asker.targets(step * 0.1)
        asked += len(targets)
        for target in targets:
            asker.answer_from(target, step * 0.1)
    assert 20 <= asked <= 2 + 2 * 40


def test_a_paced_member_asks_on_while_nobody_answers():
    """Guards against a start that waits although the first ones asked do not run."""
    asker = Asker(60)
    asker.state = completeness.Completeness(random.Random(1), 0.0, is_paced=True)
    asked = [len(asker.targets(step * 0.1)) for step in range(1, 6)]
    assert asked == [2] * 5
