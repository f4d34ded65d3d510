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

MAX_BUFFERED_DATAGRAMS = 256
PINGS_PER_IDLE_TIMEOUT = 3.0


class CloseCode(enum.IntEnum):
    """QUIC transport error codes for connections (RFC 9000 section 20.1)."""

    NO_ERROR = 0x0
    CONNECTION_REFUSED = 0x2


@dataclasses.dataclass(frozen=True)
class FlowCallbacks:
    """Callbacks to the endpoint that holds a flow.

    Attributes:
        transmit: Sends a datagram to a caller.
        on_request: Called with a new request.
        on_stream_closed: Called when a caller gives up a request; the flag tells
            whether it reset the stream rather than losing its connection.
        on_cid_issued: Called with a new connection id.
        on_cid_retired: Called with an id that the caller no longer uses.
        on_closed: Called when the flow has ended.
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
class CallerDatagram:
    """A caller's datagram that waits to be handled or forwarded.

    Attributes:
        datagram: The datagram.
        caller: The address it came from.
    """

    datagram: bytes
    caller: addresses.Address


class Flow:
    """A caller's connection and its open requests."""

    def __init__(
        self,
        quic: connection.SteeredConnection,
        callbacks: FlowCallbacks,
        idle_timeout: float,
        caller: addresses.Address,
        http: http3.HttpConnection | None = None,
    ) -> None:
        """Wrap a connection.

        Args:
            quic: The QUIC connection.
            callbacks: The endpoint's callbacks.
            idle_timeout: Seconds after which a silent flow is closed.
            caller: The caller's address.
            http: The HTTP/3 connection of a flow from another agent.
        """
        self._quic = quic
        self._callbacks = callbacks
        self._loop = asyncio.get_running_loop()
        self._http = http
        self._streams: dict[int, request_stream.RequestStream] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._transmit_handle: asyncio.Handle | None = None
        self._ping_interval = idle_timeout / PINGS_PER_IDLE_TIMEOUT
        self._next_ping_at = 0.0
        self._caller = caller
        self._is_closed = False
        self._is_suspended = False
        self._buffered_datagrams: list[CallerDatagram] = []

    @property
    def quic(self) -> connection.SteeredConnection:
        """The QUIC connection."""
        return self._quic

    @property
    def http(self) -> http3.HttpConnection:
        """The HTTP/3 connection, which exists after the protocol was negotiated."""
        assert self._http is not None
        return self._http

    @property
    def has_http(self) -> bool:
        """Whether there is an HTTP/3 connection yet."""
        return self._http is not None

    @property
    def caller(self) -> addresses.Address:
        """The address of the caller's last packet."""
        return self._caller

    @property
    def streams(self) -> dict[int, request_stream.RequestStream]:
        """Streams of requests in progress, by stream id."""
        return self._streams

    @property
    def is_closed(self) -> bool:
        """Whether the flow has ended at this agent."""
        return self._is_closed

    @property
    def is_suspended(self) -> bool:
        """Whether the flow is suspended while it moves to or from another agent."""
        return self._is_suspended

    def handle_datagram(self, datagram: bytes, caller: addresses.Address) -> None:
        """Handle a datagram from the caller, or buffer it while suspended."""
        if self._is_suspended:
            if len(self._buffered_datagrams) < MAX_BUFFERED_DATAGRAMS:
                self._buffered_datagrams.append(CallerDatagram(datagram, caller))
            return
        self._caller = caller
        self._quic.receive_datagram(datagram, caller, self._loop.time())
        self._process_events()
        for stream in self._streams.values():
            stream.wake_writer()
        self.schedule_transmit()

    def schedule_transmit(self) -> None:
        """Send pending data in the next iteration of the event loop."""
        if self._transmit_handle is None:
            self._transmit_handle = self._loop.call_soon(self.transmit)

    def transmit(self) -> None:
        """Send pending data."""
        if self._transmit_handle is not None:
            self._transmit_handle.cancel()
            self._transmit_handle = None
        if self._is_closed or self._is_suspended:
            return
        for datagram, address in self._quic.datagrams_to_send(self._loop.time()):
            self._callbacks.transmit(datagram, addresses.Address(*address[:2]))
        self._process_events()
        self._schedule_timer()

    def remove_stream(self, stream_id: int) -> None:
        """Remove the stream of a request that has ended."""
        self._streams.pop(stream_id, None)
        self._quic.forget_stream(stream_id)

    def restore_stream(self, request: handoff.Request) -> request_stream.RequestStream:
        """Restore the stream of a request that another agent has exported."""
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
        """Ping the caller if requests are open and a ping is due.

        Args:
            now: Current time in seconds.
        """
        if self._streams and now >= self._next_ping_at:
            self._next_ping_at = now + self._ping_interval
            self._quic.send_ping(0)
            self.transmit()

    # Moving to another agent.

    def suspend(self) -> None:
        """Stop sending and handling datagrams until resumed or closed."""
        self._is_suspended = True

    def resume_after_rejected_move(self) -> None:
        """Resume after another agent did not accept the flow.

        That agent may have sent packets, so the numbers it may have used are skipped.
        """
        transfer.skip_packet_numbers(self._quic)
        self.resume()

    def resume(self) -> None:
        """Resume sending and handle the buffered datagrams."""
        self._is_suspended = False
        datagrams, self._buffered_datagrams = self._buffered_datagrams, []
        for caller_datagram in datagrams:
            self.handle_datagram(caller_datagram.datagram, caller_datagram.caller)
        for stream in self._streams.values():
            stream.wake_writer()
        self.schedule_transmit()

    def close_silently(self) -> list[CallerDatagram]:
        """Release the flow without notifying the caller.

        Returns:
            The datagrams that arrived while it was suspended.
        """
        self._is_closed = True
        self._cancel_timer()
        for stream in self._streams.values():
            stream.close()
        self._callbacks.on_closed(self)
        return self._buffered_datagrams

    def _schedule_timer(self) -> None:
        timer_at = self._quic.get_timer()
        if timer_at is None:
            return
        if self._timer is not None:
            if self._timer.when() <= timer_at:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(timer_at, self._handle_timer)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timer(self) -> None:
        self._timer = None
        if self._is_suspended:
            return
        timer_at = self._quic.get_timer()
        now = self._loop.time()
        if timer_at is not None and timer_at <= now:
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
            self._callbacks.on_cid_issued(self, event.connection_id)
        elif isinstance(event, quic_events.ConnectionIdRetired):
            self._callbacks.on_cid_retired(self, event.connection_id)
        elif isinstance(event, quic_events.ConnectionTerminated):
            self._handle_termination()
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
            stream = self._streams.get(event.stream_id)
            if stream is not None:
                stream.receive_data(event.data, event.stream_ended)

    def _start_request(self, event: h3_events.HeadersReceived) -> None:
        existing = self._streams.get(event.stream_id)
        if existing is not None:
            existing.receive_data(b"", event.stream_ended)
            return
        stream = request_stream.RequestStream(self, event.stream_id, event.headers)
        self._streams[event.stream_id] = stream
        self._quic.set_unread_bytes(event.stream_id, 0)
        stream.receive_data(b"", event.stream_ended)
        self._callbacks.on_request(stream)

    def _close_stream(self, stream_id: int, *, is_reset: bool) -> None:
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.close()
            self._callbacks.on_stream_closed(stream, is_reset)

    def _handle_termination(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._cancel_timer()
        for stream_id in list(self._streams):
            self._close_stream(stream_id, is_reset=False)
        self._callbacks.on_closed(self)
