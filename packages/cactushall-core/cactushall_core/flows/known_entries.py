"""The entries that are believed to run."""

from __future__ import annotations

from cactushall_core import addresses
from cactushall_core.flows import packets, registrars
from cactushall_core.membership import records


class KnownEntries:
    """Entries that are believed to run, by control address."""

    def __init__(self) -> None:
        """Start without entries."""
        self._members: dict[addresses.Address, records.Member] = {}
        self._ring = registrars.RegistrarRing()
        self._version = 0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._members)

    @property
    def version(self) -> int:
        """How often an entry has started or is gone."""
        return self._version

    @property
    def control_addresses(self) -> list[addresses.Address]:
        """Addresses at which they receive messages."""
        return list(self._members)

    @property
    def gossip_addresses(self) -> list[addresses.Address]:
        """Addresses at which they receive gossip."""
        return [member.gossip_address for member in self._members.values()]

    def registrars_of(
        self, flow_id: packets.FlowId
    ) -> tuple[registrars.Registrar, ...]:
        """Return the entries with which the owner of a flow registers it."""
        return self._ring.find(flow_id)

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
            self._add(member, known)
        elif known is not None and known.id == member.id:
            del self._members[member.control_address]
            self._ring.remove(member.control_address)
            self._version += 1

    def _add(self, member: records.Member, known: records.Member | None) -> None:
        self._members[member.control_address] = member
        if known is None or known.id != member.id:
            self._ring.add(registrars.Registrar(member.control_address, member.id))
            self._version += 1
