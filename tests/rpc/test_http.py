"""Tests of HTTP requests whose responses take long."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from cactushall_core import addresses
from cactushall_rpc import http as http_calls
from tests.daemon import fleets

HOST = fleets.HOSTS[0]
TIMEOUT_SECONDS = 0.2
PART = b"x" * 1000
PARTS = 10
PAUSE_SECONDS = 0.1


@contextlib.asynccontextmanager
async def slow_server(sent_parts):
    """Answer with a body of PARTS parts, of which some are sent, at a slow rate."""

    async def answer(reader, writer):
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            length = len(PART) * PARTS
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length)
            for _ in range(sent_parts):
                writer.write(PART)
                await writer.drain()
                await asyncio.sleep(PAUSE_SECONDS)
            await reader.read()
            writer.close()

    server = await asyncio.start_server(answer, HOST, 0)
    try:
        yield addresses.Address(*server.sockets[0].getsockname())
    finally:
        server.close()


async def test_a_response_that_arrives_slowly_is_read_whole():
    """Guards against a configuration that a slow link never carries in time."""
    async with slow_server(PARTS) as address:
        response = await http_calls.get(address, "/", TIMEOUT_SECONDS)
    assert response.body == PART * PARTS


@pytest.mark.parametrize("sent_parts", [0, 1, PARTS - 1])
async def test_a_response_that_stops_is_given_up_soon(sent_parts, monkeypatch):
    """Guards against a request that a silent connection holds for long."""
    monkeypatch.setattr(http_calls, "PROGRESS_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    async with (
        slow_server(sent_parts) as address,
        asyncio.timeout(sent_parts * PAUSE_SECONDS + 3 * TIMEOUT_SECONDS),
    ):
        with pytest.raises(http_calls.RequestTimeoutError):
            await http_calls.get(address, "/", TIMEOUT_SECONDS)


async def test_a_response_of_endless_small_parts_is_given_up(monkeypatch):
    """Guards against a request that a peer keeps open for ever."""
    monkeypatch.setattr(http_calls, "MAX_RESPONSE_SECONDS", TIMEOUT_SECONDS)
    async with slow_server(PARTS) as address:
        with pytest.raises(http_calls.RequestTimeoutError):
            await http_calls.get(address, "/", TIMEOUT_SECONDS)


async def test_a_request_without_an_answer_is_given_up_in_its_time():
    port = fleets.free_port()
    async with (
        fleets.silent_listener(HOST, port),
        asyncio.timeout(3 * TIMEOUT_SECONDS),
    ):
        with pytest.raises(http_calls.RequestTimeoutError):
            await http_calls.get(addresses.Address(HOST, port), "/", TIMEOUT_SECONDS)
