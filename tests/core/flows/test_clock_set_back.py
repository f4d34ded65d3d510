"""Tests of flows of an agent that starts again on a VM whose clock was set back."""

from __future__ import annotations

import pytest

from tests.core.flows import fleet

AGENTS = 12
ENTRIES = 3
CLOCK_OFFSET_SECONDS = -60.0
STOPPED_SECONDS = 1.0
# As where its backend server returns no probe of an open flow at first.
SILENT_SECONDS = 6.0


@pytest.fixture(
    scope="module",
    params=[(end, seed) for end in ("stop", "kill") for seed in (1, 2)],
    ids=lambda param: f"{param[0]}-{param[1]}",
)
def calls(request):
    """Calls of open flows of an agent that has started again, and their fleet."""
    end, seed = request.param
    members = fleet.Fleet(AGENTS, ENTRIES, seed)
    members.run(fleet.QUIET_SECONDS)
    ended = members.agents[4]
    getattr(members, end)(ended)
    members.run(STOPPED_SECONDS)
    started = members.start_agent_again(ended, CLOCK_OFFSET_SECONDS)
    started.answers_from = members.now + SILENT_SECONDS
    callers = [
        members.add_caller(started, receiver, after)
        for receiver in members.entries
        # The last packet comes after entries have forgotten the agent that ended.
        for after in (3.0, 5.0, 62.0)
    ]
    members.run(60.0)
    members.run_until_answered(10.0)
    members.run(fleet.QUIET_SECONDS)
    return members, callers


def test_no_flow_of_the_agent_is_reset(calls):
    members, callers = calls
    wrong = [c.reset.evidence for c in callers if members.is_wrongly_reset(c)]
    assert wrong == []


def test_agent_is_asked(calls):
    _members, callers = calls
    slowest = max(caller.seconds_to_delivery for caller in callers)
    assert slowest <= fleet.MAX_ANSWER_SECONDS


def test_agent_accepts_new_flows(calls):
    members, _callers = calls
    started = members.agents[-1]
    for process in members.entries:
        accepting = process.flows._view.agents.accepting(fleet.SERVICE)
        assert started.membership.member in [agent.member for agent in accepting]
