"""The agent process."""

from __future__ import annotations

import asyncio
import socket

from msgspec import structs

from cactushall_core import (
    addresses,
    configuration,
    exceptions,
    identifiers,
    quic_header,
    tunnel,
)
from cactushall_core.membership import records
from cactushall_daemon import counters, events, logs, node, sockets
from cactushall_daemon.agent import endpoint
from cactushall_daemon.config import schema
from cactushall_rpc.generated import control_pb2

log = logs.get_logger(__name__)


class AgentProcess:
    """An agent with its place in the fleet."""

    def __init__(self, settings: schema.AgentSettings) -> None:
        """Prepare; nothing is bound yet."""
        self._settings = settings
        member = node.make_member(
            settings, records.Role.AGENT, settings.tunnel_port, self._served
        )
        self._node = node.Node(
            settings,
            member,
            on_member_changed=lambda record: None,
            on_configuration=self._on_configuration,
            report_endpoints=self._report_endpoints,
        )
        self._endpoints = {
            made.home: made
            for made in (
                endpoint.Endpoint(served, settings, member.id, self._node.counters)
                for served in settings.endpoints
            )
        }
        self._authenticator = tunnel.make_authenticator(tuple(settings.key_files))
        self._socket: socket.socket | None = None
        self._loop = asyncio.get_running_loop()

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

    async def stop(self) -> None:
        """Drain all endpoints, then leave the fleet."""
        log.info(events.Event.DRAIN_BEGAN)
        self._announce_draining()
        deadline = self._loop.time() + self._settings.drain_timeout_seconds
        await asyncio.gather(*(e.drain(deadline) for e in self._endpoints.values()))
        log.info(events.Event.DRAIN_ENDED)
        await self._node.stop()
        if self._socket is not None:
            sockets.close(self._socket)
        for served in self._endpoints.values():
            served.close()

    def _served(self, member: identifiers.MemberId) -> tuple[records.Endpoint, ...]:
        return tuple(
            records.Endpoint(
                identifiers.ServiceName(served.service),
                identifiers.derive_home_id(
                    member, identifiers.ServiceName(served.service)
                ),
                served.connections,
            )
            for served in self._settings.endpoints
        )

    def _announce_draining(self) -> None:
        member = self._node.gossip.membership.member
        drained = tuple(
            records.Endpoint(e.service, e.home, e.connection_limit, True)
            for e in member.endpoints
        )
        self._node.gossip.update(structs.replace(member, endpoints=drained))

    def _receive(self, datagram: bytes, _source: tuple[str, int]) -> None:
        self._node.counters.add(counters.Counter.RECEIVED)
        try:
            envelope = tunnel.decode(self._authenticator, datagram)
        except exceptions.DecodeError:
            self._node.counters.add(counters.Counter.TUNNEL_REJECTED)
            return
        served = self._endpoints.get(envelope.home)
        if served is not None:
            served.receive(envelope)
        else:
            self._reset_former_home(envelope)

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

    def _on_configuration(self, adopted: configuration.Configuration) -> None:
        for served in self._endpoints.values():
            try:
                served.configure(adopted.service(served.service))
            except sockets.BindError as error:
                log.error(events.Event.BIND_FAILED, why=str(error))

    def _report_endpoints(self) -> list[control_pb2.EndpointStatus]:
        return [served.describe() for served in self._endpoints.values()]

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(endpoint.TICK_SECONDS)
            for served in self._endpoints.values():
                served.tick()
