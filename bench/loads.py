"""Simulates the loads that the placement and admission policies are made for.

Runs each load with five seeds under each policy: cactushall's own, admission of every
flow at once (first come, first served), and random placement on top of that.

    python -m bench.loads
"""

from __future__ import annotations

import collections.abc
import concurrent.futures
import contextlib
import itertools
import os
import statistics
import typing
from unittest import mock

from bench import results
from cactushall_core.flows import admission, agent_selection
from tests.standins import load_site

SEEDS = range(5)

# Each load has the slots, service times, objective and score of late answers of one
# kind of site.
PLANS = {
    "surge after an outage, one slot": load_site.Plan(
        10.0, load_site.constant_rate(250.0), outage=(4.0, 6.0)
    ),
    "surge after an outage, two slots": load_site.Plan(
        10.0,
        load_site.constant_rate(170.0),
        outage=(4.0, 6.0),
        slots=2,
        server_count=6,
        service_seconds=0.0253,
        objective_seconds=0.174,
        deadline_seconds=2.0,
        late_score=0.1,
    ),
    "swing": load_site.Plan(17.0, load_site.sine_rate(250.0, 0.55, 17.0)),
    "one server in eight is slow": load_site.Plan(
        6.0, load_site.constant_rate(240.0), slowdown_factors={1: 5.0}
    ),
    "straggler tail": load_site.Plan(6.0, load_site.constant_rate(290.0)),
    "more than can be served": load_site.Plan(
        5.0, load_site.constant_rate(600.0), users=800
    ),
    "one server": load_site.Plan(
        15.0, load_site.constant_rate(30.0), server_count=1, entry_count=2, users=40
    ),
}


def _many_entries(entry_count: int) -> load_site.Plan:
    """Return short flows through many entries that share the backend servers.

    Args:
        entry_count: Number of entries.
    """
    return load_site.Plan(
        6.0,
        load_site.constant_rate(900.0),
        service_seconds=0.034,
        server_count=48,
        objective_seconds=0.406,
        deadline_seconds=2.0,
        late_score=0.3,
        new_flow_share=1.0,
        entry_count=entry_count,
    )


SELECTION_PLANS = {f"{count} entries": _many_entries(count) for count in (4, 23, 59)}


def _random_agent(
    agents: typing.Any,
    _zone: str,
    _objective_seconds: float,
    rng: typing.Any,
    _now: float,
) -> typing.Any:
    return rng.choice(list(agents))


def _always_has_capacity(*_: object) -> bool:
    return True


@contextlib.contextmanager
def unchanged_policy() -> collections.abc.Iterator[None]:
    """Leave cactushall's policies in place."""
    yield


@contextlib.contextmanager
def first_come_first_served() -> collections.abc.Iterator[None]:
    """Admit every new flow at once, and place it by load."""
    with mock.patch.object(admission, "has_capacity", _always_has_capacity):
        yield


@contextlib.contextmanager
def random_placement() -> collections.abc.Iterator[None]:
    """Admit every new flow at once, on a random agent."""
    with (
        mock.patch.object(admission, "has_capacity", _always_has_capacity),
        mock.patch.object(agent_selection, "select_agent", _random_agent),
    ):
        yield


POLICIES = {
    "own": unchanged_policy,
    "first come first served": first_come_first_served,
    "random placement": random_placement,
}


def simulate(policy: str, plan: str, seed: int) -> tuple[float, float, float]:
    """Simulate one load.

    Args:
        policy: Name of the policy, a key of `POLICIES`.
        plan: Name of the load, a key of `PLANS`.
        seed: Seed of the simulation.

    Returns:
        The mean score of all requests, that of the requests in the worst windows, and
        the share of requests that were answered.
    """
    with POLICIES[policy]():
        site = load_site.LoadSite(PLANS[plan], seed)
        total = site.run()
    late_score = PLANS[plan].late_score
    worst_windows = load_site.worst_windows(site)
    return (
        total.score(late_score),
        statistics.mean(result.score(late_score) for result in worst_windows),
        1 - total.failed / total.sent,
    )


def _simulate_job(job: tuple[str, str, int]) -> tuple[float, float, float]:
    return simulate(*job)


def main() -> None:
    """Simulate all loads under all policies and report the figures."""
    jobs = list(itertools.product(POLICIES, PLANS, SEEDS))
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count()) as executor:
        outcomes = dict(zip(jobs, executor.map(_simulate_job, jobs), strict=True))
    figures = []
    for plan, policy in itertools.product(PLANS, POLICIES):
        outcomes_by_seed = [outcomes[policy, plan, seed] for seed in SEEDS]
        means = [
            statistics.mean(column) for column in zip(*outcomes_by_seed, strict=True)
        ]
        for name, mean in zip(("worth", "worst windows", "served"), means, strict=True):
            figures.append(results.Figure(f"{plan}, {policy}: {name}", mean, ""))
    results.report("loads", figures)


if __name__ == "__main__":
    main()
