"""Tests of what callers of open flows see while an entry starts."""

from __future__ import annotations

import random

import pytest

from cactushall_core.flows import actions, packets
from tests.core.flows import builders, fleet

ENTRIES = 6
SEEDS = 3
STARTED_ENTRIES = 3
AGENT_CHANGE_SECONDS = 0.5
AGENT_KNOWN_SECONDS = 2.0
ENTRY_RESTART_SECONDS = 0.4
PACKET_SECONDS = 0.1
AFTER_ADOPTION_SECONDS = 4.0
NEW_FLOWS = 10


def with_cases(fixture, *cases):
    """Run a test with a fixture of each case: a number of agents, and more."""
    return pytest.mark.parametrize(
        fixture, cases, indirect=True, ids=lambda case: "-".join(map(str, case))
    )


def make_fleet(agents, seed):
    """Return a fleet in which all know each other and nothing changes."""
    members = fleet.Fleet(agents, ENTRIES, seed)
    members.run(fleet.QUIET_SECONDS)
    return members


def seeds_of(members):
    return [process.address for process in members.entries[:SEEDS]]


def assert_no_wrong_reset(calls):
    wrong = [c for c in calls.owned if calls.members.is_wrongly_reset(c)]
    evidence = [caller.reset.evidence for caller in wrong[:3]]
    assert not wrong, f"{len(wrong)} of {len(calls.owned)} reset: {evidence}"


def assert_delivered(calls):
    late = [c for c in calls.owned if c.seconds_to_delivery > fleet.MAX_ANSWER_SECONDS]
    assert not late, f"{len(late)} of {len(calls.owned)} not delivered in time"


def assert_unowned_reset(calls):
    late = [c for c in calls.unowned if c.seconds_to_reset > fleet.MAX_ANSWER_SECONDS]
    assert not late, f"{len(late)} of {len(calls.unowned)} not reset in time"


# One entry starts in a fleet in which nothing else changes.


@pytest.fixture(scope="module")
def started(request):
    """Calls to an entry that starts; all others know each other."""
    agents, seed = request.param
    members = make_fleet(agents, seed)
    owners = members.agents
    started = members.start_entry(seeds_of(members))
    return fleet.Calls(members, owners, [started], seed).run()


started_cases = with_cases("started", (64, 1), (64, 2), (300, 1), (300, 2))


@started_cases
def test_started_entry_resets_no_flow_of_an_agent_it_has_not_met(started):
    assert_no_wrong_reset(started)


@started_cases
def test_started_entry_delivers_to_an_agent_it_has_not_met(started):
    assert_delivered(started)


@started_cases
def test_started_entry_resets_a_flow_without_owner(started):
    assert_unowned_reset(started)


# Entries start while agents join through the same seeds.


@pytest.fixture(scope="module")
def started_beside_others(request):
    """Calls to entries whose seeds have just answered many joins."""
    agents, seed = request.param
    members = make_fleet(agents, seed)
    owners = members.agents
    seeds = seeds_of(members)
    fleet.add_agents(members, seeds)
    started = [members.start_entry(seeds) for _ in range(STARTED_ENTRIES)]
    return fleet.Calls(members, owners, started, seed).run()


beside_others_cases = with_cases(
    "started_beside_others", (50, 1), (50, 2), (64, 1), (64, 2), (300, 1)
)


@beside_others_cases
def test_entry_started_beside_others_resets_no_flow(started_beside_others):
    assert_no_wrong_reset(started_beside_others)


@beside_others_cases
def test_entry_started_beside_others_delivers(started_beside_others):
    assert_delivered(started_beside_others)


@beside_others_cases
def test_entry_started_beside_others_resets_a_flow_without_owner(
    started_beside_others,
):
    assert_unowned_reset(started_beside_others)


# Seeds that have just started themselves.


@pytest.fixture(scope="module")
def started_with_new_seed(request):
    """Calls to an entry whose only seed has just started."""
    agents, seed = request.param
    members = make_fleet(agents, seed)
    owners = members.agents
    new_seed = members.start_entry(seeds_of(members))
    started = members.start_entry([new_seed.address])
    return fleet.Calls(members, owners, [started], seed).run()


@pytest.fixture(scope="module")
def started_pair(request):
    """Calls to two entries started at once, each among the other's seeds."""
    agents, seed = request.param
    members = make_fleet(agents, seed)
    owners = members.agents
    known = members.entries[0].address
    first = members.start_entry([known])
    second = members.start_entry([first.address, known])
    first.membership.set_contacts([second.address, known])
    return fleet.Calls(members, owners, [first, second], seed).run()


new_seed_cases = with_cases("started_with_new_seed", (64, 1), (64, 2), (300, 1))
pair_cases = with_cases("started_pair", (64, 1), (64, 2), (300, 1))


@new_seed_cases
def test_entry_whose_only_seed_has_just_started_resets_no_flow(started_with_new_seed):
    assert_no_wrong_reset(started_with_new_seed)


