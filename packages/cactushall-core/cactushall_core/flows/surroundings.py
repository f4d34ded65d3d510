"""What an entry knows of routes and agents, and whether it knows all of them."""

from __future__ import annotations

from cactushall_core.flows import directory, routes

YOUNG_SECONDS = 0.6
STABLE_SECONDS = 0.3
STALE_SECONDS = 0.1


class Surroundings:
    """Routes and agents, with the time since which they have been met."""

    def __init__(self, now: float) -> None:
        """Know nothing yet."""
        self._agents = directory.Directory()
        self._table = routes.EMPTY
        self._settling_since = now
        self._stale_until = float("-inf")

    @property
    def agents(self) -> directory.Directory:
        """All agents."""
        return self._agents

    @property
    def table(self) -> routes.RouteTable:
        """The routes in force."""
        return self._table

    def adopt(self, table: routes.RouteTable) -> None:
        """Use a newer revision of the routes from now on."""
        self._table = table

    def note_pause(self, now: float) -> None:
        """Note that this process stood still until now."""
        self._settling_since = now
        self._stale_until = now + STALE_SECONDS

    def is_stale(self, now: float) -> bool:
        """Tell whether packets that come now may have waited through a pause."""
        return now < self._stale_until

    def is_settled(self, now: float) -> bool:
        """Tell whether there was time to meet all agents."""
        is_old = now - self._settling_since >= YOUNG_SECONDS
        is_stable = now - self._agents.changed_at >= STABLE_SECONDS
        return is_old and is_stable and self._table.is_known
