"""Demonstration: the site of Kalymnos Swapworks; one entry dies, another joins."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import sys
import tempfile
import uuid

from tests.standins import caller as caller_standin
from tests.standins import site as site_standin

TRADERS = 40
PROPOSALS_EACH = 10
PAUSE_SECONDS = 0.4
FEED_TIMEOUT_SECONDS = 5.0
PHOTO_BYTES = 2_000_000


@dataclasses.dataclass
class Tally:
    """Counts over all traders.

    Attributes:
        requests: Requests sent.
        answered: Requests with the right answer.
        feeds: Feeds opened.
        broken: Feeds that ended, went silent, or lost or repeated an event.
        events: Feed events received.
        keys: Idempotency keys of all proposals.
    """

    requests: int = 0
    answered: int = 0
    feeds: int = 0
    broken: int = 0
    events: int = 0
    keys: list[str] = dataclasses.field(default_factory=list)


async def watch_feed(
    caller: caller_standin.Caller, tally: Tally, stop: asyncio.Event
) -> None:
    """Read a feed; a lost or repeated event, a timeout or an end counts as broken."""
    tally.feeds += 1
    events = caller.read_events()
    last_event = None
    try:
        while not stop.is_set():
            event = await asyncio.wait_for(anext(events), FEED_TIMEOUT_SECONDS)
            if last_event is not None and event != last_event + 1:
                raise caller_standin.IncompleteResponseError
            last_event = event
            tally.events += 1
    except (caller_standin.IncompleteResponseError, StopAsyncIteration, TimeoutError):
        tally.broken += 1


async def trade(site: site_standin.Site, tally: Tally, number: int) -> None:
    """Keep a feed open and send proposals."""
    stop = asyncio.Event()
    address = site.service_address("swap-desk")
    async with caller_standin.connect(address) as caller:
        feed = asyncio.create_task(watch_feed(caller, tally, stop))
        for n in range(PROPOSALS_EACH):
            await asyncio.sleep(PAUSE_SECONDS)
            key = f"{number}-{n}-{uuid.uuid4()}"
            tally.requests += 1
            tally.keys.append(key)
            try:
                answer = await caller.request(
                    "POST", "/proposals", {"idempotency-key": key}, b"offer"
                )
            except caller_standin.IncompleteResponseError:
                continue
            tally.answered += answer.status == 200 and key.encode() in answer.body
        stop.set()
        await feed


async def fetch_photos(site: site_standin.Site, tally: Tally) -> None:
    """Fetch a photo set from the catalogue."""
    address = site.service_address("catalogue")
    async with caller_standin.connect(address) as caller:
        tally.requests += 1
        answer = await caller.request("GET", f"/photos/{PHOTO_BYTES}")
        tally.answered += len(answer.body) == PHOTO_BYTES


async def replace_entry(site: site_standin.Site) -> None:
    """Kill one entry and let another join."""
    await asyncio.sleep(1.5)
    print("demo: entry-1 is killed", flush=True)
    site.kill("entry-1")
    await asyncio.sleep(0.5)
    site.spray(2)
    print("demo: entry-3 joins", flush=True)
    site.start_entry(site_standin.EntryPlan("entry-3", "attica-2"))
    await asyncio.sleep(1.5)
    site.spray(3)


def count_doubled(site: site_standin.Site) -> int:
    """Return how many proposals ran more than once."""
    runs: dict[str, int] = {}
    for endpoint in site.plan.endpoints:
        for key, times in site.backend_statistics(endpoint.name)["runs"].items():
            runs[key] = runs.get(key, 0) + times
    return sum(times > 1 for times in runs.values())


async def main() -> int:
    """Run the demonstration and return the exit code."""
    tally = Tally()
    with tempfile.TemporaryDirectory(prefix="cactushall-demo-") as folder:
        print("demo: starting the processes of Kalymnos Swapworks", flush=True)
        async with site_standin.running_site(
            site_standin.kalymnos_plan(), pathlib.Path(folder)
        ) as site:
            print("demo: all processes are ready", flush=True)
            await asyncio.gather(
                *(trade(site, tally, number) for number in range(TRADERS)),
                *(fetch_photos(site, tally) for _ in range(4)),
                replace_entry(site),
            )
            doubled = count_doubled(site)
            for endpoint in site.plan.endpoints:
                counts = site.backend_statistics(endpoint.name)
                print(
                    f"  {endpoint.name:<14} {endpoint.service:<10} {endpoint.zone}"
                    f"  proposals {sum(counts['runs'].values()):>4}"
                    f"  most at once {counts['max_running']}"
                )
    lost = tally.requests - tally.answered
    print(f"  feed events received: {tally.events}")
    print(
        f"demo: requests {tally.requests} answered {tally.answered} lost {lost} "
        f"doubled {doubled} feeds {tally.feeds} broken {tally.broken}"
    )
    return 0 if lost == doubled == tally.broken == 0 else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
