"""Tests of the stand-ins for callers and backend servers of packet flows."""

from __future__ import annotations

from tests.standins import packet_peers


async def test_a_server_can_be_stopped_twice():
    """Guards against a teardown that fails and leaves the rest of a site running."""
    server = packet_peers.PacketServer(
        "server-0",
        ("127.0.0.1", 0),
        ("127.0.0.1", 9),
        ("127.0.0.1", 9),
        "board",
    )
    await server.start()
    await server.stop()
    await server.stop()
