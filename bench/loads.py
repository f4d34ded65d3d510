"""Simulates the loads that the placement and admission policies are made for.

Runs each load with five seeds under each policy: cactushall's own, admission of every
flow at once with placement by the least load (first come, first served), by the own
rule (no admission) and at random. Then it
runs loads of few and many entries under several rules for the selection of an agent.

    python -m bench.loads
"""

from __future__ import annotations

import collections
import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import itertools
import os
import statistics
import typing
from unittest import mock

from bench import results
from cactushall_core import identifiers
from cactushall_core.flows import (
    admission,
    agent_selection,
    directory,
    flow_queue,
    packets,
    preference,
    priorities,
    queue_limits,
    routes,
)
from tests.core.flows import builders
from tests.standins import load_site

JobT = typing.TypeVar("JobT")
OutcomeT = typing.TypeVar("OutcomeT")

SEEDS = range(5)
# Agents whose expected waits differ by less count as equally good, in service times.
NEAR_BEST_WAIT = 0.3

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

# A sixth of a site of 48 servers whose idempotent and other requests compete for one
# service; in the last plan a third of the servers belongs to the downloads.
BURST = (2.0, 6.0)
LOW = load_site.Kind("low", load_site.constant_rate(96.0), 0.034, 0.406)
HIGH = load_site.Kind(
    "high",
    load_site.constant_rate(55.0),
    0.02,
    0.352,
    priority=1,
    repeatability=routes.Repeatability.ONCE,
    score=2.0,
    late_score=0.6,
)


def _burst(kind: load_site.Kind, factor: float, **changes: typing.Any) -> typing.Any:
    rate = load_site.burst_rate(kind.rate(0.0), factor, *BURST)
    return dataclasses.replace(kind, rate=rate, **changes)


def _contention(*kinds: load_site.Kind, **changes: typing.Any) -> load_site.Plan:
    rate = load_site.constant_rate(0.0)
    return load_site.Plan(
        8.0, rate, kinds=kinds, tail_share=0.0, deadline_seconds=1.2, **changes
    )


CONTENTION_PLANS = {
    "capacity suffices": _contention(LOW, HIGH),
    "burst of low priority": _contention(_burst(LOW, 2.5), HIGH),
    "burst of high priority": _contention(LOW, _burst(HIGH, 8.0)),
    "long flows of low priority": _contention(_burst(LOW, 2.5, is_long=True), HIGH),
    "burst of one route": _contention(
        _burst(LOW, 4.0), dataclasses.replace(LOW, name="equal")
    ),
    "burst in one zone": _contention(
        _burst(LOW, 4.0, zones=(0,)), dataclasses.replace(HIGH, zones=(1, 2))
    ),
    "overload of everything": _contention(_burst(LOW, 3.0), _burst(HIGH, 3.0)),
    "burst of downloads": _contention(
        LOW,
        HIGH,
        _burst(
            dataclasses.replace(LOW, name="downloads", service=builders.OTHER_SERVICE),
            4.0,
        ),
        server_count=12,
        other_server_count=4,
    ),
}


def _short_flows(entry_count: int, zone_weights: tuple[float, ...]) -> load_site.Plan:
    """Return one flow for each request, through entries that share all servers."""
    return load_site.Plan(
        4.0,
        load_site.constant_rate(800.0),
        service_seconds=0.034,
        server_count=48,
        objective_seconds=0.406,
        deadline_seconds=2.0,
        late_score=0.3,
        new_flow_share=1.0,
        entry_count=entry_count,
        zone_weights=zone_weights,
    )


SELECTION_PLANS = {
    f"{count} entries{suffix}": _short_flows(count, zone_weights)
    for suffix, zone_weights in (
        ("", (1.0, 1.0, 1.0)),
        (", one zone busy", (3.0, 1, 1)),
    )
    for count in (4, 23, 59)
}


def _random_agent(
    agents: typing.Any,
    _zone: str,
    _objective_seconds: float,
    order: preference.Order,
    _now: float,
    _reserved_requests: float = 0.0,
) -> typing.Any:
    return order(agents)[0]


def _always_has_capacity(*_: object) -> bool:
    return True


@contextlib.contextmanager
def unchanged_policy() -> collections.abc.Iterator[None]:
    """Leave cactushall's policies in place."""
    yield


@contextlib.contextmanager
def first_come_first_served() -> collections.abc.Iterator[None]:
    """Admit every new flow at once, and place it on the agent with the least load."""
    with (
        mock.patch.object(admission, "has_capacity", _always_has_capacity),
        mock.patch.object(
            agent_selection, "select_agent", SELECTION_RULES["best of all"]
        ),
    ):
        yield


@contextlib.contextmanager
def no_admission() -> collections.abc.Iterator[None]:
    """Admit every new flow at once, and place it by cactushall's own rule."""
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


