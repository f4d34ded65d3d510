"""Sockets: binding, batched receiving and sending with a chosen source."""

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

ERROR_BYTES = 512

_MSG_ERRQUEUE = getattr(socket, "MSG_ERRQUEUE", 0x2000)
_IP_RECVERR = getattr(socket, "IP_RECVERR", 11)
_ERROR_NUMBER = struct.Struct("=I")
_IP_PKTINFO = getattr(socket, "IP_PKTINFO", 8)
_IPV6_PKTINFO = getattr(socket, "IPV6_PKTINFO", 50)

Receiver = collections.abc.Callable[[bytes, tuple[str, int]], None]


class BindError(exceptions.CactushallError):
    """A socket cannot be bound."""


def family_of(host: str) -> socket.AddressFamily:
    """Return the address family of a numeric IP address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def bind_udp(address: addresses.Address, *, reuse_port: bool = False) -> socket.socket:
    """Return a non-blocking UDP socket bound to an address.

    Raises:
        BindError: The address cannot be bound.
    """
    sock = socket.socket(family_of(address.host), socket.SOCK_DGRAM)
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


def receive_batches(sock: socket.socket, receiver: Receiver) -> None:
    """Call a receiver for each datagram that arrives, in batches.

    Args:
        sock: A non-blocking UDP socket.
        receiver: Takes a datagram and its source.
    """

    def drain() -> None:
        receive = sock.recvfrom
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram, source = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue
            try:
                receiver(datagram, source)
            except Exception:
                log.exception(events.Event.DATAGRAM_FAILED, source=source)

    asyncio.get_running_loop().add_reader(sock.fileno(), drain)


def send(
    sock: socket.socket,
    datagram: bytes,
    address: tuple[str, int],
    tallies: counters.Counters,
) -> bool:
    """Send a datagram; a failure is counted and logged.

    Returns:
        Whether it was sent.
    """
    try:
        sock.sendto(datagram, address)
    except OSError as error:
        tallies.add(counters.Counter.SEND_FAILED)
        log.debug(events.Event.SEND_FAILED, address=str(address), why=str(error))
        return False
    return True


def report_errors(sock: socket.socket) -> None:
    """Let a UDP socket collect the errors that the network reports."""
    sock.setsockopt(socket.IPPROTO_IP, _IP_RECVERR, 1)


def refused_addresses(sock: socket.socket) -> list[addresses.Address]:
    """Return the addresses at which a VM answered that nothing listens."""
    found = []
    for _ in range(BATCH_DATAGRAMS):
        try:
            _, ancillary, _, address = sock.recvmsg(
                0, ERROR_BYTES, _MSG_ERRQUEUE | socket.MSG_DONTWAIT
            )
        except OSError:
            break
        numbers = [_ERROR_NUMBER.unpack_from(data)[0] for _, _, data in ancillary]
        if errno.ECONNREFUSED in numbers:
            found.append(addresses.Address(*address[:2]))
    return found


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
