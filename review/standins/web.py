"""A small HTTP/1.1 server and client for JSON calls."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import json
import typing

OK = 200


class Call(typing.NamedTuple):
    """A received call.

    Attributes:
        method: HTTP method.
        target: Path and query.
        body: Body, empty if there is none.
    """

    method: str
    target: str
    body: bytes


class Answer(typing.NamedTuple):
    """An answer to a call.

    Attributes:
        status: HTTP status code.
        content: What the body holds, encoded as JSON.
        headers: Further headers.
    """

    status: int
    content: object = None
    headers: tuple[tuple[str, str], ...] = ()


Handler = collections.abc.Callable[[Call], collections.abc.Awaitable[Answer]]


class Connection:
    """One accepted connection.

    Attributes:
        is_silent: Whether nothing is read from it and nothing is written to it any
            more, although it stays open.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Start as a connection that works.

        Args:
            writer: Where answers are written.
        """
        self.is_silent = False
        self.writer = writer


class Server:
    """Serves calls at one address, and can let open connections go silent."""

    def __init__(self, handler: Handler) -> None:
        """Create the server; it does not listen yet.

        Args:
            handler: Returns the answer to a call.
        """
        self._handler = handler
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.writer.transport.abort()

    def silence_open_connections(self) -> int:
        """Let all open connections go silent for good; new ones work.

        Returns:
            How many there were.
        """
        for connection in self._connections:
            connection.is_silent = True
        return len(self._connections)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(writer)
        self._connections.add(connection)
        try:
            while (call := await _read_call(reader)) is not None:
                if connection.is_silent:
                    continue
                answer = await self._handler(call)
                if not connection.is_silent:
                    writer.write(_encode(answer))
                    await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._connections.discard(connection)
            writer.close()


async def _read_call(reader: asyncio.StreamReader) -> Call | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    length = 0
    for line in rest:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return Call(method, target, await reader.readexactly(length))


def _encode(answer: Answer) -> bytes:
    body = b"" if answer.content is None else json.dumps(answer.content).encode()
    lines = [
        f"HTTP/1.1 {answer.status} -",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in answer.headers),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    host: str, port: int, method: str, target: str, content: object, seconds: float
) -> int | None:
    """Make a call over a new connection.

    Args:
        host: Host of the server.
        port: Port of the server.
        method: HTTP method.
        target: Path and query.
        content: What the body holds, None for no body.
        seconds: How long to wait for the answer.

    Returns:
        The status code, None if no answer came in time.
    """
    body = b"" if content is None else json.dumps(content).encode()
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}:{port}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(head.encode() + body)
            status_line = await reader.readline()
            return int(status_line.split()[1])
    except (OSError, TimeoutError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.transport.abort()
