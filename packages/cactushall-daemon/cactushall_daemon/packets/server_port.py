"""Asks the operating system whether a backend server listens at its address."""

from __future__ import annotations

import asyncio
import enum

from cactushall_core import addresses

CONNECT_TIMEOUT_SECONDS = 0.1


class Result(enum.Enum):
    """What became of a connection.

    ACCEPTED: A server listens.
    REFUSED: None does.
    UNKNOWN: There was no answer in time, or none that tells.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


async def connect(address: addresses.Address) -> Result:
    """Open a connection to a backend server and close it.

    Args:
        address: Where the backend server receives packets and health checks.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except ConnectionRefusedError:
        return Result.REFUSED
    except (OSError, TimeoutError):
        return Result.UNKNOWN
    writer.close()
    return Result.ACCEPTED
