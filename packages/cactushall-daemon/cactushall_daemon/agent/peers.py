"""The other agents of a service and their load."""

from __future__ import annotations

import asyncio
import collections.abc
import random

from cactushall_core import addresses, identifiers, keys, peering, placement
from cactushall_core.membership import records
from cactushall_core.once import messages

SendDatagram = collections.abc.Callable[[bytes, addresses.Address], None]


class Peers:
    """Tracks the other endpoints of a service and exchanges messages with them."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        member: identifiers.MemberId,
        authenticator: keys.Authenticator,
        send: SendDatagram,
    ) -> None:
        """Start without any peers.

        Args:
            service: The service.
            member: The agent's member id.
            authenticator: Authenticates messages to peers.
            send: Sends a datagram to another agent's tunnel address.
        """
        self._service = service
        self._member = member
        self._home = identifiers.derive_home_id(member, service)
        self._reported_epoch = 0
        self._preferred_zone: identifiers.ZoneName | None = None
        self._last_heartbeat_sent_at: dict[identifiers.MemberId, float] = {}
        self._authenticator = authenticator
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._placement = placement.Placement(self._home, random.Random())
        self._records: dict[identifiers.HomeId, records.Record] = {}

    @property
    def placement(self) -> placement.Placement:
        """Decides by load which endpoint gets a flow."""
        return self._placement

    def apply_member(self, record: records.Record) -> None:
        """Apply a changed record of a member."""
        for endpoint in record.member.endpoints:
            if endpoint.service == self._service and endpoint.home != self._home:
                self._records[endpoint.home] = record
        self._remove_absent()
        self._placement.set_eligible(
            {home for home in self._records if self._is_eligible(home)}
        )
        self._update_nearby_peers()

    def set_preferred_zone(self, zone: identifiers.ZoneName | None) -> None:
        """Prefer peers of a zone while it has spare capacity.

        Args:
            zone: The zone, None for no preference.
        """
        self._preferred_zone = zone
        self._update_nearby_peers()

    def _update_nearby_peers(self) -> None:
        nearby = {
            home
            for home, record in self._records.items()
            if record.member.zone == self._preferred_zone
        }
        self._placement.set_local_peers(
            None if self._preferred_zone is None else nearby
        )

    def find_member(self, home: identifiers.HomeId) -> records.Member | None:
        """Return the member that has an endpoint, None if it is not present."""
        record = self._records.get(home)
        return record.member if record is not None and record.is_present else None

    def present_members(self) -> dict[identifiers.MemberId, records.Member]:
        """Return the other agents of the service that are present."""
        return {r.member.id: r.member for r in self._records.values()}

    def handle_heartbeat(
        self, sender: identifiers.MemberId, heartbeat: peering.Heartbeat
    ) -> None:
        """Record the load and the time of sending in a peer's heartbeat."""
        self._placement.record_report(heartbeat.load, self._loop.time())
        self._last_heartbeat_sent_at[sender] = heartbeat.sent_at

    def send_heartbeats(self, own: peering.LoadReport, epoch_number: int) -> None:
        """Send a heartbeat to all peers if one is due or the epoch has changed.

        Args:
            own: The endpoint's own load.
            epoch_number: Number of the epoch that this member has adopted.
        """
        now = self._loop.time()
        is_due = self._placement.is_report_due(own, now)
        if not is_due and epoch_number == self._reported_epoch:
            return
        self._reported_epoch = epoch_number
        for member_id, member in self.present_members().items():
            echoed_sent_at = self._last_heartbeat_sent_at.get(member_id, 0.0)
            heartbeat = peering.Heartbeat(own, epoch_number, now, echoed_sent_at)
            self._send_body(heartbeat, member)

    def send(self, member_id: identifiers.MemberId, body: messages.Message) -> None:
        """Send a message about an idempotency key to a peer if it is present."""
        member = self.present_members().get(member_id)
        if member is not None:
            self._send_body(body, member)

    def _send_body(self, body: peering.Body, member: records.Member) -> None:
        packet = peering.Packet(self._member, self._service, body)
        datagram = peering.encode(self._authenticator, packet)
        self._send(datagram, member.tunnel_address)

    def _remove_absent(self) -> None:
        absent = [h for h, record in self._records.items() if not record.is_present]
        for home in absent:
            self._last_heartbeat_sent_at.pop(self._records.pop(home).member.id, None)

    def _is_eligible(self, home: identifiers.HomeId) -> bool:
        record = self._records[home]
        endpoint = next(e for e in record.member.endpoints if e.home == home)
        is_alive = record.status is records.Status.ALIVE
        return is_alive and not endpoint.is_draining
