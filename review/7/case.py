"""A new entry resets open flows after the entries of a zone were replaced.

The entries that stay are not listed in the store: the contact slots belong to leases of
entries that have left. A new entry and a new agent find only each other there, take
themselves for the whole fleet, and the new entry resets flows that it is sent.
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
SERVERS = 5
FIRST_SERVERS = 4
FIRST_ENTRIES = 3
ENTRIES = 6
CONTACT_SECONDS = standins.BOUNDS["contact_ms"] / 1000
LEASE_SECONDS = 40.0
FLOWS = 36
PAUSE_SECONDS = 0.5
DEADLINE_SECONDS = 5.0
CHECKED_SECONDS = 16.0
IDLE_SECONDS = 9.0
SEED_LAG_SECONDS = 3.0


async def remove_entry(site, host):
    """Stop an entry for good, as an operator does who takes its machine away."""
    site.signal(host, signal.SIGTERM)
    await site.wait_for_exit(host)
    site.caller.removed.add(host)
    site.record.write(f"platform: {host} has left for good")


async def use_flow(flow, number, ends_at):
    """Send requests on a flow, one after the other, until it is reset.

    Every other flow is idle at first, until long after the new entry has started.
    """
    requests = 0
    await asyncio.sleep(IDLE_SECONDS * (number % 2))
    try:
        while time.monotonic() < ends_at:
            await flow.request(b"request %d/%d" % (number, requests), DEADLINE_SECONDS)
            requests += 1
            await asyncio.sleep(PAUSE_SECONDS)
    except standins.FlowResetError:
        return


async def replace_entries(site):
    """Add two entries and remove the first three; the slot of the first one is free."""
    for host in site.entries[FIRST_ENTRIES:-1]:
        site.start_process("entry", host)
    await site.wait_until(lambda: len(site.caller.in_rotation) == ENTRIES - 1, 20)
    await asyncio.sleep(CONTACT_SECONDS)
    first = site.store.holder_of_first_slot()
    others = [host for host in site.entries[:FIRST_ENTRIES] if host != first]
    await remove_entry(site, first)
    await site.wait_until(
        lambda: site.store.holder_of_first_slot() is None, LEASE_SECONDS
    )
    site.record.write("store: the lease of the first contact slot has ended")
    await asyncio.gather(*(remove_entry(site, host) for host in others))
    return others


def rename_seeds(site):
    """Name entries that run as seeds in the settings of the new machines."""
    site.seeds = site.entries[FIRST_ENTRIES:-1]
    site.rewrite_settings("entry", site.entries[-1])
    site.rewrite_settings("agent", site.servers[-1].host, site.servers[-1])
    site.record.write(f"platform: the settings name {', '.join(site.seeds)} as seeds")


async def run(site, is_disrupted):
    """Return how many open flows were reset by the system, and how many there were."""
    await site.start(FIRST_ENTRIES, FIRST_SERVERS)
    await asyncio.sleep(CONTACT_SECONDS)
    left = await replace_entries(site)
    service = site.addresses[SERVICE]
    opened = [await site.caller.open_flow(service) for _ in range(FLOWS)]
    flows = [flow for flow in opened if flow is not None]
    # What new machines are told: stale seeds, or some that run.
    site.seeds = left if is_disrupted else site.entries[FIRST_ENTRIES:-1]
    site.start_process("entry", site.entries[-1])
    site.start_process("agent", site.servers[-1].host, site.servers[-1])
    ends_at = time.monotonic() + CHECKED_SECONDS
    using = [use_flow(flow, n, ends_at) for n, flow in enumerate(flows)]
    traffic = asyncio.gather(*using)
    await asyncio.sleep(standins.SERVER_DELAY_SECONDS)
    await site.servers[-1].start()
    await asyncio.sleep(SEED_LAG_SECONDS - standins.SERVER_DELAY_SECONDS)
    rename_seeds(site)
    await traffic
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
