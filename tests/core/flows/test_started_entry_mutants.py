"""Scenarios of an entry's view, which must detect each removed part of the rule."""

from __future__ import annotations

import math

import msgspec
import pytest

from cactushall_core.flows import cluster_view, lookup_state, lookups, query_queue
from cactushall_core.membership import (
    completeness,
    records,
    state,
    table_exchange,
)
from tests.core.flows import builders, fleet

AGENTS = 64
ENTRIES = 6
SMALL_FLEET_AGENTS = 12
SEEDS = range(2)
MUTANT_SEEDS = range(8)
QUIET_SECONDS = 0.5
MAX_ANSWER_SECONDS = 10.0
PACKETS_SECONDS = 1.5
PAUSE_SECONDS = 3.0
# Shorter than the silence that makes a member incomplete.
SHORT_PAUSE_SECONDS = 0.6
OWNED_FLOWS = 24
UNOWNED_FLOWS = 2
ADDED_AGENTS = 12
# Other entries place flows on an agent only once they know it.
AGENT_KNOWN_SECONDS = 0.5
# Soon after it, an entry that was isolated may not know yet who has joined.
RECONNECTED_SECONDS = 0.3
SHORT_SILENCE_SECONDS = 0.4
# Longer than new members wait for contact points that do not answer.
OUTAGE_SECONDS = 4.5
READ_SECONDS = 0.1
LONG_SILENCE_SECONDS = 1.0


class RuleError(AssertionError):
    """A flow was reset wrongly, or neither delivered nor reset."""


def make_fleet(seed, agents=AGENTS, entries=ENTRIES, **kwargs):
    members = fleet.Fleet(agents, entries, seed, **kwargs)
    members.run(QUIET_SECONDS)
    return members


def seeds_of(members):
    return [process.address for process in members.entries[:3]]


def add_callers(members, owners, receiver, within=PACKETS_SECONDS):
    """Let callers of some flows with owner and of some without send a packet."""
    chosen = members.rng.sample(owners, min(len(owners), OWNED_FLOWS))
    for owner in chosen + [None] * UNOWNED_FLOWS:
        members.add_caller(owner, receiver, members.rng.uniform(0.0, within))


def start_agents(members, seconds, seeds=None):
    """Let agents join one after the other."""
    joined = []
    for _ in range(ADDED_AGENTS):
        joined.append(members.start_agent(seeds or seeds_of(members)))
        members.run(seconds / ADDED_AGENTS)
    return joined


def check_answers(members):
    """Run until all callers should have an answer, and check each."""
    members.run_until_answered(MAX_ANSWER_SECONDS)
    for caller in members.callers.values():
        if members.is_wrongly_reset(caller):
            raise RuleError(f"wrongly reset: {caller.reset.evidence}")
        if not caller.is_done:
            raise RuleError("neither delivered nor reset")


# Scenarios.


def entry_starts(seed):
    members = make_fleet(seed)
    started = members.start_entry(seeds_of(members))
    add_callers(members, members.agents, started)
    check_answers(members)


def entries_start_while_their_seed_is_silent(seed, seconds=SHORT_SILENCE_SECONDS):
    """Two entries start at once; their only other seed answers after some seconds."""
    members = make_fleet(seed)
    known = members.entries[0]
    members.pause(known)
    started = start_pair(members, known)
    add_callers(members, members.agents, started, seconds)
    members.run(seconds)
    members.resume(known)
    check_answers(members)


def start_pair(members, known):
    """Start two entries that are each among the other's seeds, and return one."""
    first = members.start_entry([known.address])
    second = members.start_entry([first.address, known.address])
    first.membership.set_contacts([second.address, known.address])
    return second


def packets_come_once_while_the_seed_is_silent(seed):
    members = make_fleet(seed)
    known = members.entries[0]
    members.pause(known)
    started = start_pair(members, known)
    for owner in members.rng.sample(members.agents, OWNED_FLOWS):
        members.add_caller(owner, started, is_repeating=False)
    members.run(SHORT_SILENCE_SECONDS)
    members.resume(known)
    check_answers(members)


def started_members_know_each_other_while_their_seed_is_silent(seed):
    """Three entries and an agent start at once, more than the seeds that are silent."""
    members = make_fleet(seed)
    known = members.entries[0]
    owners = members.agents
    members.pause(known)
    first = members.start_entry([known.address])
    started = [members.start_entry([first.address, known.address]) for _ in range(2)]
    members.start_agent([first.address])
    first.membership.set_contacts([known.address, *(p.address for p in started)])
    add_callers(members, owners, started[0], SHORT_SILENCE_SECONDS)
    members.run(SHORT_SILENCE_SECONDS)
    members.resume(known)
    check_answers(members)