class OneQueue:
    """The rule before priorities: one queue for all services, the newest flow first."""

    def __init__(self) -> None:
        """Start without flows."""
        self._flows: dict[packets.FlowId, routes.Route] = {}

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def __contains__(self, flow_id: object) -> bool:
        """Return whether a flow is queued."""
        return flow_id in self._flows

    @property
    def services(self) -> list[identifiers.ServiceName]:
        """Return the services of the queued flows."""
        return list({r.shares[0].service: None for r in self._flows.values()})

    @property
    def lengths(self) -> list[tuple[routes.Route, int]]:
        """Return the routes of the queued flows."""
        return [(route, 1) for route in self._flows.values()]

    def of_service(self, _service: identifiers.ServiceName) -> OneQueue:
        """Return this queue."""
        return self

    def is_ahead(self, _route: routes.Route) -> bool:
        """Let new flows overtake all others."""
        return False

    def record_turn(self, _address: routes.ServiceAddress) -> None:
        """Take no turns."""

    def in_order(self, _is_due: object) -> list[packets.FlowId]:
        """Return all flows, the newest first."""
        return list(reversed(self._flows))

    def add(
        self,
        flow_id: packets.FlowId,
        route: routes.Route,
        _service: identifiers.ServiceName,
        agent_count: int,
        _route_count: int,
    ) -> flow_queue.Verdict:
        """Queue a flow up to the common limit."""
        limit = max(
            flow_queue.MIN_LIMIT, queue_limits.DEFAULT.flows_per_agent * agent_count
        )
        if len(self._flows) >= limit:
            return flow_queue.Verdict(False)
        self._flows.setdefault(flow_id, route)
        return flow_queue.Verdict(True)

    def remove(self, flow_id: packets.FlowId) -> None:
        """Remove a flow where it is queued."""
        self._flows.pop(flow_id, None)


@contextlib.contextmanager
def without_priorities() -> collections.abc.Iterator[None]:
    """Use one queue for all, and neither a reserve nor a minimum."""
    with (
        mock.patch.object(flow_queue, "FlowQueue", OneQueue),
        mock.patch.object(priorities, "RESERVED_REQUESTS_PER_SLOT", 0.0),
        mock.patch.object(priorities, "MIN_SHARE", 0.0),
    ):
        yield


def _with_capacity(
    agents: typing.Sequence[directory.Agent], objective_seconds: float, now: float
) -> list[agent_selection.Candidate]:
    """Return all agents with capacity."""
    changes = [(agent, agent.expected_change(now)) for agent in agents]
    return [
        agent_selection.Candidate(agent, change)
        for agent, change in changes
        if agent.full_until <= now
        and admission.has_capacity(agent.load, change, objective_seconds)
    ]


Draw = collections.abc.Callable[
    [list[agent_selection.Candidate], list[float]],
    collections.abc.Iterable[int],
]


def _make_rule(draw: Draw) -> typing.Any:
    """Return a rule that selects the best of the agents that `draw` leaves."""

    def select(
        agents: typing.Sequence[directory.Agent],
        zone: identifiers.ZoneName,
        objective_seconds: float,
        order: preference.Order,
        now: float,
        _reserved_requests: float = 0.0,
    ) -> directory.Agent | None:
        candidates = _with_capacity(agents, objective_seconds, now)
        if not candidates:
            return None
        median = agent_selection.median_service_seconds(agents)
        ranks = {a.packet_address: i for i, a in enumerate(order(agents))}
        ranked = sorted(candidates, key=lambda c: ranks[c.agent.packet_address])
        waits = [agent_selection.expected_wait(c, zone, median) for c in ranked]
        return ranked[min(draw(ranked, waits), key=waits.__getitem__)].agent

    return select


def _draw_two(
    candidates: list[agent_selection.Candidate], _: list[float]
) -> collections.abc.Iterable[int]:
    return range(min(2, len(candidates)))


def _draw_near_best(
    _: list[agent_selection.Candidate], waits: list[float]
) -> collections.abc.Iterable[int]:
    limit = min(waits) + NEAR_BEST_WAIT
    return [next(i for i, wait in enumerate(waits) if wait <= limit)]


SELECTION_RULES = {
    "own": agent_selection.select_agent,
    "best of all": _make_rule(lambda candidates, *_: range(len(candidates))),
    "two random": _make_rule(_draw_two),
    "near the best": _make_rule(_draw_near_best),
}

POLICIES = {
    "own": unchanged_policy,
    "first come first served": first_come_first_served,
    "no admission": no_admission,
    "random placement": random_placement,
}
CONTENTION_POLICIES = {**POLICIES, "without priorities": without_priorities}


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


