"""Endpoint of one backend server, which holds its flows and handles their datagrams."""

from __future__ import annotations

import asyncio
import collections.abc
import functools
import socket

from aioquic.quic import configuration as quic_configuration

from cactushall_core import (
    addresses,
    configuration,
    connection_id,
    handoff,
    identifiers,
    keys,
    peering,
    quic_header,
    steering,
    tunnel,
)
from cactushall_daemon import counters, events, logs, sockets, tasks
from cactushall_daemon.agent import (
    drain,
    epochs,
    flow,
    idempotency,
    moves,
    peers,
    requests,
)
from cactushall_daemon.agent.quic import connection, http3, transfer
from cactushall_daemon.config import schema
from cactushall_rpc import control, store
from cactushall_rpc.generated import control_pb2

log = logs.get_logger(__name__)

TICK_INTERVAL_SECONDS = 0.05
STARTUP_TIMEOUT_SECONDS = 15.0
KEEP_ALIVE_TICKS = 20
ALPN = ["h3"]

SendTunnelDatagram = collections.abc.Callable[[bytes, addresses.Address], None]


class Endpoint:
    """The flows of one service that this agent holds for its backend server."""

    def __init__(
        self,
        settings: schema.EndpointSettings,
        agent: schema.AgentSettings,
        member: identifiers.MemberId,
        process_counters: counters.Counters,
        client: control.Client,
        key_value_store: store.Store,
        send: SendTunnelDatagram,
    ) -> None:
        """Prepare; flows are accepted after the service is configured.

        Args:
            settings: Settings of the endpoint.
            agent: Settings of the agent.
            member: The agent's member id.
            process_counters: The process's counters.
            client: Makes control calls.
            key_value_store: Holds the epoch of the service.
            send: Sends a datagram to another agent's tunnel address.
        """
        self._settings = settings
        self._service = identifiers.ServiceName(settings.service)
        self._home = identifiers.derive_home_id(member, self._service)
        self._host = agent.address
        self._send_tunnel_datagram = send
        self._counters = process_counters
        self._loop = asyncio.get_running_loop()
        key_ring: tuple[keys.Key, ...] = tuple(agent.key_files)
        self._cid_keys = connection_id.make_service_keys(key_ring, self._service)
        self._tunnel_authenticator = tunnel.make_authenticator(key_ring)
        self._issue_cid = connection.make_cid_factory(self._cid_keys, self._home)
        self._quic_settings = _make_quic_settings(agent)
        self._flows_by_cid: dict[bytes, flow.Flow] = {}
        self._flows: set[flow.Flow] = set()
        self._configuration: configuration.Service | None = None
        self._return_socket: socket.socket | None = None
        self._ancillary: list[tuple[int, int, bytes]] = []
        self._tick_count = 0
        self._created_at = self._loop.time()
        self._peers = peers.Peers(
            self._service, member, peering.make_authenticator(key_ring), send
        )
        self._epochs = epochs.EpochManager(
            self._service, member, self._peers, key_value_store
        )
        self._idempotency = idempotency.IdempotencyManager(
            self._service, member, self._peers, client, self._epochs.request_read
        )
        self._dispatcher = requests.RequestDispatcher(
            self._service,
            settings.server,
            settings.slots,
            self._idempotency,
            process_counters,
        )
        self._outgoing_moves = moves.OutgoingMoves(
            self._service,
            self._dispatcher,
            self._peers,
            client,
            self._forward,
            process_counters,
        )
        self._incoming_moves = moves.IncomingMoves(
            self._dispatcher, self._restore_flow, self._has_capacity, process_counters
        )
        self._drain = drain.DrainController(
            self._service,
            self._flows,
            self._dispatcher,
            self._peers,
            self._outgoing_moves,
        )
        self._flow_callbacks = flow.FlowCallbacks(
            transmit=self._transmit,
            on_request=self._dispatcher.handle_request,
            on_stream_closed=self._dispatcher.cancel,
            on_cid_issued=self._on_cid_issued,
            on_cid_retired=self._on_cid_retired,
            on_closed=self._on_flow_closed,
        )

    @property
    def service(self) -> identifiers.ServiceName:
        """The service that the endpoint belongs to."""
        return self._service

    @property
    def home(self) -> identifiers.HomeId:
        """Id of the endpoint, which the connection ids of its flows contain."""
        return self._home

    @property
    def peers(self) -> peers.Peers:
        """The other agents of the service."""
        return self._peers

    @property
    def idempotency(self) -> idempotency.IdempotencyManager:
        """At-most-once execution of requests with idempotency keys."""
        return self._idempotency

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint is ready for new flows.

        It waits at most `STARTUP_TIMEOUT_SECONDS` for a quorum in its epoch; without
        one it can run only requests that have no idempotency key.
        """
        has_waited = self._loop.time() - self._created_at > STARTUP_TIMEOUT_SECONDS
        return has_waited or self._idempotency.registry.has_quorum(self._loop.time())

    async def leave_epoch(self) -> None:
        """Hand over all idempotency keys and leave the epoch before a stop."""
        is_handed_over = await self._idempotency.hand_over_keys()
        await self._epochs.leave(
            self._idempotency.registry, is_handed_over=is_handed_over
        )
        self._peers.send_heartbeats(
            self.make_load_report(), self._idempotency.registry.current_epoch.number
        )

    @property
    def drain(self) -> drain.DrainController:
        """Draining and rebalancing of the flows."""
        return self._drain

    @property
    def incoming_moves(self) -> moves.IncomingMoves:
        """Moves of flows from other agents to this endpoint."""
        return self._incoming_moves

    def start(self, keep_running: collections.abc.Callable[[tasks.Run], None]) -> None:
        """Start the background tasks.

        Args:
            keep_running: Runs a task as long as the process.
        """
        registry = self._idempotency.registry
        keep_running(self._outgoing_moves.run)
        keep_running(functools.partial(self._epochs.run, registry))
        keep_running(functools.partial(self._drain.run, self.make_load_report))

    def make_status(self) -> control_pb2.EndpointStatus:
        """Return the endpoint's status for operators."""
        return control_pb2.EndpointStatus(
            service=self._service,
            home=self._home,
            flows=len(self._flows),
            feeds=self._dispatcher.feed_count,
            running=self._dispatcher.queue.running,
            queued=self._dispatcher.queue.queued,
            connection_limit=self._settings.connections,
            is_draining=self._drain.is_draining,
            flows_waiting=self._drain.waiting_count,
            flows_switching=self._outgoing_moves.switching_count,
            epoch=self._idempotency.registry.current_epoch.number,
            epoch_members=len(self._idempotency.registry.current_epoch.members),
            has_quorum=self._idempotency.registry.has_quorum(self._loop.time()),
        )

    def make_load_report(self) -> peering.LoadReport:
        """Return the endpoint's current load."""
        return peering.LoadReport(
            service=self._service,
            home=self._home,
            flows=len(self._flows),
            connection_limit=self._settings.connections,
            running=self._dispatcher.queue.running,
            queued=self._dispatcher.queue.queued,
            slots=self._settings.slots,
            service_seconds=self._dispatcher.queue.measured_service_seconds,
            is_draining=self._drain.is_draining,
        )

    def configure(self, service: configuration.Service | None) -> None:
        """Apply the service's configuration.

        Raises:
            BindError: The socket that sends to callers cannot be bound.
        """
        if service is None or service == self._configuration:
            return
        address = service.service_address
        previous = self._configuration
        if previous is None or previous.service_address != address:
            self._bind_return_socket(address)
        self._configuration = service
        self._quic_settings.idle_timeout = service.idle_timeout_seconds
        self._dispatcher.deadline_seconds = service.deadline_seconds

    def handle_envelope(self, envelope: tunnel.Envelope) -> None:
        """Handle a caller's datagram."""
        header = quic_header.parse(envelope.payload)
        if header is None:
            self._counters.add(counters.Counter.MALFORMED)
            return
        cid = header.destination_cid
        known_flow = self._flows_by_cid.get(cid)
        if known_flow is not None:
            known_flow.handle_datagram(envelope.payload, envelope.caller)
        elif self._outgoing_moves.forward_datagram(cid, envelope):
            self._counters.add(counters.Counter.FORWARDED)
        elif header.is_initial:
            self._open_or_forward(header, envelope)
        elif header.is_version_unknown:
            response = connection.encode_version_negotiation(envelope.payload)
            self._transmit(response, envelope.caller)
        else:
            self.send_stateless_reset(header, envelope)

    def is_id_of_other_home(self, cid: bytes) -> bool:
        """Return whether a connection id is of this service but of another home."""
        home = connection_id.decode(self._cid_keys, cid)
        return home is not None and home != self._home

    def send_stateless_reset(
        self, header: quic_header.Header, envelope: tunnel.Envelope
    ) -> None:
        """Send a stateless reset for an unknown flow if this service issued its id."""
        cid = header.destination_cid
        if header.is_long or connection_id.decode(self._cid_keys, cid) is None:
            self._counters.add(counters.Counter.FOREIGN_ID)
            return
        size = len(envelope.payload)
        datagram = steering.stateless_reset(self._cid_keys, cid, size)
        if datagram is not None:
            self._counters.add(counters.Counter.RESETS_SENT)
            self._transmit(datagram, envelope.caller)

    def tick(self) -> None:
        """Process deadlines, send heartbeats to peers and pings to callers."""
        now = self._loop.time()
        self._dispatcher.tick(now)
        self._idempotency.registry.set_reachable(set(self._peers.present_members()))
        self._idempotency.tick(now)
        self._peers.send_heartbeats(
            self.make_load_report(), self._idempotency.registry.current_epoch.number
        )
        self._tick_count += 1
        if self._tick_count % KEEP_ALIVE_TICKS == 0:
            for open_flow in list(self._flows):
                open_flow.keep_alive(now)

    def close(self) -> None:
        """Close all flows and release the socket."""
        for open_flow in list(self._flows):
            open_flow.close(flow.CloseCode.NO_ERROR, "backend server is leaving")
        if self._return_socket is not None:
            self._return_socket.close()
            self._return_socket = None

    # Flows.

    def _has_capacity(self) -> bool:
        has_capacity = len(self._flows) < self._settings.connections
        is_ready = self._configuration is not None
        return has_capacity and is_ready and not self._drain.is_draining

    def _open_or_forward(
        self, header: quic_header.Header, envelope: tunnel.Envelope
    ) -> None:
        """Open a new flow here, or forward it to a less loaded peer.

        A flow that a peer has forwarded already is always opened here.
        """
        if envelope.hops == 0:
            now = self._loop.time()
            home = self._peers.placement.place(
                header.destination_cid, self.make_load_report(), now
            )
            receiver = self._peers.find_member(home)
            if receiver is not None:
                self._counters.add(counters.Counter.FLOWS_HANDED_ON)
                caller_datagram = flow.CallerDatagram(envelope.payload, envelope.caller)
                self._forward(receiver.tunnel_address, home, 1, caller_datagram)
                return
        self._open_flow(header, envelope)

    def _open_flow(self, header: quic_header.Header, envelope: tunnel.Envelope) -> None:
        if self._configuration is None:
            self._counters.add(counters.Counter.FLOWS_REFUSED)
            return
        quic = connection.SteeredConnection(
            self._quic_settings, header.destination_cid, self._issue_cid
        )
        has_capacity = self._has_capacity()
        new_flow = self._add_flow(quic, envelope.caller, None)
        self._flows_by_cid[header.destination_cid] = new_flow
        self._counters.add(counters.Counter.FLOWS_OPENED)
        log.debug(events.Event.FLOW_OPENED, caller=str(envelope.caller))
        new_flow.handle_datagram(envelope.payload, envelope.caller)
        if not has_capacity:
            self._counters.add(counters.Counter.FLOWS_REFUSED)
            new_flow.close(flow.CloseCode.CONNECTION_REFUSED, "no room")

    def _restore_flow(self, state: handoff.FlowState) -> flow.Flow:
        """Restore a flow from the state that another agent sent."""
        caller = addresses.Address(state.caller_host, state.caller_port)
        quic = transfer.restore(
            state.quic,
            self._quic_settings,
            caller,
            self._issue_cid,
            self._loop.time(),
        )
        http = None
        if state.http is not None:
            http = http3.HttpConnection(quic, state.http)
        return self._add_flow(quic, caller, http)

    def _add_flow(
        self,
        quic: connection.SteeredConnection,
        caller: addresses.Address,
        http: http3.HttpConnection | None,
    ) -> flow.Flow:
        assert self._configuration is not None
        idle_timeout = self._configuration.idle_timeout_seconds
        new_flow = flow.Flow(quic, self._flow_callbacks, idle_timeout, caller, http)
        self._flows.add(new_flow)
        for cid in quic.host_cids:
            self._flows_by_cid[cid] = new_flow
        return new_flow

    def _on_cid_issued(self, owner: flow.Flow, cid: bytes) -> None:
        self._flows_by_cid[cid] = owner

    def _on_cid_retired(self, owner: flow.Flow, cid: bytes) -> None:
        if self._flows_by_cid.get(cid) is owner:
            del self._flows_by_cid[cid]

    def _on_flow_closed(self, closed_flow: flow.Flow) -> None:
        self._flows.discard(closed_flow)
        original = closed_flow.quic.original_destination_connection_id
        for cid in (original, *closed_flow.quic.host_cids):
            if self._flows_by_cid.get(cid) is closed_flow:
                del self._flows_by_cid[cid]
        self._counters.add(counters.Counter.FLOWS_CLOSED)
        log.debug(events.Event.FLOW_CLOSED, caller=str(closed_flow.caller))

    # Datagrams.

    def _bind_return_socket(self, address: addresses.Address) -> None:
        if self._return_socket is not None:
            self._return_socket.close()
        local_address = addresses.Address(self._host, address.port)
        self._return_socket = sockets.bind_udp(local_address, reuse_port=True)
        self._ancillary = sockets.source_ancillary(address.host)

    def _transmit(self, datagram: bytes, caller: addresses.Address) -> None:
        if self._return_socket is None:
            return
        try:
            self._return_socket.sendmsg([datagram], self._ancillary, 0, caller)
        except OSError as error:
            self._counters.add(counters.Counter.SEND_FAILED)
            log.debug(events.Event.SEND_FAILED, address=str(caller), why=str(error))

    def _forward(
        self,
        address: addresses.Address,
        home: identifiers.HomeId,
        hops: int,
        caller_datagram: flow.CallerDatagram,
    ) -> None:
        datagram = tunnel.encode(
            self._tunnel_authenticator,
            home,
            hops,
            caller_datagram.caller,
            caller_datagram.datagram,
        )
        self._send_tunnel_datagram(datagram, address)


def _make_quic_settings(
    agent: schema.AgentSettings,
) -> quic_configuration.QuicConfiguration:
    settings = quic_configuration.QuicConfiguration(
        alpn_protocols=ALPN,
        connection_id_length=connection_id.LENGTH_BYTES,
        is_client=False,
        max_data=connection.CONNECTION_WINDOW_BYTES,
        max_stream_data=connection.STREAM_WINDOW_BYTES,
    )
    settings.load_cert_chain(str(agent.certificate), str(agent.private_key))
    return settings