def seed_has_missed_agents_that_joined(seed):
    """The only seed of an entry was cut off, too shortly to count as incomplete."""
    members = make_fleet(seed)
    known = members.entries[0]
    far = [process.address for process in members.agents[-3:]]
    members.isolate(known)
    joined = start_agents(members, SHORT_PAUSE_SECONDS, far)
    members.run(SHORT_SILENCE_SECONDS)
    members.reconnect(known)
    started = members.start_entry([known.address])
    add_callers(members, joined, started, SHORT_PAUSE_SECONDS)
    check_answers(members)


def entry_starts_while_agents_join_elsewhere(seed):
    """Agents join through others than the seed of the entry; datagrams are lost."""
    members = make_fleet(seed)
    members.lost_share = 0.3
    far = [process.address for process in members.agents[-3:]]
    joined = start_agents(members, 0.2, far)
    started = members.start_entry(seeds_of(members)[:1])
    joined += start_agents(members, 0.2, far)
    members.run(AGENT_KNOWN_SECONDS)
    members.lost_share = 0.0
    for owner in joined:
        members.add_caller(owner, started, members.rng.uniform(0.0, 0.3))
    check_answers(members)


def entry_is_paused_while_agents_join(seed, seconds=PAUSE_SECONDS):
    members = make_fleet(seed)
    paused = members.entries[-1]
    members.pause(paused)
    joined = start_agents(members, seconds)
    members.run(AGENT_KNOWN_SECONDS)
    members.resume(paused)
    add_callers(members, joined, paused)
    check_answers(members)


def entry_is_paused_briefly_while_agents_join(seed):
    entry_is_paused_while_agents_join(seed, SHORT_PAUSE_SECONDS)


def entry_is_paused_again_while_agents_join(seed):
    """The entry is paused for a second time while it awaits the answer to a request."""
    members = make_fleet(seed)
    paused = members.entries[-1]
    members.pause(paused)
    members.run(SHORT_SILENCE_SECONDS)
    members.resume(paused)
    members.run_until(lambda: is_awaiting_answer(members, paused), QUIET_SECONDS)
    members.pause(paused)
    joined = start_agents(members, PAUSE_SECONDS)
    members.run(AGENT_KNOWN_SECONDS)
    members.resume(paused)
    add_callers(members, joined, paused)
    check_answers(members)


def is_awaiting_answer(members, process):
    return any(node is process.membership for node, _, _ in members.replies)


def entry_is_isolated(seed):
    members = make_fleet(seed)
    isolated = members.entries[-1]
    owners = members.agents
    members.isolate(isolated)
    add_callers(members, owners, isolated, PAUSE_SECONDS)
    members.run(PAUSE_SECONDS)
    members.reconnect(isolated)
    check_answers(members)


def entry_is_isolated_while_agents_join(seed, agents=AGENTS):
    members = make_fleet(seed, agents)
    isolated = members.entries[-1]
    members.isolate(isolated)
    joined = start_agents(members, PAUSE_SECONDS)
    members.run(AGENT_KNOWN_SECONDS)
    members.reconnect(isolated)
    add_callers(members, joined, isolated, RECONNECTED_SECONDS)
    check_answers(members)


def entry_of_a_small_fleet_is_isolated_while_agents_join(seed):
    """Play it where all agents are asked at once, so that lookups are short.

    In a larger fleet likely owners are asked first, and the entry learns of the agents
    that have joined before its lookups can end.
    """
    entry_is_isolated_while_agents_join(seed, SMALL_FLEET_AGENTS)


def answers_are_lost(seed):
    members = make_fleet(seed)
    members.lost_share = 0.2
    add_callers(members, members.agents, members.entries[-1])
    check_answers(members)


def entry_misses_agents_that_report_to_it(seed):
    members = make_fleet(seed)
    receiver = members.entries[-1]
    members.isolate(receiver)
    joined = start_agents(members, 0.2)
    members.run(1.0)
    members.reporting.update(joined)
    members.reconnect(receiver)
    members.run(0.4)
    add_callers(members, joined, receiver)
    check_answers(members)


def route_led_to_another_service(seed):
    services = (builders.SERVICE, builders.OTHER_SERVICE)
    members = make_fleet(seed, 2 * AGENTS + 4, 1, services=services)
    owners = [agent for agent in members.agents if agent.serves(services[1])]
    add_callers(members, owners, members.entries[0])
    check_answers(members)


