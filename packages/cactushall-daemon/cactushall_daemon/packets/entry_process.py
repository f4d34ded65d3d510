"""The entry process."""

from __future__ import annotations

import asyncio
import http
import random
import socket
import time

from cactushall_core import addresses, identifiers, pauses
from cactushall_core.flows import actions, entry, messages, routes
from cactushall_core.membership import records
from cactushall_daemon import counters, events, logs, sockets
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import carrier, node
from cactushall_platform import calls
from cactushall_platform import packets as layout
from cactushall_rpc import http as http_calls

log = logs.get_logger(__name__)

TICK_SECONDS = 0.05
STOP_SECONDS = 3.0
STOP_QUIET_SECONDS = 0.7
STOP_MINIMUM_SECONDS = 1.2
STOP_POLL_SECONDS = 0.1
STOP_RESERVE_SECONDS = 1.0


class EntryProcess:
    """An entry with its place in the fleet."""

    def __init__(self, settings: packet_schema.PacketEntrySettings) -> None:
        """Prepare; nothing is bound yet."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._is_stopping = False
        self._received_at = float("-inf")
        self._pauses = pauses.PauseDetector(
            self._loop.time(), time.clock_gettime(time.CLOCK_BOOTTIME)
        )
        self._socket: socket.socket | None = None
        self._carrier: carrier.Carrier | None = None
        self._flows = entry.EntryFlows(
            identifiers.ZoneName(settings.zone), random.Random(), self._loop.time()
        )
        self._node = node.Node(
            settings,
            node.make_member(settings, records.Role.ENTRY, ()),
            on_member_changed=self._on_member_changed,
            on_routes=self._on_routes,
            on_message=self._on_message,
            gauges=self._gauges,
        )
        self._received = self._node.counters.cell(counters.Counter.RECEIVED)

    async def start(self) -> None:
        """Take part and serve.

        Raises:
            BindError: An address cannot be bound.
        """
        packet_address = self._settings.packet_address
        self._socket = sockets.bind_udp(packet_address)
        self._carrier = carrier.Carrier(
            self._node, self._socket, packet_address.port, _deliver_nowhere
        )
        await self._node.start()
        sockets.receive_batches(self._socket, self._receive)
        readiness = self._settings.readiness_address
        await self._node.serve(readiness, self._answer_readiness)
        self._node.serve_as_contact()
        self._tick()

    async def stop(self) -> None:
        """Forward until routers have turned to other entries, then leave."""
        self._is_stopping = True
        began = self._loop.time()
        grace = self._settings.grace_seconds - STOP_RESERVE_SECONDS
        ends = began + max(0.0, min(STOP_SECONDS, grace))
        while (now := self._loop.time()) < ends:
            is_quiet = now - self._received_at > STOP_QUIET_SECONDS
            if is_quiet and now - began > STOP_MINIMUM_SECONDS:
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        self._node.stop()
        if self._socket is not None:
            sockets.close(self._socket)

    def reload(self, settings: packet_schema.PacketEntrySettings) -> None:
        """Use what has changed in the settings."""
        self._settings = settings
        self._node.reload(settings)

    def _gauges(self) -> dict[str, float]:
        return {"flows": self._flows.flow_count}

    def _notice_pause(self, now: float) -> None:
        if self._pauses.has_paused(now, time.clock_gettime(time.CLOCK_BOOTTIME)):
            log.warning(events.Event.PAUSED)
            self._flows.note_pause(now)

    def _tick(self) -> None:
        now = self._loop.time()
        self._notice_pause(now)
        self._carry_out(self._flows.tick(now))
        self._loop.call_later(TICK_SECONDS, self._tick)

    def _receive(self, datagram: bytes, _source: tuple[str, int]) -> None:
        self._received.value += 1
        packet = layout.decode_from_caller(datagram)
        if packet is None:
            self._node.counters.add(counters.Counter.MALFORMED)
            return
        now = self._loop.time()
        self._notice_pause(now)
        self._received_at = now
        self._carry_out(self._flows.receive(packet, now))

    def _carry_out(self, decided: list[actions.Action]) -> None:
        if self._carrier is not None:
            self._carrier.carry_out(decided)

    def _on_message(self, sender: addresses.Address, message: messages.Message) -> None:
        self._carry_out(self._flows.hear(sender, message, self._loop.time()))

    def _on_member_changed(self, record: records.Record) -> None:
        self._carry_out(self._flows.learn(record, self._loop.time()))

    def _on_routes(self, adopted: routes.RouteTable) -> None:
        self._carry_out(self._flows.adopt(adopted, self._loop.time()))

    def _answer_readiness(self, request: http_calls.Request) -> http_calls.Response:
        if request.path != calls.READINESS_PATH:
            return http_calls.Response(http.HTTPStatus.NOT_FOUND)
        if self._is_stopping or not self._node.route_table.is_known:
            return http_calls.Response(http.HTTPStatus.SERVICE_UNAVAILABLE)
        return http_calls.Response()


def _deliver_nowhere(_datagram: bytes) -> None:
    raise RuntimeError("an entry has no backend server")
