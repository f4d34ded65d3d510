"""Tests of the selection of the agent that gets a new flow."""

from __future__ import annotations

import collections
import random
import statistics

import pytest

from cactushall_core import identifiers
from cactushall_core.flows import agent_selection, directory, messages, preference
from tests.core.flows import builders

OBJECTIVE_SECONDS = 0.4
OTHER_ZONE = identifiers.ZoneName("other")


def make_agent(number, requests=0, flows=0, zone=builders.ZONE):
    record = builders.agent_record(number, zone=zone)
    agent = directory.Agent(record.member, record.status, 0.0)
    agent.update_load(messages.Load(flows, requests, 1, 0.05), 1.0)
    return agent


def select(agents, port, now=1.0):
    """Select an agent for the flow from a caller's port."""
    index = select_in(agents, order_of_port(port), now)
    return None if index is None else agents[index]


def order_of_port(port):
    return preference.order_of(builders.FLOW._replace(caller_port=port))


def select_in(agents, order, now=1.0):
    """Return the index of the agent that is selected, None where there is none."""
    agent = agent_selection.select_agent(
        agents, builders.ZONE, OBJECTIVE_SECONDS, order, now
    )
    return None if agent is None else agents.index(agent)


def selected(agents, draws=200):
    """Return how often each agent is selected, by its VM's number."""
    counts = collections.Counter()
    for port in range(draws):
        agent = select(agents, port)
        counts[agents.index(agent)] += 1
    return counts


@pytest.mark.parametrize("entry_count", [4, 23, 59])
def test_entries_with_the_same_reports_spread_their_flows(entry_count):
    # Guards against all entries choosing the one agent with the least load, which
    # would get as many requests at once as there are entries.
    agents = [make_agent(n, flows=n) for n in range(1, 49)]
    rng = random.Random(1)

    def largest(order_of):
        """Return the most flows of one agent, mean of 100 moments."""
        counts = [
            collections.Counter(
                select_in(agents, order_of(port + entry_count * moment))
                for port in range(entry_count)
            )
            for moment in range(100)
        ]
        return statistics.mean(max(count.values()) for count in counts)

    at_random = largest(lambda _: lambda some: rng.sample(list(some), len(list(some))))
    assert largest(order_of_port) <= 1.05 * at_random
    assert at_random <= max(3, entry_count / 8)


def test_the_less_loaded_of_two_agents_is_selected():
    assert selected([make_agent(1, requests=1), make_agent(2)]) == {1: 200}


def test_agents_that_tie_are_selected_equally_often():
    counts = selected([make_agent(1), make_agent(2)])
    assert min(counts.values()) > 70


def test_no_agent_is_selected_while_none_has_capacity():
    agents = [make_agent(n, requests=6) for n in range(1, 20)]
    assert select(agents, 1) is None


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
