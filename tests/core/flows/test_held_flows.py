"""Tests of the notice of the flows that remain at a server whose agent leaves."""

from __future__ import annotations

import random

import msgspec
import pytest

from cactushall_core import identifiers
from cactushall_core.flows import (
    actions,
    agent,
    entry,
    held_flows,
    lookups,
    messages,
    packets,
)
from cactushall_core.membership import records
from tests.core.flows import builders

LEFT_AT = 10.0
PROMPT_SECONDS = 0.5


def flow_of(number):
    return builders.FLOW._replace(caller_port=number)


def address_of(number):
    return numbered(number).member.control_address


def numbered(number, status=records.Status.ALIVE):
    """Return the record of one of up to 62,500 agents."""
    record = builders.agent_record(1, status)
    host = f"10.1.{number // 250}.{number % 250 + 1}"
    member_id = identifiers.MemberId(number + 1)
    member = msgspec.structs.replace(record.member, host=host, id=member_id)
    return msgspec.structs.replace(record, member=member)


def make_entry(count):
    made = entry.EntryFlows(builders.ZONE, random.Random(1), 0.0)
    made.update_routes(builders.route_table(), 0.0)
    for number in range(count):
        made.update_member(numbered(number), 0.0)
    made.update_completeness(builders.COMPLETE, 0.0)
    return made


def leave(made, number, held=None):
    """Let an agent leave, after a notice of the flows that its server holds."""
    if held is not None:
        tell(made, number, held, numbered(number).member.id)
    made.update_member(numbered(number, records.Status.LEFT), LEFT_AT)


def tell(made, number, held, sender):
    """Let the process with an id send a notice from the address of an agent."""
    for message in held_flows.make_notice(held):
        told = messages.tell_sender(message, sender)
        made.handle_message(address_of(number), told, LEFT_AT)


def successor_of(record, status=records.Status.ALIVE):
    """Return the record of the process that starts after another at its address."""
    member = msgspec.structs.replace(record.member, id=record.member.id + 1_000_000)
    return msgspec.structs.replace(record, member=member, status=status)


def reset_after(made, flow, silent):
    """Return the seconds until a flow is reset that all but some agents deny."""
    sent = made.handle_packet(builders.packet(flow=flow), LEFT_AT)
    for step in range(1, 140):
        now = LEFT_AT + 0.05 * step
        queue = [a for a in sent if isinstance(a, actions.SendMessage)]
        while queue:
            if (address := queue.pop(0).address) in silent:
                continue
            denial = messages.OwnershipDenied(flow)
            decided = made.handle_message(address, denial, now)
            queue += [a for a in decided if isinstance(a, actions.SendMessage)]
            if any(isinstance(a, actions.Reset) for a in decided):
                return now - LEFT_AT
        sent = made.handle_packet(builders.packet(flow=flow), now)
        sent += made.tick(now)
        if any(isinstance(a, actions.Reset) for a in sent):
            return now - LEFT_AT
    return float("inf")


@pytest.mark.parametrize("count", [10, 64, 300])
def test_a_dead_flow_does_not_wait_for_the_successor_of_an_agent_without_it(count):
    """Guards against one rolled agent that delays the reset of every dead flow."""
    made = make_entry(count)
    leave(made, 3, held=[flow_of(1)])
    assert reset_after(made, flow_of(2), {address_of(3)}) <= PROMPT_SECONDS


@pytest.mark.parametrize("count", [10, 64, 300])
def test_a_flow_that_the_server_may_hold_waits_for_the_successor(count):
    """Guards against a reset of a flow that a live server holds."""
    made = make_entry(count)
    leave(made, 3, held=[flow_of(1), flow_of(2)])
    seconds = reset_after(made, flow_of(2), {address_of(3)})
    assert seconds >= lookups.SUCCESSOR_GRACE_SECONDS


def test_a_flow_waits_where_the_agent_told_nothing():
    """Guards against a missing notice that is taken for an empty one."""
    made = make_entry(10)
    leave(made, 3)
    seconds = reset_after(made, flow_of(2), {address_of(3)})
    assert seconds >= lookups.SUCCESSOR_GRACE_SECONDS


