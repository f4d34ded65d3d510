"""One request on a flow: body chunks in, response out."""

from __future__ import annotations

import asyncio
import collections
import enum
import typing

from cactushall_core import event_stream, handoff

if typing.TYPE_CHECKING:
    from cactushall_daemon.agent import flow

MAX_UNSENT_BYTES = 256 * 1024

Headers = list[tuple[bytes, bytes]]


class ResetCode(enum.IntEnum):
    """HTTP/3 error codes for streams (RFC 9114 section 8.1)."""

    INTERNAL_ERROR = 0x102


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

    def __init__(self, owner: flow.Flow, stream_id: int, headers: Headers) -> None:
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
    def flow(self) -> flow.Flow:
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
