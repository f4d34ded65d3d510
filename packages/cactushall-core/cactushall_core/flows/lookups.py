"""Lookups of flows whose owner an entry does not know.

Agents register long flows with two entries, which are asked first, so that most
lookups cost the same at any size. Where they know nothing, all agents are asked. Those
questions are small, because links may be slow; only an agent that cannot tell without
a packet gets one. A flow is reset only when it is certain that no agent owns it, which
registrations never show.
"""

from __future__ import annotations

import collections
import enum

import msgspec

from cactushall_core import addresses, identifiers, token_bucket
from cactushall_core.flows import (
    actions,
    cluster_view,
    directory,
    messages,
    packets,
    registered_owners,
)
from cactushall_core.membership import completeness, records

RETRY_INTERVAL_SECONDS = 0.15
QUERIES_PER_SECOND = 1280.0
QUERY_BURST = 64
REGISTRAR_TIMEOUT_SECONDS = 0.06
CALLER_PAUSE_SECONDS = 1.7
DEAD_GRACE_SECONDS = 1.0
SUCCESSOR_GRACE_SECONDS = 5.0
MAX_BUFFERED_PACKETS = 16
MAX_FLOWS_PER_QUERY = 50


class Stage(enum.Enum):
    """Stage of a lookup.

    NEW: Nobody has been asked.
    REGISTRARS: The entries with which the owner may have registered the flow are asked.
    REGISTERED_OWNER: The agent that has registered the flow is asked.
    ALL: All agents are asked.
    """

    NEW = "new"
    REGISTRARS = "registrars"
    REGISTERED_OWNER = "registered-owner"
    ALL = "all"


class Lookup(msgspec.Struct):
    """A flow whose owner is being looked up.

    Attributes:
        last_packet_at: When the caller's latest packet arrived.
        acknowledged: The caller's latest acknowledgement number.
        stage: Who is asked.
        stage_ends_at: When all agents are asked in place of those of the stage.
        registrars: Registrars that have not answered.
        last_asked_at: When a packet of the caller last began or continued a round of
            questions, in which each agent is asked once.
        datagram: The packet that agents get which cannot tell without one.
        probed: Agents that got it.
        asked_at: When each agent was first asked.
        not_owners: Agents that have said that they do not own it.
        possible_owners: All other agents, once all are asked.
        to_ask: Those of them that were not asked in the latest round.
        buffered: Packets that are held back until the owner is known.
    """

    last_packet_at: float
    acknowledged: int
    stage: Stage = Stage.NEW
    stage_ends_at: float = float("inf")
    registrars: set[addresses.Address] = msgspec.field(default_factory=set)
    last_asked_at: float = float("-inf")
    datagram: bytes = b""
    probed: set[identifiers.MemberId] = msgspec.field(default_factory=set)
    asked_at: dict[identifiers.MemberId, float] = msgspec.field(default_factory=dict)
    not_owners: set[identifiers.MemberId] = msgspec.field(default_factory=set)
    possible_owners: dict[identifiers.MemberId, directory.Agent] = msgspec.field(
        default_factory=dict
    )
    to_ask: dict[identifiers.MemberId, directory.Agent] = msgspec.field(
        default_factory=dict
    )
    buffered: list[bytes] = msgspec.field(default_factory=list)

    @property
    def first_asked_at(self) -> float:
        """When an agent was first asked; infinite where none was."""
        return next(iter(self.asked_at.values()), float("inf"))

    def undelivered_to(self, owner: identifiers.MemberId) -> list[bytes]:
        """Return the packets that the owner has not got yet."""
        if owner in self.probed or not self.datagram:
            return self.buffered
        return [self.datagram, *self.buffered]

    def add_agent(self, agent: directory.Agent) -> None:
        """Add an agent that may own the flow."""
        self.possible_owners[agent.member.id] = agent
        self.to_ask[agent.member.id] = agent

    def remove_agent(self, member: identifiers.MemberId) -> None:
        """Remove an agent that does not own the flow, or that is not known any more."""
        self.to_ask.pop(member, None)
        self.possible_owners.pop(member, None)


class UnsentQuery(msgspec.Struct):
    """Flows about which an agent has not been asked yet.

    Attributes:
        agent: The agent.
        flow_ids: The flows; some of them may not be looked up any more.
    """

    agent: directory.Agent
    flow_ids: collections.deque[packets.FlowId]


