"""The other agents of a service: who they are and how loaded they are."""

from __future__ import annotations

import asyncio
import collections.abc
import random

from cactushall_core import addresses, identifiers, keys, peering, placement
from cactushall_core.membership import records
from cactushall_core.once import messages

SendReport = collections.abc.Callable[[bytes, addresses.Address], None]


class Peers:
    """What one endpoint knows of the other endpoints of its service."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        member: identifiers.MemberId,
        authenticator: keys.Authenticator,
        send: SendReport,
    ) -> None:
        """Know nobody yet.

        Args:
            service: The service.
            member: The agent's member id.
            authenticator: Signs load reports.
            send: Sends a datagram to another agent's tunnel address.
        """
        self._service = service
        self._member = member
        self._home = identifiers.derive_home_id(member, service)
        self._told_epoch = 0
        self._zone: identifiers.ZoneName | None = None
        self._stamps: dict[identifiers.MemberId, float] = {}
        self._authenticator = authenticator
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._placement = placement.Placement(self._home, random.Random())
        self._members: dict[identifiers.HomeId, records.Record] = {}

    @property
    def placement(self) -> placement.Placement:
        """Decisions by load."""
        return self._placement

    def apply_member(self, record: records.Record) -> None:
        """Take in what has changed about a member."""
        for endpoint in record.member.endpoints:
            if endpoint.service == self._service and endpoint.home != self._home:
                self._members[endpoint.home] = record
        self._forget_gone()
        self._placement.set_eligible(
            {home for home in self._members if self._is_eligible(home)}
        )
        self._update_near()

    def prefer_zone(self, zone: identifiers.ZoneName | None) -> None:
        """Keep flows in a zone while it has spare capacity; None for no zone."""
        self._zone = zone
        self._update_near()

    def _update_near(self) -> None:
        near = {
            home
            for home, record in self._members.items()
            if record.member.zone == self._zone
        }
        self._placement.set_near(None if self._zone is None else near)

    def member(self, home: identifiers.HomeId) -> records.Member | None:
        """Return the member behind a home, where it is present."""
        record = self._members.get(home)
        return record.member if record is not None and record.is_present else None

    def present(self) -> dict[identifiers.MemberId, records.Member]:
        """Return the agents of the service that are present, but for this one."""
        return {r.member.id: r.member for r in self._members.values()}

    def hear(self, sender: identifiers.MemberId, beat: peering.Heartbeat) -> None:
        """Take in a peer's heartbeat."""
        self._placement.hear(beat.load, self._loop.time())
        self._stamps[sender] = beat.stamp

    def tell(self, own: peering.LoadReport, epoch_number: int) -> None:
        """Send a heartbeat to all peers, where that is due."""
        now = self._loop.time()
        is_due = self._placement.is_report_due(own, now)
        if not is_due and epoch_number == self._told_epoch:
            return
        self._told_epoch = epoch_number
        for member_id, member in self.present().items():
            echo = self._stamps.get(member_id, 0.0)
            beat = peering.Heartbeat(own, epoch_number, now, echo)
            self._send_body(beat, member)

    def send(self, member_id: identifiers.MemberId, body: messages.Message) -> None:
        """Send a message about a key to a peer, if it is present."""
        member = self.present().get(member_id)
        if member is not None:
            self._send_body(body, member)

    def _send_body(self, body: peering.Body, member: records.Member) -> None:
        packet = peering.Packet(self._member, self._service, body)
        datagram = peering.encode(self._authenticator, packet)
        self._send(datagram, member.tunnel_address)

    def _forget_gone(self) -> None:
        gone = [h for h, record in self._members.items() if not record.is_present]
        for home in gone:
            self._stamps.pop(self._members.pop(home).member.id, None)

    def _is_eligible(self, home: identifiers.HomeId) -> bool:
        record = self._members[home]
        endpoint = next(e for e in record.member.endpoints if e.home == home)
        is_alive = record.status is records.Status.ALIVE
        return is_alive and not endpoint.is_draining
