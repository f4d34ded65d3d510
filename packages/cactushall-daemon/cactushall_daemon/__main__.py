"""Command line of `cactushalld`."""

from __future__ import annotations

import gc
import pathlib
import signal
import typing

import click

CONFIG_HELP = "Settings file in YAML."
CHECK_HELP = "Check the settings, print all findings and exit."

CommandT = typing.TypeVar("CommandT", bound=typing.Callable[..., None])


def _common_options(command: CommandT) -> CommandT:
    """Add the options that all commands share."""
    path_type = click.Path(path_type=pathlib.Path)
    add_config = click.option(
        "--config", "-c", "path", type=path_type, required=True, help=CONFIG_HELP
    )
    add_check = click.option("--check", "only_check", is_flag=True, help=CHECK_HELP)
    return add_config(add_check(command))


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="cactushall-daemon")
def cli() -> None:
    """Run one process of the cactushall load balancer."""
    # Imports leave no garbage to collect; `commands.run` enables collection again.
    gc.disable()
    # Its default action would end a process that has not read its settings yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


@cli.command()
@_common_options
def entry(path: pathlib.Path, only_check: bool) -> None:
    """Steer callers' datagrams to the agents of their flows."""
    from cactushall_daemon.commands import entry as entry_command

    entry_command.main(path, only_check=only_check)


@cli.command()
@_common_options
def agent(path: pathlib.Path, only_check: bool) -> None:
    """Serve flows beside backend servers."""
    from cactushall_daemon.commands import agent as agent_command

    agent_command.main(path, only_check=only_check)


if __name__ == "__main__":
    cli()
