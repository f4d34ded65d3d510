"""Transports by which callers' flows reach a process."""

from __future__ import annotations

import enum

OPTION_NAME = "transport"


class Transport(enum.Enum):
    """A transport of callers' flows.

    Attributes:
        QUIC: Callers open QUIC connections.
        PACKETS: Packets of callers' flows are forwarded unchanged.
    """

    QUIC = "quic"
    PACKETS = "packets"
