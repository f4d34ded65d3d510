"""Lookups of flows whose owner an entry does not know.

Agents register long flows with two entries, which are asked first, so that most
lookups cost the same at any size. Where they know nothing, the few agents among which
the flow was probably placed are asked one after the other, then all agents. Those
questions are small, because links may be slow; agents that cannot tell without a packet
get one in steps, and only once the others have denied. A flow is reset only when it is
certain that no agent owns it, which registrations never show.
"""

from __future__ import annotations

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    cluster_view,
    directory,
    lookup_state,
    messages,
    packets,
    preference,
    query_queue,
    registered_owners,
)
from cactushall_core.membership import completeness, records

RETRY_INTERVAL_SECONDS = 0.15
REGISTRAR_TIMEOUT_SECONDS = 0.06
DEAD_GRACE_SECONDS = 1.0
SUCCESSOR_GRACE_SECONDS = 5.0
MAX_BUFFERED_PACKETS = 16
# Questions to so many agents take fewer bytes than packets to a few likely owners.
MAX_AGENTS_ASKED_AT_ONCE = 16
ASKED_SINGLY = (
    lookup_state.Stage.REGISTERED_OWNER,
    lookup_state.Stage.LIKELY_OWNERS,
)


class Lookups:
    """All flows whose owner is being looked up.

    The agents that matter to a lookup change with messages and with the directory, so
    that a tick costs little for a lookup that only waits for answers.
    """

    def __init__(
        self,
        view: cluster_view.ClusterView,
        registered: registered_owners.RegisteredOwners,
        zone: identifiers.ZoneName,
    ) -> None:
        """Start without lookups.

        Args:
            view: Routes, agents and entries.
            registered: Owners that are registered with this entry.
            zone: Availability zone of this entry, and so of most of its callers.
        """
        self._view = view
        self._registered = registered
        self._zone = zone
        self._flows: dict[packets.FlowId, lookup_state.Lookup] = {}
        self._queries = query_queue.QueryQueue(self._take_question)
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

    def start(
        self, flow_id: packets.FlowId, acknowledged: int, now: float
    ) -> lookup_state.Lookup:
        """Add a lookup; it asks when the flow's next packet arrives."""
        lookup = lookup_state.Lookup(now, acknowledged)
        self._flows[flow_id] = lookup
        return lookup

    def remove(self, flow_id: packets.FlowId) -> lookup_state.Lookup | None:
        """Remove and return the lookup of a flow."""
        return self._flows.pop(flow_id, None)

    def remove_oldest(self) -> None:
        """Remove the lookup that was started first."""
        del self._flows[next(iter(self._flows))]

    def handle_packet(self, packet: packets.Packet, now: float) -> list[actions.Action]:
        """Handle a packet of a flow: ask about the flow, or buffer it."""
        flow_id = packet.flow
        lookup = self._flows.get(flow_id) or self.start(flow_id, 0, now)
        if lookup.has_paused(now):
            # The caller may have opened a new flow from the same port meanwhile.
            lookup = self.start(flow_id, 0, now)
        lookup.last_packet_at = now
        lookup.acknowledged = packet.acknowledgement
        is_due = now >= lookup.next_round_at
        if is_due or lookup.stage is lookup_state.Stage.NEW:
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
        if lookup.stage is not lookup_state.Stage.REGISTRARS:
            return []
        agent = self._registered_agent(answer.owner, lookup)
        if agent is not None:
            return self._ask_registered_owner(agent, lookup, now)
        if lookup.registrars:
            return []
        return self._ask_likely_owner(answer.flow, lookup, now)

    def record_not_owner(
        self, flow_id: packets.FlowId, member: identifiers.MemberId
    ) -> None:
        """Record that a member does not own a flow."""
        lookup = self._flows.get(flow_id)
        if lookup is None:
            return
        lookup.not_owners.add(member)
        lookup.remove_agent(member)
        if lookup.stage in ASKED_SINGLY and member in lookup.probed:
            lookup.stage_ends_at = float("-inf")

    def handle_undecided(
        self, flow_id: packets.FlowId, agent: directory.Agent, now: float
    ) -> list[actions.Action]:
        """Record that an agent cannot tell without a packet whether it owns a flow."""
        lookup = self._flows.get(flow_id)
        if lookup is None or agent.member.id in lookup.probed:
            return []
        lookup.record_undecided(agent)
        return self.probe_if_due(flow_id, now)

    def probe_if_due(self, flow_id: packets.FlowId, now: float) -> list[actions.Action]:
        """Send some undecided agents the packet, twice as many at each step.

        They get it once all agents that can tell have denied, the likely owners first.
        A packet of a caller that has gone on through another entry is not sent.
        """
        lookup = self._flows.get(flow_id)
        if lookup is None or not lookup.undecided or lookup.has_paused(now):
            return []
        if lookup.awaits_probes(now) or lookup.awaits_answers(now):
            return []
        lookup.probes = max(1, 2 * lookup.probes)
        lookup.probes_end_at = now + lookup_state.ANSWER_TIMEOUT_SECONDS
        order = preference.order_of(flow_id)
        undecided = list(lookup.undecided.values())
        likely = preference.likely_owners(undecided, self._zone, order)
        ordered = dict.fromkeys(a.member.id for a in (*likely, *order(undecided)))
        chosen = [lookup.undecided.pop(m) for m in list(ordered)[: lookup.probes]]
        return [_send_packet(agent, lookup) for agent in chosen]

    def tick(self, now: float) -> list[actions.Action]:
        """Continue rounds of questions and reset flows that have no owner."""
        decided: list[actions.Action] = []
        for flow_id in list(self._flows):
            decided += self.ask_others_if_due(flow_id, now)
            decided += self.probe_if_due(flow_id, now)
            decided += self.reset_if_unowned(flow_id, now)
        return decided + self._queries.send(now)

    def ask_others_if_due(
        self, flow_id: packets.FlowId, now: float
    ) -> list[actions.Action]:
        """Ask others if those that were asked first did not know the owner."""
        lookup = self._flows.get(flow_id)
        if lookup is None or now < lookup.stage_ends_at or lookup.has_paused(now):
            return []
        if lookup.stage is lookup_state.Stage.REGISTERED_OWNER:
            return self._ask_all(flow_id, lookup, now)
        return self._ask_likely_owner(flow_id, lookup, now)

    def reset_if_unowned(
        self, flow_id: packets.FlowId, now: float
    ) -> list[actions.Action]:
        """Reset a flow if it certainly has no owner."""
        lookup = self._flows.get(flow_id)
        table = self._view.evidence
        if lookup is None or table is None or not self._view.is_complete:
            return []
        if lookup.stage is not lookup_state.Stage.ALL:
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

    def _add_agent(self, agent: directory.Agent) -> None:
        for flow_id, lookup in self._flows.items():
            if lookup.stage is lookup_state.Stage.ALL:
                lookup.add_agent(agent)
                self._queries.add(agent, flow_id)

    def _remove_agent(self, agent: directory.Agent) -> None:
        self._queries.remove_agent(agent.member.id)
        for lookup in self._flows.values():
            lookup.remove_agent(agent.member.id)

    # Questions.

    def _ask(
        self, packet: packets.Packet, lookup: lookup_state.Lookup, now: float
    ) -> list[actions.Action]:
        """Ask about a flow with a packet that has just arrived."""
        is_first = lookup.stage is lookup_state.Stage.NEW
        lookup.begin_round(packet.datagram, now, RETRY_INTERVAL_SECONDS)
        if is_first:
            return self._begin(packet.flow, lookup, now)
        if lookup.stage is not lookup_state.Stage.ALL:
            return self._ask_all(packet.flow, lookup, now)
        if not lookup.to_ask:
            self._begin_round(packet.flow, lookup)
        return self._queries.send(now)

    def _begin(
        self, flow_id: packets.FlowId, lookup: lookup_state.Lookup, now: float
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
            lookup.stage = lookup_state.Stage.REGISTRARS
            lookup.stage_ends_at = now + REGISTRAR_TIMEOUT_SECONDS
            lookup.registrars = {registrar.address for registrar in registrars}
            asked_registrars = len(registrars)
            query = messages.OwnerQuery(flow_id)
            decided = [actions.SendMessage(r.address, query) for r in registrars]
        else:
            decided = self._ask_likely_owner(flow_id, lookup, now)
        started = actions.RecordLookupStarted(
            flow_id,
            registrars=asked_registrars,
            agents=len(lookup.asked_at),
            known=known.present + known.gone,
        )
        return [*decided, started]

    def _registered_agent(
        self, address: addresses.Address | None, lookup: lookup_state.Lookup
    ) -> directory.Agent | None:
        """Return the agent that is registered as the owner, if it may be the owner."""
        if address is None:
            return None
        agent = self._view.agents.by_peer_address(address)
        if agent is None or agent.member.id in lookup.not_owners:
            return None
        return agent if agent.is_present else None

    def _ask_registered_owner(
        self, agent: directory.Agent, lookup: lookup_state.Lookup, now: float
    ) -> list[actions.Action]:
        lookup.stage = lookup_state.Stage.REGISTERED_OWNER
        lookup.stage_ends_at = now + RETRY_INTERVAL_SECONDS
        lookup.asked_at.setdefault(agent.member.id, now)
        return [_send_packet(agent, lookup)]

    def _ask_likely_owner(
        self, flow_id: packets.FlowId, lookup: lookup_state.Lookup, now: float
    ) -> list[actions.Action]:
        """Ask the next likely owner, all agents after the last one."""
        if lookup.stage is not lookup_state.Stage.LIKELY_OWNERS:
            lookup.stage = lookup_state.Stage.LIKELY_OWNERS
            lookup.likely_owners = self._likely_owners(flow_id)
        while lookup.likely_owners:
            agent = lookup.likely_owners.pop(0)
            if agent.is_present and agent.member.id not in lookup.not_owners:
                lookup.stage_ends_at = now + lookup_state.ANSWER_TIMEOUT_SECONDS
                lookup.asked_at.setdefault(agent.member.id, now)
                return [_send_packet(agent, lookup)]
        return self._ask_all(flow_id, lookup, now)

    def _likely_owners(self, flow_id: packets.FlowId) -> list[directory.Agent]:
        if self._view.agents.counts.present <= MAX_AGENTS_ASKED_AT_ONCE:
            return []
        route = self._view.route_table.find(flow_id)
        agents = [
            agent
            for share in (route.shares if route is not None else ())
            for agent in self._view.agents.of_service(share.service)
            if agent.is_present
        ]
        order = preference.order_of(flow_id)
        return preference.likely_owners(agents, self._zone, order)

    def _ask_all(
        self, flow_id: packets.FlowId, lookup: lookup_state.Lookup, now: float
    ) -> list[actions.Action]:
        lookup.stage = lookup_state.Stage.ALL
        lookup.stage_ends_at = float("inf")
        owners = self._possible_owners(flow_id)
        lookup.possible_owners = {
            member: agent
            for member, agent in owners.items()
            if member not in lookup.not_owners
        }
        self._begin_round(flow_id, lookup)
        return self._queries.send(now)

    def _begin_round(
        self, flow_id: packets.FlowId, lookup: lookup_state.Lookup
    ) -> None:
        lookup.to_ask = dict(lookup.possible_owners)
        for agent in lookup.to_ask.values():
            self._queries.add(agent, flow_id)

    def _take_question(
        self, flow_id: packets.FlowId, agent: directory.Agent, now: float
    ) -> bool:
        """Return whether an agent has to be asked about a flow, and record it."""
        lookup = self._flows.get(flow_id)
        if lookup is None or lookup.has_paused(now):
            return False
        if lookup.to_ask.pop(agent.member.id, None) is None or agent.has_no_flows:
            return False
        lookup.record_asked(agent, now)
        return True

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
        flow_id: packets.FlowId,
        lookup: lookup_state.Lookup,
        table: completeness.Evidence,
        now: float,
    ) -> actions.NoOwnerEvidence | None:
        """Return why a flow certainly has no owner, None where that is not certain.

        Each possible owner has said that it does not own the flow, also before it left,
        or is gone. Agents that are gone were asked as well and had time to answer,
        because an agent may be believed dead wrongly.
        """
        if lookup.awaits_present_agent or not self._view.agents.has_agents:
            return None
        silent = excluded = 0
        for agent in lookup.possible_owners.values():
            if agent.has_no_flows:
                continue
            if agent.excluded_before_leaving(flow_id):
                excluded += 1
                continue
            if not _is_gone_without_answer(agent, flow_id, lookup, now):
                lookup.awaited = agent.member.id
                return None
            silent += 1
        known = self._view.agents.counts
        return actions.NoOwnerEvidence(
            denied=len(lookup.not_owners),
            gone=silent,
            excluded=excluded,
            asked_seconds=now - lookup.first_asked_at,
            known_present=known.present,
            known_gone=known.gone,
            newest_change_seconds=now - self._view.agents.changed_at,
            table_basis=table.basis.value,
            table_source=table.source.host,
            table_age_seconds=now - table.obtained_at,
        )


