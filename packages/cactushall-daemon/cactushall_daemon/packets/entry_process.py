"""The entry process of the packet transport."""

from __future__ import annotations

import asyncio
import http
import random
import socket

from cactushall_core import addresses, identifiers
from cactushall_core.flows import actions, entry, messages, routes
from cactushall_core.membership import completeness, records
from cactushall_daemon import counters, gossip, sockets
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import evacuation_follower, executor, node
from cactushall_platform import calls
from cactushall_platform import packets as layout
from cactushall_rpc import http as http_calls
from cactushall_rpc import where

TICK_SECONDS = 0.05
MAX_STOP_SECONDS = 3.0
STOP_IDLE_SECONDS = 0.7
MIN_STOP_SECONDS = 1.2
STOP_CHECK_SECONDS = 0.1
STOP_RESERVE_SECONDS = 1.0


class EntryProcess:
    """An entry: forwards callers' packets to agents."""

    def __init__(self, settings: packet_schema.PacketEntrySettings) -> None:
        """Create the entry without binding any address."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._is_stopping = False
        self._has_been_complete = False
        self._last_received_at = float("-inf")
        self._socket: socket.socket | None = None
        self._executor: executor.ActionExecutor | None = None
        self._flows = entry.EntryFlows(
            identifiers.ZoneName(settings.zone), random.Random(), self._loop.time()
        )
        self._flows.set_hedging_limit(settings.hedging_percent)
        self._offer_timer: asyncio.TimerHandle | None = None
        self._node = node.Node(
            settings,
            node.make_member(settings, records.Role.ENTRY, ()),
            gossip.Callbacks(
                on_member_changed=self._on_member_changed,
                on_completeness_changed=self._on_completeness_changed,
                on_newest_revision_changed=self._flows.record_revision,
                on_paused=self._flows.handle_pause,
            ),
            on_routes=self._on_routes,
            on_message=self._on_message,
            gauges=self._read_gauges,
            on_evacuated=self._on_evacuated,
            count_flows=self._flows.reported_flows,
        )
        self._node.answer_peer_calls(where.PATH, self._handle_where_call)
        self._received_counter = self._node.counters.cell(counters.Counter.RECEIVED)

    async def start(self) -> None:
        """Bind all addresses, join the fleet and start serving.

        Raises:
            BindError: An address cannot be bound.
        """
        packet_address = self._settings.packet_address
        self._socket = sockets.bind_udp(packet_address)
        self._executor = executor.ActionExecutor(
            self._node, self._socket, packet_address.port, _reject_delivery
        )
        await self._node.start()
        sockets.receive_batches(self._socket, self._receive)
        readiness = self._settings.readiness_address
        await self._node.serve(readiness, self._handle_readiness_call)
        self._node.serve_as_contact()
        self._tick()

    async def stop(self) -> None:
        """Keep forwarding until routers use other entries, then leave the fleet."""
        self._is_stopping = True
        started_at = self._loop.time()
        grace = self._settings.grace_seconds - STOP_RESERVE_SECONDS
        deadline = started_at + max(0.0, min(MAX_STOP_SECONDS, grace))
        while (now := self._loop.time()) < deadline:
            is_idle = now - self._last_received_at > STOP_IDLE_SECONDS
            if is_idle and now - started_at > MIN_STOP_SECONDS:
                break
            await asyncio.sleep(STOP_CHECK_SECONDS)
        await self._node.release_contact_slot()
        self._node.stop()
        if self._socket is not None:
            sockets.close(self._socket)

    def reload(self, settings: packet_schema.PacketEntrySettings) -> None:
        """Apply changed settings."""
        self._settings = settings
        self._flows.set_hedging_limit(settings.hedging_percent)
        self._node.reload(settings)

    def _read_gauges(self) -> dict[str, float]:
        return read_gauges(self._flows, self._loop.time())

    def _tick(self) -> None:
        self._loop.call_later(TICK_SECONDS, self._tick)
        now = self._node.gossip.check_for_pause()
        self._execute(self._flows.tick(now))

    def _receive(self, datagram: bytes, _source: tuple[str, int]) -> None:
        self._received_counter.value += 1
        packet = layout.decode_from_caller(datagram)
        if packet is None:
            self._node.counters.add(counters.Counter.MALFORMED)
            return
        self._node.count_caller_packet(packet)
        now = self._node.gossip.check_for_pause()
        self._last_received_at = now
        self._execute(self._flows.handle_packet(packet, now))

    def _execute(self, decisions: list[actions.Action]) -> None:
        if self._executor is not None:
            self._executor.execute(decisions)
        self._schedule_offers()

    def _schedule_offers(self) -> None:
        """Wake up when the next second offer is due."""
        due_at = self._flows.next_offer_at
        if due_at is None:
            return
        if self._offer_timer is not None:
            if self._offer_timer.when() <= due_at:
                return
            self._offer_timer.cancel()
        self._offer_timer = self._loop.call_at(due_at, self._offer_due)

    def _offer_due(self) -> None:
        self._offer_timer = None
        now = self._node.gossip.check_for_pause()
        self._execute(self._flows.offer_due(now))

    def _on_message(self, sender: addresses.Address, message: messages.Message) -> None:
        now = self._node.gossip.check_for_pause()
        self._execute(self._flows.handle_message(sender, message, now))

    def _on_member_changed(self, record: records.Record) -> None:
        self._execute(self._flows.update_member(record, self._loop.time()))

    def _on_completeness_changed(self, evidence: completeness.Evidence | None) -> None:
        self._has_been_complete |= evidence is not None
        self._execute(self._flows.update_completeness(evidence, self._loop.time()))

    def _on_evacuated(self, zones: evacuation_follower.Zones) -> None:
        self._execute(self._flows.update_evacuated(zones, self._loop.time()))

    def _on_routes(self, route_table: routes.RouteTable) -> None:
        self._execute(self._flows.update_routes(route_table, self._loop.time()))

    def _handle_where_call(self, request: http_calls.Request) -> http_calls.Response:
        """Explain where a new flow would go now."""
        try:
            question = where.decode_question(request.query)
        except ValueError as error:
            return http_calls.Response(http.HTTPStatus.BAD_REQUEST, str(error).encode())
        now = self._node.gossip.check_for_pause()
        answer = self._flows.explain(question.flow_id, question.zone, now)
        return http_calls.Response(body=where.encode_answer(answer))

    def _handle_readiness_call(
        self, request: http_calls.Request
    ) -> http_calls.Response:
        if request.path != calls.READINESS_PATH:
            return http_calls.Response(http.HTTPStatus.NOT_FOUND)
        has_started = self._has_been_complete and self._node.route_table.is_known
        if self._is_stopping or not has_started:
            return http_calls.Response(http.HTTPStatus.SERVICE_UNAVAILABLE)
        return http_calls.Response()


def read_gauges(flows: entry.EntryFlows, now: float) -> dict[str, float]:
    """Return the gauges that only an entry has, by name."""
    agents = flows.agent_counts
    queued = flows.queue_lengths
    return {
        "flows": flows.flow_count,
        "agents_present": agents.present,
        "agents_gone": agents.gone,
        "queued_flows_highest_priority": queued.highest_priority,
        "queued_flows_lower_priority": queued.lower_priority,
        "queued_flows_awaiting_view": queued.awaiting_view,
        "lookups": flows.lookup_count,
        "oldest_lookup_seconds": flows.oldest_lookup_seconds(now),
    }


def _reject_delivery(_datagram: bytes) -> None:
    raise RuntimeError("an entry has no backend server")
