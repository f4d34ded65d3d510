"""Draining and rebalancing of one endpoint by moving its flows."""

from __future__ import annotations

import asyncio
import collections.abc

from cactushall_core import identifiers, peering
from cactushall_daemon import events, logs
from cactushall_daemon.agent import flow, moves, peers, requests

log = logs.get_logger(__name__)

POLL_INTERVAL_SECONDS = 0.1
REBALANCE_INTERVAL_SECONDS = 1.0
WAIT_LOG_INTERVAL_SECONDS = 10.0
MAX_CONCURRENT_MOVES = 8


class DrainController:
    """Moves flows to peers while the endpoint drains or has more than its share."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        flows: set[flow.Flow],
        dispatcher: requests.RequestDispatcher,
        known_peers: peers.Peers,
        outgoing_moves: moves.OutgoingMoves,
    ) -> None:
        """Start without draining.

        Args:
            service: The service.
            flows: The endpoint's open flows; the endpoint updates this set.
            dispatcher: The endpoint's requests.
            known_peers: The other agents.
            outgoing_moves: Carries out moves.
        """
        self._service = service
        self._flows = flows
        self._dispatcher = dispatcher
        self._peers = known_peers
        self._outgoing_moves = outgoing_moves
        self._loop = asyncio.get_running_loop()
        self._is_draining = False
        self._waiting_count = 0
        self._logged_at = float("-inf")

    @property
    def is_draining(self) -> bool:
        """Whether the endpoint accepts no new work."""
        return self._is_draining

    @property
    def waiting_count(self) -> int:
        """Number of flows that wait for a peer with free capacity."""
        return self._waiting_count

    @property
    def is_empty(self) -> bool:
        """Whether all flows have left and their callers use ids of their new homes."""
        return not self._flows and not self._outgoing_moves.switching_count

    def set_draining(self, is_draining: bool) -> None:
        """Start or cancel draining."""
        if is_draining == self._is_draining:
            return
        self._is_draining = is_draining
        self._waiting_count = 0
        self._dispatcher.set_draining(is_draining)
        event = events.Event.DRAIN_CANCELLED
        if is_draining:
            event = events.Event.DRAIN_STARTED
        log.info(event, service=self._service, flows=len(self._flows))

    async def run(
        self, make_load_report: collections.abc.Callable[[], peering.LoadReport]
    ) -> None:
        """Move flows as needed, until cancelled.

        Args:
            make_load_report: Returns the endpoint's current load.
        """
        rebalance_at = self._loop.time() + REBALANCE_INTERVAL_SECONDS
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if self._is_draining:
                await self._run_drain_round()
            elif self._loop.time() >= rebalance_at:
                rebalance_at = self._loop.time() + REBALANCE_INTERVAL_SECONDS
                await self._rebalance(make_load_report())

    async def _run_drain_round(self) -> None:
        """Try to move each flow, those with pending requests first.

        The round ends early when no peer has free capacity.
        """
        pending = sorted(self._flows, key=self._dispatcher.has_pending_requests)
        unplaced: list[flow.Flow] = []
        has_capacity = True

        async def move_pending() -> None:
            nonlocal has_capacity
            while pending and self._is_draining and has_capacity:
                candidate = pending.pop()
                home = self._peers.placement.reserve_receiver(self._loop.time())
                outcome = await self._outgoing_moves.move(candidate, home)
                if outcome is moves.MoveOutcome.NO_RECEIVER:
                    unplaced.append(candidate)
                    has_capacity = home is not None

        await asyncio.gather(*(move_pending() for _ in range(MAX_CONCURRENT_MOVES)))
        self._waiting_count = len(unplaced) + (0 if has_capacity else len(pending))
        self._log_waiting()

    def _log_waiting(self) -> None:
        now = self._loop.time()
        if self._waiting_count and now - self._logged_at >= WAIT_LOG_INTERVAL_SECONDS:
            self._logged_at = now
            log.warning(
                events.Event.DRAIN_WAITING,
                service=self._service,
                flows=self._waiting_count,
            )

    async def _rebalance(self, own: peering.LoadReport) -> None:
        excess = self._peers.placement.excess_flows(own, self._loop.time())
        for candidate in list(self._flows):
            if excess <= 0:
                return
            home = self._peers.placement.reserve_least_utilized(own, self._loop.time())
            outcome = await self._outgoing_moves.move(candidate, home)
            if outcome is moves.MoveOutcome.MOVED:
                excess -= 1
            elif outcome is moves.MoveOutcome.NO_RECEIVER:
                return
