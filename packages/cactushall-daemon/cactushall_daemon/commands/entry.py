"""`cactushalld entry`: runs an entry."""

from __future__ import annotations

import pathlib

from cactushall_daemon.commands import roles


def main(path: pathlib.Path, *, only_check: bool) -> None:
    """Run an entry, or only check its settings.

    Args:
        path: The settings file.
        only_check: Return once the settings are found to be valid.
    """
    roles.run_role(path, _run_packets, _run_quic, only_check=only_check)


def _run_packets(path: pathlib.Path, *, only_check: bool) -> None:
    from cactushall_daemon.commands import run
    from cactushall_daemon.config import packet_schema
    from cactushall_daemon.packets import entry_process

    run.run_process(
        packet_schema.PacketEntrySettings,
        path,
        lambda settings, _: entry_process.EntryProcess(settings),
        only_check=only_check,
    )


def _run_quic(path: pathlib.Path, *, only_check: bool) -> None:
    from cactushall_daemon.commands import run
    from cactushall_daemon.config import schema
    from cactushall_daemon.entry import process

    run.run_process(
        schema.EntrySettings,
        path,
        lambda settings, _: process.EntryProcess(settings),
        only_check=only_check,
    )
