"""Runs one daemon process until a signal stops it."""

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
from cactushall_daemon import events, exit_codes, logs, sockets, tasks
from cactushall_daemon.commands import settings_file
from cactushall_daemon.config import base, common

GC_ALLOCATION_THRESHOLD = 20_000

log = logs.get_logger(__name__)

SettingsT = typing.TypeVar("SettingsT", bound=common.ProcessSettings)
ReloadedSettingsT = typing.TypeVar(
    "ReloadedSettingsT", bound=common.ProcessSettings, contravariant=True
)


class Process(typing.Protocol[ReloadedSettingsT]):
    """A daemon process."""

    async def start(self) -> None:
        """Join the other processes and begin to serve."""

    async def stop(self) -> None:
        """Stop gracefully."""

    def reload(self, settings: ReloadedSettingsT) -> None:
        """Apply changed settings, as far as they can change at run time."""


# Applies the settings in the file if it has changed, before it returns.
RefreshSettings = collections.abc.Callable[[], None]
MakeProcess = collections.abc.Callable[[SettingsT, RefreshSettings], Process[SettingsT]]


def load_settings(cls: type[SettingsT], path: pathlib.Path) -> SettingsT:
    """Load settings and print all findings; exit if any is an error.

    Args:
        cls: The settings class.
        path: The settings file.
    """
    settings, found = base.load(cls, path)
    for finding in found:
        click.echo(str(finding), err=True)
    if settings is None:
        errors = sum(f.severity is findings.Severity.ERROR for f in found)
        click.echo(f"{path}: {errors} errors", err=True)
        sys.exit(exit_codes.ExitCode.INVALID_SETTINGS)
    return settings


def run_process(
    cls: type[SettingsT],
    path: pathlib.Path,
    make_process: MakeProcess[SettingsT],
    *,
    only_check: bool,
) -> None:
    """Run a process until SIGTERM or SIGINT, then exit.

    A second signal while the process is stopping ends it at once.

    Args:
        cls: The process's settings class.
        path: The settings file, reloaded on SIGHUP and when it has changed.
        make_process: Creates the process inside the event loop; gets a function that
            applies the settings in the file if it has changed.
        only_check: Return once the settings are found to be valid.
    """
    stamp = settings_file.read_stamp(path)
    settings = load_settings(cls, path)
    if only_check:
        return
    logs.configure(settings.log_level, settings.node)
    sys.exit(asyncio.run(_run_until_stopped(settings, path, stamp, make_process)))


async def _run_until_stopped(
    settings: SettingsT,
    path: pathlib.Path,
    stamp: settings_file.Stamp | None,
    make_process: MakeProcess[SettingsT],
) -> exit_codes.ExitCode:
    # The process needs the file's refresh, and the file the process's reload.
    def apply(changed: SettingsT) -> None:
        process.reload(changed)

    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(tasks.log_callback_failure)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    try:
        reloader = settings_file.SettingsFile(path, type(settings), stamp, apply)
        process = make_process(settings, reloader.refresh)
        loop.add_signal_handler(signal.SIGHUP, reloader.reload)
        await process.start()
    except sockets.BindError as error:
        log.error(events.Event.BIND_FAILED, why=str(error))
        return exit_codes.ExitCode.CANNOT_BIND
    gc.freeze()
    gc.set_threshold(GC_ALLOCATION_THRESHOLD)
    gc.enable()
    log.info(events.Event.STARTED, zone=settings.zone)
    following = asyncio.create_task(reloader.follow())
    await stop_requested.wait()
    following.cancel()
    log.info(events.Event.STOPPING)
    stop_requested.clear()
    stopping = asyncio.create_task(process.stop())
    stop_repeated = asyncio.create_task(stop_requested.wait())
    await asyncio.wait((stopping, stop_repeated), return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        return exit_codes.ExitCode.FORCED
    await stopping
    log.info(events.Event.STOPPED)
    return exit_codes.ExitCode.OK
