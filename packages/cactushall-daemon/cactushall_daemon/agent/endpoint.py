"""One backend server's endpoint: its flows and the datagrams of their callers."""

from __future__ import annotations

import asyncio
import collections.abc
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
from cactushall_daemon import counters, events, logs, sockets
from cactushall_daemon.agent import (
    drain,
    epochs,
    flow,
    moves,
    once,
    peers,
    requests,
)
from cactushall_daemon.agent.quic import connection, http3, transfer
from cactushall_daemon.config import schema
from cactushall_rpc import control, store
from cactushall_rpc.generated import control_pb2

log = logs.get_logger(__name__)

TICK_SECONDS = 0.05
STARTUP_SECONDS = 15.0
KEEP_ALIVE_TICKS = 20
ALPN = ["h3"]

SendTunnel = collections.abc.Callable[[bytes, addresses.Address], None]


class Endpoint:
    """The endpoint of one service at this agent."""

    def __init__(
        self,
        settings: schema.EndpointSettings,
        agent: schema.AgentSettings,
        member: identifiers.MemberId,
        tallies: counters.Counters,
        client: control.Client,
        key_value_store: store.Store,
        send: SendTunnel,
    ) -> None:
        """Prepare; flows are taken once the service is configured.

        Args:
            settings: Settings of the endpoint.
            agent: Settings of the agent.
            member: The agent's member id.
            tallies: Takes counts.
            client: Makes control calls.
            key_value_store: Holds the epoch of the service.
            send: Sends a datagram to another agent's tunnel address.
        """
        self._settings = settings
        self._service = identifiers.ServiceName(settings.service)
        self._home = identifiers.derive_home_id(member, self._service)
        self._host = agent.address
        self._send = send
        self._counters = tallies
        self._loop = asyncio.get_running_loop()
        ring: tuple[keys.Key, ...] = tuple(agent.key_files)
        self._keys = connection_id.make_service_keys(ring, self._service)
        self._tunnel = tunnel.make_authenticator(ring)
        self._issue_cid = connection.make_cid_factory(self._keys, self._home)
        self._quic_settings = _make_quic_settings(agent)
        self._flows_by_cid: dict[bytes, flow.Flow] = {}
        self._flows: set[flow.Flow] = set()
        self._configuration: configuration.Service | None = None
        self._return_socket: socket.socket | None = None
        self._ancillary: list[tuple[int, int, bytes]] = []
        self._ticks = 0
        self._created_at = self._loop.time()
        self._peers = peers.Peers(
            self._service, member, peering.make_authenticator(ring), send
        )
        self._epochs = epochs.EpochKeeper(
            self._service, member, self._peers, key_value_store
        )
        self._once = once.OnceDesk(
            self._service, member, self._peers, client, self._epochs.want_read
        )
        self._desk = requests.RequestDesk(
            self._service, settings.server, settings.slots, self._once, tallies
        )
        self._departures = moves.Departures(
            self._service, self._desk, self._peers, client, self._forward, tallies
        )
        self._arrivals = moves.Arrivals(
            self._desk, self._adopt, self._has_room, tallies
        )
        self._drain = drain.Drain(
            self._service, self._flows, self._desk, self._peers, self._departures
        )
        self._handler = flow.FlowHandler(
            transmit=self._transmit,
            on_request=self._desk.start,
            on_stream_closed=self._desk.cancel,
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
        """Id that the endpoint's flows carry."""
        return self._home

    @property
    def peers(self) -> peers.Peers:
        """The other agents of the service."""
        return self._peers

    @property
    def once(self) -> once.OnceDesk:
        """Idempotency keys."""
        return self._once

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint can take every kind of request.

        One that has waited long for its epoch takes what it can.
        """
        has_waited = self._loop.time() - self._created_at > STARTUP_SECONDS
        return has_waited or self._once.keys.has_quorum(self._loop.time())

    async def leave_epoch(self) -> None:
        """Hand over all keys and leave the epoch, before the process stops."""
        is_handed_over = await self._once.hand_over()
        await self._epochs.leave(self._once.keys, is_handed_over=is_handed_over)
        self._peers.tell(self.load(), self._once.keys.current_epoch.number)

    @property
    def drain(self) -> drain.Drain:
        """Drain and rebalancing of the flows."""
        return self._drain

    @property
    def arrivals(self) -> moves.Arrivals:
        """Flows that come from other agents."""
        return self._arrivals

    def start(self, spawn: collections.abc.Callable[..., None]) -> None:
        """Start the background work."""
        spawn(self._departures.watch())
        spawn(self._epochs.run(self._once.keys))
        spawn(self._drain.run(self.load))

    def describe(self) -> control_pb2.EndpointStatus:
        """Return the endpoint's state."""
        return control_pb2.EndpointStatus(
            service=self._service,
            home=self._home,
            flows=len(self._flows),
            feeds=self._desk.feed_count,
            running=self._desk.queue.running,
            queued=self._desk.queue.queued,
            connection_limit=self._settings.connections,
            is_draining=self._drain.is_draining,
            flows_waiting=self._drain.waiting_count,
            flows_switching=self._departures.switching_count,
            epoch=self._once.keys.current_epoch.number,
            epoch_members=len(self._once.keys.current_epoch.members),
            has_quorum=self._once.keys.has_quorum(self._loop.time()),
        )

    def load(self) -> peering.LoadReport:
        """Return the endpoint's true load."""
        return peering.LoadReport(
            service=self._service,
            home=self._home,
            flows=len(self._flows),
            connection_limit=self._settings.connections,
            running=self._desk.queue.running,
            queued=self._desk.queue.queued,
            slots=self._settings.slots,
            service_seconds=self._desk.queue.measured_seconds,
            is_draining=self._drain.is_draining,
        )

    def configure(self, service: configuration.Service | None) -> None:
        """Take in the service's configuration.

        Raises:
            BindError: The address for answers cannot be bound.
        """
        if service is None or service == self._configuration:
            return
        address = service.service_address
        old = self._configuration
        if old is None or old.service_address != address:
            self._bind_return_socket(address)
        self._configuration = service
        self._quic_settings.idle_timeout = service.idle_timeout_seconds
        self._desk.deadline_seconds = service.deadline_seconds

    def receive(self, envelope: tunnel.Envelope) -> None:
        """Handle a caller's datagram."""
        header = quic_header.parse(envelope.payload)
        if header is None:
            self._counters.add(counters.Counter.MALFORMED)
            return
        cid = header.destination_cid
        found = self._flows_by_cid.get(cid)
        if found is not None:
            found.receive(envelope.payload, envelope.caller)
        elif self._departures.forward_datagram(cid, envelope):
            self._counters.add(counters.Counter.FORWARDED)
        elif header.is_initial:
            self._open_or_hand_on(header, envelope)
        elif header.is_version_unknown:
            answer = connection.version_negotiation(envelope.payload)
            self._transmit(answer, envelope.caller)
        else:
            self.reset_unknown(header, envelope)

    def is_former_id(self, cid: bytes) -> bool:
        """Tell whether an id belongs to this service but to another home."""
        home = connection_id.decode(self._keys, cid)
        return home is not None and home != self._home

    def reset_unknown(
        self, header: quic_header.Header, envelope: tunnel.Envelope
    ) -> None:
        """Tell a caller that its flow is gone, where the id was one of ours."""
        cid = header.destination_cid
        if header.is_long or connection_id.decode(self._keys, cid) is None:
            self._counters.add(counters.Counter.FOREIGN_ID)
            return
        size = len(envelope.payload)
        datagram = steering.stateless_reset(self._keys, cid, size)
        if datagram is not None:
            self._counters.add(counters.Counter.RESETS_SENT)
            self._transmit(datagram, envelope.caller)

    def tick(self) -> None:
        """Do what is due: deadlines, load reports, keep-alives."""
        now = self._loop.time()
        self._desk.tick(now)
        self._once.keys.set_reachable(set(self._peers.present()))
        self._once.tick(now)
        self._peers.tell(self.load(), self._once.keys.current_epoch.number)
        self._ticks += 1
        if self._ticks % KEEP_ALIVE_TICKS == 0:
            for kept in list(self._flows):
                kept.keep_alive(now)

    def close(self) -> None:
        """Close all flows and release the socket."""
        for left in list(self._flows):
            left.close(flow.CloseCode.NO_ERROR, "backend server is leaving")
        if self._return_socket is not None:
            self._return_socket.close()
            self._return_socket = None

    # Flows.

    def _has_room(self) -> bool:
        has_room = len(self._flows) < self._settings.connections
        is_ready = self._configuration is not None
        return has_room and is_ready and not self._drain.is_draining

    def _open_or_hand_on(
        self, header: quic_header.Header, envelope: tunnel.Envelope
    ) -> None:
        """Keep a new flow, or hand it once to a peer that has fewer."""
        if envelope.hops == 0:
            now = self._loop.time()
            home = self._peers.placement.place(header.destination_cid, self.load(), now)
            receiver = self._peers.member(home)
            if receiver is not None:
                self._counters.add(counters.Counter.FLOWS_HANDED_ON)
                held = flow.HeldDatagram(envelope.payload, envelope.caller)
                self._forward(receiver.tunnel_address, home, 1, held)
                return
        self._open_flow(header, envelope)

    def _open_flow(self, header: quic_header.Header, envelope: tunnel.Envelope) -> None:
        if self._configuration is None:
            self._counters.add(counters.Counter.FLOWS_REFUSED)
            return
        quic = connection.SteeredConnection(
            self._quic_settings, header.destination_cid, self._issue_cid
        )
        has_room = self._has_room()
        opened = self._register(quic, envelope.caller, None)
        self._flows_by_cid[header.destination_cid] = opened
        self._counters.add(counters.Counter.FLOWS_OPENED)
        log.debug(events.Event.FLOW_OPENED, caller=str(envelope.caller))
        opened.receive(envelope.payload, envelope.caller)
        if not has_room:
            self._counters.add(counters.Counter.FLOWS_REFUSED)
            opened.close(flow.CloseCode.CONNECTION_REFUSED, "no room")

    def _adopt(self, record: handoff.Record) -> flow.Flow:
        """Make a flow of another agent's record."""
        caller = addresses.Address(record.caller_host, record.caller_port)
        quic = transfer.restore(
            record.quic,
            self._quic_settings,
            caller,
            self._issue_cid,
            self._loop.time(),
        )
        http = None
        if record.http is not None:
            http = http3.HttpConnection(quic, record.http)
        return self._register(quic, caller, http)

    def _register(
        self,
        quic: connection.SteeredConnection,
        caller: addresses.Address,
        http: http3.HttpConnection | None,
    ) -> flow.Flow:
        assert self._configuration is not None
        idle_timeout = self._configuration.idle_timeout_seconds
        made = flow.Flow(quic, self._handler, idle_timeout, caller, http)
        self._flows.add(made)
        for cid in quic.host_cids:
            self._flows_by_cid[cid] = made
        return made

    def _on_cid_issued(self, owner: flow.Flow, cid: bytes) -> None:
        self._flows_by_cid[cid] = owner

    def _on_cid_retired(self, owner: flow.Flow, cid: bytes) -> None:
        if self._flows_by_cid.get(cid) is owner:
            del self._flows_by_cid[cid]

    def _on_flow_closed(self, closed: flow.Flow) -> None:
        self._flows.discard(closed)
        original = closed.quic.original_destination_connection_id
        for cid in (original, *closed.quic.host_cids):
            if self._flows_by_cid.get(cid) is closed:
                del self._flows_by_cid[cid]
        self._counters.add(counters.Counter.FLOWS_CLOSED)
        log.debug(events.Event.FLOW_CLOSED, caller=str(closed.caller))

    # Datagrams.

    def _bind_return_socket(self, address: addresses.Address) -> None:
        if self._return_socket is not None:
            self._return_socket.close()
        own = addresses.Address(self._host, address.port)
        self._return_socket = sockets.bind_udp(own, reuse_port=True)
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
        held: flow.HeldDatagram,
    ) -> None:
        datagram = tunnel.encode(self._tunnel, home, hops, held.caller, held.datagram)
        self._send(datagram, address)


def _make_quic_settings(
    agent: schema.AgentSettings,
) -> quic_configuration.QuicConfiguration:
    made = quic_configuration.QuicConfiguration(
        alpn_protocols=ALPN,
        connection_id_length=connection_id.LENGTH_BYTES,
        is_client=False,
        max_data=connection.CONNECTION_WINDOW_BYTES,
        max_stream_data=connection.STREAM_WINDOW_BYTES,
    )
    made.load_cert_chain(str(agent.certificate), str(agent.private_key))
    return made
