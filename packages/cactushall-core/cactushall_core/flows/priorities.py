"""Priorities of the routes of each service, and the minimum that each of them gets.

Made for routes of several priorities whose flows share backend servers of one slot,
while flows of one priority alone could use all capacity.
"""

from __future__ import annotations

from cactushall_core import identifiers
from cactushall_core.flows import routes

# The capacity of one slot beyond the regular limit that is kept for the highest
# priority: one request can wait there, whatever else the backend server runs.
RESERVED_REQUESTS_PER_SLOT = 1.0
# A priority gets one flow for every 8 flows of higher priorities.
MIN_SHARE = 0.125
MAX_CREDIT = 2.0


class Priorities:
    """The priorities of each service, and the flows that each is owed.

    Each admitted flow gives credit to the lower priorities of its service, and costs
    its own priority credit. A priority whose credit is at least 1 is due: its next flow
    is treated like one of the highest priority, so that no priority starves.
    """

    def __init__(self) -> None:
        """Start without routes."""
        self._table = routes.EMPTY
        self._priorities: dict[identifiers.ServiceName, tuple[int, ...]] = {}
        self._route_counts: dict[identifiers.ServiceName, int] = {}
        self._credits: dict[tuple[identifiers.ServiceName, int], float] = {}

    def update_routes(self, table: routes.RouteTable) -> None:
        """Replace the routes; nothing happens where the table is the same."""
        if table is self._table:
            return
        self._table = table
        found: dict[identifiers.ServiceName, list[int]] = {}
        for route in table.routes.values():
            for share in route.shares:
                found.setdefault(share.service, []).append(route.priority)
        self._route_counts = {service: len(found[service]) for service in found}
        self._priorities = {s: tuple(sorted(set(found[s]))) for s in found}
        self._credits = {
            key: credit
            for key, credit in self._credits.items()
            if key[1] in self._priorities.get(key[0], ())
        }

    def route_count(self, service: identifiers.ServiceName) -> int:
        """Return how many routes lead to a service, at least 1."""
        return self._route_counts.get(service, 1)

    def is_highest(self, service: identifiers.ServiceName, priority: int) -> bool:
        """Return whether no route to a service has a higher priority."""
        return priority <= self._priorities.get(service, (priority,))[0]

    def is_due(self, service: identifiers.ServiceName, priority: int) -> bool:
        """Return whether a priority is owed a flow."""
        return self._credits.get((service, priority), 0.0) >= 1.0

    def reserved_requests(
        self, service: identifiers.ServiceName, priority: int
    ) -> float:
        """Return how many requests per slot a flow may use beyond the regular limit.

        It is 0 for a service whose routes all have one priority.
        """
        known = self._priorities.get(service, ())
        if len(known) < 2:
            return 0.0
        if priority == known[0] or self.is_due(service, priority):
            return RESERVED_REQUESTS_PER_SLOT
        return 0.0

    def record_admitted(self, service: identifiers.ServiceName, priority: int) -> None:
        """Record that a flow was admitted."""
        known = self._priorities.get(service, ())
        if len(known) < 2:
            return
        for other in known:
            key = (service, other)
            if other > priority:
                credit = self._credits.get(key, 0.0) + MIN_SHARE
                self._credits[key] = min(MAX_CREDIT, credit)
            elif other == priority:
                self._credits[key] = max(0.0, self._credits.get(key, 0.0) - 1.0)
