"""`cactushall check`: validates a service configuration."""

from __future__ import annotations

import pathlib
import sys

import click

from cactushall_client import configuration_file, exit_codes
from cactushall_core import findings


def main(path: pathlib.Path) -> None:
    """Print all findings of a service configuration file.

    Args:
        path: The configuration file.
    """
    loaded, found = configuration_file.load(path)
    for finding in found:
        click.echo(str(finding), err=True)
    if loaded is None or findings.has_errors(found):
        sys.exit(exit_codes.ExitCode.INVALID_INPUT)
    click.echo(f"{path}: {len(loaded.services)} services, no errors")
