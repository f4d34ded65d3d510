"""An entry's decisions about flows.

A flow at an entry is in one of three states: it is pending, it has a known owner (the
agent whose backend server holds it), or its owner is being looked up.
"""

from __future__ import annotations

import math
import random

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    cluster_view,
    cold_start,
    directory,
    explanation,
    hedging,
    lookups,
    messages,
    packets,
    pending_flows,
    registered_owners,
    routes,
)
from cactushall_core.membership import completeness, records

SEQUENCE_WINDOW_BYTES = 76_800
CLOSED_RETENTION_SECONDS = 5.0
GONE_AGENT_RETENTION_SECONDS = 60.0
SWEEP_INTERVAL_SECONDS = 1.0
MAX_FLOWS = 100_000


class OwnedFlow(msgspec.Struct):
    """A flow whose owner is known.

    Attributes:
        agent: The owner's packet address.
        opening_sequence: Sequence number of the opening packet, None where it was not
            seen.
        last_packet_at: When the caller's latest packet arrived.
        server_sequences: Initial sequence number of each backend server that answered
            the opening packet; None once the caller's choice among them is known.
        acknowledged: The caller's latest acknowledgement number.
        is_closing: Whether the caller has closed it.
        second_offer: The offer to a second agent, until the caller's choice is known.
    """

    agent: addresses.Address
    opening_sequence: int | None
    last_packet_at: float
    server_sequences: dict[addresses.Address, int] | None = None
    acknowledged: int = 0
    is_closing: bool = False
    second_offer: hedging.SecondOffer | None = None


