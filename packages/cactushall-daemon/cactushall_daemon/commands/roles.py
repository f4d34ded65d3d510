"""Runs a daemon role with the transport that its settings select."""

from __future__ import annotations

import pathlib
import typing

from cactushall_daemon import startup
from cactushall_daemon.config import base, transport


class RoleRunner(typing.Protocol):
    """Imports the modules of one transport and runs a role with it."""

    def __call__(self, path: pathlib.Path, *, only_check: bool) -> None:
        """Run the role, or only check its settings."""


def run_role(
    path: pathlib.Path,
    run_packets: RoleRunner,
    run_quic: RoleRunner,
    *,
    only_check: bool,
) -> None:
    """Run a role, or only check its settings.

    Args:
        path: The settings file.
        run_packets: Runs the role with the packets transport.
        run_quic: Runs the role with the QUIC transport.
        only_check: Return once the settings are found to be valid.
    """
    if (
        base.read_option(path, transport.OPTION_NAME)
        == transport.Transport.PACKETS.value
    ):
        startup.disable_tls_import()
        run_packets(path, only_check=only_check)
    else:
        run_quic(path, only_check=only_check)
