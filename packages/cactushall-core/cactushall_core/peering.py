"""Messages between the agents of one service, and their codec.

They arrive at the same port as tunnel datagrams, from which the version in the first
4 bits distinguishes them.
"""

from __future__ import annotations

import msgspec

from cactushall_core import identifiers, keys, signed_datagram
from cactushall_core.once import messages

VERSION = 2

_KEY_CONTEXT = b"peering"


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The measured load of one endpoint.

    Attributes:
        service: The service.
        home: The endpoint.
        flows: Open flows.
        connection_limit: Maximum number of open flows.
        running: Requests that its backend server runs.
        queued: Requests that wait for a slot.
        slots: Maximum number of running requests.
        service_seconds: Its measured service time, 0 before it is known.
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
    """A load report, with the epoch and the timestamps for at-most-once execution.

    Attributes:
        load: The sender's load.
        epoch: Number of the epoch that the sender confirms.
        sent_at: Time of sending in seconds, by the sender's clock.
        echoed_sent_at: `sent_at` of the last heartbeat from the receiver, 0 if none.
    """

    load: LoadReport
    epoch: int
    sent_at: float
    echoed_sent_at: float


Body = Heartbeat | messages.Message


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One message between agents.

    Attributes:
        sender: The agent that sends it.
        service: The service that it belongs to.
        body: Its content.
    """

    sender: identifiers.MemberId
    service: identifiers.ServiceName
    body: Body


def make_authenticator(key_ring: tuple[keys.Key, ...]) -> keys.Authenticator:
    """Return the authenticator of messages between agents."""
    return keys.Authenticator(
        key_ring, keys.Purpose.TUNNEL, _KEY_CONTEXT, signed_datagram.TAG_BYTES
    )


_decoder = msgspec.msgpack.Decoder(Packet)


def is_peering_message(datagram: bytes) -> bool:
    """Return whether a datagram at the tunnel port is a message between agents."""
    return signed_datagram.version_of(datagram) == VERSION


def encode(authenticator: keys.Authenticator, message: Packet) -> bytes:
    """Encode one message."""
    return signed_datagram.encode(authenticator, VERSION, message)


def decode(authenticator: keys.Authenticator, datagram: bytes) -> Packet:
    """Decode and verify one message.

    Raises:
        DecodeError: The message is malformed.
        AuthenticationError: The authentication tag is invalid.
    """
    return signed_datagram.decode(authenticator, VERSION, datagram, _decoder)
