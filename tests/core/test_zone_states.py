"""Tests of how the states of availability zones reach all members."""

from __future__ import annotations

import msgspec
import pytest

from cactushall_core import identifiers
from cactushall_core.flows import evacuations
from cactushall_core.membership import (
    member_actions,
    messages,
    records,
    transmitter,
    zone_states,
)
from cactushall_daemon.packets import node as packet_node
from tests.core import builders, network

STATE = zone_states.ZoneState(identifiers.ZoneName("a"), 1, 10, True)
WITHDRAWN = zone_states.ZoneState(identifiers.ZoneName("a"), 1, 11, False)
# Encoded by the release before zone states.
OLD_PACKET = bytes.fromhex("940718910490")
OLD_REPLY = bytes.fromhex("94c3c39018")
NEW_PACKET = bytes.fromhex("9507189104909194a161010ac3")
NEW_REPLY = bytes.fromhex("95c3c390189194a161010ac3")
SPREAD_SECONDS = 2.0


class OldPacket(msgspec.Struct, frozen=True, array_like=True):
    """A datagram as the release before zone states knows it."""

    sender: int
    revision: int
    body: messages.Body
    updates: tuple[records.Update, ...] = ()


class OldReply(msgspec.Struct, frozen=True, array_like=True):
    """An answer to a request for a table as that release knows it."""

    is_complete: bool
    knew_sender: bool
    records: tuple[records.Record, ...]
    revision: int = 0


def encode(message):
    return msgspec.msgpack.encode(message)


# Messages of this and of the previous release.


def make_packet(states=()):
    sender = identifiers.MemberId(7)
    revision = identifiers.Revision(24)
    return messages.Packet(sender, revision, messages.Gossip(), (), states)


def make_reply(states=()):
    return messages.TableReply(True, True, (), identifiers.Revision(24), states)


def test_old_messages_are_read():
    assert encode(OldPacket(7, 24, messages.Gossip())) == OLD_PACKET
    assert encode(OldReply(True, True, (), 24)) == OLD_REPLY
    assert msgspec.msgpack.decode(OLD_PACKET, type=messages.Packet) == make_packet()
    assert msgspec.msgpack.decode(OLD_REPLY, type=messages.TableReply) == make_reply()


def test_the_previous_release_reads_new_messages():
    assert encode(make_packet((STATE,))) == NEW_PACKET
    assert encode(make_reply((STATE,))) == NEW_REPLY
    old_packet = msgspec.msgpack.decode(NEW_PACKET, type=OldPacket)
    assert old_packet == OldPacket(7, 24, messages.Gossip())
    old_reply = msgspec.msgpack.decode(NEW_REPLY, type=OldReply)
    assert old_reply == OldReply(True, True, (), 24)


def test_new_messages_keep_the_states():
    packet = msgspec.msgpack.decode(NEW_PACKET, type=messages.Packet)
    assert packet.zone_states == (STATE,)
    reply = msgspec.msgpack.decode(NEW_REPLY, type=messages.TableReply)
    assert reply.zone_states == (STATE,)


def test_a_datagram_has_room_for_the_latest_evacuations_only():
    states = [
        zone_states.ZoneState(identifiers.ZoneName(f"z{n:02}" * 10), 1, n, n % 2 == 0)
        for n in range(40)
    ]
    selected = zone_states.select_for_datagram(states)
    assert selected
    assert zone_states.encoded_size(selected) <= zone_states.MAX_DATAGRAM_STATES_BYTES
    evacuated = [s for s in states if s.is_evacuated]
    assert set(selected) == set(evacuated[-len(selected) :])


def test_states_leave_less_room_for_updates():
    """A datagram above the limit is fragmented, and lost with any fragment."""
    fleet = network.Network(1)
    node = fleet.node(0)
    states = tuple(
        zone_states.ZoneState(identifiers.ZoneName(f"{n}" * 60), 1, n, True)
        for n in range(6)
    )
    node.set_zone_states(states)
    node.merge((builders.make_agent(n) for n in range(1, 40)), 0.0, is_broadcast=True)
    sent = node._transmitter.send(node.member.gossip_address, messages.Gossip())
    limit = transmitter.MAX_DATAGRAM_BYTES + transmitter.PACKET_OVERHEAD_BYTES
    assert len(sent.datagram) < limit


# Spreading.


