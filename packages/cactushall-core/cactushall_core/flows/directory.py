"""An entry's directory of the agents beside backend servers."""

from __future__ import annotations

import collections.abc
import functools
import hashlib
import typing

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    admission,
    exclusions,
    held_flows,
    messages,
    packets,
)
from cactushall_core.membership import records

MAX_FULL_BACKOFF_SECONDS = 0.1
MIN_FULL_BACKOFF_SECONDS = 0.01
UNACKNOWLEDGED_SECONDS = 0.15

SEED_BYTES = 8
MAX_CACHED_SEEDS = 16_384

NO_ADDRESS = addresses.Address("", 0)
NO_LOAD = messages.Load(flows=0, requests=0, slots=1, service_seconds=0.0)


@functools.lru_cache(MAX_CACHED_SEEDS)
def _make_seed(address: addresses.Address) -> int:
    digest = hashlib.blake2b(str(address).encode(), digest_size=SEED_BYTES).digest()
    return int.from_bytes(digest, "big")


class Agent(msgspec.Struct):
    """One agent as an entry sees it.

    Attributes:
        member: Its own description of itself.
        status: Its status according to the membership protocol.
        status_changed_at: When the status last changed.
        last_message_at: When it last sent a message.
        load: The load that it last reported.
        load_at: When it reported that load.
        unacknowledged: Flows sent to it that it has neither accepted nor declined,
            with the times when they were sent.
        full_until: End of the backoff after it declined a flow for lack of capacity.
        held_back_until: Until when the next flow goes to it only if no other agent
            has capacity.
        packet_address: Address at which it receives callers' packets.
        peer_address: Address at which it receives messages.
        held: Notice of the flows that its server may have held when it left.
        seed: Number of 64 bits by which flows order agents; derived from its address,
            so that it is the same at all entries and after a restart.
        cold_allowance: How many flows this entry may send it at once while its backend
            server is cold; negative for no limit.
        cold_refill_per_second: This entry's part of the new flows that its backend
            server may get each second while it is cold.
    """

    member: records.Member
    status: records.Status
    status_changed_at: float
    last_message_at: float = float("-inf")
    load: messages.Load = NO_LOAD
    load_at: float = float("-inf")
    unacknowledged: dict[packets.FlowId, float] = msgspec.field(default_factory=dict)
    full_until: float = float("-inf")
    held_back_until: float = float("-inf")
    packet_address: addresses.Address = NO_ADDRESS
    peer_address: addresses.Address = NO_ADDRESS
    seed: int = 0
    held: held_flows.HeldFlows = msgspec.field(default_factory=held_flows.HeldFlows)
    cold_allowance: float = NO_LOAD.cold_allowance
    cold_refill_per_second: float = 0.0

    def __post_init__(self) -> None:
        """Derive the addresses, which are read for each packet."""
        self.update_member(self.member)

    @property
    def is_present(self) -> bool:
        """Whether it is believed to run."""
        return self.status <= records.Status.SUSPECT

    @property
    def is_cold(self) -> bool:
        """Whether its backend server is slower because it has just started."""
        return self.load.cold_allowance >= 0

    @property
    def has_no_flows(self) -> bool:
        """Whether it has stopped after its backend server had, which ends all flows."""
        return not self.is_present and not self.member.endpoints

    def excluded_before_leaving(self, flow_id: packets.FlowId) -> bool:
        """Return whether it left and had told that its server did not hold a flow."""
        return self.status is records.Status.LEFT and self.held.excludes(flow_id)

    def unacknowledged_count(self, now: float) -> int:
        """Return how many flows were sent to it that its load may not include yet."""
        unacknowledged = self.unacknowledged
        while unacknowledged:
            flow_id, sent_at = next(iter(unacknowledged.items()))
            if now - sent_at < UNACKNOWLEDGED_SECONDS:
                break
            del unacknowledged[flow_id]
        return len(unacknowledged)

    def expected_change(self, now: float) -> float:
        """Estimate by how much its requests have changed since its last report."""
        unacknowledged = self.unacknowledged_count(now) if self.unacknowledged else 0
        if not self.load.requests:
            return unacknowledged
        answered = admission.estimate_answered(self.load, now - self.load_at)
        return unacknowledged - answered

    def update_member(self, member: records.Member) -> None:
        """Store its latest description of itself."""
        self.member = member
        self.packet_address = member.tunnel_address
        self.peer_address = member.control_address
        self.seed = _make_seed(member.tunnel_address)

    def update_load(self, load: messages.Load, now: float) -> None:
        """Store the load that it has reported."""
        self.load = load
        self.load_at = now

    def mark_full(self, now: float) -> None:
        """Back off until its backend server may have answered a request."""
        backoff = max(self.load.service_seconds, MIN_FULL_BACKOFF_SECONDS)
        self.full_until = now + min(backoff, MAX_FULL_BACKOFF_SECONDS)

    def accepts(self, service: identifiers.ServiceName) -> bool:
        """Return whether it announces that it accepts new flows of a service."""
        return self.find_exclusion(service) is None

    def find_exclusion(
        self, service: identifiers.ServiceName
    ) -> exclusions.Exclusion | None:
        """Return why it accepts no new flows of a service, None where it does."""
        if self.status is not records.Status.ALIVE:
            return exclusions.Exclusion.NOT_ALIVE
        exclusion = exclusions.Exclusion.NO_SERVER
        for endpoint in self.member.endpoints:
            if endpoint.service == service:
                if not endpoint.is_draining:
                    return None
                exclusion = exclusions.Exclusion.DRAINING
        return exclusion


