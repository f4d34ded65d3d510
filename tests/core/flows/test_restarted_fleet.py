"""Plays the lookups after all agents have started again beside running servers.

No agent can tell without a packet which flows its server holds, and no entry remembers
any flow. Each server answers packets of its own flows and returns all others.
"""

from __future__ import annotations

import collections
import random

import msgspec
import pytest

from cactushall_core import identifiers, keys
from cactushall_core.flows import (
    actions,
    agent,
    entry,
    messages,
    packets,
    preference,
)
from tests.core.flows import builders

AUTHENTICATOR = messages.make_authenticator((keys.make_key(bytes(32)),))
ZONES = tuple(map(identifiers.ZoneName, ("a", "b", "c")))
PACKET_BYTES = 400
OTHER_ZONE_SHARE = 0.1
RESTARTED_AT = 100.0
ROUND_TRIP_SECONDS = 0.01


class RestartedFleet:
    """One entry and many agents that have just started, without a network.

    Attributes:
        sent_bytes: Bytes of the entry's messages by type.
        probes: Number of packets that agents got, by flow.
        found: Owners that the entry has found, by flow.
        resets: Flows that the entry has reset.
    """

    def __init__(self, agent_count, seed=1):
        """Start an entry that knows all agents."""
        self.rng = random.Random(seed)
        self.entry = entry.EntryFlows(ZONES[0], self.rng, 0.0)
        self.entry.update_routes(builders.route_table(), 0.0)
        self.agents = {}
        self.server_flows = collections.defaultdict(set)
        for number in range(agent_count):
            record = numbered_record(number)
            self.entry.update_member(record, 0.0)
            made = agent.AgentFlows(builders.make_server(1.0), 0.0)
            made.handle_announcement(builders.announcement(5), 0.0)
            self.agents[record.member.control_address] = made
        self.entry.update_completeness(builders.COMPLETE, 0.0)
        self.now = RESTARTED_AT
        self.packets = {}
        self.sent_bytes = collections.Counter()
        self.probes = collections.Counter()
        self.found = {}
        self.resets = []

    def place(self, flow):
        """Place a flow as before the restart: mostly at one of its likely owners."""
        known = self.entry._view.agents.of_service(builders.SERVICE)
        likely = preference.likely_owners(known, ZONES[0], preference.order_of(flow))
        if self.rng.random() < OTHER_ZONE_SHARE:
            likely = known
        owner = self.rng.choice(likely)
        self.server_flows[owner.peer_address].add(flow)
        return owner

    def send(self, flow, now=None):
        """Send a packet of a flow, and play all that follows from it."""
        self.now = self.now if now is None else now
        packet = builders.packet(flow=flow, length=PACKET_BYTES)
        datagram = flow.caller_host.to_bytes(PACKET_BYTES, "big")
        self.packets[datagram] = packet._replace(datagram=datagram)
        self.play(self.entry.handle_packet(self.packets[datagram], self.now))

    def tick(self, now):
        """Let the entry make its periodic decisions."""
        self.now = now
        self.play(self.entry.tick(now))

    def play(self, decided):
        """Carry out what the entry decides, and let agents answer."""
        pending = list(decided)
        while pending:
            action = pending.pop(0)
            if isinstance(action, actions.RecordOwnerFound):
                self.found[action.flow] = action.owner
            elif isinstance(action, actions.Reset):
                self.resets.append(action.flow)
            elif isinstance(action, actions.SendMessage):
                size = len(messages.encode(AUTHENTICATOR, action.message))
                self.sent_bytes[type(action.message)] += size
                for answer in self.answers(action):
                    pending += self.entry.handle_message(
                        action.address, answer, self.now
                    )

    def answers(self, action):
        """Return the answers of an agent, with those that its server causes."""
        made = self.agents[action.address]
        if isinstance(action.message, messages.OwnershipQuery):
            decided = made.handle_query(action.message.flows, builders.ENTRY)
        else:
            packet = self.packets[action.message.datagram]
            self.probes[packet.flow] += 1
            decided = made.handle_lookup(packet, builders.ENTRY, self.now)
        for delivered in list(decided):
            if isinstance(delivered, actions.DeliverToServer):
                returned = self.server_answer(action.address, packet)
                decided += made.handle_server_packet(returned, self.now)
        return [a.message for a in decided if isinstance(a, actions.SendMessage)]

    def server_answer(self, address, packet):
        """Return what a server sends when it gets a packet."""
        if packet.flow in self.server_flows[address]:
            return builders.packet(flow=packet.flow, length=10)
        return builders.bounced_packet(packet)


