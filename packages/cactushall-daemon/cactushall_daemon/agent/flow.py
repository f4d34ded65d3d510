"""One caller's QUIC connection and the HTTP/3 streams on it."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses
import enum

from aioquic.h3 import events as h3_events
from aioquic.quic import events as quic_events

from cactushall_core import addresses, event_stream, handoff
from cactushall_daemon.agent.quic import connection, http3, transfer

MAX_UNSENT_BYTES = 256 * 1024
MAX_HELD_DATAGRAMS = 256
PINGS_PER_IDLE_TIMEOUT = 3.0

Headers = list[tuple[bytes, bytes]]


class ResetCode(enum.IntEnum):
    """HTTP/3 error codes for streams (RFC 9114 section 8.1)."""

    INTERNAL_ERROR = 0x102


class CloseCode(enum.IntEnum):
    """QUIC transport error codes for connections (RFC 9000 section 20.1)."""

    NO_ERROR = 0x0
    CONNECTION_REFUSED = 0x2


class StreamClosedError(Exception):
    """The caller has reset the stream or the connection is gone."""


class Recording:
    """Keeps a copy of an answer, up to a size."""

    def __init__(self, max_body_bytes: int) -> None:
        """Start with nothing.

        Args:
            max_body_bytes: A larger body is not kept.
        """
        self._max_body_bytes = max_body_bytes
        self._headers: Headers | None = None
        self._body = b""
        self._is_complete = False
        self._is_too_large = False

    @property
    def headers(self) -> Headers | None:
        """Headers of the answer."""
        return self._headers

    @property
    def body(self) -> bytes | None:
        """The whole body, None where it is incomplete or too large."""
        return self._body if self._is_complete and not self._is_too_large else None

    def add_headers(self, headers: Headers, *, is_last: bool) -> None:
        """Note the headers."""
        self._headers = headers
        self._is_complete = is_last

    def add_data(self, data: bytes, *, is_last: bool) -> None:
        """Note body data."""
        if len(self._body) + len(data) > self._max_body_bytes:
            self._is_too_large = True
        else:
            self._body += data
        self._is_complete = is_last


class RequestStream:
    """One request's stream: body chunks in, response out."""

    def __init__(self, owner: Flow, stream_id: int, headers: Headers) -> None:
        """Wrap a stream whose request headers have arrived."""
        self._owner = owner
        self._stream_id = stream_id
        self._headers = headers
        self._chunks: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self._is_body_complete = False
        self._is_body_read = False
        self._is_closed = False
        self._is_response_started = False
        self._events: event_stream.EventSplitter | None = None
        self._changed = asyncio.Event()
        self.recording: Recording | None = None

    @property
    def headers(self) -> Headers:
        """The request's headers."""
        return self._headers

    @property
    def flow(self) -> Flow:
        """The flow that the stream belongs to."""
        return self._owner

    @property
    def stream_id(self) -> int:
        """QUIC stream id."""
        return self._stream_id

    @property
    def is_body_complete(self) -> bool:
        """Whether the whole request body has arrived."""
        return self._is_body_complete

    @property
    def is_body_read(self) -> bool:
        """Whether any part of the request body has been read."""
        return self._is_body_read

    @property
    def is_closed(self) -> bool:
        """Whether the caller no longer listens here."""
        return self._is_closed

    @property
    def is_response_started(self) -> bool:
        """Whether response headers have left."""
        return self._is_response_started

    @property
    def events(self) -> event_stream.EventSplitter | None:
        """Position in the response where that is an event stream."""
        return self._events

    def follow_events(self, last_event_id: bytes | None) -> event_stream.EventSplitter:
        """Treat the response as an event stream from a position on."""
        self._events = event_stream.EventSplitter(last_event_id)
        return self._events

    def export(self, remaining_seconds: float) -> handoff.Request:
        """Return the request for another agent."""
        return handoff.Request(
            stream_id=self._stream_id,
            headers=tuple(self._headers),
            body=b"".join(self._chunks),
            is_body_complete=self._is_body_complete,
            remaining_seconds=remaining_seconds,
            is_response_started=self._is_response_started,
            last_event_id=self._events.last_event_id if self._events else None,
        )

    def restore(self, request: handoff.Request) -> None:
        """Take over a request from another agent."""
        self._is_response_started = request.is_response_started
        if request.is_response_started:
            self.follow_events(request.last_event_id)
        self.feed(request.body, request.is_body_complete)

    def feed(self, data: bytes, is_last: bool) -> None:
        """Take in body data from the caller."""
        if data:
            self._chunks.append(data)
            self._unread_bytes += len(data)
            self._owner.quic.set_unread_bytes(self._stream_id, self._unread_bytes)
        self._is_body_complete = self._is_body_complete or is_last
        self._changed.set()

    def close(self) -> None:
        """Note that the caller no longer listens here."""
        self._is_closed = True
        self._changed.set()

    def wake(self) -> None:
        """Let a waiting writer look again for room."""
        self._changed.set()

    async def read(self) -> bytes:
        """Return the next body data, or nothing at the end.

        Raises:
            StreamClosedError: The caller has gone.
        """
        self._is_body_read = True
        while not self._chunks:
            if self._is_closed:
                raise StreamClosedError
            if self._is_body_complete:
                return b""
            await self._wait()
        data = self._chunks.popleft()
        self._unread_bytes -= len(data)
        self._owner.quic.set_unread_bytes(self._stream_id, self._unread_bytes)
        self._owner.schedule_transmit()
        return data

    def send_headers(self, headers: Headers, *, is_last: bool) -> None:
        """Send response headers.

        Raises:
            StreamClosedError: The caller has gone.
        """
        if self.recording is not None:
            self.recording.add_headers(headers, is_last=is_last)
            if self._is_closed:
                return
        self._check_open()
        self._is_response_started = True
        self._owner.http.send_headers(self._stream_id, headers, is_last)
        self._owner.schedule_transmit()

    async def send_data(self, data: bytes, *, is_last: bool) -> None:
        """Send response body data as soon as there is room.

        Raises:
            StreamClosedError: The caller has gone, and the answer is not recorded.
        """
        if self.recording is not None:
            self.recording.add_data(data, is_last=is_last)
            if self._is_closed:
                return
        while self._owner.is_frozen or self._is_far_behind():
            self._check_open()
            await self._wait()
        self._check_open()
        self._owner.http.send_data(self._stream_id, data, is_last)
        self._owner.schedule_transmit()

    def reset(self, code: ResetCode) -> None:
        """End the response as incomplete."""
        if not self._is_closed:
            self._owner.quic.reset_stream(self._stream_id, code)
            self._owner.schedule_transmit()

    def _is_far_behind(self) -> bool:
        return self._owner.quic.unsent_bytes(self._stream_id) > MAX_UNSENT_BYTES

    def _check_open(self) -> None:
        if self._is_closed:
            raise StreamClosedError

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()


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
    on_request: collections.abc.Callable[[RequestStream], None]
    on_stream_closed: collections.abc.Callable[[RequestStream, bool], None]
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
        self._streams: dict[int, RequestStream] = {}
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
    def streams(self) -> dict[int, RequestStream]:
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

    def restore_stream(self, request: handoff.Request) -> RequestStream:
        """Take over a request from another agent."""
        stream = RequestStream(self, request.stream_id, list(request.headers))
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
        request = RequestStream(self, event.stream_id, event.headers)
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
