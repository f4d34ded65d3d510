"""Packets between callers and backend servers, as far as decisions need them."""

from __future__ import annotations

import enum
import ipaddress
import typing

SEQUENCE_MODULUS = 1 << 32
# How long a caller repeats its opening packet.
OPENING_SECONDS = 1.4


class Flags(enum.IntFlag):
    """What a packet is for."""

    NONE = 0
    SYN = 1
    ACK = 2
    FIN = 4
    RST = 8
    BOUNCED = 16


class FlowId(typing.NamedTuple):
    """The two ends of a flow; IPv4 addresses as numbers in host order."""

    caller_host: int
    caller_port: int
    service_host: int
    service_port: int

    def __str__(self) -> str:
        """Return ``caller>service address``."""
        caller = ipaddress.IPv4Address(self.caller_host)
        service = ipaddress.IPv4Address(self.service_host)
        return f"{caller}:{self.caller_port}>{service}:{self.service_port}"


class Packet(typing.NamedTuple):
    """The head of one packet.

    Attributes:
        flow: The flow it belongs to.
        flags: What it is for.
        sequence: Number of the sender's first byte in it.
        acknowledgement: Number of the next byte that the sender expects, or how
            often a SYN was repeated.
        length: Bytes of data.
        datagram: The whole packet as it arrived.
    """

    flow: FlowId
    flags: int
    sequence: int
    acknowledgement: int
    length: int
    datagram: bytes

    @property
    def is_opening(self) -> bool:
        """Whether it asks for a new flow."""
        return self.flags & (Flags.SYN | Flags.ACK) == Flags.SYN

    @property
    def is_bounced(self) -> bool:
        """Whether a backend server has returned it."""
        return bool(self.flags & Flags.BOUNCED)


def distance(newer: int, older: int) -> int:
    """Return how far one sequence number is past another, modulo 2^32."""
    return (newer - older) % SEQUENCE_MODULUS
