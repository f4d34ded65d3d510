"""Evidence that a member's table holds all members of the fleet.

A member that has just started, was paused or was cut off has missed updates. It asks
others for their tables until one that is complete itself has answered and had heard of
it before through others: from then on it receives all updates. Where a whole fleet
starts, no member is complete, and the first ones have to go by time. Contact points
that do not answer may belong to a fleet that runs, so their silence counts only once
the list in the store is known, which outlives its fleet. A fleet whose contact points
have gone is listed again within seconds, so the list has to be read again meanwhile.
"""

from __future__ import annotations

import enum
import random
import typing

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.membership import messages, records

COLD_START_SECONDS = 0.6
COLD_START_STABLE_SECONDS = 0.3
COLD_START_ANSWERS = 16
COLD_START_SILENT_CONTACTS_SECONDS = 3.0
# Longer than the pause between two reads of a process that goes on reading the list.
LIST_VALID_SECONDS = 2.0
ASKED_AT_ONCE = 2
LONGEST_RUNNING = 16
ASK_INTERVAL_SECONDS = 0.2
PACED_INTERVAL_SECONDS = 0.5
UNKNOWN_SENDER_RETRY_SECONDS = 5.0


class Basis(enum.Enum):
    """Why a table counts as complete.

    COMPLETE_MEMBER: A complete member has answered that had heard of this one.
    COLD_START: No member that could be asked is complete, and none has been discovered
        for a while.
    """

    COMPLETE_MEMBER = "complete-member"
    COLD_START = "cold-start"


class Answer(enum.Enum):
    """The latest answer of a member that was asked for its table."""

    COMPLETE = "complete"
    INCOMPLETE = "incomplete"
    NONE = "none"


class Evidence(msgspec.Struct, frozen=True):
    """Why a table counts as complete.

    Attributes:
        basis: The kind of evidence.
        source: Control address of the member that answered last.
        answers: Number of members that have answered.
        asked_seconds: Time between the first question and the evidence.
        obtained_at: When it was obtained.
        silent_contacts: In a cold start, number of contact points without an answer.
    """

    basis: Basis
    source: addresses.Address
    answers: int
    asked_seconds: float
    obtained_at: float
    silent_contacts: int = 0