def _send_packet(
    agent: directory.Agent, lookup: lookup_state.Lookup
) -> actions.SendMessage:
    lookup.probed.add(agent.member.id)
    request = messages.LookupRequest(lookup.datagram)
    return actions.SendMessage(agent.peer_address, request)


def _is_gone_without_answer(
    agent: directory.Agent,
    flow_id: packets.FlowId,
    lookup: lookup_state.Lookup,
    now: float,
) -> bool:
    """Return whether an agent is gone and did not answer the question either."""
    asked_at = lookup.asked_at.get(agent.member.id, now)
    return now - asked_at >= RETRY_INTERVAL_SECONDS and is_confirmed_gone(
        agent, flow_id, now
    )


def is_confirmed_gone(
    agent: directory.Agent, flow_id: packets.FlowId, now: float
) -> bool:
    """Return whether a flow of an agent has ended with it.

    The backend server of an agent that was stopped or has died may live on beside the
    agent's successor, which has a time to appear.
    """
    if agent.is_present:
        return False
    if agent.has_no_flows or agent.excluded_before_leaving(flow_id):
        return True
    has_left = agent.status is records.Status.LEFT
    grace_seconds = SUCCESSOR_GRACE_SECONDS if has_left else DEAD_GRACE_SECONDS
    return now - max(agent.status_changed_at, agent.last_message_at) >= grace_seconds
