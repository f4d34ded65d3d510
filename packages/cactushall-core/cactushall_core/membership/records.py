"""Records about members."""

from __future__ import annotations

import enum

import msgspec

from cactushall_core import addresses, identifiers


class Role(enum.Enum):
    """What a member does."""

    ENTRY = "e"
    AGENT = "a"


class Status(enum.IntEnum):
    """What is believed of a member; with equal incarnations the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """One backend server's place in a service.

    Attributes:
        service: The service.
        home: Id that the endpoint's flows carry.
        connection_limit: Most flows that the endpoint holds.
        is_draining: Whether it takes no new flows.
    """

    service: identifiers.ServiceName
    home: identifiers.HomeId
    connection_limit: int
    is_draining: bool = False


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What a member says of itself.

    Attributes:
        id: Start time in milliseconds in the high bits, random low bits.
        name: The node's name from its settings.
        role: What the member does.
        zone: Availability zone.
        host: The VM's IP address.
        gossip_port: UDP port of the membership protocol.
        control_port: TCP port of the control service.
        tunnel_port: UDP port for callers' packets, 0 where there is none.
        endpoints: The backend servers that an agent stands beside.
    """

    id: identifiers.MemberId
    name: identifiers.NodeName
    role: Role
    zone: identifiers.ZoneName
    host: str
    gossip_port: int
    control_port: int
    tunnel_port: int = 0
    endpoints: tuple[Endpoint, ...] = ()

    @property
    def gossip_address(self) -> addresses.Address:
        """Where the member receives gossip."""
        return addresses.Address(self.host, self.gossip_port)

    @property
    def control_address(self) -> addresses.Address:
        """Where the member's control service listens."""
        return addresses.Address(self.host, self.control_port)

    @property
    def tunnel_address(self) -> addresses.Address:
        """Where an agent receives callers' packets."""
        return addresses.Address(self.host, self.tunnel_port)


class Record(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A member's own words with what is believed of it."""

    member: Member
    incarnation: int
    status: Status

    @property
    def is_present(self) -> bool:
        """Whether the member is believed to be running."""
        return self.status <= Status.SUSPECT


class Verdict(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A change of what is believed of a member that others know already."""

    id: identifiers.MemberId
    incarnation: int
    status: Status


Delta = Record | Verdict


def supersedes(
    incarnation: int, status: Status, old_incarnation: int, old_status: Status
) -> bool:
    """Tell whether one belief about a member replaces another."""
    return (incarnation, status) > (old_incarnation, old_status)


_STARTED_SHIFT = 21


def make_member_id(now: float, random_bits: int) -> identifiers.MemberId:
    """Return the id of a member that starts now.

    A later start at the same address gives a higher id.

    Args:
        now: Seconds since the epoch.
        random_bits: At least 21 random bits.
    """
    low = random_bits & (1 << _STARTED_SHIFT) - 1
    return identifiers.MemberId(int(now * 1000) << _STARTED_SHIFT | low)
