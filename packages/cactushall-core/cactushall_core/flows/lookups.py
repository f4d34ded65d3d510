"""Lookups of flows whose owner an entry does not know.

The entry asks all agents and sends the packet along, so that the owner can deliver it
at once. A flow is reset only when it is certain that no agent owns it.
"""

from __future__ import annotations

import msgspec

from cactushall_core import identifiers
from cactushall_core.flows import (
    actions,
    cluster_view,
    directory,
    messages,
    packets,
)
from cactushall_core.membership import completeness, records

RETRY_INTERVAL_SECONDS = 0.15
NEGATIVE_REPLY_TTL_SECONDS = 2.0
DEAD_GRACE_SECONDS = 1.0
LEFT_GRACE_SECONDS = 3.0
MAX_BUFFERED_PACKETS = 16
MAX_AGENTS_ASKED = 64


class Lookup(msgspec.Struct):
    """A flow whose owner is being looked up.

    Attributes:
        first_asked_at: When agents were first asked.
        last_asked_at: When agents were last asked.
        last_packet_at: When the caller's latest packet arrived.
        acknowledged: The caller's latest acknowledgement number.
        asked: Members that have been asked.
        not_owners: Members that have said that they do not own it.
        buffered: Packets that are held back until the owner is known.
    """

    first_asked_at: float
    last_asked_at: float
    last_packet_at: float
    acknowledged: int
    asked: set[identifiers.MemberId] = msgspec.field(default_factory=set)
    not_owners: set[identifiers.MemberId] = msgspec.field(default_factory=set)
    buffered: list[bytes] = msgspec.field(default_factory=list)

    @property
    def was_asked(self) -> bool:
        """Whether agents have been asked."""
        return self.first_asked_at < float("inf")


