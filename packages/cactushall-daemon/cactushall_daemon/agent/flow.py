"""One caller's QUIC connection and the HTTP/3 streams on it."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import enum

from aioquic.h3 import events as h3_events
from aioquic.quic import events as quic_events

from cactushall_core import addresses, handoff
from cactushall_daemon.agent import request_stream
from cactushall_daemon.agent.quic import connection, http3, transfer

MAX_HELD_DATAGRAMS = 256
PINGS_PER_IDLE_TIMEOUT = 3.0


class CloseCode(enum.IntEnum):
    """QUIC transport error codes for connections (RFC 9000 section 20.1)."""

    NO_ERROR = 0x0
    CONNECTION_REFUSED = 0x2


@dataclasses.dataclass(frozen=True)
class FlowHandler:
    """Callbacks of the endpoint that holds a flow.

    Attributes:
        transmit: Sends a datagram to a caller.
        on_request: Takes a new request.
        on_stream_closed: Told when a caller gives up a request, and whether by a
            reset of the stream rather than by the loss of its connection.
        on_cid_issued: Told of a new connection id.
        on_cid_retired: Told of an id that the caller no longer uses.
        on_closed: Told when the flow has ended.
    """

    transmit: collections.abc.Callable[[bytes, addresses.Address], None]
    on_request: collections.abc.Callable[[request_stream.RequestStream], None]
    on_stream_closed: collections.abc.Callable[
        [request_stream.RequestStream, bool], None
    ]
    on_cid_issued: collections.abc.Callable[[Flow, bytes], None]
    on_cid_retired: collections.abc.Callable[[Flow, bytes], None]
    on_closed: collections.abc.Callable[[Flow], None]


@dataclasses.dataclass(frozen=True)
class HeldDatagram:
    """A caller's datagram that arrived while its flow was frozen."""

    datagram: bytes
    caller: addresses.Address


