"""`cactushall repair-epoch`: removes lost members from a service's epoch."""

from __future__ import annotations

import asyncio
import dataclasses
import sys
import time

import click

from cactushall_client import exit_codes, member_list
from cactushall_core import addresses, exceptions, identifiers
from cactushall_core.once import epoch, key_registry
from cactushall_rpc import control, store, store_keys

WARNING = (
    "These members must be shut down permanently; one that is still running could "
    "execute a request a second time."
)


@dataclasses.dataclass(frozen=True)
class _Repair:
    stored_epoch: epoch.Epoch
    mod_revision: int
    lost: set[identifiers.MemberId]


def main(
    client: control.Client,
    contact: addresses.Address,
    store_address: addresses.Address,
    service: identifiers.ServiceName,
) -> None:
    """Remove members from an epoch that a process does not list as present.

    Args:
        client: Makes the control call.
        contact: Control address of the process.
        store_address: Address of the key-value store.
        service: The service whose epoch is repaired.

    Raises:
        ConfigurationError: The service has no epoch.
        ControlError: The control call failed or got no response.
    """
    repair = asyncio.run(_find_lost_members(client, contact, store_address, service))
    if not repair.lost:
        click.echo("the epoch has no lost members")
        return
    click.echo(f"epoch {repair.stored_epoch.number}: {len(repair.lost)} lost members:")
    for member in sorted(repair.lost):
        click.echo(f"  {member}")
    click.confirm(f"{WARNING} Remove them?", abort=True, err=True)
    if not asyncio.run(_remove_lost_members(store_address, service, repair)):
        click.echo("the epoch has changed meanwhile; check and retry", err=True)
        sys.exit(exit_codes.ExitCode.CONFLICT)
    click.echo(f"epoch {repair.stored_epoch.number + 1} is stored")


async def _find_lost_members(
    client: control.Client,
    contact: addresses.Address,
    store_address: addresses.Address,
    service: identifiers.ServiceName,
) -> _Repair:
    records = await member_list.fetch(client, contact)
    present_ids = {record.member.id for record in records if record.is_present}
    key_value_store = store.Store((store_address,))
    try:
        entry = await key_value_store.get(store_keys.epoch(service))
    finally:
        key_value_store.close()
    if entry is None:
        raise exceptions.ConfigurationError(f"service {service} has no epoch")
    stored_epoch = epoch.decode(entry.value)
    return _Repair(
        stored_epoch, entry.mod_revision, set(stored_epoch.members) - present_ids
    )


async def _remove_lost_members(
    store_address: addresses.Address,
    service: identifiers.ServiceName,
    repair: _Repair,
) -> bool:
    repaired_epoch = epoch.without_members(
        repair.stored_epoch,
        repair.lost,
        set(),
        time.time(),
        key_registry.DEFAULT_KEY_LIFETIME_SECONDS,
    )
    key_value_store = store.Store((store_address,))
    try:
        value = epoch.encode(repaired_epoch)
        key = store_keys.epoch(service)
        return await key_value_store.replace(key, value, repair.mod_revision)
    finally:
        key_value_store.close()
