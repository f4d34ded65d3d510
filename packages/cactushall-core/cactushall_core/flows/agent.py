"""An agent's decisions about the flows of the backend server beside it."""

from __future__ import annotations

import enum

import msgspec

from cactushall_core import addresses
from cactushall_core.flows import (
    actions,
    admission,
    messages,
    packets,
    requests,
    routes,
    servers,
)

CLOSED_SECONDS = 5.0
TRIAL_SECONDS = 1.0
FIRST_REQUEST_SECONDS = 0.1
REQUEST_SECONDS = 1.0
REQUEST_SERVICE_TIMES = 20.0
SWEEP_SECONDS = 1.0
MAX_FLOWS = 20_000
MAX_EARLY = 1000
FIRST_NUMBER = 1


class State(enum.Enum):
    """What an agent knows of a flow.

    OFFERED: the backend server has its opening packet and has not answered.
    OPENING: the backend server has answered the opening packet.
    HELD: the backend server holds it.
    TRIED: the backend server has a packet of it, to see whether it holds it.
    """

    OFFERED = "offered"
    OPENING = "opening"
    HELD = "held"
    TRIED = "tried"


class Flow(msgspec.Struct):
    """One flow as an agent remembers it.

    Attributes:
        state: What is known of it.
        entry: Peer address of the entry that sent its latest packet.
        seen_at: When a packet came last.
        opening: Sequence number of the opening packet, None where it was not seen.
        sequence: First sequence number of the backend server.
        acknowledged: What the caller acknowledged last.
        progress: How far its request has come.
        is_closing: Whether an end has closed it.
    """

    state: State
    entry: addresses.Address
    seen_at: float
    opening: int | None = None
    sequence: int = 0
    acknowledged: int = 0
    progress: requests.Progress = msgspec.field(default_factory=requests.Progress)
    is_closing: bool = False


class Early(msgspec.Struct, frozen=True):
    """An opening packet that waits for the agent's first configuration.

    Attributes:
        packet: The packet.
        entry: Peer address of the entry that sent it.
        came_at: When it came.
    """

    packet: packets.Packet
    entry: addresses.Address
    came_at: float