def simulate_contention(
    policy: str, plan: str, seed: int
) -> dict[str, load_site.Result]:
    """Simulate a load of several kinds of requests.

    Args:
        policy: Name of the policy, a key of `CONTENTION_POLICIES`.
        plan: Name of the load, a key of `CONTENTION_PLANS`.
        seed: Seed of the simulation.

    Returns:
        The outcomes of each kind.
    """
    kinds = CONTENTION_PLANS[plan].kinds
    with CONTENTION_POLICIES[policy]():
        site = load_site.LoadSite(CONTENTION_PLANS[plan], seed)
        site.run()
    return {kind.name: load_site.kind_result(site, kind.name) for kind in kinds}


def contention_figures() -> list[results.Figure]:
    """Return the scores and the answered shares of each kind under each load."""
    figures = []
    for plan, policy in itertools.product(CONTENTION_PLANS, CONTENTION_POLICIES):
        by_seed = [simulate_contention(policy, plan, seed) for seed in SEEDS]
        for kind in CONTENTION_PLANS[plan].kinds:
            found = [by_name[kind.name] for by_name in by_seed]
            score = statistics.mean(r.score(kind.late_score) for r in found)
            served = statistics.mean(1 - r.failed / r.sent for r in found)
            name = f"{plan}, {policy}, {kind.name}"
            figures.append(results.Figure(f"{name}: worth", score, ""))
            figures.append(results.Figure(f"{name}: served", served, ""))
    return figures


class SelectionOutcome(typing.NamedTuple):
    """Outcome of one load under one rule for the selection of an agent.

    Attributes:
        worth: Mean score of all requests.
        mean_milliseconds: Mean response time of answered requests.
        declined: Flows that agents declined, per request.
        in_zone: Share of placements in the zone of the entry.
    """

    worth: float
    mean_milliseconds: float
    declined: float
    in_zone: float


def simulate_selection(rule: str, plan: str, seed: int) -> SelectionOutcome:
    """Simulate one load under one rule for the selection of an agent.

    Args:
        rule: Name of the rule, a key of `SELECTION_RULES`.
        plan: Name of the load, a key of `SELECTION_PLANS`.
        seed: Seed of the simulation.
    """
    placements: collections.Counter[bool] = collections.Counter()

    def select(
        agents: typing.Sequence[directory.Agent],
        zone: identifiers.ZoneName,
        *arguments: typing.Any,
    ) -> directory.Agent | None:
        agent = SELECTION_RULES[rule](agents, zone, *arguments)
        if agent is not None:
            placements[agent.member.zone == zone] += 1
        return typing.cast("directory.Agent | None", agent)

    with mock.patch.object(agent_selection, "select_agent", select):
        site = load_site.LoadSite(SELECTION_PLANS[plan], seed)
        total = site.run()
    return SelectionOutcome(
        total.score(SELECTION_PLANS[plan].late_score),
        total.mean_seconds * 1000,
        site.declined / total.sent,
        placements[True] / placements.total(),
    )


def _selection_job(job: tuple[str, str, int]) -> SelectionOutcome:
    return simulate_selection(*job)


def _simulate_job(job: tuple[str, str, int]) -> tuple[float, float, float]:
    return simulate(*job)


def _run_all(
    simulate_job: collections.abc.Callable[[JobT], OutcomeT], jobs: list[JobT]
) -> dict[JobT, OutcomeT]:
    """Run some simulations on all processors, and return the outcome of each."""
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count()) as executor:
        return dict(zip(jobs, executor.map(simulate_job, jobs), strict=True))


def main() -> None:
    """Simulate all loads under all policies and report the figures."""
    jobs = list(itertools.product(POLICIES, PLANS, SEEDS))
    outcomes = _run_all(_simulate_job, jobs)
    figures = []
    for plan, policy in itertools.product(PLANS, POLICIES):
        outcomes_by_seed = [outcomes[policy, plan, seed] for seed in SEEDS]
        means = [
            statistics.mean(column) for column in zip(*outcomes_by_seed, strict=True)
        ]
        for name, mean in zip(("worth", "worst windows", "served"), means, strict=True):
            figures.append(results.Figure(f"{plan}, {policy}: {name}", mean, ""))
    results.report("loads", figures + contention_figures())
    report_selection()


def report_selection() -> None:
    """Simulate the loads of few and many entries and report the figures."""
    jobs = list(itertools.product(SELECTION_RULES, SELECTION_PLANS, SEEDS))
    outcomes = _run_all(_selection_job, jobs)
    figures = []
    for plan, rule in itertools.product(SELECTION_PLANS, SELECTION_RULES):
        by_seed = [outcomes[rule, plan, seed] for seed in SEEDS]
        for field in SelectionOutcome._fields:
            mean = statistics.mean(getattr(outcome, field) for outcome in by_seed)
            figures.append(results.Figure(f"{plan}, {rule}: {field}", mean, ""))
    results.report("selection", figures)


if __name__ == "__main__":
    main()
