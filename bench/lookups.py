"""Measures lookups of flows whose owner an entry does not know, and a mass restart.

A lookup is played with the entry's own decisions between simulated members. The other
ways to look a flow up are computed from the sizes of their messages.

    python -m bench.lookups [--sizes 15,64,300,1000,6300] [--flows 100000]
"""

from __future__ import annotations

import argparse
import collections
import heapq
import itertools
import random
import sys
import time
import typing

import msgspec

from bench import results
from cactushall_core import addresses, identifiers, keys
from cactushall_core.flows import (
    actions,
    entry,
    known_entries,
    messages,
    packets,
    registered_owners,
    registrations,
)
from cactushall_core.membership import records
from tests.core.flows import builders

ENTRY_SHARE = 0.3
ONE_WAY_SECONDS = 0.005
TICK_SECONDS = 0.05
PACKET_BYTES = 932
FILTER_BITS_PER_FLOW = 10
FLOWS_PER_AGENT = 1600
LOOKED_UP_AT = 10.0
FIRST_RETRANSMISSION_SECONDS = 0.2
MAX_RETRANSMISSION_SECONDS = 1.6

RESTARTED_ENTRIES = 17
RESTART_AGENTS = 47
RESTART_SECONDS = 2.0
NEWS_SECONDS = 0.25
COMPLETE_SECONDS = 0.3
PACKETS_SECONDS = 10.0

AUTHENTICATOR = messages.make_authenticator((keys.make_key(bytes(32)),))


def renumber(record: records.Record, number: int) -> records.Record:
    """Return a record with the address of a numbered VM, for more than 250 of them."""
    role = 0 if record.member.role is records.Role.ENTRY else 128
    host = f"10.{role + number // 62500}.{number // 250 % 250}.{number % 250 + 1}"
    member_id = identifiers.MemberId((record.member.id >> 32 << 32) + number)
    member = msgspec.structs.replace(record.member, host=host, id=member_id)
    return msgspec.structs.replace(record, member=member)


def agent_record(number: int) -> records.Record:
    """Return the record of a numbered agent."""
    return renumber(builders.agent_record(1), number)


def entry_record(number: int, start: int = 1) -> records.Record:
    """Return the record of a numbered entry."""
    return renumber(builders.entry_record(1, start=start), number)


def encoded_bytes(message: messages.Message) -> int:
    """Return the size of a message in a datagram, without IP and UDP headers."""
    return len(messages.encode(AUTHENTICATOR, message))


def make_entry(
    agents: list[records.Record], entries: list[records.Record], now: float
) -> entry.EntryFlows:
    """Return an entry that knows some agents and entries."""
    made = entry.EntryFlows(builders.ZONE, random.Random(1), now)
    made.update_routes(builders.route_table(), now)
    for record in (*agents, *entries):
        made.update_member(record, now)
    made.update_completeness(builders.COMPLETE, now)
    return made


class Traffic(typing.NamedTuple):
    """Messages between members.

    Attributes:
        message_count: Number of messages.
        byte_count: Their bytes.
    """

    message_count: int
    byte_count: int


