"""Detects failed members by probes, through other members too, and by suspicion.

Source: Das, Gupta and Motivala, "SWIM", DSN 2002.
"""

from __future__ import annotations

import collections.abc
import math
import random

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.membership import (
    member_actions,
    messages,
    records,
    table,
    timing,
    transmitter,
)

INDIRECT_PROBES = 3
RECENTLY_GONE = 16

ApplyUpdate = collections.abc.Callable[
    [records.Update, float], list[member_actions.Action]
]
MakeOwnRecord = collections.abc.Callable[[], records.Record]


class PendingProbe(msgspec.Struct):
    """A probe that waits for an acknowledgement.

    Attributes:
        target: The probed member.
        started_at: Time of the probe, in seconds.
        is_indirect_sent: Whether other members have been asked to probe the target.
        requester: Address of the member that asked for this probe, if any.
        requester_sequence: Sequence number of that request.
    """

    target: identifiers.MemberId
    started_at: float
    is_indirect_sent: bool = False
    requester: addresses.Address | None = None
    requester_sequence: int = 0


class FailureDetector:
    """Probes of one member, and the members that it suspects."""

    def __init__(
        self,
        members: table.Table,
        sender: transmitter.Transmitter,
        intervals: timing.Timing,
        rng: random.Random,
        apply_update: ApplyUpdate,
        own_record: MakeOwnRecord,
    ) -> None:
        """Start without probes.

        Args:
            members: Records of all known members.
            sender: Sends the probes.
            intervals: Intervals of the protocol.
            rng: Source of random choices.
            apply_update: Applies the change of a member's status.
            own_record: Returns the record of this member.
        """
        self._members = members
        self._transmitter = sender
        self._timing = intervals
        self._rng = rng
        self._apply = apply_update
        self._own_record = own_record
        self._probes: dict[int, PendingProbe] = {}
        self._suspected_at: dict[identifiers.MemberId, float] = {}
        self._probe_order: list[identifiers.MemberId] = []
        self._sequence = 0

    @property
    def suspicion_timeout(self) -> float:
        """Seconds after which a suspected member is declared dead unless it refutes."""
        scale = max(1.0, math.log10(self._members.present_count + 1))
        return self._timing.suspicion_factor * scale * self._timing.probe_interval

    def tick(self, now: float) -> list[member_actions.Action]:
        """Handle probes without an answer and suspicions that were not refuted."""
        return self._check_probes(now) + self._check_suspicions(now)

    def start_probe(self, now: float) -> list[member_actions.Action]:
        """Probe the next member of the current round."""
        target = self._next_probe_target()
        if target is None:
            return []
        return self._probe(target, PendingProbe(target.member.id, now))

    def _probe(
        self, target: records.Record, pending: PendingProbe
    ) -> list[member_actions.Action]:
        self._sequence += 1
        self._probes[self._sequence] = pending
        body = messages.Probe(self._sequence, target.member.id)
        return [self._transmitter.send(target.member.gossip_address, body)]

    def _next_probe_target(self) -> records.Record | None:
        while self._probe_order:
            record = self._members.get(self._probe_order.pop())
            if record is not None and record.is_present:
                return record
        self._probe_order = [
            record.member.id
            for record in self._members
            if record.is_present and record.member.id != self._transmitter.member_id
        ]
        self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return None
        return self._members.get(self._probe_order.pop())

    def add_to_round(self, member: identifiers.MemberId) -> None:
        """Insert a member at a random place of the current round's order.

        The member at that place is probed next. An empty order needs no insertion: the
        next round starts with the next probe.
        """
        if not self._probe_order:
            return
        self._probe_order.append(member)
        place = self._rng.randrange(len(self._probe_order))
        self._probe_order[place], self._probe_order[-1] = (
            self._probe_order[-1],
            self._probe_order[place],
        )

    def handle_probe(
        self,
        sender: addresses.Address,
        sender_id: identifiers.MemberId,
        body: messages.Probe,
    ) -> list[member_actions.Action]:
        """Acknowledge a probe, and introduce this member where it may be unknown."""
        extra: tuple[records.Update, ...] = ()
        is_known = self._members.get(sender_id) is not None
        if body.target != self._transmitter.member_id or not is_known:
            extra = (self._own_record(),)
        return [self._transmitter.send(sender, messages.Ack(body.sequence), extra)]

    def handle_ack(self, body: messages.Ack) -> list[member_actions.Action]:
        """Handle an acknowledgement, and pass it on to the member that asked for it."""
        pending = self._probes.pop(body.sequence, None)
        if pending is None or pending.requester is None:
            return []
        ack = messages.Ack(pending.requester_sequence)
        return [self._transmitter.send(pending.requester, ack)]

    def handle_indirect_probe(
        self, sender: addresses.Address, body: messages.IndirectProbe, now: float
    ) -> list[member_actions.Action]:
        """Probe a member on behalf of another one."""
        target = self._members.get(body.target)
        if target is None:
            return []
        pending = PendingProbe(
            body.target, now, requester=sender, requester_sequence=body.sequence
        )
        return self._probe(target, pending)

    def _check_probes(self, now: float) -> list[member_actions.Action]:
        decided: list[member_actions.Action] = []
        for sequence, pending in list(self._probes.items()):
            age = now - pending.started_at
            if age >= self._timing.probe_interval:
                del self._probes[sequence]
                if pending.requester is None:
                    decided += self._suspect(pending.target, now)
            elif age >= self._timing.probe_timeout and not pending.is_indirect_sent:
                pending.is_indirect_sent = True
                if pending.requester is None:
                    decided += self._probe_indirectly(sequence, pending.target)
        return decided

    def _probe_indirectly(
        self, sequence: int, target: identifiers.MemberId
    ) -> list[member_actions.Action]:
        helpers = [
            record
            for record in self._random_present(INDIRECT_PROBES + 1)
            if record.member.id != target
        ]
        body = messages.IndirectProbe(sequence, target)
        return [
            self._transmitter.send(helper.member.gossip_address, body)
            for helper in helpers[:INDIRECT_PROBES]
        ]

    def _suspect(
        self, target: identifiers.MemberId, now: float
    ) -> list[member_actions.Action]:
        record = self._members.get(target)
        if record is None or record.status is not records.Status.ALIVE:
            return []
        status_update = records.StatusUpdate(
            target, record.incarnation, records.Status.SUSPECT
        )
        return self._apply(status_update, now)

    def _check_suspicions(self, now: float) -> list[member_actions.Action]:
        decided: list[member_actions.Action] = []
        for member, since in list(self._suspected_at.items()):
            if now - since < self.suspicion_timeout:
                continue
            record = self._members.get(member)
            if record is None or record.status is not records.Status.SUSPECT:
                del self._suspected_at[member]
                continue
            status_update = records.StatusUpdate(
                member, record.incarnation, records.Status.DEAD
            )
            decided += self._apply(status_update, now)
        return decided

    def probe_gone_member(self) -> list[member_actions.Action]:
        """Probe the address of a member that is gone, so that fleets reconnect.

        The sides of a healed partition believe each other dead. A member that was
        stopped may have started again without finding any other.
        """
        gone = list(self._members.gone)
        if not gone:
            return []
        recent = gone[-RECENTLY_GONE:]
        dead = [r for r in gone if r.status is records.Status.DEAD] or recent
        target = self._rng.choice(self._rng.choice((recent, dead)))
        latest = self._members.at_address(target.member.gossip_address)
        if latest is None or latest.member.id != target.member.id:
            return []
        body = messages.Probe(0, target.member.id)
        extra = (target, self._own_record())
        return [self._transmitter.send(target.member.gossip_address, body, extra)]

    def track_suspicion(self, record: records.Record, now: float) -> None:
        """Note a changed record, which may begin or end a suspicion."""
        if record.status is records.Status.SUSPECT:
            self._suspected_at.setdefault(record.member.id, now)
        else:
            self._suspected_at.pop(record.member.id, None)

    def _random_present(self, count: int) -> list[records.Record]:
        return self._members.sample(count, self._transmitter.member_id, self._rng)
