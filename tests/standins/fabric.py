"""Stand-in for the fabric: the kernel sprays each datagram over the entries."""

from __future__ import annotations

import ctypes
import socket
import struct

from cactushall_core import addresses

_SO_ATTACH_REUSEPORT_CBPF = 51
_RANDOM = 0xFFFFF000 + 56
_LOAD_ABSOLUTE = 0x20
_MODULO = 0x94
_ADD = 0x04
_RETURN = 0x16


class Fabric:
    """Holds the first socket of each service address's group.

    Entries bind after it, so their sockets have the indexes from 1.
    """

    def __init__(self, service_addresses: list[addresses.Address]) -> None:
        """Bind the addresses; must happen before any entry does."""
        self._sockets = []
        for address in service_addresses:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
            self._sockets.append(sock)

    def spray(self, entries: int) -> None:
        """Send each datagram to a random one of so many entries."""
        program = b"".join(
            struct.pack("=HBBI", code, 0, 0, k)
            for code, k in (
                (_LOAD_ABSOLUTE, _RANDOM),
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
