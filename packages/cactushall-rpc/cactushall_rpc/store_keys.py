"""Keys of cactushall's values in the key-value store."""

from __future__ import annotations

from cactushall_core import identifiers

CONFIGURATION = b"/cactushall/configuration"
# Contact points, and the latest holder of each of their slots.
CONTACTS = b"/cactushall/contacts"
CONTACT_PREFIX = CONTACTS + b"/"
LATEST_HOLDER_PREFIX = CONTACTS + b"-latest/"
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


def latest_holder(contact_key: bytes) -> bytes:
    """Return the key of the address that held a contact point last.

    It has no lease, and so stays when the leases of all contact points have ended.
    """
    return LATEST_HOLDER_PREFIX + contact_key.removeprefix(CONTACT_PREFIX)
