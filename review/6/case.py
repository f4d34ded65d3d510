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
RESTARTED = 2
FREEZE_SECONDS = 5.0
FREEZE_BEFORE_RESTART_SECONDS = 0.9
CONTACT_SECONDS = standins.BOUNDS["contact_ms"] / 1000
FLOWS = 48
DEADLINE_SECONDS = 5.0


async def restart_during_freeze(site, is_disrupted):
    """Restart some agents, one entry standing still meanwhile where asked for."""
    entry = site.entries[0]
    if is_disrupted:
        site.signal(entry, signal.SIGSTOP)
    frozen_at = time.monotonic()
    await asyncio.sleep(FREEZE_BEFORE_RESTART_SECONDS)
    await asyncio.gather(
        *(site.restart("agent", s.host, s) for s in site.servers[:RESTARTED])
    )
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
    """Send a second request on a flow; a reset is recorded with the flow."""
    try:
        await flow.request(b"second %d" % number, DEADLINE_SECONDS)
    except standins.FlowResetError:
        return


async def run(site, is_disrupted):
    """Return how many open flows were reset by the system, and how many there were."""
    await site.start()
    await restart_during_freeze(site, is_disrupted)
    await site.wait_until(lambda: len(site.caller.in_rotation) == len(site.entries), 20)
    await asyncio.sleep(2 * CONTACT_SECONDS)
    flows = await open_flows(site)
    await asyncio.sleep(CONTACT_SECONDS)
    restarted = [
        asyncio.create_task(site.restart("agent", s.host, s))
        for s in site.servers[:RESTARTED]
    ]
    await asyncio.sleep(0.3)
    await asyncio.gather(*(use_flow(flow, n) for n, flow in enumerate(flows)))
    await asyncio.gather(*restarted)
    hosts = {server.name for server in site.servers[:RESTARTED]}
    used = [flow for flow in flows if flow.server in hosts]
    return sum(flow.is_reset for flow in flows), len(flows), len(used)


async def main():
    """Run the case and return the exit code."""
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    site = standins.Site(FOLDER, [SERVICE] * SERVERS)
    try:
        reset, opened, used = await run(site, is_disrupted)
        site.record.write(
            f"result: {reset} of {opened} open flows were reset by the system;"
            f" {used} were at restarted agents"
        )
        if used < 4:
            return 2
        return 1 if reset else 0
    except (TimeoutError, OSError) as error:
        site.record.write(f"result: the case could not run: {error!r}")
        return 2
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
