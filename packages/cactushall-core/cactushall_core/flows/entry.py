"""An entry's decisions about flows.

A flow is being opened, or held by an agent that the entry remembers, or looked for.
"""

from __future__ import annotations

import random

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    directory,
    messages,
    openings,
    packets,
    routes,
    searches,
    surroundings,
)
from cactushall_core.membership import records

SEQUENCE_WINDOW_BYTES = 76_800
CLOSED_SECONDS = 5.0
FORGET_AGENT_SECONDS = 60.0
SWEEP_SECONDS = 1.0
MAX_FLOWS = 100_000


class Held(msgspec.Struct):
    """A flow that an agent holds.

    Attributes:
        agent: The agent's packet address.
        sequence: Sequence number of the opening packet, None where it was not seen.
        seen_at: When the caller's latest packet came.
        accepted: First sequence number of each backend server that answered the
            opening packet, until the caller has taken one of the answers.
        acknowledged: What the caller acknowledged last.
        is_closing: Whether the caller has closed it.
    """

    agent: addresses.Address
    sequence: int | None
    seen_at: float
    accepted: dict[addresses.Address, int] | None = None
    acknowledged: int = 0
    is_closing: bool = False


class EntryFlows:
    """All flows that an entry remembers.

    Methods take the present time and return the actions to carry out.
    """

    def __init__(
        self, zone: identifiers.ZoneName, rng: random.Random, now: float
    ) -> None:
        """Know nothing yet.

        Args:
            zone: Availability zone of the entry, and so of most of its callers.
            rng: Source of random choices.
            now: Present time in seconds.
        """
        self._known = surroundings.Surroundings(now)
        self._openings = openings.Openings(self._known, zone, rng)
        self._searches = searches.Searches(self._known)
        self._held: dict[packets.FlowId, Held] = {}
        self._next_sweep_at = now + SWEEP_SECONDS

    @property
    def flow_count(self) -> int:
        """How many flows are remembered."""
        return len(self._openings) + len(self._held) + len(self._searches)

    def adopt(self, table: routes.RouteTable, now: float) -> list[actions.Action]:
        """Use a newer revision of the routes from now on."""
        self._known.adopt(table)
        return self.tick(now)

    def learn(self, record: records.Record, now: float) -> list[actions.Action]:
        """Take in what membership believes of a member."""
        self._known.agents.learn(record, now)
        return self.tick(now)

    def note_pause(self, now: float) -> None:
        """Note that this process stood still until now, and its beliefs are old."""
        self._known.note_pause(now)

    def receive(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        """Handle a caller's packet."""
        if packet.is_opening and self._known.is_stale(now):
            return [actions.Drop(packet.flow, actions.Reason.STALE)]
        if self._known.table.is_known and not self._known.table.find(packet.flow):
            return self._refuse_without_route(packet)
        if packet.is_opening:
            return self._open(packet, now)
        held = self._held.get(packet.flow) or self._hold_opening(packet.flow, now)
        if held is None:
            return self._look_for(packet, now)
        held.seen_at = now
        held.acknowledged = packet.acknowledgement
        if packet.flags & (packets.Flags.FIN | packets.Flags.RST):
            held.is_closing = True
        _settle_holder(held, packet)
        agent = self._known.agents.at(held.agent)
        if agent is None or searches.has_gone(agent, now):
            del self._held[packet.flow]
            return self._look_for(packet, now)
        return [actions.Forward(held.agent, packet.datagram)]

    def hear(
        self, sender: addresses.Address, message: messages.Message, now: float
    ) -> list[actions.Action]:
        """Handle an agent's message."""
        agent = self._known.agents.sender(sender)
        if agent is None:
            return []
        agent.heard_at = now
        if isinstance(message, messages.Held):
            return self._note_held(agent, message.flow, now)
        if isinstance(message, messages.NotHeld):
            return self._note_not_held(agent, message.flow, now)
        if isinstance(message, messages.Question):
            return []
        agent.note_load(message.load, now)
        if isinstance(message, messages.Declined):
            return self._openings.decline(agent, message, now)
        decided: list[actions.Action] = []
        if isinstance(message, messages.Accepted):
            decided += self._note_accepted(agent, message, now)
        return decided + self._openings.place_waiting(now)

    def tick(self, now: float) -> list[actions.Action]:
        """Decide what could not be decided when the packets came."""
        decided = self._openings.place_waiting(now)
        decided += self._searches.decide(now)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_SECONDS
            self._sweep(now)
        return decided

    # New flows.

    def _open(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        held = self._held.get(packet.flow)
        if held is not None and held.sequence == packet.sequence:
            held.seen_at = now
            return [actions.Forward(held.agent, packet.datagram)]
        self._forget(packet.flow, keeps_opening=True)
        self._make_room()
        return self._openings.receive(packet, now)

    def _note_accepted(
        self, agent: directory.Agent, message: messages.Accepted, now: float
    ) -> list[actions.Action]:
        agent.unanswered.pop(message.flow, None)
        address = agent.packet_address
        opening = self._openings.get(message.flow)
        if opening is not None:
            self._openings.remove(message.flow)
            accepted = {address: message.sequence}
            sequence = opening.packet.sequence
            self._held[message.flow] = Held(address, sequence, now, accepted)
            seconds = now - opening.opened_at
            return [actions.Measured(actions.Latency.FLOW_OPENED, seconds)]
        held = self._held.get(message.flow)
        if held is not None and held.accepted is not None:
            held.accepted[address] = message.sequence
        return []

    def _hold_opening(self, flow_id: packets.FlowId, now: float) -> Held | None:
        """Hold a flow whose caller has an answer that the entry was not told of."""
        opening = self._openings.get(flow_id)
        if opening is None or opening.agent is None:
            return None
        self._openings.remove(flow_id)
        held = Held(opening.agent, opening.packet.sequence, now, {})
        self._held[flow_id] = held
        return held

    # Flows whose holder is not remembered.

    def _look_for(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        if packet.flags & packets.Flags.RST:
            return [actions.Drop(packet.flow, actions.Reason.STRAY)]
        self._make_room()
        decided = self._searches.receive(packet, now)
        return decided + self._searches.decide_one(packet.flow, now)

    def _note_held(
        self, agent: directory.Agent, flow_id: packets.FlowId, now: float
    ) -> list[actions.Action]:
        address = agent.packet_address
        opening = self._openings.get(flow_id)
        if opening is not None:
            self._openings.remove(flow_id)
            self._held[flow_id] = Held(address, opening.packet.sequence, now)
            return []
        search = self._searches.remove(flow_id)
        if search is None:
            return []
        self._held[flow_id] = Held(address, None, now)
        return [actions.Forward(address, datagram) for datagram in search.buffered]

    def _note_not_held(
        self, agent: directory.Agent, flow_id: packets.FlowId, now: float
    ) -> list[actions.Action]:
        held = self._held.get(flow_id)
        if held is not None:
            if held.agent != agent.packet_address:
                return []
            del self._held[flow_id]
            self._searches.begin(flow_id, held.acknowledged, now)
        self._searches.deny(flow_id, agent.member.id)
        return self._searches.decide_one(flow_id, now)

    # Ends and memory.

    def _refuse_without_route(self, packet: packets.Packet) -> list[actions.Action]:
        self._forget(packet.flow)
        if packet.flags & packets.Flags.RST:
            return []
        reason = actions.Reason.NO_ROUTE
        acknowledged = 0 if packet.is_opening else packet.acknowledgement
        return [actions.Reset(packet.flow, acknowledged, reason)]

    def _forget(self, flow_id: packets.FlowId, *, keeps_opening: bool = False) -> None:
        self._held.pop(flow_id, None)
        self._searches.remove(flow_id)
        if not keeps_opening:
            self._openings.remove(flow_id)

    def _make_room(self) -> None:
        if self.flow_count < MAX_FLOWS:
            return
        if self._held:
            del self._held[next(iter(self._held))]
        elif len(self._openings) > len(self._searches):
            self._openings.remove_oldest()
        else:
            self._searches.remove_oldest()

    def _sweep(self, now: float) -> None:
        idle = self._known.table.idle_timeout_seconds + CLOSED_SECONDS
        expired = [
            flow_id
            for flow_id, held in self._held.items()
            if now - held.seen_at > (CLOSED_SECONDS if held.is_closing else idle)
        ]
        for flow_id in expired:
            del self._held[flow_id]
        self._openings.expire(now)
        self._searches.expire(now - idle)
        self._known.agents.forget(now - FORGET_AGENT_SECONDS)


def _settle_holder(held: Held, packet: packets.Packet) -> None:
    """Find out which backend server's answer the caller has taken."""
    if not held.accepted:
        return
    ahead = {
        packets.distance(packet.acknowledgement, sequence): address
        for address, sequence in held.accepted.items()
    }
    nearest = min(ahead)
    if nearest < SEQUENCE_WINDOW_BYTES:
        held.agent = ahead[nearest]
        held.accepted = None
