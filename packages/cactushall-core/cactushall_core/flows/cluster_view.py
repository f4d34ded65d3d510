"""An entry's view of the cluster, and whether that view is complete."""

from __future__ import annotations

import random

from cactushall_core import identifiers
from cactushall_core.flows import (
    directory,
    exclusions,
    known_entries,
    packets,
    routes,
    slow_start,
)
from cactushall_core.membership import completeness

STALE_AFTER_PAUSE_SECONDS = 0.1


class ClusterView:
    """Routes, agents and entries, and the evidence that no other agents exist."""

    def __init__(self, rng: random.Random) -> None:
        """Start without routes and members.

        Args:
            rng: Source of random choices.
        """
        self._agents = directory.AgentDirectory()
        self._entries = known_entries.KnownEntries()
        self._route_table = routes.EMPTY
        self._newest_revision = routes.EMPTY.revision
        self._evidence: completeness.Evidence | None = None
        self._stale_until = float("-inf")
        self._evacuated: frozenset[identifiers.ZoneName] = frozenset()
        self._slow_start = slow_start.SlowStart(rng)
        # Service addresses of former revisions that have no route any more.
        self._dropped_addresses: set[routes.ServiceAddress] = set()

    @property
    def evidence(self) -> completeness.Evidence | None:
        """Why all agents are known, None where some may not be."""
        return self._evidence

    @property
    def agents(self) -> directory.AgentDirectory:
        """All agents."""
        return self._agents

    @property
    def entries(self) -> known_entries.KnownEntries:
        """The other entries."""
        return self._entries

    @property
    def route_table(self) -> routes.RouteTable:
        """The current routes."""
        return self._route_table

    @property
    def evacuated(self) -> frozenset[identifiers.ZoneName]:
        """The evacuated availability zones."""
        return self._evacuated

    def update_evacuated(
        self, zones: frozenset[identifiers.ZoneName], now: float
    ) -> None:
        """Replace the evacuated zones; those that return get new flows gradually."""
        self._slow_start.start(self._evacuated - zones, now)
        self._evacuated = zones

    def tick(self, now: float) -> None:
        """Increase the load of zones that have returned to service."""
        self._slow_start.tick(now)

    def accepting(self, service: identifiers.ServiceName) -> list[directory.Agent]:
        """Return the agents that may get the next new flow of a service.

        Agents of evacuated zones are left out; those of zones that have returned
        recently are held back from some of the flows, which is drawn for each flow.
        """
        accepting = self.eligible(service)
        self._slow_start.hold_back(accepting)
        return accepting

    def eligible(self, service: identifiers.ServiceName) -> list[directory.Agent]:
        """Return the agents that may get new flows of a service, without a draw."""
        accepting = self._agents.accepting(service)
        if not self._evacuated:
            return accepting
        return [a for a in accepting if a.member.zone not in self._evacuated]

    def update_routes(self, table: routes.RouteTable) -> None:
        """Replace the routes by a newer revision."""
        self._dropped_addresses |= self._route_table.routes.keys()
        self._dropped_addresses -= table.routes.keys()
        self._route_table = table

    def record_revision(self, revision: identifiers.Revision) -> None:
        """Record that a member has told of a revision of the routes."""
        self._newest_revision = max(self._newest_revision, revision)

    def certainly_lacks_route(self, flow: packets.FlowId) -> bool:
        """Return whether the flow's route was dropped, or never existed.

        Where this entry has not seen the route dropped, a revision that it has not
        adopted may have it. While the table of members is incomplete, there may be a
        newer one of which no member has told.
        """
        if self._route_table.find(flow) is not None:
            return False
        address = routes.address_of(flow)
        is_newest = self._route_table.revision >= self._newest_revision
        return address in self._dropped_addresses or (self.is_complete and is_newest)

    def exclusion(
        self, agent: directory.Agent, service: identifiers.ServiceName
    ) -> exclusions.Exclusion | None:
        """Return why `accepting` leaves out an agent, None where it does not."""
        if agent.member.zone in self._evacuated:
            return exclusions.Exclusion.EVACUATED
        return agent.find_exclusion(service)

    def cold_refill_per_second(self, agent: directory.Agent) -> float:
        """Return this entry's part of the new flows that a cold server may get.

        All entries spend the refill of its allowance.
        """
        limits = self._route_table.cold_limits
        rates = [
            limits[endpoint.service].requests_per_second
            for endpoint in agent.member.endpoints
            if endpoint.service in limits
        ]
        return min(rates, default=0.0) / max(1, len(self._entries))

    def handle_pause(self, now: float) -> None:
        """Record that this process was paused until now, and has missed updates."""
        self._evidence = None
        self._stale_until = now + STALE_AFTER_PAUSE_SECONDS

    def is_stale(self, now: float) -> bool:
        """Return whether packets that arrive now may have queued during a pause."""
        return now < self._stale_until

    def update_evidence(self, evidence: completeness.Evidence | None) -> None:
        """Set why all agents are known, None where some may not be."""
        self._evidence = evidence

    @property
    def is_complete(self) -> bool:
        """Whether the routes and all agents are known."""
        return self.evidence is not None and self._route_table.is_known