class EntryFlows:
    """All flows that an entry tracks.

    Methods take the current time and return the actions to carry out.
    """

    def __init__(
        self, zone: identifiers.ZoneName, rng: random.Random, now: float
    ) -> None:
        """Start without flows, agents and routes.

        Args:
            zone: Availability zone of the entry, and so of most of its callers.
            rng: Source of random choices.
            now: Current time in seconds.
        """
        self._rng = rng
        self._view = cluster_view.ClusterView(rng)
        self._hedges = hedging.Hedging()
        self._pending = pending_flows.PendingFlows(self._view, zone, self._hedges)
        self._registered = registered_owners.RegisteredOwners()
        self._lookups = lookups.Lookups(self._view, self._registered, zone)
        self._owned: dict[packets.FlowId, OwnedFlow] = {}
        self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS

    @property
    def flow_count(self) -> int:
        """How many flows are tracked."""
        return len(self._pending) + len(self._owned) + len(self._lookups)

    @property
    def lookup_count(self) -> int:
        """How many flows' owners are being looked up."""
        return len(self._lookups)

    @property
    def queue_lengths(self) -> pending_flows.QueueLengths:
        """How many new flows are queued."""
        return self._pending.queue_lengths

    @property
    def agent_counts(self) -> directory.AgentCounts:
        """How many agents are known."""
        return self._view.agents.counts

    def oldest_lookup_seconds(self, now: float) -> float:
        """Return the age of the oldest lookup, 0 without lookups."""
        return self._lookups.oldest_seconds(now)

    @property
    def next_offer_at(self) -> float | None:
        """When the next second offer is due, None where none is scheduled."""
        return self._hedges.next_due_at

    def set_hedging_limit(self, percent: float) -> None:
        """Set how many second offers may be made, as a percentage of openings."""
        self._hedges.set_limit(percent)

    def update_routes(
        self, table: routes.RouteTable, now: float
    ) -> list[actions.Action]:
        """Replace the routes by a newer revision."""
        self._view.update_routes(table)
        return self.tick(now)

    def record_revision(self, revision: identifiers.Revision) -> None:
        """Record that a member has told of a revision of the routes."""
        self._view.record_revision(revision)

    def update_member(self, record: records.Record, now: float) -> list[actions.Action]:
        """Apply a membership update."""
        self._view.agents.update(record, now)
        self._view.entries.update(record)
        return self.tick(now)

    def update_completeness(
        self, evidence: completeness.Evidence | None, now: float
    ) -> list[actions.Action]:
        """Set why all agents are known, None where some may not be."""
        self._view.update_evidence(evidence)
        return self.tick(now)

    def update_evacuated(
        self, zones: frozenset[identifiers.ZoneName], now: float
    ) -> list[actions.Action]:
        """Replace the availability zones that get no new flows."""
        self._view.update_evacuated(zones, now)
        return self.tick(now)

    def reported_flows(self, zone: identifiers.ZoneName) -> int:
        """Return how many flows the running agents of a zone have reported last."""
        agents = self._view.agents.agents
        return sum(
            agent.load.flows
            for agent in agents
            if agent.is_present and agent.member.zone == zone
        )

    def handle_pause(self, now: float) -> None:
        """Record that this process was paused until now, so that its view is old."""
        self._view.handle_pause(now)

    def handle_packet(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        """Handle a caller's packet."""
        if packet.is_opening and self._view.is_stale(now):
            return [actions.Drop(packet.flow, actions.Reason.STALE)]
        if self._view.certainly_lacks_route(packet.flow):
            return self._reset_without_route(packet)
        if packet.is_opening:
            return self._open(packet, now)
        flow = self._owned.get(packet.flow) or self._assume_owner(packet.flow, now)
        if flow is None:
            return self._look_up(packet, now)
        flow.last_packet_at = now
        flow.acknowledged = packet.acknowledgement
        if packet.flags & packets.CLOSING_FLAGS:
            flow.is_closing = True
        _resolve_owner(flow, packet)
        decided: list[actions.Action] = []
        if flow.second_offer is not None:
            decided = self._settle_second_offer(flow, flow.second_offer, packet)
        agent = self._view.agents.by_packet_address(flow.agent)
        if agent is None or lookups.is_confirmed_gone(agent, packet.flow, now):
            del self._owned[packet.flow]
            return decided + self._look_up(packet, now)
        return [actions.Forward(flow.agent, packet.datagram), *decided]

    def handle_message(
        self, sender: addresses.Address, message: messages.Message, now: float
    ) -> list[actions.Action]:
        """Handle a message of an agent or of another entry."""
        if isinstance(message, messages.ENTRY_MESSAGES):
            return self._handle_entry_message(sender, message, now)
        if isinstance(message, messages.RegisterFlows):
            self._registered.put(message.flows, sender, now)
        agent = self._view.agents.by_peer_address(sender)
        if agent is None:
            return [actions.ReportUnknownSender(sender)]
        if isinstance(message, messages.DENIALS):
            return self._handle_denial(agent, message, now)
        agent.last_message_at = now
        if isinstance(message, messages.LOAD_MESSAGES):
            return self._handle_load_message(agent, message, now)
        if isinstance(message, messages.OwnershipConfirmed):
            return self._handle_owned(agent, message.flow, now)
        return []

    def _handle_denial(
        self, agent: directory.Agent, message: messages.Denial, now: float
    ) -> list[actions.Action]:
        """Handle what a process at the address of an agent knows not to be held.

        The process may be a predecessor of the agent, or a successor that is not known
        yet: what that one denies is no evidence about the agent.
        """
        is_known = message.sender in (messages.NO_SENDER, agent.member.id)
        is_predecessor = not is_known and message.sender < agent.member.id
        decided: list[actions.Action] = []
        if not is_known and not is_predecessor:
            decided.append(actions.ReportUnknownSender(agent.peer_address))
        if not is_predecessor:
            agent.last_message_at = now
        if isinstance(message, messages.OwnershipAnswer):
            for flow_id in message.owned:
                decided += self._handle_owned(agent, flow_id, now)
            for flow_id in () if is_predecessor else message.undecided:
                decided += self._lookups.handle_undecided(flow_id, agent, now)
        if not is_known:
            return decided
        if isinstance(message, messages.HeldFlows):
            if message.sender != messages.NO_SENDER:
                agent.held.add(message)
            return decided
        for flow_id in message.denied:
            decided += self._handle_not_owned(agent, flow_id, now)
        return decided

    def _handle_load_message(
        self,
        agent: directory.Agent,
        message: messages.Accepted | messages.Declined | messages.LoadReport,
        now: float,
    ) -> list[actions.Action]:
        agent.update_load(message.load, now)
        self._update_cold_allowance(agent, message)
        if isinstance(message, messages.Declined):
            return self._pending.handle_declined(agent, message, now)
        decided: list[actions.Action] = []
        if isinstance(message, messages.Accepted):
            decided += self._handle_accepted(agent, message, now)
        return decided + self._pending.place_queued_at(agent, now)

    def _update_cold_allowance(
        self,
        agent: directory.Agent,
        message: messages.Accepted | messages.Declined | messages.LoadReport,
    ) -> None:
        """Store what this entry may use of an allowance; reports go to all entries."""
        allowance = message.load.cold_allowance
        if allowance >= 0:
            agent.cold_refill_per_second = self._view.cold_refill_per_second(agent)
        if isinstance(message, messages.LoadReport):
            entry_count = len(self._view.entries)
            allowance = cold_start.draw_share(allowance, entry_count, self._rng)
        agent.cold_allowance = allowance

    def explain(
        self,
        flow_id: packets.FlowId,
        zone: identifiers.ZoneName | None,
        now: float,
    ) -> explanation.Explanation:
        """Explain where a new flow would go now.

        Args:
            flow_id: The flow.
            zone: Availability zone of the caller, None for that of this entry.
            now: Current time in seconds.
        """
        return self._pending.explain(flow_id, zone, now)

    def offer_due(self, now: float) -> list[actions.Action]:
        """Make the second offers that are due."""
        return self._pending.offer_due(now)

    def tick(self, now: float) -> list[actions.Action]:
        """Make the decisions that had to be deferred when the packets arrived."""
        self._view.tick(now)
        decided = self._pending.place_queued(now)
        decided += self._pending.offer_due(now)
        decided += self._lookups.tick(now)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS
            self._sweep(now)
        return decided

    # New flows.

    def _open(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        flow = self._owned.get(packet.flow)
        if flow is not None and flow.opening_sequence == packet.sequence:
            flow.last_packet_at = now
            return [actions.Forward(flow.agent, packet.datagram)]
        self._forget(packet.flow, keeps_pending=True)
        self._registered.remove(packet.flow)
        self._evict_if_full()
        return self._pending.handle_packet(packet, now)

    def _handle_accepted(
        self, agent: directory.Agent, message: messages.Accepted, now: float
    ) -> list[actions.Action]:
        agent.unacknowledged.pop(message.flow, None)
        address = agent.packet_address
        pending = self._pending.get(message.flow)
        if pending is not None:
            self._pending.remove(message.flow)
            server_sequences = {address: message.sequence}
            sequence = pending.packet.sequence
            self._owned[message.flow] = OwnedFlow(
                address,
                sequence,
                now,
                server_sequences,
                second_offer=pending.second_offer,
            )
            # A late acceptance may be that of the former flow of the port.
            if math.isfinite(pending.offered_at):
                self._record_opened(message.flow, now - pending.offered_at)
            seconds = now - pending.opened_at
            return [actions.RecordLatency(actions.Latency.FLOW_OPENED, seconds)]
        flow = self._owned.get(message.flow)
        if flow is not None and flow.server_sequences is not None:
            flow.server_sequences[address] = message.sequence
        return []

    def _assume_owner(self, flow_id: packets.FlowId, now: float) -> OwnedFlow | None:
        """Make the last agent that got a pending flow its owner.

        The caller has the backend server's answer already, although the agent's
        message has not reached the entry.
        """
        pending = self._pending.get(flow_id)
        if pending is None or pending.agent is None:
            return None
        self._pending.remove(flow_id)
        flow = OwnedFlow(
            pending.agent,
            pending.packet.sequence,
            now,
            {},
            second_offer=pending.second_offer,
        )
        self._owned[flow_id] = flow
        return flow

    def _record_opened(self, flow_id: packets.FlowId, seconds: float) -> None:
        route = self._view.route_table.find(flow_id)
        if route is not None:
            self._hedges.record_opened(route.service_of(flow_id), seconds)

    def _settle_second_offer(
        self, flow: OwnedFlow, offer: hedging.SecondOffer, packet: packets.Packet
    ) -> list[actions.Action]:
        """Tell the agents whose answer the caller has not taken to forget the flow."""
        is_chosen = flow.server_sequences is None
        if not is_chosen and not packet.flags & packets.Flags.RST:
            return []
        flow.second_offer = None
        has_won = is_chosen and flow.agent == offer.agent
        outcome = actions.HedgeOutcome.WON if has_won else actions.HedgeOutcome.LOST
        decided: list[actions.Action] = [
            actions.RecordHedge(packet.flow, outcome, offer.agent)
        ]
        for address in sorted(offer.offered - {flow.agent}):
            agent = self._view.agents.by_packet_address(address)
            if agent is None or flow.opening_sequence is None:
                continue
            agent.unacknowledged.pop(packet.flow, None)
            message = messages.ReleaseFlow(packet.flow, flow.opening_sequence)
            decided.append(actions.SendMessage(agent.peer_address, message))
        return decided

    # Flows with unknown owner.

    def _handle_entry_message(
        self, sender: addresses.Address, message: messages.EntryMessage, now: float
    ) -> list[actions.Action]:
        if isinstance(message, messages.OwnerQuery):
            owner = self._probable_owner(message.flow)
            answer = messages.OwnerAnswer(message.flow, owner)
            return [actions.SendMessage(sender, answer)]
        if isinstance(message, messages.OwnerAnswer):
            return self._lookups.handle_owner_answer(sender, message, now)
        return []

    def _probable_owner(self, flow_id: packets.FlowId) -> addresses.Address | None:
        """Return the address of the agent that this entry takes for the owner."""
        flow = self._owned.get(flow_id)
        if flow is None:
            return self._registered.find(flow_id)
        agent = self._view.agents.by_packet_address(flow.agent)
        return agent.peer_address if agent is not None else None

    def _look_up(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        if packet.flags & packets.Flags.RST:
            return [actions.Drop(packet.flow, actions.Reason.STRAY_RESET)]
        self._evict_if_full()
        decided = self._lookups.handle_packet(packet, now)
        return decided + self._lookups.reset_if_unowned(packet.flow, now)

    def _handle_owned(
        self, agent: directory.Agent, flow_id: packets.FlowId, now: float
    ) -> list[actions.Action]:
        address = agent.packet_address
        pending = self._pending.get(flow_id)
        if pending is not None:
            self._pending.remove(flow_id)
            self._owned[flow_id] = OwnedFlow(address, pending.packet.sequence, now)
            return []
        lookup = self._lookups.remove(flow_id)
        if lookup is None:
            return []
        self._owned[flow_id] = OwnedFlow(address, None, now)
        decided: list[actions.Action] = [
            actions.Forward(address, datagram)
            for datagram in lookup.undelivered_to(agent.member.id)
        ]
        if lookup.asked_at:
            asked_seconds = now - lookup.first_asked_at
            decided.append(
                actions.RecordOwnerFound(
                    flow_id, address, asked_seconds, len(lookup.asked_at)
                )
            )
        return decided

    def _handle_not_owned(
        self, agent: directory.Agent, flow_id: packets.FlowId, now: float
    ) -> list[actions.Action]:
        flow = self._owned.get(flow_id)
        if flow is not None:
            if flow.agent != agent.packet_address:
                return []
            del self._owned[flow_id]
            self._lookups.start(flow_id, flow.acknowledged, now)
        self._lookups.record_not_owner(flow_id, agent.member.id)
        asked = self._lookups.ask_others_if_due(flow_id, now)
        asked += self._lookups.probe_if_due(flow_id, now)
        return asked or self._lookups.reset_if_unowned(flow_id, now)

    # Removal of flows.

    def _reset_without_route(self, packet: packets.Packet) -> list[actions.Action]:
        self._forget(packet.flow)
        if packet.flags & packets.Flags.RST:
            return []
        reason = actions.Reason.NO_ROUTE
        acknowledged = 0 if packet.is_opening else packet.acknowledgement
        return [actions.Reset(packet.flow, acknowledged, reason)]

    def _forget(self, flow_id: packets.FlowId, *, keeps_pending: bool = False) -> None:
        self._owned.pop(flow_id, None)
        self._lookups.remove(flow_id)
        if not keeps_pending:
            self._pending.remove(flow_id)

    def _evict_if_full(self) -> None:
        if self.flow_count < MAX_FLOWS:
            return
        if self._owned:
            del self._owned[next(iter(self._owned))]
        elif len(self._pending) > len(self._lookups):
            self._pending.remove_oldest()
        else:
            self._lookups.remove_oldest()

    def _sweep(self, now: float) -> None:
        idle = self._view.route_table.idle_timeout_seconds + CLOSED_RETENTION_SECONDS
        expired = [
            flow_id
            for flow_id, flow in self._owned.items()
            if now - flow.last_packet_at
            > (CLOSED_RETENTION_SECONDS if flow.is_closing else idle)
        ]
        for flow_id in expired:
            del self._owned[flow_id]
        self._pending.expire(now)
        self._lookups.expire(now - idle)
        self._registered.expire(now)
        self._view.agents.remove_gone(now - GONE_AGENT_RETENTION_SECONDS)


def _resolve_owner(flow: OwnedFlow, packet: packets.Packet) -> None:
    """Make the agent whose backend server's answer the caller took the owner.

    Where several backend servers answered the opening packet, the caller's
    acknowledgement number is close to the initial sequence number of just one.
    """
    if not flow.server_sequences:
        return
    ahead = {
        packets.sequence_distance(packet.acknowledgement, sequence): address
        for address, sequence in flow.server_sequences.items()
    }
    nearest = min(ahead)
    if nearest < SEQUENCE_WINDOW_BYTES:
        flow.agent = ahead[nearest]
        flow.server_sequences = None
