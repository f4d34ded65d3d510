"""Tests of the selection of the agent that gets a new flow."""

from __future__ import annotations

import collections
import random

import pytest

from cactushall_core import identifiers
from cactushall_core.flows import agent_selection, directory, messages
from tests.core.flows import builders

OBJECTIVE_SECONDS = 0.4
OTHER_ZONE = identifiers.ZoneName("other")


def make_agent(number, requests=0, flows=0, zone=builders.ZONE):
    record = builders.agent_record(number, zone=zone)
    agent = directory.Agent(record.member, record.status, 0.0)
    agent.update_load(messages.Load(flows, requests, 1, 0.05), 1.0)
    return agent


def select(agents, rng, now=1.0):
    return agent_selection.select_agent(
        agents, builders.ZONE, OBJECTIVE_SECONDS, rng, now
    )


def selected(agents, draws=200):
    """Return how often each agent is selected, by its VM's number."""
    counts = collections.Counter()
    for seed in range(draws):
        agent = select(agents, random.Random(seed))
        counts[agents.index(agent)] += 1
    return counts


@pytest.mark.parametrize("entry_count", [4, 23, 59])
def test_entries_with_the_same_reports_spread_their_flows(entry_count):
    # Guards against all entries choosing the one agent with the least load, which
    # would get as many requests at once as there are entries.
    agents = [make_agent(n, flows=n) for n in range(1, 49)]
    counts = selected(agents, entry_count)
    assert max(counts.values()) <= max(2, entry_count // 8)


def test_the_less_loaded_of_two_agents_is_selected():
    assert selected([make_agent(1, requests=1), make_agent(2)]) == {1: 200}


def test_agents_that_tie_are_selected_equally_often():
    counts = selected([make_agent(1), make_agent(2)])
    assert min(counts.values()) > 70


def test_no_agent_is_selected_while_none_has_capacity():
    agents = [make_agent(n, requests=6) for n in range(1, 20)]
    assert select(agents, random.Random(1)) is None


def test_the_only_agent_with_capacity_is_found():
    # Guards against a draw that gives up before it has seen all agents.
    agents = [make_agent(n, requests=6) for n in range(1, 48)] + [make_agent(48)]
    assert selected(agents) == {47: 200}


def test_an_agent_that_has_declined_is_left_out_for_a_while():
    agents = [make_agent(1), make_agent(2, requests=1)]
    agents[0].mark_full(1.0)
    assert selected(agents) == {1: 200}


def test_an_idle_agent_of_the_own_zone_comes_before_those_of_others():
    agents = [make_agent(1, flows=5), make_agent(2, zone=OTHER_ZONE)]
    assert selected(agents) == {0: 200}


def test_agents_of_other_zones_are_selected_while_the_own_zone_is_busy():
    # Guards against one zone's queue while others have idle servers.
    agents = [make_agent(1, requests=1), make_agent(2, zone=OTHER_ZONE)]
    assert selected(agents) == {1: 200}