class AgentFlows:
    """All flows of one backend server.

    Methods take the present time and return the actions to carry out.
    """

    def __init__(self, server: servers.Server, now: float) -> None:
        """Know no flow yet.

        Args:
            server: The backend server beside the agent.
            now: Present time in seconds.
        """
        self._server = server
        self._routes = routes.EMPTY
        self._flows: dict[packets.FlowId, Flow] = {}
        self._absent: dict[packets.FlowId, float] = {}
        self._openings: dict[packets.FlowId, float] = {}
        self._early: dict[packets.FlowId, Early] = {}
        self._meter = requests.Meter()
        self._is_memory_whole = False
        self._next_sweep_at = now + SWEEP_SECONDS

    @property
    def load(self) -> messages.Load:
        """How busy the backend server is."""
        return messages.Load(
            len(self._flows),
            self._meter.waiting,
            self._server.slots,
            self._meter.service_seconds,
        )

    @property
    def flow_count(self) -> int:
        """How many flows are remembered."""
        return len(self._flows)

    @property
    def has_routes(self) -> bool:
        """Whether a configuration has been adopted."""
        return self._routes.is_known

    def adopt(self, table: routes.RouteTable, now: float) -> list[actions.Action]:
        """Use a newer revision of the routes from now on."""
        self._routes = table
        self._expire_early(now)
        waiting, self._early = self._early, {}
        decided: list[actions.Action] = []
        for early in waiting.values():
            decided += self._open(early.packet, early.entry, now)
        return decided

    def receive(
        self, packet: packets.Packet, entry: addresses.Address, now: float
    ) -> list[actions.Action]:
        """Handle a caller's packet that an entry has sent."""
        if packet.is_opening:
            return self._open(packet, entry, now)
        flow = self._flows.get(packet.flow)
        if flow is None:
            return self._try(packet, entry, now)
        flow.entry = entry
        flow.seen_at = now
        flow.acknowledged = packet.acknowledgement
        if packet.flags & (packets.Flags.FIN | packets.Flags.RST):
            flow.is_closing = True
            self._meter.note_closed(flow.progress)
        if flow.state is State.OPENING and not self._is_own(flow, packet):
            self._forget(packet.flow)
            return [actions.Tell(entry, messages.NotHeld(packet.flow))]
        if flow.state is State.OPENING:
            flow.state = State.HELD
        self._meter.note_from_caller(flow.progress, packet, now)
        return [actions.Deliver(packet.datagram)]

    def answer(
        self, packet: packets.Packet, entry: addresses.Address, now: float
    ) -> list[actions.Action]:
        """Handle a packet that carries an entry's question who holds its flow."""
        decided = self.receive(packet, entry, now)
        flow = self._flows.get(packet.flow)
        if flow is not None and flow.state is State.HELD:
            decided.append(actions.Tell(entry, messages.Held(packet.flow)))
        return decided

    def receive_from_server(
        self, packet: packets.Packet, now: float
    ) -> list[actions.Action]:
        """Handle a packet of the backend server."""
        self._server.note_answered()
        flow = self._flows.get(packet.flow)
        if packet.is_bounced or _is_denial(packet, flow):
            return self._note_bounced(packet, flow)
        if flow is None:
            return [actions.Return(packet.flow, packet.datagram)]
        flow.seen_at = now
        seconds = self._meter.note_from_server(flow.progress, packet, now)
        if packet.flags & (packets.Flags.FIN | packets.Flags.RST):
            flow.is_closing = True
        decided = self._note_answer(packet, flow)
        decided.append(actions.Return(packet.flow, packet.datagram))
        if seconds is not None:
            answered = actions.Latency.REQUEST_ANSWERED
            decided.append(actions.Measured(answered, seconds))
        return decided

    def hear(self, announcement: servers.Announcement, now: float) -> servers.Outcome:
        """Take in what the backend server says of itself."""
        latest = self._server.latest
        outcome = self._server.hear(announcement, now)
        if outcome is not servers.Outcome.TAKEN:
            return outcome
        self._meter.set_slots(announcement.slots)
        if latest is None:
            self._is_memory_whole = announcement.number <= FIRST_NUMBER
        elif not servers.is_same_start(announcement, latest):
            self._lose_all()
        return outcome

    def tick(self, now: float) -> None:
        """Forget flows that are over, and requests that have not come."""
        self._expire_openings(now)
        if now < self._next_sweep_at:
            return
        self._next_sweep_at = now + SWEEP_SECONDS
        expired = [
            flow_id
            for flow_id, flow in self._flows.items()
            if now - flow.seen_at > self._retention(flow)
        ]
        for flow_id in expired:
            self._forget(flow_id)
        self._expire_requests(now)
        self._expire_early(now)
        oldest = now - self._routes.idle_timeout_seconds
        self._absent = {f: at for f, at in self._absent.items() if at > oldest}

    # New flows.

    def _open(
        self, packet: packets.Packet, entry: addresses.Address, now: float
    ) -> list[actions.Action]:
        flow = self._flows.get(packet.flow)
        is_open = flow is not None and flow.state is State.HELD
        if flow is not None and is_open and not _is_other_opening(flow, packet):
            return [self._confirm(packet.flow, flow, entry)]
        if not self._routes.is_known and len(self._early) < MAX_EARLY:
            self._early[packet.flow] = Early(packet, entry, now)
            return []
        refusal = self._refusal(packet)
        if refusal is not None:
            return [self._decline(packet.flow, entry, refusal)]
        if flow is None or _is_other_opening(flow, packet):
            self._forget(packet.flow)
            flow = Flow(State.OFFERED, entry, now, opening=packet.sequence)
            self._remember(packet.flow, flow)
            self._meter.note_begun(flow.progress, now)
            self._openings[packet.flow] = now
        flow.entry = entry
        flow.seen_at = now
        self._absent.pop(packet.flow, None)
        self._server.note_sent(now)
        return [actions.Deliver(packet.datagram)]

    def _refusal(self, packet: packets.Packet) -> messages.Refusal | None:
        """Return why the backend server may not have a new flow."""
        if not self._routes.is_known:
            return messages.Refusal.NOT_READY
        route = self._routes.find(packet.flow)
        if route is None or not route.allows(self._server.service):
            return messages.Refusal.NO_ROUTE
        if self._server.state is servers.State.DRAINING:
            return messages.Refusal.DRAINING
        if self._server.state is not servers.State.READY:
            return messages.Refusal.NOT_READY
        is_copy = packet.flow in self._flows
        if is_copy or admission.has_room(self.load, 0, route.objective_seconds):
            return None
        return messages.Refusal.FULL

    def _confirm(
        self, flow_id: packets.FlowId, flow: Flow, entry: addresses.Address
    ) -> actions.Tell:
        """Answer a late copy of the opening packet of a flow that is open."""
        if flow.opening is None:
            return actions.Tell(entry, messages.Held(flow_id))
        message = messages.Accepted(flow_id, flow.sequence, self.load)
        return actions.Tell(entry, message)

    def _decline(
        self,
        flow_id: packets.FlowId,
        entry: addresses.Address,
        refusal: messages.Refusal,
    ) -> actions.Tell:
        message = messages.Declined(flow_id, refusal, self._routes.revision, self.load)
        return actions.Tell(entry, message)

    def _note_answer(self, packet: packets.Packet, flow: Flow) -> list[actions.Action]:
        """Tell the entry that the backend server has the flow, once it is certain."""
        if flow.state is State.OFFERED and packet.flags & packets.Flags.SYN:
            flow.state = State.OPENING
            flow.sequence = packet.sequence
            message = messages.Accepted(packet.flow, packet.sequence, self.load)
            return [actions.Tell(flow.entry, message)]
        if flow.state is State.TRIED:
            flow.state = State.HELD
            return [actions.Tell(flow.entry, messages.Held(packet.flow))]
        return []

    def _is_own(self, flow: Flow, packet: packets.Packet) -> bool:
        """Tell whether the caller has taken this backend server's answer."""
        if not packet.flags & packets.Flags.ACK:
            return True
        ahead = packets.distance(packet.acknowledgement, flow.sequence)
        return ahead <= 1

    # Flows that are not remembered.

    def _try(
        self, packet: packets.Packet, entry: addresses.Address, now: float
    ) -> list[actions.Action]:
        """See whether the backend server holds a flow, once for each flow."""
        is_known_absent = self._is_memory_whole or packet.flow in self._absent
        if is_known_absent or self._server.state is servers.State.GONE:
            return [actions.Tell(entry, messages.NotHeld(packet.flow))]
        flow = Flow(State.TRIED, entry, now)
        flow.acknowledged = packet.acknowledgement
        self._remember(packet.flow, flow)
        self._meter.note_from_caller(flow.progress, packet, now)
        return [actions.Deliver(packet.datagram)]

    def _note_bounced(
        self, packet: packets.Packet, flow: Flow | None
    ) -> list[actions.Action]:
        if flow is None:
            return []
        if packet.is_opening:
            if flow.state is not State.OFFERED:
                return []
            self._forget(packet.flow)
            return [self._decline(packet.flow, flow.entry, messages.Refusal.FULL)]
        self._forget(packet.flow)
        self._remember_absent(packet.flow, flow.seen_at)
        if flow.state is State.HELD and not flow.is_closing:
            reason = actions.Reason.SERVER_LOST_FLOW
            return [actions.Reset(packet.flow, flow.acknowledged, reason)]
        return [actions.Tell(flow.entry, messages.NotHeld(packet.flow))]

    # Memory.

    def _expire_openings(self, now: float) -> None:
        """Expect no request any longer of flows that were opened in vain."""
        for flow_id, opened_at in list(self._openings.items()):
            if now - opened_at < FIRST_REQUEST_SECONDS:
                return
            del self._openings[flow_id]
            flow = self._flows.get(flow_id)
            if flow is not None and flow.progress.next_sequence is None:
                self._meter.note_closed(flow.progress)

    def _lose_all(self) -> None:
        """Forget all flows of a backend server that has started anew."""
        for flow in self._flows.values():
            self._meter.note_closed(flow.progress)
        self._flows.clear()
        self._absent.clear()
        self._is_memory_whole = True

    def _expire_early(self, now: float) -> None:
        """Let opening packets go whose callers have given up."""
        for flow_id, early in list(self._early.items()):
            if now - early.came_at > packets.OPENING_SECONDS:
                del self._early[flow_id]

    def _expire_requests(self, now: float) -> None:
        """Count no request any longer whose answer must have been missed."""
        usual = REQUEST_SERVICE_TIMES * self._meter.service_seconds
        patience = max(REQUEST_SECONDS, usual)
        for flow in self._flows.values():
            if now - flow.progress.started_at > patience:
                self._meter.note_closed(flow.progress)

    def _retention(self, flow: Flow) -> float:
        if flow.is_closing:
            return CLOSED_SECONDS
        if flow.state in (State.OFFERED, State.TRIED):
            return TRIAL_SECONDS
        return self._routes.idle_timeout_seconds + CLOSED_SECONDS

    def _remember(self, flow_id: packets.FlowId, flow: Flow) -> None:
        if len(self._flows) >= MAX_FLOWS:
            self._forget(next(iter(self._flows)))
        self._flows[flow_id] = flow

    def _remember_absent(self, flow_id: packets.FlowId, now: float) -> None:
        if len(self._absent) >= MAX_FLOWS:
            del self._absent[next(iter(self._absent))]
        self._absent[flow_id] = now

    def _forget(self, flow_id: packets.FlowId) -> None:
        flow = self._flows.pop(flow_id, None)
        if flow is not None:
            self._meter.note_closed(flow.progress)


def _is_denial(packet: packets.Packet, flow: Flow | None) -> bool:
    """Tell whether a backend server resets a flow that it was only tried for.

    It may be another's, so that its caller must not see the reset.
    """
    is_tried = flow is not None and flow.state is State.TRIED
    return is_tried and bool(packet.flags & packets.Flags.RST)


def _is_other_opening(flow: Flow, packet: packets.Packet) -> bool:
    """Tell whether a port is used again for a new flow."""
    if flow.state is State.TRIED:
        return True
    return flow.opening is not None and flow.opening != packet.sequence
