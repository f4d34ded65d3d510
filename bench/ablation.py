"""Switches off each mechanism of placement, admission and queueing, one at a time.

Plays the loads of `bench.loads` with several seeds and reports the worth with all
mechanisms, and by how much each one raises it. The switches are only here; the product
has none.

    python -m bench.ablation [--seeds 5] [--jobs 3]
"""

from __future__ import annotations

import argparse
import collections.abc
import concurrent.futures
import contextlib
import itertools
import statistics
import typing
from unittest import mock

from bench import loads, results
from cactushall_core.flows import (
    admission,
    agent_selection,
    directory,
    flow_queue,
    pending_flows,
    preference,
    priorities,
    queue_limits,
    reports,
    retry_budget,
)
from tests.standins import load_site

Switch = collections.abc.Callable[[], contextlib.AbstractContextManager[typing.Any]]

ALL = "all mechanisms"
PLANS = {
    name: loads.PLANS[name]
    for name in (
        "surge after an outage, one slot",
        "surge after an outage, two slots",
        "swing",
        "one server in eight is slow",
        "straggler tail",
        "more than can be served",
    )
} | {
    name: loads.CONTENTION_PLANS[name]
    for name in ("burst of low priority", "burst of one route", "burst in one zone")
}
NEVER = float("inf")


def _always(answer: object) -> collections.abc.Callable[..., typing.Any]:
    return lambda *_, **__: answer


def _set(owner: object, name: str, value: object) -> Switch:
    """Return a switch that replaces an attribute."""
    return lambda: mock.patch.object(owner, name, value)


def _draw_from_all_zones(
    agents: list[directory.Agent],
    _zone: str,
    can_take: agent_selection.Predicate,
    order: preference.Order,
    now: float,
) -> list[agent_selection.Candidate]:
    return agent_selection._draw(order(agents), can_take, now)


def _oldest_first(
    queues: typing.Sequence[flow_queue.RouteQueue],
) -> list[typing.Any]:
    ordered = sorted(queues, key=lambda queue: queue.last_turn)
    rounds = itertools.zip_longest(*(queue.flows for queue in ordered))
    return [flow_id for turn in rounds for flow_id in turn if flow_id is not None]


SWITCHES: dict[str, Switch] = {
    ALL: contextlib.nullcontext,
    "two choices (one in their place)": _set(preference, "CHOICES", 1),
    "two choices (all agents in their place)": _set(preference, "CHOICES", 10_000),
    "own zone is drawn first": _set(
        agent_selection, "_draw_candidates", _draw_from_all_zones
    ),
    "preference for the own zone among those drawn": _set(
        agent_selection, "REMOTE_ZONE_PENALTY", 0.0
    ),
    "open flows count as load": _set(agent_selection, "OPEN_FLOW_WEIGHT", 0.0),
    "slow servers get less": _set(
        agent_selection, "median_service_seconds", _always(0.0)
    ),
    "limit of requests at a server": _set(admission, "has_capacity", _always(True)),
    "limit follows from the objective": _set(admission, "OBJECTIVE_SHARE", NEVER),
    "answered requests are estimated": _set(
        admission, "estimate_answered", _always(0.0)
    ),
    "flows in transit count as load": _set(
        directory.Agent, "unacknowledged_count", _always(0)
    ),
    "pause after a decline": _set(directory.Agent, "mark_full", _always(None)),
    "reports of freed capacity": _set(
        reports.LoadReporter, "_has_freed_capacity", _always(False)
    ),
    "expected reports are put off": _set(
        reports.LoadReporter, "_is_worth_reporting", _always(True)
    ),
    "queue": _set(queue_limits, "DEFAULT", queue_limits.QueueLimits(0.0, 0.0)),
    "newest flow first": _set(flow_queue, "_alternate", _oldest_first),
    "refusal of what is foreseen": _set(pending_flows, "FORESEEN_FACTOR", NEVER),
    "retry at another agent": _set(pending_flows, "RETRY_ELSEWHERE_SECONDS", NEVER),
    "budget of retries": _set(retry_budget.RetryBudget, "spend", _always(True)),
    "reserve of the highest priority": _set(
        priorities.Priorities, "reserved_requests", _always(0.0)
    ),
    "turns owed to lower priorities": _set(
        priorities.Priorities, "is_due", _always(False)
    ),
    "guaranteed share of a route in the queue": _set(
        flow_queue.ServiceQueue, "_find_victim", _always(None)
    ),
}


class Job(typing.NamedTuple):
    """One simulation: a load without one mechanism, with one seed."""

    switch: str
    plan: str
    seed: int


def simulate(job: Job) -> float:
    """Return the worth of a simulation, the score of requests of all kinds."""
    plan = PLANS[job.plan]
    with SWITCHES[job.switch]():
        site = load_site.LoadSite(plan, job.seed)
        total = site.run()
    if not plan.kinds:
        return float(total.score(plan.late_score))
    scored = [(load_site.kind_result(site, kind.name), kind) for kind in plan.kinds]
    owed = sum(result.sent * kind.score for result, kind in scored)
    earned = sum(
        result.score(kind.late_score) * result.sent * kind.score
        for result, kind in scored
    )
    return float(earned / owed)


def main() -> None:
    """Simulate all loads without each mechanism and report what it is worth."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    jobs = list(
        itertools.starmap(Job, itertools.product(SWITCHES, PLANS, range(options.seeds)))
    )
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as executor:
        worth = dict(zip(jobs, executor.map(simulate, jobs), strict=True))
    figures = []
    for switch, plan in itertools.product(SWITCHES, PLANS):
        seeds = range(options.seeds)
        with_all = [worth[Job(ALL, plan, seed)] for seed in seeds]
        if switch == ALL:
            figures.append(
                results.Figure(f"{plan}: {ALL}", statistics.mean(with_all), "")
            )
            continue
        gains = [w - worth[Job(switch, plan, s)] for s, w in enumerate(with_all)]
        name = f"{plan}, {switch}"
        figures.append(results.Figure(f"{name}: gain", statistics.mean(gains), ""))
        spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
        figures.append(results.Figure(f"{name}: deviation", spread, ""))
    results.report("ablation", figures)


if __name__ == "__main__":
    main()
