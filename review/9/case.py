"""Restarted processes do not find each other while leases of lost machines run.

The contact slots in the store are held by entries that are lost for good, which are the
seeds of the settings as well. The others start again, each of them alone.
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
FIRST_ENTRIES = 3
ENTRIES = 5
DOWN_SECONDS = 1.3
RECOVERY_SECONDS = 12.0
TRAFFIC_SECONDS = 10.0
CONTACT_SECONDS = standins.BOUNDS["contact_ms"] / 1000
REQUESTS_PER_SECOND = 10
DEADLINE_SECONDS = 1.0


async def send_request(site, number):
    """Send a request on a flow of its own and return whether it is served."""
    flow = await site.caller.open_flow(site.addresses[SERVICE])
    try:
        answer = flow and await flow.request(b"order %d" % number, DEADLINE_SECONDS)
    except standins.FlowResetError:
        return False
    return answer is not None


async def send_requests(site, seconds):
    """Send requests for some time and return the share that is served."""
    sent = []
    for number in range(int(seconds * REQUESTS_PER_SECOND)):
        sent.append(asyncio.create_task(send_request(site, number)))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    served = await asyncio.gather(*sent)
    site.record.write(f"callers: {sum(served)} of {len(served)} requests were served")
    return sum(served) / len(served)


async def lose_power(site):
    """Kill all processes; the first entries are lost, the others start again."""
    hosts = [*site.entries, *(server.host for server in site.servers)]
    for host in hosts:
        site.signal(host, signal.SIGKILL)
    lost = site.entries[:FIRST_ENTRIES]
    site.caller.removed.update(lost)
    site.record.write(f"platform: lost for good: {', '.join(lost)}")
    await asyncio.sleep(DOWN_SECONDS)
    for host in site.entries[FIRST_ENTRIES:]:
        site.start_process("entry", host)
    for server in site.servers:
        site.start_process("agent", server.host, server)


async def run(site, is_disrupted):
    """Return the shares of requests served before the fault and after the recovery."""
    await site.start(FIRST_ENTRIES)
    await asyncio.sleep(CONTACT_SECONDS)
    for host in site.entries[FIRST_ENTRIES:]:
        site.start_process("entry", host)
    await site.wait_until(lambda: len(site.caller.in_rotation) == ENTRIES, 20)
    await asyncio.sleep(CONTACT_SECONDS)
    before = await send_requests(site, TRAFFIC_SECONDS / 2)
    site.store.write_configuration(site.configuration(5, idle_timeout_ms=14000))
    if is_disrupted:
        await lose_power(site)
    back_at = time.monotonic()
    traffic = asyncio.create_task(send_requests(site, RECOVERY_SECONDS))
    await traffic
    await asyncio.sleep(max(0.0, back_at + RECOVERY_SECONDS - time.monotonic()))
    site.record.write("callers: recovery_s is over")
    return before, await send_requests(site, TRAFFIC_SECONDS)


async def main():
    """Run the case and return the exit code."""
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    site = standins.Site(FOLDER, [SERVICE] * SERVERS, entries=ENTRIES)
    try:
        before, after = await run(site, is_disrupted)
        site.record.write(
            f"result: {before:.0%} of the requests were served before the fault,"
            f" {after:.0%} of those sent later than recovery_s after it"
        )
        if before < 1 / 4:
            return 2
        return 1 if after < 1 / 4 else 0
    except (TimeoutError, OSError, standins.FlowResetError) as error:
        site.record.write(f"result: the case could not run: {error!r}")
        return 2
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
