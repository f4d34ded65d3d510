"""Datagrams of a version byte, an authentication tag and a MessagePack body."""

from __future__ import annotations

import typing

import msgspec

from cactushall_core import exceptions, keys

TAG_BYTES = 8
HEADER_BYTES = 1 + TAG_BYTES

MessageT = typing.TypeVar("MessageT")

_encoder = msgspec.msgpack.Encoder()


def version_of(datagram: bytes) -> int | None:
    """Return the version in a datagram, None for an empty one."""
    return datagram[0] >> 4 if datagram else None


def seal(authenticator: keys.Authenticator, version: int, message: object) -> bytes:
    """Encode and sign a message.

    Args:
        authenticator: Signs the message.
        version: Version of the message's protocol, 0 to 15.
        message: A structure that MessagePack can encode.
    """
    body = _encoder.encode(message)
    head = bytes([version << 4 | authenticator.signing_key_id])
    return head + authenticator.sign(body) + body


def unseal(
    authenticator: keys.Authenticator,
    version: int,
    datagram: bytes,
    decoder: msgspec.msgpack.Decoder[MessageT],
) -> MessageT:
    """Verify and decode a message.

    Args:
        authenticator: Verifies the tag.
        version: The expected version.
        datagram: What was received.
        decoder: Decodes the body.

    Raises:
        DecodeError: The datagram is malformed.
        AuthenticationError: The tag does not fit.
    """
    if len(datagram) <= HEADER_BYTES or version_of(datagram) != version:
        raise exceptions.DecodeError("not a datagram of this protocol")
    body = datagram[HEADER_BYTES:]
    tag = datagram[1:HEADER_BYTES]
    if not authenticator.verify(datagram[0] & 0x0F, body, tag):
        raise exceptions.AuthenticationError("tag does not fit")
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise exceptions.DecodeError(str(error)) from error