AgentCallback = collections.abc.Callable[[Agent], None]


class AgentCounts(typing.NamedTuple):
    """How many agents an entry knows.

    Attributes:
        present: Number of agents that are believed to run.
        gone: Number of agents that are believed to be gone.
    """

    present: int
    gone: int


class AgentDirectory:
    """All agents, by packet address, peer address and service."""

    def __init__(self) -> None:
        """Start without agents."""
        self._agents: dict[addresses.Address, Agent] = {}
        self._by_peer: dict[addresses.Address, Agent] = {}
        self._by_service: dict[
            identifiers.ServiceName, dict[addresses.Address, Agent]
        ] = {}
        # Agents that accept new flows, by service, until the next update of a member.
        self._accepting: dict[identifiers.ServiceName, list[Agent]] = {}
        self._changed_at = float("-inf")
        self._present_count = 0
        self._subscribers: list[tuple[AgentCallback, AgentCallback]] = []

    @property
    def changed_at(self) -> float:
        """When an agent last appeared or disappeared."""
        return self._changed_at

    @property
    def has_agents(self) -> bool:
        """Whether any agent is known."""
        return bool(self._agents)

    @property
    def agents(self) -> list[Agent]:
        """All agents, including those that are gone."""
        return list(self._agents.values())

    @property
    def counts(self) -> AgentCounts:
        """How many agents are known."""
        gone = len(self._agents) - self._present_count
        return AgentCounts(self._present_count, gone)

    def subscribe(self, on_added: AgentCallback, on_removed: AgentCallback) -> None:
        """Call back for each agent that is added or removed from now on.

        An agent that starts again is another one: its predecessor is removed.
        """
        self._subscribers.append((on_added, on_removed))

    def update(self, record: records.Record, now: float) -> None:
        """Apply a membership update; updates about other roles are ignored."""
        member = record.member
        if member.role is not records.Role.AGENT:
            return
        known = self._agents.get(member.tunnel_address)
        if known is not None and known.member.id > member.id:
            return
        if known is None or known.member.id != member.id:
            if known is not None:
                self._remove(known)
            self._add(Agent(member, record.status, now), now)
            return
        if known.is_present != record.is_present:
            self._changed_at = now
            self._present_count += 1 if record.is_present else -1
        if known.status is not record.status:
            known.status_changed_at = now
        known.update_member(member)
        known.status = record.status
        self._index(known)

    def remove_gone(self, before: float) -> None:
        """Remove agents that have been gone since before a point in time."""
        for agent in list(self._agents.values()):
            if not agent.is_present and agent.status_changed_at < before:
                self._remove(agent)

    def by_packet_address(self, packet_address: addresses.Address) -> Agent | None:
        """Return the agent that receives packets at an address."""
        return self._agents.get(packet_address)

    def by_peer_address(self, peer_address: addresses.Address) -> Agent | None:
        """Return the agent that sends messages from an address."""
        return self._by_peer.get(peer_address)

    def accepting(self, service: identifiers.ServiceName) -> list[Agent]:
        """Return the agents that accept new flows of a service.

        Callers must not change the list, which is kept for further calls.
        """
        accepting = self._accepting.get(service)
        if accepting is None:
            known = self._by_service.get(service, {})
            accepting = [agent for agent in known.values() if agent.accepts(service)]
            self._accepting[service] = accepting
        return accepting

    def of_service(self, service: identifiers.ServiceName) -> list[Agent]:
        """Return all agents that have ever announced a service."""
        return list(self._by_service.get(service, {}).values())

    def _add(self, agent: Agent, now: float) -> None:
        self._agents[agent.packet_address] = agent
        self._by_peer[agent.peer_address] = agent
        self._changed_at = now
        self._present_count += agent.is_present
        self._index(agent)
        for on_added, _ in self._subscribers:
            on_added(agent)

    def _remove(self, agent: Agent) -> None:
        self._accepting.clear()
        del self._agents[agent.packet_address]
        self._present_count -= agent.is_present
        for members in self._by_service.values():
            members.pop(agent.packet_address, None)
        if self._by_peer.get(agent.peer_address) is agent:
            del self._by_peer[agent.peer_address]
        for _, on_removed in self._subscribers:
            on_removed(agent)

    def _index(self, agent: Agent) -> None:
        self._accepting.clear()
        for endpoint in agent.member.endpoints:
            members = self._by_service.setdefault(endpoint.service, {})
            members[agent.packet_address] = agent
