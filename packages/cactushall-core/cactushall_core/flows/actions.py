"""What entries and agents decide to do; daemons carry it out."""

from __future__ import annotations

import enum
import typing

import msgspec

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


class Latency(enum.Enum):
    """What is measured.

    FLOW_OPENED: From an opening packet at the entry until a backend server has it.
    REQUEST_ANSWERED: From a request until the first packet of its answer, both at the
        agent.
    """

    FLOW_OPENED = "flow_opened"
    REQUEST_ANSWERED = "request_answered"


class Placement(msgspec.Struct, frozen=True):
    """Why an opening packet goes to an agent.

    Attributes:
        flow: The new flow.
        copy: How often its caller has repeated the packet.
        tries: Agents that it was sent to before.
        waited_seconds: Time since its first packet came.
        requests: Requests that the agent's server is believed to have.
        load_age_seconds: How old the load is on which that rests; infinite where the
            agent has never told any.
    """

    flow: packets.FlowId
    copy: int
    tries: int
    waited_seconds: float
    requests: float
    load_age_seconds: float


class Unplaced(msgspec.Struct, frozen=True):
    """Why a new flow is refused.

    Attributes:
        agents: Agents that take flows of its service and have not declined it.
        tries: Agents that it was sent to.
        waited_seconds: Time since its first packet came.
    """

    agents: int
    tries: int
    waited_seconds: float


class Denied(msgspec.Struct, frozen=True):
    """Why it is certain that nobody holds a flow.

    Attributes:
        denied: Members that have said that they do not hold it.
        gone: Members that may have held it and have gone.
        asked_seconds: Time since they were first asked.
    """

    denied: int
    gone: int
    asked_seconds: float


class Forward(typing.NamedTuple):
    """Send a packet on, unchanged, to an agent.

    Attributes:
        address: The agent's packet address.
        datagram: The packet.
        placement: Why there, where the packet opens a flow.
    """

    address: addresses.Address
    datagram: bytes
    placement: Placement | None = None


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
        evidence: What the decision rests on, where there is more to say.
    """

    flow: packets.FlowId
    sequence: int
    reason: Reason
    evidence: Unplaced | Denied | None = None


class Tell(typing.NamedTuple):
    """Send a message to another node of cactushall."""

    address: addresses.Address
    message: messages.Message


class Drop(typing.NamedTuple):
    """Let a packet go."""

    flow: packets.FlowId
    reason: Reason


class Measured(typing.NamedTuple):
    """Note how long something took."""

    kind: Latency
    seconds: float


Action = Forward | Deliver | Return | Reset | Tell | Drop | Measured
