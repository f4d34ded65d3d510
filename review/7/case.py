"""A configuration is not in force for many seconds after a planned rolling restart.

The restarted entries leave all contact slots of their zone to leases of processes that
have ended. No process renews a lease then, and nobody notices that the open connections
to the store have gone silent.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "6"))

import standins  # noqa: E402

SERVICES = ("board", "board", "plans")
ENTRIES = 3
CONTACT_SECONDS = standins.BOUNDS["contact_ms"] / 1000
APPLY_SECONDS = standins.BOUNDS["config_apply_ms"] / 1000
RESTART_GAP_SECONDS = 1.0
CHECKED_SECONDS = 8.0
PAUSE_SECONDS = 0.25
MARGIN_SECONDS = 0.5


async def restart_entries(site):
    """Restart all entries in turn, as a roll-out does."""
    for host in site.entries:
        await site.restart("entry", host)

        await asyncio.sleep(RESTART_GAP_SECONDS)
    await site.wait_until(lambda: len(site.caller.in_rotation) == len(site.entries), 20)


async def run_service(site, number):
    """Return the service that runs a new request to the first address."""
    flow = await site.caller.open_flow(site.addresses["board"])
    answer = await flow.request(b"order %d" % number, 2.0) if flow else None
    if answer is None:
        return None
    return next(s.service for s in site.servers if s.name == flow.server)


async def run(site, is_disrupted):
    """Return how many requests were run by the old service, and how many by any."""
    await site.start()
    await restart_entries(site)
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    # A first change, which is in force at once: the requests of all watches begin anew.
    site.store.write_configuration(site.configuration(4, idle_timeout_ms=14000))
    await asyncio.sleep(1.0)
    if is_disrupted:
        site.store.silence_connections()
    await asyncio.sleep(CONTACT_SECONDS)
    moved = {"plans": site.addresses["board"]}
    site.store.write_configuration(site.configuration(9, moved))
    await asyncio.sleep(APPLY_SECONDS + MARGIN_SECONDS)
    services = []
    for number in range(int(CHECKED_SECONDS / PAUSE_SECONDS)):
        services.append(await run_service(site, number))
        await asyncio.sleep(PAUSE_SECONDS)
    return services.count("board"), services.count("plans")


async def main():
    """Run the case and return the exit code."""
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    site = standins.Site(FOLDER, SERVICES, entries=ENTRIES)
    try:
        old, new = await run(site, is_disrupted)
        site.record.write(
            f"result: later than config_apply_ms after the acknowledgement {old}"
            f" requests were run by the old service, {new} by the new one"
        )
        if not old + new:
            return 2
        return 1 if old else 0
    except (TimeoutError, OSError) as error:
        site.record.write(f"result: the case could not run: {error!r}")
        return 2
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
