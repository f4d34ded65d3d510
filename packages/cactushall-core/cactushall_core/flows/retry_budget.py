"""Limits how often an entry offers an opening packet to another agent.

Made for backend servers that stop answering when they are overloaded: each retry adds
a request to one of the others, which then stop answering as well.
"""

from __future__ import annotations

from cactushall_core import identifiers

# Retries that each opening allows: flows sent to silent agents can all be retried while
# those are at most this share of the agents.
TOKENS_PER_OPENING = 0.2
MAX_TOKENS = 20.0


class RetryBudget:
    """A token bucket for each service: openings fill it, retries spend from it.

    It is full at the start, since an entry often starts when others have failed.
    """

    def __init__(self) -> None:
        """Start with full buckets."""
        self._tokens: dict[identifiers.ServiceName, float] = {}

    def record_opening(self, service: identifiers.ServiceName) -> None:
        """Add the share of a retry that a new flow pays for."""
        tokens = self._tokens.get(service, MAX_TOKENS) + TOKENS_PER_OPENING
        self._tokens[service] = min(MAX_TOKENS, tokens)

    def spend(self, service: identifiers.ServiceName) -> bool:
        """Spend a token for a retry; return whether there was one."""
        tokens = self._tokens.get(service, MAX_TOKENS)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True
