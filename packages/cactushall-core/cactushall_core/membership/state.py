"""State machine of one member in the membership protocol."""

from __future__ import annotations

import random
import typing

from msgspec import structs

from cactushall_core import addresses, exceptions, identifiers, keys, traffic
from cactushall_core.membership import (
    anti_entropy,
    broadcasts,
    failure_detector,
    member_actions,
    messages,
    records,
    table,
    table_exchange,
    timing,
    transmitter,
    zone_states,
)

GOSSIP_FANOUT = 2
ID_RANDOM_BITS = 32
# Bounds the ids that two running processes with one address take in turn.
MAX_ID_CHANGES = 4


class Membership:
    """One member's view of the fleet.

    It does no I/O: methods that change it return the actions to carry out.
    """

    def __init__(
        self,
        member: records.Member,
        key_ring: tuple[keys.Key, ...],
        intervals: timing.Timing,
        rng: random.Random,
        now: float,
        *,
        may_change_id: bool = False,
        known: table.Table | None = None,
        counts: traffic.Traffic | None = None,
    ) -> None:
        """Create a view that contains this member and what is known already.

        Args:
            member: Description of this member.
            key_ring: Keys that authenticate datagrams.
            intervals: Intervals and byte budget.
            rng: Source of random choices.
            now: Current time in seconds.
            may_change_id: Whether this member may take a higher id than that of a
                predecessor at its address; not if anything is derived from its id.
            known: Records of other members, None for none.
            counts: Counts of messages by kind, None for counts of its own.
        """
        self._member = member
        self._may_change_id = may_change_id
        self._id_changes = 0
        self._incarnation = 0
        self._is_leaving = False
        self._timing = intervals
        self._rng = rng
        self._table = table.Table() if known is None else known
        self._transmitter = transmitter.Transmitter(
            member.id, self._table, key_ring, intervals, now, counts
        )
        self._failures = failure_detector.FailureDetector(
            self._table,
            self._transmitter,
            intervals,
            rng,
            self._apply,
            self._own_record,
        )
        self._newest_revision = identifiers.Revision(0)
        self._zone_states: zone_states.ZoneStates = ()
        self._extra_rounds = 0
        self._next_probe_at = now
        self._next_gossip_at = now
        self._next_digest_at = now + rng.random() * intervals.digest_interval
        self._next_dead_probe_at = now + intervals.dead_probe_interval
        self._exchange = table_exchange.TableExchange(
            self._table,
            intervals,
            rng,
            now,
            is_paced=member.role is records.Role.AGENT,
        )
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
        return self._transmitter.sent_bytes

    @property
    def is_complete(self) -> bool:
        """Whether the table holds all members."""
        return self._exchange.is_complete

    @property
    def suspicion_timeout(self) -> float:
        """Seconds after which a suspected member is declared dead unless it refutes."""
        return self._failures.suspicion_timeout

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

    def update(self, member: records.Member, now: float) -> list[member_actions.Action]:
        """Change the description of this member and announce it."""
        self._member = member
        return self._announce(now)

    def leave(self, now: float) -> list[member_actions.Action]:
        """Announce to some members, which spread it, that this member leaves."""
        self._is_leaving = True
        decided = self._announce(now)
        targets = self._random_present(GOSSIP_FANOUT * 2)
        return decided + self._send_gossip(targets)

    def set_revision(self, revision: identifiers.Revision) -> None:
        """Set the revision of the adopted service configuration and spread it."""
        self._transmitter.revision = revision
        self._start_extra_rounds()

    def set_zone_states(self, states: zone_states.ZoneStates) -> None:
        """Set the states of availability zones and spread them."""
        self._zone_states = states
        self._transmitter.zone_states = zone_states.select_for_datagram(states)
        self._start_extra_rounds()

    def _start_extra_rounds(self) -> None:
        """Gossip for some rounds although there are no updates about members."""
        self._extra_rounds = broadcasts.transmit_limit(self._table.present_count)

    def merge(
        self,
        received: typing.Iterable[records.Record],
        now: float,
        *,
        is_broadcast: bool = False,
    ) -> list[member_actions.Action]:
        """Merge records of another member's table into this one.

        Args:
            received: The records.
            now: Current time in seconds.
            is_broadcast: Whether the records may be news to other members.
        """
        decided = self._apply_records(received, now, is_broadcast=is_broadcast)
        return decided + self._claim_address(now)

    def send_own_record(
        self, members: typing.Iterable[addresses.Address]
    ) -> list[member_actions.Action]:
        """Send this member's record directly to some gossip addresses."""
        own = (self._own_record(),)
        return [
            self._transmitter.send(address, messages.Gossip(), own)
            for address in members
        ]

    def tick(self, now: float) -> list[member_actions.Action]:
        """Carry out all periodic work that is due."""
        self._transmitter.refill(now)
        decided = self._failures.tick(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._timing.probe_interval
            decided += self._failures.start_probe(now)
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + self._timing.gossip_interval
            decided += self._gossip()
            decided += self._exchange.check(
                self._own_record(), self._present_members, now
            )
        if now >= self._next_digest_at:
            self._next_digest_at = now + self._timing.digest_interval
            decided += anti_entropy.send_digest(
                self._table, self._transmitter, self._rng
            )
            self._table.expire(now)
        if now >= self._next_dead_probe_at:
            self._next_dead_probe_at = now + self._timing.dead_probe_interval
            decided += self._failures.probe_gone_member()
        return decided

    def handle_datagram(
        self, sender: addresses.Address, datagram: bytes, now: float
    ) -> list[member_actions.Action]:
        """Handle a received datagram.

        Raises:
            DecodeError: The datagram is malformed or not authentic.
        """
        packet = self._transmitter.decode(datagram)
        if packet.sender == self._member.id:
            raise exceptions.DecodeError(
                "datagram carries this member's own id as its sender"
            )
        self._exchange.record_received(now)
        decided: list[member_actions.Action] = []
        for update in packet.updates:
            decided += self._apply(update, now)
        decided += self._claim_address(now)
        record = self._table.get(packet.sender)
        sender_member = record.member if record is not None else None
        decided += self._check_zone_states(sender, packet.zone_states)
        decided += self._check_revision(packet.revision, sender_member)
        return decided + self._handle_body(sender, packet, now)

    def _handle_body(
        self, sender: addresses.Address, packet: messages.Packet, now: float
    ) -> list[member_actions.Action]:
        body = packet.body
        if isinstance(body, messages.Probe):
            return self._failures.handle_probe(sender, packet.sender, body)
        if isinstance(body, messages.Ack):
            return self._failures.handle_ack(body)
        if isinstance(body, messages.IndirectProbe):
            return self._failures.handle_indirect_probe(sender, body, now)
        if isinstance(body, messages.Gossip):
            return []
        return anti_entropy.handle_message(
            self._table, self._transmitter, self._rng, sender, body
        )

    # Exchange of tables.

    def set_contacts(self, contacts: typing.Iterable[addresses.Address]) -> None:
        """Set the control addresses of contact points, which may not be running."""
        own = self._member.control_address
        self._exchange.set_contacts(address for address in contacts if address != own)

    def record_contacts_listed(self, now: float) -> None:
        """Record that the contact points hold all that the store lists now."""
        self._exchange.record_contacts_listed(now)

    @property
    def is_alone(self) -> bool:
        """Whether no other member is believed to run."""
        return self._table.present_count <= 1

    @property
    def needs_contacts(self) -> bool:
        """Whether contact points may be listed that this member has to ask."""
        decides_by_table = self._member.role is not records.Role.AGENT
        return self.is_alone or (decides_by_table and not self.is_complete)

    def request_merge(
        self, address: addresses.Address
    ) -> list[member_actions.RequestTable]:
        """Exchange whole tables with a member of what may be another fleet."""
        request = self._exchange.make_request(self._own_record(), self.snapshot())
        return [member_actions.RequestTable(address, request)]

    def handle_table_request(
        self, request: messages.TableRequest, now: float
    ) -> tuple[messages.TableReply, list[member_actions.Action]]:
        """Handle another member's request for a table.

        Returns:
            The answer, and the actions to carry out.
        """
        knew_sender, lacking = self._exchange.handle_request(request)
        reply = messages.TableReply(
            is_complete=self.is_complete,
            knew_sender=knew_sender,
            records=lacking,
            revision=self._transmitter.revision,
            zone_states=self._zone_states,
        )
        decided = self.merge((request.sender,), now, is_broadcast=True)
        return reply, decided + self.merge(request.records, now)

    def handle_table_reply(
        self, source: addresses.Address, reply: messages.TableReply, now: float
    ) -> list[member_actions.Action]:
        """Handle the answer to a request for a table.

        Args:
            source: Control address of the member that has answered.
            reply: Its answer.
            now: Current time in seconds.
        """
        decided = self._apply_records(reply.records, now)
        decided += self._check_zone_states(source, reply.zone_states)
        decided += self._check_revision(reply.revision, self._member_at(source))
        self._exchange.handle_reply(source, reply, self._present_members(), now)
        decided += self._claim_address(now)
        return decided + self._exchange.report()

    def handle_table_failure(
        self, source: addresses.Address, now: float
    ) -> list[member_actions.Action]:
        """Handle a request for a table that was not answered."""
        return self._exchange.handle_failure(source, now)

    def handle_unknown_sender(
        self, address: addresses.Address, now: float
    ) -> list[member_actions.Action]:
        """Handle a message that came from the control address of an unknown member."""
        return self._exchange.handle_unknown_sender(
            address, self._own_record(), self._present_members(), now
        )

    def handle_pause(self, now: float) -> list[member_actions.Action]:
        """Record that this process was paused until now and has missed updates."""
        return self._exchange.handle_pause(now)

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

    # Dissemination.

    def _gossip(self) -> list[member_actions.Action]:
        if not self._transmitter.broadcasts and not self._extra_rounds:
            return []
        if not self._transmitter.has_budget:
            return []
        if self._extra_rounds:
            self._extra_rounds -= 1
        return self._send_gossip(self._random_present(GOSSIP_FANOUT))

    def _send_gossip(
        self, targets: list[records.Record]
    ) -> list[member_actions.Action]:
        return [
            self._transmitter.send(target.member.gossip_address, messages.Gossip())
            for target in targets
        ]

    def _check_revision(
        self, revision: identifiers.Revision, member: records.Member | None
    ) -> list[member_actions.Action]:
        """Handle the revision that a member has, which may not be in the table yet."""
        decided: list[member_actions.Action] = []
        if revision > self._newest_revision:
            self._newest_revision = revision
            decided.append(member_actions.NewestRevisionChanged(revision))
        if revision > self._transmitter.revision and member is not None:
            decided.append(member_actions.FetchConfiguration(member, revision))
        return decided

    def _check_zone_states(
        self, source: addresses.Address, states: zone_states.ZoneStates
    ) -> list[member_actions.Action]:
        """Hand on the states of zones that another member has, where they differ."""
        if not states or states in (self._zone_states, self._transmitter.zone_states):
            return []
        return [member_actions.ZoneStatesReceived(source, states)]

    # Changes of records.

    def _apply_records(
        self,
        received: typing.Iterable[records.Record],
        now: float,
        *,
        is_broadcast: bool = False,
    ) -> list[member_actions.Action]:
        decided: list[member_actions.Action] = []
        for record in received:
            decided += self._apply_record(record, now, is_broadcast=is_broadcast)
        return decided

    def _apply(self, update: records.Update, now: float) -> list[member_actions.Action]:
        if isinstance(update, records.Record):
            return self._apply_record(update, now, is_broadcast=True)
        known = self._table.get(update.id)
        if known is None:
            return []
        record = records.Record(known.member, update.incarnation, update.status)
        return self._apply_record(record, now, is_broadcast=True)

    def _apply_record(
        self, record: records.Record, now: float, *, is_broadcast: bool
    ) -> list[member_actions.Action]:
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
            self._exchange.handle_new_member(now, has_started_before=has_started_before)
        if record.is_present and (known is None or not known.is_present):
            self._failures.add_to_round(member.id)
        self._failures.track_suspicion(record, now)
        if is_broadcast:
            self._broadcast_record(record, known)
        decided: list[member_actions.Action] = [member_actions.MemberChanged(record)]
        if record.is_present and replaced is not None:
            decided += self._declare_older_dead(member.id, replaced, now)
        return decided

    def _broadcast_record(
        self, record: records.Record, known: records.Record | None
    ) -> None:
        update: records.Update = record
        if known is not None and known.member == record.member:
            member_id = record.member.id
            update = records.StatusUpdate(member_id, record.incarnation, record.status)
        self._transmitter.broadcasts.add(record.member.id, update)

    def _declare_older_dead(
        self, member: identifiers.MemberId, other: records.Record, now: float
    ) -> list[member_actions.Action]:
        """Declare the older of two members with the same address dead."""
        if other.member.id == member:
            return []
        return self._declare_dead(min(member, other.member.id), now)

    def _declare_dead(
        self, member: identifiers.MemberId, now: float
    ) -> list[member_actions.Action]:
        record = self._table.get(member)
        if record is None or not record.is_present:
            return []
        status_update = records.StatusUpdate(
            member, record.incarnation, records.Status.DEAD
        )
        return self._apply(status_update, now)

    # The own record.

    def _claim_address(self, now: float) -> list[member_actions.Action]:
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
        self._transmitter.member_id = new
        decided = self._announce(now)
        for member in (former, latest.member.id):
            decided += self._declare_dead(member, now)
        # While others believed this member to be dead, it may have missed updates.
        return decided + self._exchange.forget_evidence(now)

    def _refute(
        self, record: records.Record, now: float
    ) -> list[member_actions.Action]:
        own = self._own_record()
        if not records.supersedes(
            record.incarnation, record.status, own.incarnation, own.status
        ):
            return []
        self._incarnation = record.incarnation
        return self._announce(now)

    def _announce(self, now: float) -> list[member_actions.Action]:
        self._incarnation += 1
        own = self._own_record()
        self._table.put(own, now)
        self._transmitter.broadcasts.add(self._member.id, own)
        return []

    def _own_record(self) -> records.Record:
        status = records.Status.LEFT if self._is_leaving else records.Status.ALIVE
        return records.Record(self._member, self._incarnation, status)

    def _random_present(self, count: int) -> list[records.Record]:
        return self._table.sample(count, self._member.id, self._rng)