def numbered_record(number):
    """Return the record of an agent; agents are spread over zones."""
    record = builders.agent_record(1, zone=ZONES[number % len(ZONES)])
    member = msgspec.structs.replace(
        record.member,
        id=identifiers.MemberId(number + 1),
        host=f"10.1.{number // 250}.{number % 250 + 1}",
    )
    return msgspec.structs.replace(record, member=member)


def flow_of(number):
    return packets.FlowId(0x64400000 + number, 40_000, *builders.FLOW[2:])


@pytest.mark.parametrize("agent_count", [57, 300])
def test_owners_are_found_with_few_packets_at_any_number_of_agents(agent_count):
    """Guards against lookups that fill an entry's link with a packet for each agent."""
    fleet = RestartedFleet(agent_count)
    owners = {flow_of(n): fleet.place(flow_of(n)) for n in range(3000)}
    for number, flow in enumerate(owners):
        fleet.send(flow, RESTARTED_AT + 0.001 * number)
        fleet.tick(fleet.now)
    for _ in range(20):
        fleet.tick(fleet.now + 0.05)
    assert fleet.found == {f: owner.packet_address for f, owner in owners.items()}
    likely = [count for count in fleet.probes.values() if count <= 4]
    assert len(likely) >= 0.85 * len(owners)
    total = sum(fleet.sent_bytes.values())
    # A packet to each agent takes 57 and 300 times the packet.
    assert total / len(owners) <= (12 if agent_count == 57 else 30) * PACKET_BYTES


def test_a_flow_that_no_server_holds_is_reset_after_all_agents_have_denied():
    """Guards against steps that end before the last agent has got the packet."""
    fleet = RestartedFleet(57)
    fleet.send(flow_of(1))
    assert fleet.resets == [flow_of(1)]
    assert fleet.probes[flow_of(1)] == 57


@pytest.mark.parametrize("agent_count", [3, 57])
def test_a_flow_whose_owner_is_silent_is_never_reset(agent_count):
    """Guards against silence that is taken for a denial in one of the steps."""
    fleet = RestartedFleet(agent_count)
    owner = fleet.place(flow_of(1))
    silent = fleet.agents[owner.peer_address]
    silent.handle_lookup = lambda *_: []
    silent.handle_query = lambda *_: []
    for step in range(40):
        fleet.send(flow_of(1), RESTARTED_AT + 0.3 * step)
        fleet.tick(fleet.now + 0.2)
    assert fleet.resets == []


def test_an_agent_learns_its_flows_from_its_servers_packets():
    """Guards against packets that tell of a flow and are only passed on."""
    fleet = RestartedFleet(57)
    owner = fleet.place(flow_of(1))
    made = fleet.agents[owner.peer_address]
    made.handle_server_packet(builders.packet(flow=flow_of(1), length=10), 99.0)
    (answer, _) = made.handle_query((flow_of(1),), builders.ENTRY)
    assert answer.message.owned == (flow_of(1),)


@pytest.mark.parametrize(
    "flags",
    [
        packets.Flags.SYN | packets.Flags.ACK,
        packets.Flags.RST,
        packets.Flags.FIN | packets.Flags.ACK,
        packets.Flags.ACK,
    ],
)
def test_packets_that_prove_no_open_flow_teach_nothing(flags):
    """Guards against a flow that is taken for open by its last or first packet.

    An acknowledgement without data may answer the end of a flow that is not held.
    """
    made = next(iter(RestartedFleet(3).agents.values()))
    made.handle_server_packet(builders.packet(flags, flow=flow_of(1)), 99.0)
    (answer, _) = made.handle_query((flow_of(1),), builders.ENTRY)
    assert answer.message.owned == ()


def test_order_of_agents_does_not_change_where_one_is_gone():
    """Guards against an order that a restart with one agent less scrambles."""
    fleet = RestartedFleet(57)
    known = fleet.entry._view.agents.of_service(builders.SERVICE)
    order = preference.order_of(flow_of(7))
    gone = known[5]
    rest = [one for one in known if one is not gone]
    assert order(rest) == [one for one in order(known) if one is not gone]


def test_flows_are_spread_evenly_by_their_orders():
    """Guards against agents that come first for too many flows."""
    fleet = RestartedFleet(57)
    known = fleet.entry._view.agents.of_service(builders.SERVICE)
    first = collections.Counter(
        preference.order_of(flow_of(n))(known)[0].packet_address for n in range(5700)
    )
    assert len(first) == 57
    assert 60 <= min(first.values()) <= max(first.values()) <= 145
