"""Runs the membership protocol over UDP."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import socket

from cactushall_core import addresses, exceptions, identifiers, keys
from cactushall_core.membership import records, state
from cactushall_daemon import counters, events, logs, sockets

log = logs.get_logger(__name__)

MemberCallback = collections.abc.Callable[[records.Record], None]
RevisionCallback = collections.abc.Callable[
    [records.Member, identifiers.Revision], None
]


class GossipEndpoint:
    """Endpoint of the membership protocol: its socket, its timer and its state."""

    def __init__(
        self,
        member: records.Member,
        key_ring: tuple[keys.Key, ...],
        process_counters: counters.Counters,
        on_member_changed: MemberCallback,
        on_revision_seen: RevisionCallback,
        timing: state.Timing | None = None,
    ) -> None:
        """Create the endpoint without binding an address or sending anything.

        Args:
            member: The member that this process announces.
            key_ring: Keys that authenticate the datagrams.
            process_counters: The process's counters.
            on_member_changed: Called when the record of a member changes.
            on_revision_seen: Called when a member has a newer configuration.
            timing: Intervals and byte budget; the defaults if None.
        """
        self._counters = process_counters
        self._on_member_changed = on_member_changed
        self._on_revision_seen = on_revision_seen
        self._loop = asyncio.get_running_loop()
        self._membership = state.Membership(
            member,
            key_ring,
            timing or state.Timing(),
            random.Random(),
            self._loop.time(),
        )
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def membership(self) -> state.Membership:
        """The protocol's state."""
        return self._membership

    def start(self) -> None:
        """Bind the socket and start the protocol.

        Raises:
            BindError: The gossip address cannot be bound.
        """
        self._socket = sockets.bind_udp(self._membership.member.gossip_address)
        sockets.receive_batches(self._socket, self._receive)
        self._tick()

    def stop(self) -> None:
        """Announce the departure and close the socket."""
        if self._socket is None:
            return
        self._execute(self._membership.leave(self._loop.time()))
        if self._timer is not None:
            self._timer.cancel()
        sockets.close(self._socket)
        self._socket = None

    def merge(self, table: tuple[records.Record, ...]) -> None:
        """Merge another member's table into this one."""
        self._execute(self._membership.merge(table, self._loop.time()))

    def announce(self) -> None:
        """Announce this process to the fleet once it has joined."""
        self._execute(self._membership.announce(self._loop.time()))

    def join(self, contacts: collections.abc.Iterable[addresses.Address]) -> None:
        """Ask members at some gossip addresses for their tables."""
        self._execute(self._membership.join(contacts))

    def update(
        self,
        member: records.Member,
        recipients: collections.abc.Iterable[addresses.Address] = (),
    ) -> None:
        """Announce a change of this process.

        Args:
            member: The changed member.
            recipients: Gossip addresses of members that receive the change directly;
                others receive it by gossip.
        """
        self._execute(self._membership.update(member, self._loop.time()))
        self._execute(self._membership.send_own_record(recipients))

    def _tick(self) -> None:
        now = self._loop.time()
        self._execute(self._membership.tick(now))
        self._counters.set(
            counters.Counter.GOSSIP_BYTES_SENT, self._membership.sent_bytes
        )
        self._timer = self._loop.call_at(self._membership.next_wakeup(now), self._tick)

    def _receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        sender = addresses.Address(source[0], source[1])
        try:
            actions = self._membership.handle_datagram(
                sender, datagram, self._loop.time()
            )
        except exceptions.DecodeError as error:
            self._counters.add(counters.Counter.GOSSIP_REJECTED)
            log.debug(events.Event.GOSSIP_REJECTED, sender=str(sender), why=str(error))
            return
        self._execute(actions)

    def _execute(self, actions: list[state.Action]) -> None:
        for action in actions:
            if isinstance(action, state.Send):
                self._send(action)
            elif isinstance(action, state.MemberChanged):
                _log_change(action.record)
                self._on_member_changed(action.record)
            else:
                self._on_revision_seen(action.member, action.revision)

    def _send(self, action: state.Send) -> None:
        if self._socket is not None:
            sockets.send(self._socket, action.datagram, action.address, self._counters)


def _log_change(record: records.Record) -> None:
    log.info(
        events.Event.MEMBER_CHANGED,
        member=record.member.name,
        zone=record.member.zone,
        status=record.status.name.lower(),
        incarnation=record.incarnation,
    )
