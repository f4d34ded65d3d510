"""An entry's view of routes and agents, and whether that view is complete."""

from __future__ import annotations

from cactushall_core.flows import directory, routes

STARTUP_SETTLE_SECONDS = 0.6
MEMBERSHIP_SETTLE_SECONDS = 0.3
STALE_AFTER_PAUSE_SECONDS = 0.1


class ClusterView:
    """Routes and agents, and how long the view has been undisturbed."""

    def __init__(self, now: float) -> None:
        """Start without routes and agents."""
        self._agents = directory.AgentDirectory()
        self._route_table = routes.EMPTY
        self._settling_since = now
        self._stale_until = float("-inf")

    @property
    def agents(self) -> directory.AgentDirectory:
        """All agents."""
        return self._agents

    @property
    def route_table(self) -> routes.RouteTable:
        """The current routes."""
        return self._route_table

    def update_routes(self, table: routes.RouteTable) -> None:
        """Replace the routes by a newer revision."""
        self._route_table = table

    def handle_pause(self, now: float) -> None:
        """Record that this process was paused until now."""
        self._settling_since = now
        self._stale_until = now + STALE_AFTER_PAUSE_SECONDS

    def is_stale(self, now: float) -> bool:
        """Return whether packets that arrive now may have queued during a pause."""
        return now < self._stale_until

    def is_settled(self, now: float) -> bool:
        """Return whether there was time to discover all agents."""
        has_started = now - self._settling_since >= STARTUP_SETTLE_SECONDS
        is_stable = now - self._agents.changed_at >= MEMBERSHIP_SETTLE_SECONDS
        return has_started and is_stable and self._route_table.is_known
