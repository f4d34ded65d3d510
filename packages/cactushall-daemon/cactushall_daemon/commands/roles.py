"""Runs a role on the transport that its settings name."""

from __future__ import annotations

import pathlib
import typing

from cactushall_daemon import startup
from cactushall_daemon.config import base, transport


class Runner(typing.Protocol):
    """Imports what one transport needs and runs a role on it."""

    def __call__(self, path: pathlib.Path, *, only_check: bool) -> None:
        """Run the role, or only check its settings."""


def run(
    path: pathlib.Path, run_packets: Runner, run_quic: Runner, *, only_check: bool
) -> None:
    """Run a role, or only check its settings.

    Args:
        path: The settings file.
        run_packets: Runs the role where packets are carried unchanged.
        run_quic: Runs the role where callers speak QUIC.
        only_check: Return once the settings are found to be valid.
    """
    if base.peek(path, transport.OPTION) == transport.Transport.PACKETS.value:
        startup.disable_tls_import()
        run_packets(path, only_check=only_check)
    else:
        run_quic(path, only_check=only_check)
