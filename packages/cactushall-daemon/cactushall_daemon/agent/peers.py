"""The other agents of a service: who they are and how loaded they are."""

from __future__ import annotations

import asyncio
import collections.abc
import random

from cactushall_core import addresses, identifiers, keys, peering, placement
from cactushall_core.membership import records

SendReport = collections.abc.Callable[[bytes, addresses.Address], None]


class Peers:
    """What one endpoint knows of the other endpoints of its service."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        home: identifiers.HomeId,
        authenticator: keys.Authenticator,
        send: SendReport,
    ) -> None:
        """Know nobody yet.

        Args:
            service: The service.
            home: The endpoint's own home id.
            authenticator: Signs load reports.
            send: Sends a datagram to another agent's tunnel address.
        """
        self._service = service
        self._home = home
        self._authenticator = authenticator
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._placement = placement.Placement(home, random.Random())
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

    def member(self, home: identifiers.HomeId) -> records.Member | None:
        """Return the member behind a home, where it is present."""
        record = self._members.get(home)
        return record.member if record is not None and record.is_present else None

    def hear(self, report: peering.LoadReport) -> None:
        """Take in a peer's load."""
        self._placement.hear(report, self._loop.time())

    def tell(self, own: peering.LoadReport) -> None:
        """Report the own load to all peers, where that is due."""
        if not self._placement.is_report_due(own, self._loop.time()):
            return
        datagram = peering.encode(self._authenticator, own)
        for record in self._members.values():
            self._send(datagram, record.member.tunnel_address)

    def tell_one(self, own: peering.LoadReport, home: identifiers.HomeId) -> None:
        """Report the own load to one peer now."""
        member = self.member(home)
        if member is not None:
            datagram = peering.encode(self._authenticator, own)
            self._send(datagram, member.tunnel_address)

    def _forget_gone(self) -> None:
        gone = [h for h, record in self._members.items() if not record.is_present]
        for home in gone:
            del self._members[home]

    def _is_eligible(self, home: identifiers.HomeId) -> bool:
        record = self._members[home]
        endpoint = next(e for e in record.member.endpoints if e.home == home)
        is_alive = record.status is records.Status.ALIVE
        return is_alive and not endpoint.is_draining
