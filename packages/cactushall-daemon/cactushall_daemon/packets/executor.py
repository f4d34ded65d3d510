"""Executes the actions that entries and agents decide on for flows."""

from __future__ import annotations

import collections.abc
import enum
import functools
import ipaddress
import math
import socket
import typing

import msgspec
from msgspec import structs

from cactushall_core import addresses, traffic
from cactushall_core.flows import actions, messages, packets
from cactushall_daemon import counters, events, logs, sockets
from cactushall_daemon.packets import node as packet_node
from cactushall_platform import packets as layout

log = logs.get_logger(__name__)

MAX_CACHED_HOSTS = 4096
# Nearly all agents answer a lookup on this basis, so that it is only counted.
UNLOGGED_BASES = (None, actions.DenialBasis.NEVER_TRACKED)
REFUSAL_COUNTERS = {
    actions.RefusalCause.NO_ROUTE: counters.Counter.FLOWS_REFUSED_NO_ROUTE,
    actions.RefusalCause.NO_SERVER: counters.Counter.FLOWS_REFUSED_NO_SERVER,
    actions.RefusalCause.QUEUE_FULL: counters.Counter.FLOWS_REFUSED_QUEUE_FULL,
    actions.RefusalCause.DISPLACED: counters.Counter.FLOWS_REFUSED_DISPLACED,
    actions.RefusalCause.TIMEOUT: counters.Counter.FLOWS_REFUSED_TIMEOUT,
    actions.RefusalCause.FORESEEN: counters.Counter.FLOWS_REFUSED_FORESEEN,
}

HEDGE_COUNTERS = {
    actions.HedgeOutcome.OFFERED: counters.Counter.HEDGES_OFFERED,
    actions.HedgeOutcome.WON: counters.Counter.HEDGES_WON,
    actions.HedgeOutcome.LOST: counters.Counter.HEDGES_LOST,
    actions.HedgeOutcome.LATE: counters.Counter.HEDGES_LATE,
    actions.HedgeOutcome.WITHHELD: counters.Counter.HEDGES_WITHHELD,
}

SendToServer = collections.abc.Callable[[bytes], None]


@functools.lru_cache(MAX_CACHED_HOSTS)
def _format_host(host: int) -> str:
    return str(ipaddress.IPv4Address(host))


class ActionExecutor:
    """Executes actions: sends packets and messages, logs and counts them."""

    def __init__(
        self,
        node: packet_node.Node,
        packet_socket: socket.socket,
        packet_port: int,
        send_to_server: SendToServer,
    ) -> None:
        """Create the executor.

        Args:
            node: Sends packets and messages to other nodes.
            packet_socket: Sends packets to callers.
            packet_port: Port on which callers receive packets.
            send_to_server: Sends a packet to the backend server.
        """
        self._node = node
        self._packet_socket = packet_socket
        self._packet_port = packet_port
        self._send_to_server = send_to_server
        self._counters = node.counters
        self._forwarded_counter = node.counters.cell(counters.Counter.FORWARDED)
        sent = functools.partial(node.counters.traffic.count, traffic.Direction.SENT)
        self._openings_sent = sent(traffic.Kind.OPENINGS)
        self._caller_packets_sent = sent(traffic.Kind.CALLER_PACKETS)
        self._answers_sent = sent(traffic.Kind.ANSWERS)
        self._methods: dict[type, collections.abc.Callable[..., None]] = {
            actions.Forward: self._forward,
            actions.DeliverToServer: self._deliver_to_server,
            actions.SendToCaller: self._answer_caller,
            actions.SendMessage: self._send_message,
            actions.Reset: self._reset,
            actions.Drop: self._drop,
            actions.ReportUnknownSender: self._report_unknown_sender,
            actions.RecordLatency: self._record_latency,
            actions.RecordLookupStarted: self._record_lookup_started,
            actions.RecordAnswer: self._record_answer,
            actions.RecordOwnerFound: _log_owner_found,
            actions.RecordHedge: self._record_hedge,
            actions.RecordRetryWithheld: self._record_retry_withheld,
        }

    def execute(self, decisions: list[actions.Action]) -> None:
        """Execute actions in order."""
        methods = self._methods
        for action in decisions:
            methods[type(action)](action)

    def _forward(self, action: actions.Forward) -> None:
        self._forwarded_counter.value += 1
        self._node.send_datagram(action.address, action.datagram)
        if action.placement is None:
            self._caller_packets_sent.add(len(action.datagram))
        else:
            self._openings_sent.add(len(action.datagram))
            if action.placement.is_retry:
                self._counters.add(counters.Counter.FLOW_RETRIES)
            self._log_placement(action, action.placement)

    def _log_placement(
        self, action: actions.Forward, placement: actions.Placement
    ) -> None:
        log.info(
            events.Event.FLOW_PLACED,
            agent=action.address.host,
            revision=self._node.route_table.revision,
            **_log_fields(placement),
        )

    def _reset(self, action: actions.Reset) -> None:
        self._counters.add(counters.Counter.RESETS_SENT)
        evidence_fields = (
            _log_fields(action.evidence) if action.evidence is not None else {}
        )
        if isinstance(action.evidence, actions.RefusalEvidence):
            self._counters.add(REFUSAL_COUNTERS[action.evidence.cause])
        log.info(
            events.Event.FLOW_RESET,
            flow=str(action.flow),
            why=action.reason.value,
            revision=self._node.route_table.revision,
            **evidence_fields,
        )
        datagram = layout.encode_reset(action.flow, action.sequence)
        self._send_to_caller(action.flow.caller_host, datagram)

    def _send_message(self, action: actions.SendMessage) -> None:
        message = action.message
        if isinstance(message, messages.OwnershipConfirmed):
            self._counters.add(counters.Counter.FLOW_LOOKUPS_HELD)
            _log_confirmation(message.flow, action.address)
        elif isinstance(message, messages.OwnershipDenied):
            self._counters.add(counters.Counter.FLOW_LOOKUPS_DENIED)
            if action.basis not in UNLOGGED_BASES:
                _log_denial(message.flow, action.address, action.basis)
        else:
            _log_load_message(message)
        self._node.send_message(action.address, message)

    def _drop(self, action: actions.Drop) -> None:
        self._counters.add(counters.Counter.DROPPED)
        log.info(
            events.Event.PACKET_DROPPED,
            flow=str(action.flow),
            why=action.reason.value,
        )

    def _deliver_to_server(self, action: actions.DeliverToServer) -> None:
        self._send_to_server(action.datagram)

    def _answer_caller(self, action: actions.SendToCaller) -> None:
        self._send_to_caller(action.flow.caller_host, action.datagram)

    def _report_unknown_sender(self, action: actions.ReportUnknownSender) -> None:
        self._node.gossip.handle_unknown_sender(action.address)

    def _record_latency(self, action: actions.RecordLatency) -> None:
        self._node.latencies.record(action.kind, action.seconds)

    def _record_lookup_started(self, action: actions.RecordLookupStarted) -> None:
        self._counters.add(counters.Counter.FLOW_LOOKUPS_STARTED)
        _log_lookup_started(action)

    def _record_hedge(self, action: actions.RecordHedge) -> None:
        self._counters.add(HEDGE_COUNTERS[action.outcome])
        if action.outcome is actions.HedgeOutcome.OFFERED:
            _log_hedged(action)

    def _record_retry_withheld(self, action: actions.RecordRetryWithheld) -> None:
        self._counters.add(counters.Counter.FLOW_RETRIES_WITHHELD)
        _log_retry_withheld(action)

    def _record_answer(self, action: actions.RecordAnswer) -> None:
        held, denied = len(action.owned), len(action.denials)
        self._counters.add(counters.Counter.FLOW_LOOKUPS_HELD, held)
        self._counters.add(counters.Counter.FLOW_LOOKUPS_DENIED, denied)
        for flow_id in action.owned:
            _log_confirmation(flow_id, action.asker)
        for flow_id, basis in action.denials.items():
            if basis not in UNLOGGED_BASES:
                _log_denial(flow_id, action.asker, basis)

    def _send_to_caller(self, host: int, datagram: bytes) -> None:
        self._answers_sent.add(len(datagram))
        address = addresses.Address(_format_host(host), self._packet_port)
        sockets.send(self._packet_socket, datagram, address, self._counters)


