"""Tests of connections to the store of the QUIC transport that go silent."""

from __future__ import annotations

import asyncio

import pytest

from cactushall_core import addresses, exceptions
from cactushall_daemon import contact_service
from cactushall_rpc import store
from tests.daemon import contact_zone, fleets
from tests.standins import store as store_standin

KEEP_ALIVE_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 0.2
WAIT_SECONDS = 2.0


class Link:
    """Forwards connections to an address until they are made silent."""

    def __init__(self, address):
        self._address = address
        self._tasks = set()
        self._writers = []

    async def start(self, host):
        """Listen on a free port, and return the address."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        return addresses.Address(*self._server.sockets[0].getsockname())

    def silence(self):
        """Let open connections go silent for good; new ones work."""
        for task in self._tasks:
            task.cancel()

    def stop(self):
        self.silence()
        for writer in self._writers:
            writer.transport.abort()
        self._server.close()

    async def _accept(self, reader, writer):
        there = await asyncio.open_connection(*self._address)
        self._writers += [writer, there[1]]
        for source, target in ((reader, there[1]), (there[0], writer)):
            task = asyncio.create_task(self._forward(source, target))
            self._tasks.add(task)

    async def _forward(self, source, target):
        while data := await source.read(65_536):
            target.write(data)
        target.close()


async def test_a_silent_connection_ends_the_watch_of_a_contact_point(monkeypatch):
    """Guards against a fleet that follows no configuration on a silent connection."""
    monkeypatch.setattr(contact_service, "KEEP_ALIVE_SECONDS", KEEP_ALIVE_SECONDS)
    monkeypatch.setattr(store, "CALL_TIMEOUT_SECONDS", CALL_TIMEOUT_SECONDS)
    address = addresses.Address(fleets.HOSTS[0], fleets.free_port())
    async with store_standin.serving(*address):
        link = Link(address)
        client = store.Store((await link.start(fleets.HOSTS[1]),))
        zone = contact_zone.Zone(client)
        zone.start(1)
        await zone.wait_for_listed([1])
        changes = client.watch(b"/", 1)
        await anext(changes)
        link.silence()
        with pytest.raises(exceptions.StoreUnavailableError):
            async with asyncio.timeout(WAIT_SECONDS):
                while True:
                    await anext(changes)
        assert (await client.get_prefix(b"/")).entries
        zone.close()
        client.close()
        link.stop()
