"""State of all evacuations in JSON, for operators."""

from __future__ import annotations

import collections.abc

import msgspec

from cactushall_core import identifiers
from cactushall_core.membership import zone_states

FlowCount = collections.abc.Callable[[identifiers.ZoneName], int | None]


class ZoneStatus(msgspec.Struct, frozen=True):
    """State of one availability zone.

    Attributes:
        zone: The availability zone.
        is_evacuated: Whether it gets no new flows.
        era: How often the store had been restored from a copy at the last change.
        revision: Store revision of the last change.
        open_flows: Flows that are still open in the zone as far as the process that
            answers knows, None where it does not know.
    """

    zone: identifiers.ZoneName
    is_evacuated: bool
    era: int
    revision: int
    open_flows: int | None


class EvacuationStatus(msgspec.Struct, frozen=True):
    """States of all zones that were ever evacuated."""

    zones: tuple[ZoneStatus, ...]


def count_no_flows(_zone: identifiers.ZoneName) -> None:
    """Return None: the process does not know how many flows a zone has."""


def render(states: zone_states.ZoneStates, count_flows: FlowCount) -> bytes:
    """Return the states of zones in JSON.

    Args:
        states: The states.
        count_flows: Returns how many flows are open in a zone, None if unknown.
    """
    zones = tuple(
        ZoneStatus(s.zone, s.is_evacuated, s.era, s.revision, count_flows(s.zone))
        for s in states
    )
    return msgspec.json.encode(EvacuationStatus(zones))
