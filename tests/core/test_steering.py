"""Tests of steering callers' datagrams."""

from __future__ import annotations

import os

import hypothesis
from hypothesis import strategies

from cactushall_core import (
    configuration,
    connection_id,
    identifiers,
    quic_header,
    steering,
    zones,
)
from cactushall_core.membership import records
from tests.core import builders

DESK_AGENTS = [builders.make_agent(n) for n in range(7)]
CATALOGUE_AGENTS = [builders.make_agent(n, builders.CATALOGUE) for n in range(100, 103)]
DESK_KEYS = connection_id.make_service_keys(builders.RING, builders.SWAP_DESK)
NOW = 100.0
HOST = "192.0.2.7"
NONCE = b"nonce-7"
VERSION_1 = b"\x00\x00\x00\x01"


def make_steering(agents=(*DESK_AGENTS, *CATALOGUE_AGENTS)):
    entry = steering.Steering(builders.RING)
    entry.set_services([builders.SWAP_DESK, builders.CATALOGUE])
    entry.load_members(agents)
    return entry


def initial_packet(cid):
    head = b"\xc0" + VERSION_1 + bytes([len(cid)]) + cid
    return head.ljust(quic_header.MIN_INITIAL_DATAGRAM_BYTES, b"\0")


def short_packet(cid, size=60):
    return (b"\x40" + cid).ljust(size, b"\0")


def cid_of(record, keys=DESK_KEYS):
    return connection_id.encode(keys, builders.home_of(record), NONCE)


def test_later_packet_goes_to_its_home():
    entry = make_steering()
    for record in DESK_AGENTS:
        decision = entry.steer(
            builders.SWAP_DESK, short_packet(cid_of(record)), HOST, NOW
        )
        assert decision == steering.Forward(
            builders.home_of(record),
            record.member.tunnel_address,
            record.member.zone,
        )


def test_later_packet_goes_to_its_home_with_stale_and_fresh_tables():
    cid = cid_of(DESK_AGENTS[2])
    stale = make_steering(DESK_AGENTS[:3])
    fresh = make_steering()
    datagram = short_packet(cid)
    assert stale.steer(builders.SWAP_DESK, datagram, HOST, NOW) == fresh.steer(
        builders.SWAP_DESK, datagram, HOST, NOW
    )


def test_first_packet_goes_to_the_same_home_at_every_entry():
    datagram = initial_packet(b"chosen")
    backwards = make_steering(list(reversed(DESK_AGENTS)))
    decision = make_steering().steer(builders.SWAP_DESK, datagram, HOST, NOW)
    assert isinstance(decision, steering.Forward)
    assert backwards.steer(builders.SWAP_DESK, datagram, HOST, NOW) == decision


def test_first_packets_avoid_draining_and_suspected_servers():
    entry = make_steering()
    entry.update_member(builders.make_agent(0, is_draining=True, incarnation=1))
    entry.update_member(
        builders.make_agent(1, status=records.Status.SUSPECT, incarnation=1)
    )
    avoided = {builders.home_of(DESK_AGENTS[0]), builders.home_of(DESK_AGENTS[1])}
    for _ in range(300):
        decision = entry.steer(
            builders.SWAP_DESK, initial_packet(os.urandom(8)), HOST, NOW
        )
        assert decision.home not in avoided


def test_flows_of_a_draining_server_still_reach_it():
    entry = make_steering()
    entry.update_member(builders.make_agent(0, is_draining=True, incarnation=1))
    decision = entry.steer(
        builders.SWAP_DESK, short_packet(cid_of(DESK_AGENTS[0])), HOST, NOW
    )
    assert isinstance(decision, steering.Forward)


def test_id_of_another_service_is_dropped():
    decision = make_steering().steer(
        builders.CATALOGUE, short_packet(cid_of(DESK_AGENTS[0])), HOST, NOW
    )
    assert decision == steering.Drop(steering.DropReason.FOREIGN_ID)


def test_flow_of_a_dead_agent_is_reset_with_its_token():
    entry = make_steering()
    entry.update_member(builders.make_agent(0, status=records.Status.DEAD))
    cid = cid_of(DESK_AGENTS[0])
    decision = entry.steer(builders.SWAP_DESK, short_packet(cid), HOST, NOW)
    assert isinstance(decision, steering.Reset)
    assert decision.datagram.endswith(connection_id.reset_token(DESK_KEYS, cid))
    assert len(decision.datagram) < len(short_packet(cid))


def test_flow_of_an_unknown_home_is_reset_after_the_grace_period():
    entry = make_steering(DESK_AGENTS[1:])
    datagram = short_packet(cid_of(DESK_AGENTS[0]))
    first = entry.steer(builders.SWAP_DESK, datagram, HOST, NOW)
    later = entry.steer(
        builders.SWAP_DESK, datagram, HOST, NOW + steering.UNKNOWN_HOME_GRACE_SECONDS
    )
    assert first == steering.Drop(steering.DropReason.UNKNOWN_HOME)
    assert isinstance(later, steering.Reset)


