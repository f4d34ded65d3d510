"""The parts of callers' and backend servers' packets that decisions need."""

from __future__ import annotations

import struct
import typing

SEQUENCE_MODULUS = 1 << 32
# How long a caller retransmits its opening packet.
OPENING_TIMEOUT_SECONDS = 1.4


class Flags:
    """Flags as in TCP; BOUNCED marks a packet that a backend server returned.

    They are plain integers, because they are combined and tested for each packet.
    """

    NONE: typing.Final = 0
    SYN: typing.Final = 1
    ACK: typing.Final = 2
    FIN: typing.Final = 4
    RST: typing.Final = 8
    BOUNCED: typing.Final = 16


CLOSING_FLAGS = Flags.FIN | Flags.RST
_OPENING_MASK = Flags.SYN | Flags.ACK
_FLOW_LAYOUT = struct.Struct("!IHIH")


class FlowId(typing.NamedTuple):
    """Both addresses and ports of a flow; IPv4 addresses are integers in host order."""

    caller_host: int
    caller_port: int
    service_host: int
    service_port: int

    def encode(self) -> bytes:
        """Return the bytes that hashes of a flow are made from."""
        return _FLOW_LAYOUT.pack(*self)

    def __str__(self) -> str:
        """Return ``caller>service address``."""
        caller = _format_host(self.caller_host)
        service = _format_host(self.service_host)
        return f"{caller}:{self.caller_port}>{service}:{self.service_port}"


class Packet(typing.NamedTuple):
    """The header of one packet, and its bytes.

    Attributes:
        flow: The flow it belongs to.
        flags: Its flags.
        sequence: Sequence number of its first byte.
        acknowledgement: Sequence number of the next byte that the sender expects; in
            an opening packet, how often it was retransmitted.
        length: Length of the payload in bytes.
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
        """Whether it opens a new flow."""
        return self.flags & _OPENING_MASK == Flags.SYN

    @property
    def is_bounced(self) -> bool:
        """Whether a backend server has returned it unhandled."""
        return bool(self.flags & Flags.BOUNCED)


def _format_host(host: int) -> str:
    """Return the dotted form; each log line of a flow has two of them."""
    return f"{host >> 24 & 255}.{host >> 16 & 255}.{host >> 8 & 255}.{host & 255}"


def sequence_distance(newer: int, older: int) -> int:
    """Return how far one sequence number is ahead of another, modulo 2^32."""
    return (newer - older) % SEQUENCE_MODULUS
