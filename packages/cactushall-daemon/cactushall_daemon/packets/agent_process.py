"""The agent process."""

from __future__ import annotations

import asyncio
import http
import socket

from msgspec import structs

from cactushall_core import addresses, exceptions, identifiers
from cactushall_core.flows import (
    actions,
    agent,
    messages,
    packets,
    reports,
    routes,
    servers,
)
from cactushall_core.membership import records
from cactushall_daemon import counters, events, logs, sockets
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import carrier, node
from cactushall_platform import calls
from cactushall_platform import packets as layout
from cactushall_rpc import http as http_calls

log = logs.get_logger(__name__)

TICK_SECONDS = 0.05
HEALTH_TIMEOUT_SECONDS = 0.5
HEALTH_RETRY_SECONDS = 0.3
HEALTH_ATTEMPTS = 4
CONNECTION_LIMIT = 2000
MAX_TOLD = 64


class AgentProcess:
    """An agent with its place in the fleet and the backend server beside it."""

    def __init__(self, settings: packet_schema.PacketAgentSettings) -> None:
        """Prepare; nothing is bound yet."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        now = self._loop.time()
        self._entries: dict[addresses.Address, addresses.Address] = {}
        self._reporter = reports.Reporter(now)
        self._packet_socket: socket.socket | None = None
        self._server_socket: socket.socket | None = None
        self._carrier: carrier.Carrier | None = None
        self._server = servers.Server(
            identifiers.ServiceName(settings.service),
            settings.heartbeat_milliseconds / 1000,
        )
        self._flows = agent.AgentFlows(self._server, now)
        self._node = node.Node(
            settings,
            node.make_member(settings, records.Role.AGENT, self._endpoints()),
            on_member_changed=self._on_member_changed,
            on_routes=self._on_routes,
            on_message=self._on_message,
            gauges=self._gauges,
        )

    async def start(self) -> None:
        """Take part and serve.

        Raises:
            BindError: An address cannot be bound.
        """
        packet_address = self._settings.packet_address
        self._packet_socket = sockets.bind_udp(packet_address)
        self._server_socket = sockets.bind_udp(self._settings.from_server)
        self._carrier = carrier.Carrier(
            self._node, self._packet_socket, packet_address.port, self._deliver
        )
        sockets.receive_batches(self._server_socket, self._receive_from_server)
        announcements = self._settings.announcements
        await self._node.serve(announcements, self._answer_server)
        await self._node.start()
        sockets.receive_batches(self._packet_socket, self._receive)
        readiness = self._settings.readiness_address
        await self._node.serve(readiness, self._answer_readiness)
        self._tick()

    async def stop(self) -> None:
        """Leave the fleet and release all addresses."""
        self._node.stop()
        for sock in (self._packet_socket, self._server_socket):
            if sock is not None:
                sockets.close(sock)

    def reload(self, settings: packet_schema.PacketAgentSettings) -> None:
        """Use what has changed in the settings."""
        self._settings = settings
        self._node.reload(settings)

    def _gauges(self) -> dict[str, float]:
        load = self._flows.load
        return {
            "flows": load.flows,
            "requests_waiting": load.requests,
            "slots": load.slots,
            "service_seconds": load.service_seconds,
        }

    def _tick(self) -> None:
        now = self._loop.time()
        self._flows.tick(now)
        if self._server.tick(now):
            log.warning(events.Event.SERVER_SILENT, service=self._server.service)
            self._announce_server()
        self._report_load(now)
        self._loop.call_later(TICK_SECONDS, self._tick)

    # Packets.

    def _receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        packet = self._count_malformed(layout.decode_from_caller(datagram))
        if packet is None:
            return
        entry = addresses.Address(*source)
        if packet.is_opening and not self._flows.has_routes:
            self._node.ask_for_configuration(entry)
        self._carry_out(self._flows.receive(packet, entry, self._loop.time()))

    def _receive_from_server(self, datagram: bytes, _source: tuple[str, int]) -> None:
        packet = self._count_malformed(layout.decode_from_server(datagram))
        if packet is None:
            return
        decided = self._flows.receive_from_server(packet, self._loop.time())
        if packet.flags & packets.Flags.RST and _is_returned(decided):
            self._log_cut(packet)
        self._carry_out(decided)

    def _log_cut(self, packet: packets.Packet) -> None:
        load = self._flows.load
        log.info(
            events.Event.FLOW_CUT,
            flow=str(packet.flow),
            flows=load.flows,
            requests=load.requests,
        )

    def _count_malformed(self, packet: packets.Packet | None) -> packets.Packet | None:
        if packet is None:
            self._node.counters.add(counters.Counter.MALFORMED)
        return packet

    def _carry_out(self, decided: list[actions.Action]) -> None:
        if self._carrier is not None:
            self._carrier.carry_out(decided)

    def _deliver(self, datagram: bytes) -> None:
        assert self._server_socket is not None
        server = self._settings.server
        sockets.send(self._server_socket, datagram, server, self._node.counters)

    def _on_message(self, sender: addresses.Address, message: messages.Message) -> None:
        if not isinstance(message, messages.Question):
            return
        packet = self._count_malformed(layout.decode_from_caller(message.datagram))
        if packet is None:
            return
        self._carry_out(self._flows.answer(packet, sender, self._loop.time()))

    # The backend server.

    def _answer_server(self, request: http_calls.Request) -> http_calls.Response:
        """Take an announcement or a goodbye and acknowledge it."""
        server_id = calls.server_id(request.path)
        if server_id is None:
            return http_calls.Response(http.HTTPStatus.NOT_FOUND)
        now = self._loop.time()
        if request.method == calls.LEAVE_METHOD:
            self._server.leave(server_id, now)
        elif request.method == calls.ANNOUNCE_METHOD:
            try:
                announcement = calls.decode_announcement(server_id, request.body)
            except exceptions.DecodeError as error:
                self._node.counters.add(counters.Counter.ANNOUNCEMENTS_REFUSED)
                log.warning(events.Event.ANNOUNCEMENT_REFUSED, why=str(error))
                return http_calls.Response(http.HTTPStatus.BAD_REQUEST)
            self._flows.hear(announcement, now)
        else:
            return http_calls.Response(http.HTTPStatus.METHOD_NOT_ALLOWED)
        self._announce_server()
        return http_calls.Response(body=b"{}")

    def _endpoints(self) -> tuple[records.Endpoint, ...]:
        """Return what others should know of the backend server."""
        service = self._server.service
        is_taking = self._server.state is servers.State.READY
        home = identifiers.HomeId(0)
        return (records.Endpoint(service, home, CONNECTION_LIMIT, not is_taking),)

    def _announce_server(self) -> None:
        """Tell other nodes where the backend server's state has changed."""
        member = self._node.gossip.membership.member
        endpoints = self._endpoints()
        if endpoints == member.endpoints:
            return
        log.info(
            events.Event.SERVER_CHANGED,
            service=self._server.service,
            state=self._server.state.value,
        )
        told = list(self._entries.values())[:MAX_TOLD]
        self._node.gossip.update(structs.replace(member, endpoints=endpoints), told)

    async def _check_health(self) -> None:
        """Ask a backend server that has not announced itself whether it is there."""
        for _ in range(HEALTH_ATTEMPTS):
            path = self._node.route_table.health_paths.get(self._server.service)
            if not path or self._server.state is not servers.State.UNKNOWN:
                return
            try:
                answer = await http_calls.call_once(
                    self._settings.server, path, HEALTH_TIMEOUT_SECONDS
                )
            except http_calls.CallError as error:
                log.debug(events.Event.HEALTH_CHECK_FAILED, why=str(error))
            else:
                if answer.status == http.HTTPStatus.OK:
                    self._server.note_healthy(self._loop.time())
                    self._announce_server()
                    return
            await asyncio.sleep(HEALTH_RETRY_SECONDS)

    # Other nodes.

    def _on_member_changed(self, record: records.Record) -> None:
        member = record.member
        if member.role is not records.Role.ENTRY:
            return
        if record.is_present:
            self._entries[member.control_address] = member.gossip_address
        else:
            self._entries.pop(member.control_address, None)

    def _on_routes(self, adopted: routes.RouteTable) -> None:
        is_first = not self._flows.has_routes
        self._carry_out(self._flows.adopt(adopted, self._loop.time()))
        if is_first:
            self._node.spawn(self._check_health())

    def _report_load(self, now: float) -> None:
        load = self._flows.load
        if not self._reporter.is_due(load, now):
            return
        for entry in self._entries:
            self._node.tell(entry, messages.LoadReport(load))

    def _answer_readiness(self, request: http_calls.Request) -> http_calls.Response:
        if request.path != calls.READINESS_PATH:
            return http_calls.Response(http.HTTPStatus.NOT_FOUND)
        return http_calls.Response()


def _is_returned(decided: list[actions.Action]) -> bool:
    return any(isinstance(action, actions.Return) for action in decided)
