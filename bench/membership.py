"""Membership at many sizes: bytes and processor time a node, time to spread news.

Hands messages between many cores in one loop; time is a number.

    python -m bench.membership [--sizes 100,1000,6300]
"""

from __future__ import annotations

import argparse
import copy
import gc
import random
import time

from bench import results
from cactushall_core import identifiers
from cactushall_core.membership import records, state
from tests.core import builders, network

STEADY_SECONDS = 10.0
SPREAD_LIMIT_SECONDS = 40.0
CHURN_PER_NODE_PER_SECOND = 12_075 * 2 / 6300 / 86_400
MAX_BYTES_PER_SECOND = 3000.0
MAX_MICROSECONDS_PER_SECOND = 15_000.0
MAX_CONFIGURATION_SECONDS = 4.0


def clone(node: state.Membership, number: int) -> state.Membership:
    """Return another member that knows the same fleet."""
    member = builders.make_agent(number).member
    made = copy.copy(node)
    made._member = member
    made._table = node.table.copy()
    made._broadcasts = copy.deepcopy(node._broadcasts)
    made._rng = random.Random(number)
    made._probes = {}
    made._suspected_at = {}
    made._probe_order = []
    made._next_probe_at = made._rng.random() * node._timing.probe_interval
    made._next_gossip_at = made._rng.random() * node._timing.gossip_interval
    made._next_digest_at = made._rng.random() * node._timing.digest_interval
    return made


def make_fleet(size: int) -> network.Network:
    """Return a fleet in which everybody knows everybody."""
    fleet = network.Network(1)
    first = fleet.node(0)
    table = tuple(
        records.Record(builders.make_agent(n).member, 0, records.Status.ALIVE)
        for n in range(size)
    )
    first.merge(table, 0.0)
    for number in range(1, size):
        made = clone(first, number)
        fleet.nodes[made.member.gossip_address] = made
    return fleet


def spread(
    fleet: network.Network, is_known: object, others: list[state.Membership]
) -> tuple[float, float]:
    """Return the seconds until 99% and all of some members know something."""
    started = fleet.now
    unknown = list(others)
    most = float("nan")
    while unknown and fleet.now - started < SPREAD_LIMIT_SECONDS:
        fleet.step()
        unknown = [node for node in unknown if not is_known(node)]
        if most != most and len(unknown) <= len(others) * 0.01:
            most = fleet.now - started
    return most, float("nan") if unknown else fleet.now - started


def measure(size: int) -> list[results.Figure]:
    """Measure one size of fleet."""
    fleet = make_fleet(size)
    gc.freeze()
    nodes = list(fleet.nodes.values())
    before = sum(node.sent_bytes for node in nodes)
    churn = random.Random(5)
    started = time.perf_counter()
    steady_end = fleet.now + STEADY_SECONDS
    changes = CHURN_PER_NODE_PER_SECOND * size * network.STEP_SECONDS
    while fleet.now < steady_end:
        if churn.random() < changes:
            node = churn.choice(nodes)
            fleet.carry_out(node, node.update(node.member, fleet.now))
        fleet.step()
    elapsed = time.perf_counter() - started
    sent = sum(node.sent_bytes for node in nodes) - before
    per_node = size * STEADY_SECONDS

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

    revision_most, revision_all = spread(fleet, has_revision, nodes[1:])

    newcomer = fleet.add(size + 50)
    fleet.join(newcomer, nodes[0])

    def knows_newcomer(node: state.Membership) -> bool:
        return node.table.get(newcomer.member.id) is not None

    join_most, join_all = spread(fleet, knows_newcomer, nodes)

    victim = nodes[size // 2]
    fleet.cut.add(victim.member.gossip_address)
    others = [node for node in nodes if node is not victim]

    def knows_death(node: state.Membership) -> bool:
        record = node.table.get(victim.member.id)
        return record is not None and record.status is records.Status.DEAD

    death_most, death_all = spread(fleet, knows_death, others)
    gc.unfreeze()
    return [
        results.Figure(
            f"{size}: bytes sent", sent / per_node, "B/s/node", MAX_BYTES_PER_SECOND
        ),
        results.Figure(
            f"{size}: processor time",
            elapsed / per_node * 1e6,
            "us/s/node",
            MAX_MICROSECONDS_PER_SECOND,
        ),
        results.Figure(
            f"{size}: revision known to 99%",
            revision_most,
            "s",
            MAX_CONFIGURATION_SECONDS,
        ),
        results.Figure(
            f"{size}: revision known to all",
            revision_all,
            "s",
            MAX_CONFIGURATION_SECONDS,
        ),
        results.Figure(f"{size}: new member known to 99%", join_most, "s"),
        results.Figure(f"{size}: new member known to all", join_all, "s"),
        results.Figure(f"{size}: death known to 99%", death_most, "s"),
        results.Figure(f"{size}: death known to all", death_all, "s"),
    ]


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="100,1000,6300")
    sizes = [int(size) for size in parser.parse_args().sizes.split(",")]
    figures = [figure for size in sizes for figure in measure(size)]
    results.report("membership", figures)


if __name__ == "__main__":
    main()
