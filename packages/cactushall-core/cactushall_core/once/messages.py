"""Messages about idempotency keys between the members of a service.

See `key_registry` for the terms and the protocol.
"""

from __future__ import annotations

import hashlib
import typing

import msgspec

from cactushall_core import identifiers

KeyDigest = typing.NewType("KeyDigest", bytes)

DIGEST_BYTES = 16


def digest(key: bytes) -> KeyDigest:
    """Return the hash that represents an idempotency key in messages and tables."""
    return KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest())


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Asks the key's coordinator for permission to run it.

    Attributes:
        key: The key.
        epoch: Number of the sender's epoch.
        released_by: A former holder that has confirmed to the sender that the key never
            ran there and never will.
    """

    key: KeyDigest
    epoch: int
    released_by: identifiers.MemberId | None = None


class Granted(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Grants a claim: the receiver may run the key.

    Attributes:
        key: The key.
        epoch: Number of the epoch in which the claim was made.
    """

    key: KeyDigest
    epoch: int


class Held(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Answers that a member already holds the key.

    Attributes:
        key: The key.
        epoch: Number of the epoch in which the receiver asked.
        holder: The member that holds the key.
    """

    key: KeyDigest
    epoch: int
    holder: identifiers.MemberId


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Refuses a claim, since the sender does not know whether the key has run.

    Attributes:
        key: The key.
        epoch: Number of the receiver's epoch.
        is_stale: Whether the only reason is that their epochs differ.
    """

    key: KeyDigest
    epoch: int
    is_stale: bool = False


class Inquiry(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Asks for the holder of a key, or to reserve the key if there is none.

    Attributes:
        key: The key.
        epoch: Number of the sender's epoch.
        runner: The member to reserve the key for.
        released_by: A former holder that has confirmed to the runner that the key never
            ran there and never will.
    """

    key: KeyDigest
    epoch: int
    runner: identifiers.MemberId
    released_by: identifiers.MemberId | None = None


class Reserved(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Answers that the sender knows no other holder and reserved the key.

    Attributes:
        key: The key.
        epoch: Number of the epoch in which the receiver asked.
        runner: The member that the key is reserved for.
    """

    key: KeyDigest
    epoch: int
    runner: identifiers.MemberId


Message = Claim | Granted | Held | Refused | Inquiry | Reserved
