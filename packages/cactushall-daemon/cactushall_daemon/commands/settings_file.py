"""The settings file of a running process, which may change at any time."""

from __future__ import annotations

import asyncio
import collections.abc
import pathlib
import typing

from cactushall_daemon import events, logs
from cactushall_daemon.config import base, common

CHECK_SECONDS = 1.0

log = logs.get_logger(__name__)

SettingsT = typing.TypeVar("SettingsT", bound=common.ProcessSettings)


class Stamp(typing.NamedTuple):
    """What tells two contents of a file apart without reading them."""

    inode: int
    size: int
    changed_at_ns: int


def read_stamp(path: pathlib.Path) -> Stamp | None:
    """Return the stamp of a file, None where there is no file at the moment."""
    try:
        status = path.stat()
    except OSError:
        return None
    return Stamp(status.st_ino, status.st_size, status.st_mtime_ns)


class SettingsFile(typing.Generic[SettingsT]):
    """Reloads the settings of a process, on request or when their file has changed."""

    def __init__(
        self,
        path: pathlib.Path,
        cls: type[SettingsT],
        loaded: Stamp | None,
        apply: collections.abc.Callable[[SettingsT], None],
    ) -> None:
        """Start with the content that the process has read.

        Args:
            path: The settings file.
            cls: The settings class.
            loaded: Stamp of the file before it was read.
            apply: Applies changed settings.
        """
        self._path = path
        self._cls = cls
        self._loaded = loaded
        self._apply = apply

    def reload(self) -> None:
        """Apply the settings in the file, unless they are not valid."""
        self._loaded = read_stamp(self._path)
        settings, found = base.load(self._cls, self._path)
        if settings is None:
            why = "; ".join(map(str, found))
            log.error(events.Event.SETTINGS_REFUSED, path=str(self._path), why=why)
            return
        self._apply(settings)
        log.info(events.Event.SETTINGS_RELOADED, path=str(self._path))

    def refresh(self) -> None:
        """Apply the settings in the file if it has changed."""
        stamp = read_stamp(self._path)
        if stamp is not None and stamp != self._loaded:
            self.reload()

    async def follow(self) -> None:
        """Reload the file whenever it has changed, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self.refresh()
