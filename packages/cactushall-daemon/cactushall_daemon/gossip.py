"""Runs the membership protocol over UDP."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import random
import socket
import time

from cactushall_core import addresses, exceptions, identifiers, keys, pauses, traffic
from cactushall_core.membership import (
    completeness,
    member_actions,
    messages,
    records,
    state,
    timing,
    zone_states,
)
from cactushall_daemon import counters, events, logs, sockets, tasks

log = logs.get_logger(__name__)

MemberCallback = collections.abc.Callable[[records.Record], None]
RevisionCallback = collections.abc.Callable[
    [records.Member, identifiers.Revision], None
]
NewestRevisionCallback = collections.abc.Callable[[identifiers.Revision], None]
PauseCallback = collections.abc.Callable[[float], None]
CompletenessCallback = collections.abc.Callable[[completeness.Evidence | None], None]
ZoneStatesCallback = collections.abc.Callable[
    [zone_states.ZoneStates, addresses.Address], None
]
Exchange = collections.abc.Callable[
    [addresses.Address, bytes], collections.abc.Awaitable[bytes]
]


def ignore_revision(_member: records.Member, _revision: identifiers.Revision) -> None:
    """Do nothing: the process fetches no configuration."""


def ignore_completeness(_evidence: completeness.Evidence | None) -> None:
    """Do nothing: the process does not depend on a complete table."""


def ignore_pause(_now: float) -> None:
    """Do nothing: the process keeps nothing that a pause makes old."""


def ignore_newest_revision(_revision: identifiers.Revision) -> None:
    """Do nothing: the process does not depend on the newest configuration."""


def ignore_zone_states(
    _states: zone_states.ZoneStates, _source: addresses.Address
) -> None:
    """Do nothing: the process does not depend on states of availability zones."""


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """What a process does with changes of its membership table.

    Attributes:
        on_member_changed: Called when the record of a member changes.
        on_revision_seen: Called when a member has a newer configuration.
        on_completeness_changed: Called with the evidence when the table has become
            complete, with None when it may not be complete any more.
        on_newest_revision_changed: Called when a member has told of a configuration
            that is newer than all told of before.
        on_paused: Called with the current time when the process was paused until then.
        on_zone_states: Called with states of availability zones that another member has
            sent, and its address.
    """

    on_member_changed: MemberCallback
    on_revision_seen: RevisionCallback = ignore_revision
    on_completeness_changed: CompletenessCallback = ignore_completeness
    on_newest_revision_changed: NewestRevisionCallback = ignore_newest_revision
    on_paused: PauseCallback = ignore_pause
    on_zone_states: ZoneStatesCallback = ignore_zone_states


class GossipEndpoint:
    """Endpoint of the membership protocol: its socket, its timer and its state."""

    def __init__(
        self,
        member: records.Member,
        key_ring: tuple[keys.Key, ...],
        process_counters: counters.Counters,
        callbacks: Callbacks,
        exchange: Exchange,
        background_tasks: tasks.Tasks,
        intervals: timing.Timing | None = None,
        *,
        may_change_id: bool = False,
    ) -> None:
        """Create the endpoint without binding an address or sending anything.

        Args:
            member: The member that this process announces.
            key_ring: Keys that authenticate the datagrams.
            process_counters: The process's counters.
            callbacks: Called on changes.
            exchange: Sends a request for a table to a member's control address and
                returns the answer; raises CactushallError where there is none.
            background_tasks: Runs requests for tables.
            intervals: Intervals and byte budget; the defaults if None.
            may_change_id: Whether the member may take a higher id than that of a
                predecessor at its address.
        """
        self._counters = process_counters
        self._callbacks = callbacks
        self._exchange = exchange
        self._tasks = background_tasks
        self._authenticator = messages.make_exchange_authenticator(key_ring)
        self._loop = asyncio.get_running_loop()
        self._pause_detector = pauses.PauseDetector(
            self._loop.time(), time.clock_gettime(time.CLOCK_BOOTTIME)
        )
        self._membership = state.Membership(
            member,
            key_ring,
            intervals or timing.Timing(),
            random.Random(),
            self._loop.time(),
            may_change_id=may_change_id,
            counts=process_counters.traffic,
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

    def set_contacts(
        self, contacts: collections.abc.Iterable[addresses.Address]
    ) -> None:
        """Set the control addresses of contact points."""
        self._membership.set_contacts(contacts)

    def record_contacts_listed(self) -> None:
        """Record that the contact points hold all that the store lists now."""
        self._membership.record_contacts_listed(self._loop.time())

    def request_merge(self, address: addresses.Address) -> None:
        """Exchange whole tables with a member of what may be another fleet."""
        self._execute(self._membership.request_merge(address))

    async def exchange_tables(self, address: addresses.Address) -> bool:
        """Exchange whole tables with the process at a control address.

        Returns:
            Whether it has answered.
        """
        requests = self._membership.request_merge(address)
        answered = [await self._request_table(request) for request in requests]
        return all(answered)

    def handle_table_request(self, data: bytes) -> bytes:
        """Return the encoded answer to another member's request for a table.

        Raises:
            DecodeError: The request is malformed or not authentic.
        """
        try:
            request = messages.decode_table_request(self._authenticator, data)
        except exceptions.DecodeError as error:
            self._record_rejected(error)
            raise
        self._count_table(traffic.Direction.RECEIVED, data)
        reply, actions = self._membership.handle_table_request(
            request, self.check_for_pause()
        )
        self._execute(actions)
        answer = messages.encode_exchange(self._authenticator, reply)
        self._count_table(traffic.Direction.SENT, answer)
        return answer

    def handle_unknown_sender(self, address: addresses.Address) -> None:
        """Ask the unknown member at a control address for its record."""
        self._execute(
            self._membership.handle_unknown_sender(address, self._loop.time())
        )

    def check_for_pause(self) -> float:
        """Find out whether the process was paused, and return the current time."""
        now = self._loop.time()
        boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
        if self._pause_detector.has_paused(now, boot_time):
            log.warning(events.Event.PAUSED)
            self._execute(self._membership.handle_pause(now))
            self._callbacks.on_paused(now)
        return now

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
        try:
            now = self.check_for_pause()
            self._execute(self._membership.tick(now))
            self._counters.set(
                counters.Counter.GOSSIP_BYTES_SENT, self._membership.sent_bytes
            )
        finally:
            wakeup = self._membership.next_wakeup(now)
            self._timer = self._loop.call_at(wakeup, self._tick)

    def _receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        sender = addresses.Address(source[0], source[1])
        try:
            actions = self._membership.handle_datagram(
                sender, datagram, self.check_for_pause()
            )
        except exceptions.DecodeError as error:
            self._record_rejected(error, sender=str(sender))
            return
        self._execute(actions)

    def _record_rejected(self, error: exceptions.DecodeError, **fields: str) -> None:
        self._counters.add(counters.Counter.GOSSIP_REJECTED)
        log.debug(events.Event.GOSSIP_REJECTED, why=str(error), **fields)

    def _execute(
        self, actions: collections.abc.Sequence[member_actions.Action]
    ) -> None:
        for action in actions:
            if isinstance(action, member_actions.Send):
                self._send(action)
            elif isinstance(action, member_actions.MemberChanged):
                _log_change(action.record)
                self._callbacks.on_member_changed(action.record)
            elif isinstance(action, member_actions.CompletenessChanged):
                self._handle_completeness(action.evidence)
            elif isinstance(action, member_actions.NewestRevisionChanged):
                self._callbacks.on_newest_revision_changed(action.revision)
            elif isinstance(action, member_actions.ZoneStatesReceived):
                self._callbacks.on_zone_states(action.states, action.source)
            elif isinstance(action, member_actions.RequestTable):
                self._tasks.spawn(self._request_table(action))
            else:
                self._callbacks.on_revision_seen(action.member, action.revision)

    async def _request_table(self, action: member_actions.RequestTable) -> bool:
        """Request a table, and return whether the request was answered."""
        data = messages.encode_exchange(self._authenticator, action.request)
        address = action.address
        self._count_table(traffic.Direction.SENT, data)
        reply: messages.TableReply | None = None
        try:
            answer = await self._exchange(address, data)
            self._count_table(traffic.Direction.RECEIVED, answer)
            reply = messages.decode_table_reply(self._authenticator, answer)
        except exceptions.CactushallError as error:
            log.debug(
                events.Event.TABLE_REQUEST_FAILED,
                contact=str(address),
                why=str(error),
            )
        finally:
            # After any error, so that the member can be asked again.
            self._end_request(address, reply)
        return reply is not None

    def _end_request(
        self, address: addresses.Address, reply: messages.TableReply | None
    ) -> None:
        now = self.check_for_pause()
        if reply is None:
            self._execute(self._membership.handle_table_failure(address, now))
        else:
            self._execute(self._membership.handle_table_reply(address, reply, now))

    def _count_table(self, direction: traffic.Direction, data: bytes) -> None:
        self._counters.traffic.add(direction, traffic.Kind.TABLES, len(data))

    def _handle_completeness(self, evidence: completeness.Evidence | None) -> None:
        members = self._membership.table.present_count
        if evidence is None:
            log.info(events.Event.TABLE_INCOMPLETE, members=members)
        else:
            log.info(
                events.Event.TABLE_COMPLETE,
                basis=evidence.basis.value,
                contact=str(evidence.source),
                answers=evidence.answers,
                silent_contacts=evidence.silent_contacts,
                asked_seconds=round(evidence.asked_seconds, 4),
                members=members,
            )
        self._callbacks.on_completeness_changed(evidence)

    def _send(self, action: member_actions.Send) -> None:
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
