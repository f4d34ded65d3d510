"""Messages between entries and agents about flows, and their codec."""

from __future__ import annotations

import enum
import typing

import msgspec
from msgspec import structs

from cactushall_core import addresses, identifiers, keys, signed_datagram, traffic
from cactushall_core.flows import packets

VERSION = 3
# Sender of a message of a release that does not tell it.
NO_SENDER = identifiers.MemberId(0)


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of an agent's backend server.

    Attributes:
        flows: Number of flows that its agent tracks.
        requests: Number of pending requests, queued or running.
        slots: Number of requests that it runs concurrently.
        service_seconds: Moving average of the time that a request takes in a slot, 0 if
            unknown.
        failure_share: Moving average of the share of requests that it failed.
        cold_allowance: Requests that it may still get at once while it is cold;
            negative for no limit.
    """

    flows: int
    requests: int
    slots: int
    service_seconds: float
    failure_share: float = 0.0
    cold_allowance: float = -1.0


class Refusal(enum.Enum):
    """Why an agent declined a new flow."""

    NO_ROUTE = "no-route"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    FULL = "full"


class LookupRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks an agent to deliver a packet and reply whether it owns the packet's flow.

    Attributes:
        datagram: The packet.
    """

    datagram: bytes


class OwnershipConfirmed(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The sender owns the flow: its backend server holds it."""

    flow: packets.FlowId


class OwnershipDenied(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The sender certainly does not own the flow.

    Attributes:
        flow: The flow.
        sender: The process that denies.
    """

    flow: packets.FlowId
    sender: identifiers.MemberId = NO_SENDER

    @property
    def denied(self) -> tuple[packets.FlowId, ...]:
        """The flow, as in the answer to a query about several."""
        return (self.flow,)


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The sender's backend server has answered the opening packet of a flow.

    Attributes:
        flow: The flow.
        sequence: Initial sequence number of the backend server.
        load: The sender's load.
    """

    flow: packets.FlowId
    sequence: int
    load: Load


class Declined(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The sender declines a new flow.

    Attributes:
        flow: The flow.
        refusal: Why the flow is declined.
        revision: Revision of the routes that the sender uses.
        load: The sender's load.
    """

    flow: packets.FlowId
    refusal: Refusal
    revision: int
    load: Load


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Reports the sender's load."""

    load: Load


class OwnershipQuery(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks an agent which of some flows it owns."""

    flows: tuple[packets.FlowId, ...]


class OwnershipAnswer(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answers which flows the sender owns.

    Attributes:
        owned: Flows that its backend server holds.
        denied: Flows that it certainly does not own.
        undecided: Flows about which it cannot tell without a packet.
        sender: The process that answers.
    """

    owned: tuple[packets.FlowId, ...] = ()
    denied: tuple[packets.FlowId, ...] = ()
    undecided: tuple[packets.FlowId, ...] = ()
    sender: identifiers.MemberId = NO_SENDER


class RegisterFlows(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Registers flows that the sender owns with an entry, which others may ask."""

    flows: tuple[packets.FlowId, ...]


class OwnerQuery(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks an entry which agent owns a flow."""

    flow: packets.FlowId


class OwnerAnswer(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Tells an entry which agent probably owns a flow.

    Attributes:
        flow: The flow.
        owner: The agent's address for messages, None where the sender knows no owner.
    """

    flow: packets.FlowId
    owner: addresses.Address | None


class ReleaseFlow(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Tells an agent that a flow's caller has taken another backend server's answer.

    Attributes:
        flow: The flow.
        opening_sequence: Sequence number of its opening packet.
    """

    flow: packets.FlowId
    opening_sequence: int


class HeldFlows(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Part of the notice of an agent that leaves, of all flows its server may hold.

    Attributes:
        part: Number of this message, from 0.
        parts: Number of messages of the notice.
        hashes: Hashes of the flows, 4 bytes each.
        sender: The process that leaves.
    """

    part: int
    parts: int
    hashes: bytes
    sender: identifiers.MemberId = NO_SENDER


AgentMessage = (
    OwnershipConfirmed
    | OwnershipDenied
    | Accepted
    | Declined
    | LoadReport
    | OwnershipAnswer
    | RegisterFlows
    | HeldFlows
)
EntryMessage = LookupRequest | OwnershipQuery | OwnerQuery | OwnerAnswer | ReleaseFlow
Message = AgentMessage | EntryMessage

# Tuples of classes, for tests of each message by `isinstance`.
LOAD_MESSAGES = (LoadReport, Accepted, Declined)
ENTRY_MESSAGES = typing.get_args(EntryMessage)

# What one process knows of flows that its backend server does not hold: it is no
# evidence about an earlier or a later process at the same address.
Denial = OwnershipDenied | OwnershipAnswer | HeldFlows
DENIALS = typing.get_args(Denial)

KINDS = {
    Accepted: traffic.Kind.OPENING_ANSWERS,
    Declined: traffic.Kind.OPENING_ANSWERS,
    LoadReport: traffic.Kind.LOAD_REPORTS,
    OwnershipQuery: traffic.Kind.LOOKUP_QUESTIONS,
    OwnerQuery: traffic.Kind.LOOKUP_QUESTIONS,
    LookupRequest: traffic.Kind.LOOKUP_PACKETS,
    OwnershipConfirmed: traffic.Kind.LOOKUP_ANSWERS,
    OwnershipDenied: traffic.Kind.LOOKUP_ANSWERS,
    OwnershipAnswer: traffic.Kind.LOOKUP_ANSWERS,
    OwnerAnswer: traffic.Kind.LOOKUP_ANSWERS,
    RegisterFlows: traffic.Kind.REGISTRATIONS,
    ReleaseFlow: traffic.Kind.FLOW_NOTICES,
    HeldFlows: traffic.Kind.FLOW_NOTICES,
}

_decoder = msgspec.msgpack.Decoder(Message)


def make_authenticator(key_ring: tuple[keys.Key, ...]) -> keys.Authenticator:
    """Return the authenticator of messages about flows."""
    return keys.Authenticator(
        key_ring, keys.Purpose.TUNNEL, b"flows", signed_datagram.TAG_BYTES
    )


def tell_sender(message: Message, sender: identifiers.MemberId) -> Message:
    """Return a message that tells which process sends it, where that matters."""
    if not isinstance(message, DENIALS):
        return message
    told: Message = structs.replace(message, sender=sender)
    return told


def encode(authenticator: keys.Authenticator, message: Message) -> bytes:
    """Encode one message."""
    return signed_datagram.encode(authenticator, VERSION, message)


def decode(authenticator: keys.Authenticator, datagram: bytes) -> Message:
    """Decode and verify one message.

    Raises:
        DecodeError: The datagram is malformed.
        AuthenticationError: The authentication tag is invalid.
    """
    return signed_datagram.decode(authenticator, VERSION, datagram, _decoder)
