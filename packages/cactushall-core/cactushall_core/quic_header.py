"""The version-independent part of QUIC packet headers (RFC 8999)."""

from __future__ import annotations

import msgspec

from cactushall_core import connection_id

LONG_HEADER_BIT = 0x80
FIXED_BIT = 0x40
MAX_CONNECTION_ID_BYTES = 20
MIN_INITIAL_DATAGRAM_BYTES = 1200
MIN_SHORT_PACKET_BYTES = 1 + connection_id.LENGTH_BYTES + 1 + 16

_LONG_CID_LENGTH_OFFSET = 5
_LONG_CID_OFFSET = 6
_PACKET_TYPE_MASK = 0x30
_VERSION_NEGOTIATION = bytes(4)
_VERSION_1 = b"\x00\x00\x00\x01"
_VERSION_2 = b"\x6b\x33\x43\xcf"
_INITIAL_TYPES = {_VERSION_1: 0x00, _VERSION_2: 0x10}


class Header(msgspec.Struct, frozen=True, gc=False):
    """Fields of a QUIC packet that a load balancer may read.

    Attributes:
        is_long: Whether the packet has a long header.
        is_initial: Whether the packet may open a connection.
        is_version_unknown: Whether the packet may open a connection of an
            unsupported QUIC version.
        destination_cid: The destination connection id.
    """

    is_long: bool
    is_initial: bool
    is_version_unknown: bool
    destination_cid: bytes


def parse(datagram: bytes | memoryview) -> Header | None:
    """Parse the first packet of a datagram.

    Args:
        datagram: The payload of a UDP datagram.

    Returns:
        The header, or None where the datagram cannot be a QUIC packet with a
        connection id of this length.
    """
    if not datagram:
        return None
    first = datagram[0]
    if first & LONG_HEADER_BIT:
        return _parse_long(datagram, first)
    if not first & FIXED_BIT or len(datagram) < MIN_SHORT_PACKET_BYTES:
        return None
    return Header(
        False, False, False, bytes(datagram[1 : 1 + connection_id.LENGTH_BYTES])
    )


def _parse_long(datagram: bytes | memoryview, first: int) -> Header | None:
    if len(datagram) <= _LONG_CID_OFFSET:
        return None
    length = datagram[_LONG_CID_LENGTH_OFFSET]
    end = _LONG_CID_OFFSET + length
    if length > MAX_CONNECTION_ID_BYTES or len(datagram) <= end:
        return None
    version = bytes(datagram[1:_LONG_CID_LENGTH_OFFSET])
    initial_type = _INITIAL_TYPES.get(version)
    is_large = len(datagram) >= MIN_INITIAL_DATAGRAM_BYTES
    is_initial = is_large and first & _PACKET_TYPE_MASK == initial_type
    is_version_unknown = (
        is_large and initial_type is None and version != _VERSION_NEGOTIATION
    )
    cid = bytes(datagram[_LONG_CID_OFFSET:end])
    return Header(True, is_initial, is_version_unknown, cid)
