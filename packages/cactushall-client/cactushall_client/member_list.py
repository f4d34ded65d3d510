"""Queries a daemon process for the members that it knows."""

from __future__ import annotations

from cactushall_core import addresses
from cactushall_core.membership import messages, records
from cactushall_rpc import control


async def fetch(
    client: control.Client, contact: addresses.Address
) -> list[records.Record]:
    """Return the members that a process knows.

    Args:
        client: Makes the control call.
        contact: Control address of the process.

    Raises:
        ControlError: The call failed or got no response.
    """
    return list(messages.decode_table(await client.members(contact)))