class Completeness:
    """Whether the table of a member is complete, and whom to ask for theirs.

    Addresses are control addresses. The present time is an argument of all methods.
    """

    def __init__(
        self, rng: random.Random, now: float, *, is_paced: bool = False
    ) -> None:
        """Start with an incomplete table.

        Args:
            rng: Chooses the members to ask.
            now: Current time in seconds.
            is_paced: Whether this member decides nothing by its completeness, so that
                it asks seldom once one member has answered: where a whole fleet
                starts, tables would fill small links.
        """
        self._rng = rng
        self._is_paced = is_paced
        self._next_paced_at = now
        self._evidence: Evidence | None = None
        self._incomplete_since = now
        self._last_new_member_at = now
        # When the store's list of contact points was last read, and since when each
        # contact point has been known to be among those to ask.
        self._list_read_at = float("-inf")
        self._listed_since: dict[addresses.Address, float] = {}
        self._answers: dict[addresses.Address, Answer] = {}
        self._in_progress: set[addresses.Address] = set()
        # Members that were asked before updates may have been missed.
        self._outdated: set[addresses.Address] = set()
        self._asked_at: dict[addresses.Address, float] = {}
        self._unknown_senders: set[addresses.Address] = set()
        self._failed_senders: dict[addresses.Address, float] = {}

    @property
    def evidence(self) -> Evidence | None:
        """Why the table is complete, None where it may not be."""
        return None if self._unknown_senders else self._evidence

    @property
    def is_asking(self) -> bool:
        """Whether members still have to be asked."""
        return self.evidence is None

    def forget_evidence(self, now: float) -> None:
        """Record that updates may have been missed until now."""
        self._evidence = None
        self._incomplete_since = now
        self._list_read_at = float("-inf")
        self._listed_since.clear()
        self._answers.clear()
        self._asked_at.clear()
        self._outdated |= self._in_progress

    def record_contacts_listed(
        self, contacts: typing.Iterable[addresses.Address], now: float
    ) -> None:
        """Record that the store's list of contact points was read.

        Args:
            contacts: All contact points, those of the list included.
            now: Current time in seconds.
        """
        self._list_read_at = now
        known = self._listed_since
        self._listed_since = {address: known.get(address, now) for address in contacts}

    def handle_new_member(self, now: float, *, has_started_before: bool) -> None:
        """Record that a member was discovered.

        Args:
            now: Current time in seconds.
            has_started_before: Whether it has run since before this member started, so
                that a complete table would have held it.
        """
        self._last_new_member_at = now
        if has_started_before and self._evidence is not None:
            self.forget_evidence(now)

    def handle_unknown_sender(self, address: addresses.Address, now: float) -> None:
        """Record a message from a member that is not in the table."""
        failed_at = self._failed_senders.get(address, float("-inf"))
        if now - failed_at >= UNKNOWN_SENDER_RETRY_SECONDS:
            self._unknown_senders.add(address)

    def next_targets(
        self,
        contacts: typing.Iterable[addresses.Address],
        present: typing.Sequence[records.Member],
        now: float,
    ) -> list[addresses.Address]:
        """Return the members to ask now; their answers are awaited from then on.

        Args:
            contacts: Contact points, which may not be running.
            present: All other members that are believed to run.
            now: Current time in seconds.
        """
        targets = [a for a in self._unknown_senders if self._may_ask(a, now)]
        if self._evidence is None and now >= self._next_paced_at:
            targets += self._silent_contacts(contacts, now)
            targets += self._choose_members(present, now)
            if self._is_paced and self._answered():
                jitter = self._rng.uniform(0.5, 1.5)
                self._next_paced_at = now + PACED_INTERVAL_SECONDS * jitter
        chosen = list(dict.fromkeys(targets))
        self._in_progress.update(chosen)
        self._asked_at.update(dict.fromkeys(chosen, now))
        return chosen

    def handle_reply(
        self,
        source: addresses.Address,
        reply: messages.TableReply,
        present: typing.Sequence[records.Member],
        now: float,
    ) -> None:
        """Handle the answer of a member, after its records were merged.

        Args:
            source: The member that has answered.
            reply: Its answer.
            present: All other members that are believed to run.
            now: Current time in seconds.
        """
        is_first_answer = source not in self._answers
        self._unknown_senders.discard(source)
        if not self._end_question(source):
            return
        self._answers.pop(source, None)
        self._answers[source] = (
            Answer.COMPLETE if reply.is_complete else Answer.INCOMPLETE
        )
        if self._evidence is not None or not reply.is_complete:
            return
        # The first question itself makes this member known to the one that is asked;
        # a later answer of that one proves it only where nobody else is left to ask.
        is_proof = is_first_answer or not self._unanswered(present)
        if reply.knew_sender and is_proof:
            self._conclude(Basis.COMPLETE_MEMBER, now)

    def handle_failure(self, source: addresses.Address, now: float) -> None:
        """Record that a member did not answer."""
        if self._end_question(source):
            self._answers[source] = Answer.NONE
        if source in self._unknown_senders:
            self._unknown_senders.discard(source)
            self._failed_senders[source] = now

    def tick(
        self,
        contacts: typing.Collection[addresses.Address],
        present: typing.Sequence[records.Member],
        now: float,
    ) -> None:
        """Conclude that the whole fleet has just started, where that is so."""
        if self._evidence is not None:
            return
        seconds = now - self._incomplete_since
        is_stable = now - self._last_new_member_at >= COLD_START_STABLE_SECONDS
        if seconds < COLD_START_SECONDS or not is_stable:
            return
        if any(self._is_complete(member) for member in present):
            return
        is_enough = len(self._answered()) >= COLD_START_ANSWERS
        if not is_enough and self._unanswered(present):
            return
        silent = self._without_answer(contacts)
        if 2 * len(silent) < len(contacts) or self._is_silence_explained(silent, now):
            self._conclude(Basis.COLD_START, now, len(silent))

    def _is_silence_explained(
        self, silent: typing.Collection[addresses.Address], now: float
    ) -> bool:
        """Return whether no silent contact point can belong to a fleet that runs.

        The settings may name VMs that are gone while the fleet runs elsewhere, so
        all that the store lists now must have been asked for a while.

        Args:
            silent: Contact points that have not answered.
            now: Current time in seconds.
        """
        if not silent:
            return True
        if now - self._list_read_at > LIST_VALID_SECONDS:
            return False
        listed_before = now - COLD_START_SILENT_CONTACTS_SECONDS
        return all(
            self._listed_since.get(address, now) <= listed_before for address in silent
        )

    def _without_answer(
        self, contacts: typing.Iterable[addresses.Address]
    ) -> list[addresses.Address]:
        """Return the contact points that have not answered."""
        return [
            address
            for address in contacts
            if self._answers.get(address, Answer.NONE) is Answer.NONE
        ]

    def _answered(self) -> list[addresses.Address]:
        """Return the members that have answered, the latest last."""
        return [a for a, kind in self._answers.items() if kind is not Answer.NONE]

    def _is_complete(self, member: records.Member) -> bool:
        """Return whether a member has answered that its table is complete."""
        return self._answers.get(member.control_address) is Answer.COMPLETE

    def _end_question(self, source: addresses.Address) -> bool:
        """Record that a member has answered or failed.

        Returns:
            Whether it was asked since updates may have been missed.
        """
        is_outdated = source in self._outdated
        self._in_progress.discard(source)
        self._outdated.discard(source)
        return not is_outdated

    def _conclude(self, basis: Basis, now: float, silent_contacts: int = 0) -> None:
        answered = self._answered()
        if not answered:
            return
        asked_seconds = now - self._incomplete_since
        self._evidence = Evidence(
            basis, answered[-1], len(answered), asked_seconds, now, silent_contacts
        )

    def _may_ask(self, address: addresses.Address, now: float) -> bool:
        asked_at = self._asked_at.get(address, float("-inf"))
        is_due = now - asked_at >= ASK_INTERVAL_SECONDS
        return is_due and address not in self._in_progress

    def _silent_contacts(
        self, contacts: typing.Iterable[addresses.Address], now: float
    ) -> list[addresses.Address]:
        """Return the contact points that have not answered and may be asked."""
        return [a for a in self._without_answer(contacts) if self._may_ask(a, now)]

    def _unanswered(
        self, present: typing.Sequence[records.Member]
    ) -> list[records.Member]:
        """Return the members that have neither answered nor failed."""
        return [m for m in present if m.control_address not in self._answers]

    def _choose_members(
        self, present: typing.Sequence[records.Member], now: float
    ) -> list[addresses.Address]:
        """Return some members, preferably such as have not been asked.

        One of them is among those that run longest, which are the most likely to be
        complete where many others have just started.
        """
        candidates = [
            member
            for member in self._unanswered(present) or present
            if self._may_ask(member.control_address, now)
        ]
        if not candidates:
            return []
        by_start = sorted(candidates, key=_start_order)
        longest_running = self._rng.choice(by_start[:LONGEST_RUNNING])
        others = self._rng.sample(candidates, min(len(candidates), ASKED_AT_ONCE - 1))
        return [member.control_address for member in (longest_running, *others)]


def _start_order(member: records.Member) -> identifiers.MemberId:
    """Return the id of a member; ids grow with the time of the start."""
    return member.id
