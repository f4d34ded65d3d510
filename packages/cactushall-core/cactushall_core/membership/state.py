"""State machine of one member in the membership protocol."""

from __future__ import annotations

import math
import random
import typing

import msgspec

from cactushall_core import addresses, exceptions, identifiers, keys
from cactushall_core.membership import broadcasts, messages, records, table

MAX_DATAGRAM_BYTES = 1200
PACKET_OVERHEAD_BYTES = 64
MIN_TOKENS_BYTES = -4096.0


class Timing(msgspec.Struct, frozen=True):
    """Intervals of the protocol, in seconds, and its byte budget."""

    probe_interval: float = 1.0
    probe_timeout: float = 0.3
    suspicion_factor: float = 2.0
    gossip_interval: float = 0.2
    digest_interval: float = 10.0
    revival_interval: float = 10.0
    bytes_per_second: float = 3000.0
    burst_bytes: float = 12000.0


INDIRECT_PROBES = 3
GOSSIP_FANOUT = 2
MAX_NEWS_RECORDS = 16
MAX_BUCKETS_PER_DIGEST = 4
JOINS_AFTER_CONTACT = 3


class Send(msgspec.Struct, frozen=True):
    """Send a datagram to a member's gossip address."""

    address: addresses.Address
    datagram: bytes


class MemberChanged(msgspec.Struct, frozen=True):
    """What is believed of a member has changed."""

    record: records.Record


class FetchConfiguration(msgspec.Struct, frozen=True):
    """Fetch the service configuration from a member that has a newer one."""

    member: records.Member
    revision: identifiers.Revision


Action = Send | MemberChanged | FetchConfiguration


class _PendingProbe(msgspec.Struct):
    target: identifiers.MemberId
    started_at: float
    is_indirect_sent: bool = False
    requester: addresses.Address | None = None
    requester_sequence: int = 0


