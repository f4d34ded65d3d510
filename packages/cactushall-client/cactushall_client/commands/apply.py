"""`cactushall apply`: writes a service configuration to the store."""

from __future__ import annotations

import asyncio
import pathlib
import sys

import click
from msgspec import structs

from cactushall_client import configuration_file, exit_codes
from cactushall_core import addresses, configuration, findings, identifiers
from cactushall_rpc import store, store_keys


def main(path: pathlib.Path, store_address: addresses.Address) -> None:
    """Replace the stored service configuration by compare-and-swap.

    Args:
        path: File with the new service configuration.
        store_address: Address of the key-value store.
    """
    loaded, found = configuration_file.load(path)
    for finding in found:
        click.echo(str(finding), err=True)
    if loaded is None or findings.has_errors(found):
        sys.exit(exit_codes.ExitCode.INVALID_INPUT)
    revision = asyncio.run(_apply(loaded, store_address))
    if revision is None:
        click.echo("stored configuration changed meanwhile; check and retry", err=True)
        sys.exit(exit_codes.ExitCode.CONFLICT)
    click.echo(f"revision {revision} is stored")


async def _apply(
    wanted: configuration.Configuration, store_address: addresses.Address
) -> int | None:
    client = store.Store((store_address,))
    try:
        entry = await client.get(store_keys.CONFIGURATION)
        current = configuration.EMPTY
        mod_revision = 0
        if entry is not None:
            current = configuration.decode(entry.value, "store")
            mod_revision = entry.mod_revision
        revision = identifiers.Revision(current.revision + 1)
        updated = structs.replace(wanted, revision=revision)
        value = configuration.encode(updated)
        is_stored = await client.replace(store_keys.CONFIGURATION, value, mod_revision)
        return revision if is_stored else None
    finally:
        client.close()
