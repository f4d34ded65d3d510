"""Settings schema of daemons with the QUIC transport."""

from __future__ import annotations

import pathlib
import ssl

from cactushall_core import addresses, keys
from cactushall_daemon.config import base, common, documents, options, transport
from cactushall_rpc import control

MAX_PORT = addresses.MAX_PORT
NO_ADDRESSES: tuple[addresses.Address, ...] = ()
NO_TIMEOUT = 0.0


def key_file() -> options.Converter[keys.Key]:
    """Accept the path of a file that contains a key as 64 hexadecimal digits."""
    read_path = options.file()

    def convert(
        node: documents.Node, report: options.Report, key: str
    ) -> keys.Key | None:
        path: pathlib.Path | None = read_path(node, report, key)
        if path is None:
            return None
        try:
            return keys.make_key(bytes.fromhex(path.read_text().strip()))
        except ValueError as error:
            report.error(node.line, key, f"{path} contains no valid key: {error}")
            return None

    return convert


class NodeSettings(common.ProcessSettings):
    """Options that all daemons with this transport share."""

    transport = options.Option(
        options.text((transport.Transport.QUIC.value,)), transport.Transport.QUIC.value
    )
    gossip_port = options.Option(options.integer(1, MAX_PORT), 7946)
    control_port = options.Option(options.integer(1, MAX_PORT), 7947)
    store = options.Option(options.list_of(options.address()), NO_ADDRESSES)
    contacts = options.Option(options.list_of(options.address()), NO_ADDRESSES)
    key_files = options.Option(
        options.list_of(key_file(), minimum=1, maximum=keys.MAX_KEYS)
    )
    control_certificate = options.Option(options.file(), None)
    control_private_key = options.Option(options.file(), None)
    control_authority = options.Option(options.file(), None)

    def credentials(self) -> control.Credentials | None:
        """Return the files for mutual TLS, or None if it is not configured."""
        certificate = self.control_certificate
        private_key = self.control_private_key
        authority = self.control_authority
        if certificate is None or private_key is None or authority is None:
            return None
        return control.Credentials(certificate, private_key, authority)

    def validate(self, report: options.Report, lines: dict[str, int]) -> None:
        """Check ports, key ids, certificates and how other processes are found."""
        self._validate_credentials(report, lines)
        if self.gossip_port == self.control_port:
            line = lines.get("control_port", 0)
            report.error(line, "control_port", "must differ from gossip_port")
        line = lines["key_files"]
        common.report_duplicate_key_ids(self.key_files, report, line, "key_files")
        if not self.store and not self.contacts:
            message = "without store or contacts the process cannot find any others"
            report.warning(lines["node"], "store", message)

    def _validate_credentials(
        self, report: options.Report, lines: dict[str, int]
    ) -> None:
        names = ("control_certificate", "control_private_key", "control_authority")
        configured = [name for name in names if name in lines]
        if not configured:
            message = "not set; control calls are neither encrypted nor authenticated"
            report.warning(lines["node"], names[0], message)
        elif len(configured) < len(names):
            missing = ", ".join(sorted(set(names) - set(configured)))
            report.error(lines[configured[0]], configured[0], f"also needs {missing}")
        else:
            try:
                control.server_context(self.credentials())
            except OSError as error:
                report.error(
                    lines[configured[0]],
                    configured[0],
                    f"cannot set up mutual TLS: {error}",
                )


class EntrySettings(NodeSettings):
    """Settings of an entry."""


class EndpointSettings(base.Settings):
    """Settings of one backend server beside an agent."""

    service = options.Option(options.text(max_length=63))
    server = options.Option(options.address())
    slots = options.Option(options.integer(1, 1024), 1)
    connections = options.Option(options.integer(1, 1_000_000), 2000)


class AgentSettings(NodeSettings):
    """Settings of an agent."""

    tunnel_port = options.Option(options.integer(1, MAX_PORT), 7948)
    certificate = options.Option(options.file())
    private_key = options.Option(options.file())
    endpoints = options.Option(
        options.list_of(base.section(EndpointSettings), minimum=1, maximum=64)
    )
    drain_timeout_seconds = options.Option(options.seconds(0, 86_400), NO_TIMEOUT)

    def validate(self, report: options.Report, lines: dict[str, int]) -> None:
        """Check that services are unique, the certificate is valid and ports differ."""
        super().validate(report, lines)
        seen: set[str] = set()
        for index, endpoint in enumerate(self.endpoints):
            if endpoint.service in seen:
                key = f"endpoints.{index}.service"
                message = f"{endpoint.service} is used by more than one endpoint"
                report.error(lines["endpoints"], key, message)
            seen.add(endpoint.service)
        try:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(self.certificate, self.private_key)
        except (ssl.SSLError, OSError) as error:
            message = f"cannot load the certificate with its private key: {error}"
            report.error(lines["certificate"], "certificate", message)
        if self.tunnel_port == self.gossip_port:
            line = lines.get("tunnel_port", 0)
            report.error(line, "tunnel_port", "must differ from gossip_port")
