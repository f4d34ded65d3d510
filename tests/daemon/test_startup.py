"""Tests that a process of the packet transport imports only what it needs."""

from __future__ import annotations

import pytest

from tests.standins import python_path

NOT_NEEDED = {
    "aioquic",
    "cryptography",
    "grpclib",
    "google",
    "h2",
    "hdrh",
    "prometheus_client",
    "ssl",
    "yaml",
    "cactushall_client",
    "cactushall_core.once",
    "cactushall_core.connection_id",
    "cactushall_daemon.agent",
    "cactushall_daemon.entry",
    "cactushall_daemon.config.schema",
    "cactushall_rpc.generated",
}
PROGRAM = """
import sys
from cactushall_daemon import __main__, startup
startup.disable_tls_import()
from cactushall_daemon.commands import {role}, run
from cactushall_daemon.packets import {role}_process
print(*(name for name, module in sys.modules.items() if module is not None))
"""


IGNORES_SIGHUP = """
import signal
from cactushall_daemon import __main__
__main__.cli.callback()
print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
"""


def test_a_signal_before_the_handler_is_set_does_not_end_the_process():
    """Guards against a process that ends when its settings change while it starts."""
    assert python_path.run(IGNORES_SIGHUP).split() == ["True"]


@pytest.mark.parametrize("role", ["entry", "agent"])
def test_only_what_the_transport_needs_is_imported(role):
    program = PROGRAM.format(role=role)
    output = python_path.run(program)
    imported = set(output.split())
    assert f"cactushall_daemon.packets.{role}_process" in imported
    assert imported & NOT_NEEDED == set()
