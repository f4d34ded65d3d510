"""`cactushall status`: shows the status of all processes."""

from __future__ import annotations

import asyncio
import dataclasses
import sys

from google.protobuf import json_format

from cactushall_client import exit_codes, member_list, output
from cactushall_core import addresses
from cactushall_rpc import control
from cactushall_rpc.generated import control_pb2


@dataclasses.dataclass(frozen=True)
class _Unreachable:
    name: str
    reason: str


def main(
    client: control.Client, contact: addresses.Address, output_format: output.Format
) -> None:
    """Print the status of all present members that a process knows.

    Args:
        client: Makes the control calls.
        contact: Control address of the process.
        output_format: Whether to print tables or JSON.
    """
    found, failed = asyncio.run(_collect(client, contact))
    if output_format is output.Format.JSON:
        output.write_json(
            {
                "processes": [json_format.MessageToDict(status) for status in found],
                "unreachable": [dataclasses.asdict(failure) for failure in failed],
            }
        )
    else:
        _write_text(found, failed)
    if failed:
        sys.exit(exit_codes.ExitCode.FAILURE)


async def _collect(
    client: control.Client,
    contact: addresses.Address,
) -> tuple[list[control_pb2.StatusResponse], list[_Unreachable]]:
    members = [
        r.member for r in await member_list.fetch(client, contact) if r.is_present
    ]
    results = await asyncio.gather(
        *(client.status(member.control_address) for member in members),
        return_exceptions=True,
    )
    found = []
    failed = []
    for member, result in zip(members, results, strict=True):
        if isinstance(result, control_pb2.StatusResponse):
            found.append(result)
        else:
            failed.append(_Unreachable(member.name, str(result)))
    found.sort(key=lambda status: (status.role, status.node))
    return found, failed


def _write_text(
    found: list[control_pb2.StatusResponse], failed: list[_Unreachable]
) -> None:
    titles = ("NODE", "ROLE", "ZONE", "REVISION", "MEMBERS")
    rows = [(s.node, s.role, s.zone, s.revision, s.members) for s in found]
    output.write_table(titles, rows)
    output.write_table(
        ("NODE", "SERVICE", "FLOWS", "FEEDS", "RUNNING", "QUEUED", "DRAINING"),
        [
            (s.node, e.service, e.flows, e.feeds, e.running, e.queued, e.is_draining)
            for s in found
            for e in s.endpoints
        ],
    )
    for failure in failed:
        output.write_table(("UNREACHABLE", "WHY"), [(failure.name, failure.reason)])
