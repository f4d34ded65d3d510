"""Tests of the explanation where a new flow would go."""

from __future__ import annotations

import random

import msgspec
import pytest

from cactushall_core.flows import (
    actions,
    entry,
    exclusions,
    messages,
    packets,
)
from cactushall_core.membership import records
from tests.core.flows import builders

FLOW = builders.FLOW


def make_entry(seed=1, table=None, is_complete=True):
    flows = entry.EntryFlows(builders.ZONE, random.Random(seed), 0.0)
    flows.update_routes(table or builders.route_table(objective=0.12), 0.0)
    if is_complete:
        flows.update_completeness(builders.COMPLETE, 0.0)
    return flows


def add_agent(flows, number, requests=0, cold_allowance=-1.0, now=0.0, **record_fields):
    record = builders.agent_record(number, **record_fields)
    flows.update_member(record, now)
    load = messages.Load(requests, requests, 1, 0.02, 0.0, cold_allowance)
    report = messages.LoadReport(load)
    flows.handle_message(record.member.control_address, report, now)
    return record.member


def explain_board(flows, now=0.0, zone=None, flow=FLOW):
    (service,) = flows.explain(flow, zone, now).services
    return service


def exclusions_of(service):
    return {c.node: c.exclusion for c in service.candidates}


@pytest.mark.parametrize("seed", range(20))
def test_the_next_flow_goes_where_the_explanation_says(seed):
    """Guards against a second copy of the rules, and ties are decided alike."""
    rng = random.Random(seed)
    flows = make_entry(seed)
    members = {}
    for number in range(1, 9):
        member = add_agent(flows, number, rng.choice((0, 0, 1, 2, 5)))
        members[member.name] = member
    for port in range(2000, 2030):
        flow = builders.FLOW._replace(caller_port=port)
        now = (port - 2000) * 0.002
        explained = explain_board(flows, now, flow=flow)
        assert explain_board(flows, now, flow=flow) == explained
        (decided,) = flows.handle_packet(builders.opening_packet(flow=flow), now) or [
            None
        ]
        if explained.agent is not None:
            assert decided.address == members[explained.agent].tunnel_address
            assert explained.candidates[0].node == explained.agent
        elif explained.refusal.queue_seconds > 0:
            assert decided is None
        else:
            assert isinstance(decided, actions.Reset)
            assert decided.reason is explained.refusal.reason


def test_each_agent_that_is_left_out_has_its_reason():
    flows = make_entry()
    add_agent(flows, 1)
    add_agent(flows, 2, is_draining=True)
    add_agent(flows, 3, status=records.Status.SUSPECT)
    add_agent(flows, 4, requests=6)
    add_agent(flows, 5, cold_allowance=0.0)
    member = add_agent(flows, 6)
    load = messages.Load(0, 0, 1, 0.02)
    declined = messages.Declined(
        builders.OTHER_FLOW,
        messages.Refusal.FULL,
        builders.route_table().revision,
        load,
    )
    flows.handle_message(member.control_address, declined, 0.0)
    add_agent(flows, 7)
    flows.update_member(builders.agent_record(7, incarnation=2, has_server=False), 0.0)
    service = explain_board(flows)
    assert service.agent == "agent-1"
    assert exclusions_of(service) == {
        "agent-1": None,
        "agent-2": exclusions.Exclusion.DRAINING,
        "agent-3": exclusions.Exclusion.NOT_ALIVE,
        "agent-4": exclusions.Exclusion.FULL,
        "agent-5": exclusions.Exclusion.COLD,
        "agent-6": exclusions.Exclusion.BACKING_OFF,
        "agent-7": exclusions.Exclusion.NO_SERVER,
    }


def test_the_caller_s_zone_decides_between_equal_agents():
    flows = make_entry()
    add_agent(flows, 1, zone="a")
    add_agent(flows, 2, zone="b")
    assert explain_board(flows, zone="a").agent == "agent-1"
    assert explain_board(flows, zone="b").agent == "agent-2"


def test_nothing_is_sent_or_counted():
    flows = make_entry()
    add_agent(flows, 1)
    for _ in range(5):
        explain_board(flows)
    (candidate,) = explain_board(flows).candidates
    assert candidate.requests == 0
    assert flows.flow_count == 0


def test_an_address_without_route_is_refused_with_its_reason():
    flows = make_entry()
    explained = flows.explain(builders.NO_ROUTE_FLOW, None, 0.0)
    assert explained.route is None
    assert explained.refusal.reason is actions.Reason.NO_ROUTE
    assert explained.refusal.queue_seconds == 0


def test_a_route_that_may_be_in_another_revision_is_waited_for():
    flows = make_entry(is_complete=False)
    refusal = flows.explain(builders.NO_ROUTE_FLOW, None, 0.0).refusal
    assert refusal.queue_seconds == packets.OPENING_TIMEOUT_SECONDS


def test_a_service_without_agents_is_refused_with_its_reason():
    refusal = explain_board(make_entry()).refusal
    assert refusal.reason is actions.Reason.NO_SERVER
    assert refusal.queue_seconds == 0


def test_full_servers_queue_then_refuse():
    flows = make_entry()
    add_agent(flows, 1, requests=6)
    refusal = explain_board(flows).refusal
    assert refusal.reason is actions.Reason.NO_CAPACITY
    assert refusal.queue_seconds > 0
    for port in range(2000, 2002):
        flow = builders.FLOW._replace(caller_port=port)
        assert flows.handle_packet(builders.opening_packet(flow=flow), 0.0) == []
    assert explain_board(flows).refusal.queue_seconds == 0


def test_each_service_of_a_route_is_explained():
    table = builders.route_table(builders.SERVICE, builders.OTHER_SERVICE)
    flows = make_entry(table=table)
    add_agent(flows, 1)
    add_agent(flows, 2, service=builders.OTHER_SERVICE)
    services = flows.explain(FLOW, None, 0.0).services
    assert [(s.service, s.agent) for s in services] == [
        (builders.SERVICE, "agent-1"),
        (builders.OTHER_SERVICE, "agent-2"),
    ]


def test_a_paused_entry_drops_new_flows():
    flows = make_entry()
    add_agent(flows, 1)
    flows.handle_pause(1.0)
    assert flows.explain(FLOW, None, 1.0).refusal.reason is actions.Reason.STALE


def test_an_explanation_passes_through_json():
    flows = make_entry()
    add_agent(flows, 1)
    flows.update_member(builders.agent_record(2), 0.0)
    explained = flows.explain(FLOW, None, 0.0)
    encoded = msgspec.json.encode(explained)
    assert msgspec.json.decode(encoded, type=type(explained)) == explained
    assert {c.load_age_seconds for c in explained.services[0].candidates} == {0.0, None}
