"""Codec of the datagrams that carry a caller's packet from an entry to an agent.

Layout::

    byte 0       version (high 4 bits), key id (low 4 bits)
    byte 1       hops (high 4 bits), length of the caller's IP address (low 4 bits)
    bytes 2-5    home id, big endian
    bytes 6-7    caller's port, big endian
    then         caller's IP address, 4 or 16 bytes
    then         authentication tag, 8 bytes
    then         the caller's packet

The tag covers everything before it, the packet's length and its first 32 bytes. QUIC
protects the rest of the packet end to end.

The home id also identifies the service, which is therefore not transmitted.
"""

from __future__ import annotations

import socket
import struct

import msgspec

from cactushall_core import addresses, exceptions, identifiers, keys

VERSION = 1
TAG_BYTES = 8
MAX_HOPS = 2
AUTHENTICATED_PAYLOAD_BYTES = 32

_FIXED_HEADER = struct.Struct("!BBIH")
_IPV4_BYTES = 4
_IPV6_BYTES = 16


class Envelope(msgspec.Struct, frozen=True):
    """A caller's packet on its way to an agent.

    Attributes:
        home: The endpoint that the packet is meant for.
        hops: Number of agents that have forwarded the packet.
        caller: The caller's address.
        payload: The caller's packet, unchanged.
    """

    home: identifiers.HomeId
    hops: int
    caller: addresses.Address
    payload: bytes


def make_authenticator(key_ring: tuple[keys.Key, ...]) -> keys.Authenticator:
    """Return the authenticator of tunnel datagrams."""
    return keys.Authenticator(key_ring, keys.Purpose.TUNNEL, b"", TAG_BYTES)


def encode(
    authenticator: keys.Authenticator,
    home: identifiers.HomeId,
    hops: int,
    caller: tuple[str, int],
    payload: bytes,
) -> bytes:
    """Encode one datagram.

    Args:
        authenticator: Signs the datagram.
        home: The endpoint that the packet is meant for.
        hops: Number of agents that have forwarded the packet.
        caller: The caller's numeric IP address and port.
        payload: The caller's packet.
    """
    host = caller[0]
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    packed_host = socket.inet_pton(family, host)
    header = _FIXED_HEADER.pack(
        VERSION << 4 | authenticator.signing_key_id,
        hops << 4 | len(packed_host) & 0x0F,
        home,
        caller[1],
    )
    tag = authenticator.sign(_authenticated_part(header + packed_host, payload))
    return b"".join((header, packed_host, tag, payload))


def decode(authenticator: keys.Authenticator, datagram: bytes) -> Envelope:
    """Decode and verify one datagram.

    Raises:
        DecodeError: The datagram is malformed.
        AuthenticationError: The authentication tag is invalid.
    """
    if len(datagram) < _FIXED_HEADER.size:
        raise exceptions.DecodeError("datagram is too short")
    first, second, home, port = _FIXED_HEADER.unpack_from(datagram)
    if first >> 4 != VERSION:
        raise exceptions.DecodeError(f"unknown version {first >> 4}")
    address_bytes = _IPV4_BYTES if second & 0x0F == _IPV4_BYTES else _IPV6_BYTES
    tag_start = _FIXED_HEADER.size + address_bytes
    payload_start = tag_start + TAG_BYTES
    if len(datagram) <= payload_start:
        raise exceptions.DecodeError("datagram is too short")
    payload = datagram[payload_start:]
    authenticated = _authenticated_part(datagram[:tag_start], payload)
    if not authenticator.verify(
        first & 0x0F, authenticated, datagram[tag_start:payload_start]
    ):
        raise exceptions.AuthenticationError("authentication tag is invalid")
    family = socket.AF_INET if address_bytes == _IPV4_BYTES else socket.AF_INET6
    host = socket.inet_ntop(family, datagram[_FIXED_HEADER.size : tag_start])
    caller = addresses.Address(host, port)
    return Envelope(identifiers.HomeId(home), second >> 4, caller, payload)


def _authenticated_part(head: bytes, payload: bytes) -> bytes:
    length = len(payload).to_bytes(2, "big")
    return b"".join((head, length, payload[:AUTHENTICATED_PAYLOAD_BYTES]))
