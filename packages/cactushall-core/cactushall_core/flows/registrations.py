"""Decides when an agent registers its backend server's flows with entries.

Flows outlast the entry that opened them. Most flows of a single request have ended
before it is worth telling anybody.
"""

from __future__ import annotations

import collections
import collections.abc

import msgspec

from cactushall_core import addresses
from cactushall_core.flows import (
    actions,
    known_entries,
    messages,
    packets,
    registrars,
)

MIN_AGE_SECONDS = 0.3
REPEAT_INTERVAL_SECONDS = 30.0
MAX_FLOWS_PER_MESSAGE = 50

DueFlows = collections.defaultdict[addresses.Address, list[packets.FlowId]]


class Registration(msgspec.Struct):
    """A flow that is registered.

    Attributes:
        registrars: Entries that were told.
        repeat_at: When they are told again, because a message may have been lost.
    """

    registrars: tuple[registrars.Registrar, ...]
    repeat_at: float


class Registrations:
    """Flows of one agent, and the entries with which they are registered."""

    def __init__(self, entries: known_entries.KnownEntries) -> None:
        """Start without flows.

        Args:
            entries: The entries that the agent knows.
        """
        self._entries = entries
        self._entries_version = entries.version
        self._established_at: dict[packets.FlowId, float] = {}
        self._registered: dict[packets.FlowId, Registration] = {}

    def add(self, flow_id: packets.FlowId, now: float) -> None:
        """Add a flow that the backend server has begun to hold."""
        self._established_at[flow_id] = now

    def add_known(self, flow_id: packets.FlowId) -> None:
        """Add a flow that has been open for a while."""
        self._established_at[flow_id] = float("-inf")

    def remove(self, flow_id: packets.FlowId) -> None:
        """Remove a flow that is closing, or that is not held any more."""
        self._established_at.pop(flow_id, None)
        self._registered.pop(flow_id, None)

    def tick(self, now: float) -> list[actions.Action]:
        """Register flows that are old enough, and others again where it is needed."""
        due: DueFlows = collections.defaultdict(list)
        for flow_id in self._take_established(now):
            self._register(flow_id, due, now)
        if self._entries_version != self._entries.version:
            self._entries_version = self._entries.version
            for flow_id, registration in self._registered.items():
                self._follow_entries(flow_id, registration, due)
        for flow_id in self._due_for_repetition(now):
            self._register(flow_id, due, now)
        return [
            actions.SendMessage(address, messages.RegisterFlows(flows))
            for address, flow_ids in due.items()
            for flows in _split(flow_ids)
        ]

    def _take_established(self, now: float) -> list[packets.FlowId]:
        taken = []
        for flow_id, established_at in self._established_at.items():
            if now - established_at < MIN_AGE_SECONDS:
                break
            taken.append(flow_id)
        for flow_id in taken:
            del self._established_at[flow_id]
        return taken

    def _due_for_repetition(self, now: float) -> list[packets.FlowId]:
        """Return flows to register again; the longest registered ones come first."""
        due = []
        for flow_id, registration in self._registered.items():
            if now < registration.repeat_at:
                break
            due.append(flow_id)
        return due

    def _register(self, flow_id: packets.FlowId, due: DueFlows, now: float) -> None:
        """Register a flow with all its registrars, for the first time or again."""
        self._registered.pop(flow_id, None)
        found = self._entries.registrars_of(flow_id)
        repeat_at = now + REPEAT_INTERVAL_SECONDS
        self._registered[flow_id] = Registration(found, repeat_at)
        for registrar in found:
            due[registrar.address].append(flow_id)

    def _follow_entries(
        self, flow_id: packets.FlowId, registration: Registration, due: DueFlows
    ) -> None:
        """Register a flow with those of its registrars that have appeared."""
        found = self._entries.registrars_of(flow_id)
        for registrar in found:
            if registrar not in registration.registrars:
                due[registrar.address].append(flow_id)
        registration.registrars = found


def _split(
    flow_ids: list[packets.FlowId],
) -> collections.abc.Iterator[tuple[packets.FlowId, ...]]:
    for start in range(0, len(flow_ids), MAX_FLOWS_PER_MESSAGE):
        yield tuple(flow_ids[start : start + MAX_FLOWS_PER_MESSAGE])
