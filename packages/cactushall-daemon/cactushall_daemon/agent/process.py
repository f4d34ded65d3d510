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

STOP_POLL_SECONDS = 0.1


class AgentProcess:
    """An agent with its place in the fleet."""

    def __init__(self, settings: schema.AgentSettings) -> None:
        """Prepare; nothing is bound yet."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._is_stopping = False
        self._ready_homes: set[identifiers.HomeId] = set()
        member = node.make_member(
            settings, records.Role.AGENT, settings.tunnel_port, self._served
        )
        self._node = node.Node(
            settings,
            member,
            on_member_changed=self._on_member_changed,
            on_configuration=self._on_configuration,
            duties=control.AgentDuties(
                endpoints=self._report_endpoints,
                take_flow=self._take_flow,
                switched=self._switched,
                answer=self._answer,
                hand_over=self._hand_over,
            ),
        )
        ring = tuple(settings.key_files)
        self._tunnel = tunnel.make_authenticator(ring)
        self._peering = peering.make_authenticator(ring)
        self._socket: socket.socket | None = None
        self._endpoints = {
            made.home: made
            for made in (
                endpoint.Endpoint(
                    served,
                    settings,
                    member.id,
                    self._node.counters,
                    self._node.client,
                    self._node.store,
                    self._send,
                )
                for served in settings.endpoints
            )
        }

    async def start(self) -> None:
        """Take part and serve.

        Raises:
            BindError: An address cannot be bound.
        """
        own = addresses.Address(self._settings.address, self._settings.tunnel_port)
        self._socket = sockets.bind_udp(own)
        sockets.receive_batches(self._socket, self._receive)
        await self._node.start()
        self._node.spawn(self._tick())
        for served in self._endpoints.values():
            served.start(self._node.spawn)

    def reload(self, settings: schema.AgentSettings) -> None:
        """Use the contact points of changed settings."""
        self._node.reload(settings)

    async def stop(self) -> None:
        """Move all flows away, then leave the fleet."""
        self._is_stopping = True
        self._update_draining()
        timeout = self._settings.drain_timeout_seconds or None
        try:
            async with asyncio.timeout(timeout):
                await self._drained()
            log.info(events.Event.DRAIN_ENDED)
        except TimeoutError:
            log.warning(events.Event.DRAIN_TIMED_OUT)
        await asyncio.gather(*(e.leave_epoch() for e in self._endpoints.values()))
        await self._node.stop()
        for served in self._endpoints.values():
            served.close()
        if self._socket is not None:
            sockets.close(self._socket)

    async def _drained(self) -> None:
        while not all(e.drain.is_empty for e in self._endpoints.values()):
            await asyncio.sleep(STOP_POLL_SECONDS)

    def _served(self, member: identifiers.MemberId) -> tuple[records.Endpoint, ...]:
        names = [identifiers.ServiceName(e.service) for e in self._settings.endpoints]
        limits = [e.connections for e in self._settings.endpoints]
        return tuple(
            records.Endpoint(
                name, identifiers.derive_home_id(member, name), limit, is_draining=True
            )
            for name, limit in zip(names, limits, strict=True)
        )

    def _update_draining(self) -> None:
        """Drain where operators or the stop of the process ask for it.

        An endpoint that is not ready yet is announced as draining, too.
        """
        member = self._node.gossip.membership.member
        adopted = self._node.configuration
        is_draining = self._is_stopping or adopted.is_drained(member.name, member.zone)
        for served in self._endpoints.values():
            served.drain.set_draining(is_draining)
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
            if peering.is_peer_message(datagram):
                self._hear(peering.decode(self._peering, datagram))
                return
            envelope = tunnel.decode(self._tunnel, datagram)
        except exceptions.DecodeError:
            self._node.counters.add(counters.Counter.TUNNEL_REJECTED)
            return
        served = self._endpoints.get(envelope.home)
        if served is not None:
            served.receive(envelope)
        else:
            self._reset_former_home(envelope)

    def _hear(self, packet: peering.Packet) -> None:
        served = self._endpoint_of(packet.service)
        if served is not None:
            served.once.handle(packet.sender, packet.body)

    def _endpoint_of(self, service: str) -> endpoint.Endpoint | None:
        found = (e for e in self._endpoints.values() if e.service == service)
        return next(found, None)

    def _reset_former_home(self, envelope: tunnel.Envelope) -> None:
        """Answer for the process that had this address before."""
        header = quic_header.parse(envelope.payload)
        if header is None:
            self._node.counters.add(counters.Counter.MALFORMED)
            return
        for served in self._endpoints.values():
            if served.is_former_id(header.destination_cid):
                served.reset_unknown(header, envelope)
                return
        self._node.counters.add(counters.Counter.FOREIGN_ID)

    def _send(self, datagram: bytes, address: addresses.Address) -> None:
        if self._socket is not None:
            sockets.send(self._socket, datagram, address, self._node.counters)

    # What the node tells.

    def _on_member_changed(self, record: records.Record) -> None:
        for served in self._endpoints.values():
            served.peers.apply_member(record)

    def _on_configuration(self, adopted: configuration.Configuration) -> None:
        for served in self._endpoints.values():
            try:
                served.configure(adopted.service(served.service))
            except sockets.BindError as error:
                log.error(events.Event.BIND_FAILED, why=str(error))
            has_callers = any(
                zone.name == self._settings.zone and zone.caller_networks
                for zone in adopted.zones
            )
            own_zone = identifiers.ZoneName(self._settings.zone)
            served.peers.prefer_zone(own_zone if has_callers else None)
        self._update_draining()

    def _report_endpoints(self) -> list[control_pb2.EndpointStatus]:
        return [served.describe() for served in self._endpoints.values()]

    async def _take_flow(self, encoded: bytes) -> control_pb2.MoveFlowResponse:
        try:
            record = handoff.decode(encoded)
        except exceptions.DecodeError as error:
            return control.rejected(str(error))
        served = self._endpoint_of(record.service)
        if served is None:
            return control.rejected(f"{record.service} has no backend server here")
        return await served.arrivals.take(record)

    async def _answer(
        self, request: control_pb2.AnswerRequest
    ) -> control_pb2.AnswerResponse:
        served = self._endpoint_of(request.service)
        if served is None:
            return control_pb2.AnswerResponse()
        return await served.once.answer(request)

    def _hand_over(self, request: control_pb2.HandoverRequest) -> None:
        served = self._endpoint_of(request.service)
        if served is not None:
            served.once.take_over(request)

    def _switched(self, move_ids: list[bytes]) -> list[bytes]:
        remaining = set(move_ids)
        for served in self._endpoints.values():
            remaining &= set(served.arrivals.switched(list(remaining)))
        return list(remaining)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(endpoint.TICK_SECONDS)
            for served in self._endpoints.values():
                served.tick()
            if len(self._ready_homes) < len(self._endpoints):
                self._update_draining()
