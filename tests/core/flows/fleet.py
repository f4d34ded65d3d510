"""Simulates a fleet of entries and agents with its membership protocol.

Every process runs the membership protocol, and entries learn of agents from it alone.
Callers send packets of open or new flows; agents answer after a short random delay.
A member that learns of a newer revision of the routes fetches it from the one that has
it.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import zlib

import msgspec

from cactushall_core import addresses
from cactushall_core.flows import (
    actions,
    entry,
    messages,
    packets,
    reports,
    routes,
)
from cactushall_core.membership import (
    member_actions,
    records,
    state,
)
from cactushall_daemon.packets import node
from tests.core import builders as member_builders
from tests.core import network
from tests.core.flows import builders

STEP_SECONDS = 0.02
NETWORK_DELAY_SECONDS = (0.001, 0.02)
RETRANSMISSION_SECONDS = (0.2, 1.6)
FLEET_STARTED_AT = 1_000_000.0
SERVICE = builders.SERVICE
FIRST_PACKET_SECONDS = (0.05, 5.0)
MAX_ANSWER_SECONDS = 5.0
QUIET_SECONDS = 1.0
OWNED_FLOWS = 30
UNOWNED_FLOWS = 3
ADDED_AGENTS = 6
AGENT_START_SECONDS = 0.5
FETCH_SECONDS = (0.3, 0.6)


@dataclasses.dataclass(eq=False)
class Process:
    """A running entry or agent.

    Attributes:
        membership: Its view of the fleet.
        flows: Its flows where it is an entry, None where it is an agent.
        seeds: Control addresses through which it joins.
        started_at: When it started.
        route_table: Its routes.
        adopted_at: When it adopted them.
        answers_from: Where it is an agent, when it begins to answer lookups.
    """

    membership: state.Membership
    flows: entry.EntryFlows | None
    seeds: tuple[addresses.Address, ...]
    started_at: float
    route_table: routes.RouteTable
    adopted_at: float
    answers_from: float = 0.0

    @property
    def address(self):
        """Control address of the process."""
        return self.membership.member.control_address

    @property
    def host(self):
        """IP address of the process's VM."""
        return self.membership.member.host

    def serves(self, service):
        """Return whether the process is an agent of a service."""
        endpoints = self.membership.member.endpoints
        return any(endpoint.service == service for endpoint in endpoints)


@dataclasses.dataclass(eq=False)
class Caller:
    """A caller that sends one packet of a flow until it is answered.

    Attributes:
        flow: Id of the flow.
        owner: The agent that owns the flow; None where no agent does.
        entry: The entry that gets the packet; None for the one that routers choose.
        first_sent_at: When the packet is first sent.
        next_at: When it is sent next.
        is_opening: Whether the packet opens the flow; any agent accepts it.
        interval: Seconds until the retransmission after that.
        delivered_at: When the owner, or an agent that accepts it, first got the packet.
        reset_at: When an entry reset the flow.
        reset: The entry's decision to reset it.
    """

    flow: packets.FlowId
    owner: Process | None
    entry: Process | None
    first_sent_at: float
    next_at: float
    is_opening: bool = False
    interval: float = RETRANSMISSION_SECONDS[0]
    delivered_at: float | None = None
    reset_at: float | None = None
    reset: actions.Reset | None = None

    def send_again(self, at):
        """Send another packet at some time, until that one is answered."""
        self.delivered_at = None
        self.first_sent_at = self.next_at = at
        self.interval = RETRANSMISSION_SECONDS[0]

    @property
    def is_done(self):
        """Whether the packet was delivered or its flow reset."""
        return self.delivered_at is not None or self.reset_at is not None

    @property
    def seconds_to_delivery(self):
        """Seconds until the owner got the packet, infinite where it did not."""
        return _seconds_between(self.first_sent_at, self.delivered_at)

    @property
    def seconds_to_reset(self):
        """Seconds until the flow was reset, infinite where it was not."""
        return _seconds_between(self.first_sent_at, self.reset_at)


def _seconds_between(start, end):
    return float("inf") if end is None else end - start


