"""Simulated network that delivers datagrams between many members."""

from __future__ import annotations

import collections
import copy
import random

from cactushall_core import identifiers
from cactushall_core.membership import records, state
from tests.core import builders

STEP_SECONDS = 0.05


def clone(node, member, seed):
    """Return a copy of a node as another member that knows the same fleet.

    Args:
        node: The node to copy.
        member: Description of the other member.
        seed: Seed of its random choices.
    """
    copied = copy.copy(node)
    copied._member = member
    copied._table = node.table.copy()
    copied._broadcasts = copy.deepcopy(node._broadcasts)
    copied._rng = random.Random(seed)
    copied._probes = {}
    copied._suspected_at = {}
    copied._probe_order = []
    copied._next_probe_at = copied._rng.random() * node._timing.probe_interval
    copied._next_gossip_at = copied._rng.random() * node._timing.gossip_interval
    copied._next_digest_at = copied._rng.random() * node._timing.digest_interval
    return copied


class Network:
    """Members that exchange datagrams without loss, except those that are cut off."""

    def __init__(self, count, seed=1, timing=None, step_seconds=STEP_SECONDS):
        self.now = 0.0
        self.step_seconds = step_seconds
        self.rng = random.Random(seed)
        self.timing = timing or state.Timing()
        self.nodes = {}
        self.cut = set()
        self.fetches = []
        self.in_flight = []
        self.sent_bytes = collections.Counter()
        self.received_bytes = collections.Counter()
        for number in range(count):
            self.add(number)

    def add(self, number):
        """Add a member that knows only itself."""
        return self.add_member(builders.make_agent(number).member, number)

    def add_member(self, member, seed):
        """Add a member with a description; it knows only itself."""
        node = state.Membership(
            member, builders.RING, self.timing, random.Random(seed), self.now
        )
        self.nodes[member.gossip_address] = node
        return node

    def join(self, node, contact):
        """Exchange tables with a contact, as a joining process does."""
        mine, theirs = node.snapshot(), contact.snapshot()
        self.execute(contact, contact.merge(mine, self.now))
        self.execute(node, node.merge(theirs, self.now))
        self.execute(node, node.announce(self.now))

    def introduce_all(self):
        """Make every member known to every other."""
        table = tuple(
            records.Record(node.member, 0, records.Status.ALIVE)
            for node in self.nodes.values()
        )
        for node in self.nodes.values():
            node.merge(table, self.now)

    def run(self, seconds):
        """Advance the time by some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self):
        """Deliver all datagrams in flight, then let all members tick."""
        self.now += self.step_seconds
        arriving, self.in_flight = self.in_flight, []
        for source, address, datagram in arriving:
            node = self.nodes.get(address)
            if node is None or source == address or {source, address} & self.cut:
                continue
            self.execute(node, node.handle_datagram(source, datagram, self.now))
        for address, node in list(self.nodes.items()):
            if address not in self.cut:
                self.execute(node, node.tick(self.now))

    def execute(self, node, actions):
        """Queue datagrams for delivery and record configuration fetches."""
        source = node.member.gossip_address
        for action in actions:
            if isinstance(action, state.Send):
                self.in_flight.append((source, action.address, action.datagram))
                self.sent_bytes[source] += len(action.datagram)
                self.received_bytes[action.address] += len(action.datagram)
            elif isinstance(action, state.FetchConfiguration):
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
