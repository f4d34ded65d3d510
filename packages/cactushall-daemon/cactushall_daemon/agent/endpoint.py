"""One backend server's endpoint: its flows, its queue and its requests."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import socket

from aioquic.quic import configuration as quic_configuration

from cactushall_core import (
    addresses,
    configuration,
    connection_id,
    identifiers,
    keys,
    outcomes,
    quic_header,
    slots,
    steering,
    tunnel,
)
from cactushall_daemon import counters, events, logs, sockets
from cactushall_daemon.agent import exchange, flow, headers, quic
from cactushall_daemon.config import schema
from cactushall_rpc.generated import control_pb2

log = logs.get_logger(__name__)

TICK_SECONDS = 0.05
KEEP_ALIVE_TICKS = 20
ALPN = ["h3"]
DRAIN_POLL_SECONDS = 0.1

_RESULT_COUNTERS = {
    exchange.Result.ANSWERED: counters.Counter.REQUESTS_ANSWERED,
    exchange.Result.NOT_RUN: counters.Counter.REQUESTS_NOT_RUN,
    exchange.Result.UNKNOWN: counters.Counter.REQUESTS_UNKNOWN,
    exchange.Result.CANCELLED: counters.Counter.REQUESTS_CANCELLED,
}


@dataclasses.dataclass
class _Request:
    stream: flow.RequestStream
    head: headers.RequestHead
    deadline: float
    task: asyncio.Task[None] | None = None


class Endpoint:
    """The endpoint of one service at this agent."""

    def __init__(
        self,
        settings: schema.EndpointSettings,
        agent: schema.AgentSettings,
        member: identifiers.MemberId,
        tallies: counters.Counters,
    ) -> None:
        """Prepare; flows are taken once the service is configured.

        Args:
            settings: Settings of the endpoint.
            agent: Settings of the agent.
            member: The agent's member id.
            tallies: Takes counts.
        """
        self._settings = settings
        self._service = identifiers.ServiceName(settings.service)
        self._home = identifiers.derive_home_id(member, self._service)
        self._host = agent.address
        ring: tuple[keys.Key, ...] = tuple(agent.key_files)
        self._keys = connection_id.make_service_keys(ring, self._service)
        self._issue_cid = quic.make_cid_factory(self._keys, self._home)
        self._counters = tallies
        self._loop = asyncio.get_running_loop()
        self._queue = slots.SlotQueue(settings.slots, random.Random())
        self._requests: dict[slots.RequestId, _Request] = {}
        self._ids_by_stream: dict[flow.RequestStream, slots.RequestId] = {}
        self._request_ids = itertools.count(1)
        self._flows_by_cid: dict[bytes, flow.Flow] = {}
        self._flows: set[flow.Flow] = set()
        self._feeds: set[asyncio.Task[None]] = set()
        self._configuration: configuration.Service | None = None
        self._quic_settings = _make_quic_settings(agent)
        self._return_socket: socket.socket | None = None
        self._ancillary: list[tuple[int, int, bytes]] = []
        self._is_draining = False
        self._ticks = 0
        self._handler = flow.FlowHandler(
            transmit=self._transmit,
            on_request=self._on_request,
            on_stream_closed=self._on_stream_closed,
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
    def service_keys(self) -> connection_id.ServiceKeys:
        """Keys of the service's connection ids."""
        return self._keys

    def describe(self) -> control_pb2.EndpointStatus:
        """Return the endpoint's state."""
        return control_pb2.EndpointStatus(
            service=self._service,
            home=self._home,
            flows=len(self._flows),
            feeds=len(self._feeds),
            running=self._queue.running,
            queued=self._queue.queued,
            connection_limit=self._settings.connections,
            is_draining=self._is_draining,
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

    def receive(self, envelope: tunnel.Envelope) -> None:
        """Handle a caller's datagram."""
        header = quic_header.parse(envelope.payload)
        if header is None:
            self._counters.add(counters.Counter.MALFORMED)
            return
        found = self._flows_by_cid.get(header.destination_cid)
        if found is not None:
            found.receive(envelope.payload, envelope.caller)
        elif header.is_initial:
            self._open_flow(header, envelope)
        elif header.is_version_unknown:
            self._transmit(quic.version_negotiation(envelope.payload), envelope.caller)
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
        """Do what is due: deadlines, keep-alives."""
        now = self._loop.time()
        self._carry_out(self._queue.tick(now))
        self._ticks += 1
        if self._ticks % KEEP_ALIVE_TICKS == 0:
            for kept in list(self._flows):
                kept.keep_alive(now)

    async def drain(self, deadline: float) -> None:
        """Refuse new work, let what runs end, and close what is left.

        Args:
            deadline: When to stop waiting.
        """
        self._is_draining = True
        self._queue.drain()
        while self._requests and self._loop.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        for task in list(self._feeds):
            task.cancel()
        for left in list(self._flows):
            left.close(flow.CloseCode.NO_ERROR, "backend server is leaving")

    def close(self) -> None:
        """Release the socket."""
        if self._return_socket is not None:
            self._return_socket.close()
            self._return_socket = None

    # Flows.

    def _open_flow(self, header: quic_header.Header, envelope: tunnel.Envelope) -> None:
        if self._configuration is None:
            self._counters.add(counters.Counter.FLOWS_REFUSED)
            return
        connection = quic.SteeredConnection(
            self._quic_settings, header.destination_cid, self._issue_cid
        )
        idle_timeout = self._configuration.idle_timeout_seconds
        opened = flow.Flow(connection, self._handler, idle_timeout)
        self._flows.add(opened)
        self._flows_by_cid[header.destination_cid] = opened
        self._flows_by_cid[connection.host_cid] = opened
        self._counters.add(counters.Counter.FLOWS_OPENED)
        opened.receive(envelope.payload, envelope.caller)
        is_full = len(self._flows) > self._settings.connections
        if self._is_draining or is_full:
            self._counters.add(counters.Counter.FLOWS_REFUSED)
            opened.close(flow.CloseCode.CONNECTION_REFUSED, "no room")

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

    def _bind_return_socket(self, address: addresses.Address) -> None:
        self.close()
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

    # Requests.

    def _on_request(self, stream: flow.RequestStream) -> None:
        self._counters.add(counters.Counter.REQUESTS)
        head = headers.parse_request(stream.headers)
        if headers.size(stream.headers) > headers.MAX_HEADER_BYTES:
            self._refuse(stream, outcomes.Reason.TOO_LARGE)
        elif head.is_feed:
            self._open_feed(stream, head)
        else:
            self._offer(stream, head)

    def _offer(self, stream: flow.RequestStream, head: headers.RequestHead) -> None:
        assert self._configuration is not None
        now = self._loop.time()
        allowed = self._configuration.deadline_seconds
        if head.timeout_seconds is not None:
            allowed = min(allowed, head.timeout_seconds)
        request_id = slots.RequestId(next(self._request_ids))
        self._requests[request_id] = _Request(stream, head, now + allowed)
        self._ids_by_stream[stream] = request_id
        caller = stream.flow.caller
        caller_key = slots.CallerKey(caller.host.encode() if caller else b"")
        self._carry_out(self._queue.offer(request_id, caller_key, now + allowed, now))

    def _open_feed(self, stream: flow.RequestStream, head: headers.RequestHead) -> None:
        if self._is_draining:
            self._refuse(stream, outcomes.Reason.DRAINING)
            return
        self._counters.add(counters.Counter.FEEDS_OPENED)
        assert self._configuration is not None
        timeout = self._configuration.idle_timeout_seconds
        task = self._loop.create_task(self._run_feed(stream, head, timeout))
        self._feeds.add(task)
        task.add_done_callback(self._feeds.discard)

    async def _run_feed(
        self, stream: flow.RequestStream, head: headers.RequestHead, timeout: float
    ) -> None:
        result = await exchange.run(stream, head, self._settings.server, timeout)
        self._counters.add(_RESULT_COUNTERS[result])
        stream.flow.finish_stream(stream.stream_id)

    def _on_stream_closed(self, stream: flow.RequestStream) -> None:
        request_id = self._ids_by_stream.get(stream)
        if request_id is None:
            return
        self._carry_out(self._queue.cancel(request_id, self._loop.time()))
        request = self._requests.get(request_id)
        if request is not None and request.task is None:
            self._counters.add(counters.Counter.REQUESTS_CANCELLED)
            self._forget(request_id)

    def _carry_out(self, actions: list[slots.Action]) -> None:
        for action in actions:
            request = self._requests.get(action.request)
            if request is None:
                continue
            if isinstance(action, slots.Start):
                request.task = self._loop.create_task(
                    self._run_request(action.request, request)
                )
            elif isinstance(action, slots.Refuse):
                self._answer(request.stream, action.refusal)
                self._forget(action.request)
            elif request.task is not None:
                request.task.cancel()

    async def _run_request(
        self, request_id: slots.RequestId, request: _Request
    ) -> None:
        result = exchange.Result.UNKNOWN
        try:
            remaining = request.deadline - self._loop.time()
            result = await exchange.run(
                request.stream, request.head, self._settings.server, remaining
            )
        except Exception:
            request.stream.reset(flow.ResetCode.INTERNAL_ERROR)
            log.exception(events.Event.REQUEST_FAILED, service=self._service)
        finally:
            self._counters.add(_RESULT_COUNTERS[result])
            self._forget(request_id)
            is_answered = result is exchange.Result.ANSWERED
            now = self._loop.time()
            self._carry_out(
                self._queue.finish(request_id, now, is_answered=is_answered)
            )

    def _refuse(self, stream: flow.RequestStream, reason: outcomes.Reason) -> None:
        outcome = outcomes.Outcome.NOT_RUN
        retry_after = exchange.RETRY_AFTER_SECONDS
        self._answer(stream, outcomes.Refusal(outcome, reason, retry_after))
        stream.flow.finish_stream(stream.stream_id)

    def _answer(self, stream: flow.RequestStream, refusal: outcomes.Refusal) -> None:
        self._counters.add(counters.Counter.REQUESTS_NOT_RUN)
        log.info(
            events.Event.REQUEST_REFUSED,
            service=self._service,
            reason=refusal.reason.value,
            retry_after=refusal.retry_after,
        )
        exchange.answer(stream, refusal)

    def _forget(self, request_id: slots.RequestId) -> None:
        request = self._requests.pop(request_id)
        self._ids_by_stream.pop(request.stream, None)
        request.stream.flow.finish_stream(request.stream.stream_id)


def _make_quic_settings(
    agent: schema.AgentSettings,
) -> quic_configuration.QuicConfiguration:
    made = quic_configuration.QuicConfiguration(
        alpn_protocols=ALPN,
        connection_id_length=connection_id.LENGTH_BYTES,
        is_client=False,
        max_data=quic.CONNECTION_WINDOW_BYTES,
        max_stream_data=quic.STREAM_WINDOW_BYTES,
    )
    made.load_cert_chain(str(agent.certificate), str(agent.private_key))
    return made
