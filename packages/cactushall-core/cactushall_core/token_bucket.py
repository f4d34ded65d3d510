"""A token bucket, which bounds a rate and allows bursts."""

from __future__ import annotations


class TokenBucket:
    """Tokens that are refilled at a constant rate and spent by the caller.

    More may be spent than there are, so that the caller decides when to stop.
    """

    def __init__(self, tokens_per_second: float, burst: float, now: float) -> None:
        """Start with a full bucket.

        Args:
            tokens_per_second: Rate at which tokens are refilled.
            burst: Maximum number of tokens.
            now: Current time in seconds.
        """
        self._tokens_per_second = tokens_per_second
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    @property
    def tokens(self) -> float:
        """How many tokens are left; negative where more were spent."""
        return self._tokens

    def refill(self, now: float) -> None:
        """Add the tokens of the time that has passed."""
        added = (now - self._refilled_at) * self._tokens_per_second
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = now

    def spend(self, count: float) -> None:
        """Remove tokens."""
        self._tokens -= count
