"""Tests of the admission of new requests."""

from __future__ import annotations

import pytest

from cactushall_core.flows import admission, messages

OBJECTIVE_SECONDS = 0.12


def load(requests, slots=1, service=0.015):
    return messages.Load(10, requests, slots, service)


def test_a_slot_always_has_a_request_on_its_way():
    for service in (0.0, 0.015, 1.0):
        assert admission.has_room(load(1, service=service), 0, OBJECTIVE_SECONDS)
        assert admission.has_room(load(3, 2, service), 0, OBJECTIVE_SECONDS)


def test_no_more_than_can_be_answered_soon():
    assert not admission.has_room(load(2), 0, OBJECTIVE_SECONDS)
    assert admission.has_room(load(2, service=0.01), 0, OBJECTIVE_SECONDS)
    assert not admission.has_room(load(2, service=0.01), 2, OBJECTIVE_SECONDS)


def test_never_more_than_some_requests_a_slot():
    most = int(admission.MAX_REQUESTS_PER_SLOT)
    assert admission.has_room(load(most - 1, service=0.0), 0, 0.0)
    assert not admission.has_room(load(most, service=0.0), 0, 0.0)
    assert not admission.has_room(load(0, service=0.0), most, 0.0)


@pytest.mark.parametrize(("age", "answered"), [(0.0, 0), (0.015, 1), (0.03, 2), (9, 4)])
def test_requests_are_answered_one_after_the_other(age, answered):
    assert admission.estimate_answered(load(4), age) == pytest.approx(answered)


def test_each_slot_answers_requests():
    assert admission.estimate_answered(load(6, 2), 0.015) == pytest.approx(2)


def test_nothing_is_known_to_be_answered_without_a_service_time():
    assert admission.estimate_answered(load(4, service=0.0), 9.0) == 0
