"""The agent process."""

from __future__ import annotations

import asyncio
import socket

from msgspec import structs

from cactushall_core import (
    addresses,
    configuration,
    exceptions,
    handoff,
    identifiers,
    peering,
    quic_header,
    tunnel,
)
from cactushall_core.membership import records
from cactushall_daemon import control, counters, events, logs, node, sockets
from cactushall_daemon.agent import endpoint
from cactushall_daemon.config import schema
from cactushall_rpc.generated import control_pb2

log = logs.get_logger(__name__)

DRAIN_POLL_INTERVAL_SECONDS = 0.1


class AgentProcess:
    """Serves the endpoints of one agent."""

    def __init__(self, settings: schema.AgentSettings) -> None:
        """Prepare without binding any socket."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._is_stopping = False
        self._ready_homes: set[identifiers.HomeId] = set()
        member = node.make_member(
            settings,
            records.Role.AGENT,
            settings.tunnel_port,
            self._make_endpoint_records,
        )
        self._node = node.Node(
            settings,
            member,
            on_member_changed=self._on_member_changed,
            on_configuration=self._on_configuration,
            agent_handlers=control.AgentHandlers(
                endpoint_statuses=self._report_endpoints,
                accept_flow=self._accept_flow,
                switched_moves=self._filter_switched,
                wait_for_answer=self._answer_peer,
                accept_handover=self._take_over_keys,
            ),
        )
        key_ring = tuple(settings.key_files)
        self._tunnel_authenticator = tunnel.make_authenticator(key_ring)
        self._peering_authenticator = peering.make_authenticator(key_ring)
        self._socket: socket.socket | None = None
        self._endpoints = {
            made.home: made
            for made in (
                endpoint.Endpoint(
                    local_endpoint,
                    settings,
                    member.id,
                    self._node.counters,
                    self._node.client,
                    self._node.store,
                    self._send,
                )
                for local_endpoint in settings.endpoints
            )
        }

    async def start(self) -> None:
        """Join the fleet and start serving.

        Raises:
            BindError: An address cannot be bound.
        """
        own_address = addresses.Address(
            self._settings.address, self._settings.tunnel_port
        )
        self._socket = sockets.bind_udp(own_address)
        sockets.receive_batches(self._socket, self._receive)
        await self._node.start()
        self._node.keep_running(self._run_ticks)
        for local_endpoint in self._endpoints.values():
            local_endpoint.start(self._node.keep_running)

    def reload(self, settings: schema.AgentSettings) -> None:
        """Apply the contact points of changed settings."""
        self._node.reload(settings)

    async def stop(self) -> None:
        """Move all flows away, then leave the fleet."""
        self._is_stopping = True
        self._update_draining()
        timeout = self._settings.drain_timeout_seconds or None
        try:
            async with asyncio.timeout(timeout):
                await self._wait_until_drained()
            log.info(events.Event.DRAIN_COMPLETED)
        except TimeoutError:
            log.warning(events.Event.DRAIN_TIMED_OUT)
        await asyncio.gather(*(e.leave_epoch() for e in self._endpoints.values()))
        await self._node.stop()
        for local_endpoint in self._endpoints.values():
            local_endpoint.close()
        if self._socket is not None:
            sockets.close(self._socket)

    async def _wait_until_drained(self) -> None:
        while not all(e.drain.is_empty for e in self._endpoints.values()):
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)

    def _make_endpoint_records(
        self, member: identifiers.MemberId
    ) -> tuple[records.Endpoint, ...]:
        names = [identifiers.ServiceName(e.service) for e in self._settings.endpoints]
        limits = [e.connections for e in self._settings.endpoints]
        return tuple(
            records.Endpoint(
                name, identifiers.derive_home_id(member, name), limit, is_draining=True
            )
            for name, limit in zip(names, limits, strict=True)
        )

    def _update_draining(self) -> None:
        """Drain while an operator has asked for it or the process stops.

        An endpoint that is not ready yet is also announced as draining.
        """
        member = self._node.gossip.membership.member
        configured = self._node.configuration
        is_draining = self._is_stopping or configured.is_drained(
            member.name, member.zone
        )
        for local_endpoint in self._endpoints.values():
            local_endpoint.drain.set_draining(is_draining)
        announced = tuple(
            structs.replace(e, is_draining=is_draining or not self._is_ready(e.home))
            for e in member.endpoints
        )
        if announced != member.endpoints:
            changed = structs.replace(member, endpoints=announced)
            self._node.gossip.update(changed)

    def _is_ready(self, home: identifiers.HomeId) -> bool:
        self._ready_homes |= {h for h, e in self._endpoints.items() if e.is_ready}
        return home in self._ready_homes

    # Datagrams.

    def _receive(self, datagram: bytes, _source: tuple[str, int]) -> None:
        self._node.counters.add(counters.Counter.RECEIVED)
        try:
            if peering.is_peering_message(datagram):
                self._handle_peer_message(
                    peering.decode(self._peering_authenticator, datagram)
                )
                return
            envelope = tunnel.decode(self._tunnel_authenticator, datagram)
        except exceptions.DecodeError:
            self._node.counters.add(counters.Counter.TUNNEL_REJECTED)
            return
        local_endpoint = self._endpoints.get(envelope.home)
        if local_endpoint is not None:
            local_endpoint.handle_envelope(envelope)
        else:
            self._reset_unknown_home(envelope)

    def _handle_peer_message(self, packet: peering.Packet) -> None:
        local_endpoint = self._find_endpoint(packet.service)
        if local_endpoint is not None:
            local_endpoint.idempotency.handle_message(packet.sender, packet.body)

    def _find_endpoint(self, service: str) -> endpoint.Endpoint | None:
        found = (e for e in self._endpoints.values() if e.service == service)
        return next(found, None)

    def _reset_unknown_home(self, envelope: tunnel.Envelope) -> None:
        """Reset a flow of an earlier process that had this agent's address."""
        header = quic_header.parse(envelope.payload)
        if header is None:
            self._node.counters.add(counters.Counter.MALFORMED)
            return
        for local_endpoint in self._endpoints.values():
            if local_endpoint.is_id_of_other_home(header.destination_cid):
                local_endpoint.send_stateless_reset(header, envelope)
                return
        self._node.counters.add(counters.Counter.FOREIGN_ID)

    def _send(self, datagram: bytes, address: addresses.Address) -> None:
        if self._socket is not None:
            sockets.send(self._socket, datagram, address, self._node.counters)

    # Callbacks of the node and the control service.

    def _on_member_changed(self, record: records.Record) -> None:
        for local_endpoint in self._endpoints.values():
            local_endpoint.peers.apply_member(record)

    def _on_configuration(self, configured: configuration.Configuration) -> None:
        for local_endpoint in self._endpoints.values():
            try:
                local_endpoint.configure(configured.service(local_endpoint.service))
            except sockets.BindError as error:
                log.error(events.Event.BIND_FAILED, why=str(error))
            has_callers = any(
                zone.name == self._settings.zone and zone.caller_networks
                for zone in configured.zones
            )
            own_zone = identifiers.ZoneName(self._settings.zone)
            local_endpoint.peers.set_preferred_zone(own_zone if has_callers else None)
        self._update_draining()

    def _report_endpoints(self) -> list[control_pb2.EndpointStatus]:
        return [
            local_endpoint.make_status() for local_endpoint in self._endpoints.values()
        ]

    async def _accept_flow(self, encoded: bytes) -> control_pb2.MoveFlowResponse:
        try:
            state = handoff.decode(encoded)
        except exceptions.DecodeError as error:
            return control.reject_move(str(error))
        local_endpoint = self._find_endpoint(state.service)
        if local_endpoint is None:
            return control.reject_move(f"{state.service} has no backend server here")
        return await local_endpoint.incoming_moves.accept(state)

    async def _answer_peer(
        self, request: control_pb2.AnswerRequest
    ) -> control_pb2.AnswerResponse:
        local_endpoint = self._find_endpoint(request.service)
        if local_endpoint is None:
            return control_pb2.AnswerResponse()
        return await local_endpoint.idempotency.answer_peer(request)

    def _take_over_keys(self, request: control_pb2.HandoverRequest) -> None:
        local_endpoint = self._find_endpoint(request.service)
        if local_endpoint is not None:
            local_endpoint.idempotency.take_over_keys(request)

    def _filter_switched(self, move_ids: list[bytes]) -> list[bytes]:
        remaining = set(move_ids)
        for local_endpoint in self._endpoints.values():
            remaining &= set(
                local_endpoint.incoming_moves.filter_switched(list(remaining))
            )
        return list(remaining)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(endpoint.TICK_INTERVAL_SECONDS)
            for local_endpoint in self._endpoints.values():
                local_endpoint.tick()
            if len(self._ready_homes) < len(self._endpoints):
                self._update_draining()
