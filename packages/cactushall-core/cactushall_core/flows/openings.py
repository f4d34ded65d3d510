"""New flows at an entry, until a backend server has answered."""

from __future__ import annotations

import random

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    choice,
    directory,
    messages,
    packets,
    surroundings,
)

RESEND_SECONDS = 0.15
ROOM_SECONDS = 0.15
WAITING_PER_AGENT = 0.5
MIN_WAITING = 2


class Opening(msgspec.Struct):
    """A flow whose opening packet no backend server has answered.

    Attributes:
        packet: The opening packet.
        opened_at: When it came first.
        sent_at: When it was last sent to an agent.
        agent: Packet address of the agent that it was last sent to; None while the
            flow waits for room.
        tried: All agents that it was sent to.
        declined: Those of them that do not take it.
    """

    packet: packets.Packet
    opened_at: float
    sent_at: float = float("-inf")
    agent: addresses.Address | None = None
    tried: set[addresses.Address] = msgspec.field(default_factory=set)
    declined: set[addresses.Address] = msgspec.field(default_factory=set)


class Openings:
    """All new flows that no backend server has answered."""

    def __init__(
        self,
        known: surroundings.Surroundings,
        zone: identifiers.ZoneName,
        rng: random.Random,
    ) -> None:
        """Know no flow yet.

        Args:
            known: Routes and agents.
            zone: Availability zone of most callers.
            rng: Breaks ties.
        """
        self._known = known
        self._zone = zone
        self._rng = rng
        self._flows: dict[packets.FlowId, Opening] = {}
        self._waiting: dict[packets.FlowId, Opening] = {}

    def __len__(self) -> int:
        """Return how many flows are being opened."""
        return len(self._flows)

    def get(self, flow_id: packets.FlowId) -> Opening | None:
        """Return a flow that is being opened."""
        return self._flows.get(flow_id)

    def remove(self, flow_id: packets.FlowId) -> None:
        """Forget a flow."""
        self._flows.pop(flow_id, None)
        self._waiting.pop(flow_id, None)

    def remove_oldest(self) -> None:
        """Forget the flow that has been opened first."""
        self.remove(next(iter(self._flows)))

    def receive(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        """Handle an opening packet or a repetition of it."""
        flow = self._flows.get(packet.flow)
        if flow is None or flow.packet.sequence != packet.sequence:
            flow = Opening(packet, now)
            self.remove(packet.flow)
            self._flows[packet.flow] = flow
        if packet.flow in self._waiting:
            return []
        if flow.agent is not None and now - flow.sent_at < RESEND_SECONDS:
            return [actions.Forward(flow.agent, packet.datagram)]
        return self._place(flow, now)

    def decline(
        self, agent: directory.Agent, message: messages.Declined, now: float
    ) -> list[actions.Action]:
        """Handle an agent's refusal of a flow."""
        agent.unanswered.pop(message.flow, None)
        if message.refusal is messages.Refusal.FULL:
            agent.note_full(now)
        flow = self._flows.get(message.flow)
        if flow is None:
            return []
        if message.refusal is not messages.Refusal.FULL:
            flow.declined.add(agent.packet_address)
        if flow.agent != agent.packet_address:
            return []
        return self._place(flow, now)

    def place_waiting(self, now: float) -> list[actions.Action]:
        """Place flows that wait for room, the newest first.

        The callers of the oldest have the least time left for an answer.
        """
        decided: list[actions.Action] = []
        for flow_id in reversed(list(self._waiting)):
            flow = self._waiting[flow_id]
            decided += self._place(flow, now)
        return decided

    def expire(self, now: float) -> None:
        """Forget flows whose callers have given up."""
        for flow_id, flow in list(self._flows.items()):
            if now - flow.opened_at > packets.OPENING_SECONDS + RESEND_SECONDS:
                self.remove(flow_id)

    def _place(self, flow: Opening, now: float) -> list[actions.Action]:
        """Send an opening packet on, if possible to an agent that has not had it."""
        flow_id = flow.packet.flow
        if not self._known.table.is_known:
            return self._wait(flow, 0, now, packets.OPENING_SECONDS)
        route = self._known.table.find(flow_id)
        if route is None:
            return self._refuse(flow, 0, now, actions.Reason.NO_ROUTE)
        takers = self._known.agents.takers(route.service_of(flow_id))
        willing = [a for a in takers if a.packet_address not in flow.declined]
        if not willing:
            patience = 0.0 if self._known.is_settled(now) else packets.OPENING_SECONDS
            return self._wait(flow, 0, now, patience)
        untried = [a for a in willing if a.packet_address not in flow.tried]
        objective = route.objective_seconds
        agent = choice.choose(untried or willing, self._zone, objective, self._rng, now)
        if agent is None:
            patience = self._room_patience(len(willing))
            return self._wait(flow, len(willing), now, patience)
        return [self._send(flow, agent, now)]

    def _room_patience(self, agent_count: int) -> float:
        """Return how long a flow may wait for room, in seconds.

        Where more wait than soon get room, those beyond are refused at once: they
        would be answered late and make others late.
        """
        limit = max(MIN_WAITING, WAITING_PER_AGENT * agent_count)
        return ROOM_SECONDS if len(self._waiting) < limit else 0.0

    def _send(
        self, flow: Opening, agent: directory.Agent, now: float
    ) -> actions.Forward:
        self._waiting.pop(flow.packet.flow, None)
        placement = actions.Placement(
            flow=flow.packet.flow,
            copy=flow.packet.acknowledgement,
            tries=len(flow.tried),
            waited_seconds=now - flow.opened_at,
            requests=agent.load.requests + agent.expected(now),
            load_age_seconds=now - agent.told_at,
        )
        agent.unanswered[flow.packet.flow] = now
        flow.agent = agent.packet_address
        flow.sent_at = now
        flow.tried.add(agent.packet_address)
        return actions.Forward(flow.agent, flow.packet.datagram, placement)

    def _wait(
        self, flow: Opening, agent_count: int, now: float, patience_seconds: float
    ) -> list[actions.Action]:
        """Keep a flow until one of some agents has room for it, else refuse it."""
        flow.agent = None
        if now - flow.opened_at < patience_seconds:
            self._waiting.setdefault(flow.packet.flow, flow)
            return []
        reason = actions.Reason.NO_CAPACITY
        if agent_count == 0:
            reason = actions.Reason.NO_SERVER
        return self._refuse(flow, agent_count, now, reason)

    def _refuse(
        self, flow: Opening, agent_count: int, now: float, reason: actions.Reason
    ) -> list[actions.Action]:
        flow_id = flow.packet.flow
        self.remove(flow_id)
        waited = now - flow.opened_at
        evidence = actions.Unplaced(agent_count, len(flow.tried), waited)
        return [actions.Reset(flow_id, 0, reason, evidence)]