class Fleet(network.Network):
    """Entries and agents, in simulated time; at the start all know each other.

    Attributes:
        reporting: Agents that report their load to the entries that they know.
    """

    def __init__(self, agents, entries, seed, services=(SERVICE,)):
        """Start with entries and agents that know all members.

        Args:
            agents: Number of agents.
            entries: Number of entries.
            seed: Seed of all random choices.
            services: Services of the agents, in turn. The route leads to the first.
        """
        super().__init__(0, seed, node.TIMING, STEP_SECONDS, may_change_ids=True)
        self.routes = builders.route_table(services[0])
        self.services = services
        self.running = {}
        self.callers = {}
        self.numbers = itertools.count()
        self.events = []
        self.event_order = itertools.count()
        self.reporting = set()
        self.next_report_at = 0.0
        members = [self.make_member(records.Role.ENTRY) for _ in range(entries)]
        members += [self.make_member(records.Role.AGENT) for _ in range(agents)]
        self._start_acquainted(members)

    @property
    def entries(self):
        """All running entries."""
        return [p for p in self.running.values() if p.flows is not None]

    @property
    def agents(self):
        """All running agents."""
        return [p for p in self.running.values() if p.flows is None]

    # Processes.

    def make_member(self, role, host=None, clock_offset=0.0):
        """Describe a process that starts now.

        Args:
            role: Its role.
            host: IP address of its VM; that of a new VM if None.
            clock_offset: Seconds by which the VM's clock is ahead.
        """
        number = next(self.numbers)
        service = self.services[number % len(self.services)]
        usual = member_builders.make_agent(number, service).member
        started_at = FLEET_STARTED_AT + self.now + clock_offset
        return msgspec.structs.replace(
            usual,
            id=records.make_member_id(started_at, self.rng.getrandbits(32)),
            role=role,
            host=host or usual.host,
            endpoints=usual.endpoints if role is records.Role.AGENT else (),
        )

    def start_entry(self, seeds, host=None):
        """Start an entry without state that joins through some control addresses."""
        return self._start(self.make_member(records.Role.ENTRY, host), seeds)

    def start_agent(self, seeds):
        """Start an agent that joins through some control addresses."""
        return self._start(self.make_member(records.Role.AGENT), seeds)

    def restart_entry(self, process):
        """Stop an entry, and start one without state at its address."""
        self.stop(process)
        return self.start_entry(process.seeds, process.host)

    def start_agent_again(self, process, clock_offset=0.0):
        """Start an agent at the address of one that has ended.

        Args:
            process: The agent that has ended.
            clock_offset: Seconds by which the VM's clock is ahead since then.
        """
        member = self.make_member(records.Role.AGENT, process.host, clock_offset)
        return self._start(member, process.seeds)

    def stop(self, process):
        """Let a process end whose backend server, if it has one, has ended."""
        membership = process.membership
        ended = msgspec.structs.replace(membership.member, endpoints=())
        self.execute(membership, membership.update(ended, self.now))
        self.execute(membership, membership.leave(self.now))
        self.kill(process)

    def kill(self, process):
        """End a process without notice."""
        del self.running[process.host]
        del self.nodes[process.membership.member.gossip_address]

    def pause(self, process):
        """Pause a process: it does nothing, and what is sent to it is lost."""
        self.cut.add(process.membership.member.gossip_address)

    def resume(self, process):
        """Let a paused entry go on, which notices the pause at once."""
        self.cut.discard(process.membership.member.gossip_address)
        process.flows.handle_pause(self.now)
        membership = process.membership
        self.execute(membership, membership.handle_pause(self.now))

    def isolate(self, process):
        """Cut a running process off from all others; callers still reach it."""
        self.isolated.add(process.membership.member.gossip_address)

    def reconnect(self, process):
        """End the isolation of a process."""
        self.isolated.discard(process.membership.member.gossip_address)

    def is_paused(self, process):
        """Return whether a process is paused."""
        return process.membership.member.gossip_address in self.cut

    def _start_acquainted(self, members):
        table = tuple(records.Record(m, 0, records.Status.ALIVE) for m in members)
        seeds = tuple(member.control_address for member in members[:3])
        first = self.add_member(members[0], 0)
        first.merge(table, self.now)
        for index, member in enumerate(members):
            known = network.clone(first, member, self.rng.random()) if index else first
            self._begin_amid_probe_round(known, members)
            self.nodes[member.gossip_address] = known
            process = self._run_process(known, seeds)
            for record in table if process.flows else ():
                process.flows.update_member(record, self.now)
        for known in list(self.nodes.values()):
            self.complete(known)

    def _begin_amid_probe_round(self, known, members):
        """Let a member be anywhere in its round, as in a fleet that has run long."""
        others = [m.id for m in members if m.id != known.member.id]
        known._failures._probe_order = self.rng.sample(
            others, self.rng.randrange(len(others))
        )

    def _start(self, member, seeds):
        return self._run_process(
            self.add_member(member, self.rng.random()), tuple(seeds)
        )

    def _run_process(self, membership, seeds):
        flows = None
        if membership.member.role is records.Role.ENTRY:
            rng = random.Random(self.rng.random())
            flows = entry.EntryFlows(membership.member.zone, rng, self.now)
            flows.update_routes(self.routes, self.now)
        process = Process(membership, flows, seeds, self.now, self.routes, self.now)
        membership.set_contacts(seeds)
        self.running[process.host] = process
        return process

    # Routes.

    def adopt(self, process, table):
        """Let a process adopt a revision of the routes, and announce it."""
        process.route_table = table
        process.adopted_at = self.now
        process.membership.set_revision(table.revision)
        if process.flows is not None:
            decided = process.flows.update_routes(table, self.now)
            self._execute_flow_actions(process, decided)

    def _fetch_routes(self, process, member):
        """Let a process adopt the routes of a member after a while, if newer."""

        def adopt_if_newer():
            source = self.running.get(member.host)
            if source is None or not self._is_running(process):
                return
            if source.route_table.revision > process.route_table.revision:
                self.adopt(process, source.route_table)

        self._schedule(adopt_if_newer, FETCH_SECONDS)

    # Callers.

    def add_caller(
        self,
        owner,
        entry=None,
        after=0.0,
        *,
        like=builders.FLOW,
        is_opening=False,
        is_repeating=True,
    ):
        """Let a caller send a packet after some seconds.

        Args:
            owner: The agent that owns the flow; None where no agent does.
            entry: The entry that gets the packet; None for the one that routers choose.
            after: Seconds until the packet is first sent.
            like: A flow of the same route.
            is_opening: Whether the packet opens the flow.
            is_repeating: Whether it is sent again until it is answered.
        """
        flow = like._replace(caller_port=1024 + len(self.callers))
        at = self.now + after
        interval = RETRANSMISSION_SECONDS[0] if is_repeating else float("inf")
        caller = Caller(
            flow, owner, entry, at, at, is_opening=is_opening, interval=interval
        )
        self.callers[flow] = caller
        return caller

    def is_wrongly_reset(self, caller):
        """Return whether a flow was reset although its owner runs."""
        return caller.reset is not None and self._is_running(caller.owner)

    def _is_running(self, process):
        return process is not None and self.running.get(process.host) is process

    def _send_if_due(self, caller):
        if caller.is_done or self.now < caller.next_at:
            return
        caller.next_at = self.now + caller.interval
        caller.interval = min(2 * caller.interval, RETRANSMISSION_SECONDS[1])
        receiver = caller.entry or self._route(caller.flow)
        if self.is_paused(receiver):
            return
        make_packet = builders.opening_packet if caller.is_opening else builders.packet
        packet = builders.with_linked_datagram(make_packet(flow=caller.flow))
        self._execute_flow_actions(
            receiver, receiver.flows.handle_packet(packet, self.now)
        )

    def _route(self, flow):
        """Return the running entry that routers choose for a flow."""

        def weight(process):
            return zlib.crc32(f"{process.host} {flow.caller_port}".encode())

        return max(self.entries, key=weight)

    # Time.

    def run_until(self, is_over, seconds):
        """Advance the time until a condition holds, at most by some seconds."""
        end = self.now + seconds
        while self.now < end and not is_over():
            self.step()

    def run_until_answered(self, seconds):
        """Advance the time until all packets are delivered or their flows reset."""
        self.run_until(lambda: all(c.is_done for c in self.callers.values()), seconds)

    def step(self):
        """Advance the time by one step."""
        super().step()
        while self.events and self.events[0][0] <= self.now:
            heapq.heappop(self.events)[2]()
        self._report_loads()
        for process in self.entries:
            if not self.is_paused(process):
                self._execute_flow_actions(process, process.flows.tick(self.now))
        for caller in list(self.callers.values()):
            self._send_if_due(caller)

    def _schedule(self, work, delay=NETWORK_DELAY_SECONDS):
        at = self.now + self.rng.uniform(*delay)
        heapq.heappush(self.events, (at, next(self.event_order), work))

    # Actions.

    def execute(self, node, actions):
        """Carry out what a member decided, and tell its entry of changed members."""
        super().execute(node, actions)
        process = self.running.get(node.member.host)
        if process is None or process.flows is None:
            return
        for action in actions:
            decided = []
            if isinstance(action, member_actions.MemberChanged):
                decided = process.flows.update_member(action.record, self.now)
            elif isinstance(action, member_actions.CompletenessChanged):
                decided = process.flows.update_completeness(action.evidence, self.now)
            elif isinstance(action, member_actions.NewestRevisionChanged):
                process.flows.record_revision(action.revision)
            elif isinstance(action, member_actions.FetchConfiguration):
                self._fetch_routes(process, action.member)
            self._execute_flow_actions(process, decided)

    def _execute_flow_actions(self, process, decided):
        for action in decided:
            if isinstance(action, actions.Reset):
                self._reset(action)
            elif isinstance(action, actions.ReportUnknownSender):
                self._report_unknown_sender(process, action.address)
            elif isinstance(action, actions.Forward):
                self._send_to_agent(process, action.address, action.datagram.packet)
            elif isinstance(action, actions.SendMessage):
                self._send_message(process, action)

    def _report_unknown_sender(self, process, address):
        membership = process.membership
        self.execute(membership, membership.handle_unknown_sender(address, self.now))

    def _reset(self, action):
        caller = self.callers[action.flow]
        if caller.reset is None:
            caller.reset = action
            caller.reset_at = self.now

    def _send_to_agent(self, sender, address, packet):
        self._schedule(lambda: self._answer(sender, address, packet))

    def _send_message(self, sender, action):
        """Send an entry's message to another entry or to an agent."""
        message = action.message
        if isinstance(message, messages.LookupRequest):
            self._send_to_agent(sender, action.address, message.datagram.packet)
        elif isinstance(message, messages.OwnershipQuery):
            self._schedule(
                lambda: self._answer_query(sender, action.address, message.flows)
            )
        else:
            receiver = self.running.get(action.address.host)
            if receiver is not None and receiver.flows is not None:
                self._schedule_message(sender, receiver, message)

    def _reachable_agent(self, sender, address):
        """Return the agent at an address that an entry reaches, if one runs there."""
        agent = self.running.get(address.host)
        if agent is None or agent.flows is not None or self.now < agent.answers_from:
            return None
        return None if self._is_message_lost(sender, agent) else agent

    def _answer_query(self, sender, address, flow_ids):
        """Answer which of some flows the agent at an address owns."""
        agent = self._reachable_agent(sender, address)
        if agent is None:
            return
        owned = tuple(f for f in flow_ids if self.callers[f].owner is agent)
        denied = tuple(f for f in flow_ids if f not in owned)
        answer = messages.OwnershipAnswer(owned, denied)
        self._schedule_message(agent, sender, answer)

    def _answer(self, sender, address, packet):
        """Answer a packet as the agent at an address, if one runs there."""
        agent = self._reachable_agent(sender, address)
        if agent is None:
            return
        caller = self.callers[packet.flow]
        answer = messages.OwnershipDenied(packet.flow)
        if caller.is_opening:
            answer = messages.Accepted(
                packet.flow, builders.SERVER_START, builders.IDLE_LOAD
            )
        elif caller.owner is agent:
            answer = messages.OwnershipConfirmed(packet.flow)
        is_delivered = caller.is_opening or caller.owner is agent
        if is_delivered and caller.delivered_at is None:
            caller.delivered_at = self.now
        self._schedule_message(agent, sender, answer)

    def _report_loads(self):
        """Let agents report their loads to the entries that they know."""
        if self.now < self.next_report_at:
            return
        self.next_report_at = self.now + reports.REPORT_INTERVAL_SECONDS
        report = messages.LoadReport(builders.IDLE_LOAD)
        by_address = {process.address: process for process in self.entries}
        for agent in self.agents:
            for record in agent.membership.table if agent in self.reporting else ():
                receiver = by_address.get(record.member.control_address)
                if receiver is not None and record.is_present:
                    self._schedule_message(agent, receiver, report)

    def _schedule_message(self, agent, receiver, message):
        self._schedule(lambda: self._deliver_message(agent, receiver, message))

    def _deliver_message(self, agent, receiver, message):
        if not self._is_running(receiver) or self._is_message_lost(agent, receiver):
            return
        decided = receiver.flows.handle_message(agent.address, message, self.now)
        self._execute_flow_actions(receiver, decided)

    def _is_message_lost(self, *processes):
        """Return whether a message between two processes does not arrive."""
        return self._is_lost(*(p.membership.member.gossip_address for p in processes))