def test_a_notice_of_which_a_part_is_lost_excludes_nothing():
    """Guards against flows of the lost part that are reset."""
    flows = [flow_of(n) for n in range(1000)]
    parts = held_flows.make_notice(flows)
    assert len(parts) > 1
    for lost in range(len(parts)):
        notice = held_flows.HeldFlows()
        for part in parts[:lost] + parts[lost + 1 :]:
            notice.add(part)
        assert not any(notice.excludes(flow_of(n)) for n in range(2000))


def test_a_whole_notice_excludes_all_other_flows():
    flows = [flow_of(n) for n in range(1000)]
    notice = held_flows.HeldFlows()
    for part in reversed(held_flows.make_notice(flows)):
        notice.add(part)
    assert not any(map(notice.excludes, flows))
    assert all(notice.excludes(flow_of(n)) for n in range(1000, 2000))


def test_a_notice_of_too_many_flows_is_not_sent():
    """Guards against a leave that fills small links."""
    limit = held_flows.MAX_MESSAGES * held_flows.HASHES_PER_MESSAGE
    assert len(held_flows.make_notice([flow_of(n) for n in range(limit)])) == 16
    assert held_flows.make_notice([flow_of(n) for n in range(limit + 1)]) == []


def test_a_notice_that_arrives_late_does_not_count_for_the_successor():
    """Guards against a notice of one agent that resets flows of the next one."""
    made = make_entry(10)
    successor = successor_of(numbered(3))
    made.update_member(successor, LEFT_AT)
    tell(made, 3, [], numbered(3).member.id)
    made.update_member(successor_of(numbered(3), records.Status.LEFT), LEFT_AT)
    seconds = reset_after(made, flow_of(2), {address_of(3)})
    assert seconds >= lookups.SUCCESSOR_GRACE_SECONDS


def test_a_notice_of_an_unknown_successor_does_not_count_for_its_predecessor():
    """Guards against a notice that is taken for one of an agent that goes on."""
    made = make_entry(10)
    sender = successor_of(numbered(3)).member.id
    tell(made, 3, [], sender)
    made.update_member(numbered(3, records.Status.LEFT), LEFT_AT)
    seconds = reset_after(made, flow_of(2), {address_of(3)})
    assert seconds >= lookups.SUCCESSOR_GRACE_SECONDS


def test_a_notice_that_does_not_tell_its_sender_excludes_nothing():
    """Guards against a notice of a former release that counts for any process."""
    made = make_entry(10)
    tell(made, 3, [], messages.NO_SENDER)
    made.update_member(numbered(3, records.Status.LEFT), LEFT_AT)
    seconds = reset_after(made, flow_of(2), {address_of(3)})
    assert seconds >= lookups.SUCCESSOR_GRACE_SECONDS


def make_agent(*, has_seen_start=True):
    made = agent.AgentFlows(builders.make_server(1.0), 0.0)
    made.update_routes(builders.route_table(), 0.0)
    made.update_member(builders.entry_record(1))
    if has_seen_start:
        builders.see_start(made, 0.0)
    else:
        made.handle_announcement(builders.announcement(), 0.0)
    return made


def notice_of(made):
    notice = held_flows.HeldFlows()
    for action in made.leave():
        notice.add(action.message)
    return notice


def test_an_agent_that_leaves_tells_open_and_forgotten_flows():
    """Guards against a flow that its agent has forgotten and its server holds."""
    made = make_agent()
    opening = builders.opening_packet(flow=flow_of(1))
    made.handle_caller_packet(opening, builders.ENTRY, 0.0)
    opening = builders.opening_packet(flow=flow_of(2))
    made.handle_caller_packet(opening, builders.ENTRY, 1.5)
    made.tick(2.0)
    assert made.flow_count == 1
    notice = notice_of(made)
    assert not notice.excludes(flow_of(1))
    assert not notice.excludes(flow_of(2))
    assert notice.excludes(flow_of(3))


def test_an_agent_that_started_beside_a_running_server_tells_nothing():
    """Guards against flows that were opened before the agent started."""
    assert make_agent(has_seen_start=False).leave() == []


def test_an_agent_without_flows_excludes_all():
    notice = notice_of(make_agent())
    assert notice.excludes(flow_of(1))


def test_a_notice_counts_only_for_an_agent_that_has_left():
    """Guards against an agent that goes on, or is killed, after its notice."""
    made = make_entry(10)
    tell(made, 3, [], numbered(3).member.id)
    assert reset_after(made, packets.FlowId(*flow_of(2)), {address_of(3)}) > 6.0
