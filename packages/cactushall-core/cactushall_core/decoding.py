"""Decoding of bytes that another process has written."""

from __future__ import annotations

import typing

import msgspec

from cactushall_core import exceptions

# The largest integer that messages between nodes can carry.
MAX_INTEGER = 2**63 - 1

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]

MessageT = typing.TypeVar("MessageT")
DecodedT = typing.TypeVar("DecodedT", covariant=True)


class Decoder(typing.Protocol[DecodedT]):
    """A decoder of one type of message, such as those of msgspec."""

    def decode(self, data: bytes, /) -> DecodedT:
        """Return the decoded message."""


def decode(decoder: Decoder[MessageT], data: bytes) -> MessageT:
    """Decode a message.

    Args:
        decoder: Decodes the type that is expected.
        data: The encoded message.

    Raises:
        DecodeError: The data is not such a message, or too deeply nested.
    """
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise exceptions.DecodeError(str(error)) from error