def test_returning_home_is_forwarded_to_again():
    entry = make_steering()
    entry.update_member(builders.make_agent(0, status=records.Status.DEAD))
    entry.update_member(builders.make_agent(0, incarnation=1))
    decision = entry.steer(
        builders.SWAP_DESK, short_packet(cid_of(DESK_AGENTS[0])), HOST, NOW
    )
    assert isinstance(decision, steering.Forward)


def test_flow_is_reset_where_the_port_is_unreachable():
    entry = make_steering()
    address = DESK_AGENTS[0].member.tunnel_address
    entry.mark_port_unreachable(address, NOW)
    datagram = short_packet(cid_of(DESK_AGENTS[0]))
    assert isinstance(
        entry.steer(builders.SWAP_DESK, datagram, HOST, NOW), steering.Reset
    )
    later = NOW + steering.UNREACHABLE_PORT_TTL_SECONDS + 1
    assert isinstance(
        entry.steer(builders.SWAP_DESK, datagram, HOST, later), steering.Forward
    )


def test_first_packets_avoid_unreachable_ports():
    entry = make_steering()
    entry.mark_port_unreachable(DESK_AGENTS[0].member.tunnel_address, NOW)
    for _ in range(200):
        decision = entry.steer(
            builders.SWAP_DESK, initial_packet(os.urandom(8)), HOST, NOW
        )
        assert decision.home != builders.home_of(DESK_AGENTS[0])


def test_new_agent_at_an_unreachable_port_is_forwarded_to():
    entry = make_steering()
    entry.mark_port_unreachable(DESK_AGENTS[0].member.tunnel_address, NOW)
    entry.update_member(builders.make_agent(0, incarnation=1))
    decision = entry.steer(
        builders.SWAP_DESK, short_packet(cid_of(DESK_AGENTS[0])), HOST, NOW
    )
    assert isinstance(decision, steering.Forward)


def test_first_packets_stay_in_the_callers_zone_while_it_takes_new_flows():
    zone = identifiers.ZoneName("zone-1")
    entry = make_steering()
    entry.set_zones(zones.ZoneMap([configuration.Zone(zone, ("192.0.2.0/24",))]))
    for _ in range(100):
        first = initial_packet(os.urandom(8))
        decision = entry.steer(builders.SWAP_DESK, first, HOST, NOW)
        assert decision.zone == zone
    decisions = {
        entry.steer(
            builders.SWAP_DESK, initial_packet(os.urandom(8)), "198.51.100.1", NOW
        ).zone
        for _ in range(100)
    }
    assert len(decisions) == 3
    for number in (1, 4):
        entry.update_member(
            builders.make_agent(number, is_draining=True, incarnation=1)
        )
    decision = entry.steer(builders.SWAP_DESK, initial_packet(b"chosen"), HOST, NOW)
    assert decision.zone != zone


def test_longest_matching_network_decides():
    zone_map = zones.ZoneMap(
        [
            configuration.Zone(identifiers.ZoneName("wide"), ("10.0.0.0/8",)),
            configuration.Zone(identifiers.ZoneName("narrow"), ("10.1.0.0/16",)),
        ]
    )
    assert zone_map.zone_of("10.1.2.3") == "narrow"
    assert zone_map.zone_of("10.2.2.3") == "wide"
    assert zone_map.zone_of("192.0.2.1") is None


def test_first_packet_is_dropped_where_no_server_exists():
    decision = make_steering([]).steer(
        builders.SWAP_DESK, initial_packet(b"chosen"), HOST, NOW
    )
    assert decision == steering.Drop(steering.DropReason.NO_BACKEND_SERVER)


def test_only_initial_packets_open_flows():
    datagram = b"\xe0" + initial_packet(b"chosen")[1:]
    decision = make_steering().steer(builders.SWAP_DESK, datagram, HOST, NOW)
    assert isinstance(decision, steering.Drop)


@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=1300),
        strategies.builds(
            lambda first, cid, size: (bytes([first]) + cid).ljust(size, b"\0"),
            strategies.integers(0, 255),
            strategies.sampled_from([cid_of(record) for record in DESK_AGENTS]),
            strategies.integers(0, 100),
        ),
    )
)
def test_no_datagram_reaches_another_service_or_raises(datagram):
    entry = make_steering()
    own = {builders.home_of(record) for record in CATALOGUE_AGENTS}
    decision = entry.steer(builders.CATALOGUE, datagram, HOST, NOW)
    if isinstance(decision, steering.Forward):
        assert decision.home in own
    else:
        assert not isinstance(decision, steering.Reset)
