"""Actions that entries and agents decide on and daemons carry out."""

from __future__ import annotations

import enum
import typing

import msgspec

from cactushall_core import addresses
from cactushall_core.flows import messages, packets


class Reason(enum.Enum):
    """Why a flow is reset or a packet dropped.

    NO_ROUTE: No route leads from the service address.
    NO_SERVER: No backend server accepts new flows of the service.
    NO_CAPACITY: All backend servers of the service are at their limit.
    NO_OWNER: No backend server holds the flow.
    SERVER_LOST_FLOW: The backend server does not hold the flow any more.
    BUFFER_FULL: Too many packets wait for the lookup of the flow's owner.
    STRAY_RESET: The caller resets a flow whose owner is not known.
    STALE: The packet may have been queued while the process was paused.
    """

    NO_ROUTE = "no-route"
    NO_SERVER = "no-server"
    NO_CAPACITY = "no-capacity"
    NO_OWNER = "held-by-nobody"
    SERVER_LOST_FLOW = "server-lost-flow"
    BUFFER_FULL = "buffer-full"
    STRAY_RESET = "stray"
    STALE = "stale"


class RefusalCause(enum.Enum):
    """Why a new flow is refused.

    NO_ROUTE: No route leads from the service address.
    NO_SERVER: No backend server accepts it.
    QUEUE_FULL: The queue of its service is full, and it may not displace another flow.
    DISPLACED: A flow of a higher priority, or of a route within its share, has taken
        its place in the queue.
    TIMEOUT: No backend server has had capacity for it in time.
    FORESEEN: No backend server is expected to have capacity for it in time.
    """

    NO_ROUTE = "no-route"
    NO_SERVER = "no-server"
    QUEUE_FULL = "queue-full"
    DISPLACED = "displaced"
    TIMEOUT = "timeout"
    FORESEEN = "foreseen"


class Latency(enum.Enum):
    """Latencies that are measured.

    FLOW_OPENED: From an opening packet until the agent's acceptance, both at the
        entry.
    REQUEST_ANSWERED: From a request until the first packet of its answer, both at the
        agent.
    """

    FLOW_OPENED = "flow_opened"
    REQUEST_ANSWERED = "request_answered"


class DenialBasis(enum.Enum):
    """What an agent's denial that it owns a flow is based on.

    NEVER_TRACKED: The agent has seen all flows, and has not tracked this one.
    OTHER_CHOSEN: The caller took another backend server's answer.
    SERVER_DENIED: The backend server has returned or reset a packet of the flow.
    SERVER_GONE: The backend server is gone.
    """

    NEVER_TRACKED = "never-tracked"
    OTHER_CHOSEN = "other-chosen"
    SERVER_DENIED = "server-denied"
    SERVER_GONE = "server-gone"


class HedgeOutcome(enum.Enum):
    """What became of a second offer of an opening packet.

    OFFERED: The opening packet was offered to a second agent.
    WON: The caller took the answer of the second agent's backend server.
    LOST: The caller took another answer, or the second agent declined.
    LATE: Both backend servers had answered before the loser was told.
    WITHHELD: The limit did not allow the offer.
    """

    OFFERED = "offered"
    WON = "won"
    LOST = "lost"
    LATE = "late"
    WITHHELD = "withheld"


class Placement(msgspec.Struct, frozen=True):
    """What the choice of an agent for an opening packet was based on.

    Attributes:
        flow: The new flow.
        copy: How often its caller has retransmitted the packet.
        tries: Number of agents that it was sent to before.
        waited_seconds: Time since its first packet arrived.
        requests: Estimated number of requests in the agent's backend server.
        load_age_seconds: Age of the load report behind that estimate; infinite where
            the agent has not sent any.
        is_retry: Whether it goes elsewhere because the agent before has not answered.
    """

    flow: packets.FlowId
    copy: int
    tries: int
    waited_seconds: float
    requests: float
    load_age_seconds: float
    is_retry: bool = False


class RefusalEvidence(msgspec.Struct, frozen=True):
    """What the refusal of a new flow was based on.

    Attributes:
        agents: Number of agents that accept flows of its service and have not declined
            it for another reason than being full.
        tries: Number of agents that it was sent to.
        waited_seconds: Time since its first packet arrived.
        cause: Why it is refused.
        priority: Priority of its route, None where no route is known.
        queued: Number of queued flows of its service.
    """

    agents: int
    tries: int
    waited_seconds: float
    cause: RefusalCause
    priority: int | None = None
    queued: int = 0


