"""Simulates one backend server under a load of three times its capacity.

Compares the slot queue with a baseline that serves all requests in order of arrival.

    python -m bench.crest
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
import statistics

from bench import results
from cactushall_core import slots

SERVICE_SECONDS = 0.02
DEADLINE_SECONDS = 1.0
OVERLOAD_FACTOR = 3.0
OVERLOAD_SECONDS = 60.0
SEEDS = 5
CALLER_COUNT = 50
TICK_INTERVAL_SECONDS = 0.05
TARGET_SHARE = 0.95


@dataclasses.dataclass
class Outcome:
    """The number of requests by their result in one simulation.

    Attributes:
        answered_in_time: Requests answered by their deadline.
        answered_late: Requests answered after their deadline.
        refused_on_arrival: Requests refused as soon as they arrived.
        refused_later: Requests refused after they were queued.
    """

    answered_in_time: int = 0
    answered_late: int = 0
    refused_on_arrival: int = 0
    refused_later: int = 0


def draw_arrivals(rng: random.Random) -> list[float]:
    """Return the times at which requests arrive, in seconds."""
    rate = OVERLOAD_FACTOR / SERVICE_SECONDS
    now = 0.0
    times = []
    while now < OVERLOAD_SECONDS:
        now += rng.expovariate(rate)
        times.append(now)
    return times


def simulate_baseline(seed: int) -> Outcome:
    """Simulate a first-come, first-served queue that refuses nothing."""
    rng = random.Random(seed)
    outcome = Outcome()
    free_at = 0.0
    for arrived_at in draw_arrivals(rng):
        started_at = max(free_at, arrived_at)
        if started_at > OVERLOAD_SECONDS:
            break
        free_at = started_at + rng.expovariate(1 / SERVICE_SECONDS)
        if free_at - arrived_at <= DEADLINE_SECONDS:
            outcome.answered_in_time += 1
        else:
            outcome.answered_late += 1
    return outcome


class SlotQueueSimulation:
    """Simulates the slot queue in front of one backend server."""

    def __init__(self, seed: int) -> None:
        """Start with an empty queue."""
        self.rng = random.Random(seed)
        self.queue = slots.SlotQueue(1, random.Random(seed))
        self.outcome = Outcome()
        self.completions: list[tuple[float, slots.RequestId]] = []
        self.arrival_times: dict[slots.RequestId, float] = {}
        self.aborted: set[slots.RequestId] = set()

    def execute(self, actions: list[slots.Action], now: float) -> None:
        """Start, refuse and abort requests as the queue has decided."""
        for action in actions:
            if isinstance(action, slots.Start):
                service_seconds = self.rng.expovariate(1 / SERVICE_SECONDS)
                heapq.heappush(
                    self.completions, (now + service_seconds, action.request)
                )
            elif isinstance(action, slots.Refuse):
                if now == self.arrival_times[action.request]:
                    self.outcome.refused_on_arrival += 1
                else:
                    self.outcome.refused_later += 1
            elif action.request not in self.aborted:
                self.aborted.add(action.request)
                self.completions = [
                    (now, request) if request == action.request else (ends_at, request)
                    for ends_at, request in self.completions
                ]
                heapq.heapify(self.completions)

    def finish_until(self, now: float) -> None:
        """Finish the running requests that end by a time."""
        while self.completions and self.completions[0][0] <= now:
            ended_at, request = heapq.heappop(self.completions)
            is_answered = request not in self.aborted
            if is_answered:
                is_in_time = ended_at - self.arrival_times[request] <= DEADLINE_SECONDS
                self.outcome.answered_in_time += is_in_time
                self.outcome.answered_late += not is_in_time
            actions = self.queue.finish(request, ended_at, is_answered=is_answered)
            self.execute(actions, ended_at)

    def run(self) -> Outcome:
        """Simulate all arrivals and return the outcome."""
        upcoming = collections.deque(draw_arrivals(self.rng))
        next_tick = 0.0
        number = 0
        while upcoming:
            now = min(upcoming[0], next_tick)
            self.finish_until(now)
            if now == next_tick:
                next_tick += TICK_INTERVAL_SECONDS
                self.execute(self.queue.tick(now), now)
                continue
            upcoming.popleft()
            number += 1
            request = slots.RequestId(number)
            self.arrival_times[request] = now
            caller = slots.CallerKey(b"%d" % self.rng.randrange(CALLER_COUNT))
            deadline = now + DEADLINE_SECONDS
            self.execute(self.queue.submit(request, caller, deadline, now), now)
        return self.outcome


def main() -> None:
    """Simulate both queues with several seeds and report the figures."""
    served_at_capacity = OVERLOAD_SECONDS / SERVICE_SECONDS
    baseline_outcomes = [simulate_baseline(seed) for seed in range(SEEDS)]
    queue_outcomes = [SlotQueueSimulation(seed).run() for seed in range(SEEDS)]
    offered_requests = served_at_capacity * OVERLOAD_FACTOR

    results.report(
        "crest",
        [
            results.Figure(
                "baseline: answered in time of capacity",
                statistics.mean(
                    [o.answered_in_time / served_at_capacity for o in baseline_outcomes]
                ),
                "share",
            ),
            results.Figure(
                "queue: answered in time of capacity, mean",
                statistics.mean(
                    [o.answered_in_time / served_at_capacity for o in queue_outcomes]
                ),
                "share",
                TARGET_SHARE,
                True,
            ),
            results.Figure(
                "queue: answered in time of capacity, worst seed",
                min(o.answered_in_time / served_at_capacity for o in queue_outcomes),
                "share",
                TARGET_SHARE,
                True,
            ),
            results.Figure(
                "queue: answered late",
                statistics.mean(
                    [o.answered_late / served_at_capacity for o in queue_outcomes]
                ),
                "share",
            ),
            results.Figure(
                "queue: refused at once, of offered",
                statistics.mean(
                    [o.refused_on_arrival / offered_requests for o in queue_outcomes]
                ),
                "share",
            ),
            results.Figure(
                "queue: refused only later, of offered",
                statistics.mean(
                    [o.refused_later / offered_requests for o in queue_outcomes]
                ),
                "share",
                0.0,
            ),
        ],
    )


if __name__ == "__main__":
    main()
