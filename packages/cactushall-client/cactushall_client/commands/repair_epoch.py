"""`cactushall repair-epoch`: removes lost members from a service's epoch."""

from __future__ import annotations

import asyncio
import dataclasses
import sys
import time

import click

from cactushall_client import exit_codes, fleet
from cactushall_core import addresses, exceptions, identifiers
from cactushall_core.once import epoch, key_registry
from cactushall_rpc import control, paths, store

WARNING = (
    "These members must be switched off for good; one that still runs could run a "
    "request again."
)


@dataclasses.dataclass(frozen=True)
class _Repair:
    present: epoch.Epoch
    mod_revision: int
    lost: set[identifiers.MemberId]


def main(
    client: control.Client,
    contact: addresses.Address,
    store_address: addresses.Address,
    service: identifiers.ServiceName,
) -> None:
    """Remove members that a process does not know as present."""
    repair = asyncio.run(_look(client, contact, store_address, service))
    if not repair.lost:
        click.echo("no member of the epoch is lost")
        return
    click.echo(f"epoch {repair.present.number}: {len(repair.lost)} members are lost:")
    for member in sorted(repair.lost):
        click.echo(f"  {member}")
    click.confirm(f"{WARNING} Remove them?", abort=True, err=True)
    if not asyncio.run(_write(store_address, service, repair)):
        click.echo("the epoch has changed meanwhile; look again", err=True)
        sys.exit(exit_codes.ExitCode.CONFLICT)
    click.echo(f"epoch {repair.present.number + 1} is stored")


async def _look(
    client: control.Client,
    contact: addresses.Address,
    store_address: addresses.Address,
    service: identifiers.ServiceName,
) -> _Repair:
    known = await fleet.members(client, contact)
    present = {record.member.id for record in known if record.is_present}
    key_value_store = store.Store((store_address,))
    try:
        entry = await key_value_store.get(paths.epoch(service))
    finally:
        key_value_store.close()
    if entry is None:
        raise exceptions.ConfigurationError(f"service {service} has no epoch")
    stored = epoch.decode(entry.value)
    return _Repair(stored, entry.mod_revision, set(stored.members) - present)


async def _write(
    store_address: addresses.Address,
    service: identifiers.ServiceName,
    repair: _Repair,
) -> bool:
    changed = epoch.without_members(
        repair.present,
        repair.lost,
        set(),
        time.time(),
        key_registry.DEFAULT_KEY_LIFETIME_SECONDS,
    )
    key_value_store = store.Store((store_address,))
    try:
        value = epoch.encode(changed)
        key = paths.epoch(service)
        return await key_value_store.replace(key, value, repair.mod_revision)
    finally:
        key_value_store.close()
