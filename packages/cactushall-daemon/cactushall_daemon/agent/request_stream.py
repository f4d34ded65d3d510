"""The stream of one request: its body from the caller and the response to it."""

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


class ResponseRecorder:
    """Keeps a copy of a response up to a maximum size."""

    def __init__(self, max_body_bytes: int) -> None:
        """Start with an empty copy.

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
        """Headers of the response, None before they are sent."""
        return self._headers

    @property
    def body(self) -> bytes | None:
        """The whole body, None if it is incomplete or too large."""
        return self._body if self._is_complete and not self._is_too_large else None

    def add_headers(self, headers: Headers, *, is_last: bool) -> None:
        """Record the headers."""
        self._headers = headers
        self._is_complete = is_last

    def add_data(self, data: bytes, *, is_last: bool) -> None:
        """Record body data."""
        if len(self._body) + len(data) > self._max_body_bytes:
            self._is_too_large = True
        else:
            self._body += data
        self._is_complete = is_last


class RequestStream:
    """Buffers one request's body and sends the response to it.

    Attributes:
        recorder: Copies the response if it is to be stored. The response is then
            read to its end even if the caller has closed the stream.
    """

    def __init__(self, owner: flow.Flow, stream_id: int, headers: Headers) -> None:
        """Wrap a stream whose request headers have arrived."""
        self._flow = owner
        self._stream_id = stream_id
        self._headers = headers
        self._chunks: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self._is_body_complete = False
        self._is_body_partly_read = False
        self._is_closed = False
        self._is_response_started = False
        self._event_splitter: event_stream.EventSplitter | None = None
        self._state_changed = asyncio.Event()
        self.recorder: ResponseRecorder | None = None

    @property
    def headers(self) -> Headers:
        """The request's headers."""
        return self._headers

    @property
    def flow(self) -> flow.Flow:
        """The flow that the stream belongs to."""
        return self._flow

    @property
    def stream_id(self) -> int:
        """QUIC stream id."""
        return self._stream_id

    @property
    def is_body_complete(self) -> bool:
        """Whether the whole request body has arrived."""
        return self._is_body_complete

    @property
    def is_body_partly_read(self) -> bool:
        """Whether any part of the request body has been read."""
        return self._is_body_partly_read

    @property
    def is_closed(self) -> bool:
        """Whether the caller no longer reads this response from this agent."""
        return self._is_closed

    @property
    def is_response_started(self) -> bool:
        """Whether response headers have been sent."""
        return self._is_response_started

    @property
    def event_splitter(self) -> event_stream.EventSplitter | None:
        """Position in the response if it is an event stream, else None."""
        return self._event_splitter

    def start_event_stream(
        self, last_event_id: bytes | None
    ) -> event_stream.EventSplitter:
        """Treat the response as an event stream.

        Args:
            last_event_id: Id of the last event that the caller has received.
        """
        self._event_splitter = event_stream.EventSplitter(last_event_id)
        return self._event_splitter

    def export(self, remaining_seconds: float) -> handoff.Request:
        """Return the state of the request for another agent.

        Args:
            remaining_seconds: Time left until the deadline.
        """
        return handoff.Request(
            stream_id=self._stream_id,
            headers=tuple(self._headers),
            body=b"".join(self._chunks),
            is_body_complete=self._is_body_complete,
            remaining_seconds=remaining_seconds,
            is_response_started=self._is_response_started,
            last_event_id=self._event_splitter.last_event_id
            if self._event_splitter
            else None,
        )

    def restore(self, request: handoff.Request) -> None:
        """Restore the state of a request from another agent."""
        self._is_response_started = request.is_response_started
        if request.is_response_started:
            self.start_event_stream(request.last_event_id)
        self.receive_data(request.body, request.is_body_complete)

    def receive_data(self, data: bytes, is_last: bool) -> None:
        """Buffer body data from the caller."""
        if data:
            self._chunks.append(data)
            self._unread_bytes += len(data)
            self._flow.quic.set_unread_bytes(self._stream_id, self._unread_bytes)
        self._is_body_complete = self._is_body_complete or is_last
        self._state_changed.set()

    def close(self) -> None:
        """Mark the stream as closed and wake its reader and writer."""
        self._is_closed = True
        self._state_changed.set()

    def wake_writer(self) -> None:
        """Let a blocked writer check the send buffer again."""
        self._state_changed.set()

    async def read(self) -> bytes:
        """Return the next body data, empty at the end.

        Raises:
            StreamClosedError: The caller has closed the stream.
        """
        self._is_body_partly_read = True
        while not self._chunks:
            if self._is_closed:
                raise StreamClosedError
            if self._is_body_complete:
                return b""
            await self._wait()
        data = self._chunks.popleft()
        self._unread_bytes -= len(data)
        self._flow.quic.set_unread_bytes(self._stream_id, self._unread_bytes)
        self._flow.schedule_transmit()
        return data

    def send_headers(self, headers: Headers, *, is_last: bool) -> None:
        """Send response headers.

        Raises:
            StreamClosedError: The caller has closed the stream, and the response is
                not recorded.
        """
        if self.recorder is not None:
            self.recorder.add_headers(headers, is_last=is_last)
            if self._is_closed:
                return
        self._raise_if_closed()
        self._is_response_started = True
        self._flow.http.send_headers(self._stream_id, headers, is_last)
        self._flow.schedule_transmit()

    async def send_data(self, data: bytes, *, is_last: bool) -> None:
        """Send response body data when the send buffer has space.

        Raises:
            StreamClosedError: The caller has closed the stream, and the response is
                not recorded.
        """
        if self.recorder is not None:
            self.recorder.add_data(data, is_last=is_last)
            if self._is_closed:
                return
        while self._flow.is_suspended or self._is_send_buffer_full():
            self._raise_if_closed()
            await self._wait()
        self._raise_if_closed()
        self._flow.http.send_data(self._stream_id, data, is_last)
        self._flow.schedule_transmit()

    def reset(self, code: ResetCode) -> None:
        """Reset the stream, which tells the caller that the response is incomplete."""
        if not self._is_closed:
            self._flow.quic.reset_stream(self._stream_id, code)
            self._flow.schedule_transmit()

    def _is_send_buffer_full(self) -> bool:
        return self._flow.quic.unsent_bytes(self._stream_id) > MAX_UNSENT_BYTES

    def _raise_if_closed(self) -> None:
        if self._is_closed:
            raise StreamClosedError

    async def _wait(self) -> None:
        self._state_changed.clear()
        await self._state_changed.wait()
