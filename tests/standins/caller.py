"""Stand-in for a caller: an HTTP/3 client with one QUIC connection."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import ssl
import typing

from aioquic.asyncio import protocol
from aioquic.h3 import connection as h3_connection
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration, connection
from aioquic.quic import events as quic_events

from cactushall_core import addresses

STATELESS_RESET_TOKEN_BYTES = 16


class IncompleteResponseError(Exception):
    """The connection or the stream ended before the response was complete."""


@dataclasses.dataclass
class Response:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: All header fields, with `:status`.
        body: The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class _Exchange:
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    headers: dict[str, str] | None = None
    chunks: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque
    )
    is_ended: bool = False
    is_broken: bool = False


class Caller(protocol.QuicConnectionProtocol):
    """One connection to a service.

    Attributes:
        is_terminated: Whether the connection has ended.
        was_reset: Whether it ended with a stateless reset.
        has_disappeared: Whether the caller's host is gone, so that nothing is sent.
    """

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Set up HTTP/3 on a QUIC connection."""
        super().__init__(*args, **kwargs)
        self._http = h3_connection.H3Connection(self._quic)
        self._exchanges: dict[int, _Exchange] = {}
        self.is_terminated = False
        self.was_reset = False
        self.has_disappeared = False

    def disappear(self) -> None:
        """End without notifying the peer, as a host that loses its power does."""
        self.has_disappeared = True
        self._transport.abort()

    def transmit(self) -> None:
        """Send what is due, unless the caller's host is gone."""
        if not self.has_disappeared:
            super().transmit()

    def datagram_received(self, data: typing.Any, addr: typing.Any) -> None:
        """Handle a datagram, checking for a stateless reset first.

        aioquic itself does not recognise stateless resets.
        """
        token = bytes(data[-STATELESS_RESET_TOKEN_BYTES:])
        if token == self._quic._peer_cid.stateless_reset_token and token:
            self.was_reset = True
            self._terminate()
            return
        super().datagram_received(data, addr)

    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Handle an event of the QUIC connection."""
        if isinstance(event, quic_events.ConnectionTerminated):
            self._terminate()
        elif isinstance(event, quic_events.StreamReset):
            exchange = self._exchanges.get(event.stream_id)
            if exchange is not None:
                exchange.is_broken = True
                exchange.changed.set()
        for http_event in self._http.handle_event(event):
            self._http_event_received(http_event)

    def _http_event_received(self, event: h3_events.H3Event) -> None:
        if not isinstance(event, h3_events.HeadersReceived | h3_events.DataReceived):
            return
        exchange = self._exchanges.get(event.stream_id)
        if exchange is None:
            return
        if isinstance(event, h3_events.HeadersReceived):
            exchange.headers = {k.decode(): v.decode() for k, v in event.headers}
        else:
            exchange.chunks.append(event.data)
        exchange.is_ended = exchange.is_ended or event.stream_ended
        exchange.changed.set()

    def _terminate(self) -> None:
        self.is_terminated = True
        for exchange in self._exchanges.values():
            exchange.is_broken = not exchange.is_ended
            exchange.changed.set()

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        *,
        is_complete: bool = True,
    ) -> int:
        """Send a request and return its stream id.

        Args:
            method: HTTP method.
            path: Path with query.
            headers: Further header fields.
            body: Body, or its first part.
            is_complete: Whether the request ends after `body`.
        """
        stream_id = self._quic.get_next_available_stream_id()
        self._exchanges[stream_id] = _Exchange()
        fields = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"swapworks.example"),
            (b":path", path.encode()),
            *((k.encode(), v.encode()) for k, v in (headers or {}).items()),
        ]
        has_more = bool(body) or not is_complete
        self._http.send_headers(stream_id, fields, end_stream=not has_more)
        if body:
            self._http.send_data(stream_id, body, end_stream=is_complete)
        self.transmit()
        return stream_id

    def cancel(self, stream_id: int) -> None:
        """Cancel a request in both directions."""
        self._quic.reset_stream(stream_id, 0x10C)
        self._quic.stop_stream(stream_id, 0x10C)
        self.transmit()

    async def read_response(self, stream_id: int) -> Response:
        """Wait for the whole response.

        Raises:
            IncompleteResponseError: The stream or the connection ended early.
        """
        body = [chunk async for chunk in self.read_body(stream_id)]
        headers = self._exchanges.pop(stream_id).headers
        assert headers is not None
        return Response(int(headers[":status"]), headers, b"".join(body))

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Response:
        """Send a request and return its response.

        Raises:
            IncompleteResponseError: The stream or the connection ended early.
        """
        if self.is_terminated:
            raise IncompleteResponseError
        return await self.read_response(self.send(method, path, headers, body))

    async def read_body(self, stream_id: int) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in chunks as it arrives.

        Raises:
            IncompleteResponseError: The stream or the connection ended early.
        """
        exchange = self._exchanges[stream_id]
        while True:
            while exchange.chunks:
                yield exchange.chunks.popleft()
            if exchange.is_ended:
                return
            if exchange.is_broken:
                raise IncompleteResponseError
            exchange.changed.clear()
            await exchange.changed.wait()

    async def read_events(
        self, last_event_id: int | None = None
    ) -> collections.abc.AsyncIterator[int]:
        """Open a feed and yield the numbers of its events.

        Args:
            last_event_id: Number of the last event that was received before, if any.

        Raises:
            IncompleteResponseError: The stream or the connection ended early.
        """
        headers = {"accept": "text/event-stream"}
        if last_event_id is not None:
            headers["last-event-id"] = str(last_event_id)
        stream_id = self.send("GET", "/feed", headers)
        partial = ""
        async for chunk in self.read_body(stream_id):
            partial += chunk.decode()
            *complete, partial = partial.split("\n\n")
            for event in complete:
                yield int(event.split("\n")[0].removeprefix("id: "))


def make_configuration(idle_timeout: float = 60.0) -> configuration.QuicConfiguration:
    """Return a caller's QUIC settings; the test certificate is not verified."""
    quic_configuration = configuration.QuicConfiguration(
        alpn_protocols=["h3"], is_client=True, idle_timeout=idle_timeout
    )
    quic_configuration.verify_mode = ssl.CERT_NONE
    return quic_configuration


@contextlib.asynccontextmanager
async def connect(
    service: addresses.Address, idle_timeout: float = 60.0, host: str = "127.0.0.1"
) -> collections.abc.AsyncIterator[Caller]:
    """Open a connection to a service within a context.

    Args:
        service: Address of the service.
        idle_timeout: Idle timeout that the caller offers, in seconds.
        host: Local address of the caller.
    """
    quic = connection.QuicConnection(configuration=make_configuration(idle_timeout))
    loop = asyncio.get_running_loop()
    transport, caller = await loop.create_datagram_endpoint(
        lambda: Caller(quic), local_addr=(host, 0)
    )
    try:
        caller.connect(service)
        await caller.wait_connected()
        yield caller
    finally:
        caller.close()
        caller.transmit()
        transport.close()