def _log_fields(struct: msgspec.Struct) -> dict[str, typing.Any]:
    """Return the fields of a message or of an action's reasons as log fields."""
    return {key: _format_value(value) for key, value in structs.asdict(struct).items()}


def _format_value(value: typing.Any) -> typing.Any:
    if isinstance(value, packets.FlowId):
        return str(value)
    if isinstance(value, float):
        return round(value, 4) if math.isfinite(value) else None
    if isinstance(value, enum.Enum):
        return value.value
    return value


def _log_lookup_started(action: actions.RecordLookupStarted) -> None:
    log.info(
        events.Event.FLOW_LOOKUP_STARTED,
        flow=str(action.flow),
        registrars=action.registrars,
        agents=action.agents,
        known=action.known,
    )


def _log_retry_withheld(action: actions.RecordRetryWithheld) -> None:
    log.info(
        events.Event.FLOW_RETRY_WITHHELD,
        flow=str(action.flow),
        agent=action.agent.host,
    )


def _log_owner_found(action: actions.RecordOwnerFound) -> None:
    log.info(
        events.Event.FLOW_OWNER_FOUND,
        flow=str(action.flow),
        owner=action.owner.host,
        asked_seconds=_format_value(action.asked_seconds),
        asked=action.asked,
    )


def _log_hedged(action: actions.RecordHedge) -> None:
    log.info(
        events.Event.FLOW_HEDGED,
        flow=str(action.flow),
        agent=action.agent.host if action.agent is not None else None,
        delay_seconds=_format_value(action.delay_seconds),
    )


def _log_load_message(message: messages.Message) -> None:
    """Log the answer to an opening packet, with the load that it tells."""
    if isinstance(message, messages.Accepted):
        log.info(
            events.Event.FLOW_ACCEPTED,
            flow=str(message.flow),
            **_log_fields(message.load),
        )
    elif isinstance(message, messages.Declined):
        log.info(
            events.Event.FLOW_DECLINED,
            flow=str(message.flow),
            why=message.refusal.value,
            revision=message.revision,
            **_log_fields(message.load),
        )


def _log_confirmation(flow_id: packets.FlowId, asker: addresses.Address) -> None:
    log.info(
        events.Event.FLOW_LOOKUP_ANSWERED,
        flow=str(flow_id),
        is_held=True,
        asker=asker.host,
    )


def _log_denial(
    flow_id: packets.FlowId, asker: addresses.Address, basis: actions.DenialBasis
) -> None:
    log.info(
        events.Event.FLOW_LOOKUP_ANSWERED,
        flow=str(flow_id),
        is_held=False,
        why=basis.value,
        asker=asker.host,
    )
