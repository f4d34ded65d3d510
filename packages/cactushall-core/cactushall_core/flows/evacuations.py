"""Decides which availability zones are evacuated.

Reads of the store, its changes and the states that other members send are merged; the
state with the highest (era, revision) of each zone wins, so that neither a process that
was cut off nor an old copy of the store undoes a later change.
"""

from __future__ import annotations

import typing

import msgspec

from cactushall_core import identifiers
from cactushall_core.membership import zone_states

# After the store was restored from an older copy, operators write again what the copy
# lacked; until then an absent key does not end an evacuation.
RESTORE_WAIT_SECONDS = 30.0


class StoreRead(msgspec.Struct, frozen=True):
    """The evacuation keys that a read of the store has returned.

    Attributes:
        era: How often the store had been restored from a copy.
        revision: Store revision of the read.
        written: Revision of the last change of each zone's key.
    """

    era: int
    revision: int
    written: typing.Mapping[identifiers.ZoneName, int]


class Evacuations:
    """The state of each availability zone that was ever evacuated."""

    def __init__(self) -> None:
        """Start without any evacuation and without a read of the store."""
        self._states: dict[identifiers.ZoneName, zone_states.ZoneState] = {}
        self._read: StoreRead | None = None
        # When a member has told of a later era than that of the last read.
        self._later_era_at: float | None = None
        # When each evacuation of an earlier era was first missing in the store.
        self._absent_since: dict[identifiers.ZoneName, float] = {}

    @property
    def states(self) -> zone_states.ZoneStates:
        """The states of all zones, sorted by zone."""
        return tuple(self._states[zone] for zone in sorted(self._states))

    @property
    def evacuated(self) -> frozenset[identifiers.ZoneName]:
        """The evacuated zones."""
        return frozenset(s.zone for s in self._states.values() if s.is_evacuated)

    @property
    def next_read_at(self) -> float | None:
        """When the store has to be read again, None for never.

        That is at once where a member has told of a later era, since the store may hold
        a watch of the earlier one; and at the end of a waiting time.
        """
        due = [since + RESTORE_WAIT_SECONDS for since in self._absent_since.values()]
        if self._later_era_at is not None:
            due.append(self._later_era_at)
        return min(due, default=None)

    def merge(
        self, received: typing.Iterable[zone_states.ZoneState], now: float
    ) -> zone_states.ZoneStates:
        """Merge the states that another member sent.

        Returns:
            The states that have changed.
        """
        changed = self._apply_all(received)
        read = self._read
        if read is not None and any(state.era > read.era for state in changed):
            self._later_era_at = now
        return changed + self._withdraw_removed(now, is_fresh_read=False)

    def handle_read(self, read: StoreRead, now: float) -> zone_states.ZoneStates:
        """Apply a read of all evacuation keys.

        Returns:
            The states that have changed.
        """
        changed = self._apply_all(
            zone_states.ZoneState(zone, read.era, revision, True)
            for zone, revision in read.written.items()
        )
        self._later_era_at = None
        if self._read is not None and _is_older(read, self._read):
            return changed
        if self._read is not None and read.era > self._read.era:
            self._absent_since.clear()
        self._read = read
        return changed + self._withdraw_removed(now, is_fresh_read=True)

    def handle_change(
        self, state: zone_states.ZoneState, now: float
    ) -> zone_states.ZoneStates:
        """Apply a change of a zone's key that a watch has returned.

        Args:
            state: The state that the key was written or removed for.
            now: Current time in seconds.

        Returns:
            The states that have changed.
        """
        changed = self._apply_all((state,))
        read = self._read
        # Keys that one transaction has written share a revision.
        if read is None or state.era != read.era or state.revision < read.revision:
            return changed
        written = {z: r for z, r in read.written.items() if z != state.zone}
        if state.is_evacuated:
            written[state.zone] = state.revision
        self._read = StoreRead(read.era, state.revision, written)
        return changed + self._withdraw_removed(now, is_fresh_read=False)

    def _apply_all(
        self, received: typing.Iterable[zone_states.ZoneState]
    ) -> zone_states.ZoneStates:
        return tuple(state for state in received if self._apply(state))

    def _apply(self, state: zone_states.ZoneState) -> bool:
        """Store a state unless a later one is known, and return whether it is new."""
        known = self._states.get(state.zone)
        if known is not None and not state.supersedes(known):
            return False
        self._states[state.zone] = state
        return True

    def _withdraw_removed(
        self, now: float, *, is_fresh_read: bool
    ) -> zone_states.ZoneStates:
        """End the evacuations whose keys the store certainly does not hold any more.

        A state that is later than the read stays, as with any merge.

        Args:
            now: Current time in seconds.
            is_fresh_read: Whether the store has been read just now.
        """
        read = self._read
        if read is None:
            return ()
        ended = []
        for zone in self.evacuated:
            state = self._states[zone]
            if zone in read.written:
                self._absent_since.pop(zone, None)
                continue
            since = now
            if state.era < read.era:
                since = self._absent_since.setdefault(zone, now)
                if not is_fresh_read or now - since < RESTORE_WAIT_SECONDS:
                    continue
            self._absent_since.pop(zone, None)
            ended.append(zone_states.ZoneState(zone, read.era, read.revision, False))
        for zone in self._absent_since.keys() - self.evacuated:
            del self._absent_since[zone]
        return self._apply_all(ended)


def _is_older(read: StoreRead, latest: StoreRead) -> bool:
    return (read.era, read.revision) < (latest.era, latest.revision)
