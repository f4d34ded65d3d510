"""What an entry knows of the agents beside backend servers."""

from __future__ import annotations

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import admission, messages, packets
from cactushall_core.membership import records

LONGEST_SPARING_SECONDS = 0.1
SHORTEST_SPARING_SECONDS = 0.01
ANSWER_SECONDS = 0.15

NO_LOAD = messages.Load(flows=0, requests=0, slots=1, service_seconds=0.0)


class Agent(msgspec.Struct):
    """One agent as an entry sees it.

    Attributes:
        member: What it says of itself.
        status: What membership believes of it.
        changed_at: When the status last changed.
        heard_at: When it last sent a message.
        load: Its load as last told.
        told_at: When it was told.
        unanswered: Flows sent there and when, until it answers.
        full_until: It has refused a flow and is spared until then.
    """

    member: records.Member
    status: records.Status
    changed_at: float
    heard_at: float = float("-inf")
    load: messages.Load = NO_LOAD
    told_at: float = float("-inf")
    unanswered: dict[packets.FlowId, float] = msgspec.field(default_factory=dict)
    full_until: float = float("-inf")

    @property
    def packet_address(self) -> addresses.Address:
        """Where it takes callers' packets."""
        return self.member.tunnel_address

    @property
    def peer_address(self) -> addresses.Address:
        """Where it takes messages."""
        return self.member.control_address

    @property
    def is_present(self) -> bool:
        """Whether it is believed to run."""
        return self.status <= records.Status.SUSPECT

    def unanswered_count(self, now: float) -> int:
        """Return how many flows were sent there that it may not have counted yet."""
        for flow_id, sent_at in list(self.unanswered.items()):
            if now - sent_at < ANSWER_SECONDS:
                break
            del self.unanswered[flow_id]
        return len(self.unanswered)

    def expected(self, now: float) -> float:
        """Return by how much its requests differ by now from what it last told."""
        answered = admission.answered_since(self.load, now - self.told_at)
        return self.unanswered_count(now) - answered

    def note_load(self, load: messages.Load, now: float) -> None:
        """Take in how busy its backend server is."""
        self.load = load
        self.told_at = now

    def note_full(self, now: float) -> None:
        """Spare it until its backend server may have answered a request."""
        sparing = max(self.load.service_seconds, SHORTEST_SPARING_SECONDS)
        self.full_until = now + min(sparing, LONGEST_SPARING_SECONDS)

    def takes(self, service: identifiers.ServiceName) -> bool:
        """Tell whether it says that it takes new flows of a service."""
        return self.status is records.Status.ALIVE and any(
            e.service == service and not e.is_draining for e in self.member.endpoints
        )


class Directory:
    """All agents, by the address at which they take packets."""

    def __init__(self) -> None:
        """Know nobody yet."""
        self._agents: dict[addresses.Address, Agent] = {}
        self._by_peer: dict[addresses.Address, Agent] = {}
        self._by_service: dict[
            identifiers.ServiceName, dict[addresses.Address, Agent]
        ] = {}
        self._changed_at = float("-inf")

    @property
    def changed_at(self) -> float:
        """When an agent last appeared or went."""
        return self._changed_at

    @property
    def agents(self) -> list[Agent]:
        """All agents, those that have gone included."""
        return list(self._agents.values())

    def learn(self, record: records.Record, now: float) -> None:
        """Take in what membership believes of an agent."""
        member = record.member
        if member.role is not records.Role.AGENT:
            return
        known = self._agents.get(member.tunnel_address)
        if known is not None and known.member.id > member.id:
            return
        if known is None or known.member.id != member.id:
            self._add(Agent(member, record.status, now), now)
            return
        if known.is_present != record.is_present:
            self._changed_at = now
        if known.status is not record.status:
            known.changed_at = now
        known.member = member
        known.status = record.status
        self._index(known)

    def forget(self, before: float) -> None:
        """Forget agents that have been gone since some time."""
        for address, agent in list(self._agents.items()):
            if not agent.is_present and agent.changed_at < before:
                del self._agents[address]
                for members in self._by_service.values():
                    members.pop(address, None)
                if self._by_peer.get(agent.peer_address) is agent:
                    del self._by_peer[agent.peer_address]

    def at(self, packet_address: addresses.Address) -> Agent | None:
        """Return the agent that takes packets at an address."""
        return self._agents.get(packet_address)

    def sender(self, peer_address: addresses.Address) -> Agent | None:
        """Return the agent that sends messages from an address."""
        return self._by_peer.get(peer_address)

    def takers(self, service: identifiers.ServiceName) -> list[Agent]:
        """Return the agents that take new flows of a service."""
        known = self._by_service.get(service, {})
        return [agent for agent in known.values() if agent.takes(service)]

    def members(self, service: identifiers.ServiceName) -> list[Agent]:
        """Return all agents that have said that they belong to a service."""
        return list(self._by_service.get(service, {}).values())

    def _add(self, agent: Agent, now: float) -> None:
        self._agents[agent.packet_address] = agent
        self._by_peer[agent.peer_address] = agent
        self._changed_at = now
        self._index(agent)

    def _index(self, agent: Agent) -> None:
        for endpoint in agent.member.endpoints:
            members = self._by_service.setdefault(endpoint.service, {})
            members[agent.packet_address] = agent
