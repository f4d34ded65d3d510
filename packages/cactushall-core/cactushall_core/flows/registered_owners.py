"""Owners of flows that agents have registered with an entry."""

from __future__ import annotations

import collections.abc

from cactushall_core import addresses
from cactushall_core.flows import packets, registrations

MAX_FLOWS = 100_000
RETENTION_SECONDS = 2.5 * registrations.REPEAT_INTERVAL_SECONDS


class RegisteredOwners:
    """Addresses for messages of agents, by flow; the longest registered come first.

    They tell whom to ask, and prove nothing: a flow may have ended since.
    """

    def __init__(self) -> None:
        """Start without flows."""
        self._owners: dict[packets.FlowId, tuple[addresses.Address, float]] = {}

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._owners)

    def put(
        self,
        flow_ids: collections.abc.Iterable[packets.FlowId],
        owner: addresses.Address,
        now: float,
    ) -> None:
        """Store the owner of some flows."""
        for flow_id in flow_ids:
            self._owners.pop(flow_id, None)
            if len(self._owners) >= MAX_FLOWS:
                del self._owners[next(iter(self._owners))]
            self._owners[flow_id] = (owner, now)

    def find(self, flow_id: packets.FlowId) -> addresses.Address | None:
        """Return the address of a flow's owner, None where it is not known."""
        found = self._owners.get(flow_id)
        return found[0] if found is not None else None

    def remove(self, flow_id: packets.FlowId) -> None:
        """Forget a flow."""
        self._owners.pop(flow_id, None)

    def expire(self, now: float) -> None:
        """Forget flows that were not registered again in time."""
        expired = []
        for flow_id, (_, registered_at) in self._owners.items():
            if now - registered_at <= RETENTION_SECONDS:
                break
            expired.append(flow_id)
        for flow_id in expired:
            del self._owners[flow_id]