class Membership:
    """One member's view of the fleet.

    All methods take the present time and return the actions to carry out.
    """

    def __init__(
        self,
        member: records.Member,
        ring: tuple[keys.Key, ...],
        timing: Timing,
        rng: random.Random,
        now: float,
    ) -> None:
        """Create a view that holds the member itself only.

        Args:
            member: What this member says of itself.
            ring: Keys of the datagrams.
            timing: Intervals and budget.
            rng: Source of random choices.
            now: Present time in seconds.
        """
        self._member = member
        self._incarnation = 0
        self._is_leaving = False
        self._authenticator = messages.make_authenticator(ring)
        self._timing = timing
        self._rng = rng
        self._table = table.Table()
        self._broadcasts = broadcasts.BroadcastQueue()
        self._revision = identifiers.Revision(0)
        self._revision_rounds = 0
        self._probes: dict[int, _PendingProbe] = {}
        self._suspected_at: dict[identifiers.MemberId, float] = {}
        self._probe_order: list[identifiers.MemberId] = []
        self._sequence = 0
        self._tokens = timing.burst_bytes
        self._refilled_at = now
        self._next_probe_at = now
        self._next_gossip_at = now
        self._next_digest_at = now + rng.random() * timing.digest_interval
        self._next_revival_at = now + timing.revival_interval
        self._joins_left = JOINS_AFTER_CONTACT
        self._sent_bytes = 0
        self._table.put(self._own_record(), now)

    @property
    def member(self) -> records.Member:
        """What this member says of itself."""
        return self._member

    @property
    def table(self) -> table.Table:
        """Beliefs about all members."""
        return self._table

    @property
    def sent_bytes(self) -> int:
        """Bytes of payload sent so far."""
        return self._sent_bytes

    def snapshot(self) -> tuple[records.Record, ...]:
        """Return all records, for a joining member."""
        return tuple(self._table)

    def next_wakeup(self, now: float) -> float:
        """Return when `tick` has something to do."""
        return min(
            self._next_probe_at,
            self._next_gossip_at,
            now + self._timing.probe_timeout / 2,
        )

    def update(self, member: records.Member, now: float) -> list[Action]:
        """Say something new of this member."""
        self._member = member
        return self._announce(now)

    def leave(self, now: float) -> list[Action]:
        """Say goodbye to some members, who pass it on."""
        self._is_leaving = True
        actions = self._announce(now)
        targets = self._random_present(GOSSIP_FANOUT * 2)
        return actions + self._send_gossip(targets, now)

    def set_revision(self, revision: identifiers.Revision) -> None:
        """Note the revision of the adopted service configuration and spread it."""
        self._revision = revision
        self._revision_rounds = broadcasts.transmit_limit(self._table.present_count)

    def merge(self, table_: tuple[records.Record, ...], now: float) -> list[Action]:
        """Take in another member's whole table.

        A short table is that of a joining member and is passed on; a long one is
        known to others already.
        """
        is_news = len(table_) <= MAX_NEWS_RECORDS
        self._joins_left = 0
        actions: list[Action] = []
        for record in table_:
            actions += self._apply_record(record, now, is_news=is_news)
        return actions

    def announce(self, now: float) -> list[Action]:
        """Tell others of this member, once it has joined."""
        return self._announce(now)

    def tell(self, members: typing.Iterable[addresses.Address]) -> list[Action]:
        """Tell members at some gossip addresses directly what this member says."""
        own = (self._own_record(),)
        return [self._send(address, messages.Gossip(), own) for address in members]

    def join(self, contacts: typing.Iterable[addresses.Address]) -> list[Action]:
        """Ask members at some gossip addresses for all they know."""
        own = (self._own_record(),)
        return [
            self._send(contact, messages.Join(), own)
            for contact in contacts
            if contact != self._member.gossip_address
        ]

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        self._refill(now)
        actions = self._check_probes(now)
        actions += self._check_suspicions(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._timing.probe_interval
            actions += self._start_probe(now)
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + self._timing.gossip_interval
            actions += self._gossip(now)
            actions += self._join_after_contact()
        if now >= self._next_digest_at:
            self._next_digest_at = now + self._timing.digest_interval
            actions += self._send_digest()
            self._table.expire(now)
        if now >= self._next_revival_at:
            self._next_revival_at = now + self._timing.revival_interval
            actions += self._probe_one_dead()
        return actions

    def receive(
        self, sender: addresses.Address, datagram: bytes, now: float
    ) -> list[Action]:
        """Handle a datagram.

        Raises:
            DecodeError: The datagram is malformed or not authentic.
        """
        packet = messages.decode(self._authenticator, datagram)
        if packet.sender == self._member.id:
            raise exceptions.DecodeError("datagram carries our own id")
        actions: list[Action] = []
        for delta in packet.deltas:
            actions += self._apply(delta, now)
        actions += self._compare_revision(packet)
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
            return self._handle_summary(sender, body)
        if isinstance(body, messages.RecordRequest):
            return self._handle_request(sender, body)
        if isinstance(body, messages.Join):
            return self._send_records(sender, list(self._table))
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

    def _handle_probe(
        self,
        sender: addresses.Address,
        sender_id: identifiers.MemberId,
        body: messages.Probe,
    ) -> list[Action]:
        extra: tuple[records.Delta, ...] = ()
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
        verdict = records.Verdict(target, record.incarnation, records.Status.SUSPECT)
        return self._apply(verdict, now)

    def _check_suspicions(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for member, since in list(self._suspected_at.items()):
            if now - since < self.suspicion_timeout:
                continue
            record = self._table.get(member)
            if record is None or record.status is not records.Status.SUSPECT:
                del self._suspected_at[member]
                continue
            verdict = records.Verdict(member, record.incarnation, records.Status.DEAD)
            actions += self._apply(verdict, now)
        return actions

    @property
    def suspicion_timeout(self) -> float:
        """Seconds in which a suspected member may refute."""
        scale = max(1.0, math.log10(self._table.present_count + 1))
        return self._timing.suspicion_factor * scale * self._timing.probe_interval

    def _probe_one_dead(self) -> list[Action]:
        """Look whether a partition has healed."""
        dead = [r for r in self._table.gone if r.status is records.Status.DEAD]
        if not dead:
            return []
        target = self._rng.choice(dead)
        latest = self._table.at_address(target.member.gossip_address)
        if latest is None or latest.member.id != target.member.id:
            return []
        body = messages.Probe(0, target.member.id)
        extra = (target, self._own_record())
        return [self._send(target.member.gossip_address, body, extra)]

    def _join_after_contact(self) -> list[Action]:
        """Ask others for all they know, once some are known.

        Members find one that has started again before it finds them. It would know
        only those, and for long, where its contact points and the store are away.
        """
        if not self._joins_left:
            return []
        targets = self._random_present(1)
        if targets:
            self._joins_left -= 1
        return self.join(target.member.gossip_address for target in targets)

    # Dissemination.

    def _gossip(self, now: float) -> list[Action]:
        if not self._broadcasts and not self._revision_rounds:
            return []
        if self._tokens < 0:
            return []
        if self._revision_rounds:
            self._revision_rounds -= 1
        return self._send_gossip(self._random_present(GOSSIP_FANOUT), now)

    def _send_gossip(self, targets: list[records.Record], now: float) -> list[Action]:
        return [
            self._send(target.member.gossip_address, messages.Gossip())
            for target in targets
        ]

    def _compare_revision(self, packet: messages.Packet) -> list[Action]:
        if packet.revision <= self._revision:
            return []
        record = self._table.get(packet.sender)
        if record is None:
            return []
        return [FetchConfiguration(record.member, packet.revision)]

    def _apply(self, delta: records.Delta, now: float) -> list[Action]:
        if isinstance(delta, records.Record):
            return self._apply_record(delta, now, is_news=True)
        known = self._table.get(delta.id)
        if known is None:
            return []
        record = records.Record(known.member, delta.incarnation, delta.status)
        return self._apply_record(record, now, is_news=True)

    def _apply_record(
        self, record: records.Record, now: float, *, is_news: bool
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
        self._note_suspicion(record, now)
        if is_news:
            self._queue(record, known)
        actions: list[Action] = [MemberChanged(record)]
        if record.is_present and replaced is not None:
            actions += self._bury_older(member.id, replaced, now)
        return actions

    def _queue(self, record: records.Record, known: records.Record | None) -> None:
        delta: records.Delta = record
        if known is not None and known.member == record.member:
            member_id = record.member.id
            delta = records.Verdict(member_id, record.incarnation, record.status)
        self._broadcasts.add(record.member.id, delta)

    def _note_suspicion(self, record: records.Record, now: float) -> None:
        if record.status is records.Status.SUSPECT:
            self._suspected_at.setdefault(record.member.id, now)
        else:
            self._suspected_at.pop(record.member.id, None)

    def _bury_older(
        self, member: identifiers.MemberId, other: records.Record, now: float
    ) -> list[Action]:
        """Declare dead the older one of two members at one address."""
        if other.member.id == member:
            return []
        older = self._table.get(min(member, other.member.id))
        if older is None or not older.is_present:
            return []
        verdict = records.Verdict(
            older.member.id, older.incarnation, records.Status.DEAD
        )
        return self._apply(verdict, now)

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
        if self._tokens < 0:
            return []
        differing = self._table.differing_buckets(body.buckets)
        self._rng.shuffle(differing)
        return [
            self._send(sender, self._table.summary(bucket))
            for bucket in differing[:MAX_BUCKETS_PER_DIGEST]
        ]

    def _handle_summary(
        self, sender: addresses.Address, body: messages.BucketSummary
    ) -> list[Action]:
        if not 0 <= body.bucket < table.BUCKETS:
            return []
        theirs = {entry.id: entry for entry in body.entries}
        wanted = [
            entry.id
            for entry in body.entries
            if _is_newer(entry, self._table.get(entry.id))
        ]
        offered = [
            record
            for record in self._table.bucket_records(body.bucket)
            if _is_older(theirs.get(record.member.id), record)
        ]
        actions: list[Action] = []
        if wanted:
            actions.append(self._send(sender, messages.RecordRequest(tuple(wanted))))
        return actions + self._send_records(sender, offered)

    def _handle_request(
        self, sender: addresses.Address, body: messages.RecordRequest
    ) -> list[Action]:
        found = [self._table.get(member) for member in body.ids]
        return self._send_records(sender, [record for record in found if record])

    def _send_records(
        self, address: addresses.Address, found: list[records.Record]
    ) -> list[Action]:
        actions: list[Action] = []
        batch: list[records.Delta] = []
        size = 0
        for record in found:
            record_bytes = messages.encoded_size(record)
            if batch and size + record_bytes > MAX_DATAGRAM_BYTES:
                actions.append(self._send(address, messages.Gossip(), tuple(batch)))
                batch, size = [], 0
            batch.append(record)
            size += record_bytes
            if self._tokens < MIN_TOKENS_BYTES:
                break
        if batch:
            actions.append(self._send(address, messages.Gossip(), tuple(batch)))
        return actions

    # Sending within the byte budget.

    def _send(
        self,
        address: addresses.Address,
        body: messages.Body,
        extra: tuple[records.Delta, ...] = (),
    ) -> Send:
        room = min(MAX_DATAGRAM_BYTES, int(self._tokens)) - PACKET_OVERHEAD_BYTES
        deltas = extra
        if not extra and room > 0 and not isinstance(body, messages.Digest):
            limit = broadcasts.transmit_limit(self._table.present_count)
            deltas = self._broadcasts.take(room, limit)
        packet = messages.Packet(self._member.id, self._revision, body, deltas)
        datagram = messages.encode(self._authenticator, packet)
        self._tokens -= len(datagram)
        self._sent_bytes += len(datagram)
        return Send(address, datagram)

    def _refill(self, now: float) -> None:
        earned = (now - self._refilled_at) * self._timing.bytes_per_second
        self._tokens = min(self._timing.burst_bytes, self._tokens + earned)
        self._refilled_at = now

    def _random_present(self, count: int) -> list[records.Record]:
        return self._table.sample(count, self._member.id, self._rng)


def _is_newer(entry: messages.BucketEntry, known: records.Record | None) -> bool:
    if known is None:
        return True
    return records.supersedes(
        entry.incarnation, entry.status, known.incarnation, known.status
    )


def _is_older(entry: messages.BucketEntry | None, known: records.Record) -> bool:
    if entry is None:
        return True
    return records.supersedes(
        known.incarnation, known.status, entry.incarnation, entry.status
    )
