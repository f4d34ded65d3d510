"""Tests of the question whether a backend server listens at its address."""

from __future__ import annotations

import asyncio
import socket

from cactushall_core import addresses
from cactushall_daemon.packets import server_port
from tests.daemon import fleets

HOST = fleets.HOSTS[0]


async def test_an_address_without_a_server_refuses():
    address = addresses.Address(HOST, fleets.free_port())
    assert await server_port.connect(address) is server_port.Result.REFUSED


async def test_a_server_that_listens_accepts():
    address = addresses.Address(HOST, fleets.free_port())
    async with await asyncio.start_server(lambda _, writer: writer.close(), *address):
        assert await server_port.connect(address) is server_port.Result.ACCEPTED


async def test_a_server_that_accepts_nothing_in_time_proves_nothing():
    """Guards against silence that is taken for the absence of a server."""
    with socket.socket() as stuck, socket.socket() as first:
        stuck.bind((HOST, 0))
        stuck.listen(0)
        address = addresses.Address(*stuck.getsockname())
        first.connect(address)
        assert await server_port.connect(address) is server_port.Result.UNKNOWN
