"""Identifier types.

A home is the endpoint that owns a flow: one agent's part in one service.
"""

from __future__ import annotations

import hashlib
import typing

ServiceName = typing.NewType("ServiceName", str)
ZoneName = typing.NewType("ZoneName", str)
NodeName = typing.NewType("NodeName", str)
MemberId = typing.NewType("MemberId", int)
HomeId = typing.NewType("HomeId", int)
Revision = typing.NewType("Revision", int)

HOME_ID_BYTES = 4
MEMBER_ID_BITS = 63


def derive_home_id(member: MemberId, service: ServiceName) -> HomeId:
    """Return the home id of a member's endpoint of one service.

    Args:
        member: The agent that owns the endpoint.
        service: The service that the endpoint belongs to.

    Returns:
        An id of 32 bits, very likely unique within the service.
    """
    seed = f"{member}/{service}".encode()
    digest = hashlib.blake2s(seed, digest_size=HOME_ID_BYTES).digest()
    return HomeId(int.from_bytes(digest, "big"))
