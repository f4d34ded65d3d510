"""Network addresses as hashable values."""

from __future__ import annotations

import ipaddress
import typing

MAX_PORT = 65535


class Address(typing.NamedTuple):
    """An IP address and a port, in the form that the socket library takes."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, with an IPv6 host in brackets."""
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse(text: str) -> Address:
    """Parse ``host:port`` with a numeric IP address.

    Args:
        text: The text form, with an IPv6 host in brackets.

    Returns:
        The address.

    Raises:
        ValueError: The text is not a numeric address with a port.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} has no port")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    port_number = int(port)
    if not 0 < port_number <= MAX_PORT:
        raise ValueError(f"port {port_number} is out of range")
    return Address(host, port_number)
