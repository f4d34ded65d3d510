"""Keys of cactushall's values in the key-value store."""

from __future__ import annotations

from cactushall_core import identifiers

CONFIGURATION = b"/cactushall/configuration"
CONTACT_PREFIX = b"/cactushall/contacts/"


EPOCH_PREFIX = b"/cactushall/epochs/"


def epoch(service: identifiers.ServiceName) -> bytes:
    """Return the key of a service's epoch of idempotency keys."""
    return EPOCH_PREFIX + service.encode()


def contact(zone: identifiers.ZoneName, slot: int) -> bytes:
    """Return the key of one contact point of an availability zone.

    Args:
        zone: The availability zone.
        slot: Number of the contact point within the zone.
    """
    return CONTACT_PREFIX + f"{zone}/{slot}".encode()
