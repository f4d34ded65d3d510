"""The queue of flows for which no agent has capacity, separate for each service.

Made for routes of several priorities whose callers compete for one service, while a
burst of one route could fill the queue, and for services that share the entries.
"""

from __future__ import annotations

import collections.abc
import itertools
import typing

import msgspec

from cactushall_core import identifiers
from cactushall_core.flows import packets, queue_limits, routes

MIN_LIMIT = 2


class Verdict(msgspec.Struct, frozen=True):
    """Whether a flow was queued.

    Attributes:
        is_queued: Whether it was queued.
        displaced: The flow that had to leave the queue for it.
    """

    is_queued: bool
    displaced: packets.FlowId | None = None


class RouteQueue(msgspec.Struct):
    """The queued flows of one route to one service.

    Attributes:
        route: The route.
        flows: The flows, the oldest first.
        last_turn: Number of the turn in which a flow of it was last placed.
    """

    route: routes.Route
    flows: dict[packets.FlowId, None] = msgspec.field(default_factory=dict)
    last_turn: int = 0


class ServiceQueue:
    """The queued flows of one service."""

    def __init__(self) -> None:
        """Start without flows."""
        self._routes: dict[routes.ServiceAddress, RouteQueue] = {}
        self._turns = itertools.count(1)
        self._size = 0

    def __len__(self) -> int:
        """Return the number of flows."""
        return self._size

    @property
    def lengths(self) -> list[tuple[routes.Route, int]]:
        """The routes that have queued flows, and how many."""
        return [
            (queue.route, len(queue.flows))
            for queue in self._routes.values()
            if queue.flows
        ]

    def add(
        self, flow_id: packets.FlowId, route: routes.Route, limit: float, share: int
    ) -> Verdict:
        """Queue a flow, at the expense of another where the queue is full.

        Args:
            flow_id: The flow, which is not queued.
            route: Its route.
            limit: Maximum number of flows.
            share: Number of flows that each route may queue in any case.
        """
        queue = self._routes.setdefault(route.address, RouteQueue(route))
        queue.route = route
        displaced = None
        if self._size >= limit:
            victim = self._find_victim(queue, share)
            if victim is None:
                return Verdict(False)
            displaced = next(iter(victim.flows))
            self.remove(displaced)
        queue.flows[flow_id] = None
        self._size += 1
        return Verdict(True, displaced)

    def has_room(self, route: routes.Route, limit: float, share: int) -> bool:
        """Return whether `add` would queue one more flow of a route."""
        queue = self._routes.get(route.address) or RouteQueue(route)
        return self._size < limit or self._find_victim(queue, share) is not None

    def must_shed(self, route: routes.Route, limit: float, share: int) -> bool:
        """Return whether a queued flow of a route has to leave the full queue.

        Only flows of the lowest queued priority leave, and those within the share of
        their route only where no other route has queued flows.
        """
        if self._size < limit:
            return False
        queues = [queue for queue in self._routes.values() if queue.flows]
        if route.priority < max(queue.route.priority for queue in queues):
            return False
        return len(queues) == 1 or len(self._routes[route.address].flows) > share

    def remove(self, flow_id: packets.FlowId) -> None:
        """Remove a flow."""
        address = routes.address_of(flow_id)
        del self._routes[address].flows[flow_id]
        self._size -= 1

    def record_turn(self, address: routes.ServiceAddress) -> None:
        """Record that a flow of a route is placed, so that others are next."""
        queue = self._routes.get(address)
        if queue is not None:
            queue.last_turn = next(self._turns)

    def is_ahead(self, route: routes.Route) -> bool:
        """Return whether flows of other routes are queued that go before a new flow."""
        return any(
            queue.flows
            and queue.route.address != route.address
            and queue.route.priority <= route.priority
            for queue in self._routes.values()
        )

    def in_order(
        self, is_due: collections.abc.Callable[[int], bool]
    ) -> list[packets.FlowId]:
        """Return the flows in the order in which they should be placed.

        Flows of a higher priority come first, but for one flow of each priority that
        is due. Routes of one priority alternate, beginning with the one whose latest
        turn is the longest ago; within a route the newest flow comes first, since the
        callers of the oldest have the least time left for an answer.

        Args:
            is_due: Returns whether a priority is owed a flow.
        """
        by_priority: dict[int, list[RouteQueue]] = {}
        for queue in self._routes.values():
            if queue.flows:
                by_priority.setdefault(queue.route.priority, []).append(queue)
        ordered: list[packets.FlowId] = []
        owed: list[packets.FlowId] = []
        for priority in sorted(by_priority):
            flows = _alternate(by_priority[priority])
            if is_due(priority):
                owed.append(flows.pop(0))
            ordered += flows
        return owed + ordered

    def _find_victim(self, newcomer: RouteQueue, share: int) -> RouteQueue | None:
        """Return the route that loses its oldest flow to a newcomer's.

        A route within its share takes back what others have borrowed; one beyond it
        only what lower priorities have borrowed.
        """
        is_within_share = len(newcomer.flows) < share
        borrowers = [
            queue
            for queue in self._routes.values()
            if queue is not newcomer
            and len(queue.flows) > share
            and (is_within_share or queue.route.priority > newcomer.route.priority)
        ]
        return max(
            borrowers,
            key=lambda queue: (queue.route.priority, len(queue.flows)),
            default=None,
        )


