"""Simulates fleets of several sizes: cost per node, and time until all nodes know news.

Passes datagrams between all members in one process, in simulated time.

    python -m bench.membership [--sizes 100,1000,6300]
"""

from __future__ import annotations

import argparse
import gc
import random
import time

from bench import results
from cactushall_core import identifiers
from cactushall_core.membership import records, state
from tests.core import builders, network

STEADY_SECONDS = 10.0
DISSEMINATION_TIMEOUT_SECONDS = 40.0
CHURN_PER_NODE_PER_SECOND = 12_075 * 2 / 6300 / 86_400
MAX_BYTES_PER_SECOND = 3000.0
MAX_MICROSECONDS_PER_SECOND = 15_000.0
MAX_CONFIGURATION_SECONDS = 4.0


def make_fleet(size: int) -> network.Network:
    """Return a fleet in which every member knows all others, and knows that it does."""
    fleet = network.Network(1)
    first_node = fleet.node(0)
    table = tuple(
        records.Record(builders.make_agent(n).member, 0, records.Status.ALIVE)
        for n in range(size)
    )
    first_node.merge(table, 0.0)
    for number in range(1, size):
        member = builders.make_agent(number).member
        node = network.clone(first_node, member, number)
        fleet.nodes[node.member.gossip_address] = node
    for node in fleet.nodes.values():
        fleet.complete(node)
    return fleet


def measure_dissemination(
    fleet: network.Network, is_known: object, others: list[state.Membership]
) -> tuple[float, float]:
    """Run a fleet until all of some members know something.

    Args:
        fleet: The fleet.
        is_known: Returns whether a member knows it.
        others: The members that should learn it.

    Returns:
        The seconds until 99% and until all of the members know it, each NaN where that
        takes longer than `DISSEMINATION_TIMEOUT_SECONDS`.
    """
    started_at = fleet.now
    uninformed = list(others)
    seconds_to_99_percent = float("nan")
    while uninformed and fleet.now - started_at < DISSEMINATION_TIMEOUT_SECONDS:
        fleet.step()
        uninformed = [node for node in uninformed if not is_known(node)]
        if (
            seconds_to_99_percent != seconds_to_99_percent
            and len(uninformed) <= len(others) * 0.01
        ):
            seconds_to_99_percent = fleet.now - started_at
    return seconds_to_99_percent, float("nan") if uninformed else fleet.now - started_at


def measure(size: int) -> list[results.Figure]:
    """Return the figures of a fleet of one size."""
    fleet = make_fleet(size)
    gc.freeze()
    nodes = list(fleet.nodes.values())
    sent_before = sum(node.sent_bytes for node in nodes)
    churn = random.Random(5)
    started_at = time.perf_counter()
    steady_end = fleet.now + STEADY_SECONDS
    change_probability = CHURN_PER_NODE_PER_SECOND * size * network.STEP_SECONDS
    while fleet.now < steady_end:
        if churn.random() < change_probability:
            node = churn.choice(nodes)
            fleet.execute(node, node.update(node.member, fleet.now))
        fleet.step()
    elapsed_seconds = time.perf_counter() - started_at
    sent_bytes = sum(node.sent_bytes for node in nodes) - sent_before
    node_seconds = size * STEADY_SECONDS

    revision = identifiers.Revision(9)
    nodes[0].set_revision(revision)
    fleet.fetches.clear()
    informed = {nodes[0].member.id}

    def has_revision(node: state.Membership) -> bool:
        for fetcher, fetch in fleet.fetches:
            if fetcher.member.id not in informed:
                informed.add(fetcher.member.id)
                fetcher.set_revision(fetch.revision)
        fleet.fetches.clear()
        return node.member.id in informed

    revision_99, revision_all = measure_dissemination(fleet, has_revision, nodes[1:])

    new_member = fleet.add(size + 50)
    fleet.join(new_member, nodes[0])

    def knows_new_member(node: state.Membership) -> bool:
        return node.table.get(new_member.member.id) is not None

    join_99, join_all = measure_dissemination(fleet, knows_new_member, nodes)

    cut_off_node = nodes[size // 2]
    fleet.cut.add(cut_off_node.member.gossip_address)
    others = [node for node in nodes if node is not cut_off_node]

    def knows_death(node: state.Membership) -> bool:
        record = node.table.get(cut_off_node.member.id)
        return record is not None and record.status is records.Status.DEAD

    death_99, death_all = measure_dissemination(fleet, knows_death, others)
    gc.unfreeze()
    return [
        results.Figure(
            f"{size}: bytes sent",
            sent_bytes / node_seconds,
            "B/s/node",
            MAX_BYTES_PER_SECOND,
        ),
        results.Figure(
            f"{size}: processor time",
            elapsed_seconds / node_seconds * 1e6,
            "us/s/node",
            MAX_MICROSECONDS_PER_SECOND,
        ),
        results.Figure(
            f"{size}: revision known to 99%",
            revision_99,
            "s",
            MAX_CONFIGURATION_SECONDS,
        ),
        results.Figure(
            f"{size}: revision known to all",
            revision_all,
            "s",
            MAX_CONFIGURATION_SECONDS,
        ),
        results.Figure(f"{size}: new member known to 99%", join_99, "s"),
        results.Figure(f"{size}: new member known to all", join_all, "s"),
        results.Figure(f"{size}: death known to 99%", death_99, "s"),
        results.Figure(f"{size}: death known to all", death_all, "s"),
    ]


def main() -> None:
    """Simulate fleets of the given sizes and report the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="100,1000,6300")
    sizes = [int(size) for size in parser.parse_args().sizes.split(",")]
    figures = [figure for size in sizes for figure in measure(size)]
    results.report("membership", figures)


if __name__ == "__main__":
    main()
