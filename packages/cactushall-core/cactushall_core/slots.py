"""Queue of requests before the slots of one backend server.

The server never gets more requests at once than it has slots, so whatever waits
here has not run.
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
ADMISSION_SHARE = 0.5
INITIAL_SERVICE_SECONDS = 0.05
SERVICE_TIME_GAIN = 0.1
MIN_MEASUREMENTS = 10
MIN_RETRY_SECONDS = 1
MAX_RETRY_SECONDS = 30


class Phase(enum.Enum):
    """Where a request is."""

    QUEUED = "queued"
    RUNNING = "running"


@dataclasses.dataclass(frozen=True)
class Start:
    """Send the request to the backend server now."""

    request: RequestId


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Give the request its final answer now."""

    request: RequestId
    refusal: outcomes.Refusal


@dataclasses.dataclass(frozen=True)
class Abort:
    """Close the connection on which the request runs."""

    request: RequestId


Action = Start | Refuse | Abort


@dataclasses.dataclass
class _Entry:
    request: RequestId
    caller: CallerKey
    deadline: float
    phase: Phase
    started_at: float = 0.0


class SlotQueue:
    """Admits, orders, starts and refuses the requests of one backend server.

    Callers take turns; each caller's own requests keep their order.
    """

    def __init__(self, slots: int, rng: random.Random) -> None:
        """Create an empty queue.

        Args:
            slots: How many requests the server runs at once.
            rng: Spreads the come-back times.
        """
        self._slots = slots
        self._rng = rng
        self._entries: dict[RequestId, _Entry] = {}
        self._turns: collections.OrderedDict[
            CallerKey, collections.deque[RequestId]
        ] = collections.OrderedDict()
        self._running = 0
        self._queued = 0
        self._service_seconds = INITIAL_SERVICE_SECONDS
        self._measurements = 0
        self._is_paused = False

    @property
    def running(self) -> int:
        """How many requests run."""
        return self._running

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return self._queued

    @property
    def service_seconds(self) -> float:
        """Moving average of the time that a request takes."""
        return self._service_seconds

    @property
    def measured_seconds(self) -> float:
        """Like service_seconds, but 0 before enough requests have ended."""
        is_known = self._measurements >= MIN_MEASUREMENTS
        return self._service_seconds if is_known else 0.0

    def expected_wait(self) -> float:
        """Return the seconds that a new request would wait for a slot."""
        if self._running < self._slots:
            return 0.0
        return (self._queued + 1) * self._service_seconds / self._slots

    def offer(
        self, request: RequestId, caller: CallerKey, deadline: float, now: float
    ) -> list[Action]:
        """Take in a request, or refuse it at once where it cannot be in time."""
        if self._queued >= MAX_QUEUED:
            return [self._refuse(request, outcomes.Reason.QUEUE_FULL)]
        if not self._is_in_time(caller, deadline - now):
            return [self._refuse(request, outcomes.Reason.DEADLINE)]
        self._entries[request] = _Entry(request, caller, deadline, Phase.QUEUED)
        self._turns.setdefault(caller, collections.deque()).append(request)
        self._queued += 1
        return self._start_waiting(now)

    def finish(
        self, request: RequestId, now: float, *, is_answered: bool
    ) -> list[Action]:
        """Note that a running request has ended, and start the next."""
        entry = self._entries.pop(request, None)
        if entry is None:
            return []
        self._running -= 1
        if is_answered:
            self._measure(now - entry.started_at)
        return self._start_waiting(now)

    def cancel(self, request: RequestId, now: float) -> list[Action]:
        """Take a request out of the queue, or abort it where it runs."""
        entry = self._entries.get(request)
        if entry is None:
            return []
        if entry.phase is Phase.RUNNING:
            return [Abort(request)]
        self._remove_queued(entry)
        return []

    def tick(self, now: float) -> list[Action]:
        """Refuse what has waited too long and abort what runs past its deadline."""
        actions: list[Action] = []
        for entry in list(self._entries.values()):
            if now < entry.deadline:
                continue
            if entry.phase is Phase.RUNNING:
                actions.append(Abort(entry.request))
            else:
                self._remove_queued(entry)
                reason = outcomes.Reason.DEADLINE
                actions.append(self._refuse(entry.request, reason))
        return actions

    def set_paused(self, is_paused: bool, now: float) -> list[Action]:
        """Start nothing while paused; requests wait until their deadlines."""
        self._is_paused = is_paused
        return self._start_waiting(now)

    def _start_waiting(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while self._can_start():
            caller, waiting = self._turns.popitem(last=False)
            entry = self._entries[waiting.popleft()]
            if waiting:
                self._turns[caller] = waiting
            self._queued -= 1
            self._running += 1
            entry.phase = Phase.RUNNING
            entry.started_at = now
            actions.append(Start(entry.request))
        return actions

    def _measure(self, seconds: float) -> None:
        self._measurements += 1
        gain = 1.0 if self._measurements == 1 else SERVICE_TIME_GAIN
        self._service_seconds += gain * (seconds - self._service_seconds)

    def _is_in_time(self, caller: CallerKey, remaining: float) -> bool:
        """Tell whether a new request will surely be answered in some time.

        Half of the time is left for service times that vary and for callers whose
        turn comes first, so that what is admitted is not refused later.
        """
        wait = self.expected_wait()
        if wait + self._service_seconds > remaining:
            return False
        waiting = self._turns.get(caller)
        if waiting:
            rounds = len(waiting) + 1
            turns = rounds * len(self._turns)
            wait = max(wait, turns * self._service_seconds / self._slots)
        return wait <= ADMISSION_SHARE * remaining

    def _can_start(self) -> bool:
        has_slot = self._running < self._slots
        return has_slot and bool(self._turns) and not self._is_paused

    def _remove_queued(self, entry: _Entry) -> None:
        waiting = self._turns[entry.caller]
        waiting.remove(entry.request)
        if not waiting:
            del self._turns[entry.caller]
        del self._entries[entry.request]
        self._queued -= 1

    def _refuse(self, request: RequestId, reason: outcomes.Reason) -> Refuse:
        refusal = outcomes.Refusal(
            outcomes.Outcome.NOT_RUN, reason, self._retry_after()
        )
        return Refuse(request, refusal)

    def _retry_after(self) -> int:
        """Spread returning callers over the time in which the queue empties."""
        drain_seconds = self.expected_wait() + self._service_seconds
        spread = MIN_RETRY_SECONDS + self._rng.random() * 2 * drain_seconds
        return min(MAX_RETRY_SECONDS, math.ceil(spread))
