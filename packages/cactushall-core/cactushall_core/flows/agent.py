"""An agent's decisions about the flows of the backend server beside it."""

from __future__ import annotations

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    admission,
    cold_start,
    held_flows,
    known_entries,
    messages,
    packets,
    priorities,
    registrations,
    released_flows,
    requests,
    routes,
    server_absence,
    servers,
    tracked_flow,
    untracked_flows,
)
from cactushall_core.membership import records

CLOSED_RETENTION_SECONDS = 5.0
UNANSWERED_RETENTION_SECONDS = 1.0
FIRST_REQUEST_TIMEOUT_SECONDS = 0.1
MIN_REQUEST_TIMEOUT_SECONDS = 1.0
REQUEST_TIMEOUT_SERVICE_TIMES = 20.0
SWEEP_INTERVAL_SECONDS = 1.0
MAX_FLOWS = 20_000
MAX_QUEUED_OPENINGS = 1000
# Others wait for the successor of an agent that leaves.
MAX_ENTRIES_TOLD = 64
# Entry of a flow of which no caller's packet has passed yet.
UNKNOWN_ENTRY = addresses.Address("", 0)


class AgentFlows:
    """All flows of one backend server.

    Methods take the current time and return the actions to carry out.
    """

    def __init__(
        self,
        server: servers.Server,
        now: float,
        cold: cold_start.ColdStart | None = None,
    ) -> None:
        """Start without flows.

        Args:
            server: The backend server beside the agent.
            now: Current time in seconds.
            cold: Limits new flows while the backend server is cold.
        """
        self._server = server
        self._cold = cold or cold_start.ColdStart()
        self._routes = routes.EMPTY
        self._is_evacuated = False
        self._flows: dict[packets.FlowId, tracked_flow.Flow] = {}
        self._untracked = untracked_flows.UntrackedFlows(now)
        self._absence = server_absence.ServerAbsence()
        self._awaiting_request: dict[packets.FlowId, float] = {}
        self._released = released_flows.ReleasedFlows()
        self._queue: dict[packets.FlowId, tracked_flow.QueuedOpening] = {}
        self._meter = requests.RequestMeter()
        self._priorities = priorities.Priorities()
        self._entries = known_entries.KnownEntries()
        self._registrations = registrations.Registrations(self._entries)
        self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS

    @property
    def load(self) -> messages.Load:
        """The backend server's load."""
        return messages.Load(
            len(self._flows),
            self._meter.pending,
            self._server.slots,
            self._meter.service_seconds,
            cold_allowance=self._cold.allowance,
        )

    @property
    def flow_count(self) -> int:
        """How many flows are tracked."""
        return len(self._flows)

    @property
    def entries(self) -> known_entries.KnownEntries:
        """The entries that are believed to run."""
        return self._entries

    @property
    def has_seen_all(self) -> bool:
        """Whether the agent knows all flows that the backend server may hold."""
        return self._untracked.has_seen_all

    @property
    def awaits_acceptance(self) -> bool:
        """Whether an accepted connection would prove that it knows all flows."""
        return not self.has_seen_all and self._absence.awaits_acceptance

    @property
    def has_routes(self) -> bool:
        """Whether a configuration has been received."""
        return self._routes.is_known

    def update_evacuated(self, is_evacuated: bool) -> None:
        """Set whether the agent's own availability zone is evacuated."""
        self._is_evacuated = is_evacuated

    def update_member(self, record: records.Record) -> None:
        """Apply a membership update."""
        self._entries.update(record)

    def leave(self) -> list[actions.Action]:
        """Tell the entries which flows the backend server may hold after the agent.

        No packet must be delivered to the server afterwards. Where the agent may not
        have seen all flows, it tells nothing.
        """
        if not self._untracked.has_seen_all or self._server.has_certainly_stopped:
            return []
        notice = held_flows.make_notice(self._flows.keys() | self._untracked.forgotten)
        return [
            actions.SendMessage(address, message)
            for address in self._entries.control_addresses[:MAX_ENTRIES_TOLD]
            for message in notice
        ]

    def update_routes(
        self, table: routes.RouteTable, now: float
    ) -> list[actions.Action]:
        """Replace the routes by a newer revision and handle queued opening packets."""
        self._routes = table
        self._priorities.update_routes(table)
        self._update_cold_limit(now)
        self._expire_queue(now)
        pending, self._queue = self._queue, {}
        decided: list[actions.Action] = []
        for queued in pending.values():
            decided += self._open(queued.packet, queued.entry, now)
        return decided

    def handle_caller_packet(
        self, packet: packets.Packet, entry: addresses.Address, now: float
    ) -> list[actions.Action]:
        """Handle a caller's packet that an entry has forwarded."""
        if packet.is_opening:
            return self._open(packet, entry, now)
        flow = self._flows.get(packet.flow)
        if flow is None:
            return self._probe(packet, entry, now)
        flow.entry = entry
        flow.last_packet_at = now
        flow.acknowledged = packet.acknowledgement
        if packet.flags & packets.CLOSING_FLAGS:
            self._mark_closing(packet.flow, flow)
            self._meter.record_end(flow.progress)
        if (
            flow.state is tracked_flow.State.OPENING_ANSWERED
            and not self._chose_this_server(flow, packet)
        ):
            self._forget(packet.flow)
            return [_deny(packet.flow, entry, actions.DenialBasis.OTHER_CHOSEN)]
        if flow.state is tracked_flow.State.OPENING_ANSWERED:
            self._mark_established(packet.flow, flow, now)
        self._meter.handle_caller_packet(flow.progress, packet, now)
        return [actions.DeliverToServer(packet.datagram)]

    def handle_query(
        self, flow_ids: tuple[packets.FlowId, ...], entry: addresses.Address
    ) -> list[actions.Action]:
        """Answer an entry which of some flows the backend server holds."""
        owned = []
        undecided = []
        denials = {}
        for flow_id in flow_ids:
            flow = self._flows.get(flow_id)
            basis = self._denial_basis(flow_id) if flow is None else None
            if flow is not None and flow.state is tracked_flow.State.ESTABLISHED:
                owned.append(flow_id)
            elif basis is not None:
                denials[flow_id] = basis
            else:
                undecided.append(flow_id)
        answer = messages.OwnershipAnswer(
            tuple(owned), tuple(denials), tuple(undecided)
        )
        return [
            actions.SendMessage(entry, answer),
            actions.RecordAnswer(entry, tuple(owned), denials),
        ]

    def handle_lookup(
        self, packet: packets.Packet, entry: addresses.Address, now: float
    ) -> list[actions.Action]:
        """Handle a packet that an entry sent in order to look up its flow's owner."""
        decided = self.handle_caller_packet(packet, entry, now)
        flow = self._flows.get(packet.flow)
        if flow is not None and flow.state is tracked_flow.State.ESTABLISHED:
            decided.append(
                actions.SendMessage(entry, messages.OwnershipConfirmed(packet.flow))
            )
        return decided

    def handle_release(
        self, flow_id: packets.FlowId, opening_sequence: int, now: float
    ) -> list[actions.Action]:
        """Forget a flow whose caller has taken another backend server's answer.

        The opening packet may arrive after the message. A flow that the backend server
        holds is kept, and so is one with another opening packet on the same port.
        """
        flow = self._flows.get(flow_id)
        if flow is not None:
            is_open = flow.state in (
                tracked_flow.State.OPENING_DELIVERED,
                tracked_flow.State.OPENING_ANSWERED,
            )
            if not is_open or flow.opening_sequence != opening_sequence:
                return []
            is_late = flow.state is tracked_flow.State.OPENING_ANSWERED
            self._forget(flow_id)
        self._released.add(flow_id, opening_sequence, now)
        late = actions.RecordHedge(flow_id, actions.HedgeOutcome.LATE)
        return [late] if flow is not None and is_late else []

    def handle_server_packet(
        self, packet: packets.Packet, now: float
    ) -> list[actions.Action]:
        """Handle a packet from the backend server."""
        self._server.record_answer()
        flow = self._flows.get(packet.flow)
        if packet.is_bounced or tracked_flow.is_probe_reset(packet, flow):
            return self._handle_bounced(packet, flow)
        if flow is None and packet.flow in self._released:
            return []
        if flow is None and tracked_flow.proves_open_flow(packet):
            flow = self._learn(packet.flow, now)
        if flow is None:
            return [actions.SendToCaller(packet.flow, packet.datagram)]
        flow.last_packet_at = now
        seconds = self._meter.handle_server_packet(flow.progress, packet, now)
        if packet.flags & packets.CLOSING_FLAGS:
            self._mark_closing(packet.flow, flow)
        decided = self._notify_entry(packet, flow, now)
        decided.append(actions.SendToCaller(packet.flow, packet.datagram))
        if seconds is not None:
            answered = actions.Latency.REQUEST_ANSWERED
            decided.append(actions.RecordLatency(answered, seconds))
        return decided

    def configure_server(
        self, service: identifiers.ServiceName, address: addresses.Address, now: float
    ) -> bool:
        """Apply changed settings of the backend server.

        Returns:
            Whether they name another backend server than before.
        """
        if not self._server.configure(service, address):
            return False
        self._untracked.forget_returned()
        # The one that is named now may hold flows already.
        self._untracked.record_missed(now)
        self._absence = server_absence.ServerAbsence()
        self._update_cold_limit(now)
        return True

    def handle_announcement(
        self, announcement: servers.Announcement, now: float
    ) -> servers.Outcome:
        """Handle an announcement of the backend server.

        Returns:
            Whether the announcement was applied.
        """
        latest_announcement = self._server.latest_announcement
        outcome = self._server.handle_announcement(announcement, now)
        if outcome is not servers.Outcome.APPLIED:
            return outcome
        self._meter.set_slots(announcement.slots)
        self._cold.handle_announcement(announcement, latest_announcement, now)
        self._update_cold_limit(now)
        self._absence.handle_announcement(announcement, now)
        if latest_announcement is not None and servers.is_other_start(
            announcement, latest_announcement
        ):
            self._forget_all()
        return outcome

    def handle_server_refused(self, now: float) -> None:
        """Handle a refused connection to the backend server: none runs now."""
        self._absence.record_refused(now)

    def handle_server_accepted(self) -> None:
        """Handle an accepted connection to the backend server."""
        if self._absence.awaits_acceptance:
            self._untracked.record_none_missed()

    def tick(self, now: float) -> list[actions.Action]:
        """Register flows; forget expired flows and requests that have timed out."""
        self._expire_awaiting_request(now)
        self._cold.update(now)
        if now >= self._next_sweep_at:
            self._sweep(now)
        return self._registrations.tick(now)

    def _sweep(self, now: float) -> None:
        self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS
        expired = [
            flow_id
            for flow_id, flow in self._flows.items()
            if now - flow.last_packet_at > self._retention(flow)
        ]
        for flow_id in expired:
            self._forget(flow_id)
        self._expire_requests(now)
        self._expire_queue(now)
        if self._routes.is_known:
            self._untracked.expire(now - self._idle_retention)
        self._released.expire(now - CLOSED_RETENTION_SECONDS)

    # New flows.

    def _open(
        self, packet: packets.Packet, entry: addresses.Address, now: float
    ) -> list[actions.Action]:
        flow = self._flows.get(packet.flow)
        is_established = (
            flow is not None and flow.state is tracked_flow.State.ESTABLISHED
        )
        if (
            flow is not None
            and is_established
            and not tracked_flow.is_port_reused(flow, packet)
        ):
            return [self._confirm_owned(packet.flow, flow, entry)]
        if self._is_evacuated and not tracked_flow.is_answered(flow, packet):
            return [self._decline(packet.flow, entry, messages.Refusal.DRAINING)]
        if not self._routes.is_known and len(self._queue) < MAX_QUEUED_OPENINGS:
            self._queue[packet.flow] = tracked_flow.QueuedOpening(packet, entry, now)
            return []
        if self._released.is_late(packet):
            return []
        is_new = flow is None or tracked_flow.is_port_reused(flow, packet)
        if is_new:
            self._priorities.record_opening(
                self._server.service, routes.address_of(packet.flow)
            )
        refusal = self._refusal(packet)
        if refusal is None and is_new and not self._cold.take(now):
            refusal = messages.Refusal.FULL
        if refusal is not None:
            return [self._decline(packet.flow, entry, refusal)]
        if flow is None or is_new:
            self._forget(packet.flow)
            flow = tracked_flow.Flow(
                tracked_flow.State.OPENING_DELIVERED,
                entry,
                now,
                opening_sequence=packet.sequence,
            )
            self._remember(packet.flow, flow)
            self._meter.record_start(flow.progress, now)
            self._record_admitted(packet.flow)
            self._awaiting_request[packet.flow] = now
        flow.entry = entry
        flow.last_packet_at = now
        self._untracked.record_opened(packet.flow)
        self._server.record_opening_sent(now)
        return [actions.DeliverToServer(packet.datagram)]

    def _refusal(self, packet: packets.Packet) -> messages.Refusal | None:
        """Return why a new flow is declined, None where it is accepted."""
        if not self._routes.is_known:
            return messages.Refusal.NOT_READY
        route = self._routes.find(packet.flow)
        if route is None or not route.allows(self._server.service):
            return messages.Refusal.NO_ROUTE
        if self._server.state is servers.State.DRAINING:
            return messages.Refusal.DRAINING
        if self._server.state is not servers.State.READY:
            return messages.Refusal.NOT_READY
        is_retransmission = packet.flow in self._flows
        reserved = self._priorities.reserved_requests(
            self._server.service, route.priority
        )
        if is_retransmission or admission.has_capacity(
            self.load, 0, route.objective_seconds, reserved
        ):
            return None
        return messages.Refusal.FULL

    def _record_admitted(self, flow_id: packets.FlowId) -> None:
        route = self._routes.find(flow_id)
        if route is not None:
            self._priorities.record_admitted(self._server.service, route.priority)

    def _update_cold_limit(self, now: float) -> None:
        limits = self._routes.cold_limits
        self._cold.update_limit(limits.get(self._server.service), now)

    def _confirm_owned(
        self, flow_id: packets.FlowId, flow: tracked_flow.Flow, entry: addresses.Address
    ) -> actions.SendMessage:
        """Answer a late retransmission of the opening packet of an established flow."""
        if flow.opening_sequence is None:
            return actions.SendMessage(entry, messages.OwnershipConfirmed(flow_id))
        message = messages.Accepted(flow_id, flow.server_sequence, self.load)
        return actions.SendMessage(entry, message)

    def _decline(
        self,
        flow_id: packets.FlowId,
        entry: addresses.Address,
        refusal: messages.Refusal,
    ) -> actions.SendMessage:
        message = messages.Declined(flow_id, refusal, self._routes.revision, self.load)
        return actions.SendMessage(entry, message)

    def _notify_entry(
        self, packet: packets.Packet, flow: tracked_flow.Flow, now: float
    ) -> list[actions.Action]:
        """Notify the entry when a packet shows that the backend server has the flow."""
        if (
            flow.state is tracked_flow.State.OPENING_DELIVERED
            and packet.flags & packets.Flags.SYN
        ):
            flow.state = tracked_flow.State.OPENING_ANSWERED
            flow.server_sequence = packet.sequence
            message = messages.Accepted(packet.flow, packet.sequence, self.load)
            return [actions.SendMessage(flow.entry, message)]
        is_opening_answer = bool(packet.flags & packets.Flags.SYN)
        if flow.state is tracked_flow.State.PROBED and not is_opening_answer:
            self._mark_established(packet.flow, flow, now)
            return [
                actions.SendMessage(
                    flow.entry, messages.OwnershipConfirmed(packet.flow)
                )
            ]
        return []

    def _mark_established(
        self, flow_id: packets.FlowId, flow: tracked_flow.Flow, now: float
    ) -> None:
        flow.state = tracked_flow.State.ESTABLISHED
        if not flow.is_closing:
            self._registrations.add(flow_id, now)

    def _mark_closing(self, flow_id: packets.FlowId, flow: tracked_flow.Flow) -> None:
        flow.is_closing = True
        self._registrations.remove(flow_id)

    def _chose_this_server(
        self, flow: tracked_flow.Flow, packet: packets.Packet
    ) -> bool:
        """Return whether the caller took this server's answer, not another's."""
        if not packet.flags & packets.Flags.ACK:
            return True
        ahead = packets.sequence_distance(packet.acknowledgement, flow.server_sequence)
        return ahead <= 1

    # Flows that are not tracked.

    def _learn(self, flow_id: packets.FlowId, now: float) -> tracked_flow.Flow:
        """Track a flow that the backend server held before this agent started."""
        flow = tracked_flow.Flow(tracked_flow.State.ESTABLISHED, UNKNOWN_ENTRY, now)
        self._remember(flow_id, flow)
        self._untracked.record_opened(flow_id)
        self._registrations.add_known(flow_id)
        return flow

    def _probe(
        self, packet: packets.Packet, entry: addresses.Address, now: float
    ) -> list[actions.Action]:
        """Deliver a packet, once, to learn whether the backend server has its flow."""
        basis = self._denial_basis(packet.flow)
        if basis is not None:
            return [_deny(packet.flow, entry, basis)]
        flow = tracked_flow.Flow(tracked_flow.State.PROBED, entry, now)
        flow.acknowledged = packet.acknowledgement
        self._remember(packet.flow, flow)
        self._meter.handle_caller_packet(flow.progress, packet, now)
        return [actions.DeliverToServer(packet.datagram)]

    def _denial_basis(self, flow_id: packets.FlowId) -> actions.DenialBasis | None:
        """Return why an untracked flow is certainly not owned, None if it may be."""
        basis = self._untracked.denial_basis(flow_id)
        if basis is actions.DenialBasis.SERVER_DENIED:
            return basis
        if self._server.has_certainly_stopped:
            return actions.DenialBasis.SERVER_GONE
        return basis

    def _handle_bounced(
        self, packet: packets.Packet, flow: tracked_flow.Flow | None
    ) -> list[actions.Action]:
        if flow is None:
            return []
        if packet.is_opening:
            if flow.state is not tracked_flow.State.OPENING_DELIVERED:
                return []
            self._forget(packet.flow)
            return [self._decline(packet.flow, flow.entry, messages.Refusal.FULL)]
        self._forget(packet.flow)
        self._untracked.record_returned(packet.flow, flow.last_packet_at)
        if flow.state is tracked_flow.State.ESTABLISHED and not flow.is_closing:
            reason = actions.Reason.SERVER_LOST_FLOW
            return [actions.Reset(packet.flow, flow.acknowledged, reason)]
        return [_deny(packet.flow, flow.entry, actions.DenialBasis.SERVER_DENIED)]

    # Expiry and bounds.

    def _expire_awaiting_request(self, now: float) -> None:
        """Stop counting new flows as requests where no request has followed in time."""
        for flow_id, opened_at in list(self._awaiting_request.items()):
            if now - opened_at < FIRST_REQUEST_TIMEOUT_SECONDS:
                return
            del self._awaiting_request[flow_id]
            flow = self._flows.get(flow_id)
            if flow is not None and flow.progress.next_sequence is None:
                self._meter.record_end(flow.progress)

    def _forget_all(self) -> None:
        """Forget all flows, because the backend server has restarted."""
        for flow_id in list(self._flows):
            self._forget(flow_id)
        self._untracked.forget_returned()

    def _expire_queue(self, now: float) -> None:
        """Remove queued opening packets whose callers have given up."""
        for flow_id, queued in list(self._queue.items()):
            if now - queued.arrived_at > packets.OPENING_TIMEOUT_SECONDS:
                del self._queue[flow_id]

    def _expire_requests(self, now: float) -> None:
        """Stop counting requests whose answers must have been missed."""
        long_timeout = REQUEST_TIMEOUT_SERVICE_TIMES * self._meter.service_seconds
        timeout = max(MIN_REQUEST_TIMEOUT_SECONDS, long_timeout)
        for flow in self._flows.values():
            if now - flow.progress.started_at > timeout:
                self._meter.record_end(flow.progress)

    def _retention(self, flow: tracked_flow.Flow) -> float:
        if flow.is_closing:
            return CLOSED_RETENTION_SECONDS
        if flow.state in (
            tracked_flow.State.OPENING_DELIVERED,
            tracked_flow.State.PROBED,
        ):
            return UNANSWERED_RETENTION_SECONDS
        return self._idle_retention

    @property
    def _idle_retention(self) -> float:
        """Time without packets after which a flow is not open any more, in seconds.

        A caller's last packet within the idle timeout may take a while to get here.
        """
        return self._routes.idle_timeout_seconds + CLOSED_RETENTION_SECONDS

    def _remember(self, flow_id: packets.FlowId, flow: tracked_flow.Flow) -> None:
        if len(self._flows) >= MAX_FLOWS:
            self._forget(next(iter(self._flows)))
        self._flows[flow_id] = flow
        self._untracked.record_tracked(flow_id)

    def _forget(self, flow_id: packets.FlowId) -> None:
        flow = self._flows.pop(flow_id, None)
        self._registrations.remove(flow_id)
        if flow is not None:
            self._meter.record_end(flow.progress)
            self._untracked.record_forgotten(flow_id, flow.last_packet_at)


def _deny(
    flow_id: packets.FlowId, entry: addresses.Address, basis: actions.DenialBasis
) -> actions.SendMessage:
    """Tell an entry that this agent does not own a flow."""
    return actions.SendMessage(entry, messages.OwnershipDenied(flow_id), basis)
