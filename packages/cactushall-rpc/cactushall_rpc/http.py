"""HTTP/1.1 over TCP: a server for short requests and a client connection."""

from __future__ import annotations

import asyncio
import collections.abc
import http
import socket
import types
import typing

import h11
import msgspec

from cactushall_core import addresses, exceptions

READ_BYTES = 65_536
MAX_BODY_BYTES = 4 * 1024 * 1024
SERVER_IDLE_TIMEOUT_SECONDS = 60.0
# A large response on a slow link takes long, but not without a byte.
PROGRESS_TIMEOUT_SECONDS = 1.0
MAX_RESPONSE_SECONDS = 60.0
TCP_USER_TIMEOUT_MILLISECONDS = 2_000
# Any bytes can be decoded so.
HEADER_ENCODING = "latin-1"
JSON_CONTENT_TYPE = "application/json"
PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4"

_TCP_USER_TIMEOUT_OPTION = getattr(socket, "TCP_USER_TIMEOUT", 18)


class RequestError(exceptions.CactushallError):
    """A request got no complete response."""


class RequestTimeoutError(RequestError):
    """A request got no complete response in time."""


class Request(msgspec.Struct, frozen=True):
    """A received request.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        body: Body, empty if there is none.
        query: Query without the question mark, empty if there is none.
    """

    method: str
    path: str
    body: bytes
    query: str = ""


class Response(msgspec.Struct, frozen=True):
    """A response.

    Attributes:
        status: HTTP status code.
        body: Body, empty if there is none.
        content_type: Media type of the body; sent, but not read from responses.
        headers: Headers of a received response, by name in lower case; not sent.
    """

    status: int = http.HTTPStatus.OK
    body: bytes = b""
    content_type: str = JSON_CONTENT_TYPE
    headers: collections.abc.Mapping[str, str] = types.MappingProxyType({})


ProgressCallback = collections.abc.Callable[[], None]
Handler = collections.abc.Callable[
    [Request], Response | collections.abc.Awaitable[Response]
]


def _ignore_progress() -> None:
    """Do nothing: the time for a whole request is bounded."""


