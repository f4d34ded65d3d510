"""Random faults on a site in memory; each part of the rules taken out must be found."""

from __future__ import annotations

import pytest

from cactushall_core.flows import (
    actions,
    agent,
    cluster_view,
    directory,
    lookups,
    servers,
)
from tests.core.flows import model

SEEDS = range(12)
MUTANT_SEEDS = range(30)
SECONDS = 30.0


def play(seed):
    site = model.Site(seed)
    site.run(SECONDS)
    return site


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_hold_under_random_faults(seed):
    site = play(seed)
    assert sum(site.counts.values()) > 0


def without_patience_for_the_dead(patch):
    patch.setattr(lookups, "DEAD_GRACE_SECONDS", 0.0)


def silence_taken_for_denial(patch):
    denied = actions.NoOwnerEvidence(denied=0, gone=0, asked_seconds=0.0)
    patch.setattr(lookups.Lookups, "_no_owner_evidence", lambda *_: denied)


def young_entries_decide(patch):
    patch.setattr(cluster_view, "STARTUP_SETTLE_SECONDS", 0.0)
    patch.setattr(cluster_view, "MEMBERSHIP_SETTLE_SECONDS", 0.0)


def memory_always_whole(patch):
    original = agent.AgentFlows.hear

    def hear(self, announcement, now):
        outcome = original(self, announcement, now)
        self._has_seen_all_flows = True
        return outcome

    patch.setattr(agent.AgentFlows, "hear", hear)


def drains_are_ignored(patch):
    def takes(self, service):
        return any(e.service == service for e in self.member.endpoints)

    patch.setattr(directory.Agent, "accepts", takes)
    ready = property(lambda _: servers.State.READY)
    patch.setattr(servers.Server, "state", ready)


def nothing_is_reset(patch):
    patch.setattr(lookups.Lookups, "_no_owner_evidence", lambda *_: None)


def lost_flows_are_not_denied(patch):
    patch.setattr(agent.AgentFlows, "_handle_bounced", lambda *_: [])


@pytest.mark.parametrize(
    "plant",
    [
        without_patience_for_the_dead,
        silence_taken_for_denial,
        young_entries_decide,
        memory_always_whole,
        drains_are_ignored,
        nothing_is_reset,
        lost_flows_are_not_denied,
    ],
)
def test_a_planted_fault_is_found(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises(model.BrokenRuleError):
        for seed in MUTANT_SEEDS:
            play(seed)