@new_seed_cases
def test_entry_whose_only_seed_has_just_started_delivers(started_with_new_seed):
    assert_delivered(started_with_new_seed)


@new_seed_cases
def test_entry_whose_only_seed_has_just_started_resets_a_flow_without_owner(
    started_with_new_seed,
):
    assert_unowned_reset(started_with_new_seed)


@pair_cases
def test_two_entries_started_at_once_reset_no_flow(started_pair):
    assert_no_wrong_reset(started_pair)


@pair_cases
def test_two_entries_started_at_once_deliver(started_pair):
    assert_delivered(started_pair)


@pair_cases
def test_two_entries_started_at_once_reset_a_flow_without_owner(started_pair):
    assert_unowned_reset(started_pair)


# All entries restart one after the other while agents are added and leave.


class RollingRestart:
    """Calls to a fleet whose entries restart while its agents change."""

    def __init__(self, agents, entries, seed):
        """Start a fleet; `run` restarts its entries."""
        self.members = fleet.Fleet(agents, entries, seed)
        self.rng = random.Random(seed)
        self.owner_since = dict.fromkeys(self.members.agents, 0.0)
        self.owned = []
        self.unowned = []

    def run(self):
        """Restart all entries, then run on until all callers should have an answer."""
        self.members.run(fleet.QUIET_SECONDS)
        for process in self.members.entries:
            self.members.restart_entry(process)
            self.run_changes(ENTRY_RESTART_SECONDS)
        self.members.run_until_answered(fleet.MAX_ANSWER_SECONDS)
        self.owned = [c for c in self.owned if c.owner in self.owner_since]
        return self

    def run_changes(self, seconds):
        """Run the fleet while agents change and callers send packets."""
        end = self.members.now + seconds
        while self.members.now < end:
            if self.rng.random() < self.members.step_seconds / AGENT_CHANGE_SECONDS:
                self.change_agents()
            if self.rng.random() < self.members.step_seconds / PACKET_SECONDS:
                self.add_callers()
            self.members.step()

    def owners(self):
        """Return the agents that have run long enough to own flows."""
        now = self.members.now
        return [agent for agent, since in self.owner_since.items() if since <= now]

    def change_agents(self):
        """Stop one agent and start another."""
        leaving = self.rng.choice(self.owners())
        del self.owner_since[leaving]
        self.members.stop(leaving)
        added = self.members.start_agent(seeds_of(self.members))
        self.owner_since[added] = self.members.now + AGENT_KNOWN_SECONDS

    def add_callers(self):
        """Let callers of a flow with and of one without owner send a packet."""
        owner = self.rng.choice(self.owners())
        self.owned.append(self.members.add_caller(owner))
        self.unowned.append(self.members.add_caller(None))


@pytest.fixture(scope="module")
def rolling_restart(request):
    """Calls during a rolling restart."""
    return RollingRestart(*request.param).run()


rolling_cases = with_cases(
    "rolling_restart", (15, 4, 1), (40, 12, 2), (50, 12, 4), (61, 20, 2)
)


@rolling_cases
def test_rolling_restart_resets_no_flow(rolling_restart):
    assert_no_wrong_reset(rolling_restart)


@rolling_cases
def test_rolling_restart_delivers(rolling_restart):
    assert_delivered(rolling_restart)


@rolling_cases
def test_flows_without_owner_are_reset_after_a_rolling_restart(rolling_restart):
    still_open = [c for c in rolling_restart.unowned if c.reset is None]
    assert not still_open, f"{len(still_open)} of {len(rolling_restart.unowned)} open"


# An entry has known all agents for a while; the route led to another service before.


@pytest.fixture(scope="module")
def settled(request):
    """Calls to an entry that knows all agents, of one or two services."""
    agents, service_count = request.param
    services = (builders.SERVICE, builders.OTHER_SERVICE)[:service_count]
    members = fleet.Fleet(agents, 1, 1, services)
    members.run(fleet.QUIET_SECONDS)
    former = services[-1]
    owners = [a for a in members.agents if a.serves(former)]
    return fleet.Calls(members, owners, members.entries, 1).run()


settled_cases = with_cases("settled", (66, 1), (66, 2), (300, 1), (300, 2))


@settled_cases
def test_entry_with_many_agents_resets_no_flow(settled):
    assert_no_wrong_reset(settled)


@settled_cases
def test_entry_with_many_agents_asks_the_owner(settled):
    assert_delivered(settled)


@settled_cases
def test_entry_with_many_agents_resets_a_flow_without_owner(settled):
    assert_unowned_reset(settled)


# An entry starts with an older route table than the fleet has.


