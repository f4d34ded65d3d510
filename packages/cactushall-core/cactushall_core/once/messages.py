"""Messages about idempotency keys between the members of a service."""

from __future__ import annotations

import hashlib
import typing

import msgspec

from cactushall_core import identifiers

KeyDigest = typing.NewType("KeyDigest", bytes)

DIGEST_BYTES = 16


def digest(key: bytes) -> KeyDigest:
    """Return what stands for an idempotency key in messages and tables."""
    return KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest())


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Asks the key's registrar for leave to run it.

    Attributes:
        key: The key.
        epoch: Number of the sender's epoch.
        released_by: A member that held the key and has told the sender that it
            never ran and never will there.
    """

    key: KeyDigest
    epoch: int
    released_by: identifiers.MemberId | None = None


class Granted(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The receiver may run the key."""

    key: KeyDigest
    epoch: int


class Held(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The key belongs to a member already."""

    key: KeyDigest
    epoch: int
    holder: identifiers.MemberId


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """The sender cannot tell whether the key has run.

    Attributes:
        key: The key.
        epoch: Number of the receiver's epoch.
        is_stale: Whether that is only since the epochs of the two differ.
    """

    key: KeyDigest
    epoch: int
    is_stale: bool = False


class Inquiry(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Asks a member what it knows of a key, or to bar it in a runner's favour.

    Attributes:
        key: The key.
        epoch: Number of the sender's epoch.
        runner: In whose favour the key is to be barred.
        released_by: A member that has told the runner that the key never ran and
            never will there.
    """

    key: KeyDigest
    epoch: int
    runner: identifiers.MemberId
    released_by: identifiers.MemberId | None = None


class Clear(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """The sender knew nothing of the key and now bars it for all but the runner."""

    key: KeyDigest
    epoch: int
    runner: identifiers.MemberId


Message = Claim | Granted | Held | Refused | Inquiry | Clear
