"""State of one lookup of a flow's owner."""

from __future__ import annotations

import enum

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import directory

CALLER_PAUSE_SECONDS = 1.7


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
        awaited: The one that kept the flow from being reset at the last check.
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
    awaited: identifiers.MemberId | None = None
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

    @property
    def awaits_present_agent(self) -> bool:
        """Whether the awaited agent is present and still may own the flow.

        It spares a look at all others, many of which may be gone.
        """
        if self.awaited is None:
            return False
        agent = self.possible_owners.get(self.awaited)
        return agent is not None and agent.is_present

    def has_paused(self, now: float) -> bool:
        """Return whether the caller ended the flow or sends through another entry."""
        return now - self.last_packet_at > CALLER_PAUSE_SECONDS
