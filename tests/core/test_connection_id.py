"""Tests of connection ids."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from cactushall_core import connection_id, identifiers, keys
from tests.core import builders

SWAP_DESK_KEYS = connection_id.make_service_keys(builders.RING, builders.SWAP_DESK)
CATALOGUE_KEYS = connection_id.make_service_keys(builders.RING, builders.CATALOGUE)
HOME = identifiers.HomeId(0xC0FFEE42)
NONCE = b"nonce-7"


def test_decoding_returns_the_home():
    cid = connection_id.encode(SWAP_DESK_KEYS, HOME, NONCE)
    assert len(cid) == connection_id.LENGTH_BYTES
    assert connection_id.decode(SWAP_DESK_KEYS, cid) == HOME


def test_id_of_another_service_is_refused():
    assert (
        connection_id.decode(
            CATALOGUE_KEYS, connection_id.encode(SWAP_DESK_KEYS, HOME, NONCE)
        )
        is None
    )


@hypothesis.given(strategies.integers(0, connection_id.LENGTH_BYTES * 8 - 1))
def test_every_flipped_bit_is_rejected(bit):
    cid = bytearray(connection_id.encode(SWAP_DESK_KEYS, HOME, NONCE))
    cid[bit // 8] ^= 1 << bit % 8
    assert connection_id.decode(SWAP_DESK_KEYS, bytes(cid)) is None


@hypothesis.given(strategies.binary(max_size=24))
def test_arbitrary_bytes_are_refused(data):
    assert connection_id.decode(SWAP_DESK_KEYS, data) is None


def test_both_keys_are_valid_during_rotation():
    old, new = builders.RING[0], builders.OTHER_RING[0]
    before = connection_id.make_service_keys((old,), builders.SWAP_DESK)
    during = connection_id.make_service_keys((new, old), builders.SWAP_DESK)
    after = connection_id.make_service_keys((new,), builders.SWAP_DESK)
    old_cid = connection_id.encode(before, HOME, NONCE)
    new_cid = connection_id.encode(during, HOME, NONCE)
    assert connection_id.decode(during, old_cid) == HOME
    assert connection_id.decode(after, new_cid) == HOME
    assert connection_id.decode(after, old_cid) is None


def test_reset_token_survives_key_rotation():
    old, new = builders.RING[0], builders.OTHER_RING[0]
    before = connection_id.make_service_keys((old,), builders.SWAP_DESK)
    during = connection_id.make_service_keys((new, old), builders.SWAP_DESK)
    cid = connection_id.encode(before, HOME, NONCE)
    assert connection_id.reset_token(before, cid) == connection_id.reset_token(
        during, cid
    )


def test_key_of_wrong_length_is_refused():
    with pytest.raises(ValueError, match="32 bytes"):
        keys.make_key(b"short")
