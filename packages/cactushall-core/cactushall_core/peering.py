"""Messages between the agents of one service, and their codec.

They share the tunnel's port; the version nibble tells them apart.
"""

from __future__ import annotations

import msgspec

from cactushall_core import identifiers, keys, sealing
from cactushall_core.once import messages

VERSION = 2

_CONTEXT = b"peering"


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The true load of one endpoint.

    Attributes:
        service: The service.
        home: The endpoint.
        flows: Open flows.
        connection_limit: Most flows that it holds.
        running: Requests that run.
        queued: Requests that wait.
        slots: Requests that it runs at once.
        service_seconds: Its measured service time, 0 before the first request.
        is_draining: Whether it takes no new work.
    """

    service: identifiers.ServiceName
    home: identifiers.HomeId
    flows: int
    connection_limit: int
    running: int
    queued: int
    slots: int
    service_seconds: float
    is_draining: bool


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A load report with what the at-most-once rule needs.

    Attributes:
        load: The sender's load.
        epoch: Number of the epoch that the sender vouches for.
        stamp: The sender's time.
        echo: Stamp of the last heartbeat from the receiver, 0 where there is none.
    """

    load: LoadReport
    epoch: int
    stamp: float
    echo: float


Body = Heartbeat | messages.Message


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One message between agents.

    Attributes:
        sender: The agent that sends it.
        service: The service that it is about.
        body: What it says.
    """

    sender: identifiers.MemberId
    service: identifiers.ServiceName
    body: Body


def make_authenticator(ring: tuple[keys.Key, ...]) -> keys.Authenticator:
    """Return the authenticator of these messages."""
    return keys.Authenticator(ring, keys.Purpose.TUNNEL, _CONTEXT, sealing.TAG_BYTES)


_decoder = msgspec.msgpack.Decoder(Packet)


def is_peer_message(datagram: bytes) -> bool:
    """Tell whether a datagram at the tunnel's port is one of these messages."""
    return sealing.version_of(datagram) == VERSION


def encode(authenticator: keys.Authenticator, packet: Packet) -> bytes:
    """Encode one message."""
    return sealing.seal(authenticator, VERSION, packet)


def decode(authenticator: keys.Authenticator, datagram: bytes) -> Packet:
    """Decode and verify one message.

    Raises:
        DecodeError: The message is malformed.
        AuthenticationError: The tag does not fit.
    """
    return sealing.unseal(authenticator, VERSION, datagram, _decoder)
