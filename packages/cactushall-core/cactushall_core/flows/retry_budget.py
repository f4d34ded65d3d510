"""Limits how often an entry offers an opening packet to another agent.

Made for backend servers that stop answering when they are overloaded: each retry adds
a request to one of the others, which then stop answering as well.
"""

from __future__ import annotations

from cactushall_core import identifiers
from cactushall_core.flows import opening_budget

# Retries that each opening allows: flows sent to silent agents can all be retried while
# those are at most this share of the agents.
TOKENS_PER_OPENING = 0.2
MAX_TOKENS = 20.0


class RetryBudget:
    """A budget for each service: openings fill it, retries spend from it.

    It is full at the start, since an entry often starts when others have failed.
    """

    def __init__(self) -> None:
        """Start with full budgets."""
        self._budgets: dict[identifiers.ServiceName, opening_budget.OpeningBudget] = {}

    def record_opening(self, service: identifiers.ServiceName) -> None:
        """Add the share of a retry that a new flow allows."""
        self._budget(service).record_opening(TOKENS_PER_OPENING, MAX_TOKENS)

    def spend(self, service: identifiers.ServiceName) -> bool:
        """Spend a token for a retry; return whether there was one."""
        return self._budget(service).try_spend()

    def _budget(self, service: identifiers.ServiceName) -> opening_budget.OpeningBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = opening_budget.OpeningBudget(MAX_TOKENS)
            self._budgets[service] = budget
        return budget
