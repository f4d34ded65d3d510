"""The state of one scenario: a site, its callers and what they received."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import threading
import time
import uuid

from tests.standins import caller as caller_standin
from tests.standins import site as site_standin

FEED_SILENCE_SECONDS = 8.0
CALL_TIMEOUT_SECONDS = 120.0


@dataclasses.dataclass
class Feed:
    """The caller of one feed and the events that it received.

    Attributes:
        caller: The connection on which the feed is open.
        events: Event numbers in the order of arrival.
        last_event_at: Time of the last event, in seconds of the monotonic clock.
        is_broken: Whether the feed has ended.
    """

    caller: caller_standin.Caller
    events: list[int] = dataclasses.field(default_factory=list)
    last_event_at: float = 0.0
    is_broken: bool = False

    @property
    def lost_count(self) -> int:
        """Number of events missing between the first and the last."""
        if not self.events:
            return 0
        return self.events[-1] - self.events[0] + 1 - len(set(self.events))

    @property
    def duplicate_count(self) -> int:
        """Number of events that were received again."""
        return len(self.events) - len(set(self.events))


@dataclasses.dataclass
class Proposal:
    """One proposal and its answer.

    Attributes:
        key: Idempotency key of the request.
        status: HTTP status of the answer, 0 without one.
        outcome: Value of the `cactushall-outcome` header.
        seconds: Time until the answer or the failure.
        is_broken: Whether the connection or stream ended before the answer.
    """

    key: str
    status: int = 0
    outcome: str = ""
    seconds: float = 0.0
    is_broken: bool = False


class World:
    """Runs a site and its callers on an event loop in a separate thread.

    The steps of a scenario are synchronous, but feeds must go on between them.

    Attributes:
        site: The site, once it is started.
        feeds: All feeds that were opened.
        proposals: All proposals that were sent by `send_proposal`.
        tasks: Background tasks, cancelled at the end.
        results: Values that a step leaves for later steps.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._stack = contextlib.AsyncExitStack()
        self.site: site_standin.Site | None = None
        self.feeds: list[Feed] = []
        self.proposals: list[Proposal] = []
        self.tasks: list[asyncio.Task] = []
        self.results: dict = {}

    def run(self, coroutine):
        """Run a coroutine on the event loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(CALL_TIMEOUT_SECONDS)

    def spawn(self, coroutine):
        """Start a coroutine in the background and return its task."""

        async def start():
            task = asyncio.get_running_loop().create_task(coroutine)
            self.tasks.append(task)
            return task

        return self.run(start())

    def start(self, plan: site_standin.SitePlan) -> None:
        """Start a site and wait until it is ready."""

        async def start():
            running = site_standin.running_site(plan, self._folder)
            self.site = await self._stack.enter_async_context(running)

        self.run(start())

    def close(self) -> None:
        """Stop all tasks, connections and processes, and the event loop."""

        async def stop():
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            await self._stack.aclose()

        self.run(stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def open_caller(self, service: str) -> caller_standin.Caller:
        """Open a connection that stays open until the scenario ends."""
        address = self.site.service_address(service)
        return await self._stack.enter_async_context(caller_standin.connect(address))

    async def open_feeds(self, count: int, service: str) -> None:
        """Open feeds and wait for the first event of each."""
        for _ in range(count):
            feed = Feed(await self.open_caller(service))
            self.feeds.append(feed)
            task = asyncio.get_running_loop().create_task(self._receive_events(feed))
            self.tasks.append(task)

        async def all_started() -> bool:
            return all(feed.events for feed in self.feeds)

        await site_standin.wait_until(all_started, 30.0)

    async def _receive_events(self, feed: Feed) -> None:
        try:
            async for event in feed.caller.read_events():
                feed.events.append(event)
                feed.last_event_at = time.monotonic()
        except caller_standin.IncompleteResponseError:
            pass
        feed.is_broken = True

    def broken_feeds(self) -> list[Feed]:
        """Return the feeds that have ended or had no event for some seconds."""
        silent_since = time.monotonic() - FEED_SILENCE_SECONDS
        return [f for f in self.feeds if f.is_broken or f.last_event_at < silent_since]

    async def send_proposal(
        self, caller: caller_standin.Caller, path="/proposals", headers=None
    ) -> Proposal:
        """Send one proposal and record its answer."""
        proposal = Proposal(str(uuid.uuid4()))
        self.proposals.append(proposal)
        sent_at = time.monotonic()
        request_headers = {"idempotency-key": proposal.key, **(headers or {})}
        try:
            answer = await caller.request("POST", path, request_headers, b"offer")
            proposal.status = answer.status
            proposal.outcome = answer.headers.get("cactushall-outcome", "")
        except caller_standin.IncompleteResponseError:
            proposal.is_broken = True
        proposal.seconds = time.monotonic() - sent_at
        return proposal

    def run_count(self, key: str) -> int:
        """Return how many times a proposal ran, summed over all servers."""
        return sum(
            self.site.backend_statistics(endpoint.name)["runs"].get(key, 0)
            for endpoint in self.site.plan.endpoints
        )
