"""Simulated network that delivers datagrams between many members."""

from __future__ import annotations

import collections
import copy
import random

from cactushall_core import identifiers
from cactushall_core.membership import (
    member_actions,
    messages,
    records,
    state,
    timing,
)
from tests.core import builders

STEP_SECONDS = 0.05
EXCHANGE_AUTHENTICATOR = messages.make_exchange_authenticator(builders.RING)


def clone(node, member, seed):
    """Return a copy of a node as another member that knows the same fleet.

    Args:
        node: The node to copy.
        member: Description of the other member.
        seed: Seed of its random choices.
    """
    rng = random.Random(seed)
    copied = state.Membership(
        member,
        builders.RING,
        node._timing,
        rng,
        0.0,
        may_change_id=node._may_change_id,
        known=node.table.copy(),
    )
    copied._incarnation = node._incarnation
    copied._transmitter.revision = node._transmitter.revision
    copied._transmitter.broadcasts = copy.deepcopy(node._transmitter.broadcasts)
    copied._next_probe_at = rng.random() * node._timing.probe_interval
    copied._next_gossip_at = rng.random() * node._timing.gossip_interval
    copied._next_digest_at = rng.random() * node._timing.digest_interval
    copied._next_dead_probe_at = rng.random() * node._timing.dead_probe_interval
    return copied


class Network:
    """Members that exchange datagrams and tables.

    Attributes:
        cut: Gossip addresses of members that are paused and cut off.
        isolated: Gossip addresses of members that run, but are cut off.
        lost_share: Share of all datagrams that are lost.
    """

    def __init__(
        self,
        count,
        seed=1,
        intervals=None,
        step_seconds=STEP_SECONDS,
        may_change_ids=False,
    ):
        self.now = 0.0
        self.step_seconds = step_seconds
        self.rng = random.Random(seed)
        self.timing = intervals or timing.Timing()
        self.may_change_ids = may_change_ids
        self.nodes = {}
        self.cut = set()
        self.isolated = set()
        self.lost_share = 0.0
        self.fetches = []
        self.in_flight = []
        self.sent_bytes = collections.Counter()
        self.received_bytes = collections.Counter()
        self.requests = []
        self.replies = []
        for number in range(count):
            self.add(number)

    def add(self, number):
        """Add a member that knows only itself."""
        return self.add_member(builders.make_agent(number).member, number)

    def add_member(self, member, seed):
        """Add a member with a description; it knows only itself."""
        node = state.Membership(
            member,
            builders.RING,
            self.timing,
            random.Random(seed),
            self.now,
            may_change_id=self.may_change_ids,
        )
        self.nodes[member.gossip_address] = node
        return node

    def join(self, node, contact):
        """Let a member join through a contact, whose answer it gets at once."""
        node.set_contacts([contact.member.control_address])
        request = messages.TableRequest(node.table.get(node.member.id), b"")
        self._deliver_reply(
            node, contact.member, self._answer_request(contact, request)
        )

    def introduce_all(self):
        """Make every member known to every other, as after a long time."""
        table = tuple(
            records.Record(node.member, 0, records.Status.ALIVE)
            for node in self.nodes.values()
        )
        for node in self.nodes.values():
            node.merge(table, self.now, is_broadcast=True)
            self.complete(node)

    def complete(self, node):
        """Let a member hear from a complete one that had heard of it."""
        for other in list(self.nodes.values()):
            if other is not node:
                reply = messages.TableReply(True, True, ())
                self._deliver_reply(node, other.member, reply)
                return

    def _answer_request(self, contact, request):
        reply, actions = contact.handle_table_request(request, self.now)
        self.execute(contact, actions)
        return reply

    def _deliver_reply(self, node, source, reply):
        address = source.control_address
        self.execute(node, node.handle_table_reply(address, reply, self.now))

    def run(self, seconds):
        """Advance the time by some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self):
        """Deliver all datagrams in flight, then let all members tick."""
        self.now += self.step_seconds
        self._deliver_requests()
        arriving, self.in_flight = self.in_flight, []
        for source, address, datagram in arriving:
            node = self.nodes.get(address)
            if node is None or source == address or self._is_lost(source, address):
                continue
            self.execute(node, node.handle_datagram(source, datagram, self.now))
        for address, node in list(self.nodes.items()):
            if address not in self.cut:
                self.execute(node, node.tick(self.now))

    def _deliver_requests(self):
        """Deliver the answers to earlier requests for tables, then new requests.

        Answers to members that are cut off wait for them.
        """
        replies, self.replies = self.replies, []
        for node, source, reply in replies:
            if node.member.gossip_address in self.cut:
                self.replies.append((node, source, reply))
            elif self._is_cut(node):
                self._fail_request(node, source.control_address)
            else:
                self._deliver_reply(node, source, reply)
        requests, self.requests = self.requests, []
        for node, action in requests:
            target = self._node_at(action.address)
            if target is None or self._is_cut(node) or self._is_cut(target):
                self._fail_request(node, action.address)
                continue
            reply = self._answer_request(target, action.request)
            self._count(node.member, target.member, action.request)
            self._count(target.member, node.member, reply)
            self.replies.append((node, target.member, reply))

    def _fail_request(self, node, address):
        self.execute(node, node.handle_table_failure(address, self.now))

    def _node_at(self, address):
        """Return the member at a control address, None where none runs."""
        for node in self.nodes.values():
            if node.member.control_address == address:
                return node
        return None

    def _count(self, sender, receiver, message):
        size = len(messages.encode_exchange(EXCHANGE_AUTHENTICATOR, message))
        self.sent_bytes[sender.gossip_address] += size
        self.received_bytes[receiver.gossip_address] += size

    def _is_cut(self, node):
        return node.member.gossip_address in self.cut | self.isolated

    def _is_lost(self, source, address):
        """Return whether a datagram does not arrive."""
        if {source, address} & (self.cut | self.isolated):
            return True
        return self.lost_share > 0 and self.rng.random() < self.lost_share

    def execute(self, node, actions):
        """Queue what a member sends and record configuration fetches."""
        source = node.member.gossip_address
        for action in actions:
            if isinstance(action, member_actions.Send):
                self.in_flight.append((source, action.address, action.datagram))
                self.sent_bytes[source] += len(action.datagram)
                self.received_bytes[action.address] += len(action.datagram)
            elif isinstance(action, member_actions.RequestTable):
                self.requests.append((node, action))
            elif isinstance(action, member_actions.FetchConfiguration):
                self.fetches.append((node, action))

    def node(self, number):
        """Return a member by number."""
        return self.nodes[builders.make_agent(number).member.gossip_address]

    def statuses(self, number):
        """Return the status of a member in the tables of all others."""
        member_id = identifiers.MemberId(number + 1)
        return [
            record.status if (record := node.table.get(member_id)) else None
            for node in self.nodes.values()
            if node.member.id != member_id
        ]
