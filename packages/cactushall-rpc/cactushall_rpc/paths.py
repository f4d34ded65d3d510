"""Keys under which cactushall keeps values in the store."""

from __future__ import annotations

from cactushall_core import identifiers

CONFIGURATION = b"/cactushall/configuration"
CONTACTS = b"/cactushall/contacts/"


EPOCHS = b"/cactushall/epochs/"


def epoch(service: identifiers.ServiceName) -> bytes:
    """Return the key of a service's epoch."""
    return EPOCHS + service.encode()


def contact(zone: identifiers.ZoneName, slot: int) -> bytes:
    """Return the key of one contact point of an availability zone."""
    return CONTACTS + f"{zone}/{slot}".encode()
