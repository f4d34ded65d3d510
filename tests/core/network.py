"""Simulated network that delivers datagrams between many members."""

from __future__ import annotations

import random

from cactushall_core import identifiers
from cactushall_core.membership import records, state
from tests.core import builders

STEP_SECONDS = 0.05


class Network:
    """Members that exchange datagrams without loss, except those that are cut off."""

    def __init__(self, count, seed=1, timing=None):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.timing = timing or state.Timing()
        self.nodes = {}
        self.cut = set()
        self.fetches = []
        self.in_flight = []
        for number in range(count):
            self.add(number)

    def add(self, number):
        """Add a member that knows only itself."""
        member = builders.make_agent(number).member
        node = state.Membership(
            member, builders.RING, self.timing, random.Random(number), self.now
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
        self.now += STEP_SECONDS
        arriving, self.in_flight = self.in_flight, []
        for source, address, datagram in arriving:
            node = self.nodes.get(address)
            if node is None or {source, address} & self.cut:
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
