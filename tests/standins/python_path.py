"""Runs Python without its `site` module, which still finds the project's code."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import cactushall_core
import cactushall_daemon
import cactushall_platform
import cactushall_rpc

PACKAGES = (cactushall_core, cactushall_daemon, cactushall_platform, cactushall_rpc)


def child_environment() -> dict[str, str]:
    """Return the environment of a child process that is started with `-S`."""
    package_folders = [str(pathlib.Path(str(p.__file__)).parents[1]) for p in PACKAGES]
    return {"PYTHONPATH": ":".join([*package_folders, *sys.path])}


def run(program: str) -> str:
    """Run a program in an interpreter started with `-S` and return its output."""
    return subprocess.run(
        [sys.executable, "-S", "-c", program],
        capture_output=True,
        text=True,
        check=True,
        env=child_environment(),
    ).stdout
