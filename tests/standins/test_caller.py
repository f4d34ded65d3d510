"""Tests of the stand-in for a caller."""

from __future__ import annotations

import asyncio

from aioquic.quic import connection

from cactushall_core import addresses
from tests.standins import caller

UNUSED_ADDRESS = addresses.Address("127.0.0.1", 9)


async def test_a_caller_that_has_disappeared_can_be_closed():
    """Guards against a teardown that sends on the closed socket and fails."""
    quic = connection.QuicConnection(configuration=caller.make_configuration())
    _, disappearing = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: caller.Caller(quic), local_addr=("127.0.0.1", 0)
    )
    disappearing.connect(UNUSED_ADDRESS)
    disappearing.disappear()
    await asyncio.sleep(0)

    disappearing.close()
    disappearing.transmit()
