"""Highest-random-weight (rendezvous) hashing.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from __future__ import annotations

import hashlib
import math
import typing

_SCALE = 1 << 64

CandidateT = typing.TypeVar("CandidateT")


def score(key: bytes, candidate_id: int, weight: float) -> float:
    """Return the score of a candidate for a key; the highest score wins.

    Args:
        key: The key to be assigned.
        candidate_id: Identifies the candidate.
        weight: Relative share of keys that the candidate gets, above 0.
    """
    digest = hashlib.blake2b(
        key, digest_size=8, salt=candidate_id.to_bytes(8, "big")
    ).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / _SCALE
    return weight / -math.log(uniform)


def rank(
    key: bytes,
    candidates: typing.Iterable[CandidateT],
    identity: typing.Callable[[CandidateT], int],
    weight: typing.Callable[[CandidateT], float],
    count: int,
) -> list[CandidateT]:
    """Return the candidates with the highest scores for a key, best first.

    Args:
        key: The key to be assigned.
        candidates: The candidates to choose from.
        identity: Returns a candidate's id.
        weight: Returns a candidate's weight.
        count: Maximum number of candidates to return.
    """
    scored = [
        (score(key, identity(candidate), weight(candidate)), index, candidate)
        for index, candidate in enumerate(candidates)
    ]
    scored.sort(key=lambda item: (-item[0], item[1]))
    return [candidate for _, _, candidate in scored[:count]]
