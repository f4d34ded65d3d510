"""UDP sockets: binding, receiving in batches, sending and network errors."""

from __future__ import annotations

import asyncio
import collections.abc
import errno
import ipaddress
import socket
import struct

from cactushall_core import addresses, exceptions
from cactushall_daemon import counters, events, logs

log = logs.get_logger(__name__)

BATCH_DATAGRAMS = 64
MAX_DATAGRAM_BYTES = 9216
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

MAX_ERROR_BYTES = 512

_MSG_ERRQUEUE = getattr(socket, "MSG_ERRQUEUE", 0x2000)
_IP_RECVERR = getattr(socket, "IP_RECVERR", 11)
_ERRNO = struct.Struct("=I")
_IP_PKTINFO = getattr(socket, "IP_PKTINFO", 8)
_IPV6_PKTINFO = getattr(socket, "IPV6_PKTINFO", 50)

DatagramHandler = collections.abc.Callable[[bytes, tuple[str, int]], None]


class BindError(exceptions.CactushallError):
    """A socket cannot be bound."""


def address_family(host: str) -> socket.AddressFamily:
    """Return the address family of a numeric IP address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def bind_udp(address: addresses.Address, *, reuse_port: bool = False) -> socket.socket:
    """Return a non-blocking UDP socket bound to an address.

    Raises:
        BindError: The address cannot be bound.
    """
    sock = socket.socket(address_family(address.host), socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    if reuse_port:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise BindError(f"cannot bind UDP {address}: {error.strerror}") from error
    return sock


def receive_batches(sock: socket.socket, handler: DatagramHandler) -> None:
    """Call a handler for each datagram that arrives, in batches.

    Args:
        sock: A non-blocking UDP socket.
        handler: Called with a datagram and its source address.
    """

    def receive_batch() -> None:
        receive = sock.recvfrom
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram, source = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue
            try:
                handler(datagram, source)
            except Exception:
                log.exception(events.Event.DATAGRAM_FAILED, source=source)

    asyncio.get_running_loop().add_reader(sock.fileno(), receive_batch)


def send(
    sock: socket.socket,
    datagram: bytes,
    address: tuple[str, int],
    process_counters: counters.Counters,
) -> bool:
    """Send a datagram, counting and logging a failure.

    Returns:
        Whether it was sent.
    """
    try:
        sock.sendto(datagram, address)
    except OSError as error:
        process_counters.add(counters.Counter.SEND_FAILED)
        log.debug(events.Event.SEND_FAILED, address=str(address), why=str(error))
        return False
    return True


def enable_error_queue(sock: socket.socket) -> None:
    """Let a UDP socket queue the ICMP errors that it receives."""
    sock.setsockopt(socket.IPPROTO_IP, _IP_RECVERR, 1)


def refused_addresses(sock: socket.socket) -> list[addresses.Address]:
    """Empty the error queue and return the addresses that refused a datagram."""
    refused = []
    for _ in range(BATCH_DATAGRAMS):
        try:
            _, ancillary, _, address = sock.recvmsg(
                0, MAX_ERROR_BYTES, _MSG_ERRQUEUE | socket.MSG_DONTWAIT
            )
        except OSError:
            break
        numbers = [_ERRNO.unpack_from(data)[0] for _, _, data in ancillary]
        if errno.ECONNREFUSED in numbers:
            refused.append(addresses.Address(*address[:2]))
    return refused


def close(sock: socket.socket) -> None:
    """Stop receiving from a socket and close it."""
    if sock.fileno() >= 0:
        asyncio.get_running_loop().remove_reader(sock.fileno())
        sock.close()


def source_ancillary(source: str) -> list[tuple[int, int, bytes]]:
    """Return the ancillary data that sets a datagram's source address.

    Args:
        source: A numeric IP address of this VM.
    """
    packed = ipaddress.ip_address(source).packed
    if len(packed) == struct.calcsize("4s"):
        info = struct.pack("=i4s4s", 0, packed, bytes(4))
        return [(socket.IPPROTO_IP, _IP_PKTINFO, info)]
    info = struct.pack("=16si", packed, 0)
    return [(socket.IPPROTO_IPV6, _IPV6_PKTINFO, info)]
