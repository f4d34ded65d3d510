"""The packets of flows, as the two ends write them."""

from __future__ import annotations

import socket
import struct
import typing
import zlib

HEADER = struct.Struct("<IIIIBBHHIHI")
SYN, ACK, FIN, RST, BOUNCED = 2, 64, 1, 128, 32
FLAGS_OFFSET = 16
PAD_OFFSET = 17
MODULUS = 1 << 32
MAX_DATA_BYTES = 1200
RESET_WINDOW_BYTES = 76_800
_KEY = b"known to the two ends only"

End = tuple[str, int]


class Packet(typing.NamedTuple):
    """One packet.

    Attributes:
        source: Address and port of the sender's end.
        target: Address and port of the other end.
        flags: Its flags.
        seq: Sequence number.
        ack: Acknowledgement number; in an opening packet the number of the copy.
        data: Its data.
        total: Its keyed sum.
    """

    source: End
    target: End
    flags: int
    seq: int
    ack: int
    data: bytes
    total: int

    @property
    def is_sound(self) -> bool:
        """Whether it is as its sender wrote it."""
        return self.total == _sum(
            self.source, self.target, self.flags, self.seq, self.ack, self.data
        )

    @property
    def is_system_reset(self) -> bool:
        """Whether it has the form of a reset of the system's own."""
        return self.flags == RST and self.total == 0 and not self.data


def _sum(source: End, target: End, flags: int, seq: int, ack: int, data: bytes) -> int:
    text = repr((source, target, flags & ~BOUNCED, seq, ack)).encode()
    return zlib.crc32(data, zlib.crc32(text, zlib.crc32(_KEY))) or 1


def _number(host: str) -> int:
    return int.from_bytes(socket.inet_aton(host), "big")


def _host(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def encode(
    source: End, target: End, flags: int, seq: int, ack: int, data: bytes = b""
) -> bytes:
    """Encode a packet.

    Args:
        source: Address and port of the sender's end.
        target: Address and port of the other end.
        flags: Its flags.
        seq: Sequence number.
        ack: Acknowledgement number.
        data: Its data.
    """
    seq %= MODULUS
    ack %= MODULUS
    total = _sum(source, target, flags, seq, ack, data)
    header = HEADER.pack(
        seq,
        ack,
        0,
        total,
        flags,
        0,
        len(data),
        target[1],
        _number(target[0]),
        source[1],
        _number(source[0]),
    )
    return header + data


def decode(datagram: bytes) -> Packet:
    """Decode a packet."""
    seq, ack, _, total, flags, _, length, dport, dst, sport, src = HEADER.unpack_from(
        datagram
    )
    data = datagram[HEADER.size : HEADER.size + length]
    return Packet(
        (_host(src), sport), (_host(dst), dport), flags, seq, ack, data, total
    )


def bounce(datagram: bytes) -> bytes:
    """Return a packet as an endpoint returns it to the system."""
    bounced = bytearray(datagram)
    bounced[FLAGS_OFFSET] |= BOUNCED
    bounced[PAD_OFFSET] = 0
    return bytes(bounced)


def distance(newer: int, older: int) -> int:
    """Return how far a sequence number is ahead of another one."""
    return (newer - older) % MODULUS
