"""Builders of values that many tests use."""

from __future__ import annotations

from cactushall_core import addresses, identifiers, keys
from cactushall_core.membership import records

RING = (keys.make_key(bytes(range(32))),)
OTHER_RING = (keys.make_key(bytes(range(2, 34))),)
CALLER = addresses.Address("192.0.2.7", 5000)
SWAP_DESK = identifiers.ServiceName("swap-desk")
CATALOGUE = identifiers.ServiceName("catalogue")


def make_agent(
    number: int,
    service: identifiers.ServiceName = SWAP_DESK,
    *,
    status: records.Status = records.Status.ALIVE,
    incarnation: int = 0,
    is_draining: bool = False,
) -> records.Record:
    """Return the record of an agent with one endpoint."""
    member_id = identifiers.MemberId(number + 1)
    home = identifiers.derive_home_id(member_id, service)
    endpoint = records.Endpoint(service, home, 2000, is_draining)
    member = records.Member(
        member_id,
        identifiers.NodeName(f"agent-{number}"),
        records.Role.AGENT,
        identifiers.ZoneName(f"zone-{number % 3}"),
        f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
        7946,
        7947,
        7948,
        (endpoint,),
    )
    return records.Record(member, incarnation, status)


def home_of(record: records.Record) -> identifiers.HomeId:
    """Return the home id of a record's only endpoint."""
    return record.member.endpoints[0].home
