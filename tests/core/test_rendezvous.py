"""Tests of rendezvous hashing."""

from __future__ import annotations

import collections

from cactushall_core import rendezvous

KEYS = [n.to_bytes(8, "big") for n in range(4000)]


def best(key, candidates, weight=lambda _: 1.0):
    return rendezvous.rank(key, candidates, lambda c: c, weight, 1)[0]


def test_removal_moves_only_the_keys_of_the_removed_candidate():
    before = [best(key, range(8)) for key in KEYS]
    after = [best(key, range(7)) for key in KEYS]
    moved = [b for b, a in zip(before, after, strict=True) if a != b]
    assert set(moved) == {7}


def test_shares_follow_the_weights():
    shares = collections.Counter(
        best(key, range(4), lambda c: 3.0 if c == 0 else 1.0) for key in KEYS
    )
    assert 0.45 < shares[0] / len(KEYS) < 0.55


def test_ranked_candidates_are_distinct():
    ranked = rendezvous.rank(b"key", range(5), lambda c: c, lambda _: 1.0, 3)
    assert len(set(ranked)) == 3
