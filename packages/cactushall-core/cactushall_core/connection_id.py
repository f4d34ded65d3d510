"""Connection ids that carry the home id of their flow.

Layout, 20 bytes (the most that RFC 9000 section 17.2 allows)::

    byte 0       version (high 4 bits), key id (low 4 bits)
    bytes 1-4    home id, big endian
    bytes 5-11   nonce
    bytes 12-19  authentication tag over bytes 0-11, bound to the service
"""

from __future__ import annotations

import dataclasses

from cactushall_core import identifiers, keys

LENGTH_BYTES = 20
VERSION = 1
NONCE_BYTES = 7
RESET_TOKEN_BYTES = 16

_HOME_SLICE = slice(1, 5)
_TAG_BYTES = 8
_AUTHENTICATED_BYTES = LENGTH_BYTES - _TAG_BYTES


@dataclasses.dataclass(frozen=True)
class ServiceKeys:
    """Authenticators of one service.

    Attributes:
        connection_id: Signs and verifies connection ids.
        stateless_reset: Computes stateless reset tokens.
    """

    connection_id: keys.Authenticator
    stateless_reset: keys.Authenticator


def make_service_keys(
    key_ring: tuple[keys.Key, ...], service: identifiers.ServiceName
) -> ServiceKeys:
    """Derive the keys of one service.

    Args:
        key_ring: The valid keys, the signing key first.
        service: The service.
    """
    context = service.encode()
    return ServiceKeys(
        keys.Authenticator(key_ring, keys.Purpose.CONNECTION_ID, context, _TAG_BYTES),
        keys.Authenticator(
            key_ring, keys.Purpose.STATELESS_RESET, context, RESET_TOKEN_BYTES
        ),
    )


def encode(service_keys: ServiceKeys, home: identifiers.HomeId, nonce: bytes) -> bytes:
    """Return a connection id for a flow.

    Args:
        service_keys: Keys of the flow's service.
        home: The endpoint that owns the flow.
        nonce: 7 bytes that make the id unique.
    """
    authenticator = service_keys.connection_id
    head = bytes([VERSION << 4 | authenticator.signing_key_id])
    head += home.to_bytes(identifiers.HOME_ID_BYTES, "big") + nonce
    return head + authenticator.sign(head)


def decode(service_keys: ServiceKeys, cid: bytes) -> identifiers.HomeId | None:
    """Return the home id in a connection id.

    Args:
        service_keys: Keys of the service whose address the packet was sent to.
        cid: The destination connection id.

    Returns:
        The home id, or None where the connection id was not issued for this service.
    """
    if len(cid) != LENGTH_BYTES or cid[0] >> 4 != VERSION:
        return None
    head = cid[:_AUTHENTICATED_BYTES]
    if not service_keys.connection_id.verify(
        cid[0] & 0x0F, head, cid[_AUTHENTICATED_BYTES:]
    ):
        return None
    return identifiers.HomeId(int.from_bytes(cid[_HOME_SLICE], "big"))


def reset_token(service_keys: ServiceKeys, cid: bytes) -> bytes:
    """Return the stateless reset token of a connection id.

    The token is computed with the key that the connection id names, so that key
    rotation does not change it.

    Source: RFC 9000 section 10.3.2.
    """
    return service_keys.stateless_reset.sign_with(cid[0] & 0x0F, cid)
