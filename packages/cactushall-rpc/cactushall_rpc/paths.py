"""Keys under which cactushall keeps values in the store."""

from __future__ import annotations

from cactushall_core import identifiers

CONFIGURATION = b"/cactushall/configuration"
CONTACTS = b"/cactushall/contacts/"


def contact(zone: identifiers.ZoneName, slot: int) -> bytes:
    """Return the key of one contact point of an availability zone."""
    return CONTACTS + f"{zone}/{slot}".encode()
