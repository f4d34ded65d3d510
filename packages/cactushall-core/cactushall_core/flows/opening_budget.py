"""A budget of extra work that openings of flows fill and the extra work spends."""

from __future__ import annotations


class OpeningBudget:
    """A token bucket that is filled by events in place of time."""

    def __init__(self, tokens: float) -> None:
        """Start with some tokens."""
        self._tokens = tokens

    def record_opening(self, tokens: float, maximum: float) -> None:
        """Add the tokens that one opening allows, up to a maximum."""
        self._tokens = min(maximum, self._tokens + tokens)

    def try_spend(self) -> bool:
        """Spend a token; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def clear(self) -> None:
        """Remove all tokens."""
        self._tokens = 0.0
