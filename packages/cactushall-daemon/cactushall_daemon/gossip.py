"""Carries out the membership protocol over UDP."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import socket

from cactushall_core import addresses, exceptions, identifiers, keys
from cactushall_core.membership import records, state
from cactushall_daemon import counters, events, logs, sockets

log = logs.get_logger(__name__)

MemberChanged = collections.abc.Callable[[records.Record], None]
RevisionSeen = collections.abc.Callable[[records.Member, identifiers.Revision], None]


class GossipEndpoint:
    """This process's place in the membership protocol."""

    def __init__(
        self,
        member: records.Member,
        ring: tuple[keys.Key, ...],
        tallies: counters.Counters,
        on_member_changed: MemberChanged,
        on_revision_seen: RevisionSeen,
        timing: state.Timing | None = None,
    ) -> None:
        """Prepare; nothing is sent yet.

        Args:
            member: What this process says of itself.
            ring: Keys of the datagrams.
            tallies: Takes counts.
            on_member_changed: Called when what is believed of a member changes.
            on_revision_seen: Called when a member has a newer configuration.
            timing: Intervals and byte budget, where not the usual ones.
        """
        self._counters = tallies
        self._on_member_changed = on_member_changed
        self._on_revision_seen = on_revision_seen
        self._loop = asyncio.get_running_loop()
        self._state = state.Membership(
            member, ring, timing or state.Timing(), random.Random(), self._loop.time()
        )
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def membership(self) -> state.Membership:
        """The protocol's state."""
        return self._state

    def start(self) -> None:
        """Bind the socket and take part.

        Raises:
            BindError: The gossip address cannot be bound.
        """
        self._socket = sockets.bind_udp(self._state.member.gossip_address)
        sockets.receive_batches(self._socket, self._receive)
        self._tick()

    def stop(self) -> None:
        """Say goodbye and close the socket."""
        if self._socket is None:
            return
        self._carry_out(self._state.leave(self._loop.time()))
        if self._timer is not None:
            self._timer.cancel()
        sockets.close(self._socket)
        self._socket = None

    def merge(self, table: tuple[records.Record, ...]) -> None:
        """Take in another member's table."""
        self._carry_out(self._state.merge(table, self._loop.time()))

    def announce(self) -> None:
        """Tell others of this process, once it has joined."""
        self._carry_out(self._state.announce(self._loop.time()))

    def join(self, contacts: collections.abc.Iterable[addresses.Address]) -> None:
        """Ask members at some gossip addresses for all they know."""
        self._carry_out(self._state.join(contacts))

    def update(
        self,
        member: records.Member,
        told: collections.abc.Iterable[addresses.Address] = (),
    ) -> None:
        """Say something new of this process.

        Args:
            member: What it says.
            told: Gossip addresses of members that should know at once; others learn
                it from one another.
        """
        self._carry_out(self._state.update(member, self._loop.time()))
        self._carry_out(self._state.tell(told))

    def _tick(self) -> None:
        now = self._loop.time()
        self._carry_out(self._state.tick(now))
        self._counters.set(counters.Counter.GOSSIP_BYTES_SENT, self._state.sent_bytes)
        self._timer = self._loop.call_at(self._state.next_wakeup(now), self._tick)

    def _receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        sender = addresses.Address(source[0], source[1])
        try:
            actions = self._state.receive(sender, datagram, self._loop.time())
        except exceptions.DecodeError as error:
            self._counters.add(counters.Counter.GOSSIP_REJECTED)
            log.debug(events.Event.GOSSIP_REJECTED, sender=str(sender), why=str(error))
            return
        self._carry_out(actions)

    def _carry_out(self, actions: list[state.Action]) -> None:
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
