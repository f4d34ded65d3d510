"""Reaching the processes of the fleet."""

from __future__ import annotations

from cactushall_core import addresses
from cactushall_core.membership import messages, records
from cactushall_rpc import control


async def members(
    client: control.Client, contact: addresses.Address
) -> list[records.Record]:
    """Return the members that a process knows.

    Raises:
        ControlError: The process gave no answer.
    """
    return list(messages.decode_table(await client.members(contact)))
