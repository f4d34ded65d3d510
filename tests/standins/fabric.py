"""Stand-in for the fabric: the kernel sprays datagrams over the entries.

All entries bind the service addresses with SO_REUSEPORT; a BPF program selects the
socket for each datagram.
"""

from __future__ import annotations

import ctypes
import socket
import struct

from cactushall_core import addresses

_SO_ATTACH_REUSEPORT_CBPF = 51
_RANDOM_NUMBER = 0xFFFFF000 + 56
_LOAD_ABSOLUTE = 0x20
_MODULO = 0x94
_ADD = 0x04
_RETURN = 0x16


class Fabric:
    """Holds the first socket in the SO_REUSEPORT group of each service address.

    Entries bind later, so that their sockets have the indexes from 1. The program is
    attached to the group through this socket, which itself gets no datagrams.
    """

    def __init__(self, service_addresses: list[addresses.Address]) -> None:
        """Bind the addresses; must happen before any entry binds them."""
        self._sockets = []
        for address in service_addresses:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
            self._sockets.append(sock)

    def spray(self, entries: int) -> None:
        """Send each datagram to a random entry.

        Args:
            entries: Number of entries whose sockets are in each group.
        """
        program = b"".join(
            struct.pack("=HBBI", code, 0, 0, operand)
            for code, operand in (
                (_LOAD_ABSOLUTE, _RANDOM_NUMBER),
                (_MODULO, entries),
                (_ADD, 1),
                (_RETURN, 0),
            )
        )
        buffer = ctypes.create_string_buffer(program, len(program))
        instructions = len(program) // struct.calcsize("=HBBI")
        option = struct.pack("@HP", instructions, ctypes.addressof(buffer))
        for sock in self._sockets:
            sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_REUSEPORT_CBPF, option)

    def close(self) -> None:
        """Release the addresses."""
        for sock in self._sockets:
            sock.close()
