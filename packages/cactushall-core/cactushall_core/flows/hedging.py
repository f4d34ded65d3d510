"""Decides when an opening packet is offered to a second agent, and counts the offers.

The policy is made for openings that stay unanswered much longer than usual, because a
packet was lost or an agent or its server has stopped, while the service has capacity to
spare. A server answers an opening packet even while its slots are busy, so a second
offer does not shorten the wait for a slot.
"""

from __future__ import annotations

import bisect
import collections
import heapq
import typing

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import opening_budget, packets

MAX_SAMPLES = 512
MIN_SAMPLES = 64
BURST_OPENINGS = 100
MIN_BURST = 1.0
# Before that the first answer is usually still on its way; it is long before the
# caller's retransmission.
MIN_DELAY_SECONDS = 0.02
# How long second offers stay suspended after a flow found no capacity.
CONTENTION_SECONDS = 0.25


class RunningQuantile:
    """Quantiles of the latest samples."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def add(self, sample: float) -> None:
        """Add a sample, in place of the oldest where there are enough."""
        if len(self._samples) >= MAX_SAMPLES:
            oldest = self._samples.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._samples.append(sample)
        bisect.insort(self._sorted, sample)

    def value(self, quantile: float) -> float | None:
        """Return a quantile, None while there are too few samples.

        Args:
            quantile: Share of the samples that are at most the value, below 1.
        """
        if len(self._sorted) < MIN_SAMPLES:
            return None
        return self._sorted[int(quantile * len(self._sorted))]


class HedgingLimit:
    """Bounds second offers to a share of openings.

    It starts without tokens, so that the share is never exceeded since the start, and
    in any sequence of openings by at most the burst.
    """

    def __init__(self) -> None:
        """Start without tokens."""
        self._budget = opening_budget.OpeningBudget(0.0)

    def record_opening(self, share: float) -> None:
        """Add the part of a token that one opening allows."""
        burst = max(MIN_BURST, share * BURST_OPENINGS)
        self._budget.record_opening(share, burst)

    def try_spend(self) -> bool:
        """Spend a token for a second offer; return whether there was one."""
        return self._budget.try_spend()

    def clear(self) -> None:
        """Remove all tokens."""
        self._budget.clear()


class SecondOffer(msgspec.Struct, frozen=True):
    """A second offer that was made.

    Attributes:
        agent: Packet address of the second agent.
        offered: Packet addresses of all agents that had the opening packet.
    """

    agent: addresses.Address
    offered: frozenset[addresses.Address]


class ScheduledOffer(typing.NamedTuple):
    """A second offer that is made unless the opening is answered before.

    Attributes:
        due_at: When it is made.
        flow: The flow.
        sent_at: When the opening packet was sent to the first agent.
        delay_seconds: Time between the two offers.
    """

    due_at: float
    flow: packets.FlowId
    sent_at: float
    delay_seconds: float


class _Service(msgspec.Struct):
    """What is known of the openings of one service.

    Attributes:
        opening_times: Times from an opening packet until its acceptance, in seconds.
        limit: Bounds second offers.
        contended_until: Until when flows count as queued or refused.
    """

    opening_times: RunningQuantile = msgspec.field(default_factory=RunningQuantile)
    limit: HedgingLimit = msgspec.field(default_factory=HedgingLimit)
    contended_until: float = float("-inf")


class Hedging:
    """Schedules and bounds second offers of opening packets."""

    def __init__(self) -> None:
        """Start with second offers switched off."""
        self._share = 0.0
        self._services: dict[identifiers.ServiceName, _Service] = {}
        self._scheduled: list[ScheduledOffer] = []

    @property
    def is_on(self) -> bool:
        """Whether any second offers may be made."""
        return self._share > 0

    @property
    def next_due_at(self) -> float | None:
        """When the next second offer is due, None where none is scheduled."""
        return self._scheduled[0].due_at if self._scheduled else None

    def set_limit(self, percent: float) -> None:
        """Set how many second offers may be made, as a percentage of openings."""
        if percent / 100 < self._share:
            for service in self._services.values():
                service.limit.clear()
        self._share = percent / 100
        if not self.is_on:
            self._services.clear()
            self._scheduled.clear()

    def record_opening(self, service: identifiers.ServiceName) -> None:
        """Record that a new flow is opened."""
        if self.is_on:
            self._service(service).limit.record_opening(self._share)

    def record_opened(self, service: identifiers.ServiceName, seconds: float) -> None:
        """Record how long an opening packet took to be accepted."""
        if self.is_on:
            self._service(service).opening_times.add(seconds)

    def record_contention(self, service: identifiers.ServiceName, now: float) -> None:
        """Record that a flow is queued or refused, which suspends second offers."""
        if self.is_on:
            self._service(service).contended_until = now + CONTENTION_SECONDS

    def schedule(
        self,
        service: identifiers.ServiceName,
        flow: packets.FlowId,
        now: float,
    ) -> None:
        """Schedule the second offer of an opening packet that is sent now.

        The delay is the quantile that the limit leaves: with a limit of 2%, the time
        within which 98% of the openings are accepted. It is at least
        `MIN_DELAY_SECONDS`.
        """
        if not self.is_on:
            return
        delay = self._service(service).opening_times.value(1 - self._share)
        if delay is not None:
            delay = max(delay, MIN_DELAY_SECONDS)
            offer = ScheduledOffer(now + delay, flow, now, delay)
            heapq.heappush(self._scheduled, offer)

    def take_due(self, now: float) -> list[ScheduledOffer]:
        """Remove and return the second offers that are due."""
        due = []
        while self._scheduled and self._scheduled[0].due_at <= now:
            due.append(heapq.heappop(self._scheduled))
        return due

    def is_suspended(self, service: identifiers.ServiceName, now: float) -> bool:
        """Return whether flows of a service are queued or refused."""
        return now < self._service(service).contended_until

    def try_spend(self, service: identifiers.ServiceName) -> bool:
        """Return whether the limit allows one more second offer, and count it."""
        return self._service(service).limit.try_spend()

    def _service(self, name: identifiers.ServiceName) -> _Service:
        return self._services.setdefault(name, _Service())