class Fleet(network.Network):
    """Members that merge the states they receive, as processes do.

    Attributes:
        lost_paths: Pairs of gossip addresses; no datagram gets from the first of a
            pair to the second.
    """

    def __init__(self, count, seed=1):
        self.evacuations = {}
        self.lost_paths = set()
        super().__init__(count, seed=seed, intervals=packet_node.TIMING)
        self.introduce_all()

    def execute(self, node, actions):
        super().execute(node, actions)
        for action in actions:
            if isinstance(action, member_actions.ZoneStatesReceived):
                self.merge(node, action.states)

    def merge(self, node, states):
        """Let a process learn states, from the store or another process."""
        held = self.evacuations.setdefault(node, evacuations.Evacuations())
        if held.merge(states, self.now):
            node.set_zone_states(held.states)

    def states(self):
        """Return the states that each member has."""
        empty = evacuations.Evacuations()
        return [self.evacuations.get(n, empty).states for n in self.nodes.values()]

    def _is_lost(self, source, address):
        return (source, address) in self.lost_paths or super()._is_lost(source, address)


@pytest.mark.parametrize("seed", range(3))
def test_a_change_that_one_member_has_read_reaches_all(seed):
    """The store is down, slow or rejects all other members."""
    fleet = Fleet(83, seed)
    fleet.run(1.0)
    fleet.merge(fleet.node(seed), (STATE,))
    fleet.run(SPREAD_SECONDS)
    assert set(fleet.states()) == {(STATE,)}


def test_a_change_reaches_all_while_datagrams_are_lost():
    fleet = Fleet(20)
    fleet.lost_share = 0.3
    fleet.merge(fleet.node(0), (STATE,))
    fleet.run(SPREAD_SECONDS)
    assert set(fleet.states()) == {(STATE,)}


@pytest.mark.parametrize("is_outgoing", [True, False])
def test_a_change_passes_a_link_that_is_cut_one_way(is_outgoing):
    fleet = Fleet(12)
    one, other = (fleet.node(n).member.gossip_address for n in (0, 1))
    fleet.lost_paths = {(one, other) if is_outgoing else (other, one)}
    fleet.merge(fleet.node(0), (STATE,))
    fleet.run(SPREAD_SECONDS)
    assert set(fleet.states()) == {(STATE,)}


def test_a_withdrawal_reaches_all_and_is_not_undone():
    fleet = Fleet(12)
    fleet.merge(fleet.node(0), (STATE,))
    fleet.run(SPREAD_SECONDS)
    fleet.merge(fleet.node(3), (WITHDRAWN,))
    fleet.run(10.0)
    assert set(fleet.states()) == {(WITHDRAWN,)}


def test_a_member_that_was_cut_off_learns_of_a_withdrawal():
    """It may neither stay evacuated nor evacuate the others again."""
    fleet = Fleet(12)
    fleet.merge(fleet.node(0), (STATE,))
    fleet.run(SPREAD_SECONDS)
    cut_off = fleet.node(5)
    fleet.isolated.add(cut_off.member.gossip_address)
    fleet.merge(fleet.node(3), (WITHDRAWN,))
    fleet.run(6.0)
    assert fleet.states().count((STATE,)) == 1
    fleet.isolated.clear()
    fleet.run(8.0)
    assert set(fleet.states()) == {(WITHDRAWN,)}


def test_a_member_that_starts_gets_the_states_with_its_table():
    """It gets them before its table counts as complete, so before it is ready."""
    fleet = Fleet(5)
    fleet.merge(fleet.node(0), (STATE,))
    started = fleet.add(50)
    fleet.join(started, fleet.node(0))
    assert fleet.evacuations[started].states == (STATE,)


def test_states_come_before_the_table_is_complete():
    fleet = Fleet(3)
    node = fleet.add(50)
    source = fleet.node(0).member.control_address
    node.set_contacts([source])
    fleet.execute(node, node.tick(fleet.now + 1.0))
    decided = node.handle_table_reply(source, make_reply((STATE,)), fleet.now + 1.0)
    kinds = [type(action) for action in decided]
    states_at = kinds.index(member_actions.ZoneStatesReceived)
    assert states_at < kinds.index(member_actions.CompletenessChanged)


def test_equal_and_empty_states_are_not_handed_on():
    fleet = Fleet(2)
    receiver, sender = fleet.node(0), fleet.node(1)
    receiver.set_zone_states((STATE,))
    sender.set_zone_states((STATE,))
    equal = sender._transmitter.send(receiver.member.gossip_address, messages.Gossip())
    sender.set_zone_states(())
    empty = sender._transmitter.send(receiver.member.gossip_address, messages.Gossip())
    for action in (equal, empty):
        decided = receiver.handle_datagram(
            sender.member.gossip_address, action.datagram, 0.1
        )
        assert decided == []


def test_an_evacuation_is_spread_in_extra_rounds_and_then_quietly():
    """Gossip without any update would stop at once."""
    fleet = Fleet(12)
    fleet.run(20.0)
    node = fleet.node(0)
    assert node._gossip() == []
    node.set_zone_states((STATE,))
    rounds = 0
    while node._gossip():
        rounds += 1
    assert 3 < rounds < 20
