"""Simulates the placement of flows on servers, compared with hashing alone.

Imbalance is the number of flows of the fullest server over the mean.

    python -m bench.placement
"""

from __future__ import annotations

import random
import statistics

from bench import results
from cactushall_core import identifiers, peering, placement
from cactushall_core.membership import records
from tests.core import builders, test_steering

SERVER_COUNT = 7
FLOW_COUNT = 10_000
PHASE_SECONDS = 20.0
STEP_SECONDS = 0.05
MAX_VIEW_AGE_SECONDS = 2.0
CONNECTION_LIMIT = 4000
SEEDS = 5
TARGET_IMBALANCE = 1.05


class Site:
    """Simulates servers that place flows, and entries that learn changes with a delay.

    Attributes:
        rng: Source of all random numbers.
        is_balancing: Whether servers place flows by load, else entries by hash only.
        now: Simulated time in seconds.
        agents: Records of the agents, one for each server.
        homes: Home IDs of the servers.
        flows: Number of flows of each server.
        draining: Servers that are drained.
        placements: What each server decides on the placement of flows.
        entries: Steering of each entry.
        pending_updates: Time, entry and record of each change not yet learned.
    """

    def __init__(self, entries: int, seed: int, *, is_balancing: bool) -> None:
        """Create servers without flows.

        Args:
            entries: Number of entries.
            seed: Seed of all random numbers.
            is_balancing: Whether servers place flows by load.
        """
        self.rng = random.Random(seed)
        self.is_balancing = is_balancing
        self.now = 0.0
        self.agents = [builders.make_agent(n) for n in range(SERVER_COUNT)]
        self.homes = [builders.home_of(agent) for agent in self.agents]
        self.flows = dict.fromkeys(self.homes, 0)
        self.draining: set[identifiers.HomeId] = set()
        self.placements = {
            home: placement.Placement(home, random.Random(seed)) for home in self.homes
        }
        self.entries = [
            test_steering.make_steering(self.agents) for _ in range(entries)
        ]
        self.pending_updates: list[tuple[float, int, records.Record]] = []
        self.set_eligible()

    def set_eligible(self) -> None:
        """Update every server's set of servers that take new flows."""
        eligible = set(self.homes) - self.draining
        for flow_placement in self.placements.values():
            flow_placement.set_eligible(eligible)

    def report(self, home: identifiers.HomeId) -> peering.LoadReport:
        """Return a server's load report."""
        return peering.LoadReport(
            builders.SWAP_DESK,
            home,
            self.flows[home],
            CONNECTION_LIMIT,
            0,
            0,
            1,
            0.02,
            home in self.draining,
        )

    def drain(self, number: int, incarnation: int, *, is_draining: bool) -> None:
        """Drain a server or put it back into service.

        Each entry learns it after a random delay of at most `MAX_VIEW_AGE_SECONDS`.

        Args:
            number: Number of the server.
            incarnation: Incarnation of its new record.
            is_draining: Whether to drain it.
        """
        home = self.homes[number]
        (self.draining.add if is_draining else self.draining.discard)(home)
        self.set_eligible()
        record = builders.make_agent(
            number, is_draining=is_draining, incarnation=incarnation
        )
        for index in range(len(self.entries)):
            delay = self.rng.random() * MAX_VIEW_AGE_SECONDS
            self.pending_updates.append((self.now + delay, index, record))

    def step(self, arrivals: int) -> None:
        """Advance the time by one step, in which some flows arrive."""
        self.now += STEP_SECONDS
        for update in [
            pending for pending in self.pending_updates if pending[0] <= self.now
        ]:
            self.pending_updates.remove(update)
            self.entries[update[1]].update_member(update[2])
        for _ in range(arrivals):
            self.place_flow()
        if self.is_balancing:
            self.balance()

    def place_flow(self) -> None:
        """Place one new flow."""
        cid = self.rng.randbytes(8)
        entry = self.rng.choice(self.entries)
        decision = entry.steer(
            builders.SWAP_DESK, test_steering.initial_packet(cid), "192.0.2.7", self.now
        )
        home = decision.home
        if self.is_balancing:
            first_home = home
            home = self.placements[first_home].place(
                cid, self.report(first_home), self.now
            )
            if home != first_home:
                self.flows[home] += 1
                self.placements[first_home].record_report(self.report(home), self.now)
                return
        self.flows[home] += 1

    def balance(self) -> None:
        """Let the servers exchange load reports and move flows."""
        for home, flow_placement in self.placements.items():
            report = self.report(home)
            if flow_placement.is_report_due(report, self.now):
                for other, other_placement in self.placements.items():
                    if other != home:
                        other_placement.record_report(report, self.now)
        for home, flow_placement in self.placements.items():
            self.move_flows(home, flow_placement)

    def move_flows(
        self, home: identifiers.HomeId, flow_placement: placement.Placement
    ) -> None:
        """Move flows away from a server that drains or has more than its share."""
        if home in self.draining:
            for _ in range(min(20, self.flows[home])):
                self.move_flow(home, flow_placement.reserve_receiver(self.now))
        elif round(self.now / STEP_SECONDS) % round(1 / STEP_SECONDS) == 0:
            for _ in range(flow_placement.excess_flows(self.report(home), self.now)):
                self.move_flow(
                    home,
                    flow_placement.reserve_least_utilized(self.report(home), self.now),
                )

    def move_flow(
        self, home: identifiers.HomeId, receiver: identifiers.HomeId | None
    ) -> None:
        """Move one flow to a receiver, if there is one."""
        if receiver is not None:
            self.flows[home] -= 1
            self.flows[receiver] += 1

    def imbalance(self) -> float:
        """Return the number of flows of the fullest server over the mean."""
        counts = list(self.flows.values())
        return max(counts) / statistics.mean(counts)


