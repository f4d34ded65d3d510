"""The entries that an agent sends reports and changes to."""

from __future__ import annotations

from cactushall_core import addresses
from cactushall_core.membership import records


class KnownEntries:
    """Entries that are believed to run, by control address."""

    def __init__(self) -> None:
        """Start without entries."""
        self._members: dict[addresses.Address, records.Member] = {}

    @property
    def control_addresses(self) -> list[addresses.Address]:
        """Addresses at which they receive messages."""
        return list(self._members)

    @property
    def gossip_addresses(self) -> list[addresses.Address]:
        """Addresses at which they receive gossip."""
        return [member.gossip_address for member in self._members.values()]

    def update(self, record: records.Record) -> None:
        """Apply a membership update.

        Updates about agents, and about a predecessor of the entry that now runs at the
        same address, are ignored.
        """
        member = record.member
        if member.role is not records.Role.ENTRY:
            return
        known = self._members.get(member.control_address)
        if known is not None and known.id > member.id:
            return
        if record.is_present:
            self._members[member.control_address] = member
        elif known is not None and known.id == member.id:
            del self._members[member.control_address]
