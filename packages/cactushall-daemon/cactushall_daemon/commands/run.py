"""Runs one daemon process until it is told to stop."""

from __future__ import annotations

import asyncio
import collections.abc
import gc
import pathlib
import signal
import sys
import typing

import click

from cactushall_core import findings
from cactushall_daemon import events, exit_codes, logs, sockets
from cactushall_daemon.config import base, common

GARBAGE_THRESHOLD = 20_000

log = logs.get_logger(__name__)

SettingsT = typing.TypeVar("SettingsT", bound=common.ProcessSettings)
UsedSettingsT = typing.TypeVar(
    "UsedSettingsT", bound=common.ProcessSettings, contravariant=True
)


class Process(typing.Protocol[UsedSettingsT]):
    """A daemon process."""

    async def start(self) -> None:
        """Take part and serve."""

    async def stop(self) -> None:
        """Stop gracefully."""

    def reload(self, settings: UsedSettingsT) -> None:
        """Use what has changed in the settings and can change while running."""


def load_settings(cls: type[SettingsT], path: pathlib.Path) -> SettingsT:
    """Load settings, or print all findings and exit."""
    settings, found = base.load(cls, path)
    for finding in found:
        click.echo(str(finding), err=True)
    if settings is None:
        errors = sum(f.severity is findings.Severity.ERROR for f in found)
        click.echo(f"{path}: {errors} errors", err=True)
        sys.exit(exit_codes.ExitCode.INVALID_SETTINGS)
    return settings


def run(
    cls: type[SettingsT],
    path: pathlib.Path,
    make_process: collections.abc.Callable[[SettingsT], Process[SettingsT]],
    *,
    only_check: bool,
) -> None:
    """Run a process until SIGTERM or SIGINT, then exit.

    Args:
        cls: The process's settings class.
        path: The settings file, read again at SIGHUP.
        make_process: Creates the process inside the event loop.
        only_check: Return once the settings are found to be valid.
    """
    settings = load_settings(cls, path)
    if only_check:
        return
    logs.configure(settings.log_level, settings.node)
    sys.exit(asyncio.run(_run(settings, path, make_process)))


async def _run(
    settings: SettingsT,
    path: pathlib.Path,
    make_process: collections.abc.Callable[[SettingsT], Process[SettingsT]],
) -> exit_codes.ExitCode:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    try:
        process = make_process(settings)
        loop.add_signal_handler(signal.SIGHUP, _reload, process, type(settings), path)
        await process.start()
    except sockets.BindError as error:
        log.error(events.Event.BIND_FAILED, why=str(error))
        return exit_codes.ExitCode.CANNOT_BIND
    gc.freeze()
    gc.set_threshold(GARBAGE_THRESHOLD)
    gc.enable()
    log.info(events.Event.STARTED, zone=settings.zone)
    await stop_requested.wait()
    log.info(events.Event.STOPPING)
    stop_requested.clear()
    stopping = asyncio.create_task(process.stop())
    forced = asyncio.create_task(stop_requested.wait())
    await asyncio.wait((stopping, forced), return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        return exit_codes.ExitCode.FORCED
    await stopping
    log.info(events.Event.STOPPED)
    return exit_codes.ExitCode.OK


def _reload(
    process: Process[SettingsT], cls: type[SettingsT], path: pathlib.Path
) -> None:
    """Read the settings again; what is not valid changes nothing."""
    settings, found = base.load(cls, path)
    if settings is None:
        why = "; ".join(map(str, found))
        log.error(events.Event.SETTINGS_REFUSED, path=str(path), why=why)
        return
    process.reload(settings)
    log.info(events.Event.SETTINGS_RELOADED, path=str(path))
