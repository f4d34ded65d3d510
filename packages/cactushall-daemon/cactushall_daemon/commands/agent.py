"""`cactushalld agent`: runs an agent."""

from __future__ import annotations

import pathlib

from cactushall_daemon.commands import roles


def main(path: pathlib.Path, *, only_check: bool) -> None:
    """Run an agent, or only check its settings.

    Args:
        path: The settings file.
        only_check: Return once the settings are found to be valid.
    """
    roles.run_role(path, _run_packets, _run_quic, only_check=only_check)


def _run_packets(path: pathlib.Path, *, only_check: bool) -> None:
    from cactushall_daemon.commands import run
    from cactushall_daemon.config import packet_schema
    from cactushall_daemon.packets import agent_process

    cls = packet_schema.PacketAgentSettings
    run.run_process(cls, path, agent_process.AgentProcess, only_check=only_check)


def _run_quic(path: pathlib.Path, *, only_check: bool) -> None:
    from cactushall_daemon.agent import process
    from cactushall_daemon.commands import run
    from cactushall_daemon.config import schema

    run.run_process(
        schema.AgentSettings,
        path,
        lambda settings, _: process.AgentProcess(settings),
        only_check=only_check,
    )
