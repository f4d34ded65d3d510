"""An availability zone is evacuated while processes restart and the store fails."""

from __future__ import annotations

import asyncio
import json
import time
import urllib.request

import pytest

from tests.standins import packet_peers, packet_site

pytestmark = pytest.mark.scenario

KEY = "op/evacuate/b"
BOUND_SECONDS = 5.0
REFUSED_AT_ONCE_SECONDS = 0.5


@pytest.fixture
async def site(tmp_path):
    """Two servers of one service in zones a and b; that of the other is in zone b."""
    started_site = packet_site.PacketSite(tmp_path, zones="abb")
    await started_site.start()
    yield started_site
    await started_site.close()


async def open_and_close(site, count):
    for _ in range(count):
        await (await site.open_flow()).close()


async def check_evacuated(site):
    """Check that no opening reaches zone b, and that its service refuses at once."""
    in_zone = site.servers[1:]
    before = [server.accepted_flows for server in in_zone]
    await open_and_close(site, 20)
    started_at = time.monotonic()
    with pytest.raises(packet_peers.FlowResetError):
        await site.caller.open_flow(packet_site.PLANS)
    assert time.monotonic() - started_at < REFUSED_AT_ONCE_SECONDS
    assert [server.accepted_flows for server in in_zone] == before


def read_status(host):
    url = f"http://{host}:{packet_site.PEER_PORT}/evacuations"
    with urllib.request.urlopen(url, timeout=1) as response:
        return json.load(response)


async def test_a_zone_is_evacuated_and_returns(site):
    open_flow = await site.open_flow(packet_site.PLANS)
    site.store.put(KEY, b"{}")
    await asyncio.sleep(BOUND_SECONDS)
    await check_evacuated(site)
    assert await open_flow.request(b"still open")
    agent_host = site.agent_host(site.servers[2])
    (status,) = (await asyncio.to_thread(read_status, agent_host))["zones"]
    assert status["is_evacuated"]
    assert status["open_flows"] >= 1
    site.store.remove(KEY)
    await site.open_flow(packet_site.PLANS, BOUND_SECONDS)


async def test_an_evacuation_survives_restarts_without_the_store(site):
    """Processes that start must learn of it from the others, and no agent may fail."""
    site.store.put(KEY, b"{}")
    await asyncio.sleep(BOUND_SECONDS)
    site.store.fault = 503
    agent_host = site.agent_host(site.servers[1])
    for host in (site.entries[0], agent_host):
        await site.kill(host)
        site.restart(host)
    await site.wait_until_ready(site.entries[0])
    before = site.servers[1].accepted_flows
    await open_and_close(site, 20)
    assert site.servers[1].accepted_flows == before
    await asyncio.sleep(BOUND_SECONDS)
    await check_evacuated(site)
