"""What entries and agents decide to do; daemons carry it out."""

from __future__ import annotations

import enum
import typing

from cactushall_core import addresses
from cactushall_core.flows import messages, packets


class Reason(enum.Enum):
    """Why a flow is refused or a packet dropped."""

    NO_ROUTE = "no-route"
    NO_SERVER = "no-server"
    NO_CAPACITY = "no-capacity"
    HELD_BY_NOBODY = "held-by-nobody"
    SERVER_LOST_FLOW = "server-lost-flow"
    BUFFER_FULL = "buffer-full"
    STRAY = "stray"
    STALE = "stale"


class Forward(typing.NamedTuple):
    """Send a packet on, unchanged, to an agent."""

    address: addresses.Address
    datagram: bytes


class Deliver(typing.NamedTuple):
    """Hand a packet to the backend server beside this agent."""

    datagram: bytes


class Return(typing.NamedTuple):
    """Send a backend server's packet to the caller."""

    flow: packets.FlowId
    datagram: bytes


class Reset(typing.NamedTuple):
    """Tell the caller at once that its flow does not exist.

    Attributes:
        flow: The flow.
        sequence: What the caller acknowledged last.
        reason: Why.
    """

    flow: packets.FlowId
    sequence: int
    reason: Reason


class Tell(typing.NamedTuple):
    """Send a message to another node of cactushall."""

    address: addresses.Address
    message: messages.Message


class Drop(typing.NamedTuple):
    """Let a packet go."""

    flow: packets.FlowId
    reason: Reason


Action = Forward | Deliver | Return | Reset | Tell | Drop