class Flow:
    """A caller's connection."""

    def __init__(
        self,
        quic: connection.SteeredConnection,
        handler: FlowHandler,
        idle_timeout: float,
        caller: addresses.Address,
        http: http3.HttpConnection | None = None,
    ) -> None:
        """Wrap a connection.

        Args:
            quic: The QUIC connection.
            handler: The endpoint's callbacks.
            idle_timeout: Seconds after which a silent flow is closed.
            caller: The caller's address.
            http: The HTTP/3 connection of a flow from another agent.
        """
        self._quic = quic
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._http = http
        self._streams: dict[int, request_stream.RequestStream] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._transmit_handle: asyncio.Handle | None = None
        self._ping_interval = idle_timeout / PINGS_PER_IDLE_TIMEOUT
        self._next_ping_at = 0.0
        self._caller = caller
        self._is_closed = False
        self._is_frozen = False
        self._held: list[HeldDatagram] = []

    @property
    def quic(self) -> connection.SteeredConnection:
        """The QUIC connection."""
        return self._quic

    @property
    def http(self) -> http3.HttpConnection:
        """The HTTP/3 connection, which exists once a request has arrived."""
        assert self._http is not None
        return self._http

    @property
    def has_http(self) -> bool:
        """Whether HTTP/3 is open."""
        return self._http is not None

    @property
    def caller(self) -> addresses.Address:
        """The address of the caller's last packet."""
        return self._caller

    @property
    def streams(self) -> dict[int, request_stream.RequestStream]:
        """Requests in progress, by stream id."""
        return self._streams

    @property
    def is_closed(self) -> bool:
        """Whether the flow has ended here."""
        return self._is_closed

    @property
    def is_frozen(self) -> bool:
        """Whether the flow waits for the answer of another agent."""
        return self._is_frozen

    def receive(self, datagram: bytes, caller: addresses.Address) -> None:
        """Handle a datagram of the caller."""
        if self._is_frozen:
            if len(self._held) < MAX_HELD_DATAGRAMS:
                self._held.append(HeldDatagram(datagram, caller))
            return
        self._caller = caller
        self._quic.receive_datagram(datagram, caller, self._loop.time())
        self._process_events()
        for request in self._streams.values():
            request.wake()
        self.schedule_transmit()

    def schedule_transmit(self) -> None:
        """Send pending data once the present step of work is done."""
        if self._transmit_handle is None:
            self._transmit_handle = self._loop.call_soon(self.transmit)

    def transmit(self) -> None:
        """Send pending data."""
        if self._transmit_handle is not None:
            self._transmit_handle.cancel()
            self._transmit_handle = None
        if self._is_closed or self._is_frozen:
            return
        for datagram, address in self._quic.datagrams_to_send(self._loop.time()):
            self._handler.transmit(datagram, addresses.Address(*address[:2]))
        self._process_events()
        self._arm_timer()

    def finish_stream(self, stream_id: int) -> None:
        """Forget a request that has ended."""
        self._streams.pop(stream_id, None)
        self._quic.forget_stream(stream_id)

    def restore_stream(self, request: handoff.Request) -> request_stream.RequestStream:
        """Take over a request from another agent."""
        stream = request_stream.RequestStream(
            self, request.stream_id, list(request.headers)
        )
        self._streams[request.stream_id] = stream
        self._quic.set_unread_bytes(request.stream_id, 0)
        stream.restore(request)
        return stream

    def close(self, code: CloseCode, reason: str = "") -> None:
        """Close the connection."""
        self._quic.close(error_code=code, reason_phrase=reason)
        self.transmit()

    def keep_alive(self, now: float) -> None:
        """Ping the caller where requests are open and a ping is due."""
        if self._streams and now >= self._next_ping_at:
            self._next_ping_at = now + self._ping_interval
            self._quic.send_ping(0)
            self.transmit()

    # Moves to another agent.

    def freeze(self) -> None:
        """Neither send nor handle anything until thawed or abandoned."""
        self._is_frozen = True

    def thaw(self) -> None:
        """Go on after another agent did not take the flow."""
        transfer.skip_packet_numbers(self._quic)
        self.begin()

    def begin(self) -> None:
        """Go on with everything that has waited."""
        self._is_frozen = False
        held, self._held = self._held, []
        for item in held:
            self.receive(item.datagram, item.caller)
        for request in self._streams.values():
            request.wake()
        self.schedule_transmit()

    def abandon(self) -> list[HeldDatagram]:
        """End the flow here without a word to the caller.

        Returns:
            The datagrams that arrived while it was frozen.
        """
        self._is_closed = True
        self._cancel_timer()
        for request in self._streams.values():
            request.close()
        self._handler.on_closed(self)
        return self._held

    def _arm_timer(self) -> None:
        at = self._quic.get_timer()
        if at is None:
            return
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(at, self._handle_timer)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timer(self) -> None:
        self._timer = None
        if self._is_frozen:
            return
        at = self._quic.get_timer()
        now = self._loop.time()
        if at is not None and at <= now:
            self._quic.handle_timer(now)
            self._process_events()
        self.transmit()

    def _process_events(self) -> None:
        while (event := self._quic.next_event()) is not None:
            self._process_event(event)

    def _process_event(self, event: quic_events.QuicEvent) -> None:
        if isinstance(event, quic_events.ProtocolNegotiated):
            self._http = http3.HttpConnection(self._quic)
        elif isinstance(event, quic_events.HandshakeCompleted):
            self._quic.release_handshake_state()
        elif isinstance(event, quic_events.ConnectionIdIssued):
            self._handler.on_cid_issued(self, event.connection_id)
        elif isinstance(event, quic_events.ConnectionIdRetired):
            self._handler.on_cid_retired(self, event.connection_id)
        elif isinstance(event, quic_events.ConnectionTerminated):
            self._terminate()
        elif isinstance(
            event, quic_events.StreamReset | quic_events.StopSendingReceived
        ):
            self._close_stream(event.stream_id, is_reset=True)
        if self._http is not None and not self._is_closed:
            for http_event in self._http.handle_event(event):
                self._process_http_event(http_event)

    def _process_http_event(self, event: h3_events.H3Event) -> None:
        if isinstance(event, h3_events.HeadersReceived):
            self._start_request(event)
        elif isinstance(event, h3_events.DataReceived):
            request = self._streams.get(event.stream_id)
            if request is not None:
                request.feed(event.data, event.stream_ended)

    def _start_request(self, event: h3_events.HeadersReceived) -> None:
        existing = self._streams.get(event.stream_id)
        if existing is not None:
            existing.feed(b"", event.stream_ended)
            return
        request = request_stream.RequestStream(self, event.stream_id, event.headers)
        self._streams[event.stream_id] = request
        self._quic.set_unread_bytes(event.stream_id, 0)
        request.feed(b"", event.stream_ended)
        self._handler.on_request(request)

    def _close_stream(self, stream_id: int, *, is_reset: bool) -> None:
        request = self._streams.get(stream_id)
        if request is not None:
            request.close()
            self._handler.on_stream_closed(request, is_reset)

    def _terminate(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._cancel_timer()
        for stream_id in list(self._streams):
            self._close_stream(stream_id, is_reset=False)
        self._handler.on_closed(self)
