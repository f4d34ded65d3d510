"""Service of one backend server at a crest of three times its capacity.

Compares the slot queue with a plain baseline that queues everything in order.

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
CREST_FACTOR = 3.0
CREST_SECONDS = 60.0
SEEDS = 5
CALLERS = 50
TICK_SECONDS = 0.05
TARGET_SHARE = 0.95


@dataclasses.dataclass
class Outcome:
    """What one run came to."""

    answered_in_time: int = 0
    answered_late: int = 0
    refused_at_once: int = 0
    refused_later: int = 0


def arrivals(rng: random.Random) -> list[float]:
    """Return the times at which requests arrive."""
    rate = CREST_FACTOR / SERVICE_SECONDS
    now = 0.0
    times = []
    while now < CREST_SECONDS:
        now += rng.expovariate(rate)
        times.append(now)
    return times


def run_baseline(seed: int) -> Outcome:
    """Queue everything in order and refuse nothing."""
    rng = random.Random(seed)
    outcome = Outcome()
    free_at = 0.0
    for arrived in arrivals(rng):
        started = max(free_at, arrived)
        if started > CREST_SECONDS:
            break
        free_at = started + rng.expovariate(1 / SERVICE_SECONDS)
        if free_at - arrived <= DEADLINE_SECONDS:
            outcome.answered_in_time += 1
        else:
            outcome.answered_late += 1
    return outcome


class QueueRun:
    """The slot queue before one server."""

    def __init__(self, seed: int) -> None:
        """Start empty."""
        self.rng = random.Random(seed)
        self.queue = slots.SlotQueue(1, random.Random(seed))
        self.outcome = Outcome()
        self.ends: list[tuple[float, slots.RequestId]] = []
        self.arrived: dict[slots.RequestId, float] = {}
        self.aborted: set[slots.RequestId] = set()

    def carry_out(self, actions: list[slots.Action], now: float) -> None:
        """Run, refuse and abort as the queue says."""
        for action in actions:
            if isinstance(action, slots.Start):
                taken = self.rng.expovariate(1 / SERVICE_SECONDS)
                heapq.heappush(self.ends, (now + taken, action.request))
            elif isinstance(action, slots.Refuse):
                if now == self.arrived[action.request]:
                    self.outcome.refused_at_once += 1
                else:
                    self.outcome.refused_later += 1
            elif action.request not in self.aborted:
                self.aborted.add(action.request)
                self.ends = [
                    (now, r) if r == action.request else (t, r) for t, r in self.ends
                ]
                heapq.heapify(self.ends)

    def finish_until(self, now: float) -> None:
        """End requests up to a moment."""
        while self.ends and self.ends[0][0] <= now:
            ended, request = heapq.heappop(self.ends)
            is_answered = request not in self.aborted
            if is_answered:
                in_time = ended - self.arrived[request] <= DEADLINE_SECONDS
                self.outcome.answered_in_time += in_time
                self.outcome.answered_late += not in_time
            actions = self.queue.finish(request, ended, is_answered=is_answered)
            self.carry_out(actions, ended)

    def run(self) -> Outcome:
        """Let all requests arrive."""
        pending = collections.deque(arrivals(self.rng))
        next_tick = 0.0
        number = 0
        while pending:
            now = min(pending[0], next_tick)
            self.finish_until(now)
            if now == next_tick:
                next_tick += TICK_SECONDS
                self.carry_out(self.queue.tick(now), now)
                continue
            pending.popleft()
            number += 1
            request = slots.RequestId(number)
            self.arrived[request] = now
            caller = slots.CallerKey(b"%d" % self.rng.randrange(CALLERS))
            deadline = now + DEADLINE_SECONDS
            self.carry_out(self.queue.submit(request, caller, deadline, now), now)
        return self.outcome


def main() -> None:
    """Run the measurement."""
    capacity = CREST_SECONDS / SERVICE_SECONDS
    plain = [run_baseline(seed) for seed in range(SEEDS)]
    queued = [QueueRun(seed).run() for seed in range(SEEDS)]
    offered = capacity * CREST_FACTOR

    results.report(
        "crest",
        [
            results.Figure(
                "baseline: answered in time of capacity",
                statistics.mean([o.answered_in_time / capacity for o in plain]),
                "share",
            ),
            results.Figure(
                "queue: answered in time of capacity, mean",
                statistics.mean([o.answered_in_time / capacity for o in queued]),
                "share",
                TARGET_SHARE,
                True,
            ),
            results.Figure(
                "queue: answered in time of capacity, worst seed",
                min(o.answered_in_time / capacity for o in queued),
                "share",
                TARGET_SHARE,
                True,
            ),
            results.Figure(
                "queue: answered late",
                statistics.mean([o.answered_late / capacity for o in queued]),
                "share",
            ),
            results.Figure(
                "queue: refused at once, of offered",
                statistics.mean([o.refused_at_once / offered for o in queued]),
                "share",
            ),
            results.Figure(
                "queue: refused only later, of offered",
                statistics.mean([o.refused_later / offered for o in queued]),
                "share",
                0.0,
            ),
        ],
    )


if __name__ == "__main__":
    main()