class Calls:
    """Callers that send packets of open flows to some entries."""

    def __init__(self, members, owners, entries, seed):
        """Add callers of flows with owner, and of some without.

        Args:
            members: The fleet.
            owners: Agents that may own a flow.
            entries: The entries; each gets packets of as many flows.
            seed: Seed of all random choices.
        """
        self.members = members
        self.owned = []
        self.unowned = []
        rng = random.Random(seed)
        for receiver in entries:
            for owner in rng.sample(owners, min(OWNED_FLOWS, len(owners))):
                after = rng.uniform(*FIRST_PACKET_SECONDS)
                self.owned.append(members.add_caller(owner, receiver, after))
            self.unowned += [
                members.add_caller(None, receiver, FIRST_PACKET_SECONDS[0])
                for _ in range(UNOWNED_FLOWS)
            ]

    def run(self):
        """Run the fleet until all callers should have an answer, and a while longer."""
        seconds = FIRST_PACKET_SECONDS[1] + MAX_ANSWER_SECONDS
        self.members.run_until_answered(seconds)
        self.members.run(QUIET_SECONDS)
        return self


def add_agents(members, seeds):
    """Let some agents join through the same seeds, one shortly after the other."""
    for _ in range(ADDED_AGENTS):
        members.start_agent(seeds)
        members.run(AGENT_START_SECONDS)
