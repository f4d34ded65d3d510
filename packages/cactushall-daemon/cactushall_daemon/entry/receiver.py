"""Receives callers' datagrams on the service addresses and passes them on."""

from __future__ import annotations

import asyncio
import socket

from cactushall_core import (
    addresses,
    configuration,
    identifiers,
    keys,
    steering,
    tunnel,
    zones,
)
from cactushall_core.membership import records
from cactushall_daemon import counters, events, logs, sockets

log = logs.get_logger(__name__)

_DROP_COUNTERS = {
    steering.DropReason.MALFORMED: counters.Counter.MALFORMED,
    steering.DropReason.FOREIGN_ID: counters.Counter.FOREIGN_ID,
    steering.DropReason.UNKNOWN_HOME: counters.Counter.UNKNOWN_HOME,
    steering.DropReason.NO_BACKEND_SERVER: counters.Counter.NO_BACKEND_SERVER,
    steering.DropReason.UNKNOWN_SERVICE: counters.Counter.UNKNOWN_SERVICE,
}


class Receiver:
    """The service addresses of one entry."""

    def __init__(
        self, ring: tuple[keys.Key, ...], tallies: counters.Counters, host: str
    ) -> None:
        """Prepare; no address is bound yet.

        Args:
            ring: Keys of connection ids and of the tunnel.
            tallies: Takes counts.
            host: The VM's own IP address, from which datagrams go to agents.
        """
        self._steering = steering.Steering(ring)
        self._authenticator = tunnel.make_authenticator(ring)
        self._counters = tallies
        self._received = tallies.cell(counters.Counter.RECEIVED)
        self._forwarded = tallies.cell(counters.Counter.FORWARDED)
        self._time = asyncio.get_running_loop().time
        self._sockets: dict[identifiers.ServiceName, socket.socket] = {}
        self._bound: dict[identifiers.ServiceName, addresses.Address] = {}
        self._out = socket.socket(sockets.family_of(host), socket.SOCK_DGRAM)
        self._out.bind((host, 0))
        self._out.setblocking(False)
        sockets.report_errors(self._out)

    def apply_member(self, record: records.Record) -> None:
        """Take in what has changed about a member."""
        self._steering.apply(record)

    def apply_configuration(
        self, adopted: configuration.Configuration, table: list[records.Record]
    ) -> None:
        """Bind the addresses of a configuration and release all others."""
        wanted = {s.name: s.service_address for s in adopted.services}
        for name in [n for n in self._bound if wanted.get(n) != self._bound[n]]:
            self._release(name)
        self._steering.set_services(wanted)
        self._steering.set_zones(zones.ZoneMap(adopted.zones))
        self._steering.load(table)
        for name, address in wanted.items():
            if name not in self._bound:
                self._bind(name, address)

    def close(self) -> None:
        """Release all addresses."""
        for name in list(self._bound):
            self._release(name)
        self._out.close()

    def _bind(self, name: identifiers.ServiceName, address: addresses.Address) -> None:
        try:
            sock = sockets.bind_udp(address, reuse_port=True)
        except sockets.BindError as error:
            log.error(events.Event.BIND_FAILED, service=name, why=str(error))
            return
        self._sockets[name] = sock
        self._bound[name] = address

        def receive(datagram: bytes, source: tuple[str, int]) -> None:
            self._receive(name, sock, datagram, source)

        sockets.receive_batches(sock, receive)
        log.info(events.Event.SERVICE_BOUND, service=name, address=str(address))

    def _release(self, name: identifiers.ServiceName) -> None:
        sockets.close(self._sockets.pop(name))
        address = self._bound.pop(name)
        log.info(events.Event.SERVICE_UNBOUND, service=name, address=str(address))

    def _receive(
        self,
        name: identifiers.ServiceName,
        sock: socket.socket,
        datagram: bytes,
        source: tuple[str, int],
    ) -> None:
        self._received.value += 1
        decision = self._steering.steer(name, datagram, source[0], self._time())
        if isinstance(decision, steering.Forward):
            out = tunnel.encode(self._authenticator, decision.home, 0, source, datagram)
            if self._send_to_agent(out, decision.tunnel_address):
                self._forwarded.value += 1
        elif isinstance(decision, steering.Reset):
            if sockets.send(sock, decision.datagram, source, self._counters):
                self._counters.add(counters.Counter.RESETS_SENT)
        else:
            self._counters.add(_DROP_COUNTERS[decision.reason])

    def _send_to_agent(self, datagram: bytes, address: addresses.Address) -> bool:
        """Send, and where an earlier datagram was refused, take note of it."""
        try:
            self._out.sendto(datagram, address)
        except ConnectionRefusedError:
            for refused in sockets.refused_addresses(self._out):
                self._steering.note_refused(refused, self._time())
            return sockets.send(self._out, datagram, address, self._counters)
        except OSError:
            self._counters.add(counters.Counter.SEND_FAILED)
            return False
        return True