class FlowQueue:
    """The queues of all services."""

    def __init__(self) -> None:
        """Start without flows."""
        self._services: dict[identifiers.ServiceName, ServiceQueue] = {}
        self._service_of: dict[packets.FlowId, identifiers.ServiceName] = {}

    def __len__(self) -> int:
        """Return the number of flows of all services."""
        return len(self._service_of)

    def __contains__(self, flow_id: object) -> bool:
        """Return whether a flow is queued."""
        return flow_id in self._service_of

    @property
    def services(self) -> list[identifiers.ServiceName]:
        """The services that have queued flows."""
        return [service for service, queue in self._services.items() if len(queue)]

    def of_service(self, service: identifiers.ServiceName) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self._services.get(service)
        if queue is None:
            queue = self._services[service] = ServiceQueue()
        return queue

    def add(
        self,
        flow_id: packets.FlowId,
        route: routes.Route,
        service: identifiers.ServiceName,
        agent_count: int,
        route_count: int,
    ) -> Verdict:
        """Queue a flow unless the queue of its service is full.

        A queued flow for which there is still no capacity keeps its position, unless
        the queue is full: then more flows wait than can be answered in time, and the
        callers of those that give way can try elsewhere at once.

        Args:
            flow_id: The flow.
            route: Its route.
            service: Its service.
            agent_count: Number of agents that may get it.
            route_count: Number of routes to the service.
        """
        limit, share = self._limits(route, service, agent_count, route_count)
        known = self._service_of.get(flow_id)
        if known == service:
            is_queued = not self._services[service].must_shed(route, limit, share)
            return Verdict(is_queued)
        if known is not None:
            self.remove(flow_id)
        verdict = self.of_service(service).add(flow_id, route, limit, share)
        if verdict.is_queued:
            self._service_of[flow_id] = service
        if verdict.displaced is not None:
            del self._service_of[verdict.displaced]
        return verdict

    def has_room(
        self,
        route: routes.Route,
        service: identifiers.ServiceName,
        agent_count: int,
        route_count: int,
    ) -> bool:
        """Return whether `add` would queue a new flow of a route."""
        limit, share = self._limits(route, service, agent_count, route_count)
        return self.of_service(service).has_room(route, limit, share)

    def _limits(
        self,
        route: routes.Route,
        service: identifiers.ServiceName,
        agent_count: int,
        route_count: int,
    ) -> tuple[float, int]:
        """Return the limit of a service's queue, and the guaranteed share of a route.

        They are the same for all its routes, so that none takes another's share by a
        wider limit of its own.
        """
        queued = [other for other, _ in self.of_service(service).lengths]
        limits = map(queue_limits.limits_of, [route, *queued])
        flows_per_agent = max(limit.flows_per_agent for limit in limits)
        limit = max(MIN_LIMIT, flows_per_agent * agent_count)
        return limit, max(1, int(limit / route_count))

    def remove(self, flow_id: packets.FlowId) -> None:
        """Remove a flow where it is queued."""
        service = self._service_of.pop(flow_id, None)
        if service is not None:
            self._services[service].remove(flow_id)


def _alternate(queues: typing.Sequence[RouteQueue]) -> list[packets.FlowId]:
    """Return the flows of some routes, one of each route in turn."""
    ordered = sorted(queues, key=lambda queue: queue.last_turn)
    rounds = itertools.zip_longest(*(reversed(queue.flows) for queue in ordered))
    return [flow_id for turn in rounds for flow_id in turn if flow_id is not None]
