"""`cactushall apply`: writes a service configuration to the store."""

from __future__ import annotations

import asyncio
import pathlib
import sys

import click
from msgspec import structs

from cactushall_client import exit_codes, intent
from cactushall_core import addresses, configuration, findings, identifiers
from cactushall_rpc import paths, store


def main(path: pathlib.Path, store_address: addresses.Address) -> None:
    """Replace the service configuration by that in a file, by compare-and-swap."""
    loaded, found = intent.load(path)
    for finding in found:
        click.echo(str(finding), err=True)
    if loaded is None or findings.has_errors(found):
        sys.exit(exit_codes.ExitCode.INVALID_INPUT)
    revision = asyncio.run(_apply(loaded, store_address))
    if revision is None:
        click.echo("another operator was faster; look and try again", err=True)
        sys.exit(exit_codes.ExitCode.CONFLICT)
    click.echo(f"revision {revision} is stored")


async def _apply(
    wanted: configuration.Configuration, store_address: addresses.Address
) -> int | None:
    client = store.Store((store_address,))
    try:
        entry = await client.get(paths.CONFIGURATION)
        base = configuration.EMPTY
        mod_revision = 0
        if entry is not None:
            base = configuration.decode(entry.value, "store")
            mod_revision = entry.mod_revision
        revision = identifiers.Revision(base.revision + 1)
        changed = structs.replace(wanted, revision=revision)
        value = configuration.encode(changed)
        is_stored = await client.replace(paths.CONFIGURATION, value, mod_revision)
        return revision if is_stored else None
    finally:
        client.close()