class StartWithOlderRoutes:
    """Calls to an entry that took its routes from a member that lagged."""

    def __init__(self, agents, seed):
        """Start the entry; `run` lets callers send packets."""
        self.members = make_fleet(agents, seed)
        for process in self.members.running.values():
            self.members.adopt(process, builders.newer_route_table())
        self.members.run(fleet.QUIET_SECONDS)
        owners = self.members.agents
        self.started = self.members.start_entry(seeds_of(self.members))
        self.members.adopt(self.started, builders.older_route_table())
        rng = random.Random(seed)
        self.owned = [
            self.add_caller(
                builders.NEW_ROUTE_FLOW, owner, rng.uniform(*fleet.FIRST_PACKET_SECONDS)
            )
            for owner in rng.sample(owners, fleet.OWNED_FLOWS)
        ]
        self.dropped = [
            self.add_caller(builders.DROPPED_ROUTE_FLOW, owner, AFTER_ADOPTION_SECONDS)
            for owner in rng.sample(owners, fleet.UNOWNED_FLOWS)
        ]
        self.opened = self.add_opening_callers(builders.NEW_ROUTE_FLOW, 0.0)
        self.refused = self.add_opening_callers(builders.NO_ROUTE_FLOW, 0.0)
        self.refused_later = self.add_opening_callers(
            builders.NO_ROUTE_FLOW, AFTER_ADOPTION_SECONDS
        )

    def add_caller(self, like, owner, after, *, is_opening=False):
        """Let a caller send a packet to the started entry."""
        return self.members.add_caller(
            owner, self.started, after, like=like, is_opening=is_opening
        )

    def add_opening_callers(self, like, after):
        """Let callers open flows of a route."""
        return [
            self.add_caller(like, None, after, is_opening=True)
            for _ in range(NEW_FLOWS)
        ]

    def run(self):
        """Run the fleet until all callers should have an answer."""
        seconds = fleet.FIRST_PACKET_SECONDS[1] + fleet.MAX_ANSWER_SECONDS
        self.members.run_until_answered(seconds)
        return self


@pytest.fixture(scope="module")
def older_routes(request):
    """Calls to an entry that starts with an older route table than the fleet has."""
    return StartWithOlderRoutes(*request.param).run()


older_routes_cases = with_cases("older_routes", (64, 1), (64, 2), (64, 3), (300, 1))


@older_routes_cases
def test_entry_with_older_routes_resets_no_flow_of_a_new_route(older_routes):
    assert_no_wrong_reset(older_routes)


@older_routes_cases
def test_entry_with_older_routes_delivers_flows_of_a_new_route(older_routes):
    assert_delivered(older_routes)


@older_routes_cases
def test_entry_with_older_routes_places_new_flows_after_the_adoption(older_routes):
    refused = [c for c in older_routes.opened if c.reset is not None]
    assert not refused, f"{len(refused)} of {len(older_routes.opened)} refused"
    adopted_at = older_routes.started.adopted_at
    assert all(c.delivered_at >= adopted_at for c in older_routes.opened)


@older_routes_cases
def test_flow_of_a_dropped_route_is_reset_after_the_adoption(older_routes):
    assert older_routes.started.route_table == builders.newer_route_table()
    for caller in older_routes.dropped:
        assert older_routes.started.adopted_at < caller.first_sent_at
        assert caller.reset.reason is actions.Reason.NO_ROUTE
        assert caller.seconds_to_reset <= fleet.STEP_SECONDS


@older_routes_cases
def test_new_flow_without_route_is_refused_in_time(older_routes):
    bound = packets.OPENING_TIMEOUT_SECONDS + fleet.STEP_SECONDS
    for caller in older_routes.refused:
        assert caller.reset.reason is actions.Reason.NO_ROUTE
        assert caller.seconds_to_reset <= bound


@older_routes_cases
def test_new_flow_without_route_is_refused_at_once_after_the_adoption(older_routes):
    for caller in older_routes.refused_later:
        assert caller.reset.reason is actions.Reason.NO_ROUTE
        assert caller.seconds_to_reset <= fleet.STEP_SECONDS


# All contact points stop for a while, so that those that start meet none of the others.


@pytest.fixture(scope="module")
def restarted_seeds(request):
    """Calls to seeds that start again after agents have looked for them in vain."""
    agents, down_seconds, seed = request.param
    members = make_fleet(agents, seed)
    owners = members.agents
    stopped = members.entries[:SEEDS]
    seeds = seeds_of(members)
    for process in stopped:
        members.stop(process)
        members.run(ENTRY_RESTART_SECONDS)
    end = members.now + down_seconds
    while members.now < end:
        members.start_agent(seeds)
        members.run(AGENT_CHANGE_SECONDS)
    started = [members.start_entry(seeds, process.host) for process in stopped]
    return fleet.Calls(members, owners, started, seed).run()


restarted_seeds_cases = with_cases(
    "restarted_seeds", (36, 1, 1), (36, 3, 2), (36, 3, 3), (64, 2, 4)
)


@restarted_seeds_cases
def test_restarted_seeds_reset_no_flow_of_the_agents_that_they_knew(restarted_seeds):
    assert_no_wrong_reset(restarted_seeds)


@restarted_seeds_cases
def test_restarted_seeds_find_the_agents_that_they_knew(restarted_seeds):
    assert_delivered(restarted_seeds)
