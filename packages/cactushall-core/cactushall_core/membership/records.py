"""Records of members, and updates to them."""

from __future__ import annotations

import enum

import msgspec

from cactushall_core import addresses, identifiers


class Role(enum.Enum):
    """Role of a member."""

    ENTRY = "e"
    AGENT = "a"


class Status(enum.IntEnum):
    """Believed status of a member; for equal incarnations the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """One backend server as part of a service.

    Attributes:
        service: The service.
        home: Id of the endpoint, carried by its flows.
        connection_limit: Maximum number of open flows.
        is_draining: Whether the endpoint accepts no new flows.
    """

    service: identifiers.ServiceName
    home: identifiers.HomeId
    connection_limit: int
    is_draining: bool = False


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Description of a member, issued by itself.

    Attributes:
        id: Start time in milliseconds in the high bits, random low bits; above the id
            of a predecessor at its address, where clocks differ.
        name: Name of the node, from its settings.
        role: Role of the member.
        zone: Availability zone.
        host: IP address of the VM.
        gossip_port: UDP port of the membership protocol.
        control_port: TCP port of the control service.
        tunnel_port: UDP port for callers' packets; 0 if the member has none.
        endpoints: The backend servers that an agent serves.
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
        """Address at which the member receives gossip."""
        return addresses.Address(self.host, self.gossip_port)

    @property
    def control_address(self) -> addresses.Address:
        """Address of the member's control service."""
        return addresses.Address(self.host, self.control_port)

    @property
    def tunnel_address(self) -> addresses.Address:
        """Address at which an agent receives callers' packets."""
        return addresses.Address(self.host, self.tunnel_port)


class Record(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A member's description together with its believed status.

    Attributes:
        member: The description.
        incarnation: Version of the description; only the member itself increases it.
        status: The believed status.
    """

    member: Member
    incarnation: int
    status: Status

    @property
    def is_present(self) -> bool:
        """Whether the member is believed to be running."""
        return self.status <= Status.SUSPECT


class StatusUpdate(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A change of the status of a member whose description is already known."""

    id: identifiers.MemberId
    incarnation: int
    status: Status


Update = Record | StatusUpdate


def supersedes(
    incarnation: int, status: Status, old_incarnation: int, old_status: Status
) -> bool:
    """Return whether one incarnation and status of a member replace older ones."""
    return (incarnation, status) > (old_incarnation, old_status)


_START_TIME_SHIFT = 21


def make_member_id(now: float, random_bits: int) -> identifiers.MemberId:
    """Return the id of a member that starts now.

    Of two members at the same address, the one with the higher id counts as the later
    start.

    Args:
        now: Seconds since the Unix epoch.
        random_bits: At least 21 random bits.
    """
    return identifiers.MemberId(
        int(now * 1000) << _START_TIME_SHIFT | _low_bits(random_bits)
    )


def make_higher_id(
    member: identifiers.MemberId, random_bits: int
) -> identifiers.MemberId:
    """Return an id above that of another member.

    Args:
        member: Id of the other member.
        random_bits: At least 21 random bits.
    """
    return identifiers.MemberId(member + 1 + _low_bits(random_bits))


def _low_bits(random_bits: int) -> int:
    return random_bits & (1 << _START_TIME_SHIFT) - 1
