"""Limits the new flows of a backend server that is slow after its start.

The policy is made for all callers returning at once, through many entries, after a mass
restart: each entry sees only its own flows, so the agent counts them. A server that is
sent more than it can handle while it is cold answers everything late.
"""

from __future__ import annotations

import math
import random

from cactushall_core import token_bucket
from cactushall_core.flows import reports, routes, servers

# Deliveries may be this much closer together at the server than at the agent.
DELIVERY_JITTER_SECONDS = 0.1
# Flows that all entries together may send for each one that a report allows. With less,
# allowance is left over at agents while other entries refuse flows.
OVERBOOKING = 8.0
WINDOW_SECONDS = 1.0 + DELIVERY_JITTER_SECONDS
# With a burst of one flow, refill is lost whenever no flow arrives in time.
MIN_BURST_SHARE = 0.1
NO_LIMIT = -1.0


class ColdStart:
    """Decides whether a backend server may get one more flow shortly after its start.

    In any window of one second, at most `requests_per_second * overage + slack` new
    flows are allowed while the server is cold.

    New flows are counted also while it is not cold: a server that has started again
    may get some before its first announcement tells of the start.
    """

    def __init__(self, overage: float = 1.0, slack: float = 0.0) -> None:
        """Start without a limit.

        Args:
            overage: Factor by which new flows may exceed the rate of the limit.
            slack: New flows in a second that are allowed beyond that.
        """
        self._overage = overage
        self._slack = slack
        self._limit: routes.ColdLimit | None = None
        self._rate = 0.0
        self._bucket: token_bucket.TokenBucket | None = None
        self._seen_start_at = float("-inf")
        # Cold until the first announcement.
        self._reported_until = float("inf")
        self._is_cold = False
        self._declined = 0

    @property
    def is_cold(self) -> bool:
        """Whether the server has a limit now."""
        return self._is_cold

    @property
    def declined(self) -> int:
        """How many new flows were declined because of the limit."""
        return self._declined

    @property
    def allowance(self) -> float:
        """How many new flows the server may get at once; negative for no limit."""
        if self._bucket is None or not self._is_cold:
            return NO_LIMIT
        return float(max(0, math.floor(self._bucket.tokens)))

    def update_limit(self, limit: routes.ColdLimit | None, now: float) -> None:
        """Apply the limit of the server's service, None for no limit.

        A changed limit starts without any allowance: what the server got during the
        last second is not known, for example where this agent has just started.
        """
        if limit != self._limit:
            self._limit = limit
            self._bucket = None if limit is None else self._make_bucket(limit, now)
        self.update(now)

    def handle_announcement(
        self,
        announcement: servers.Announcement,
        previous: servers.Announcement | None,
        now: float,
    ) -> None:
        """Apply an announcement of the server.

        Args:
            announcement: The announcement.
            previous: The one before it, None if there was none.
            now: Current time in seconds.
        """
        is_start = servers.is_other_start(announcement, previous)
        if is_start and (
            previous is not None or servers.has_just_started(announcement)
        ):
            self._seen_start_at = now
        self._reported_until = now + announcement.cold_seconds
        self.update(now)

    def update(self, now: float) -> None:
        """Update the allowance, and whether the server is cold."""
        if self._limit is None or self._bucket is None:
            self._is_cold = False
            return
        self._bucket.refill(now)
        end_by_start = self._seen_start_at + self._limit.seconds
        self._is_cold = now < max(end_by_start, self._reported_until)

    def take(self, now: float) -> bool:
        """Return whether the server may get a new flow now; if so, count it."""
        self.update(now)
        if self._bucket is None:
            return True
        if self._is_cold and self._bucket.tokens < 1.0:
            self._declined += 1
            return False
        # Flows before a start that the agent has not noticed cost at most one second.
        self._bucket.spend(min(1.0, self._bucket.tokens + self._rate))
        return True

    def _make_bucket(
        self, limit: routes.ColdLimit, now: float
    ) -> token_bucket.TokenBucket:
        """Return an empty bucket that keeps to the limit in any window.

        A bucket lets at most its burst and the refill of the window pass, in whole
        flows. The sum stays below the next whole flow after the limit.
        """
        in_window = math.floor(limit.requests_per_second * self._overage + self._slack)
        least_burst = max(1.0, MIN_BURST_SHARE * in_window)
        highest_rate = (in_window + 1 - least_burst) / WINDOW_SECONDS
        self._rate = min(limit.requests_per_second, highest_rate)
        burst = in_window + 1 - self._rate * WINDOW_SECONDS if in_window else 0.0
        bucket = token_bucket.TokenBucket(self._rate, burst, now)
        bucket.spend(burst)
        return bucket


def draw_share(allowance: float, entry_count: int, rng: random.Random) -> float:
    """Return how much of an allowance that all entries were told one entry may use.

    If each entry used all of it, most of their flows would be declined. The share is
    rounded at random, so that some entries use an allowance that is too small for all.

    Args:
        allowance: The reported allowance; negative for no limit.
        entry_count: Number of entries.
        rng: Source of random choices.
    """
    if allowance < 0:
        return allowance
    share = OVERBOOKING * allowance / max(1, entry_count)
    return min(allowance, math.floor(share + rng.random()))


def has_allowance(
    allowance: float,
    age_seconds: float,
    unacknowledged: int,
    refill_per_second: float,
) -> bool:
    """Return whether an agent with a limit is likely to let one more flow through.

    Args:
        allowance: How much of the agent's last reported allowance this entry may use.
        age_seconds: Age of the report.
        unacknowledged: New flows sent there that the report may not include.
        refill_per_second: This entry's part of what the server may get each second.
    """
    # A load that has changed would have been reported within the interval.
    refill_seconds = min(age_seconds, reports.REPORT_INTERVAL_SECONDS)
    refilled = refill_per_second * refill_seconds
    return allowance + refilled - unacknowledged >= 1.0
