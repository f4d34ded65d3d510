"""Sends the datagrams of a member within its byte budget."""

from __future__ import annotations

from cactushall_core import addresses, identifiers, keys, token_bucket, traffic
from cactushall_core.membership import (
    broadcasts,
    member_actions,
    messages,
    records,
    table,
    timing,
    zone_states,
)

MAX_DATAGRAM_BYTES = 1200
PACKET_OVERHEAD_BYTES = 64
MIN_BUDGET_BYTES = -4096.0


class Transmitter:
    """Encodes datagrams, and adds updates to them where there is room.

    Attributes:
        member_id: Id of this member.
        revision: Revision of the service configuration that it has adopted.
        broadcasts: Updates to spread.
        zone_states: States of availability zones, as far as a datagram has room.
    """

    def __init__(
        self,
        member_id: identifiers.MemberId,
        members: table.Table,
        key_ring: tuple[keys.Key, ...],
        intervals: timing.Timing,
        now: float,
        counts: traffic.Traffic | None = None,
    ) -> None:
        """Start with a full byte budget and no updates.

        Args:
            member_id: Id of this member.
            members: Records of all known members.
            key_ring: Keys that authenticate datagrams.
            intervals: Intervals and byte budget.
            now: Current time in seconds.
            counts: Counts of messages by kind; only kept here if None.
        """
        self.member_id = member_id
        self.revision = identifiers.Revision(0)
        self.broadcasts = broadcasts.BroadcastQueue()
        self.zone_states: zone_states.ZoneStates = ()
        self._members = members
        self._authenticator = messages.make_authenticator(key_ring)
        self._byte_budget = token_bucket.TokenBucket(
            intervals.bytes_per_second, intervals.burst_bytes, now
        )
        self._sent_bytes = 0
        self._traffic = traffic.Traffic() if counts is None else counts

    @property
    def sent_bytes(self) -> int:
        """Payload bytes sent so far."""
        return self._sent_bytes

    @property
    def has_budget(self) -> bool:
        """Whether what can wait may be sent now."""
        return self._byte_budget.tokens >= 0

    @property
    def is_exhausted(self) -> bool:
        """Whether even an answer has to be cut short."""
        return self._byte_budget.tokens < MIN_BUDGET_BYTES

    def refill(self, now: float) -> None:
        """Refill the byte budget."""
        self._byte_budget.refill(now)

    def decode(self, datagram: bytes) -> messages.Packet:
        """Decode and verify a received datagram.

        Raises:
            DecodeError: The datagram is malformed or not authentic.
        """
        packet = messages.decode(self._authenticator, datagram)
        kind = messages.KINDS[type(packet.body)]
        self._traffic.add(traffic.Direction.RECEIVED, kind, len(datagram))
        return packet

    def send(
        self,
        address: addresses.Address,
        body: messages.Body,
        extra: tuple[records.Update, ...] = (),
    ) -> member_actions.Send:
        """Send a message to a gossip address.

        Args:
            address: The address.
            body: The message.
            extra: Updates that must come with it, in place of those to spread.
        """
        budget = min(MAX_DATAGRAM_BYTES, int(self._byte_budget.tokens))
        room_bytes = budget - PACKET_OVERHEAD_BYTES
        room_bytes -= zone_states.encoded_size(self.zone_states)
        updates = extra
        if not extra and room_bytes > 0 and not isinstance(body, messages.Digest):
            limit = broadcasts.transmit_limit(self._members.present_count)
            updates = self.broadcasts.take(room_bytes, limit)
        packet = messages.Packet(
            self.member_id, self.revision, body, updates, self.zone_states
        )
        datagram = messages.encode(self._authenticator, packet)
        self._byte_budget.spend(len(datagram))
        self._sent_bytes += len(datagram)
        kind = messages.KINDS[type(body)]
        self._traffic.add(traffic.Direction.SENT, kind, len(datagram))
        return member_actions.Send(address, datagram)

    def send_records(
        self, address: addresses.Address, found: list[records.Record]
    ) -> list[member_actions.Action]:
        """Send records in as many datagrams as they take and the budget allows."""
        decided: list[member_actions.Action] = []
        batch: list[records.Update] = []
        size = 0
        for record in found:
            record_bytes = messages.encoded_size(record)
            if batch and size + record_bytes > MAX_DATAGRAM_BYTES:
                decided.append(self.send(address, messages.Gossip(), tuple(batch)))
                batch, size = [], 0
            batch.append(record)
            size += record_bytes
            if self.is_exhausted:
                break
        if batch:
            decided.append(self.send(address, messages.Gossip(), tuple(batch)))
        return decided