class Lookups:
    """All flows whose owner is being looked up.

    The agents that matter to a lookup change with messages and with the directory, so
    that a tick costs little for a lookup that only waits for answers.
    """

    def __init__(
        self,
        view: cluster_view.ClusterView,
        registered: registered_owners.RegisteredOwners,
    ) -> None:
        """Start without lookups.

        Args:
            view: Routes, agents and entries.
            registered: Owners that are registered with this entry.
        """
        self._view = view
        self._registered = registered
        self._flows: dict[packets.FlowId, Lookup] = {}
        self._unsent: dict[identifiers.MemberId, UnsentQuery] = {}
        self._queries = token_bucket.TokenBucket(
            QUERIES_PER_SECOND, QUERY_BURST, float("-inf")
        )
        view.agents.subscribe(self._add_agent, self._remove_agent)

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
        """Add a lookup; it asks when the flow's next packet arrives."""
        lookup = Lookup(now, acknowledged)
        self._flows[flow_id] = lookup
        return lookup

    def remove(self, flow_id: packets.FlowId) -> Lookup | None:
        """Remove and return the lookup of a flow."""
        return self._flows.pop(flow_id, None)

    def remove_oldest(self) -> None:
        """Remove the lookup that was started first."""
        del self._flows[next(iter(self._flows))]

    def handle_packet(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        """Handle a packet of a flow: ask about the flow, or buffer it."""
        flow_id = packet.flow
        lookup = self._flows.get(flow_id) or self.start(flow_id, 0, now)
        if _has_paused(lookup, now):
            # The caller may have opened a new flow from the same port meanwhile.
            lookup = self.start(flow_id, 0, now)
        lookup.last_packet_at = now
        lookup.acknowledged = packet.acknowledgement
        is_due = now - lookup.last_asked_at >= RETRY_INTERVAL_SECONDS
        if is_due or lookup.stage is Stage.NEW:
            return self._ask(packet, lookup, now)
        if len(lookup.buffered) >= MAX_BUFFERED_PACKETS:
            return [actions.Drop(flow_id, actions.Reason.BUFFER_FULL)]
        lookup.buffered.append(packet.datagram)
        return []

    def handle_owner_answer(
        self, sender: addresses.Address, answer: messages.OwnerAnswer, now: float
    ) -> list[actions.Action]:
        """Handle the answer of a registrar."""
        lookup = self._flows.get(answer.flow)
        if lookup is None or sender not in lookup.registrars:
            return []
        lookup.registrars.remove(sender)
        if lookup.stage is not Stage.REGISTRARS:
            return []
        agent = self._registered_agent(answer.owner, lookup)
        if agent is not None:
            return self._ask_registered_owner(agent, lookup, now)
        if lookup.registrars:
            return []
        return self._ask_all(answer.flow, lookup, now)

    def record_not_owner(
        self, flow_id: packets.FlowId, member: identifiers.MemberId
    ) -> None:
        """Record that a member does not own a flow."""
        lookup = self._flows.get(flow_id)
        if lookup is None:
            return
        lookup.not_owners.add(member)
        lookup.remove_agent(member)
        if lookup.stage is Stage.REGISTERED_OWNER:
            lookup.stage_ends_at = float("-inf")

    def handle_undecided(
        self, flow_id: packets.FlowId, agent: directory.Agent, now: float
    ) -> list[actions.Action]:
        """Send an agent the packet without which it cannot tell whether it owns it.

        A packet of a caller that has gone on through another entry is not sent.
        """
        lookup = self._flows.get(flow_id)
        if lookup is None or not lookup.datagram or _has_paused(lookup, now):
            return []
        return [_send_packet(agent, lookup)]

    def tick(self, now: float) -> list[actions.Action]:
        """Continue rounds of questions and reset flows that have no owner."""
        decided: list[actions.Action] = []
        for flow_id in list(self._flows):
            decided += self.ask_all_if_due(flow_id, now)
            decided += self.reset_if_unowned(flow_id, now)
        return decided + self._send_queries(now)

    def ask_all_if_due(
        self, flow_id: packets.FlowId, now: float
    ) -> list[actions.Action]:
        """Ask all agents if those that were asked first did not know the owner."""
        lookup = self._flows.get(flow_id)
        if lookup is None or now < lookup.stage_ends_at or _has_paused(lookup, now):
            return []
        return self._ask_all(flow_id, lookup, now)

    def reset_if_unowned(
        self, flow_id: packets.FlowId, now: float
    ) -> list[actions.Action]:
        """Reset a flow if it certainly has no owner."""
        lookup = self._flows.get(flow_id)
        table = self._view.evidence
        if lookup is None or table is None or not self._view.is_complete:
            return []
        if lookup.stage is not Stage.ALL:
            return []
        evidence = self._no_owner_evidence(lookup, table, now)
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

    def _add_agent(self, agent: directory.Agent) -> None:
        for flow_id, lookup in self._flows.items():
            if lookup.stage is Stage.ALL:
                lookup.add_agent(agent)
                self._queue_query(agent, flow_id)

    def _remove_agent(self, agent: directory.Agent) -> None:
        self._unsent.pop(agent.member.id, None)
        for lookup in self._flows.values():
            lookup.remove_agent(agent.member.id)

    # Questions.

    def _ask(
        self, packet: packets.Packet, lookup: Lookup, now: float
    ) -> list[actions.Action]:
        """Ask about a flow with a packet that has just arrived."""
        is_first = lookup.stage is Stage.NEW
        lookup.last_asked_at = now
        lookup.datagram = packet.datagram
        lookup.probed.clear()
        if is_first:
            return self._begin(packet.flow, lookup, now)
        if lookup.stage is not Stage.ALL:
            return self._ask_all(packet.flow, lookup, now)
        if not lookup.to_ask:
            self._begin_round(packet.flow, lookup)
        return self._send_queries(now)

    def _begin(
        self, flow_id: packets.FlowId, lookup: Lookup, now: float
    ) -> list[actions.Action]:
        """Ask those who are most likely to know."""
        known = self._view.agents.counts
        registrars = self._view.entries.registrars_of(flow_id)
        agent = self._registered_agent(self._registered.find(flow_id), lookup)
        decided: list[actions.Action]
        asked_registrars = 0
        if agent is not None:
            decided = self._ask_registered_owner(agent, lookup, now)
        elif registrars:
            lookup.stage = Stage.REGISTRARS
            lookup.stage_ends_at = now + REGISTRAR_TIMEOUT_SECONDS
            lookup.registrars = {registrar.address for registrar in registrars}
            asked_registrars = len(registrars)
            query = messages.OwnerQuery(flow_id)
            decided = [actions.SendMessage(r.address, query) for r in registrars]
        else:
            decided = self._ask_all(flow_id, lookup, now)
        started = actions.RecordLookupStarted(
            flow_id,
            registrars=asked_registrars,
            agents=len(lookup.asked_at),
            known=known.present + known.gone,
        )
        return [*decided, started]

    def _registered_agent(
        self, address: addresses.Address | None, lookup: Lookup
    ) -> directory.Agent | None:
        """Return the agent that is registered as the owner, if it may be the owner."""
        if address is None:
            return None
        agent = self._view.agents.by_peer_address(address)
        if agent is None or agent.member.id in lookup.not_owners:
            return None
        return agent if agent.is_present else None

    def _ask_registered_owner(
        self, agent: directory.Agent, lookup: Lookup, now: float
    ) -> list[actions.Action]:
        lookup.stage = Stage.REGISTERED_OWNER
        lookup.stage_ends_at = now + RETRY_INTERVAL_SECONDS
        lookup.asked_at.setdefault(agent.member.id, now)
        return [_send_packet(agent, lookup)]

    def _ask_all(
        self, flow_id: packets.FlowId, lookup: Lookup, now: float
    ) -> list[actions.Action]:
        lookup.stage = Stage.ALL
        lookup.stage_ends_at = float("inf")
        owners = self._possible_owners(flow_id)
        lookup.possible_owners = {
            member: agent
            for member, agent in owners.items()
            if member not in lookup.not_owners
        }
        self._begin_round(flow_id, lookup)
        return self._send_queries(now)

    def _begin_round(self, flow_id: packets.FlowId, lookup: Lookup) -> None:
        lookup.to_ask = dict(lookup.possible_owners)
        for agent in lookup.to_ask.values():
            self._queue_query(agent, flow_id)

    def _queue_query(self, agent: directory.Agent, flow_id: packets.FlowId) -> None:
        member = agent.member.id
        if member not in self._unsent:
            self._unsent[member] = UnsentQuery(agent, collections.deque())
        self._unsent[member].flow_ids.append(flow_id)

    def _send_queries(self, now: float) -> list[actions.Action]:
        """Ask agents in turn, each about all flows that have waited for it.

        The rate of messages is bounded, so that few lookups ask at once and many share
        messages.
        """
        self._queries.refill(now)
        decided: list[actions.Action] = []
        while self._unsent and self._queries.tokens >= 1:
            member, unsent = next(iter(self._unsent.items()))
            del self._unsent[member]
            flow_ids = self._take_flows(unsent, now)
            if unsent.flow_ids:
                self._unsent[member] = unsent
            if flow_ids:
                query = messages.OwnershipQuery(flow_ids)
                address = unsent.agent.peer_address
                decided.append(actions.SendMessage(address, query))
                self._queries.spend(1)
        return decided

    def _take_flows(
        self, unsent: UnsentQuery, now: float
    ) -> tuple[packets.FlowId, ...]:
        """Take the next flows for one question to an agent."""
        member = unsent.agent.member.id
        taken: dict[packets.FlowId, None] = {}
        while unsent.flow_ids and len(taken) < MAX_FLOWS_PER_QUERY:
            flow_id = unsent.flow_ids.popleft()
            lookup = self._flows.get(flow_id)
            if lookup is None or member not in lookup.to_ask:
                continue
            if _has_paused(lookup, now):
                continue
            del lookup.to_ask[member]
            if not unsent.agent.has_no_flows:
                lookup.asked_at.setdefault(member, now)
                taken[flow_id] = None
        return tuple(taken)

    def _possible_owners(
        self, flow_id: packets.FlowId
    ) -> dict[identifiers.MemberId, directory.Agent]:
        """Return all agents that may hold flows, the likely owners first.

        Agents that are gone are among them. The route may have led to another service
        when the flow was opened.
        """
        known = self._view.agents
        route = self._view.route_table.find(flow_id)
        services = [share.service for share in route.shares] if route else []
        owners = {a.member.id: a for s in services for a in known.of_service(s)}
        for agent in known.agents:
            owners.setdefault(agent.member.id, agent)
        return owners

    def _no_owner_evidence(
        self,
        lookup: Lookup,
        table: completeness.Evidence,
        now: float,
    ) -> actions.NoOwnerEvidence | None:
        """Return why a flow certainly has no owner, None where that is not certain.

        Each possible owner has said that it does not own the flow, or is gone. Agents
        that are gone were asked as well and had time to answer, because an agent may
        be believed dead wrongly.
        """
        if not self._view.agents.has_agents:
            return None
        silent = 0
        for agent in lookup.possible_owners.values():
            if agent.has_no_flows:
                continue
            if not _is_gone_without_answer(agent, lookup, now):
                return None
            silent += 1
        known = self._view.agents.counts
        return actions.NoOwnerEvidence(
            denied=len(lookup.not_owners),
            gone=silent,
            asked_seconds=now - lookup.first_asked_at,
            known_present=known.present,
            known_gone=known.gone,
            newest_change_seconds=now - self._view.agents.changed_at,
            table_basis=table.basis.value,
            table_source=table.source.host,
            table_age_seconds=now - table.obtained_at,
        )


def _send_packet(agent: directory.Agent, lookup: Lookup) -> actions.SendMessage:
    lookup.probed.add(agent.member.id)
    request = messages.LookupRequest(lookup.datagram)
    return actions.SendMessage(agent.peer_address, request)


def _has_paused(lookup: Lookup, now: float) -> bool:
    """Return whether the caller has ended the flow or sends through another entry."""
    return now - lookup.last_packet_at > CALLER_PAUSE_SECONDS


def _is_gone_without_answer(agent: directory.Agent, lookup: Lookup, now: float) -> bool:
    """Return whether an agent is gone and did not answer the question either."""
    asked_at = lookup.asked_at.get(agent.member.id, now)
    return now - asked_at >= RETRY_INTERVAL_SECONDS and is_confirmed_gone(agent, now)


def is_confirmed_gone(agent: directory.Agent, now: float) -> bool:
    """Return whether the flows of an agent have ended with it.

    The backend server of an agent that was stopped or has died may live on beside the
    agent's successor, which has a time to appear.
    """
    if agent.is_present:
        return False
    if agent.has_no_flows:
        return True
    has_left = agent.status is records.Status.LEFT
    grace_seconds = SUCCESSOR_GRACE_SECONDS if has_left else DEAD_GRACE_SECONDS
    return now - max(agent.status_changed_at, agent.last_message_at) >= grace_seconds
