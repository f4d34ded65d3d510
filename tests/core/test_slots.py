"""Tests of the slot queue."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import stateful, strategies

from bench import crest
from cactushall_core import outcomes, slots

ALPHA = slots.CallerKey(b"alpha")
BETA = slots.CallerKey(b"beta")
FAR_DEADLINE = 1000.0


def make_queue(count=1):
    return slots.SlotQueue(count, random.Random(1))


def submit(queue, number, caller=ALPHA, deadline=FAR_DEADLINE, now=0.0):
    return queue.submit(slots.RequestId(number), caller, deadline, now)


def test_slots_are_never_exceeded():
    queue = make_queue(2)
    started = [bool(submit(queue, number)) for number in range(5)]
    assert started == [True, True, False, False, False]


def test_callers_are_served_round_robin():
    queue = make_queue()
    submit(queue, 0)
    for number in (1, 2, 3):
        submit(queue, number, ALPHA)
    submit(queue, 4, BETA)
    order = []
    running = 0
    while queue.running:
        actions = queue.finish(slots.RequestId(running), 0.0, is_answered=True)
        if actions:
            running = actions[0].request
            order.append(running)
    assert order == [1, 4, 2, 3]


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    queue = make_queue()
    for number in range(100):
        submit(queue, number)
    (action,) = submit(queue, 100, deadline=1.0)
    assert action.refusal.outcome is outcomes.Outcome.NOT_RUN
    assert action.refusal.reason is outcomes.Reason.DEADLINE
    assert action.refusal.retry_after >= 1


def test_caller_with_a_long_queue_is_refused_while_others_are_admitted():
    queue = make_queue()
    for number in range(6):
        submit(queue, number, slots.CallerKey(b"%d" % number))
    deadline = 1.0
    for number in range(6, 10):
        actions = submit(queue, number, ALPHA, deadline)
    assert isinstance(actions[0], slots.Refuse)
    assert submit(queue, 10, BETA, deadline) == []


def test_requests_admitted_under_overload_are_answered_in_time():
    outcome = crest.SlotQueueSimulation(1).run()
    capacity = crest.OVERLOAD_SECONDS / crest.SERVICE_SECONDS
    assert outcome.answered_in_time >= crest.TARGET_SHARE * capacity


def test_cancelled_request_leaves_the_queue():
    queue = make_queue()
    submit(queue, 0)
    submit(queue, 1)
    assert queue.cancel(slots.RequestId(1), 0.0) == []
    assert queue.queued == 0
    assert queue.finish(slots.RequestId(0), 0.0, is_answered=True) == []


def test_cancelled_request_that_runs_is_aborted():
    queue = make_queue()
    submit(queue, 0)
    assert queue.cancel(slots.RequestId(0), 0.0) == [slots.Abort(slots.RequestId(0))]
    assert queue.running == 1


def test_deadline_refuses_queued_and_aborts_running_requests():
    queue = make_queue()
    submit(queue, 0, deadline=1.0)
    submit(queue, 1, deadline=1.0)
    aborted, refused = queue.tick(1.0)
    assert aborted == slots.Abort(slots.RequestId(0))
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN


def test_paused_queue_refuses_requests_at_their_deadline():
    queue = make_queue()
    queue.set_paused(True, 0.0)
    assert submit(queue, 0, deadline=1.0) == []
    (action,) = queue.tick(1.0)
    assert action.refusal.outcome is outcomes.Outcome.NOT_RUN


def test_queue_starts_requests_after_a_pause():
    queue = make_queue()
    queue.set_paused(True, 0.0)
    submit(queue, 0)
    assert queue.set_paused(False, 0.0) == [slots.Start(slots.RequestId(0))]


class SlotMachine(stateful.RuleBasedStateMachine):
    """Every request ends once; slots and counts stay consistent."""

    SLOTS = 2

    def __init__(self):
        super().__init__()
        self.queue = make_queue(self.SLOTS)
        self.now = 0.0
        self.next_id = 0
        self.waiting = set()
        self.running = set()

    def execute(self, actions):
        for action in actions:
            if isinstance(action, slots.Start):
                self.waiting.remove(action.request)
                self.running.add(action.request)
            elif isinstance(action, slots.Refuse):
                self.waiting.remove(action.request)
            else:
                assert action.request in self.running

    @stateful.rule(
        caller=strategies.sampled_from([ALPHA, BETA]), allowed=strategies.floats(0, 5)
    )
    def offer(self, caller, allowed):
        self.next_id += 1
        request = slots.RequestId(self.next_id)
        self.waiting.add(request)
        self.execute(self.queue.submit(request, caller, self.now + allowed, self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(is_answered=strategies.booleans())
    def finish(self, is_answered):
        request = min(self.running)
        self.running.remove(request)
        self.execute(self.queue.finish(request, self.now, is_answered=is_answered))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule()
    def cancel(self):
        request = max(self.waiting)
        self.waiting.remove(request)
        assert self.queue.cancel(request, self.now) == []

    @stateful.rule(step=strategies.floats(0, 2))
    def advance(self, step):
        self.now += step
        self.execute(self.queue.tick(self.now))

    @stateful.invariant()
    def counts_match(self):
        assert self.queue.running == len(self.running) <= self.SLOTS
        assert self.queue.queued == len(self.waiting)
        if self.waiting:
            assert len(self.running) == self.SLOTS


TestSlotMachine = SlotMachine.TestCase
TestSlotMachine.settings = hypothesis.settings(max_examples=50, deadline=None)


def test_measured_service_time_ignores_the_initial_estimate():
    queue = make_queue()
    for number in range(slots.MIN_MEASUREMENTS):
        assert queue.measured_service_seconds == 0.0
        submit(queue, number, now=float(number))
        queue.finish(slots.RequestId(number), number + 0.01, is_answered=True)
    assert abs(queue.measured_service_seconds - 0.01) < 1e-6
