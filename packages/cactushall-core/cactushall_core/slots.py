"""Queue of requests for the concurrency slots of one backend server.

The server never gets more requests at once than it has slots, so a request that is
still queued has certainly not run.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import random
import typing

from cactushall_core import outcomes

RequestId = typing.NewType("RequestId", int)
CallerKey = typing.NewType("CallerKey", bytes)

MAX_QUEUED = 1024
MAX_WAIT_SHARE = 0.5
INITIAL_SERVICE_SECONDS = 0.05
SERVICE_TIME_SMOOTHING = 0.1
MIN_MEASUREMENTS = 10
MIN_RETRY_SECONDS = 1
MAX_RETRY_SECONDS = 30


class Phase(enum.Enum):
    """State of a request."""

    QUEUED = "queued"
    RUNNING = "running"


@dataclasses.dataclass(frozen=True)
class Start:
    """Send the request to the backend server."""

    request: RequestId


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Answer the request with a refusal."""

    request: RequestId
    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True)
class Abort:
    """Close the connection on which the request runs."""

    request: RequestId


Action = Start | Refuse | Abort


@dataclasses.dataclass
class _Request:
    request_id: RequestId
    caller: CallerKey
    deadline: float
    phase: Phase
    started_at: float = 0.0


class SlotQueue:
    """Admits, orders, starts and refuses the requests of one backend server.

    Callers are served round robin; each caller's requests keep their order.
    """

    def __init__(self, slots: int, rng: random.Random) -> None:
        """Create an empty queue.

        Args:
            slots: How many requests the server runs at once.
            rng: Randomizes the retry-after times.
        """
        self._slots = slots
        self._rng = rng
        self._requests: dict[RequestId, _Request] = {}
        self._caller_queues: collections.OrderedDict[
            CallerKey, collections.deque[RequestId]
        ] = collections.OrderedDict()
        self._running = 0
        self._queued = 0
        self._service_seconds = INITIAL_SERVICE_SECONDS
        self._measurements = 0
        self._is_paused = False

    @property
    def running(self) -> int:
        """Number of requests that the server runs."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queued

    @property
    def service_seconds(self) -> float:
        """Exponential moving average of the time that a request takes."""
        return self._service_seconds

    @property
    def measured_service_seconds(self) -> float:
        """Like service_seconds, but 0 until enough requests have been answered."""
        is_known = self._measurements >= MIN_MEASUREMENTS
        return self._service_seconds if is_known else 0.0

    def expected_wait_seconds(self) -> float:
        """Return how long a new request would wait for a slot."""
        if self._running < self._slots:
            return 0.0
        return (self._queued + 1) * self._service_seconds / self._slots

    def submit(
        self, request: RequestId, caller: CallerKey, deadline: float, now: float
    ) -> list[Action]:
        """Queue a request, or refuse it at once where it would miss its deadline.

        A full queue refuses it too.

        Args:
            request: The request.
            caller: Whose turn the request takes.
            deadline: When the request must be answered, in seconds as `now`.
            now: Current time in seconds.

        Returns:
            What to do now.
        """
        if self._queued >= MAX_QUEUED:
            return [self._refuse(request, outcomes.Reason.QUEUE_FULL)]
        if not self._is_in_time(caller, deadline - now):
            return [self._refuse(request, outcomes.Reason.DEADLINE)]
        self._requests[request] = _Request(request, caller, deadline, Phase.QUEUED)
        self._caller_queues.setdefault(caller, collections.deque()).append(request)
        self._queued += 1
        return self._start_queued(now)

    def finish(
        self, request: RequestId, now: float, *, is_answered: bool
    ) -> list[Action]:
        """Free the slot of a running request that has ended and start the next.

        Args:
            request: The request.
            now: Current time in seconds.
            is_answered: Whether the server answered, so that the time counts as a
                measurement of its service time.

        Returns:
            What to do now.
        """
        tracked = self._requests.pop(request, None)
        if tracked is None:
            return []
        self._running -= 1
        if is_answered:
            self._record_service_time(now - tracked.started_at)
        return self._start_queued(now)

    def cancel(self, request: RequestId, now: float) -> list[Action]:
        """Remove a request from the queue, or abort it if it runs."""
        tracked = self._requests.get(request)
        if tracked is None:
            return []
        if tracked.phase is Phase.RUNNING:
            return [Abort(request)]
        self._remove_queued(tracked)
        return []

    def tick(self, now: float) -> list[Action]:
        """Refuse queued requests and abort running ones whose deadline has passed."""
        actions: list[Action] = []
        for tracked in list(self._requests.values()):
            if now < tracked.deadline:
                continue
            if tracked.phase is Phase.RUNNING:
                actions.append(Abort(tracked.request_id))
            else:
                self._remove_queued(tracked)
                reason = outcomes.Reason.DEADLINE
                actions.append(self._refuse(tracked.request_id, reason))
        return actions

    def set_paused(self, is_paused: bool, now: float) -> list[Action]:
        """Start no request while paused; queued ones wait until their deadlines."""
        self._is_paused = is_paused
        return self._start_queued(now)

    def _start_queued(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self._can_start():
            caller, caller_queue = self._caller_queues.popitem(last=False)
            tracked = self._requests[caller_queue.popleft()]
            if caller_queue:
                self._caller_queues[caller] = caller_queue
            self._queued -= 1
            self._running += 1
            tracked.phase = Phase.RUNNING
            tracked.started_at = now
            actions.append(Start(tracked.request_id))
        return actions

    def _record_service_time(self, seconds: float) -> None:
        self._measurements += 1
        smoothing = 1.0 if self._measurements == 1 else SERVICE_TIME_SMOOTHING
        self._service_seconds += smoothing * (seconds - self._service_seconds)

    def _is_in_time(self, caller: CallerKey, remaining: float) -> bool:
        """Return whether a new request is safely answered within the remaining time.

        The expected wait may use only half of that time. The other half covers
        varying service times and callers that come first in the round robin, so that
        admitted requests are not refused later.
        """
        wait = self.expected_wait_seconds()
        if wait + self._service_seconds > remaining:
            return False
        caller_queue = self._caller_queues.get(caller)
        if caller_queue:
            rounds = len(caller_queue) + 1
            turns = rounds * len(self._caller_queues)
            wait = max(wait, turns * self._service_seconds / self._slots)
        return wait <= MAX_WAIT_SHARE * remaining

    def _can_start(self) -> bool:
        has_slot = self._running < self._slots
        return has_slot and bool(self._caller_queues) and not self._is_paused

    def _remove_queued(self, tracked: _Request) -> None:
        caller_queue = self._caller_queues[tracked.caller]
        caller_queue.remove(tracked.request_id)
        if not caller_queue:
            del self._caller_queues[tracked.caller]
        del self._requests[tracked.request_id]
        self._queued -= 1

    def _refuse(self, request: RequestId, reason: outcomes.Reason) -> Refuse:
        refusal = outcomes.Refusal(
            outcomes.Outcome.NOT_RUN, reason, self._retry_after()
        )
        return Refuse(request, refusal)

    def _retry_after(self) -> int:
        """Spread retries at random over twice the time the queue needs to empty."""
        emptying_seconds = self.expected_wait_seconds() + self._service_seconds
        delay = MIN_RETRY_SECONDS + self._rng.random() * 2 * emptying_seconds
        return min(MAX_RETRY_SECONDS, math.ceil(delay))
