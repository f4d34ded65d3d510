"""`cactushall where`: shows where a new flow would go now, and why."""

from __future__ import annotations

import asyncio
import sys

import click
import msgspec

from cactushall_client import exit_codes, output
from cactushall_core import addresses, identifiers
from cactushall_core.flows import explanation
from cactushall_rpc import where

TITLES = (
    *("NODE", "ZONE", "ADDRESS", "WAIT", "REQUESTS", "SLOTS", "SERVICE TIME"),
    *("FLOWS", "REPORT AGE", "EXCLUDED BY"),
)


def main(
    entry: addresses.Address,
    address: addresses.Address,
    zone: identifiers.ZoneName | None,
    caller: addresses.Address | None,
    output_format: output.Format,
) -> None:
    """Print where an entry would send a new flow.

    Args:
        entry: Peer address of the entry.
        address: The address that the caller sends to.
        zone: Availability zone of the caller, None for that of the entry.
        caller: The caller's address, None for any.
        output_format: Whether to print tables or JSON.

    Raises:
        WhereError: The entry gave no answer.
    """
    answer = asyncio.run(where.ask(entry, address, zone, caller))
    if output_format is output.Format.JSON:
        output.write_json(msgspec.to_builtins(answer))
    else:
        _write_text(address, answer)
    if answer.route is None:
        sys.exit(exit_codes.ExitCode.NOT_SERVED)


def _write_text(address: addresses.Address, answer: explanation.Explanation) -> None:
    route = f"route {answer.route}" if answer.route is not None else "no route"
    click.echo(
        f"{address} from zone {answer.zone}: {route}, revision {answer.revision}"
    )
    if answer.refusal is not None:
        click.echo(_describe_refusal(answer.refusal))
    for service in answer.services:
        click.echo(f"service {service.service}, weight {service.weight:g}")
        if service.candidates:
            output.write_table(TITLES, [_make_row(c) for c in service.candidates])
        if service.agent is not None:
            click.echo(f"goes to {service.agent}")
        if service.refusal is not None:
            click.echo(_describe_refusal(service.refusal))


def _make_row(candidate: explanation.Candidate) -> tuple[object, ...]:
    age = candidate.load_age_seconds
    excluded_by = candidate.exclusion.value if candidate.exclusion else "-"
    return (
        candidate.node,
        candidate.zone,
        candidate.address,
        f"{candidate.expected_wait:.2f}",
        f"{candidate.requests:.1f}",
        candidate.slots,
        f"{candidate.service_seconds:.4f} s",
        candidate.flows,
        f"{age:.2f} s" if age is not None else "never",
        excluded_by,
    )


def _describe_refusal(refusal: explanation.Refusal) -> str:
    if refusal.queue_seconds > 0:
        reason = refusal.reason.value
        return f"queued for up to {refusal.queue_seconds:g} s, then refused: {reason}"
    return f"refused at once: {refusal.reason.value}"
