"""Runs 500 feeds on 7 servers in 3 zones through planned and unplanned changes.

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

DRAIN_TIMEOUT_SECONDS = 60.0
OUTAGE_SECONDS = 60.0


async def wait_until_drained(site: site_standin.Site, server_names: list[str]) -> float:
    """Wait until servers have no flows left, and return how many seconds it took."""
    started_at = time.monotonic()

    async def has_drained() -> bool:
        for name in server_names:
            status = await site.client.status(site.control_address(name))
            endpoint = status.endpoints[0]
            if endpoint.flows or endpoint.flows_switching:
                return False
        return True

    await site_standin.wait_until(has_drained, DRAIN_TIMEOUT_SECONDS)
    return time.monotonic() - started_at


def run(feed_count: int, folder: pathlib.Path) -> list[results.Figure]:
    """Drain a server and a zone, then interrupt the store, entries and an agent.

    Args:
        feed_count: Number of feeds to open.
        folder: Folder for the site's files.

    Returns:
        What the feeds have lost, and how long the drains took.
    """
    world = world_module.World(folder)
    try:
        world.start(site_standin.kalymnos_plan())
        site = world.site
        assert site is not None
        world.run(world.open_feeds(feed_count, "swap-desk"))
        print("feeds are open", flush=True)
        world.run(site.reconfigure(drained_nodes=("desk-0",)))
        drain_seconds = world.run(wait_until_drained(site, ["desk-0"]))
        print(f"drained in {drain_seconds:.1f} s", flush=True)
        world.run(site.reconfigure(closed_zones=("attica-2",)))
        zone_drain_seconds = world.run(wait_until_drained(site, ["desk-1", "desk-4"]))
        print(f"zone closed in {zone_drain_seconds:.1f} s", flush=True)
        site.kill("store")
        outage_started_at = time.monotonic()
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
        time.sleep(max(0.0, OUTAGE_SECONDS - (time.monotonic() - outage_started_at)))
        broken_feeds = len(world.broken_feeds())
        lost_events = sum(feed.lost_count for feed in world.feeds)
        duplicate_events = sum(feed.duplicate_count for feed in world.feeds)
        received_events = sum(len(feed.events) for feed in world.feeds)
    finally:
        world.close()
    return [
        results.Figure("feeds", feed_count, ""),
        results.Figure("events received", received_events, ""),
        results.Figure("broken feeds", broken_feeds, "", 0.0),
        results.Figure("events lost", lost_events, "", 0.0),
        results.Figure("events doubled", duplicate_events, "", 0.0),
        results.Figure("drain of one server", drain_seconds, "s"),
        results.Figure("close of one zone", zone_drain_seconds, "s"),
    ]


def main() -> None:
    """Run the changes with the given number of feeds and report the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--feeds", type=int, default=500)
    feeds = parser.parse_args().feeds
    with tempfile.TemporaryDirectory() as folder:
        results.report("flows", run(feeds, pathlib.Path(folder)))


if __name__ == "__main__":
    main()
