"""Builders of packets, agents, messages and routes for tests."""

from __future__ import annotations

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import messages, packets, routes, servers
from cactushall_core.membership import completeness, records

ZONE = identifiers.ZoneName("a")
SERVICE = identifiers.ServiceName("board")
OTHER_SERVICE = identifiers.ServiceName("plans")
FLOW = packets.FlowId(0x64400001, 40_001, 0xC6120001, 8443)
NEW_ROUTE_FLOW = FLOW._replace(service_port=8444)
DROPPED_ROUTE_FLOW = FLOW._replace(service_port=8445)
NO_ROUTE_FLOW = FLOW._replace(service_port=8446)
OTHER_FLOW = FLOW._replace(caller_port=40_002)
SERVER = addresses.Address("10.0.1.1", 8165)
HEARTBEAT_SECONDS = 1.2
CALLER_START = 1000
SERVER_START = 70_000
ENTRY = addresses.Address("10.0.0.1", 7735)
COMPLETE = completeness.Evidence(completeness.Basis.COMPLETE_MEMBER, ENTRY, 1, 0.1, 0.0)
IDLE_LOAD = messages.Load(0, 0, 1, 0.0)


def packet(
    flags=packets.Flags.ACK,
    sequence=CALLER_START,
    acknowledgement=SERVER_START,
    length=0,
    flow=FLOW,
):
    return packets.Packet(
        flow, int(flags), sequence, acknowledgement, length, f"{flags!r}".encode()
    )


class Datagram:
    """Stands for the bytes of a packet, and refers to the packet."""

    packet: packets.Packet


def with_linked_datagram(original):
    """Return a copy of a packet whose datagram refers to that copy."""
    datagram = Datagram()
    datagram.packet = original._replace(datagram=datagram)
    return datagram.packet


def opening_packet(copy=0, flow=FLOW, sequence=CALLER_START):
    return packet(packets.Flags.SYN, sequence, copy, flow=flow)


def opening_answer(flow=FLOW, sequence=SERVER_START):
    return packet(packets.Flags.SYN | packets.Flags.ACK, sequence, 0, flow=flow)


def bounced_packet(original):
    return original._replace(flags=original.flags | packets.Flags.BOUNCED)


def service_address(flow):
    """Return the address that the caller of a flow sends to."""
    return routes.ServiceAddress(flow.service_host, flow.service_port)


def older_route_table():
    """Return revision 1, with a route that the newer one drops."""
    return route_table(revision=1, flows=(FLOW, DROPPED_ROUTE_FLOW))


def newer_route_table():
    """Return revision 2, with a route that the older one lacks."""
    return route_table(revision=2, flows=(FLOW, NEW_ROUTE_FLOW))


def route_table(
    *services,
    revision=1,
    idle=15.0,
    objective=0.0,
    flows=(FLOW,),
    repeatability=routes.Repeatability.ONCE,
    timeout=0.0,
):
    """Return a table with the routes of some flows, shared evenly by services."""
    shares = tuple(routes.Share(service, 1.0) for service in services or (SERVICE,))
    made = [
        routes.Route("board", address, shares, repeatability, timeout, objective)
        for address in map(service_address, flows)
    ]
    return routes.RouteTable(
        identifiers.Revision(revision),
        {route.address: route for route in made},
        dict.fromkeys(services or (SERVICE,), "/health"),
        idle,
    )


def agent_record(
    number,
    status=records.Status.ALIVE,
    service=SERVICE,
    incarnation=1,
    is_draining=False,
    start=1,
    zone=ZONE,
    has_server=True,
):
    """Return the record of the agent on a numbered VM."""
    endpoint = records.Endpoint(service, identifiers.HomeId(0), 2000, is_draining)
    usual = _member(records.Role.AGENT, f"10.0.1.{number}", number, start)
    endpoints = (endpoint,) if has_server else ()
    member = msgspec.structs.replace(usual, zone=zone, endpoints=endpoints)
    return records.Record(member, incarnation, status)


def entry_record(number, status=records.Status.ALIVE, start=1):
    """Return the record of the entry on a numbered VM."""
    member = _member(records.Role.ENTRY, f"10.0.0.{number}", number, start)
    return records.Record(member, 1, status)


def _member(role, host, number, start):
    return records.Member(
        id=identifiers.MemberId(start << 32 | number),
        name=identifiers.NodeName(f"{role.name.lower()}-{number}"),
        role=role,
        zone=ZONE,
        host=host,
        gossip_port=7720,
        control_port=7735,
        tunnel_port=8172,
        endpoints=(),
    )


def make_server(heartbeat_seconds=HEARTBEAT_SECONDS):
    """Return the view of a backend server that has not announced itself yet."""
    return servers.Server(SERVICE, SERVER, heartbeat_seconds)


def announcement(
    number=1,
    server_id="s1",
    started=100,
    is_draining=False,
    service=SERVICE,
    address=SERVER,
    age_seconds=0.0,
):
    return servers.Announcement(
        server_id,
        started,
        number,
        service,
        address,
        1,
        is_draining,
        age_seconds=age_seconds,
    )


def see_start(flows, now, said=None):
    """Let an agent see that no server runs, and then that one has started."""
    flows.handle_server_refused(now)
    flows.handle_announcement(said or announcement(), now)
    flows.handle_server_accepted()


def priority_table(*priorities, service=SERVICE, objective=0.0):
    """Return a table with a route of each priority to one service."""
    flows = [FLOW._replace(service_port=8443 + i) for i in range(len(priorities))]
    table = route_table(service, objective=objective, flows=flows)
    numbered = zip(table.routes.values(), priorities, strict=True)
    made = [msgspec.structs.replace(route, priority=p) for route, p in numbered]
    return msgspec.structs.replace(table, routes={r.address: r for r in made})