def open_flows(site: Site) -> float:
    """Open all flows and return the imbalance."""
    steps = round(PHASE_SECONDS / STEP_SECONDS)
    for _ in range(steps):
        site.step(FLOW_COUNT // steps)
    return site.imbalance()


def drain_and_reopen_zone(site: Site) -> float:
    """Drain the first zone for a while, reopen it and return the imbalance."""
    zone_servers = [number for number in range(SERVER_COUNT) if number % 3 == 0]
    for number in zone_servers:
        site.drain(number, 1, is_draining=True)
    for _ in range(round(PHASE_SECONDS / STEP_SECONDS)):
        site.step(0)
    for number in zone_servers:
        site.drain(number, 2, is_draining=False)
    for _ in range(round(3 * PHASE_SECONDS / STEP_SECONDS)):
        site.step(0)
    return site.imbalance()


def main() -> None:
    """Simulate both placements with few and many entries and report the figures."""
    figures = []
    for entries in (1, 50):
        for is_balancing in (False, True):
            filled_imbalances, reopened_imbalances = [], []
            for seed in range(SEEDS):
                site = Site(entries, seed, is_balancing=is_balancing)
                filled_imbalances.append(open_flows(site))
                if is_balancing:
                    reopened_imbalances.append(drain_and_reopen_zone(site))
            placement_name = "placed by load" if is_balancing else "hash only"
            target = TARGET_IMBALANCE if is_balancing else None
            figures.append(
                results.Figure(
                    f"{entries} entries, {placement_name}, 10,000 flows",
                    max(filled_imbalances),
                    "max/mean",
                    target,
                )
            )
            if is_balancing:
                figures.append(
                    results.Figure(
                        f"{entries} entries, {placement_name}, zone reopened",
                        max(reopened_imbalances),
                        "max/mean",
                        target,
                    )
                )
            else:
                figures.append(measure_hash_only_reopened(entries))
    results.report("placement", figures)


def measure_hash_only_reopened(entries: int) -> results.Figure:
    """Return the baseline's imbalance after a zone is reopened.

    All flows arrive while the zone drains, placed by hash only; none moves back to it.

    Args:
        entries: Number of entries.
    """
    worst = 0.0
    for seed in range(SEEDS):
        site = Site(entries, seed, is_balancing=False)
        zone_servers = [number for number in range(SERVER_COUNT) if number % 3 == 0]
        for number in zone_servers:
            site.drain(number, 1, is_draining=True)
        for _ in range(round(MAX_VIEW_AGE_SECONDS / STEP_SECONDS) + 1):
            site.step(0)
        open_flows(site)
        worst = max(worst, site.imbalance())
    return results.Figure(
        f"{entries} entries, hash only, zone reopened", worst, "max/mean"
    )


if __name__ == "__main__":
    main()