async def serve(address: addresses.Address, handler: Handler) -> asyncio.Server:
    """Serve requests at an address.

    Args:
        address: Address to listen on.
        handler: Returns the response to a request; must not block.

    Raises:
        OSError: The address cannot be bound.
    """

    async def handle_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _serve_connection(reader, writer, handler)
        except (OSError, TimeoutError, h11.ProtocolError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(handle_connection, address.host, address.port)


async def _serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> None:
    _set_socket_options(writer)
    connection = h11.Connection(h11.SERVER)
    while True:
        async with asyncio.timeout(SERVER_IDLE_TIMEOUT_SECONDS):
            request = await _read_request(connection, reader)
        if request is None:
            return
        result = handler(request)
        response = result if isinstance(result, Response) else await result
        writer.write(_encode_response(connection, response))
        await writer.drain()
        if connection.our_state is h11.MUST_CLOSE:
            return
        connection.start_next_cycle()


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> Request | None:
    head = await _next_event(connection, reader)
    if not isinstance(head, h11.Request):
        return None
    body = await _read_body(connection, reader)
    target = head.target.decode("ascii")
    path, _, query = target.partition("?")
    return Request(head.method.decode("ascii"), path, body, query)


def _encode_response(connection: h11.Connection, response: Response) -> bytes:
    headers = [
        ("content-length", str(len(response.body))),
        ("content-type", response.content_type),
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    return _encode(connection, head, response.body)


def _encode(
    connection: h11.Connection, head: h11.Request | h11.Response, body: bytes
) -> bytes:
    """Return the bytes of a complete request or response."""
    parts = [connection.send(head)]
    if body:
        parts.append(connection.send(h11.Data(data=body)))
    parts.append(connection.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


class Connection:
    """A persistent client connection that carries one request at a time."""

    def __init__(self, address: addresses.Address) -> None:
        """Create the connection, which is opened by the first request.

        Args:
            address: Address of the server.
        """
        self._address = address
        self._lock = asyncio.Lock()
        self._state: h11.Connection | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether the next request uses a connection that is open already."""
        return self._writer is not None

    @property
    def is_busy(self) -> bool:
        """Whether a request is under way."""
        return self._lock.locked()

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._state = self._reader = self._writer = None

    async def request(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> Response:
        """Send a request and wait for the response.

        Args:
            method: HTTP method.
            target: Path with the query.
            body: JSON body, may be empty.
            timeout: Seconds to wait for the first byte of the response; each further
                one has to follow soon.

        Raises:
            RequestTimeoutError: No complete response arrived in time; the server may
                have executed the request.
            RequestError: No complete response arrived for another reason.
        """
        async with self._lock:
            try:
                async with asyncio.timeout(timeout) as limit:
                    on_progress = _make_extension(limit, timeout)
                    return await self._request(method, target, body, on_progress)
            except TimeoutError as error:
                self.close()
                raise RequestTimeoutError(f"{method} {target}: no answer") from error
            except (OSError, EOFError, h11.ProtocolError) as error:
                self.close()
                raise RequestError(f"{method} {target}: {error!r}") from error
            except asyncio.CancelledError:
                self.close()
                raise

    async def _request(
        self, method: str, target: str, body: bytes, on_progress: ProgressCallback
    ) -> Response:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self._address)
            self._state = h11.Connection(h11.CLIENT)
            _set_socket_options(self._writer)
        assert self._state is not None
        assert self._reader is not None
        self._writer.write(self._encode_request(self._state, method, target, body))
        head = await _next_event(self._state, self._reader, on_progress)
        if not isinstance(head, h11.Response):
            raise EOFError("connection closed before a response")
        response_body = await _read_body(self._state, self._reader, on_progress)
        if self._state.their_state is h11.MUST_CLOSE:
            self.close()
        else:
            self._state.start_next_cycle()
        headers = {
            name.decode(): value.decode(HEADER_ENCODING) for name, value in head.headers
        }
        return Response(head.status_code, response_body, headers=headers)

    def _encode_request(
        self, state: h11.Connection, method: str, target: str, body: bytes
    ) -> bytes:
        headers = [("host", str(self._address)), ("content-length", str(len(body)))]
        if body:
            headers.append(("content-type", JSON_CONTENT_TYPE))
        head = h11.Request(method=method, target=target, headers=headers)
        return _encode(state, head, body)


def _make_extension(limit: asyncio.Timeout, timeout: float) -> ProgressCallback:
    """Return what gives a request more time with each part of its response."""
    loop = asyncio.get_running_loop()
    latest_end = loop.time() + timeout + MAX_RESPONSE_SECONDS

    def extend() -> None:
        limit.reschedule(min(loop.time() + PROGRESS_TIMEOUT_SECONDS, latest_end))

    return extend


async def get(address: addresses.Address, target: str, timeout: float) -> Response:
    """Send a GET request over a new connection, which is closed afterwards.

    Args:
        address: Address of the server.
        target: Path with the query.
        timeout: Seconds to wait for the first byte of the response.

    Raises:
        RequestError: No complete response arrived.
    """
    return await call(address, "GET", target, b"", timeout)


async def call(
    address: addresses.Address, method: str, target: str, body: bytes, timeout: float
) -> Response:
    """Send a request over a new connection, which is closed afterwards.

    Args:
        address: Address of the server.
        method: HTTP method.
        target: Path with the query.
        body: Body, may be empty.
        timeout: Seconds to wait for the first byte of the response.

    Raises:
        RequestError: No complete response arrived.
    """
    connection = Connection(address)
    try:
        return await connection.request(method, target, body, timeout)
    finally:
        connection.close()


async def _next_event(
    connection: h11.Connection,
    reader: asyncio.StreamReader,
    on_progress: ProgressCallback = _ignore_progress,
) -> typing.Any:
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
            on_progress()
        elif not isinstance(event, h11.InformationalResponse):
            return event


async def _read_body(
    connection: h11.Connection,
    reader: asyncio.StreamReader,
    on_progress: ProgressCallback = _ignore_progress,
) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        event = await _next_event(connection, reader, on_progress)
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > MAX_BODY_BYTES:
                raise h11.RemoteProtocolError("body exceeds the maximum size")
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise EOFError("connection closed before the end of the body")


def _set_socket_options(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.IPPROTO_TCP, _TCP_USER_TIMEOUT_OPTION, TCP_USER_TIMEOUT_MILLISECONDS
    )
