"""`cactushalld agent`."""

from __future__ import annotations

import pathlib

from cactushall_daemon.agent import process
from cactushall_daemon.commands import run
from cactushall_daemon.config import schema


def main(path: pathlib.Path, *, only_check: bool) -> None:
    """Run an agent, or only check its settings."""
    settings = run.load_settings(schema.AgentSettings, path)
    if not only_check:
        run.run(settings, process.AgentProcess)
