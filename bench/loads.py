"""What callers get under the loads that placement and admission answer.

python -m bench.loads

Five seeds for each load, against first come first served and random placement.
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

# Each load with the slots, work, aim and worths of one kind of site.
PLANS = {
    "surge after an outage, one slot": load_site.Plan(
        10.0, load_site.steady(250.0), outage=(4.0, 6.0)
    ),
    "surge after an outage, two slots": load_site.Plan(
        10.0,
        load_site.steady(170.0),
        outage=(4.0, 6.0),
        slots=2,
        server_count=6,
        work_seconds=0.0253,
        aim_seconds=0.174,
        deadline_seconds=2.0,
        late_worth=0.1,
    ),
    "swing": load_site.Plan(17.0, load_site.wave(250.0, 0.55, 17.0)),
    "one server in eight is slow": load_site.Plan(
        6.0, load_site.steady(240.0), slow={1: 5.0}
    ),
    "straggler tail": load_site.Plan(6.0, load_site.steady(290.0)),
    "more than can be served": load_site.Plan(5.0, load_site.steady(600.0), users=800),
    "one server": load_site.Plan(
        15.0, load_site.steady(30.0), server_count=1, entry_count=2, users=40
    ),
}


def _random_agent(
    agents: typing.Any, _zone: str, _objective: float, rng: typing.Any, _now: float
) -> typing.Any:
    return rng.choice(list(agents))


def _always(*_: object) -> bool:
    return True


@contextlib.contextmanager
def own_policy() -> collections.abc.Iterator[None]:
    """Play the policies as they are."""
    yield


@contextlib.contextmanager
def first_come() -> collections.abc.Iterator[None]:
    """Let every new flow in at once, placed by load."""
    with mock.patch.object(admission, "has_capacity", _always):
        yield


@contextlib.contextmanager
def random_placement() -> collections.abc.Iterator[None]:
    """Let every new flow in at once, anywhere."""
    with (
        mock.patch.object(admission, "has_capacity", _always),
        mock.patch.object(agent_selection, "select_agent", _random_agent),
    ):
        yield


POLICIES = {
    "own": own_policy,
    "first come first served": first_come,
    "random placement": random_placement,
}


def play(policy: str, plan: str, seed: int) -> tuple[float, float, float]:
    """Return the worth over all and of the worst windows, and the share served."""
    with POLICIES[policy]():
        site = load_site.LoadSite(PLANS[plan], seed)
        total = site.run()
    late_worth = PLANS[plan].late_worth
    worst = load_site.worst_windows(site)
    return (
        total.worth(late_worth),
        statistics.mean(result.worth(late_worth) for result in worst),
        1 - total.failed / total.asked,
    )


def _play(job: tuple[str, str, int]) -> tuple[float, float, float]:
    return play(*job)


def main() -> None:
    """Measure all loads under all policies."""
    jobs = list(itertools.product(POLICIES, PLANS, SEEDS))
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count()) as executor:
        played = dict(zip(jobs, executor.map(_play, jobs), strict=True))
    figures = []
    for plan, policy in itertools.product(PLANS, POLICIES):
        found = [played[policy, plan, seed] for seed in SEEDS]
        means = [statistics.mean(column) for column in zip(*found, strict=True)]
        for name, mean in zip(("worth", "worst windows", "served"), means, strict=True):
            figures.append(results.Figure(f"{plan}, {policy}: {name}", mean, ""))
    results.report("loads", figures)


if __name__ == "__main__":
    main()
