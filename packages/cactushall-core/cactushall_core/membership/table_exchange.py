"""Requests the tables of other members until the own table is complete."""

from __future__ import annotations

import collections.abc
import random
import typing

from cactushall_core import addresses
from cactushall_core.membership import (
    completeness,
    member_actions,
    messages,
    records,
    table,
    timing,
)

ISOLATION_PROBE_INTERVALS = 3

FindPresent = collections.abc.Callable[[], list[records.Member]]


class TableExchange:
    """Requests for tables, and whether the own table is complete."""

    def __init__(
        self,
        members: table.Table,
        intervals: timing.Timing,
        rng: random.Random,
        now: float,
        *,
        is_paced: bool = False,
    ) -> None:
        """Start with an incomplete table.

        Args:
            members: The own table.
            intervals: Intervals of the protocol.
            rng: Source of random choices.
            now: Current time in seconds.
            is_paced: Whether this member decides nothing by its completeness.
        """
        self._members = members
        self._timing = intervals
        self._completeness = completeness.Completeness(rng, now, is_paced=is_paced)
        self._reported_evidence: completeness.Evidence | None = None
        self._contacts: tuple[addresses.Address, ...] = ()
        self._last_received_at = now

    @property
    def is_complete(self) -> bool:
        """Whether the table holds all members."""
        return self._completeness.evidence is not None

    def set_contacts(self, contacts: typing.Iterable[addresses.Address]) -> None:
        """Set the control addresses of other contact points."""
        self._contacts = tuple(contacts)

    def record_contacts_listed(self, now: float) -> None:
        """Record that the contact points hold all that the store lists now."""
        self._completeness.record_contacts_listed(self._contacts, now)

    def record_received(self, now: float) -> None:
        """Record that another member has sent a datagram."""
        self._last_received_at = now

    def handle_new_member(self, now: float, *, has_started_before: bool) -> None:
        """Record that a member was not known until now."""
        self._completeness.handle_new_member(now, has_started_before=has_started_before)

    def make_request(
        self, own: records.Record, offered: tuple[records.Record, ...] = ()
    ) -> messages.TableRequest:
        """Return a request that tells which part of the table is known already."""
        return messages.TableRequest(own, self._members.digest(), offered)

    def handle_request(
        self, request: messages.TableRequest
    ) -> tuple[bool, tuple[records.Record, ...]]:
        """Return whether the asking member was known, and the records that it lacks."""
        known = self._members.get(request.sender.member.id)
        differing = self._members.differing_buckets(request.digest)
        knew_sender = known is not None and known.is_present
        return knew_sender, tuple(self._members.records_in(differing))

    def handle_reply(
        self,
        source: addresses.Address,
        reply: messages.TableReply,
        present: list[records.Member],
        now: float,
    ) -> None:
        """Handle the answer of the member at a control address."""
        self._completeness.handle_reply(source, reply, present, now)

    def handle_failure(
        self, source: addresses.Address, now: float
    ) -> list[member_actions.Action]:
        """Handle a request that was not answered."""
        self._completeness.handle_failure(source, now)
        return self.report()

    def handle_unknown_sender(
        self,
        address: addresses.Address,
        own: records.Record,
        present: list[records.Member],
        now: float,
    ) -> list[member_actions.Action]:
        """Handle a message that came from the control address of an unknown member."""
        self._completeness.handle_unknown_sender(address, now)
        return self.report() + self._request_tables(own, present, now)

    def handle_pause(self, now: float) -> list[member_actions.Action]:
        """Record that this process was paused until now and has missed updates."""
        self._last_received_at = now
        return self.forget_evidence(now)

    def forget_evidence(self, now: float) -> list[member_actions.Action]:
        """Take the table for incomplete until others have answered again."""
        self._completeness.forget_evidence(now)
        return self.report()

    def check(
        self, own: records.Record, find_present: FindPresent, now: float
    ) -> list[member_actions.Action]:
        """Ask for tables while the own one is incomplete.

        Args:
            own: Record of this member.
            find_present: Returns all other members that are believed to run.
            now: Current time in seconds.
        """
        isolation_seconds = ISOLATION_PROBE_INTERVALS * self._timing.probe_interval
        is_alone = self._members.present_count <= 1
        if not is_alone and now - self._last_received_at >= isolation_seconds:
            self._completeness.forget_evidence(now)
        if not self._completeness.is_asking:
            return self.report()
        present = find_present()
        self._completeness.tick(self._contacts, present, now)
        return self.report() + self._request_tables(own, present, now)

    def report(self) -> list[member_actions.Action]:
        """Report whether the table is complete, where that has changed."""
        evidence = self._completeness.evidence
        if evidence is self._reported_evidence:
            return []
        self._reported_evidence = evidence
        return [member_actions.CompletenessChanged(evidence)]

    def _request_tables(
        self, own: records.Record, present: list[records.Member], now: float
    ) -> list[member_actions.Action]:
        if not self._completeness.is_asking:
            return []
        targets = self._completeness.next_targets(self._contacts, present, now)
        request = self.make_request(own)
        return [member_actions.RequestTable(address, request) for address in targets]
