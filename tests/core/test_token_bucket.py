"""Tests of the token bucket."""

from __future__ import annotations

import pytest

from cactushall_core import token_bucket


def test_burst_can_be_spent_at_once():
    bucket = token_bucket.TokenBucket(10.0, 5.0, 0.0)
    bucket.spend(5.0)
    assert bucket.tokens == 0.0


def test_tokens_are_refilled_at_the_rate_up_to_the_burst():
    bucket = token_bucket.TokenBucket(10.0, 5.0, 0.0)
    bucket.spend(5.0)
    bucket.refill(0.1)
    assert bucket.tokens == pytest.approx(1.0)
    bucket.refill(10.0)
    assert bucket.tokens == 5.0


def test_more_tokens_can_be_spent_than_there_are():
    bucket = token_bucket.TokenBucket(10.0, 5.0, 0.0)
    bucket.spend(8.0)
    assert bucket.tokens == -3.0
    bucket.refill(0.2)
    assert bucket.tokens == pytest.approx(-1.0)
