"""Drain of one endpoint's flows, and their rebalancing, by moves."""

from __future__ import annotations

import asyncio
import collections.abc

from cactushall_core import identifiers, peering
from cactushall_daemon import events, logs
from cactushall_daemon.agent import flow, moves, peers, requests

log = logs.get_logger(__name__)

IDLE_SECONDS = 0.1
REBALANCE_SECONDS = 1.0
WAIT_REPORT_SECONDS = 10.0
CONCURRENT_MOVES = 8


class Drain:
    """Moves open flows to peers while the endpoint drains or has too many."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        flows: set[flow.Flow],
        desk: requests.RequestDesk,
        known_peers: peers.Peers,
        departures: moves.Departures,
    ) -> None:
        """Start with no drain.

        Args:
            service: The service.
            flows: The endpoint's flows, which change all the time.
            desk: The endpoint's requests.
            known_peers: The other agents.
            departures: Carries out moves.
        """
        self._service = service
        self._flows = flows
        self._desk = desk
        self._peers = known_peers
        self._departures = departures
        self._loop = asyncio.get_running_loop()
        self._is_draining = False
        self._waiting = 0
        self._reported_at = float("-inf")

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint takes no new work."""
        return self._is_draining

    @property
    def waiting_count(self) -> int:
        """How many flows wait for a receiver with room."""
        return self._waiting

    @property
    def is_empty(self) -> bool:
        """Whether all flows have gone and their callers use their new homes."""
        return not self._flows and not self._departures.switching_count

    def set_draining(self, is_draining: bool) -> None:
        """Begin or withdraw a drain."""
        if is_draining == self._is_draining:
            return
        self._is_draining = is_draining
        self._waiting = 0
        self._desk.set_draining(is_draining)
        event = events.Event.DRAIN_WITHDRAWN
        if is_draining:
            event = events.Event.DRAIN_BEGAN
        log.info(event, service=self._service, flows=len(self._flows))

    async def run(self, load: collections.abc.Callable[[], peering.LoadReport]) -> None:
        """Move flows as needed, until cancelled.

        Args:
            load: Returns the endpoint's true load.
        """
        rebalance_at = self._loop.time() + REBALANCE_SECONDS
        while True:
            await asyncio.sleep(IDLE_SECONDS)
            if self._is_draining:
                await self._drain_some()
            elif self._loop.time() >= rebalance_at:
                rebalance_at = self._loop.time() + REBALANCE_SECONDS
                await self._rebalance(load())

    async def _drain_some(self) -> None:
        """Move flows until one round finds no room, waiting requests first."""
        pending = sorted(self._flows, key=self._desk.has_queued)
        stuck: list[flow.Flow] = []
        is_room_left = True

        async def work() -> None:
            nonlocal is_room_left
            while pending and self._is_draining and is_room_left:
                moved = pending.pop()
                home = self._peers.placement.receiver(self._loop.time())
                outcome = await self._departures.move(moved, home)
                if outcome is moves.MoveOutcome.NO_RECEIVER:
                    stuck.append(moved)
                    is_room_left = home is not None

        await asyncio.gather(*(work() for _ in range(CONCURRENT_MOVES)))
        self._waiting = len(stuck) + (0 if is_room_left else len(pending))
        self._report_waiting()

    def _report_waiting(self) -> None:
        now = self._loop.time()
        if self._waiting and now - self._reported_at >= WAIT_REPORT_SECONDS:
            self._reported_at = now
            log.warning(
                events.Event.DRAIN_WAITS, service=self._service, flows=self._waiting
            )

    async def _rebalance(self, own: peering.LoadReport) -> None:
        surplus = self._peers.placement.surplus(own, self._loop.time())
        for moved in list(self._flows):
            if surplus <= 0:
                return
            home = self._peers.placement.emptiest(own, self._loop.time())
            outcome = await self._departures.move(moved, home)
            if outcome is moves.MoveOutcome.MOVED:
                surplus -= 1
            elif outcome is moves.MoveOutcome.NO_RECEIVER:
                return
