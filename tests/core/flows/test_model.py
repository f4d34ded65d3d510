"""Simulations under random faults, which must detect each removed part of the rules."""

from __future__ import annotations

import pytest

from cactushall_core.flows import (
    actions,
    agent,
    cluster_view,
    directory,
    entry,
    held_flows,
    lookups,
    messages,
    servers,
)
from tests.core.flows import builders, model

SEEDS = range(12)
MUTANT_SEEDS = range(60)
SECONDS = 30.0


def simulate(seed):
    site = model.Site(seed)
    site.run(SECONDS)
    return site


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_hold_under_random_faults(seed):
    site = simulate(seed)
    assert sum(site.counts.values()) > 0


def no_grace_period_for_dead_agents(patch):
    patch.setattr(lookups, "DEAD_GRACE_SECONDS", 0.0)


def silence_counts_as_denial(patch):
    denied = actions.NoOwnerEvidence(
        denied=0,
        gone=0,
        excluded=0,
        asked_seconds=0.0,
        known_present=0,
        known_gone=0,
        newest_change_seconds=0.0,
        table_basis="",
        table_source="",
        table_age_seconds=0.0,
    )
    patch.setattr(lookups.Lookups, "_no_owner_evidence", lambda *_: denied)


def only_the_registered_owner_counts(patch):
    patch.setattr(lookups.Lookups, "_possible_owners", lambda *_: {})


def entries_decide_before_they_know_all_agents(patch):
    evidence = property(lambda _: builders.COMPLETE)
    patch.setattr(cluster_view.ClusterView, "evidence", evidence)


def agents_assume_to_have_seen_all_flows(patch):
    original = agent.AgentFlows.handle_announcement

    def handle_announcement(self, announcement, now):
        outcome = original(self, announcement, now)
        self._untracked.record_none_missed()
        return outcome

    patch.setattr(agent.AgentFlows, "handle_announcement", handle_announcement)


def any_other_start_counts_as_seen(patch):
    original = agent.AgentFlows.handle_announcement

    def handle_announcement(self, announcement, now):
        previous = self._server.latest_announcement
        outcome = original(self, announcement, now)
        is_other = previous is not None and servers.is_other_start(
            announcement, previous
        )
        if outcome is servers.Outcome.APPLIED and is_other:
            self._untracked.record_none_missed()
        return outcome

    patch.setattr(agent.AgentFlows, "handle_announcement", handle_announcement)


def first_heartbeats_prove_a_start(patch):
    original = agent.AgentFlows.handle_announcement

    def handle_announcement(self, announcement, now):
        previous = self._server.latest_announcement
        outcome = original(self, announcement, now)
        is_other = servers.is_other_start(announcement, previous)
        if is_other and servers.has_just_started(announcement):
            self._untracked.record_none_missed()
        return outcome

    patch.setattr(agent.AgentFlows, "handle_announcement", handle_announcement)


def times_of_start_prove_a_start(patch):
    def handle_announcement(self, announcement, now):
        # As if a connection had been refused when the agent started.
        self._absence.record_refused(self._started_at)
        return announce(self, announcement, now)

    def start(self, server, now, cold=None):
        self._started_at = now
        construct(self, server, now, cold)

    construct = agent.AgentFlows.__init__
    announce = agent.AgentFlows.handle_announcement
    patch.setattr(agent.AgentFlows, "__init__", start)
    patch.setattr(agent.AgentFlows, "handle_announcement", handle_announcement)


def drains_are_ignored(patch):
    def accepts(self, service):
        return any(e.service == service for e in self.member.endpoints)

    patch.setattr(directory.Agent, "accepts", accepts)
    ready = property(lambda _: servers.State.READY)
    patch.setattr(servers.Server, "state", ready)


def nothing_is_reset(patch):
    patch.setattr(lookups.Lookups, "_no_owner_evidence", lambda *_: None)


def bounced_packets_are_ignored(patch):
    patch.setattr(agent.AgentFlows, "_handle_bounced", lambda *_: [])


def notices_exclude_all_flows(patch):
    patch.setattr(held_flows.HeldFlows, "excludes", lambda *_: True)


def agents_tell_flows_that_they_cannot_know(patch):
    original = agent.AgentFlows.leave

    def leave(self):
        self._untracked.record_none_missed()
        return original(self)

    patch.setattr(agent.AgentFlows, "leave", leave)


def notices_count_for_any_process_at_the_address(patch):
    original = entry.EntryFlows._handle_denial

    def handle_denial(self, agent, message, now):
        told = messages.tell_sender(message, agent.member.id)
        return original(self, agent, told, now)

    patch.setattr(entry.EntryFlows, "_handle_denial", handle_denial)


@pytest.mark.parametrize(
    "mutate",
    [
        notices_count_for_any_process_at_the_address,
        no_grace_period_for_dead_agents,
        silence_counts_as_denial,
        only_the_registered_owner_counts,
        entries_decide_before_they_know_all_agents,
        agents_assume_to_have_seen_all_flows,
        any_other_start_counts_as_seen,
        first_heartbeats_prove_a_start,
        times_of_start_prove_a_start,
        drains_are_ignored,
        nothing_is_reset,
        bounced_packets_are_ignored,
        notices_exclude_all_flows,
        agents_tell_flows_that_they_cannot_know,
    ],
)
def test_simulation_detects_mutant(mutate, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(model.InvariantError):
        for seed in MUTANT_SEEDS:
            simulate(seed)
