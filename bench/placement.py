"""Imbalance of flows over servers (max over mean), against hashing alone.

python -m bench.placement
"""

from __future__ import annotations

import random
import statistics

from bench import results
from cactushall_core import identifiers, peering, placement
from cactushall_core.membership import records
from tests.core import builders, test_steering

SERVERS = 7
FLOWS = 10_000
SECONDS = 20.0
STEP_SECONDS = 0.05
VIEW_AGE_SECONDS = 2.0
LIMIT = 4000
SEEDS = 5
TARGET = 1.05


class Site:
    """Servers with their load tables, and entries with views of their own age."""

    def __init__(self, entries: int, seed: int, *, is_balancing: bool) -> None:
        """Create servers without flows."""
        self.rng = random.Random(seed)
        self.is_balancing = is_balancing
        self.now = 0.0
        self.agents = [builders.make_agent(n) for n in range(SERVERS)]
        self.homes = [builders.home_of(agent) for agent in self.agents]
        self.flows = dict.fromkeys(self.homes, 0)
        self.draining: set[identifiers.HomeId] = set()
        self.tables = {
            home: placement.Placement(home, random.Random(seed)) for home in self.homes
        }
        self.entries = [
            test_steering.make_steering(self.agents) for _ in range(entries)
        ]
        self.news: list[tuple[float, int, records.Record]] = []
        self.set_eligible()

    def set_eligible(self) -> None:
        """Tell the servers who takes flows."""
        eligible = set(self.homes) - self.draining
        for table in self.tables.values():
            table.set_eligible(eligible)

    def report(self, home: identifiers.HomeId) -> peering.LoadReport:
        """Return a server's load."""
        return peering.LoadReport(
            builders.SWAP_DESK,
            home,
            self.flows[home],
            LIMIT,
            0,
            0,
            1,
            0.02,
            home in self.draining,
        )

    def drain(self, number: int, incarnation: int, *, is_draining: bool) -> None:
        """Drain or return a server; entries learn it within two seconds."""
        home = self.homes[number]
        (self.draining.add if is_draining else self.draining.discard)(home)
        self.set_eligible()
        record = builders.make_agent(
            number, is_draining=is_draining, incarnation=incarnation
        )
        for index in range(len(self.entries)):
            age = self.rng.random() * VIEW_AGE_SECONDS
            self.news.append((self.now + age, index, record))

    def step(self, arrivals: int) -> None:
        """Let a little time pass in which some flows arrive."""
        self.now += STEP_SECONDS
        for item in [news for news in self.news if news[0] <= self.now]:
            self.news.remove(item)
            self.entries[item[1]].update_member(item[2])
        for _ in range(arrivals):
            self.arrive()
        if self.is_balancing:
            self.exchange()

    def arrive(self) -> None:
        """Place one new flow."""
        cid = self.rng.randbytes(8)
        entry = self.rng.choice(self.entries)
        decision = entry.steer(
            builders.SWAP_DESK, test_steering.initial_packet(cid), "192.0.2.7", self.now
        )
        home = decision.home
        if self.is_balancing:
            first = home
            home = self.tables[first].place(cid, self.report(first), self.now)
            if home != first:
                self.flows[home] += 1
                self.tables[first].record_report(self.report(home), self.now)
                return
        self.flows[home] += 1

    def exchange(self) -> None:
        """Let the servers report, drain and move excess flows."""
        for home, table in self.tables.items():
            report = self.report(home)
            if table.is_report_due(report, self.now):
                for other, other_table in self.tables.items():
                    if other != home:
                        other_table.record_report(report, self.now)
        for home, table in self.tables.items():
            self.move(home, table)

    def move(self, home: identifiers.HomeId, table: placement.Placement) -> None:
        """Move flows of a draining or overfull server."""
        if home in self.draining:
            for _ in range(min(20, self.flows[home])):
                self.hand_over(home, table.reserve_receiver(self.now))
        elif round(self.now / STEP_SECONDS) % round(1 / STEP_SECONDS) == 0:
            for _ in range(table.excess_flows(self.report(home), self.now)):
                self.hand_over(
                    home, table.reserve_least_utilized(self.report(home), self.now)
                )

    def hand_over(
        self, home: identifiers.HomeId, receiver: identifiers.HomeId | None
    ) -> None:
        """Move one flow."""
        if receiver is not None:
            self.flows[home] -= 1
            self.flows[receiver] += 1

    def imbalance(self) -> float:
        """Return the flows of the fullest server over the mean."""
        counts = list(self.flows.values())
        return max(counts) / statistics.mean(counts)


def fill(site: Site) -> float:
    """Let all flows arrive and return the imbalance."""
    steps = round(SECONDS / STEP_SECONDS)
    for _ in range(steps):
        site.step(FLOWS // steps)
    return site.imbalance()


def close_and_reopen(site: Site) -> float:
    """Close the first zone for a while, reopen it and return the imbalance."""
    zone = [number for number in range(SERVERS) if number % 3 == 0]
    for number in zone:
        site.drain(number, 1, is_draining=True)
    for _ in range(round(SECONDS / STEP_SECONDS)):
        site.step(0)
    for number in zone:
        site.drain(number, 2, is_draining=False)
    for _ in range(round(3 * SECONDS / STEP_SECONDS)):
        site.step(0)
    return site.imbalance()


def main() -> None:
    """Run the measurement."""
    figures = []
    for entries in (1, 50):
        for is_balancing in (False, True):
            filled, reopened = [], []
            for seed in range(SEEDS):
                site = Site(entries, seed, is_balancing=is_balancing)
                filled.append(fill(site))
                if is_balancing:
                    reopened.append(close_and_reopen(site))
            name = "placed by load" if is_balancing else "hash only"
            target = TARGET if is_balancing else None
            figures.append(
                results.Figure(
                    f"{entries} entries, {name}, 10,000 flows",
                    max(filled),
                    "max/mean",
                    target,
                )
            )
            if is_balancing:
                figures.append(
                    results.Figure(
                        f"{entries} entries, {name}, zone reopened",
                        max(reopened),
                        "max/mean",
                        target,
                    )
                )
            else:
                figures.append(reopened_by_hash(entries))
    results.report("placement", figures)


def reopened_by_hash(entries: int) -> results.Figure:
    """Return the baseline: flows of a reopened zone arrive anew by hash only."""
    worst = 0.0
    for seed in range(SEEDS):
        site = Site(entries, seed, is_balancing=False)
        zone = [number for number in range(SERVERS) if number % 3 == 0]
        for number in zone:
            site.drain(number, 1, is_draining=True)
        for _ in range(round(VIEW_AGE_SECONDS / STEP_SECONDS) + 1):
            site.step(0)
        fill(site)
        worst = max(worst, site.imbalance())
    return results.Figure(
        f"{entries} entries, hash only, zone reopened", worst, "max/mean"
    )


if __name__ == "__main__":
    main()