class Lookups:
    """All flows whose owner is being looked up."""

    def __init__(self, view: cluster_view.ClusterView) -> None:
        """Start without lookups.

        Args:
            view: Routes and agents.
        """
        self._view = view
        self._flows: dict[packets.FlowId, Lookup] = {}

    def __len__(self) -> int:
        """Return the number of flows that are being looked up."""
        return len(self._flows)

    def __contains__(self, flow_id: packets.FlowId) -> bool:
        """Return whether a flow is being looked up."""
        return flow_id in self._flows

    def oldest_seconds(self, now: float) -> float:
        """Return the time since agents were first asked in the oldest lookup.

        Returns:
            That time, 0 where no lookup has asked an agent.
        """
        oldest = min((x.first_asked_at for x in self._flows.values()), default=now)
        return max(0.0, now - oldest)

    def start(self, flow_id: packets.FlowId, acknowledged: int, now: float) -> Lookup:
        """Add a lookup; agents are asked when the flow's next packet arrives."""
        lookup = Lookup(float("inf"), float("-inf"), now, acknowledged)
        self._flows[flow_id] = lookup
        return lookup

    def remove(self, flow_id: packets.FlowId) -> Lookup | None:
        """Remove and return the lookup of a flow."""
        return self._flows.pop(flow_id, None)

    def remove_oldest(self) -> None:
        """Remove the lookup that was started first."""
        del self._flows[next(iter(self._flows))]

    def handle_packet(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        """Handle a packet of a flow: ask agents with it, or buffer it."""
        flow_id = packet.flow
        lookup = self._flows.get(flow_id) or self.start(flow_id, 0, now)
        if now - lookup.last_packet_at > NEGATIVE_REPLY_TTL_SECONDS:
            # The caller may have opened a new flow from the same port meanwhile.
            lookup.not_owners.clear()
        lookup.last_packet_at = now
        lookup.acknowledged = packet.acknowledgement
        if now - lookup.last_asked_at >= RETRY_INTERVAL_SECONDS:
            return self._ask(packet, lookup, now)
        if len(lookup.buffered) >= MAX_BUFFERED_PACKETS:
            return [actions.Drop(flow_id, actions.Reason.BUFFER_FULL)]
        lookup.buffered.append(packet.datagram)
        return []

    def record_not_owner(
        self, flow_id: packets.FlowId, member: identifiers.MemberId
    ) -> None:
        """Record that a member does not own a flow."""
        if (lookup := self._flows.get(flow_id)) is not None:
            lookup.not_owners.add(member)

    def reset_unowned(self, now: float) -> list[actions.Action]:
        """Reset all flows that certainly have no owner."""
        decided: list[actions.Action] = []
        for flow_id in list(self._flows):
            decided += self.reset_if_unowned(flow_id, now)
        return decided

    def reset_if_unowned(
        self, flow_id: packets.FlowId, now: float
    ) -> list[actions.Action]:
        """Reset a flow if it certainly has no owner."""
        lookup = self._flows.get(flow_id)
        table = self._view.evidence
        if lookup is None or table is None or not self._view.is_complete:
            return []
        evidence = self._no_owner_evidence(flow_id, lookup, table, now)
        if evidence is None:
            return []
        del self._flows[flow_id]
        reason = actions.Reason.NO_OWNER
        return [actions.Reset(flow_id, lookup.acknowledged, reason, evidence)]

    def expire(self, before: float) -> None:
        """Forget flows whose callers have sent nothing since a point in time."""
        for flow_id, lookup in list(self._flows.items()):
            if lookup.last_packet_at < before:
                del self._flows[flow_id]

    def _ask(
        self, packet: packets.Packet, lookup: Lookup, now: float
    ) -> list[actions.Action]:
        is_first = not lookup.was_asked
        lookup.first_asked_at = min(lookup.first_asked_at, now)
        lookup.last_asked_at = now
        asked = [
            agent
            for agent in self._possible_owners(packet.flow)[:MAX_AGENTS_ASKED]
            if agent.member.id not in lookup.not_owners
        ]
        lookup.asked.update(agent.member.id for agent in asked)
        request = messages.LookupRequest(packet.datagram)
        decided: list[actions.Action] = [
            actions.SendMessage(agent.peer_address, request) for agent in asked
        ]
        if is_first:
            known = len(self._view.agents.agents)
            decided.append(actions.RecordLookupStarted(packet.flow, len(asked), known))
        return decided

    def _possible_owners(self, flow_id: packets.FlowId) -> list[directory.Agent]:
        """Return the agents that may own a flow, including those that are gone.

        The route may have led to another service when the flow was opened, so all
        agents are asked unless they are too many.
        """
        known = self._view.agents
        everyone = known.agents
        route = self._view.route_table.find(flow_id)
        if len(everyone) <= MAX_AGENTS_ASKED or route is None:
            return everyone
        return [
            agent for share in route.shares for agent in known.of_service(share.service)
        ]

    def _no_owner_evidence(
        self,
        flow_id: packets.FlowId,
        lookup: Lookup,
        table: completeness.Evidence,
        now: float,
    ) -> actions.NoOwnerEvidence | None:
        """Return why a flow certainly has no owner, None where that is not certain.

        Each possible owner has said that it does not own the flow, or is gone. Agents
        that are gone were asked as well and had time to answer, because an agent may
        be believed dead wrongly.
        """
        asked_seconds = now - lookup.first_asked_at
        owners = self._possible_owners(flow_id)
        silent = [a for a in owners if a.member.id not in lookup.not_owners]
        if not all(is_confirmed_gone(agent, now) for agent in silent):
            return None
        if silent and asked_seconds < RETRY_INTERVAL_SECONDS:
            return None
        known = self._view.agents.counts
        return actions.NoOwnerEvidence(
            denied=len(owners) - len(silent),
            gone=len(silent),
            asked_seconds=asked_seconds,
            known_present=known.present,
            known_gone=known.gone,
            possible_owners=len(owners),
            asked_silent=sum(agent.member.id in lookup.asked for agent in silent),
            newest_change_seconds=now - self._view.agents.changed_at,
            table_basis=table.basis.value,
            table_source=table.source.host,
            table_age_seconds=now - table.obtained_at,
        )


def is_confirmed_gone(agent: directory.Agent, now: float) -> bool:
    """Return whether an agent is gone and its grace period to come back is over."""
    if agent.is_present:
        return False
    has_left = agent.status is records.Status.LEFT
    grace_seconds = LEFT_GRACE_SECONDS if has_left else DEAD_GRACE_SECONDS
    return now - max(agent.status_changed_at, agent.last_message_at) >= grace_seconds