class Members:
    """Entries that decide for themselves, and agents that answer, in simulated time."""

    def __init__(self) -> None:
        """Start without members."""
        self.now = LOOKED_UP_AT
        self.entries: dict[addresses.Address, entry.EntryFlows] = {}
        self.owners: dict[packets.FlowId, addresses.Address] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[addresses.Address] = collections.Counter()
        self.found_at: dict[packets.FlowId, float] = {}
        self._order = itertools.count()
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []

    def schedule(self, delay: float, work: typing.Callable[[], None]) -> None:
        """Do some work after a delay in seconds."""
        heapq.heappush(self._events, (self.now + delay, next(self._order), work))

    def run(self, until: float) -> None:
        """Simulate until a point in time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, work = heapq.heappop(self._events)
            work()
        self.now = until

    def execute(self, sender: addresses.Address, decided: list[actions.Action]) -> None:
        """Carry out what an entry has decided."""
        for action in decided:
            if isinstance(action, actions.SendMessage):
                self.send(sender, action.address, action.message)
            elif isinstance(action, actions.RecordOwnerFound):
                self.found_at[action.flow] = self.now

    def send(
        self,
        sender: addresses.Address,
        receiver: addresses.Address,
        message: messages.Message,
    ) -> None:
        """Send a message from one member to another."""
        kind = type(message).__name__
        self.sent[kind] += 1
        self.sent_bytes[kind] += encoded_bytes(message)
        self.received[receiver] += 1
        self.schedule(ONE_WAY_SECONDS, lambda: self._take(sender, receiver, message))

    def traffic(self) -> Traffic:
        """Return all messages that were sent."""
        return Traffic(self.sent.total(), self.sent_bytes.total())

    def _take(
        self,
        sender: addresses.Address,
        receiver: addresses.Address,
        message: messages.Message,
    ) -> None:
        if receiver in self.entries:
            decided = self.entries[receiver].handle_message(sender, message, self.now)
            self.execute(receiver, decided)
            return
        if isinstance(message, messages.LookupRequest):
            flow_id = packets.FlowId(*msgspec.msgpack.decode(message.datagram)[0])
            self.send(receiver, sender, messages.OwnershipConfirmed(flow_id))
        elif isinstance(message, messages.OwnershipQuery):
            flow_ids = message.flows
            owned = tuple(f for f in flow_ids if self.owners.get(f) == receiver)
            denied = tuple(f for f in flow_ids if self.owners.get(f) != receiver)
            self.send(receiver, sender, messages.OwnershipAnswer(owned, denied))


def make_packet(flow_id: packets.FlowId) -> packets.Packet:
    """Return a packet with a payload; its bytes begin with its flow."""
    encoded = msgspec.msgpack.encode((flow_id, bytes(PACKET_BYTES - 40)))
    return builders.packet(flow=flow_id)._replace(datagram=encoded)


def play_lookup(agent_count: int, *, is_registered: bool) -> tuple[Traffic, float]:
    """Look one flow up, and return the messages and the seconds until it is found."""
    entry_count = max(2, round(agent_count * ENTRY_SHARE))
    agents = [agent_record(number) for number in range(agent_count)]
    others = [entry_record(number) for number in range(entry_count)]
    members = Members()
    owner = agents[-1].member.control_address
    members.owners[builders.FLOW] = owner
    asker = entry_record(entry_count).member.control_address
    members.entries[asker] = make_entry(agents, others, 0.0)
    known = known_entries.KnownEntries()
    for record in others:
        known.update(record)
    for registrar in known.registrars_of(builders.FLOW):
        made = make_entry(agents[-1:], [], 0.0)
        members.entries[registrar.address] = made
        if is_registered:
            registration = messages.RegisterFlows((builders.FLOW,))
            made.handle_message(owner, registration, LOOKED_UP_AT)
    flows = members.entries[asker]
    sent_at = LOOKED_UP_AT
    interval = FIRST_RETRANSMISSION_SECONDS
    while builders.FLOW not in members.found_at:
        if members.now >= sent_at:
            packet = make_packet(builders.FLOW)
            members.execute(asker, flows.handle_packet(packet, members.now))
            sent_at += interval
            interval = min(2 * interval, MAX_RETRANSMISSION_SECONDS)
        members.run(members.now + TICK_SECONDS)
        members.execute(asker, flows.tick(members.now))
    members.run(members.now + 1.0)
    seconds = members.found_at[builders.FLOW] - LOOKED_UP_AT
    return members.traffic(), seconds


def measure_lookup(agent_count: int) -> list[results.Figure]:
    """Return what one lookup costs in a site with some number of agents."""
    figures = []
    for name, is_registered in (("registered", True), ("all agents", False)):
        traffic, seconds = play_lookup(agent_count, is_registered=is_registered)
        figures += [
            results.Figure(
                f"{agent_count} {name}: messages", traffic.message_count, ""
            ),
            results.Figure(f"{agent_count} {name}: bytes", traffic.byte_count, "B"),
            results.Figure(f"{agent_count} {name}: until found", seconds * 1000, "ms"),
        ]
    return figures + compute_others(agent_count)


def compute_others(agent_count: int) -> list[results.Figure]:
    """Return what a lookup would cost in the ways that were not chosen."""
    entry_count = max(2, round(agent_count * ENTRY_SHARE))
    probe = encoded_bytes(messages.LookupRequest(bytes(PACKET_BYTES)))
    denial = encoded_bytes(messages.OwnershipDenied(builders.FLOW))
    question = encoded_bytes(messages.OwnerQuery(builders.FLOW))
    answer = encoded_bytes(messages.OwnerAnswer(builders.FLOW, None))
    filter_bytes = agent_count * FLOWS_PER_AGENT * FILTER_BITS_PER_FLOW / 8
    return [
        results.Figure(
            f"{agent_count} packet to all agents: bytes",
            agent_count * (probe + denial),
            "B",
        ),
        results.Figure(
            f"{agent_count} all entries: bytes",
            (entry_count - 1) * (question + answer) + probe + denial,
            "B",
        ),
        results.Figure(
            f"{agent_count} summaries: memory at each entry", filter_bytes / 1e6, "MB"
        ),
    ]


def measure_memory(count: int) -> list[results.Figure]:
    """Return the memory that one registered flow takes."""
    flow_ids = [
        builders.FLOW._replace(caller_host=1 + number // 60_000, caller_port=number)
        for number in range(count)
    ]
    owners = registered_owners.RegisteredOwners()
    owner = agent_record(1).member.control_address
    owners.put(flow_ids, owner, 0.0)
    stored = owners._owners
    flow_bytes = sys.getsizeof(flow_ids[0]) + 3 * sys.getsizeof(1 << 31)
    value_bytes = sys.getsizeof((owner, 0.0))
    total = sys.getsizeof(stored) / len(stored) + flow_bytes + value_bytes
    return [results.Figure("memory of a flow at each registrar", total, "B")]


class RestartedSite:
    """A site in which all entries start again over many open flows."""

    def __init__(self, flow_count: int) -> None:
        """Open flows, and register them with the entries that run at first."""
        self.rng = random.Random(1)
        self.members = Members()
        self.agents = [agent_record(number) for number in range(RESTART_AGENTS)]
        self.first = [entry_record(number) for number in range(RESTARTED_ENTRIES)]
        self.known: dict[addresses.Address, known_entries.KnownEntries] = {}
        self.registered: dict[addresses.Address, registrations.Registrations] = {}
        self.agent_seconds = 0.0
        for record in self.agents:
            known = known_entries.KnownEntries()
            for other in self.first:
                known.update(other)
            address = record.member.control_address
            self.known[address] = known
            self.registered[address] = registrations.Registrations(known)
        for number in range(flow_count):
            flow_id = builders.FLOW._replace(
                caller_host=1 + number // 60_000, caller_port=number % 60_000
            )
            agent = self.agents[number % RESTART_AGENTS].member.control_address
            self.members.owners[flow_id] = agent
            self.registered[agent].add(flow_id, 0.0)
        for made in self.registered.values():
            made.tick(LOOKED_UP_AT)
        for record in self.first:
            address = record.member.control_address
            self.members.entries[address] = make_entry([], [], 0.0)

    def play(self) -> None:
        """Start all entries again while callers send a packet of each flow."""
        for number in range(RESTARTED_ENTRIES):
            self.members.schedule(
                self.rng.uniform(0.0, RESTART_SECONDS), lambda n=number: self._start(n)
            )
        for flow_id in self.members.owners:
            self.members.schedule(
                self.rng.uniform(0.0, PACKETS_SECONDS), lambda f=flow_id: self._call(f)
            )
        end = LOOKED_UP_AT + PACKETS_SECONDS + 1.0
        while self.members.now < end:
            self.members.run(self.members.now + TICK_SECONDS)
            self._tick()

    def _start(self, number: int) -> None:
        record = entry_record(number, start=2)
        address = record.member.control_address
        made = make_entry(self.agents, self.first, self.members.now)
        made.update_completeness(None, self.members.now)
        self.members.entries[address] = made
        self.members.schedule(
            COMPLETE_SECONDS,
            lambda: self.members.execute(
                address, made.update_completeness(builders.COMPLETE, self.members.now)
            ),
        )
        for known in self.known.values():
            delay = self.rng.uniform(0.0, NEWS_SECONDS)
            self.members.schedule(delay, lambda k=known: k.update(record))

    def _call(self, flow_id: packets.FlowId) -> None:
        address = self.first[
            self.rng.randrange(RESTARTED_ENTRIES)
        ].member.control_address
        flows = self.members.entries[address]
        decided = flows.handle_packet(make_packet(flow_id), self.members.now)
        self.members.execute(address, decided)

    def _tick(self) -> None:
        now = self.members.now
        for address, made in self.registered.items():
            began = time.process_time()
            told = made.tick(now)
            self.agent_seconds += time.process_time() - began
            for action in told:
                assert isinstance(action, actions.SendMessage)
                self.members.send(address, action.address, action.message)
        for address, flows in self.members.entries.items():
            self.members.execute(address, flows.tick(now))


def measure_restart(flow_count: int) -> list[results.Figure]:
    """Return what it costs that all entries start again over some open flows."""
    site = RestartedSite(flow_count)
    site.play()
    members = site.members
    entries = set(members.entries)
    by_receiver = members.received
    most_at_entry = max(count for a, count in by_receiver.items() if a in entries)
    most_at_agent = max(count for a, count in by_receiver.items() if a not in entries)
    waiting = sum(flows.lookup_count for flows in members.entries.values())
    registered = members.sent["RegisterFlows"]
    return [
        results.Figure("restart: flows", flow_count, ""),
        results.Figure("restart: lookups not answered", waiting, ""),
        results.Figure(
            "restart: messages a flow", members.sent.total() / flow_count, ""
        ),
        results.Figure(
            "restart: bytes a flow", members.sent_bytes.total() / flow_count, "B"
        ),
        results.Figure(
            "restart: registrations an agent", registered / RESTART_AGENTS, "messages"
        ),
        results.Figure(
            "restart: processor time of them an agent",
            site.agent_seconds / RESTART_AGENTS * 1000,
            "ms",
        ),
        results.Figure(
            "restart: questions to all agents", members.sent["OwnershipQuery"], ""
        ),
        results.Figure("restart: most messages at one entry", most_at_entry, ""),
        results.Figure("restart: most messages at one agent", most_at_agent, ""),
    ]


def main() -> None:
    """Measure lookups in sites of the given sizes and a restart, and report them."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="15,64,300,1000,6300")
    parser.add_argument("--flows", type=int, default=100_000)
    arguments = parser.parse_args()
    figures = [
        figure
        for size in arguments.sizes.split(",")
        for figure in measure_lookup(int(size))
    ]
    figures += measure_memory(arguments.flows)
    figures += measure_restart(arguments.flows)
    results.report("lookups", figures)


if __name__ == "__main__":
    main()
