"""Measures when an entry is certain that a flow has no owner, in simulated fleets.

An entry starts in a fleet in which nothing else changes (quiet), or together with two
others after agents have joined through the same seeds (busy).

    python -m bench.certainty [--sizes 15,64,300] [--seeds 5]
"""

from __future__ import annotations

import argparse
import dataclasses
import math
import statistics

from bench import results
from tests.core.flows import fleet

ENTRY_SHARE = 0.2
SEED_MEMBERS = 3
BUSY_STARTED_ENTRIES = 3
FLOWS_OF_DEAD_AGENT = 5
NEXT_PACKET_SECONDS = 1.0
START_TIMEOUT_SECONDS = 10.0
DEATH_TIMEOUT_SECONDS = 20.0


@dataclasses.dataclass(frozen=True)
class Start:
    """What was measured of one started entry.

    Attributes:
        complete_seconds: Seconds until it knew all running members.
        decided_seconds: Seconds until it first reset a flow without owner.
        wrong_resets: Number of flows that it reset although their owners ran.
        sent_bytes: Bytes that it sent until it knew all members.
        received_bytes: Bytes that were sent to it until then.
    """

    complete_seconds: float
    decided_seconds: float
    wrong_resets: int
    sent_bytes: int
    received_bytes: int


class Observer:
    """Notes when a started entry knows all members, and the bytes until then."""

    def __init__(self, members: fleet.Fleet, started: fleet.Process) -> None:
        """Observe an entry of a fleet."""
        self._members = members
        self._started = started
        self._complete_at = math.inf
        self._sent_bytes = 0
        self._received_bytes = 0

    def observe(self) -> None:
        """Look at the entry after a step of the simulation."""
        if self._complete_at < math.inf:
            return
        address = self._started.membership.member.gossip_address
        self._sent_bytes = self._members.sent_bytes[address]
        self._received_bytes = self._members.received_bytes[address]
        if self._knows_all():
            self._complete_at = self._members.now

    def result(self, calls: fleet.Calls) -> Start:
        """Return what was measured of the entry.

        Args:
            calls: The calls to all started entries.
        """
        started_at = self._started.started_at
        reset_at = [
            caller.reset_at
            for caller in calls.unowned
            if caller.entry is self._started and caller.reset_at is not None
        ]
        wrong = [
            caller
            for caller in calls.owned
            if caller.entry is self._started and self._members.is_wrongly_reset(caller)
        ]
        return Start(
            self._complete_at - started_at,
            min(reset_at, default=math.inf) - started_at,
            len(wrong),
            self._sent_bytes,
            self._received_bytes,
        )

    def _knows_all(self) -> bool:
        table = self._started.membership.table
        return all(
            table.get(process.membership.member.id) is not None
            for process in self._members.running.values()
        )


def make_fleet(size: int, seed: int) -> fleet.Fleet:
    """Return a fleet of a size in which all members know each other."""
    entries = round(size * ENTRY_SHARE)
    members = fleet.Fleet(size - entries, entries, seed)
    members.run(fleet.QUIET_SECONDS)
    return members


def measure_start(size: int, seed: int, *, is_busy: bool) -> list[Start]:
    """Start entries in a fleet, and return what was measured of each."""
    members = make_fleet(size, seed)
    owners = members.agents
    seeds = [process.address for process in members.entries[:SEED_MEMBERS]]
    if is_busy:
        fleet.add_agents(members, seeds)
    count = BUSY_STARTED_ENTRIES if is_busy else 1
    started = [members.start_entry(seeds) for _ in range(count)]
    observers = [Observer(members, process) for process in started]
    calls = fleet.Calls(members, owners, started, seed)
    end = members.now + START_TIMEOUT_SECONDS
    while members.now < end:
        members.step()
        for observer in observers:
            observer.observe()
    return [observer.result(calls) for observer in observers]


def measure_death(size: int, seed: int) -> float:
    """Return the seconds from an agent's death until all its flows are reset."""
    members = make_fleet(size, seed)
    agent = members.rng.choice(members.agents)
    entries = members.entries
    callers = [
        members.add_caller(agent, entries[number % len(entries)])
        for number in range(FLOWS_OF_DEAD_AGENT)
    ]
    members.run_until_answered(fleet.MAX_ANSWER_SECONDS)
    members.run(fleet.QUIET_SECONDS)
    members.kill(agent)
    died_at = members.now
    for caller in callers:
        caller.send_again(died_at + members.rng.uniform(0.0, NEXT_PACKET_SECONDS))
    members.run_until(
        lambda: all(caller.reset is not None for caller in callers),
        DEATH_TIMEOUT_SECONDS,
    )
    reset_at = [math.inf if c.reset_at is None else c.reset_at for c in callers]
    return max(reset_at) - died_at


def summarize(name: str, values: list[float], unit: str) -> list[results.Figure]:
    """Return the median and the worst of some values as figures."""
    return [
        results.Figure(f"{name}, median", statistics.median(values), unit),
        results.Figure(f"{name}, worst", max(values), unit),
    ]


def measure(size: int, seeds: range) -> list[results.Figure]:
    """Return the figures of fleets of one size."""
    figures: list[results.Figure] = []
    for kind in ("quiet", "busy"):
        name = f"{size} {kind}"
        starts = [
            start
            for seed in seeds
            for start in measure_start(size, seed, is_busy=kind == "busy")
        ]
        figures += summarize(
            f"{name}: all members known", [s.complete_seconds for s in starts], "s"
        )
        figures += summarize(
            f"{name}: first reset without owner",
            [s.decided_seconds for s in starts],
            "s",
        )
        figures += summarize(
            f"{name}: wrong resets", [s.wrong_resets for s in starts], "flows"
        )
        figures += summarize(
            f"{name}: sent by joiner", [s.sent_bytes for s in starts], "B"
        )
        figures += summarize(
            f"{name}: sent to joiner", [s.received_bytes for s in starts], "B"
        )
    deaths = [measure_death(size, seed) for seed in seeds]
    return figures + summarize(f"{size}: death until flows reset", deaths, "s")


def main() -> None:
    """Simulate fleets of the given sizes and report the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="15,64,300")
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    sizes = [int(size) for size in arguments.sizes.split(",")]
    seeds = range(1, arguments.seeds + 1)
    figures = [figure for size in sizes for figure in measure(size, seeds)]
    results.report("certainty", figures)


if __name__ == "__main__":
    main()
