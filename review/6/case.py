"""Open flows are reset at the second planned restart of an agent.

An entry stands still while the agents are restarted for the first time. It takes the
notice of the agent that has left for one of its successor.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "6"))

import standins  # noqa: E402

SERVICE = "board"
SERVERS = 4
ENTRIES = 5
AT_A_TIME = 2
GAP_SECONDS = 1.0
FREEZE_SECONDS = 5.0
FREEZE_BEFORE_RESTART_SECONDS = 0.3
LONGEST_WAIT_SECONDS = 1.0
CONTACT_SECONDS = standins.BOUNDS["contact_ms"] / 1000
FLOWS = 48
REQUESTS = 10
PAUSE_SECONDS = 0.25
DEADLINE_SECONDS = 5.0


async def restart_agents(site):
    """Stop and start all agents in turn, some at a time."""
    restarted = []
    for first in range(0, SERVERS, AT_A_TIME):
        for server in site.servers[first : first + AT_A_TIME]:
            restart = site.restart("agent", server.host, server)
            restarted.append(asyncio.create_task(restart))
        await asyncio.sleep(GAP_SECONDS)
    await asyncio.gather(*restarted)


async def wait_for_gossip(site, entry):
    """Wait until gossip waits unread at an entry that stands still, a second at most.

    An entry that wakes reads first what has arrived first.
    """
    ends_at = time.monotonic() + LONGEST_WAIT_SECONDS
    await asyncio.sleep(FREEZE_BEFORE_RESTART_SECONDS)
    port = standins.PORT_RANGE[0]
    while not standins.queued_bytes(entry, port) and time.monotonic() < ends_at:
        await asyncio.sleep(0.05)
    queued = standins.queued_bytes(entry, port)
    site.record.write(f"platform: {queued} bytes of gossip wait at {entry}")


async def restart_during_freeze(site, is_disrupted):
    """Restart all agents, one entry standing still meanwhile where asked for."""
    entry = site.entries[0]
    if is_disrupted:
        site.signal(entry, signal.SIGSTOP)
    frozen_at = time.monotonic()
    await wait_for_gossip(site, entry)
    await restart_agents(site)
    await asyncio.sleep(FREEZE_SECONDS - (time.monotonic() - frozen_at))
    if is_disrupted:
        site.signal(entry, signal.SIGCONT)


async def open_flows(site):
    """Open flows, send a request on each and return those that were answered."""
    service = site.addresses[SERVICE]
    flows = []
    for number in range(FLOWS):
        flow = await site.caller.open_flow(service)
        if flow is not None and await flow.request(b"first %d" % number, 2.0):
            flows.append(flow)
    return flows


async def use_flow(flow, number):
    """Send more requests on a flow; a reset is recorded with the flow."""
    try:
        for request in range(REQUESTS):
            await flow.request(b"later %d/%d" % (number, request), DEADLINE_SECONDS)
            await asyncio.sleep(PAUSE_SECONDS)
    except standins.FlowResetError:
        return


async def run(site, is_disrupted):
    """Return how many open flows were reset by the system, and how many there were."""
    await site.start()
    await asyncio.sleep(CONTACT_SECONDS)
    await restart_during_freeze(site, is_disrupted)
    await site.wait_until(lambda: len(site.caller.in_rotation) == len(site.entries), 20)
    await asyncio.sleep(2 * CONTACT_SECONDS)
    flows = await open_flows(site)
    await asyncio.sleep(CONTACT_SECONDS)
    restarted = asyncio.create_task(restart_agents(site))
    await asyncio.sleep(0.3)
    await asyncio.gather(*(use_flow(flow, n) for n, flow in enumerate(flows)))
    await restarted
    return sum(flow.is_reset for flow in flows), len(flows)


async def main():
    """Run the case and return the exit code."""
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    site = standins.Site(FOLDER, [SERVICE] * SERVERS, entries=ENTRIES)
    try:
        reset, opened = await run(site, is_disrupted)
        site.record.write(
            f"result: {reset} of {opened} open flows were reset by the system"
        )
        if not opened:
            return 2
        return 1 if reset else 0
    except (TimeoutError, OSError, standins.FlowResetError) as error:
        site.record.write(f"result: the case could not run: {error!r}")
        return 2
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