class NoOwnerEvidence(msgspec.Struct, frozen=True):
    """Why a flow certainly has no owner.

    Attributes:
        denied: Number of members that have said that they do not own it.
        gone: Number of members that may have owned it and are gone.
        excluded: Number of members that had told before they left that they did not
            own it.
        asked_seconds: Time since they were first asked.
        known_present: Number of agents that the entry knows and believes to run.
        known_gone: Number of agents that the entry knows and believes to be gone.
        newest_change_seconds: Time since an agent last appeared or disappeared.
        table_basis: Why the entry's table of members counts as complete.
        table_source: Host of the member whose answer completed it.
        table_age_seconds: Time since then.
    """

    denied: int
    gone: int
    excluded: int
    asked_seconds: float
    known_present: int
    known_gone: int
    newest_change_seconds: float
    table_basis: str
    table_source: str
    table_age_seconds: float


class Forward(typing.NamedTuple):
    """Forward a packet, unchanged, to an agent.

    Attributes:
        address: The agent's packet address.
        datagram: The packet.
        placement: Why this agent was chosen, where the packet opens a flow.
    """

    address: addresses.Address
    datagram: bytes
    placement: Placement | None = None


class DeliverToServer(typing.NamedTuple):
    """Deliver a packet to the backend server beside this agent."""

    datagram: bytes


class SendToCaller(typing.NamedTuple):
    """Send a backend server's packet to the caller."""

    flow: packets.FlowId
    datagram: bytes


class Reset(typing.NamedTuple):
    """Send the caller a reset, so that it learns at once that its flow does not exist.

    Attributes:
        flow: The flow.
        sequence: Sequence number of the reset: the caller's latest acknowledgement
            number, which the caller accepts.
        reason: Why the flow is reset.
        evidence: What the decision was based on, where it is more than the reason.
    """

    flow: packets.FlowId
    sequence: int
    reason: Reason
    evidence: RefusalEvidence | NoOwnerEvidence | None = None


class SendMessage(typing.NamedTuple):
    """Send a message to another node.

    Attributes:
        address: The node's address for messages.
        message: The message.
        basis: What the message is based on, where it denies that a flow is owned.
    """

    address: addresses.Address
    message: messages.Message
    basis: DenialBasis | None = None


class ReportUnknownSender(typing.NamedTuple):
    """Report a message from a member that is not known.

    Attributes:
        address: The address that the message came from.
    """

    address: addresses.Address


class Drop(typing.NamedTuple):
    """Drop a packet."""

    flow: packets.FlowId
    reason: Reason


class RecordLookupStarted(typing.NamedTuple):
    """Record that the owner of a flow is looked up.

    Attributes:
        flow: The flow.
        registrars: Number of entries that were asked first.
        agents: Number of agents that were asked at once.
        known: Number of agents that the entry knows, including those that are gone.
    """

    flow: packets.FlowId
    registrars: int
    agents: int
    known: int


class RecordOwnerFound(typing.NamedTuple):
    """Record that the owner of a flow was found by a lookup.

    Attributes:
        flow: The flow.
        owner: Packet address of the agent that owns it.
        asked_seconds: Time since agents were first asked.
        asked: Number of agents that were asked.
    """

    flow: packets.FlowId
    owner: addresses.Address
    asked_seconds: float
    asked: int


class RecordAnswer(typing.NamedTuple):
    """Record what an agent has answered to an entry's question.

    Attributes:
        asker: The entry's address for messages.
        owned: Flows that the backend server holds.
        denials: Flows that it does not hold, and what that is based on.
    """

    asker: addresses.Address
    owned: tuple[packets.FlowId, ...]
    denials: dict[packets.FlowId, DenialBasis]


class RecordHedge(typing.NamedTuple):
    """Record what became of a second offer of an opening packet.

    Attributes:
        flow: The flow.
        outcome: What became of it.
        agent: Packet address of the second agent, None where there is none.
        delay_seconds: Delay after the first offer that decided, 0 where none did.
    """

    flow: packets.FlowId
    outcome: HedgeOutcome
    agent: addresses.Address | None = None
    delay_seconds: float = 0.0


class RecordLatency(typing.NamedTuple):
    """Record a latency."""

    kind: Latency
    seconds: float


class RecordRetryWithheld(typing.NamedTuple):
    """Record that an opening packet is not sent to another agent for now.

    Attributes:
        flow: The flow.
        agent: Packet address of the agent that has not answered it.
    """

    flow: packets.FlowId
    agent: addresses.Address


Record = (
    RecordLookupStarted
    | RecordOwnerFound
    | RecordAnswer
    | RecordHedge
    | RecordLatency
    | RecordRetryWithheld
)

Action = (
    Forward
    | DeliverToServer
    | SendToCaller
    | Reset
    | SendMessage
    | ReportUnknownSender
    | Drop
    | Record
)
