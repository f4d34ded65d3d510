"""Codec of signed datagrams.

Layout::

    byte 0       version (high 4 bits), key id (low 4 bits)
    bytes 1-8    authentication tag over the body
    then         body, MessagePack
"""

from __future__ import annotations

import typing

import msgspec

from cactushall_core import decoding, exceptions, keys

TAG_BYTES = 8
HEADER_BYTES = 1 + TAG_BYTES

MessageT = typing.TypeVar("MessageT")

_encoder = msgspec.msgpack.Encoder()


def version_of(datagram: bytes) -> int | None:
    """Return the protocol version of a datagram, None for an empty one."""
    return datagram[0] >> 4 if datagram else None


def encode(authenticator: keys.Authenticator, version: int, message: object) -> bytes:
    """Encode and sign a message.

    Args:
        authenticator: Signs the message.
        version: Version of the message's protocol, 0 to 15.
        message: A structure that MessagePack can encode.
    """
    body = _encoder.encode(message)
    head = bytes([version << 4 | authenticator.signing_key_id])
    return head + authenticator.sign(body) + body


def decode(
    authenticator: keys.Authenticator,
    version: int,
    datagram: bytes,
    decoder: msgspec.msgpack.Decoder[MessageT],
) -> MessageT:
    """Verify and decode a message.

    Args:
        authenticator: Verifies the tag.
        version: The expected version.
        datagram: The received datagram.
        decoder: Decodes the body.

    Raises:
        DecodeError: The datagram is malformed.
        AuthenticationError: The authentication tag is invalid.
    """
    if len(datagram) <= HEADER_BYTES or version_of(datagram) != version:
        raise exceptions.DecodeError("not a datagram of this protocol")
    body = datagram[HEADER_BYTES:]
    tag = datagram[1:HEADER_BYTES]
    if not authenticator.verify(datagram[0] & 0x0F, body, tag):
        raise exceptions.AuthenticationError("authentication tag is invalid")
    return decoding.decode(decoder, body)
