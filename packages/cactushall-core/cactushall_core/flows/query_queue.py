"""Questions to agents that have not been sent yet."""

from __future__ import annotations

import collections
import collections.abc

import msgspec

from cactushall_core import identifiers, token_bucket
from cactushall_core.flows import actions, directory, messages, packets

QUERIES_PER_SECOND = 1280.0
QUERY_BURST = 64
MAX_FLOWS_PER_QUERY = 50

TakeQuestion = collections.abc.Callable[[packets.FlowId, directory.Agent, float], bool]


class UnsentQuery(msgspec.Struct):
    """Flows about which an agent has not been asked yet.

    Attributes:
        agent: The agent.
        flow_ids: The flows; some of them may not be looked up any more.
    """

    agent: directory.Agent
    flow_ids: collections.deque[packets.FlowId]


class QueryQueue:
    """Asks agents in turn, each about all flows that have waited for it.

    The rate of messages is bounded, so that few lookups ask at once and many share
    messages.
    """

    def __init__(self, take_question: TakeQuestion) -> None:
        """Start without questions.

        Args:
            take_question: Returns whether an agent still has to be asked about a flow,
                and records that it is asked now.
        """
        self._take_question = take_question
        self._unsent: dict[identifiers.MemberId, UnsentQuery] = {}
        self._budget = token_bucket.TokenBucket(
            QUERIES_PER_SECOND, QUERY_BURST, float("-inf")
        )

    def add(self, agent: directory.Agent, flow_id: packets.FlowId) -> None:
        """Add a question to an agent about a flow."""
        member = agent.member.id
        if member not in self._unsent:
            self._unsent[member] = UnsentQuery(agent, collections.deque())
        self._unsent[member].flow_ids.append(flow_id)

    def remove_agent(self, member: identifiers.MemberId) -> None:
        """Remove all questions to an agent."""
        self._unsent.pop(member, None)

    def send(self, now: float) -> list[actions.Action]:
        """Send as many questions as the rate allows."""
        self._budget.refill(now)
        decided: list[actions.Action] = []
        while self._unsent and self._budget.tokens >= 1:
            member, unsent = next(iter(self._unsent.items()))
            del self._unsent[member]
            flow_ids = self._take_flows(unsent, now)
            if unsent.flow_ids:
                self._unsent[member] = unsent
            if flow_ids:
                query = messages.OwnershipQuery(flow_ids)
                address = unsent.agent.peer_address
                decided.append(actions.SendMessage(address, query))
                self._budget.spend(1)
        return decided

    def _take_flows(
        self, unsent: UnsentQuery, now: float
    ) -> tuple[packets.FlowId, ...]:
        """Take the next flows for one question to an agent."""
        taken: list[packets.FlowId] = []
        while unsent.flow_ids and len(taken) < MAX_FLOWS_PER_QUERY:
            flow_id = unsent.flow_ids.popleft()
            if self._take_question(flow_id, unsent.agent, now):
                taken.append(flow_id)
        return tuple(taken)
