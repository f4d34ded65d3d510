"""Priorities of the routes of each service, and the minimum that each of them gets.

Made for routes of several priorities whose flows share backend servers of one slot,
while flows of one priority alone could use all capacity.
"""

from __future__ import annotations

import msgspec

from cactushall_core import identifiers
from cactushall_core.flows import routes

# The capacity of one slot beyond the regular limit that is kept for the highest
# priority: one request can wait there, whatever else the backend server runs.
RESERVED_REQUESTS_PER_SLOT = 1.0
# A priority gets one flow for every 8 flows of higher priorities.
MIN_SHARE = 0.125
MAX_CREDIT = 2.0
# A route that got none of so many openings of its service is not in use.
RECENT_OPENINGS = 100


class RouteUse(msgspec.Struct):
    """How a route to a service is used.

    Attributes:
        priority: Its priority.
        last_opening: Number of the service's opening that was its latest one.
    """

    priority: int
    last_opening: int


class ServiceUse(msgspec.Struct):
    """How the routes to a service are used.

    Attributes:
        openings: Number of openings of the service so far.
        routes: All routes to it, by address.
        priorities: The priorities of those in use, the highest first.
        route_count: How many of them are in use.
    """

    openings: int = 0
    routes: dict[routes.ServiceAddress, RouteUse] = msgspec.field(default_factory=dict)
    priorities: tuple[int, ...] = ()
    route_count: int = 0

    def update(self) -> None:
        """Find the routes in use."""
        oldest = self.openings - RECENT_OPENINGS
        used = [u.priority for u in self.routes.values() if u.last_opening >= oldest]
        self.priorities = tuple(sorted(set(used)))
        self.route_count = len(used)


class Priorities:
    """The priorities of each service, and the flows that each is owed.

    Only routes in use count: many are configured that get no flows, and would take the
    reserve and the shares from those that do. A new route counts as in use at first.

    Each admitted flow gives credit to the lower priorities of its service, and costs
    its own priority credit. A priority whose credit is at least 1 is due: its next flow
    is treated like one of the highest priority, so that no priority starves.
    """

    def __init__(self) -> None:
        """Start without routes."""
        self._table = routes.EMPTY
        self._uses: dict[identifiers.ServiceName, ServiceUse] = {}
        self._credits: dict[tuple[identifiers.ServiceName, int], float] = {}

    def update_routes(self, table: routes.RouteTable) -> None:
        """Replace the routes; nothing happens where the table is the same."""
        if table is self._table:
            return
        self._table = table
        former, self._uses = self._uses, {}
        for route in table.routes.values():
            for share in route.shares:
                known = former.get(share.service, ServiceUse())
                use = self._uses.setdefault(
                    share.service, ServiceUse(openings=known.openings)
                )
                last = known.routes.get(route.address)
                last_opening = known.openings if last is None else last.last_opening
                use.routes[route.address] = RouteUse(route.priority, last_opening)
        for use in self._uses.values():
            use.update()
        self._credits = {
            key: credit
            for key, credit in self._credits.items()
            if key[1] in self._known(key[0])
        }

    def record_opening(
        self, service: identifiers.ServiceName, address: routes.ServiceAddress
    ) -> None:
        """Record that a flow of a route is opened, whether it is admitted or not."""
        use = self._uses.get(service)
        route = use.routes.get(address) if use is not None else None
        if use is None or route is None:
            return
        use.openings += 1
        was_used = route.last_opening >= use.openings - RECENT_OPENINGS
        route.last_opening = use.openings
        if not was_used or use.openings % RECENT_OPENINGS == 0:
            use.update()

    def route_count(self, service: identifiers.ServiceName) -> int:
        """Return how many routes to a service are in use, at least 1."""
        use = self._uses.get(service)
        return max(1, use.route_count) if use is not None else 1

    def is_highest(self, service: identifiers.ServiceName, priority: int) -> bool:
        """Return whether no route in use to a service has a higher priority."""
        return priority <= min(self._known(service), default=priority)

    def is_due(self, service: identifiers.ServiceName, priority: int) -> bool:
        """Return whether a priority is owed a flow."""
        return self._credits.get((service, priority), 0.0) >= 1.0

    def reserved_requests(
        self, service: identifiers.ServiceName, priority: int
    ) -> float:
        """Return how many requests per slot a flow may use beyond the regular limit.

        It is 0 for a service whose routes in use all have one priority.
        """
        known = self._known(service)
        if len(known) < 2:
            return 0.0
        if priority == known[0] or self.is_due(service, priority):
            return RESERVED_REQUESTS_PER_SLOT
        return 0.0

    def record_admitted(self, service: identifiers.ServiceName, priority: int) -> None:
        """Record that a flow was admitted."""
        known = self._known(service)
        if len(known) < 2:
            return
        for other in known:
            key = (service, other)
            if other > priority:
                credit = self._credits.get(key, 0.0) + MIN_SHARE
                self._credits[key] = min(MAX_CREDIT, credit)
            elif other == priority:
                self._credits[key] = max(0.0, self._credits.get(key, 0.0) - 1.0)

    def _known(self, service: identifiers.ServiceName) -> tuple[int, ...]:
        use = self._uses.get(service)
        return use.priorities if use is not None else ()
