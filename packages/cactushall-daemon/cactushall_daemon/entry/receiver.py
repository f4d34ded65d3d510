"""Receives callers' datagrams on service addresses and forwards them to agents."""

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
    """The service addresses of one entry and the steering of their datagrams."""

    def __init__(
        self,
        key_ring: tuple[keys.Key, ...],
        process_counters: counters.Counters,
        host: str,
    ) -> None:
        """Create the receiver without binding a service address.

        Args:
            key_ring: Keys of connection ids and of the tunnel to agents.
            process_counters: The process's counters.
            host: IP address of this VM, the source of datagrams to agents.
        """
        self._steering = steering.Steering(key_ring)
        self._authenticator = tunnel.make_authenticator(key_ring)
        self._counters = process_counters
        self._received_counter = process_counters.cell(counters.Counter.RECEIVED)
        self._forwarded_counter = process_counters.cell(counters.Counter.FORWARDED)
        self._clock = asyncio.get_running_loop().time
        self._sockets: dict[identifiers.ServiceName, socket.socket] = {}
        self._bound_addresses: dict[identifiers.ServiceName, addresses.Address] = {}
        self._tunnel_socket = socket.socket(
            sockets.address_family(host), socket.SOCK_DGRAM
        )
        self._tunnel_socket.bind((host, 0))
        self._tunnel_socket.setblocking(False)
        sockets.enable_error_queue(self._tunnel_socket)

    def apply_member(self, record: records.Record) -> None:
        """Apply a changed record of a member."""
        self._steering.update_member(record)

    def apply_configuration(
        self, adopted: configuration.Configuration, table: list[records.Record]
    ) -> None:
        """Bind the service addresses of a configuration and release all others."""
        wanted = {s.name: s.service_address for s in adopted.services}
        for name in [
            n
            for n in self._bound_addresses
            if wanted.get(n) != self._bound_addresses[n]
        ]:
            self._release(name)
        self._steering.set_services(wanted)
        self._steering.set_zones(zones.ZoneMap(adopted.zones))
        self._steering.load_members(table)
        for name, address in wanted.items():
            if name not in self._bound_addresses:
                self._bind(name, address)

    def close(self) -> None:
        """Close the sockets of all addresses."""
        for name in list(self._bound_addresses):
            self._release(name)
        self._tunnel_socket.close()

    def _bind(self, name: identifiers.ServiceName, address: addresses.Address) -> None:
        try:
            sock = sockets.bind_udp(address, reuse_port=True)
        except sockets.BindError as error:
            log.error(events.Event.BIND_FAILED, service=name, why=str(error))
            return
        self._sockets[name] = sock
        self._bound_addresses[name] = address

        def receive(datagram: bytes, source: tuple[str, int]) -> None:
            self._receive(name, sock, datagram, source)

        sockets.receive_batches(sock, receive)
        log.info(events.Event.SERVICE_BOUND, service=name, address=str(address))

    def _release(self, name: identifiers.ServiceName) -> None:
        sockets.close(self._sockets.pop(name))
        address = self._bound_addresses.pop(name)
        log.info(events.Event.SERVICE_UNBOUND, service=name, address=str(address))

    def _receive(
        self,
        name: identifiers.ServiceName,
        sock: socket.socket,
        datagram: bytes,
        source: tuple[str, int],
    ) -> None:
        self._received_counter.value += 1
        decision = self._steering.steer(name, datagram, source[0], self._clock())
        if isinstance(decision, steering.Forward):
            envelope = tunnel.encode(
                self._authenticator, decision.home, 0, source, datagram
            )
            if self._send_to_agent(envelope, decision.tunnel_address):
                self._forwarded_counter.value += 1
        elif isinstance(decision, steering.Reset):
            if sockets.send(sock, decision.datagram, source, self._counters):
                self._counters.add(counters.Counter.RESETS_SENT)
        else:
            self._counters.add(_DROP_COUNTERS[decision.reason])

    def _send_to_agent(self, datagram: bytes, address: addresses.Address) -> bool:
        """Send a datagram to an agent.

        A connection-refused error belongs to an earlier datagram: the addresses that
        refused are recorded, then this datagram is sent.
        """
        try:
            self._tunnel_socket.sendto(datagram, address)
        except ConnectionRefusedError:
            for refused in sockets.refused_addresses(self._tunnel_socket):
                self._steering.mark_port_unreachable(refused, self._clock())
            return sockets.send(self._tunnel_socket, datagram, address, self._counters)
        except OSError:
            self._counters.add(counters.Counter.SEND_FAILED)
            return False
        return True