def all_start_at_once(seed):
    members = fleet.Fleet(2, 1, seed)
    for process in list(members.running.values()):
        members.kill(process)
    first = [members.start_entry([]) for _ in range(3)]
    seeds = [process.address for process in first]
    for process in first:
        process.membership.set_contacts(seeds)
    owners = [members.start_agent(seeds) for _ in range(AGENTS)]
    add_callers(members, owners, first[0])
    check_answers(members)


def new_members_have_stale_seeds(seed):
    """An entry and an agent find only each other until the store lists the fleet."""
    members = make_fleet(seed, SMALL_FLEET_AGENTS)
    owners, fleet_seeds = members.agents, seeds_of(members)
    gone = [members.make_member(records.Role.ENTRY).control_address for _ in range(3)]
    started = members.start_entry(gone)
    agent = members.start_agent([*gone, started.address])
    add_callers(members, owners, started, OUTAGE_SECONDS)
    members.run(OUTAGE_SECONDS)
    list_contacts(members, (started, agent), [*gone, *fleet_seeds, started.address])
    check_answers(members)


def new_members_have_an_old_list(seed):
    """An entry and an agent find only each other in a list that is read once.

    The fleet is listed after that read, and the store is away until the end.
    """
    members = make_fleet(seed, SMALL_FLEET_AGENTS)
    owners, fleet_seeds = members.agents, seeds_of(members)
    gone = [members.make_member(records.Role.ENTRY).control_address for _ in range(3)]
    started = members.start_entry(gone)
    agent = members.start_agent([*gone, started.address])
    members.run(READ_SECONDS)
    list_contacts(members, (started, agent), [*gone, started.address])
    add_callers(members, owners, started, OUTAGE_SECONDS)
    members.run(OUTAGE_SECONDS)
    list_contacts(members, (started, agent), [*gone, *fleet_seeds, started.address])
    check_answers(members)


def list_contacts(members, processes, listed):
    """Let processes read the contact points in the store."""
    for process in processes:
        process.membership.set_contacts(listed)
        process.membership.record_contacts_listed(members.now)


