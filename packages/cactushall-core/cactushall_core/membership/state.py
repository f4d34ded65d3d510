"""State machine of one member in the membership protocol."""

from __future__ import annotations

import math
import random
import typing

import msgspec
from msgspec import structs

from cactushall_core import addresses, exceptions, identifiers, keys
from cactushall_core.membership import (
    broadcasts,
    completeness,
    messages,
    records,
    table,
)

MAX_DATAGRAM_BYTES = 1200
PACKET_OVERHEAD_BYTES = 64
MIN_BUDGET_BYTES = -4096.0


class Timing(msgspec.Struct, frozen=True):
    """Intervals and byte budget of the protocol.

    Attributes:
        probe_interval: Seconds between probes, and until a probe without an answer
            makes its target suspect.
        probe_timeout: Seconds until a probe without an answer is repeated through
            other members.
        suspicion_factor: Suspicion timeout in probe intervals, for a small fleet; it
            grows with the logarithm of the number of members.
        gossip_interval: Seconds between rounds of gossip.
        digest_interval: Seconds between digests sent for anti-entropy.
        dead_probe_interval: Seconds between probes of members believed to be dead.
        bytes_per_second: Rate at which the byte budget is refilled.
        burst_bytes: Maximum of the byte budget.
    """

    probe_interval: float = 1.0
    probe_timeout: float = 0.3
    suspicion_factor: float = 2.0
    gossip_interval: float = 0.2
    digest_interval: float = 10.0
    dead_probe_interval: float = 10.0
    bytes_per_second: float = 3000.0
    burst_bytes: float = 12000.0


INDIRECT_PROBES = 3
GOSSIP_FANOUT = 2
MAX_BUCKETS_PER_DIGEST = 4
RECENTLY_GONE = 16
ISOLATION_PROBE_INTERVALS = 3
ID_RANDOM_BITS = 32
# Bounds the ids that two running processes with one address take in turn.
MAX_ID_CHANGES = 4


class Send(msgspec.Struct, frozen=True):
    """Send a datagram to a member's gossip address."""

    address: addresses.Address
    datagram: bytes


class MemberChanged(msgspec.Struct, frozen=True):
    """The record of a member has changed."""

    record: records.Record


class FetchConfiguration(msgspec.Struct, frozen=True):
    """Fetch a newer service configuration from a member."""

    member: records.Member
    revision: identifiers.Revision


class NewestRevisionChanged(msgspec.Struct, frozen=True):
    """A member has told of a revision that is newer than all seen before."""

    revision: identifiers.Revision


class CompletenessChanged(msgspec.Struct, frozen=True):
    """The table of this member has become complete, or may not be complete any more.

    Attributes:
        evidence: Why it is complete, None where it may not be.
    """

    evidence: completeness.Evidence | None


class RequestTable(msgspec.Struct, frozen=True):
    """Ask the member at a control address for its table, over a connection.

    Its answer or the failure is handed to `handle_table_reply` or
    `handle_table_failure`.
    """

    address: addresses.Address
    request: messages.TableRequest


Action = (
    Send
    | MemberChanged
    | FetchConfiguration
    | NewestRevisionChanged
    | CompletenessChanged
    | RequestTable
)


class _PendingProbe(msgspec.Struct):
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


