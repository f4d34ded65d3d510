"""`cactushalld entry`."""

from __future__ import annotations

import pathlib

from cactushall_daemon.commands import run
from cactushall_daemon.config import schema
from cactushall_daemon.entry import process


def main(path: pathlib.Path, *, only_check: bool) -> None:
    """Run an entry, or only check its settings."""
    settings = run.load_settings(schema.EntrySettings, path)
    if not only_check:
        run.run(settings, process.EntryProcess)
