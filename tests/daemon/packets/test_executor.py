"""Tests of what the executor of actions logs and counts."""

from __future__ import annotations

import socket
import typing
from unittest import mock

import pytest
from structlog import testing

from cactushall_core import addresses
from cactushall_core.flows import actions, messages
from cactushall_daemon import counters, events
from cactushall_daemon.packets import executor
from tests.core.flows import builders

AGENT = addresses.Address("10.0.1.1", 7735)


class Node:
    """Stands in for the node; sent messages are kept."""

    def __init__(self):
        self.counters = counters.Counters()
        self.route_table = builders.route_table(revision=4)
        self.sent = []

    def send_message(self, address, message):
        """Keep a message."""
        self.sent.append((address, message))


@pytest.fixture
def node():
    return Node()


@pytest.fixture
def execute(node):
    """Return a function that executes one action and returns its log lines."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as callers:
        made = executor.ActionExecutor(node, callers, 9, lambda _: None)

        def run(action):
            with testing.capture_logs() as lines:
                made.execute([action])
            return [without_origin(line) for line in lines]

        yield run


def without_origin(line):
    """Return the fields of a log line that its event defines."""
    return {k: v for k, v in line.items() if k not in ("log_level", "module")}


def counted(node):
    return dict(node.counters.items())


def make_denial(basis):
    message = messages.OwnershipDenied(builders.FLOW)
    return actions.SendMessage(builders.ENTRY, message, basis)


def make_evidence(**changed):
    fields = {
        "denied": 2,
        "gone": 1,
        "excluded": 0,
        "asked_seconds": 0.5,
        "known_present": 2,
        "known_gone": 3,
        "newest_change_seconds": 4.0,
        "table_basis": "cold-start",
        "table_source": "10.0.0.1",
        "table_age_seconds": 2.0,
    }
    return actions.NoOwnerEvidence(**fields | changed)


def test_evidence_of_a_reset_is_logged(execute):
    reason = actions.Reason.NO_OWNER
    evidence = make_evidence(newest_change_seconds=float("inf"))
    (line,) = execute(actions.Reset(builders.FLOW, 1, reason, evidence))
    assert line == {
        "event": events.Event.FLOW_RESET,
        "flow": str(builders.FLOW),
        "why": "held-by-nobody",
        "revision": 4,
        "denied": 2,
        "gone": 1,
        "excluded": 0,
        "asked_seconds": 0.5,
        "known_present": 2,
        "known_gone": 3,
        "newest_change_seconds": None,
        "table_basis": "cold-start",
        "table_source": "10.0.0.1",
        "table_age_seconds": 2.0,
    }


def test_answer_about_many_flows_is_counted_and_logged_flow_by_flow(execute, node):
    others = [builders.FLOW._replace(caller_port=port) for port in (1, 2)]
    denials = {
        others[0]: actions.DenialBasis.SERVER_DENIED,
        others[1]: actions.DenialBasis.NEVER_TRACKED,
    }
    lines = execute(actions.RecordAnswer(AGENT, (builders.FLOW,), denials))
    told = [(line["flow"], line["is_held"], line.get("why")) for line in lines]
    assert told == [
        (str(builders.FLOW), True, None),
        (str(others[0]), False, "server-denied"),
    ]
    assert counted(node) == {
        counters.Counter.FLOW_LOOKUPS_HELD: 1,
        counters.Counter.FLOW_LOOKUPS_DENIED: 2,
    }


def test_start_of_a_lookup_is_logged(execute, node):
    (line,) = execute(actions.RecordLookupStarted(builders.FLOW, 2, 0, 70))
    assert line == {
        "event": events.Event.FLOW_LOOKUP_STARTED,
        "flow": str(builders.FLOW),
        "registrars": 2,
        "agents": 0,
        "known": 70,
    }
    assert counted(node) == {counters.Counter.FLOW_LOOKUPS_STARTED: 1}


def test_owner_that_a_lookup_has_found_is_logged(execute):
    (line,) = execute(actions.RecordOwnerFound(builders.FLOW, AGENT, 0.25, 3))
    assert line == {
        "event": events.Event.FLOW_OWNER_FOUND,
        "flow": str(builders.FLOW),
        "owner": AGENT.host,
        "asked_seconds": 0.25,
        "asked": 3,
    }


def test_denial_of_a_flow_that_was_never_tracked_is_counted_and_not_logged(
    execute, node
):
    denial = make_denial(actions.DenialBasis.NEVER_TRACKED)
    assert execute(denial) == []
    assert counted(node) == {counters.Counter.FLOW_LOOKUPS_DENIED: 1}
    assert node.sent == [(builders.ENTRY, denial.message)]


@pytest.mark.parametrize(
    "basis",
    [b for b in actions.DenialBasis if b is not actions.DenialBasis.NEVER_TRACKED],
)
def test_denial_on_another_basis_is_logged_and_counted(execute, node, basis):
    denial = make_denial(basis)
    (line,) = execute(denial)
    assert line == {
        "event": events.Event.FLOW_LOOKUP_ANSWERED,
        "flow": str(builders.FLOW),
        "is_held": False,
        "why": basis.value,
        "asker": builders.ENTRY.host,
    }
    assert counted(node) == {counters.Counter.FLOW_LOOKUPS_DENIED: 1}
    assert node.sent == [(builders.ENTRY, denial.message)]


def test_confirmation_is_logged_and_counted(execute, node):
    message = messages.OwnershipConfirmed(builders.FLOW)
    (line,) = execute(actions.SendMessage(builders.ENTRY, message))
    assert line == {
        "event": events.Event.FLOW_LOOKUP_ANSWERED,
        "flow": str(builders.FLOW),
        "is_held": True,
        "asker": builders.ENTRY.host,
    }
    assert counted(node) == {counters.Counter.FLOW_LOOKUPS_HELD: 1}
    assert node.sent == [(builders.ENTRY, message)]


@pytest.mark.parametrize("outcome", actions.HedgeOutcome)
def test_second_offers_are_counted_and_only_those_made_are_logged(
    execute, node, outcome
):
    lines = execute(actions.RecordHedge(builders.FLOW, outcome, AGENT, 0.02))
    assert counted(node) == {executor.HEDGE_COUNTERS[outcome]: 1}
    if outcome is not actions.HedgeOutcome.OFFERED:
        assert lines == []
        return
    (line,) = lines
    assert line["event"] is events.Event.FLOW_HEDGED
    assert (line["agent"], line["delay_seconds"]) == (AGENT.host, 0.02)


EXAMPLES = [
    actions.Forward(AGENT, b"packet"),
    actions.DeliverToServer(b"packet"),
    actions.SendToCaller(builders.FLOW, b"packet"),
    actions.Reset(builders.FLOW, 1, actions.Reason.NO_OWNER),
    actions.SendMessage(AGENT, messages.OwnerQuery(builders.FLOW)),
    actions.ReportUnknownSender(AGENT),
    actions.Drop(builders.FLOW, actions.Reason.STALE),
    actions.RecordLookupStarted(builders.FLOW, 1, 2, 3),
    actions.RecordOwnerFound(builders.FLOW, AGENT, 0.1, 1),
    actions.RecordAnswer(AGENT, (), {}),
    actions.RecordHedge(builders.FLOW, actions.HedgeOutcome.WON, AGENT),
    actions.RecordLatency(actions.Latency.FLOW_OPENED, 0.1),
    actions.RecordRetryWithheld(builders.FLOW, AGENT),
]


def test_each_kind_of_action_is_executed():
    # Guards against a kind of action for which the executor has no method.
    assert {type(example) for example in EXAMPLES} == set(
        typing.get_args(actions.Action)
    )
    node = mock.Mock(counters=counters.Counters())
    node.route_table = builders.route_table()
    deliver = mock.Mock()
    sock = mock.Mock()
    executor.ActionExecutor(node, sock, 9, deliver).execute(EXAMPLES)
    node.send_datagram.assert_called_once_with(AGENT, b"packet")
    deliver.assert_called_once_with(b"packet")
    assert sock.sendto.call_count == 2
    node.send_message.assert_called_once()
    node.gossip.handle_unknown_sender.assert_called_once_with(AGENT)
    node.latencies.record.assert_called_once_with(actions.Latency.FLOW_OPENED, 0.1)
