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
    statuses, unreachable = asyncio.run(_collect(client, contact))
    if output_format is output.Format.JSON:
        output.write_json(
            {
                "processes": [json_format.MessageToDict(status) for status in statuses],
                "unreachable": [dataclasses.asdict(failure) for failure in unreachable],
            }
        )
    else:
        _write_text(statuses, unreachable)
    if unreachable:
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
    statuses = []
    unreachable = []
    for member, result in zip(members, results, strict=True):
        if isinstance(result, control_pb2.StatusResponse):
            statuses.append(result)
        else:
            unreachable.append(_Unreachable(member.name, str(result)))
    statuses.sort(key=lambda status: (status.role, status.node))
    return statuses, unreachable


def _write_text(
    statuses: list[control_pb2.StatusResponse], unreachable: list[_Unreachable]
) -> None:
    titles = ("NODE", "ROLE", "ZONE", "REVISION", "MEMBERS")
    rows = [(s.node, s.role, s.zone, s.revision, s.members) for s in statuses]
    output.write_table(titles, rows)
    output.write_table(
        ("NODE", "SERVICE", "FLOWS", "FEEDS", "RUNNING", "QUEUED", "DRAINING"),
        [
            (s.node, e.service, e.flows, e.feeds, e.running, e.queued, e.is_draining)
            for s in statuses
            for e in s.endpoints
        ],
    )
    for failure in unreachable:
        output.write_table(("UNREACHABLE", "WHY"), [(failure.name, failure.reason)])
