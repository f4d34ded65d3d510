"""Simulates ways of cutting the slowest answers by offering openings to two agents.

"second offer" is cactushall's own way. The others are simulated only here: a second
offer after the fixed delay of a retry, and two kinds of tied openings, which agents
hold until a slot is free.

    python -m bench.hedging
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import itertools
import math
import typing
from unittest import mock

from bench import results
from cactushall_core.flows import actions, entry, hedging, messages, packets, servers
from cactushall_core.flows import agent as agent_module
from tests.standins import load_site

SEEDS = (0, 1)
WORKERS = 2
SECONDS = 8.0
SERVERS = 24
SERVICE_SECONDS = 0.034
TAIL_FACTOR_MEAN = 1.18
SPEEDS = (0.7, 0.7, 1.7)
CAPACITY = SERVERS * sum(SPEEDS) / len(SPEEDS) / (SERVICE_SECONDS * TAIL_FACTOR_MEAN)
SLOWDOWNS = {n: 1 / SPEEDS[n % len(SPEEDS)] for n in range(1, SERVERS + 1)}
LIMITS_PERCENT = (1, 2, 5, 10)
QUANTILES = (0.5, 0.99, 0.999)
RETRY_SECONDS = 0.15
SLOW_OPENING_SECONDS = 0.1
HOLD_SECONDS = 0.15
LOW, USUAL, FULL = 0.3, 0.6, 0.9


def _plan(share: float, **faults: typing.Any) -> load_site.Plan:
    values: dict[str, typing.Any] = {
        "service_seconds": SERVICE_SECONDS,
        "server_count": SERVERS,
        "slowdown_factors": SLOWDOWNS,
        "objective_seconds": 0.406,
        "deadline_seconds": 5.0,
        "new_flow_share": 1.0,
        "entry_count": 9,
        **faults,
    }
    return load_site.Plan(SECONDS, load_site.constant_rate(CAPACITY * share), **values)


PLANS = {
    "usual load, 2 servers 5 times slower": _plan(
        USUAL, slowdown_factors=SLOWDOWNS | {3: 5.0, 4: 7.0}
    ),
    "usual load, 2 servers fail 30%": _plan(USUAL, failing_shares={3: 0.3, 4: 0.3}),
    "usual load, 2 servers hang with 10%": _plan(
        USUAL, hanging_shares={3: 0.1, 4: 0.1}
    ),
    "usual load, 4 servers freeze": _plan(
        USUAL, frozen_servers={n: (1.0 + n, 3.0 + n) for n in range(1, 5)}
    ),
    "usual load, 1% of openings lost": _plan(USUAL, opening_loss=0.01),
    "low load, 1% of openings lost": _plan(LOW, opening_loss=0.01),
    "low load, 4 servers freeze": _plan(
        LOW, frozen_servers={n: (1.0 + n, 3.0 + n) for n in range(1, 5)}
    ),
    "low load": _plan(LOW),
    "usual load": _plan(USUAL),
    "full load": _plan(FULL),
}


class _CancelHeld(messages.ReleaseFlow, frozen=True, tag=99):
    """Tells an agent to drop an opening packet that it still holds."""


class _HoldingAgent(agent_module.AgentFlows):
    """An agent that holds tied openings until a slot is free."""

    def __init__(
        self,
        server: servers.Server,
        now: float,
        is_tied: typing.Callable[[packets.FlowId], bool],
    ) -> None:
        super().__init__(server, now)
        self._is_tied = is_tied
        self._held: dict[packets.FlowId, tuple[packets.Packet, typing.Any, float]] = {}

    @property
    def load(self) -> messages.Load:
        known = super().load
        return messages.Load(
            known.flows,
            known.requests + len(self._held),
            known.slots,
            known.service_seconds,
        )

    def handle_caller_packet(
        self, packet: packets.Packet, entry: typing.Any, now: float
    ) -> list[actions.Action]:
        must_hold = (
            packet.is_opening
            and packet.flow not in self._flows
            and packet.flow not in self._held
            and self._is_tied(packet.flow)
            and super().load.requests >= self._server.slots
        )
        if packet.flow in self._held:
            return []
        if must_hold and self._refusal(packet) is None:
            self._held[packet.flow] = (packet, entry, now)
            return []
        decided = super().handle_caller_packet(packet, entry, now)
        return decided + self._deliver_held(now)

    def handle_server_packet(
        self, packet: packets.Packet, now: float
    ) -> list[actions.Action]:
        return super().handle_server_packet(packet, now) + self._deliver_held(now)

    def handle_release(
        self, flow_id: packets.FlowId, opening_sequence: int, now: float
    ) -> list[actions.Action]:
        self._held.pop(flow_id, None)
        decided = super().handle_release(flow_id, opening_sequence, now)
        return decided + self._deliver_held(now)

    def drop_held(self, flow_id: packets.FlowId) -> None:
        """Drop an opening packet that another agent has delivered."""
        self._held.pop(flow_id, None)

    def tick(self, now: float) -> list[actions.Action]:
        return super().tick(now) + self._deliver_held(now)

    def _deliver_held(self, now: float) -> list[actions.Action]:
        decided: list[actions.Action] = []
        for flow_id, (packet, sender, held_at) in list(self._held.items()):
            is_free = super().load.requests < self._server.slots
            if not is_free and now - held_at < HOLD_SECONDS:
                break
            del self._held[flow_id]
            decided += super().handle_caller_packet(packet, sender, now)
        return decided


class _CancellingEntry(entry.EntryFlows):
    """An entry that drops held openings as soon as one agent has delivered."""

    def _handle_accepted(
        self, agent: typing.Any, message: messages.Accepted, now: float
    ) -> list[actions.Action]:
        decided = super()._handle_accepted(agent, message, now)
        flow = self._owned.get(message.flow)
        if flow is None or flow.second_offer is None or flow.opening_sequence is None:
            return decided
        for address in sorted(flow.second_offer.offered - {agent.packet_address}):
            other = self._view.agents.by_packet_address(address)
            if other is not None:
                held = _CancelHeld(message.flow, flow.opening_sequence)
                decided.append(actions.SendMessage(other.peer_address, held))
        return decided


def _fixed_delay(
    seconds: float,
) -> typing.Callable[[hedging.RunningQuantile, float], float]:
    return lambda _samples, _quantile: seconds


class _TiedSite(load_site.LoadSite):
    """A site whose agents hold openings."""

    ties_all = True

    def make_agent(self, server: servers.Server) -> agent_module.AgentFlows:
        return _HoldingAgent(server, self.now, self._is_tied)

    def make_entry(self, zone: typing.Any, index: int) -> entry.EntryFlows:
        made = _CancellingEntry(zone, load_site.random.Random(index), self.now)
        made.set_hedging_limit(self.plan.hedging_percent)
        return made

    def _is_tied(self, flow_id: packets.FlowId) -> bool:
        if self.ties_all:
            return True
        for one in self._entries.values():
            pending = one._pending.get(flow_id)
            if pending is not None and pending.second_offer is not None:
                return True
        return False

    def _release(self, number: int, message: messages.ReleaseFlow) -> None:
        if not isinstance(message, _CancelHeld):
            super()._release(number, message)
        elif number in self._agents:
            self._agents[number].drop_held(message.flow)


class _TiedAtOnceSite(_TiedSite):
    """A site whose agents hold the openings that were offered twice at once."""

    ties_all = False

    def _execute_entry_actions(self, index: int, decided: list[actions.Action]) -> None:
        one = self._entries.get(index)
        more = one.offer_due(self.now) if one is not None else []
        super()._execute_entry_actions(index, [*decided, *more])


_measured = hedging.RunningQuantile.value

# The simulated site, and the delay of second offers with its minimum.
WAYS: dict[str, tuple[type[load_site.LoadSite], typing.Any, float]] = {
    "second offer": (load_site.LoadSite, _measured, hedging.MIN_DELAY_SECONDS),
    "second offer, no minimum": (load_site.LoadSite, _measured, 0.0),
    "retry after 150 ms": (load_site.LoadSite, _fixed_delay(RETRY_SECONDS), 0.0),
    "tied, second after a delay": (_TiedSite, _measured, 0.0),
    "tied at once": (_TiedAtOnceSite, _fixed_delay(0.0), 0.0),
}


class Outcome(typing.NamedTuple):
    """Figures of one simulation.

    Attributes:
        waits: Callers' waits in seconds, infinite for requests without an answer.
        opening_waits: Callers' waits for answers of opening packets in seconds.
        openings: Number of flows that were opened.
        offered: Number of second offers.
        won: Number of second offers that the caller took.
    """

    waits: list[float]
    opening_waits: list[float]
    openings: int
    offered: int
    won: int


def simulate(way: str, plan: str, percent: int, seed: int) -> Outcome:
    """Simulate one load with one way and limit."""
    site_type, delay, min_delay = WAYS[way]
    changed = dataclasses.replace(PLANS[plan], hedging_percent=percent)
    with (
        mock.patch.object(hedging.RunningQuantile, "value", delay),
        mock.patch.object(hedging, "MIN_DELAY_SECONDS", min_delay),
    ):
        site = site_type(changed, seed)
        total = site.run()
    unanswered = total.sent - len(site.waits)
    return Outcome(
        site.waits + [math.inf] * unanswered,
        site.opening_waits,
        site.openings,
        site.hedges[actions.HedgeOutcome.OFFERED],
        site.hedges[actions.HedgeOutcome.WON],
    )


def _simulate_job(job: tuple[str, str, int, int]) -> Outcome:
    return simulate(*job)


def main() -> None:
    """Simulate all ways at all limits and report the figures."""
    ways = [("second offer", 0), *itertools.product(WAYS, LIMITS_PERCENT)]
    jobs = [(w, plan, p, s) for plan in PLANS for w, p in ways for s in SEEDS]
    figures = []
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as executor:
        outcomes = executor.map(_simulate_job, jobs)
        for (way, plan, percent, _), *group in zip(
            jobs[:: len(SEEDS)], *[iter(outcomes)] * len(SEEDS), strict=True
        ):
            name = f"{plan}: {way}, {percent}%" if percent else f"{plan}: off"
            made = _figures(name, group)
            print(name, [round(f.value, 4) for f in made], flush=True)
            figures += made
    results.report("hedging", figures)


def _figures(name: str, group: list[Outcome]) -> list[results.Figure]:
    waits = sorted(wait for one in group for wait in one.waits)
    opening_waits = sorted(wait for one in group for wait in one.opening_waits)
    openings = sum(one.openings for one in group)
    offered = sum(one.offered for one in group)
    won = sum(one.won for one in group)
    figures = [
        results.Figure(f"{name}: wait, quantile {q}", waits[int(q * len(waits))], "s")
        for q in QUANTILES
    ]
    figures += [
        results.Figure(
            f"{name}: opening, quantile {q}",
            opening_waits[int(q * len(opening_waits))],
            "s",
        )
        for q in QUANTILES
    ]
    slow = sum(wait > SLOW_OPENING_SECONDS for wait in opening_waits)
    slow_share = slow / len(opening_waits)
    figures.append(results.Figure(f"{name}: openings over 0.1 s", slow_share, ""))
    figures.append(results.Figure(f"{name}: extra openings", offered / openings, ""))
    figures.append(results.Figure(f"{name}: won", won / max(1, offered), ""))
    return figures


if __name__ == "__main__":
    main()
