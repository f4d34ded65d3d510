"""State of one lookup of a flow's owner."""

from __future__ import annotations

import enum

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import directory

CALLER_PAUSE_SECONDS = 1.7
MAX_DOUBLINGS = 3
# Longer than a round trip between availability zones and a backend server's answer.
ANSWER_TIMEOUT_SECONDS = 0.1


class Stage(enum.Enum):
    """Stage of a lookup.

    NEW: Nobody has been asked.
    REGISTRARS: The entries with which the owner may have registered the flow are asked.
    REGISTERED_OWNER: The agent that has registered the flow is asked.
    LIKELY_OWNERS: The agents among which the flow was probably placed are asked, one
        after the other.
    ALL: All agents are asked.
    """

    NEW = "new"
    REGISTRARS = "registrars"
    REGISTERED_OWNER = "registered-owner"
    LIKELY_OWNERS = "likely-owners"
    ALL = "all"


class Lookup(msgspec.Struct):
    """A flow whose owner is being looked up.

    Attributes:
        last_packet_at: When the caller's latest packet arrived.
        acknowledged: The caller's latest acknowledgement number.
        stage: Who is asked.
        stage_ends_at: When others are asked in place of those of the stage.
        registrars: Registrars that have not answered.
        likely_owners: Likely owners that are to be asked before all agents are.
        doublings: How often the time between rounds of questions has doubled; each
            agent is asked once in a round.
        next_round_at: When a packet of the caller begins or continues the next round.
        datagram: The packet that agents get which cannot tell without one.
        probed: Agents that got it.
        undecided: Agents that cannot tell without it and have not got it.
        probes: How many agents got it at the last step.
        answers_end_at: When agents get it though others have not answered the question.
        probes_end_at: When more agents get it though those have not answered.
        asked_at: When each agent was first asked.
        not_owners: Agents that have said that they do not own it.
        possible_owners: All other agents, once all are asked.
        awaited: The one that kept the flow from being reset at the last check.
        to_ask: Those of them that were not asked in the latest round.
        unanswered: Those of them that were asked in it and have not answered.
        buffered: Packets that are held back until the owner is known.
    """

    last_packet_at: float
    acknowledged: int
    stage: Stage = Stage.NEW
    stage_ends_at: float = float("inf")
    registrars: set[addresses.Address] = msgspec.field(default_factory=set)
    likely_owners: list[directory.Agent] = msgspec.field(default_factory=list)
    doublings: int = 0
    next_round_at: float = float("-inf")
    datagram: bytes = b""
    probed: set[identifiers.MemberId] = msgspec.field(default_factory=set)
    undecided: dict[identifiers.MemberId, directory.Agent] = msgspec.field(
        default_factory=dict
    )
    probes: int = 0
    answers_end_at: float = float("-inf")
    probes_end_at: float = float("-inf")
    asked_at: dict[identifiers.MemberId, float] = msgspec.field(default_factory=dict)
    not_owners: set[identifiers.MemberId] = msgspec.field(default_factory=set)
    possible_owners: dict[identifiers.MemberId, directory.Agent] = msgspec.field(
        default_factory=dict
    )
    awaited: identifiers.MemberId | None = None
    to_ask: dict[identifiers.MemberId, directory.Agent] = msgspec.field(
        default_factory=dict
    )
    unanswered: set[identifiers.MemberId] = msgspec.field(default_factory=set)
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
        self.undecided.pop(member, None)
        self.unanswered.discard(member)

    def record_asked(self, agent: directory.Agent, now: float) -> None:
        """Record that an agent is asked in the present round."""
        self.asked_at.setdefault(agent.member.id, now)
        self.unanswered.add(agent.member.id)
        self.answers_end_at = now + ANSWER_TIMEOUT_SECONDS

    def record_undecided(self, agent: directory.Agent) -> None:
        """Record that an agent cannot tell without a packet."""
        self.unanswered.discard(agent.member.id)
        if agent.member.id in self.possible_owners:
            self.undecided[agent.member.id] = agent

    def awaits_answers(self, now: float) -> bool:
        """Return whether agents may still tell that they own it without a packet."""
        if self.to_ask:
            return True
        return bool(self.unanswered) and now < self.answers_end_at

    def begin_round(self, datagram: bytes, now: float, interval_seconds: float) -> None:
        """Begin a round of questions with a packet of the caller.

        Args:
            datagram: The packet.
            now: Current time in seconds.
            interval_seconds: Time until the second round; it doubles with each round,
                so that questions that a full link delays are not multiplied.
        """
        self.datagram = datagram
        self.probed.clear()
        self.undecided.clear()
        self.unanswered.clear()
        self.probes = 0
        self.probes_end_at = float("-inf")
        self.next_round_at = now + interval_seconds * 2**self.doublings
        self.doublings = min(self.doublings + 1, MAX_DOUBLINGS)

    def awaits_probes(self, now: float) -> bool:
        """Return whether agents that got the packet may still answer it."""
        return now < self.probes_end_at and any(
            member in self.possible_owners for member in self.probed
        )

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
