"""The entry process of the QUIC transport."""

from __future__ import annotations

from cactushall_core import configuration
from cactushall_core.membership import records
from cactushall_daemon import control, node
from cactushall_daemon.config import schema
from cactushall_daemon.entry import receiver


class EntryProcess:
    """An entry: a member of the fleet that receives callers' datagrams."""

    def __init__(self, settings: schema.EntrySettings) -> None:
        """Create the entry; only its socket to agents is bound."""
        member = node.make_member(settings, records.Role.ENTRY, 0, lambda _: ())
        self._node = node.Node(
            settings,
            member,
            on_member_changed=self._on_member_changed,
            on_configuration=self._on_configuration,
            agent_handlers=control.AgentHandlers(),
        )
        key_ring = tuple(settings.key_files)
        self._receiver = receiver.Receiver(
            key_ring, self._node.counters, settings.address
        )

    async def start(self) -> None:
        """Join the fleet; service addresses follow with a configuration.

        Raises:
            BindError: An address cannot be bound.
        """
        await self._node.start()

    def reload(self, settings: schema.EntrySettings) -> None:
        """Apply the contact points of changed settings."""
        self._node.reload(settings)

    async def stop(self) -> None:
        """Close the service addresses and leave the fleet."""
        self._receiver.close()
        await self._node.stop()

    def _on_member_changed(self, record: records.Record) -> None:
        self._receiver.apply_member(record)

    def _on_configuration(self, adopted: configuration.Configuration) -> None:
        table = list(self._node.gossip.membership.table)
        self._receiver.apply_configuration(adopted, table)
