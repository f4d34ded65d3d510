"""A flow as the agent beside its backend server tracks it."""

from __future__ import annotations

import enum

import msgspec

from cactushall_core import addresses
from cactushall_core.flows import packets, requests


class State(enum.Enum):
    """State of a flow at its agent.

    OPENING_DELIVERED: The opening packet was delivered and is not answered yet.
    OPENING_ANSWERED: The backend server has answered the opening packet.
    ESTABLISHED: The backend server holds the flow.
    PROBED: A packet was delivered to find out whether the backend server holds the
        flow.
    """

    OPENING_DELIVERED = "opening-delivered"
    OPENING_ANSWERED = "opening-answered"
    ESTABLISHED = "established"
    PROBED = "probed"


class Flow(msgspec.Struct):
    """One flow as an agent tracks it.

    Attributes:
        state: Its state.
        entry: Peer address of the entry that sent its latest packet.
        last_packet_at: When its latest packet arrived.
        opening_sequence: Sequence number of the opening packet, None where it was not
            seen.
        server_sequence: Initial sequence number of the backend server.
        acknowledged: The caller's latest acknowledgement number.
        progress: Progress of its current request.
        is_closing: Whether the caller or the backend server has closed it.
    """

    state: State
    entry: addresses.Address
    last_packet_at: float
    opening_sequence: int | None = None
    server_sequence: int = 0
    acknowledged: int = 0
    progress: requests.RequestProgress = msgspec.field(
        default_factory=requests.RequestProgress
    )
    is_closing: bool = False


class QueuedOpening(msgspec.Struct, frozen=True):
    """An opening packet that is queued until the agent has its first configuration.

    Attributes:
        packet: The packet.
        entry: Peer address of the entry that sent it.
        arrived_at: When it arrived.
    """

    packet: packets.Packet
    entry: addresses.Address
    arrived_at: float


def proves_open_flow(packet: packets.Packet) -> bool:
    """Return whether a backend server's packet shows that it holds an open flow.

    A packet without data may acknowledge the end of a flow that it does not hold.
    """
    is_data = packet.length > 0
    return is_data and not packet.flags & (packets.Flags.SYN | packets.CLOSING_FLAGS)


def is_probe_reset(packet: packets.Packet, flow: Flow | None) -> bool:
    """Return whether a packet is the backend server's reset in answer to a probe.

    Another backend server may hold the flow, so the caller must not get the reset.
    """
    is_probed = flow is not None and flow.state is State.PROBED
    return is_probed and bool(packet.flags & packets.Flags.RST)


def is_answered(flow: Flow | None, packet: packets.Packet) -> bool:
    """Return whether the backend server has answered this opening packet."""
    if flow is None or is_port_reused(flow, packet):
        return False
    return flow.state is not State.OPENING_DELIVERED


def is_port_reused(flow: Flow, packet: packets.Packet) -> bool:
    """Return whether an opening packet reuses the port of a tracked flow."""
    if flow.state is State.PROBED:
        return True
    return (
        flow.opening_sequence is not None and flow.opening_sequence != packet.sequence
    )
