"""Flows whose holder an entry does not remember.

All agents are asked, with the packet in the question, so that the holder takes it at
once. A flow is reset only when it is certain that nobody holds it.
"""

from __future__ import annotations

import msgspec

from cactushall_core import identifiers
from cactushall_core.flows import (
    actions,
    directory,
    messages,
    packets,
    surroundings,
)
from cactushall_core.membership import records

QUESTION_SECONDS = 0.15
DENIAL_SECONDS = 2.0
GONE_SECONDS = 1.0
LEFT_SECONDS = 3.0
MAX_BUFFERED = 16
MAX_ASKED = 64


class Search(msgspec.Struct):
    """A flow whose holder is being looked for.

    Attributes:
        began_at: When agents were first asked.
        asked_at: When agents were last asked.
        seen_at: When the caller's latest packet came.
        acknowledged: What the caller acknowledged last.
        denied: Members that certainly do not hold it.
        buffered: Packets that wait for an answer.
    """

    began_at: float
    asked_at: float
    seen_at: float
    acknowledged: int
    denied: set[identifiers.MemberId] = msgspec.field(default_factory=set)
    buffered: list[bytes] = msgspec.field(default_factory=list)


class Searches:
    """All flows whose holder is being looked for."""

    def __init__(self, known: surroundings.Surroundings) -> None:
        """Look for no flow yet.

        Args:
            known: Routes and agents.
        """
        self._known = known
        self._flows: dict[packets.FlowId, Search] = {}

    def __len__(self) -> int:
        """Return how many flows are looked for."""
        return len(self._flows)

    def __contains__(self, flow_id: packets.FlowId) -> bool:
        """Tell whether a flow is looked for."""
        return flow_id in self._flows

    def begin(self, flow_id: packets.FlowId, acknowledged: int, now: float) -> Search:
        """Look for a flow from its next packet on."""
        search = Search(float("inf"), float("-inf"), now, acknowledged)
        self._flows[flow_id] = search
        return search

    def remove(self, flow_id: packets.FlowId) -> Search | None:
        """Look for a flow no longer and return what was known."""
        return self._flows.pop(flow_id, None)

    def remove_oldest(self) -> None:
        """Look no longer for the flow that has been looked for longest."""
        del self._flows[next(iter(self._flows))]

    def receive(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        """Handle a packet of a flow: ask with it, or let it wait for an answer."""
        flow_id = packet.flow
        search = self._flows.get(flow_id) or self.begin(flow_id, 0, now)
        if now - search.seen_at > DENIAL_SECONDS:
            # The caller may have opened a new flow from the same port meanwhile.
            search.denied.clear()
        search.seen_at = now
        search.acknowledged = packet.acknowledgement
        if now - search.asked_at >= QUESTION_SECONDS:
            return self._ask(packet, search, now)
        if len(search.buffered) >= MAX_BUFFERED:
            return [actions.Drop(flow_id, actions.Reason.BUFFER_FULL)]
        search.buffered.append(packet.datagram)
        return []

    def deny(self, flow_id: packets.FlowId, member: identifiers.MemberId) -> None:
        """Note that a member does not hold a flow."""
        if (search := self._flows.get(flow_id)) is not None:
            search.denied.add(member)

    def decide(self, now: float) -> list[actions.Action]:
        """Reset all flows that certainly nobody holds."""
        decided: list[actions.Action] = []
        for flow_id in list(self._flows):
            decided += self.decide_one(flow_id, now)
        return decided

    def decide_one(self, flow_id: packets.FlowId, now: float) -> list[actions.Action]:
        """Reset a flow if it is certain that nobody holds it."""
        search = self._flows.get(flow_id)
        if search is None or not self._known.is_settled(now):
            return []
        evidence = self._denial(flow_id, search, now)
        if evidence is None:
            return []
        del self._flows[flow_id]
        reason = actions.Reason.HELD_BY_NOBODY
        return [actions.Reset(flow_id, search.acknowledged, reason, evidence)]

    def expire(self, before: float) -> None:
        """Forget flows whose callers have been silent since some time."""
        for flow_id, search in list(self._flows.items()):
            if search.seen_at < before:
                del self._flows[flow_id]

    def _ask(
        self, packet: packets.Packet, search: Search, now: float
    ) -> list[actions.Action]:
        search.began_at = min(search.began_at, now)
        search.asked_at = now
        question = messages.Question(packet.datagram)
        return [
            actions.Tell(agent.peer_address, question)
            for agent in self._possible_holders(packet.flow)[:MAX_ASKED]
            if agent.member.id not in search.denied
        ]

    def _possible_holders(self, flow_id: packets.FlowId) -> list[directory.Agent]:
        """Return the agents that may hold a flow, those that have gone included.

        A route may have led to another service when the flow was opened, so all
        agents are asked where they are few.
        """
        known = self._known.agents
        everyone = known.agents
        route = self._known.table.find(flow_id)
        if len(everyone) <= MAX_ASKED or route is None:
            return everyone
        return [
            agent for share in route.shares for agent in known.members(share.service)
        ]

    def _denial(
        self, flow_id: packets.FlowId, search: Search, now: float
    ) -> actions.Denied | None:
        """Return why it is certain that nobody holds a flow, None where it is not.

        Each possible holder has denied it or is gone. Who is gone has been asked all
        the same and could have answered: an agent may be believed dead wrongly.
        """
        asked_seconds = now - search.began_at
        holders = self._possible_holders(flow_id)
        open_ones = [a for a in holders if a.member.id not in search.denied]
        if not all(has_gone(agent, now) for agent in open_ones):
            return None
        if open_ones and asked_seconds < QUESTION_SECONDS:
            return None
        denied = len(holders) - len(open_ones)
        return actions.Denied(denied, len(open_ones), asked_seconds)


def has_gone(agent: directory.Agent, now: float) -> bool:
    """Tell whether an agent has gone and not come back in due time."""
    if agent.is_present:
        return False
    has_left = agent.status is records.Status.LEFT
    patience = LEFT_SECONDS if has_left else GONE_SECONDS
    return now - max(agent.changed_at, agent.heard_at) >= patience