SCENARIOS = [
    new_members_have_stale_seeds,
    new_members_have_an_old_list,
    entry_starts,
    entries_start_while_their_seed_is_silent,
    started_members_know_each_other_while_their_seed_is_silent,
    seed_has_missed_agents_that_joined,
    packets_come_once_while_the_seed_is_silent,
    entry_starts_while_agents_join_elsewhere,
    entry_is_paused_while_agents_join,
    entry_is_paused_briefly_while_agents_join,
    entry_is_paused_again_while_agents_join,
    entry_is_isolated,
    entry_is_isolated_while_agents_join,
    entry_of_a_small_fleet_is_isolated_while_agents_join,
    answers_are_lost,
    entry_misses_agents_that_report_to_it,
    route_led_to_another_service,
    all_start_at_once,
]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_flow_is_reset_wrongly_or_forgotten(scenario, seed):
    scenario(seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_whose_seed_is_silent_for_long_reset_no_flow(seed):
    entries_start_while_their_seed_is_silent(seed, LONG_SILENCE_SECONDS)


# Mutants.


def _change_replies(patch, **changes):
    """Let a member take each answer for one with other statements."""
    original = completeness.Completeness.handle_reply

    def handle_reply(self, source, reply, present, now):
        changed = msgspec.structs.replace(reply, **changes)
        original(self, source, changed, present, now)

    patch.setattr(completeness.Completeness, "handle_reply", handle_reply)


def answers_of_incomplete_members_count(patch):
    _change_replies(patch, is_complete=True)


def sender_need_not_be_known(patch):
    _change_replies(patch, knew_sender=True)


def own_question_counts_as_known_through_others(patch):
    patch.setattr(completeness.Completeness, "_unanswered", lambda *_: [])


def pause_does_not_make_incomplete(patch):
    patch.setattr(state.Membership, "handle_pause", lambda *_: [])
    patch.setattr(cluster_view.ClusterView, "handle_pause", lambda *_: None)


def silence_does_not_make_incomplete(patch):
    patch.setattr(table_exchange, "ISOLATION_PROBE_INTERVALS", float("inf"))


def silence_counts_as_denial(patch):
    def is_gone_without_answer(agent, _flow_id, lookup, now):
        asked_at = lookup.asked_at.get(agent.member.id, now)
        return now - asked_at >= lookups.RETRY_INTERVAL_SECONDS

    patch.setattr(lookups, "_is_gone_without_answer", is_gone_without_answer)


def agents_that_appear_during_a_lookup_do_not_count(patch):
    original = lookups.Lookups._possible_owners
    first_owners = {}

    def possible_owners(self, flow_id):
        owners = original(self, flow_id)
        first = first_owners.setdefault((self, flow_id), set(owners))
        return {member: owners[member] for member in owners if member in first}

    patch.setattr(lookups.Lookups, "_possible_owners", possible_owners)
    patch.setattr(lookup_state.Lookup, "add_agent", lambda *_: None)


def agents_that_appear_during_a_lookup_are_not_asked(patch):
    def add_agent(self, agent):
        for lookup in self._flows.values():
            if lookup.stage is lookup_state.Stage.ALL:
                lookup.possible_owners[agent.member.id] = agent

    patch.setattr(lookups.Lookups, "_add_agent", add_agent)


def unknown_senders_are_ignored(patch):
    patch.setattr(state.Membership, "handle_unknown_sender", lambda *_: [])


def entry_is_complete_from_the_start(patch):
    evidence = property(lambda _: builders.COMPLETE)
    patch.setattr(cluster_view.ClusterView, "evidence", evidence)


def _first_agents(owners):
    return dict(list(owners.items())[: query_queue.QUERY_BURST])


def only_the_first_agents_count(patch):
    original = lookups.Lookups._possible_owners

    def possible_owners(self, flow_id):
        return _first_agents(original(self, flow_id))

    patch.setattr(lookups.Lookups, "_possible_owners", possible_owners)


def only_the_first_agents_are_asked(patch):
    original = lookups.Lookups._take_question

    def take_question(self, flow_id, agent, now):
        first = _first_agents(self._possible_owners(flow_id))
        return agent.member.id in first and original(self, flow_id, agent, now)

    patch.setattr(lookups.Lookups, "_take_question", take_question)


def nobody_is_complete_by_time(patch):
    patch.setattr(completeness.Completeness, "tick", lambda *_: None)


def time_completes_at_once(patch):
    patch.setattr(completeness, "COLD_START_SECONDS", 0.0)
    patch.setattr(completeness, "COLD_START_STABLE_SECONDS", 0.0)


def silence_counts_although_the_store_has_listed_nothing(patch):
    def is_silence_explained(self, _silent, now):
        waited = now - self._incomplete_since
        return waited >= completeness.COLD_START_SILENT_CONTACTS_SECONDS

    patch.setattr(
        completeness.Completeness, "_is_silence_explained", is_silence_explained
    )


def silence_counts_beside_an_old_list(patch):
    patch.setattr(completeness, "LIST_VALID_SECONDS", math.inf)


def silent_contacts_are_not_asked_again(patch):
    original = completeness.Completeness._silent_contacts

    def silent_contacts(self, contacts, now):
        silent = original(self, contacts, now)
        return [address for address in silent if address not in self._answers]

    patch.setattr(completeness.Completeness, "_silent_contacts", silent_contacts)


def run_all_seeds(scenario):
    for seed in MUTANT_SEEDS:
        scenario(seed)


MUTANTS = [
    (answers_of_incomplete_members_count, entries_start_while_their_seed_is_silent),
    (sender_need_not_be_known, seed_has_missed_agents_that_joined),
    (
        own_question_counts_as_known_through_others,
        entry_starts_while_agents_join_elsewhere,
    ),
    (pause_does_not_make_incomplete, entry_is_paused_briefly_while_agents_join),
    (silence_does_not_make_incomplete, entry_is_isolated_while_agents_join),
    (silence_counts_as_denial, answers_are_lost),
    (
        agents_that_appear_during_a_lookup_do_not_count,
        entries_start_while_their_seed_is_silent,
    ),
    (
        agents_that_appear_during_a_lookup_are_not_asked,
        packets_come_once_while_the_seed_is_silent,
    ),
    (unknown_senders_are_ignored, entry_misses_agents_that_report_to_it),
    (
        entry_is_complete_from_the_start,
        entry_of_a_small_fleet_is_isolated_while_agents_join,
    ),
    (only_the_first_agents_count, route_led_to_another_service),
    (only_the_first_agents_are_asked, route_led_to_another_service),
    (nobody_is_complete_by_time, all_start_at_once),
    (
        time_completes_at_once,
        started_members_know_each_other_while_their_seed_is_silent,
    ),
    (silent_contacts_are_not_asked_again, entries_start_while_their_seed_is_silent),
    (
        silence_counts_although_the_store_has_listed_nothing,
        new_members_have_stale_seeds,
    ),
    (silence_counts_beside_an_old_list, new_members_have_an_old_list),
]


@pytest.mark.parametrize(("mutate", "scenario"), MUTANTS)
def test_scenario_detects_mutant(mutate, scenario, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(RuleError):
        run_all_seeds(scenario)
