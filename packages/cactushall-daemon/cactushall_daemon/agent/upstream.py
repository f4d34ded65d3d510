"""HTTP/1.1 connections to a backend server."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib

import h11

from cactushall_core import addresses, exceptions

READ_BYTES = 64 * 1024
WRITE_BUFFER_BYTES = 256 * 1024
CONNECT_TIMEOUT_SECONDS = 2.0


class ConnectError(exceptions.CactushallError):
    """The backend server accepted no connection, so the request has not run."""


class IncompleteResponseError(exceptions.CactushallError):
    """The connection failed before the response was complete."""


class UpstreamConnection:
    """A connection that carries one request and its response."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wrap an open connection."""
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)

    async def send(self, event: h11.Event) -> None:
        """Send a part of the request.

        Raises:
            IncompleteResponseError: The connection is lost, or the part is invalid at
                this point of the request.
        """
        try:
            data = self._http.send(event)
            if data:
                self._writer.write(data)
                await self._writer.drain()
        except (OSError, h11.LocalProtocolError) as error:
            raise IncompleteResponseError(str(error)) from error

    async def receive(self) -> h11.Event:
        """Return the next part of the response.

        Raises:
            IncompleteResponseError: The response is truncated or malformed.
        """
        while True:
            try:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._http.receive_data(await self._reader.read(READ_BYTES))
                    continue
            except (OSError, h11.RemoteProtocolError) as error:
                raise IncompleteResponseError(str(error)) from error
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise IncompleteResponseError("connection closed")
            return event  # type: ignore[return-value]

    def abort(self) -> None:
        """Close the connection immediately, which cancels the request."""
        self._writer.transport.abort()


@contextlib.asynccontextmanager
async def connect(
    server: addresses.Address,
) -> collections.abc.AsyncIterator[UpstreamConnection]:
    """Open a connection to a backend server.

    Raises:
        ConnectError: The server accepted no connection.
    """
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(server.host, server.port, limit=READ_BYTES),
            CONNECT_TIMEOUT_SECONDS,
        )
    except (TimeoutError, OSError) as error:
        raise ConnectError(f"{server}: {error!r}") from error
    writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
    opened = UpstreamConnection(reader, writer)
    try:
        yield opened
    finally:
        opened.abort()
