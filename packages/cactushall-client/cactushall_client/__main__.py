"""Command line of `cactushall`."""

from __future__ import annotations

import pathlib
import sys
import typing

import click

from cactushall_client import exit_codes, output
from cactushall_client.commands import apply as apply_command
from cactushall_client.commands import check as check_command
from cactushall_client.commands import explain as explain_command
from cactushall_client.commands import members as members_command
from cactushall_client.commands import repair_epoch as repair_epoch_command
from cactushall_client.commands import status as status_command
from cactushall_client.commands import where as where_command
from cactushall_core import addresses, exceptions, identifiers
from cactushall_rpc import control
from cactushall_rpc import where as where_calls

ENTRY_HELP = "Peer address of an entry on the platform, as IP:PORT."
CALLER_HELP = "Address of the caller (IP:PORT); any if not given."
ZONE_HELP = "Availability zone of the caller; the entry's own if not given."
CONTACT_HELP = "Control address of any daemon process, as IP:PORT."
STORE_HELP = "Address of the key-value store, as IP:PORT."
OUTPUT_HELP = "Output format."
TLS_OPTIONS = {
    "certificate": "Operator's certificate for mutual TLS.",
    "private-key": "Private key of the operator's certificate.",
    "authority": "Certificate of the authority that signs all processes.",
}

CommandT = typing.TypeVar("CommandT", bound=typing.Callable[..., None])


class AddressType(click.ParamType[addresses.Address]):
    """Type of command-line values that are an IP address with a port."""

    name = "address"

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> addresses.Address:
        """Parse an address, or fail with a usage error."""
        try:
            return addresses.parse(str(value))
        except ValueError as error:
            self.fail(str(error), param, ctx)


class ServiceAddressType(AddressType):
    """Type of command-line values that are an address that callers send to."""

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> addresses.Address:
        """Parse an IPv4 address with a port, or fail with a usage error."""
        parsed = super().convert(value, param, ctx)
        try:
            where_calls.to_service_address(parsed)
        except ValueError as error:
            self.fail(str(error), param, ctx)
        return parsed


def _report_errors(run: typing.Callable[..., None], *args: object) -> None:
    """Run a command; print an expected error as one line and exit."""
    try:
        run(*args)
    except exceptions.CactushallError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(exit_codes.ExitCode.FAILURE)


def _output_option(command: CommandT) -> CommandT:
    """Add the option that chooses between text and JSON."""
    add_output = click.option(
        "--output",
        "output_format",
        type=click.Choice([chosen.value for chosen in output.Format]),
        default=output.Format.TEXT.value,
        help=OUTPUT_HELP,
    )
    return add_output(command)


def _contact_options(command: CommandT) -> CommandT:
    """Add the options of commands that query a daemon process."""
    add_contact = click.option(
        "--contact",
        type=AddressType(),
        required=True,
        envvar="CACTUSHALL_CONTACT",
        help=CONTACT_HELP,
    )
    for name, help_text in TLS_OPTIONS.items():
        path_type = click.Path(path_type=pathlib.Path, exists=True)
        add_file = click.option(f"--{name}", type=path_type, help=help_text)
        command = add_file(command)
    return add_contact(_output_option(command))


def _make_client(
    certificate: pathlib.Path | None,
    private_key: pathlib.Path | None,
    authority: pathlib.Path | None,
) -> control.Client:
    """Return a client, with mutual TLS if all files for it are given."""
    if certificate is None or private_key is None or authority is None:
        return control.Client()
    credentials = control.Credentials(certificate, private_key, authority)
    return control.Client(control.client_context(credentials))


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="cactushall-client")
def cli() -> None:
    """Inspect and configure a cactushall load balancer."""


@cli.command()
@_contact_options
def status(
    contact: addresses.Address, output_format: str, **files: pathlib.Path | None
) -> None:
    """Show the status of all processes."""
    client = _make_client(**files)
    _report_errors(status_command.main, client, contact, output.Format(output_format))


@cli.command()
@_contact_options
def members(
    contact: addresses.Address, output_format: str, **files: pathlib.Path | None
) -> None:
    """Show the members that one process knows."""
    client = _make_client(**files)
    _report_errors(members_command.main, client, contact, output.Format(output_format))


@cli.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def check(path: pathlib.Path) -> None:
    """Check a service configuration and print all findings."""
    check_command.main(path)


@cli.command()
@click.argument("flow")
@click.argument(
    "paths", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
def explain(flow: str, paths: tuple[pathlib.Path, ...]) -> None:
    """Show from the logs of all processes what they decided about a flow."""
    _report_errors(explain_command.main, flow, paths)


@cli.command()
@click.argument("address", type=ServiceAddressType())
@click.option("--zone", help=ZONE_HELP)
@click.option("--caller", type=ServiceAddressType(), help=CALLER_HELP)
@click.option(
    "--entry",
    type=AddressType(),
    required=True,
    envvar="CACTUSHALL_ENTRY",
    help=ENTRY_HELP,
)
@_output_option
def where(
    address: addresses.Address,
    zone: str | None,
    caller: addresses.Address | None,
    entry: addresses.Address,
    output_format: str,
) -> None:
    """Show where a new flow to ADDRESS (IP:PORT) would go now, and why."""
    zone_name = identifiers.ZoneName(zone) if zone is not None else None
    chosen = output.Format(output_format)
    _report_errors(where_command.main, entry, address, zone_name, caller, chosen)


@cli.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path))
@click.option("--store", type=AddressType(), required=True, help=STORE_HELP)
def apply(path: pathlib.Path, store: addresses.Address) -> None:
    """Write a service configuration to the key-value store."""
    _report_errors(apply_command.main, path, store)


@cli.command()
@click.argument("service")
@click.option("--store", type=AddressType(), required=True, help=STORE_HELP)
@_contact_options
def repair_epoch(
    service: str,
    store: addresses.Address,
    contact: addresses.Address,
    output_format: str,
    **files: pathlib.Path | None,
) -> None:
    """Remove lost members from a service's epoch of idempotency keys."""
    del output_format
    client = _make_client(**files)
    name = identifiers.ServiceName(service)
    _report_errors(repair_epoch_command.main, client, contact, store, name)


if __name__ == "__main__":
    cli()
