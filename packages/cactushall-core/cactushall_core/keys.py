"""Derived keys and message authentication tags, with key rotation."""

from __future__ import annotations

import enum
import hashlib
import hmac

import msgspec

KEY_BYTES = 32
MAX_KEYS = 2
KEY_ID_BYTES = 1


class Purpose(enum.Enum):
    """What a derived key is used for; each purpose has its own key."""

    CONNECTION_ID = b"conn-id"
    STATELESS_RESET = b"reset"
    TUNNEL = b"tunnel"
    GOSSIP = b"gossip"


class Key(msgspec.Struct, frozen=True):
    """A secret key from the settings.

    Attributes:
        id: 4 bits of the secret's hash; messages carry them to select the key.
        secret: 32 bytes.
    """

    id: int
    secret: bytes


def make_key(secret: bytes) -> Key:
    """Make a key from a secret of 32 bytes.

    Raises:
        ValueError: The secret has a different length.
    """
    if len(secret) != KEY_BYTES:
        raise ValueError(f"a key has {KEY_BYTES} bytes, not {len(secret)}")
    digest = hashlib.blake2s(secret, person=b"key-id", digest_size=KEY_ID_BYTES)
    return Key(digest.digest()[0] & 0x0F, secret)


class Authenticator:
    """Computes and verifies tags for one purpose and one context.

    Two keys may be valid at once: the first signs, both verify.
    """

    def __init__(
        self, keys: tuple[Key, ...], purpose: Purpose, context: bytes, tag_bytes: int
    ) -> None:
        """Derive a key from each valid key.

        Args:
            keys: The valid keys, the signing key first.
            purpose: What the tags protect.
            context: What the tags are bound to, for example one service.
            tag_bytes: Length of a tag.
        """
        self._tag_bytes = tag_bytes
        self._signing_key_id = keys[0].id
        self._keyed_hashes = {
            key.id: _derive_keyed_hash(key, purpose, context, tag_bytes)
            for key in reversed(keys)
        }

    @property
    def signing_key_id(self) -> int:
        """Id of the key that signs."""
        return self._signing_key_id

    def sign(self, data: bytes | memoryview) -> bytes:
        """Return the tag of data under the signing key."""
        return self.sign_with(self._signing_key_id, data)

    def sign_with(self, key_id: int, data: bytes | memoryview) -> bytes:
        """Return the tag of data under the key with the given id.

        Raises:
            KeyError: No valid key has this id.
        """
        keyed_hash = self._keyed_hashes[key_id].copy()
        keyed_hash.update(data)
        return keyed_hash.digest()

    def verify(self, key_id: int, data: bytes | memoryview, tag: bytes) -> bool:
        """Return whether a tag is valid for data under the key with the given id.

        No tag is valid under an unknown key.
        """
        keyed_hash = self._keyed_hashes.get(key_id)
        if keyed_hash is None:
            return False
        keyed_hash = keyed_hash.copy()
        keyed_hash.update(data)
        return hmac.compare_digest(keyed_hash.digest(), tag)


def _derive_keyed_hash(
    key: Key, purpose: Purpose, context: bytes, tag_bytes: int
) -> hashlib.blake2s:
    derived = hashlib.blake2s(context, key=key.secret, person=purpose.value)
    return hashlib.blake2s(key=derived.digest(), digest_size=tag_bytes)
