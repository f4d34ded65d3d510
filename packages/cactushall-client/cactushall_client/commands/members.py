"""`cactushall members`: the members that one process knows."""

from __future__ import annotations

import asyncio

import msgspec

from cactushall_client import fleet, output
from cactushall_core import addresses
from cactushall_rpc import control


def main(
    client: control.Client, contact: addresses.Address, output_format: output.Format
) -> None:
    """Print the members that a process knows."""
    found = asyncio.run(fleet.members(client, contact))
    found.sort(key=lambda record: record.member.name)
    if output_format is output.Format.JSON:
        output.write_json(msgspec.to_builtins(found))
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
        for record in found
    ]
    output.write_table(titles, rows)
