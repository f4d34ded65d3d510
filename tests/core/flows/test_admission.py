"""Tests of the admission of new requests."""

from __future__ import annotations

import pytest

from cactushall_core.flows import admission, messages

OBJECTIVE_SECONDS = 0.12


def load(requests, slots=1, service=0.015):
    return messages.Load(10, requests, slots, service)


def test_minimum_of_requests_per_slot_is_always_admitted():
    for service in (0.0, 0.015, 1.0):
        assert admission.has_capacity(load(1, service=service), 0, OBJECTIVE_SECONDS)
        assert admission.has_capacity(load(3, 2, service), 0, OBJECTIVE_SECONDS)


def test_requests_beyond_the_objective_are_not_admitted():
    assert not admission.has_capacity(load(2), 0, OBJECTIVE_SECONDS)
    assert admission.has_capacity(load(2, service=0.01), 0, OBJECTIVE_SECONDS)
    assert not admission.has_capacity(load(2, service=0.01), 2, OBJECTIVE_SECONDS)


def test_requests_per_slot_are_limited():
    limit = int(admission.MAX_REQUESTS_PER_SLOT)
    assert admission.has_capacity(load(limit - 1, service=0.0), 0, 0.0)
    assert not admission.has_capacity(load(limit, service=0.0), 0, 0.0)
    assert not admission.has_capacity(load(0, service=0.0), limit, 0.0)


@pytest.mark.parametrize(("age", "answered"), [(0.0, 0), (0.015, 1), (0.03, 2), (9, 4)])
def test_one_slot_answers_requests_sequentially(age, answered):
    assert admission.estimate_answered(load(4), age) == pytest.approx(answered)


def test_all_slots_answer_requests_concurrently():
    assert admission.estimate_answered(load(6, 2), 0.015) == pytest.approx(2)


def test_unknown_service_time_gives_no_estimate():
    assert admission.estimate_answered(load(4, service=0.0), 9.0) == 0
