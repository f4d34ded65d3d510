"""Settings schema of daemons whose transport forwards packets unchanged."""

from __future__ import annotations

from cactushall_core import addresses, keys
from cactushall_daemon.config import common, documents, options, transport

MAX_PORT = addresses.MAX_PORT
NO_ADDRESSES: tuple[addresses.Address, ...] = ()
MAX_HEDGING_PERCENT = 20
MAX_COLD_OVERAGE = 10.0
MAX_COLD_SLACK = 1000.0
MAX_TRAFFIC_LOG_SECONDS = 3600.0


def hexadecimal_key() -> options.Converter[keys.Key]:
    """Accept a key written as 64 hexadecimal digits."""
    read_text = options.text(max_length=2 * keys.KEY_BYTES)

    def convert(
        node: documents.Node, report: options.Report, key: str
    ) -> keys.Key | None:
        text = read_text(node, report, key)
        if text is None:
            return None
        try:
            return keys.make_key(bytes.fromhex(text))
        except ValueError as error:
            report.error(node.line, key, f"not a valid key: {error}")
            return None

    return convert


class PacketSettings(common.ProcessSettings):
    """Options that all daemons with this transport share."""

    transport = options.Option(options.text((transport.Transport.PACKETS.value,)))
    gossip_port = options.Option(options.integer(1, MAX_PORT))
    peer_port = options.Option(options.integer(1, MAX_PORT))
    packet_address = options.Option(options.address())
    readiness_address = options.Option(options.address())
    store = options.Option(options.address())
    metrics = options.Option[addresses.Address | None](options.address(), None)
    traffic_log_seconds = options.Option(
        options.seconds(0, MAX_TRAFFIC_LOG_SECONDS), 0.0
    )
    seeds = options.Option(options.list_of(options.address()), NO_ADDRESSES)
    keys = options.Option(
        options.list_of(hexadecimal_key(), minimum=1, maximum=keys.MAX_KEYS)
    )

    def validate(self, report: options.Report, lines: dict[str, int]) -> None:
        """Check that the ports differ and that key ids are unique."""
        if self.gossip_port == self.peer_port:
            report.error(
                lines["peer_port"], "peer_port", "must differ from gossip_port"
            )
        common.report_duplicate_key_ids(self.keys, report, lines["keys"], "keys")


class PacketEntrySettings(PacketSettings):
    """Settings of an entry."""

    grace_seconds = options.Option(options.seconds(0, 3600))
    hedging_percent = options.Option(options.integer(0, MAX_HEDGING_PERCENT), 0)


class PacketAgentSettings(PacketSettings):
    """Settings of an agent and of the backend server beside it."""

    service = options.Option(options.text(max_length=63))
    server = options.Option(options.address())
    from_server = options.Option(options.address())
    announcements = options.Option(options.address())
    heartbeat_milliseconds = options.Option(options.integer(1, 600_000))
    cold_overage = options.Option(options.factor(1, MAX_COLD_OVERAGE), 1.0)
    cold_slack = options.Option(options.count(0, MAX_COLD_SLACK, "requests"), 0.0)