class Membership:
    """One member's view of the fleet.

    It does no I/O: methods that change it return the actions to carry out.
    """

    def __init__(
        self,
        member: records.Member,
        key_ring: tuple[keys.Key, ...],
        timing: Timing,
        rng: random.Random,
        now: float,
        *,
        may_change_id: bool = False,
    ) -> None:
        """Create a view that contains only this member.

        Args:
            member: Description of this member.
            key_ring: Keys that authenticate datagrams.
            timing: Intervals and byte budget.
            rng: Source of random choices.
            now: Current time in seconds.
            may_change_id: Whether this member may take a higher id than that of a
                predecessor at its address; not if anything is derived from its id.
        """
        self._member = member
        self._may_change_id = may_change_id
        self._id_changes = 0
        self._incarnation = 0
        self._is_leaving = False
        self._authenticator = messages.make_authenticator(key_ring)
        self._timing = timing
        self._rng = rng
        self._table = table.Table()
        self._broadcasts = broadcasts.BroadcastQueue()
        self._revision = identifiers.Revision(0)
        self._newest_revision = identifiers.Revision(0)
        self._revision_rounds = 0
        self._probes: dict[int, _PendingProbe] = {}
        self._suspected_at: dict[identifiers.MemberId, float] = {}
        self._probe_order: list[identifiers.MemberId] = []
        self._sequence = 0
        self._budget_bytes = timing.burst_bytes
        self._refilled_at = now
        self._next_probe_at = now
        self._next_gossip_at = now
        self._next_digest_at = now + rng.random() * timing.digest_interval
        self._next_dead_probe_at = now + timing.dead_probe_interval
        self._completeness = completeness.Completeness(rng, now)
        self._reported_evidence: completeness.Evidence | None = None
        self._contacts: tuple[addresses.Address, ...] = ()
        self._last_received_at = now
        self._sent_bytes = 0
        self._table.put(self._own_record(), now)

    @property
    def member(self) -> records.Member:
        """Description of this member."""
        return self._member

    @property
    def table(self) -> table.Table:
        """Records of all known members."""
        return self._table

    @property
    def sent_bytes(self) -> int:
        """Payload bytes sent so far."""
        return self._sent_bytes

    @property
    def is_complete(self) -> bool:
        """Whether the table holds all members."""
        return self._completeness.evidence is not None

    def snapshot(self) -> tuple[records.Record, ...]:
        """Return all records."""
        return tuple(self._table)

    def next_wakeup(self, now: float) -> float:
        """Return the time of the next call of `tick`, in seconds."""
        return min(
            self._next_probe_at,
            self._next_gossip_at,
            now + self._timing.probe_timeout / 2,
        )

    def update(self, member: records.Member, now: float) -> list[Action]:
        """Change the description of this member and announce it."""
        self._member = member
        return self._announce(now)

    def leave(self, now: float) -> list[Action]:
        """Announce to some members, which spread it, that this member leaves."""
        self._is_leaving = True
        actions = self._announce(now)
        targets = self._random_present(GOSSIP_FANOUT * 2)
        return actions + self._send_gossip(targets, now)

    def set_revision(self, revision: identifiers.Revision) -> None:
        """Set the revision of the adopted service configuration and spread it."""
        self._revision = revision
        self._revision_rounds = broadcasts.transmit_limit(self._table.present_count)

    def merge(
        self,
        received: typing.Iterable[records.Record],
        now: float,
        *,
        is_broadcast: bool = False,
    ) -> list[Action]:
        """Merge records of another member's table into this one.

        Args:
            received: The records.
            now: Current time in seconds.
            is_broadcast: Whether the records may be news to other members.
        """
        actions = self._apply_records(received, now, is_broadcast=is_broadcast)
        return actions + self._claim_address(now)

    def _apply_records(
        self,
        received: typing.Iterable[records.Record],
        now: float,
        *,
        is_broadcast: bool = False,
    ) -> list[Action]:
        actions: list[Action] = []
        for record in received:
            actions += self._apply_record(record, now, is_broadcast=is_broadcast)
        return actions

    def send_own_record(
        self, members: typing.Iterable[addresses.Address]
    ) -> list[Action]:
        """Send this member's record directly to some gossip addresses."""
        own = (self._own_record(),)
        return [self._send(address, messages.Gossip(), own) for address in members]

    # Exchange of tables.

    def set_contacts(self, contacts: typing.Iterable[addresses.Address]) -> None:
        """Set the control addresses of contact points, which may not be running."""
        own = self._member.control_address
        self._contacts = tuple(address for address in contacts if address != own)

    def request_merge(self, address: addresses.Address) -> list[Action]:
        """Exchange whole tables with a member of what may be another fleet."""
        return [RequestTable(address, self._table_request(self.snapshot()))]

    def _request_tables(
        self, present: list[records.Member], now: float
    ) -> list[Action]:
        if not self._completeness.is_asking:
            return []
        targets = self._completeness.next_targets(self._contacts, present, now)
        return [RequestTable(address, self._table_request()) for address in targets]

    def _table_request(
        self, offered: tuple[records.Record, ...] = ()
    ) -> messages.TableRequest:
        return messages.TableRequest(self._own_record(), self._table.digest(), offered)

    def handle_table_request(
        self, request: messages.TableRequest, now: float
    ) -> tuple[messages.TableReply, list[Action]]:
        """Handle another member's request for a table.

        Returns:
            The answer, and the actions to carry out.
        """
        known = self._table.get(request.sender.member.id)
        differing = self._table.differing_buckets(request.digest)
        reply = messages.TableReply(
            is_complete=self.is_complete,
            knew_sender=known is not None and known.is_present,
            records=tuple(self._table.records_in(differing)),
            revision=self._revision,
        )
        actions = self.merge((request.sender,), now, is_broadcast=True)
        return reply, actions + self.merge(request.records, now)

    def handle_table_reply(
        self, source: addresses.Address, reply: messages.TableReply, now: float
    ) -> list[Action]:
        """Handle the answer to a request for a table.

        Args:
            source: Control address of the member that has answered.
            reply: Its answer.
            now: Current time in seconds.
        """
        actions = self._apply_records(reply.records, now)
        actions += self._check_revision(reply.revision, self._member_at(source))
        self._completeness.handle_reply(source, reply, self._present_members(), now)
        actions += self._claim_address(now)
        return actions + self._report_completeness()

    def handle_table_failure(
        self, source: addresses.Address, now: float
    ) -> list[Action]:
        """Handle a request for a table that was not answered."""
        self._completeness.handle_failure(source, now)
        return self._report_completeness()

    def handle_unknown_sender(
        self, address: addresses.Address, now: float
    ) -> list[Action]:
        """Handle a message that came from the control address of an unknown member."""
        self._completeness.handle_unknown_sender(address, now)
        present = self._present_members()
        return self._report_completeness() + self._request_tables(present, now)

    def handle_pause(self, now: float) -> list[Action]:
        """Record that this process was paused until now and has missed updates."""
        self._last_received_at = now
        self._completeness.forget_evidence(now)
        return self._report_completeness()

    def _check_completeness(self, now: float) -> list[Action]:
        isolation_seconds = ISOLATION_PROBE_INTERVALS * self._timing.probe_interval
        is_alone = self._table.present_count <= 1
        if not is_alone and now - self._last_received_at >= isolation_seconds:
            self._completeness.forget_evidence(now)
        if not self._completeness.is_asking:
            return self._report_completeness()
        present = self._present_members()
        self._completeness.tick(self._contacts, present, now)
        return self._report_completeness() + self._request_tables(present, now)

    def _report_completeness(self) -> list[Action]:
        evidence = self._completeness.evidence
        if evidence is self._reported_evidence:
            return []
        self._reported_evidence = evidence
        return [CompletenessChanged(evidence)]

    def _member_at(self, address: addresses.Address) -> records.Member | None:
        """Return the running member at a control address, None where none is known."""
        for member in self._present_members():
            if member.control_address == address:
                return member
        return None

    def _present_members(self) -> list[records.Member]:
        """Return all other members that are believed to run."""
        return [
            record.member
            for record in self._table
            if record.is_present and record.member.id != self._member.id
        ]

    def tick(self, now: float) -> list[Action]:
        """Carry out all periodic work that is due."""
        self._refill_budget(now)
        actions = self._check_probes(now)
        actions += self._check_suspicions(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._timing.probe_interval
            actions += self._start_probe(now)
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + self._timing.gossip_interval
            actions += self._gossip(now)
            actions += self._check_completeness(now)
        if now >= self._next_digest_at:
            self._next_digest_at = now + self._timing.digest_interval
            actions += self._send_digest()
            self._table.expire(now)
        if now >= self._next_dead_probe_at:
            self._next_dead_probe_at = now + self._timing.dead_probe_interval
            actions += self._probe_gone_member()
        return actions

    def handle_datagram(
        self, sender: addresses.Address, datagram: bytes, now: float
    ) -> list[Action]:
        """Handle a received datagram.

        Raises:
            DecodeError: The datagram is malformed or not authentic.
        """
        packet = messages.decode(self._authenticator, datagram)
        if packet.sender == self._member.id:
            raise exceptions.DecodeError(
                "datagram carries this member's own id as its sender"
            )
        self._last_received_at = now
        actions: list[Action] = []
        for update in packet.updates:
            actions += self._apply(update, now)
        actions += self._claim_address(now)
        record = self._table.get(packet.sender)
        sender_member = record.member if record is not None else None
        actions += self._check_revision(packet.revision, sender_member)
        return actions + self._handle_body(sender, packet, now)

    def _handle_body(
        self, sender: addresses.Address, packet: messages.Packet, now: float
    ) -> list[Action]:
        body = packet.body
        if isinstance(body, messages.Probe):
            return self._handle_probe(sender, packet.sender, body)
        if isinstance(body, messages.Ack):
            return self._handle_ack(body)
        if isinstance(body, messages.IndirectProbe):
            return self._handle_indirect_probe(sender, body, now)
        if isinstance(body, messages.Digest):
            return self._handle_digest(sender, body)
        if isinstance(body, messages.BucketSummary):
            return self._handle_bucket_summary(sender, body)
        if isinstance(body, messages.RecordRequest):
            return self._handle_record_request(sender, body)
        return []

    # Failure detection.

    def _start_probe(self, now: float) -> list[Action]:
        target = self._next_probe_target()
        if target is None:
            return []
        return self._probe(target, _PendingProbe(target.member.id, now))

    def _probe(self, target: records.Record, pending: _PendingProbe) -> list[Action]:
        self._sequence += 1
        self._probes[self._sequence] = pending
        body = messages.Probe(self._sequence, target.member.id)
        return [self._send(target.member.gossip_address, body)]

    def _next_probe_target(self) -> records.Record | None:
        while self._probe_order:
            record = self._table.get(self._probe_order.pop())
            if record is not None and record.is_present:
                return record
        self._probe_order = [
            record.member.id
            for record in self._table
            if record.is_present and record.member.id != self._member.id
        ]
        self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return None
        return self._table.get(self._probe_order.pop())

    def _add_to_probe_round(self, member: identifiers.MemberId) -> None:
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

    def _handle_probe(
        self,
        sender: addresses.Address,
        sender_id: identifiers.MemberId,
        body: messages.Probe,
    ) -> list[Action]:
        extra: tuple[records.Update, ...] = ()
        if body.target != self._member.id or self._table.get(sender_id) is None:
            extra = (self._own_record(),)
        return [self._send(sender, messages.Ack(body.sequence), extra)]

    def _handle_ack(self, body: messages.Ack) -> list[Action]:
        pending = self._probes.pop(body.sequence, None)
        if pending is None or pending.requester is None:
            return []
        return [self._send(pending.requester, messages.Ack(pending.requester_sequence))]

    def _handle_indirect_probe(
        self, sender: addresses.Address, body: messages.IndirectProbe, now: float
    ) -> list[Action]:
        target = self._table.get(body.target)
        if target is None:
            return []
        pending = _PendingProbe(
            body.target, now, requester=sender, requester_sequence=body.sequence
        )
        return self._probe(target, pending)

    def _check_probes(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for sequence, pending in list(self._probes.items()):
            age = now - pending.started_at
            if age >= self._timing.probe_interval:
                del self._probes[sequence]
                if pending.requester is None:
                    actions += self._suspect(pending.target, now)
            elif age >= self._timing.probe_timeout and not pending.is_indirect_sent:
                pending.is_indirect_sent = True
                if pending.requester is None:
                    actions += self._probe_indirectly(sequence, pending.target)
        return actions

    def _probe_indirectly(
        self, sequence: int, target: identifiers.MemberId
    ) -> list[Action]:
        helpers = [
            record
            for record in self._random_present(INDIRECT_PROBES + 1)
            if record.member.id != target
        ]
        body = messages.IndirectProbe(sequence, target)
        return [
            self._send(helper.member.gossip_address, body)
            for helper in helpers[:INDIRECT_PROBES]
        ]

    def _suspect(self, target: identifiers.MemberId, now: float) -> list[Action]:
        record = self._table.get(target)
        if record is None or record.status is not records.Status.ALIVE:
            return []
        status_update = records.StatusUpdate(
            target, record.incarnation, records.Status.SUSPECT
        )
        return self._apply(status_update, now)

    def _check_suspicions(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for member, since in list(self._suspected_at.items()):
            if now - since < self.suspicion_timeout:
                continue
            record = self._table.get(member)
            if record is None or record.status is not records.Status.SUSPECT:
                del self._suspected_at[member]
                continue
            status_update = records.StatusUpdate(
                member, record.incarnation, records.Status.DEAD
            )
            actions += self._apply(status_update, now)
        return actions

    @property
    def suspicion_timeout(self) -> float:
        """Seconds after which a suspected member is declared dead unless it refutes."""
        scale = max(1.0, math.log10(self._table.present_count + 1))
        return self._timing.suspicion_factor * scale * self._timing.probe_interval

    def _probe_gone_member(self) -> list[Action]:
        """Probe the address of a member that is gone, so that fleets reconnect.

        The sides of a healed partition believe each other dead. A member that was
        stopped may have started again without finding any other.
        """
        gone = list(self._table.gone)
        if not gone:
            return []
        recent = gone[-RECENTLY_GONE:]
        dead = [r for r in gone if r.status is records.Status.DEAD] or recent
        target = self._rng.choice(self._rng.choice((recent, dead)))
        latest = self._table.at_address(target.member.gossip_address)
        if latest is None or latest.member.id != target.member.id:
            return []
        body = messages.Probe(0, target.member.id)
        extra = (target, self._own_record())
        return [self._send(target.member.gossip_address, body, extra)]

    # Dissemination.

    def _gossip(self, now: float) -> list[Action]:
        if not self._broadcasts and not self._revision_rounds:
            return []
        if self._budget_bytes < 0:
            return []
        if self._revision_rounds:
            self._revision_rounds -= 1
        return self._send_gossip(self._random_present(GOSSIP_FANOUT), now)

    def _send_gossip(self, targets: list[records.Record], now: float) -> list[Action]:
        return [
            self._send(target.member.gossip_address, messages.Gossip())
            for target in targets
        ]

    def _check_revision(
        self, revision: identifiers.Revision, member: records.Member | None
    ) -> list[Action]:
        """Handle the revision that a member has, which may not be in the table yet."""
        actions: list[Action] = []
        if revision > self._newest_revision:
            self._newest_revision = revision
            actions.append(NewestRevisionChanged(revision))
        if revision > self._revision and member is not None:
            actions.append(FetchConfiguration(member, revision))
        return actions

    def _apply(self, update: records.Update, now: float) -> list[Action]:
        if isinstance(update, records.Record):
            return self._apply_record(update, now, is_broadcast=True)
        known = self._table.get(update.id)
        if known is None:
            return []
        record = records.Record(known.member, update.incarnation, update.status)
        return self._apply_record(record, now, is_broadcast=True)

    def _apply_record(
        self, record: records.Record, now: float, *, is_broadcast: bool
    ) -> list[Action]:
        member = record.member
        if member.id == self._member.id:
            return self._refute(record, now)
        known = self._table.get(member.id)
        if known is not None and not records.supersedes(
            record.incarnation, record.status, known.incarnation, known.status
        ):
            return []
        replaced = self._table.at_address(member.gossip_address)
        self._table.put(record, now)
        if known is None:
            has_started_before = record.is_present and member.id < self._member.id
            self._completeness.handle_new_member(
                now, has_started_before=has_started_before
            )
        if record.is_present and (known is None or not known.is_present):
            self._add_to_probe_round(member.id)
        self._track_suspicion(record, now)
        if is_broadcast:
            self._broadcast_record(record, known)
        actions: list[Action] = [MemberChanged(record)]
        if record.is_present and replaced is not None:
            actions += self._declare_older_dead(member.id, replaced, now)
        return actions

    def _broadcast_record(
        self, record: records.Record, known: records.Record | None
    ) -> None:
        update: records.Update = record
        if known is not None and known.member == record.member:
            member_id = record.member.id
            update = records.StatusUpdate(member_id, record.incarnation, record.status)
        self._broadcasts.add(record.member.id, update)

    def _track_suspicion(self, record: records.Record, now: float) -> None:
        if record.status is records.Status.SUSPECT:
            self._suspected_at.setdefault(record.member.id, now)
        else:
            self._suspected_at.pop(record.member.id, None)

    def _declare_older_dead(
        self, member: identifiers.MemberId, other: records.Record, now: float
    ) -> list[Action]:
        """Declare the older of two members with the same address dead."""
        if other.member.id == member:
            return []
        return self._declare_dead(min(member, other.member.id), now)

    def _declare_dead(self, member: identifiers.MemberId, now: float) -> list[Action]:
        record = self._table.get(member)
        if record is None or not record.is_present:
            return []
        status_update = records.StatusUpdate(
            member, record.incarnation, records.Status.DEAD
        )
        return self._apply(status_update, now)

    def _claim_address(self, now: float) -> list[Action]:
        """Take an id above that of a predecessor at the own address.

        Its process cannot run any more, since this one has bound the address, but its
        clock was ahead, and for others the member with the higher id is the later one.
        """
        latest = self._table.at_address(self._member.gossip_address)
        if latest is None or latest.member.id <= self._member.id:
            return []
        is_allowed = self._may_change_id and not self._is_leaving
        if not is_allowed or self._id_changes >= MAX_ID_CHANGES:
            return []
        self._id_changes += 1
        former = self._member.id
        random_bits = self._rng.getrandbits(ID_RANDOM_BITS)
        new = records.make_higher_id(latest.member.id, random_bits)
        self._member = structs.replace(self._member, id=new)
        actions = self._announce(now)
        for member in (former, latest.member.id):
            actions += self._declare_dead(member, now)
        # While others believed this member to be dead, it may have missed updates.
        self._completeness.forget_evidence(now)
        return actions + self._report_completeness()

    def _refute(self, record: records.Record, now: float) -> list[Action]:
        own = self._own_record()
        if not records.supersedes(
            record.incarnation, record.status, own.incarnation, own.status
        ):
            return []
        self._incarnation = record.incarnation
        return self._announce(now)

    def _announce(self, now: float) -> list[Action]:
        self._incarnation += 1
        own = self._own_record()
        self._table.put(own, now)
        self._broadcasts.add(self._member.id, own)
        return []

    def _own_record(self) -> records.Record:
        status = records.Status.LEFT if self._is_leaving else records.Status.ALIVE
        return records.Record(self._member, self._incarnation, status)

    # Anti-entropy.

    def _send_digest(self) -> list[Action]:
        targets = self._random_present(1)
        body = messages.Digest(self._table.digest())
        return [self._send(target.member.gossip_address, body) for target in targets]

    def _handle_digest(
        self, sender: addresses.Address, body: messages.Digest
    ) -> list[Action]:
        if self._budget_bytes < 0:
            return []
        differing = self._table.differing_buckets(body.buckets)
        self._rng.shuffle(differing)
        return [
            self._send(sender, self._table.summary(bucket))
            for bucket in differing[:MAX_BUCKETS_PER_DIGEST]
        ]

    def _handle_bucket_summary(
        self, sender: addresses.Address, body: messages.BucketSummary
    ) -> list[Action]:
        if not 0 <= body.bucket < table.BUCKETS:
            return []
        entries_by_id = {entry.id: entry for entry in body.entries}
        wanted = [
            entry.id
            for entry in body.entries
            if _is_entry_newer(entry, self._table.get(entry.id))
        ]
        offered = [
            record
            for record in self._table.records_in((body.bucket,))
            if _is_entry_older(entries_by_id.get(record.member.id), record)
        ]
        actions: list[Action] = []
        if wanted:
            actions.append(self._send(sender, messages.RecordRequest(tuple(wanted))))
        return actions + self._send_records(sender, offered)

    def _handle_record_request(
        self, sender: addresses.Address, body: messages.RecordRequest
    ) -> list[Action]:
        found = [self._table.get(member) for member in body.ids]
        return self._send_records(sender, [record for record in found if record])

    def _send_records(
        self, address: addresses.Address, found: list[records.Record]
    ) -> list[Action]:
        actions: list[Action] = []
        batch: list[records.Update] = []
        size = 0
        for record in found:
            record_bytes = messages.encoded_size(record)
            if batch and size + record_bytes > MAX_DATAGRAM_BYTES:
                actions.append(self._send(address, messages.Gossip(), tuple(batch)))
                batch, size = [], 0
            batch.append(record)
            size += record_bytes
            if self._budget_bytes < MIN_BUDGET_BYTES:
                break
        if batch:
            actions.append(self._send(address, messages.Gossip(), tuple(batch)))
        return actions

    # Sending within the byte budget.

    def _send(
        self,
        address: addresses.Address,
        body: messages.Body,
        extra: tuple[records.Update, ...] = (),
    ) -> Send:
        room_bytes = (
            min(MAX_DATAGRAM_BYTES, int(self._budget_bytes)) - PACKET_OVERHEAD_BYTES
        )
        updates = extra
        if not extra and room_bytes > 0 and not isinstance(body, messages.Digest):
            limit = broadcasts.transmit_limit(self._table.present_count)
            updates = self._broadcasts.take(room_bytes, limit)
        packet = messages.Packet(self._member.id, self._revision, body, updates)
        datagram = messages.encode(self._authenticator, packet)
        self._budget_bytes -= len(datagram)
        self._sent_bytes += len(datagram)
        return Send(address, datagram)

    def _refill_budget(self, now: float) -> None:
        refill = (now - self._refilled_at) * self._timing.bytes_per_second
        self._budget_bytes = min(self._timing.burst_bytes, self._budget_bytes + refill)
        self._refilled_at = now

    def _random_present(self, count: int) -> list[records.Record]:
        return self._table.sample(count, self._member.id, self._rng)


def _is_entry_newer(entry: messages.BucketEntry, known: records.Record | None) -> bool:
    if known is None:
        return True
    return records.supersedes(
        entry.incarnation, entry.status, known.incarnation, known.status
    )


def _is_entry_older(entry: messages.BucketEntry | None, known: records.Record) -> bool:
    if entry is None:
        return True
    return records.supersedes(
        known.incarnation, known.status, entry.incarnation, entry.status
    )
