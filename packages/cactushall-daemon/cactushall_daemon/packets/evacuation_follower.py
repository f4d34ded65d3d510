"""Follows the evacuations of availability zones in the store and in gossip."""

from __future__ import annotations

import collections.abc

from cactushall_core import exceptions, identifiers, store
from cactushall_core.flows import evacuations
from cactushall_core.membership import zone_states
from cactushall_daemon import events, logs, unreadable_entries
from cactushall_platform import operator_keys

log = logs.get_logger(__name__)

STORE = "store"

Zones = frozenset[identifiers.ZoneName]
Clock = collections.abc.Callable[[], float]
KnownZones = collections.abc.Callable[[], Zones | None]
StatesCallback = collections.abc.Callable[[zone_states.ZoneStates], None]
ZonesCallback = collections.abc.Callable[[Zones], None]


def ignore_zones(_zones: Zones) -> None:
    """Do nothing: the process handles no flows."""


class EvacuationFollower:
    """Applies what the store and other members tell about evacuations."""

    def __init__(
        self,
        clock: Clock,
        spread: StatesCallback,
        on_evacuated: ZonesCallback,
        known_zones: KnownZones,
        on_unreadable: unreadable_entries.Reporter,
    ) -> None:
        """Start without evacuations.

        Args:
            clock: Returns the current time in seconds.
            spread: Called with all states when one has changed.
            on_evacuated: Called with the evacuated zones when they have changed.
            known_zones: Returns the zones of all members, None where some members may
                not be known.
            on_unreadable: Called with each key that names no zone, and the reason.
        """
        self._clock = clock
        self._spread = spread
        self._on_evacuated = on_evacuated
        self._known_zones = known_zones
        self._on_unreadable = on_unreadable
        self._evacuations = evacuations.Evacuations()
        # The era of the read after which the store is watched.
        self._watched_era = 0
        # Revisions of the entries, and zones, that were reported already.
        self._reported: dict[bytes, int] = {}
        self._reported_zones: set[identifiers.ZoneName] = set()

    @property
    def states(self) -> zone_states.ZoneStates:
        """The states of all zones that were ever evacuated."""
        return self._evacuations.states

    @property
    def evacuated(self) -> Zones:
        """The evacuated zones."""
        return self._evacuations.evacuated

    @property
    def next_read_at(self) -> float | None:
        """When the store has to be read again, None for never."""
        return self._evacuations.next_read_at

    def handle_snapshot(self, snapshot: store.Snapshot) -> None:
        """Apply a read of the operators' keys."""
        written = {}
        found: list[store.Entry | store.UnreadableEntry]
        found = [*snapshot.entries, *snapshot.unreadable]
        for entry in found:
            zone = self._decode(entry)
            if zone is not None:
                written[zone] = entry.mod_revision
        self._watched_era = snapshot.era
        read = evacuations.StoreRead(snapshot.era, snapshot.revision, written)
        before = self.evacuated
        changed = self._evacuations.handle_read(read, self._clock())
        self._apply(changed, before, STORE)

    def handle_change(self, change: store.Change) -> None:
        """Apply a change of one of the operators' keys."""
        zone = self._decode(change)
        if zone is None:
            return
        is_evacuated = not isinstance(change, store.Removal)
        state = zone_states.ZoneState(
            zone, self._watched_era, change.mod_revision, is_evacuated
        )
        before = self.evacuated
        changed = self._evacuations.handle_change(state, self._clock())
        self._apply(changed, before, STORE)

    def merge(self, states: zone_states.ZoneStates, source: str) -> None:
        """Apply the states that another member has sent."""
        before = self.evacuated
        changed = self._evacuations.merge(states, self._clock())
        self._apply(changed, before, source)

    def check_zones(self) -> None:
        """Report each evacuated zone in which no member runs, once."""
        known = self._known_zones()
        if known is None:
            return
        self._reported_zones &= self.evacuated
        for zone in self.evacuated - known - self._reported_zones:
            self._reported_zones.add(zone)
            key = operator_keys.EVACUATION_PREFIX.decode() + zone
            log.warning(
                events.Event.EVACUATION_KEY_SUSPECT,
                key=key,
                why="no member of this zone is known",
            )

    def _decode(self, change: store.Change) -> identifiers.ZoneName | None:
        """Return the zone that a changed key evacuates, None for another key.

        The key alone evacuates its zone: the operator has asked for it, whatever the
        value.
        """
        try:
            zone = operator_keys.decode_evacuated_zone(change.key)
        except exceptions.DecodeError as error:
            if self._is_unreported(change):
                self._on_unreadable(change.key.decode(errors="replace"), str(error))
            return None
        if zone is not None and isinstance(change, store.Entry):
            self._check_value(change)
        return zone

    def _check_value(self, entry: store.Entry) -> None:
        try:
            operator_keys.check_evacuation_value(entry.value)
        except exceptions.DecodeError as error:
            if self._is_unreported(entry):
                log.warning(
                    events.Event.EVACUATION_KEY_SUSPECT,
                    key=entry.key.decode(errors="replace"),
                    why=f"the value is not a JSON object, but the key counts: {error}",
                )

    def _is_unreported(self, change: store.Change) -> bool:
        """Return whether a key has not been reported at this revision."""
        is_new = self._reported.get(change.key) != change.mod_revision
        self._reported[change.key] = change.mod_revision
        return is_new

    def _apply(
        self, changed: zone_states.ZoneStates, before: Zones, source: str
    ) -> None:
        if not changed:
            return
        for state in changed:
            if state.is_evacuated != (state.zone in before):
                _log_change(state, source)
        self._spread(self.states)
        if self.evacuated != before:
            self._on_evacuated(self.evacuated)
        self.check_zones()


def _log_change(state: zone_states.ZoneState, source: str) -> None:
    event = events.Event.ZONE_RETURNED
    if state.is_evacuated:
        event = events.Event.ZONE_EVACUATED
    log.info(
        event,
        zone=state.zone,
        era=state.era,
        revision=state.revision,
        source=source,
    )
