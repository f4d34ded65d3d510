"""Simulations of second offers under random faults: loss, restarts, new limits."""

from __future__ import annotations

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from cactushall_core.flows import actions, hedging, messages, pending_flows, routes
from tests.core.flows import builders, model

SECONDS = 6.0
WARM_SECONDS = 0.02
LOSS_SHARE = 0.08
LIMIT_CHANGE_SHARE = 0.01
LIMITS_PERCENT = (0, 1, 5, 20)
ONCE_PORT = builders.NEW_ROUTE_FLOW.service_port


class HedgedSite(model.Site):
    """A site with a route whose requests may run once and one whose may be repeated.

    Messages and opening packets are lost at random, and limits change at random.
    """

    def __init__(self, seed):
        """Start with the highest limit."""
        self.percent = LIMITS_PERCENT[-1]
        self.openings = collections.Counter()
        self.offers = collections.Counter()
        self.served = collections.defaultdict(set)
        self.loss = random.Random(seed + 1)
        super().__init__(seed)

    def run(self, seconds, fault_share=0.02):
        """Simulate some time, and check the limit at its end."""
        super().run(seconds, fault_share)
        for one, offered in self.offers.items():
            allowed = LIMITS_PERCENT[-1] / 100 * self.openings[one]
            if offered > allowed + 1e-6:
                raise model.InvariantError(f"{offered} offers, {allowed} allowed")

    def start_entry(self, index):
        """Start an entry that has measured openings and has a limit."""
        self.table = _two_routes()
        super().start_entry(index)
        one = self.entries[index]
        one.set_hedging_limit(self.percent)
        self._measure(one)

    def _measure(self, one):
        for _ in range(hedging.MIN_SAMPLES):
            one._hedges.record_opened(builders.SERVICE, WARM_SECONDS)

    def inject_fault(self):
        """Inject a fault, or change the limit as a reload of the settings does."""
        if self.loss.random() < LIMIT_CHANGE_SHARE * 10:
            self.percent = self.loss.choice(LIMITS_PERCENT)
            for one in self.entries:
                one.set_hedging_limit(self.percent)
                self._measure(one)
            return
        super().inject_fault()

    def open_flow(self):
        """Open several flows, of which every fourth may run its request once."""
        for _ in range(4):
            super().open_flow()
            flow = self.callers[-1]
            if flow.id.caller_port % 4 == 0:
                flow.id = flow.id._replace(service_port=ONCE_PORT)

    def execute_entry_actions(self, index, decided):
        """Check and carry out an entry's actions; lose some of them."""
        one = self.entries[index]
        for action in decided:
            if isinstance(action, actions.RecordHedge):
                self._check_hedge(one, action)
            if isinstance(action, actions.Forward) and action.placement is not None:
                self.openings[one] += action.placement.tries == 0
        kept = [action for action in decided if not self._is_lost(action)]
        super().execute_entry_actions(index, kept)
        due_at = one.next_offer_at
        if due_at is not None:
            self.schedule((0.0, 0.001), lambda: self._offer_due(index, one))

    def _offer_due(self, index, one):
        due_at = one.next_offer_at
        if self.entries[index] is one and due_at is not None and due_at <= self.now:
            self.execute_entry_actions(index, one.offer_due(self.now))

    def _check_hedge(self, one, action):
        self.counts[action.outcome.value] += 1
        if action.outcome is not actions.HedgeOutcome.OFFERED:
            return
        self.offers[one] += 1
        if action.flow.service_port == ONCE_PORT:
            raise model.InvariantError("second offer of a request that may run once")
        if action.flow in one._owned:
            raise model.InvariantError("second offer after an acceptance")

    def _is_lost(self, action):
        is_opening = isinstance(action, actions.Forward) and action.placement
        is_release = isinstance(action, actions.SendMessage) and isinstance(
            action.message, messages.ReleaseFlow
        )
        return bool(is_opening or is_release) and self.loss.random() < LOSS_SHARE

    def send_message(self, own, action):
        """Send a message; a release reaches its agent after a delay."""
        message = action.message
        if not isinstance(message, messages.ReleaseFlow):
            super().send_message(own, action)
            return
        host = self.hosts[int(action.address.host.rpartition(".")[2]) - 1]

        def arrive():
            if host.agent is not None:
                decided = host.agent.handle_release(
                    message.flow, message.opening_sequence, self.now
                )
                self.execute_agent_actions(host, decided)

        self.schedule(model.NETWORK_DELAY_SECONDS, arrive)

    def execute_agent_actions(self, host, decided):
        """Carry out an agent's actions, and count flows that were released late."""
        for action in decided:
            if isinstance(action, actions.RecordHedge):
                self.counts[action.outcome.value] += 1
        super().execute_agent_actions(host, decided)

    def deliver_to_server(self, host, packet):
        """Deliver a packet, and check that one server gets a flow's requests."""
        if packet.length and self.was_chosen_by_caller(host, packet):
            self.served[packet.flow].add(host.number)
            if len(self.served[packet.flow]) > 1:
                raise model.InvariantError("two servers got requests of one flow")
        super().deliver_to_server(host, packet)


def _two_routes():
    table = builders.route_table(flows=(builders.FLOW, builders.NEW_ROUTE_FLOW))
    address = builders.service_address(builders.FLOW)
    changed = routes.Route(
        "board",
        address,
        table.routes[address].shares,
        routes.Repeatability.IDEMPOTENT,
    )
    return routes.RouteTable(
        table.revision,
        {**table.routes, address: changed},
        table.health_paths,
        table.idle_timeout_seconds,
    )


def simulate(seed):
    site = HedgedSite(seed)
    site.run(SECONDS)
    return site


@hypothesis.settings(max_examples=6, deadline=None)
@hypothesis.given(seed=strategies.integers(0, 10_000))
def test_rules_hold_under_random_faults(seed):
    simulate(seed)


def test_simulation_makes_second_offers_that_win_and_lose():
    counts = collections.Counter()
    for seed in range(3):
        counts += simulate(seed).counts
    for outcome in actions.HedgeOutcome:
        assert counts[outcome.value] > 0, outcome


def offers_for_any_route(patch):
    repeated = staticmethod(lambda *_: routes.Repeatability.IDEMPOTENT)
    patch.setattr(routes.Route, "repeatability", property(repeated))


def limit_does_not_count(patch):
    patch.setattr(hedging.HedgingLimit, "try_spend", lambda _: True)


def accepted_flows_stay_pending(patch):
    patch.setattr(pending_flows.PendingFlows, "remove", lambda *_: None)


@pytest.mark.parametrize(
    "mutate", [offers_for_any_route, limit_does_not_count, accepted_flows_stay_pending]
)
def test_simulation_detects_mutant(mutate, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(model.InvariantError):
        for seed in range(8):
            simulate(seed)
