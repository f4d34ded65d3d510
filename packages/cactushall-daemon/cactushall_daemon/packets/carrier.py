"""Carries out decisions about flows."""

from __future__ import annotations

import collections.abc
import functools
import ipaddress
import math
import socket
import typing

import msgspec
from msgspec import structs

from cactushall_core import addresses
from cactushall_core.flows import actions, messages, packets
from cactushall_daemon import counters, events, logs, sockets
from cactushall_daemon.packets import node as packet_node
from cactushall_platform import packets as layout

log = logs.get_logger(__name__)

MAX_CALLERS_CACHED = 4096

Delivery = collections.abc.Callable[[bytes], None]


@functools.lru_cache(MAX_CALLERS_CACHED)
def _host_text(host: int) -> str:
    return str(ipaddress.IPv4Address(host))


class Carrier:
    """Sends packets and messages as decided."""

    def __init__(
        self,
        node: packet_node.Node,
        packet_socket: socket.socket,
        packet_port: int,
        deliver: Delivery,
    ) -> None:
        """Take in where to send.

        Args:
            node: Sends to other nodes.
            packet_socket: Sends to callers.
            packet_port: Port at which callers take packets.
            deliver: Hands a packet to the backend server.
        """
        self._node = node
        self._socket = packet_socket
        self._port = packet_port
        self._deliver = deliver
        self._counters = node.counters
        self._forwarded = node.counters.cell(counters.Counter.FORWARDED)

    def carry_out(self, decided: list[actions.Action]) -> None:
        """Carry out actions in their order."""
        for action in decided:
            if isinstance(action, actions.Forward):
                self._forwarded.value += 1
                self._node.send(action.address, action.datagram)
                if action.placement is not None:
                    self._log_placement(action, action.placement)
            elif isinstance(action, actions.Return):
                self._send_to_caller(action.flow.caller_host, action.datagram)
            elif isinstance(action, actions.Deliver):
                self._deliver(action.datagram)
            elif isinstance(action, actions.Tell):
                _log_message(action)
                self._node.tell(action.address, action.message)
            elif isinstance(action, actions.Measured):
                self._node.latencies.record(action.kind, action.seconds)
            elif isinstance(action, actions.Reset):
                self._reset(action)
            else:
                self._counters.add(counters.Counter.DROPPED)
                log.info(
                    events.Event.PACKET_DROPPED,
                    flow=str(action.flow),
                    why=action.reason.value,
                )

    def _log_placement(
        self, action: actions.Forward, placement: actions.Placement
    ) -> None:
        log.info(
            events.Event.FLOW_PLACED,
            agent=action.address.host,
            revision=self._node.route_table.revision,
            **_describe(placement),
        )

    def _reset(self, action: actions.Reset) -> None:
        self._counters.add(counters.Counter.RESETS_SENT)
        evidence = _describe(action.evidence) if action.evidence is not None else {}
        log.info(
            events.Event.FLOW_RESET,
            flow=str(action.flow),
            why=action.reason.value,
            revision=self._node.route_table.revision,
            **evidence,
        )
        datagram = layout.encode_reset(action.flow, action.sequence)
        self._send_to_caller(action.flow.caller_host, datagram)

    def _send_to_caller(self, host: int, datagram: bytes) -> None:
        address = addresses.Address(_host_text(host), self._port)
        sockets.send(self._socket, datagram, address, self._counters)


def _describe(found: msgspec.Struct) -> dict[str, typing.Any]:
    """Return the fields of a message or of a decision's grounds for a log line."""
    return {key: _readable(value) for key, value in structs.asdict(found).items()}


def _readable(value: typing.Any) -> typing.Any:
    if isinstance(value, packets.FlowId):
        return str(value)
    if isinstance(value, float):
        return round(value, 4) if math.isfinite(value) else None
    return value


def _log_message(action: actions.Tell) -> None:
    message = action.message
    if isinstance(message, messages.Accepted):
        log.info(
            events.Event.FLOW_ACCEPTED,
            flow=str(message.flow),
            **_describe(message.load),
        )
    elif isinstance(message, messages.Declined):
        log.info(
            events.Event.FLOW_DECLINED,
            flow=str(message.flow),
            why=message.refusal.value,
            revision=message.revision,
            **_describe(message.load),
        )
    elif isinstance(message, messages.Held | messages.NotHeld):
        log.info(
            events.Event.FLOW_LOOKED_UP,
            flow=str(message.flow),
            is_held=isinstance(message, messages.Held),
            asker=action.address.host,
        )
