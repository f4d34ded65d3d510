"""`cactushall members`: lists the members that one process knows."""

from __future__ import annotations

import asyncio

import msgspec

from cactushall_client import member_list, output
from cactushall_core import addresses
from cactushall_rpc import control


def main(
    client: control.Client, contact: addresses.Address, output_format: output.Format
) -> None:
    """Print the members that a process knows.

    Args:
        client: Makes the control call.
        contact: Control address of the process.
        output_format: Whether to print a table or JSON.
    """
    records = asyncio.run(member_list.fetch(client, contact))
    records.sort(key=lambda record: record.member.name)
    if output_format is output.Format.JSON:
        output.write_json(msgspec.to_builtins(records))
        return
    titles = ("NODE", "ROLE", "ZONE", "ADDRESS", "STATUS", "INCARNATION")
    rows = [
        (
            record.member.name,
            record.member.role.name.lower(),
            record.member.zone,
            record.member.control_address,
            record.status.name.lower(),
            record.incarnation,
        )
        for record in records
    ]
    output.write_table(titles, rows)
