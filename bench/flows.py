"""500 feeds at 7 servers over 3 zones, through planned and unplanned changes.

python -m bench.flows [--feeds 500]
"""

from __future__ import annotations

import argparse
import pathlib
import tempfile
import time

from bench import results
from tests.scenarios import world as world_module
from tests.standins import site as site_standin

DRAIN_SECONDS = 60.0
OUTAGE_SECONDS = 60.0


async def drained(site: site_standin.Site, names: list[str]) -> float:
    """Wait until servers have no flows left and return the seconds it took."""
    started = time.monotonic()

    async def is_empty() -> bool:
        for name in names:
            status = await site.client.status(site.control_address(name))
            endpoint = status.endpoints[0]
            if endpoint.flows or endpoint.flows_switching:
                return False
        return True

    await site_standin.poll(is_empty, DRAIN_SECONDS)
    return time.monotonic() - started


def run(feeds: int, folder: pathlib.Path) -> list[results.Figure]:
    """Run all changes one after the other and together."""
    world = world_module.World(folder)
    try:
        world.start(site_standin.kalymnos())
        site = world.site
        assert site is not None
        world.run(world.open_feeds(feeds, "swap-desk"))
        print("feeds are open", flush=True)
        world.run(site.reconfigure(drained_nodes=("desk-0",)))
        drain = world.run(drained(site, ["desk-0"]))
        print(f"drained in {drain:.1f} s", flush=True)
        world.run(site.reconfigure(closed_zones=("attica-2",)))
        zone = world.run(drained(site, ["desk-1", "desk-4"]))
        print(f"zone closed in {zone:.1f} s", flush=True)
        site.kill("store")
        outage_began = time.monotonic()
        site.kill("entry-0")
        time.sleep(1)
        site.spray(2)
        site.suspend("entry-1")
        time.sleep(5)
        site.resume("entry-1")
        contact = str(site.control_address("entry-2"))
        entry = site_standin.EntryPlan("entry-9", "attica-1")
        site.start_entry(entry, contacts=(contact,))
        time.sleep(3)
        site.spray(3)
        assert world.run(site.terminate("desk-2")) == 0
        time.sleep(max(0.0, OUTAGE_SECONDS - (time.monotonic() - outage_began)))
        broken = len(world.broken_feeds())
        lost = sum(feed.lost for feed in world.feeds)
        doubled = sum(feed.doubled for feed in world.feeds)
        events = sum(len(feed.events) for feed in world.feeds)
    finally:
        world.close()
    return [
        results.Figure("feeds", feeds, ""),
        results.Figure("events received", events, ""),
        results.Figure("broken feeds", broken, "", 0.0),
        results.Figure("events lost", lost, "", 0.0),
        results.Figure("events doubled", doubled, "", 0.0),
        results.Figure("drain of one server", drain, "s"),
        results.Figure("close of one zone", zone, "s"),
    ]


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--feeds", type=int, default=500)
    feeds = parser.parse_args().feeds
    with tempfile.TemporaryDirectory() as folder:
        results.report("flows", run(feeds, pathlib.Path(folder)))


if __name__ == "__main__":
    main()
