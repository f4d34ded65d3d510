"""The agent process of the packet transport."""

from __future__ import annotations

import asyncio
import collections.abc
import http
import socket
import time

from msgspec import structs

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    agent,
    cold_start,
    messages,
    packets,
    reports,
    routes,
    servers,
)
from cactushall_core.membership import records
from cactushall_daemon import counters, events, gossip, logs, sockets
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import (
    announcement_calls,
    evacuation_follower,
    executor,
    node,
    server_port,
)
from cactushall_platform import calls
from cactushall_platform import packets as layout
from cactushall_rpc import http as http_calls

log = logs.get_logger(__name__)

TICK_SECONDS = 0.05
HEALTH_TIMEOUT_SECONDS = 0.5
HEALTH_RETRY_SECONDS = 0.3
HEALTH_ATTEMPTS = 4
CONNECTION_LIMIT = 2000
MAX_DIRECT_UPDATES = 64


class AgentProcess:
    """An agent: forwards packets between entries, callers and one backend server."""

    def __init__(
        self,
        settings: packet_schema.PacketAgentSettings,
        refresh_settings: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Create the agent without binding any address.

        Args:
            settings: The agent's settings.
            refresh_settings: Applies changed settings that have not been applied yet.
        """
        self._settings = settings
        self._refresh_settings = refresh_settings
        self._loop = asyncio.get_running_loop()
        now = self._loop.time()
        self._load_reporter = reports.LoadReporter(now)
        self._packet_socket: socket.socket | None = None
        self._server_socket: socket.socket | None = None
        self._executor: executor.ActionExecutor | None = None
        self._server = servers.Server(
            identifiers.ServiceName(settings.service),
            settings.server,
            settings.heartbeat_milliseconds / 1000,
        )
        self._cold = cold_start.ColdStart(settings.cold_overage, settings.cold_slack)
        self._was_cold = False
        self._has_seen_all = False
        self._is_connecting = False
        self._flows = agent.AgentFlows(self._server, now, self._cold)
        self._node = node.Node(
            settings,
            node.make_member(settings, records.Role.AGENT, self._build_endpoints()),
            gossip.Callbacks(self._flows.update_member),
            on_routes=self._on_routes,
            on_message=self._on_message,
            gauges=self._read_gauges,
            on_evacuated=self._on_evacuated,
            count_flows=self._count_flows,
        )
        self._announcements = announcement_calls.AnnouncementCalls(
            self._server,
            self._flows,
            self._node.counters,
            self._loop.time,
            time.time,
            self._publish_server_state,
        )

    async def start(self) -> None:
        """Bind all addresses, join the fleet and start serving.

        Raises:
            BindError: An address cannot be bound.
        """
        # A server may start as soon as its agent has bound an address.
        await self._connect_to_server()
        packet_address = self._settings.packet_address
        self._packet_socket = sockets.bind_udp(packet_address)
        self._server_socket = sockets.bind_udp(self._settings.from_server)
        self._executor = executor.ActionExecutor(
            self._node, self._packet_socket, packet_address.port, self._send_to_server
        )
        sockets.receive_batches(self._server_socket, self._receive_from_server)
        announcements = self._settings.announcements
        await self._node.serve(announcements, self._handle_announcement_call)
        await self._node.start()
        sockets.receive_batches(self._packet_socket, self._receive)
        readiness = self._settings.readiness_address
        await self._node.serve(readiness, self._handle_readiness_call)
        self._tick()

    async def stop(self) -> None:
        """Leave the fleet and close all sockets, without a pause in between."""
        self._execute(self._flows.leave())
        self._node.stop()
        for sock in (self._packet_socket, self._server_socket):
            if sock is not None:
                sockets.close(sock)

    def reload(self, settings: packet_schema.PacketAgentSettings) -> None:
        """Apply changed settings."""
        self._settings = settings
        self._node.reload(settings)
        service = identifiers.ServiceName(settings.service)
        if self._flows.configure_server(service, settings.server, self._loop.time()):
            self._publish_server_state()

    def _read_gauges(self) -> dict[str, float]:
        load = self._flows.load
        return {
            "flows": load.flows,
            "requests_waiting": load.requests,
            "slots": load.slots,
            "service_seconds": load.service_seconds,
            "flows_in_evacuated_zone": load.flows if self._is_evacuated() else 0,
            "server_cold": self._cold.is_cold,
        }

    def _count_flows(self, zone: identifiers.ZoneName) -> int | None:
        return self._flows.flow_count if zone == self._settings.zone else None

    def _is_evacuated(self) -> bool:
        return self._settings.zone in self._node.evacuated

    def _on_evacuated(self, _zones: evacuation_follower.Zones) -> None:
        self._flows.update_evacuated(self._is_evacuated())

    def _tick(self) -> None:
        self._loop.call_later(TICK_SECONDS, self._tick)
        now = self._loop.time()
        self._execute(self._flows.tick(now))
        if self._server.tick(now):
            log.warning(events.Event.SERVER_UNRESPONSIVE, service=self._server.service)
            self._publish_server_state()
            self._node.spawn(self._connect_to_server())
        self._report_load(now)
        self._record_cold_start()
        self._record_flows_known()

    def _record_cold_start(self) -> None:
        declined = self._cold.declined
        self._node.counters.set(counters.Counter.FLOWS_DECLINED_COLD, declined)
        if self._cold.is_cold != self._was_cold:
            self._was_cold = self._cold.is_cold
            log.info(
                events.Event.SERVER_COLD_CHANGED,
                service=self._server.service,
                is_cold=self._was_cold,
                declined=declined,
            )

    def _record_flows_known(self) -> None:
        if self._flows.has_seen_all == self._has_seen_all:
            return
        self._has_seen_all = self._flows.has_seen_all
        if self._has_seen_all:
            log.info(events.Event.FLOWS_KNOWN, service=self._server.service)

    # Packets.

    def _receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        packet = self._decode_from_caller(datagram)
        if packet is None:
            return
        self._node.count_caller_packet(packet)
        entry = addresses.Address(*source)
        if packet.is_opening and not self._flows.has_routes:
            self._node.fetch_configuration_from(entry)
        self._execute(
            self._flows.handle_caller_packet(packet, entry, self._loop.time())
        )

    def _receive_from_server(self, datagram: bytes, _source: tuple[str, int]) -> None:
        packet = self._count_malformed(layout.decode_from_server(datagram))
        if packet is None:
            return
        decisions = self._flows.handle_server_packet(packet, self._loop.time())
        if packet.flags & packets.Flags.RST and _reaches_caller(decisions):
            self._log_server_reset(packet)
        self._execute(decisions)

    def _log_server_reset(self, packet: packets.Packet) -> None:
        load = self._flows.load
        log.info(
            events.Event.FLOW_RESET_BY_SERVER,
            flow=str(packet.flow),
            flows=load.flows,
            requests=load.requests,
        )

    def _decode_from_caller(self, datagram: bytes) -> packets.Packet | None:
        """Decode a caller's packet, with the settings of this moment in force.

        Only they tell which service's server may get a new flow: its address may have
        gone to another service since the latest regular look at the settings.
        """
        packet = self._count_malformed(layout.decode_from_caller(datagram))
        if packet is not None and packet.is_opening:
            self._refresh_settings()
        return packet

    def _count_malformed(self, packet: packets.Packet | None) -> packets.Packet | None:
        if packet is None:
            self._node.counters.add(counters.Counter.MALFORMED)
        return packet

    def _execute(self, decisions: list[actions.Action]) -> None:
        if self._executor is not None:
            self._executor.execute(decisions)

    def _send_to_server(self, datagram: bytes) -> None:
        assert self._server_socket is not None
        server = self._settings.server
        sockets.send(self._server_socket, datagram, server, self._node.counters)

    def _on_message(self, sender: addresses.Address, message: messages.Message) -> None:
        if isinstance(message, messages.OwnershipQuery):
            self._execute(self._flows.handle_query(message.flows, sender))
        if isinstance(message, messages.ReleaseFlow):
            self._execute(
                self._flows.handle_release(
                    message.flow, message.opening_sequence, self._loop.time()
                )
            )
        if not isinstance(message, messages.LookupRequest):
            return
        packet = self._decode_from_caller(message.datagram)
        if packet is None:
            return
        self._execute(self._flows.handle_lookup(packet, sender, self._loop.time()))

    # Backend server.

    def _handle_announcement_call(
        self, request: http_calls.Request
    ) -> http_calls.Response:
        self._refresh_settings()
        response = self._announcements.handle(request)
        if self._flows.awaits_acceptance:
            self._node.spawn(self._connect_to_server())
        return response

    async def _connect_to_server(self) -> None:
        """Find out whether a server listens, which may prove that it is a new one."""
        if self._flows.has_seen_all or self._is_connecting:
            return
        self._is_connecting = True
        server = self._settings.server
        result = await server_port.connect(server)
        self._is_connecting = False
        if server != self._settings.server:
            return
        if result is server_port.Result.REFUSED:
            self._flows.handle_server_refused(self._loop.time())
        elif result is server_port.Result.ACCEPTED:
            self._flows.handle_server_accepted()

    def _build_endpoints(self) -> tuple[records.Endpoint, ...]:
        """Return the backend server's endpoints as other members should see them."""
        if self._server.has_certainly_stopped:
            return ()
        service = self._server.service
        is_ready = self._server.state is servers.State.READY
        home = identifiers.HomeId(0)
        return (records.Endpoint(service, home, CONNECTION_LIMIT, not is_ready),)

    def _publish_server_state(self) -> None:
        """Publish the backend server's state to the fleet where it has changed."""
        member = self._node.gossip.membership.member
        endpoints = self._build_endpoints()
        if endpoints == member.endpoints:
            return
        log.info(
            events.Event.SERVER_CHANGED,
            service=self._server.service,
            state=self._server.state.value,
        )
        recipients = self._flows.entries.gossip_addresses[:MAX_DIRECT_UPDATES]
        self._node.gossip.update(
            structs.replace(member, endpoints=endpoints), recipients
        )

    async def _check_health(self) -> None:
        """Probe the health path until the server responds or announces itself."""
        for _ in range(HEALTH_ATTEMPTS):
            path = self._node.route_table.health_paths.get(self._server.service)
            if not path or self._server.state is not servers.State.UNKNOWN:
                return
            try:
                response = await http_calls.get(
                    self._settings.server, path, HEALTH_TIMEOUT_SECONDS
                )
            except http_calls.RequestError as error:
                log.debug(events.Event.HEALTH_CHECK_FAILED, why=str(error))
            else:
                if response.status == http.HTTPStatus.OK:
                    self._server.record_health_check_success(self._loop.time())
                    self._publish_server_state()
                    return
            await asyncio.sleep(HEALTH_RETRY_SECONDS)

    # Other nodes.

    def _on_routes(self, route_table: routes.RouteTable) -> None:
        is_first = not self._flows.has_routes
        # Opening packets that were waiting for routes are decided on now.
        self._refresh_settings()
        self._execute(self._flows.update_routes(route_table, self._loop.time()))
        if is_first:
            self._node.spawn(self._check_health())

    def _report_load(self, now: float) -> None:
        load = self._flows.load
        if not self._load_reporter.is_due(load, now):
            return
        entries = self._flows.entries.control_addresses
        self._node.send_to_all(entries, messages.LoadReport(load))

    def _handle_readiness_call(
        self, request: http_calls.Request
    ) -> http_calls.Response:
        if request.path != calls.READINESS_PATH:
            return http_calls.Response(http.HTTPStatus.NOT_FOUND)
        return http_calls.Response()


def _reaches_caller(decisions: list[actions.Action]) -> bool:
    return any(isinstance(action, actions.SendToCaller) for action in decisions)
