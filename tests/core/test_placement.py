"""Tests of the placement of flows by load."""

from __future__ import annotations

import random

from msgspec import structs

from cactushall_core import identifiers, peering, placement
from tests.core import builders

OWN = identifiers.HomeId(1)
SECOND = identifiers.HomeId(2)
NOW = 50.0


def report(home=OWN, flows=0, **changes):
    template = peering.LoadReport(
        builders.SWAP_DESK, home, flows, 1000, 0, 0, 1, 0.0, False
    )
    return structs.replace(template, **changes)


def make_placement(*peers):
    chooser = placement.Placement(OWN, random.Random(1))
    chooser.set_eligible({OWN, *(peer.home for peer in peers)})
    for peer in peers:
        chooser.record_report(peer, NOW)
    return chooser


def test_flow_goes_to_a_less_utilized_second_choice():
    chooser = make_placement(report(SECOND, 10))
    assert chooser.place(b"cid", report(flows=500), NOW) == SECOND


def test_flow_stays_where_the_second_choice_is_equally_utilized():
    chooser = make_placement(report(SECOND, 500))
    assert chooser.place(b"cid", report(flows=500), NOW) == OWN


def test_repeated_first_packet_goes_to_the_same_endpoint():
    chooser = make_placement(report(SECOND, 499))
    first = chooser.place(b"cid", report(flows=520), NOW)
    assert first == SECOND
    chooser.record_report(report(SECOND, 900), NOW)
    assert chooser.place(b"cid", report(flows=0), NOW) == first


def test_flow_stays_where_peers_are_silent_full_or_draining():
    for peer, later in (
        (report(SECOND, 0), placement.REPORT_TTL_SECONDS + 1),
        (report(SECOND, 1000), 0.0),
        (report(SECOND, 0, is_draining=True), 0.0),
    ):
        chooser = make_placement(peer)
        assert chooser.place(b"cid", report(flows=999), NOW + later) == OWN


def test_draining_endpoint_redirects_every_flow():
    chooser = make_placement(report(SECOND, 900))
    own = report(flows=1, is_draining=True)
    assert chooser.place(b"cid", own, NOW) == SECOND


def test_slow_server_gets_a_smaller_share():
    chooser = make_placement(report(SECOND, 400, service_seconds=0.1))
    own = report(flows=450, service_seconds=0.01)
    assert chooser.place(b"cid", own, NOW) == OWN


def test_no_receiver_where_no_peer_has_capacity():
    chooser = make_placement(report(SECOND, 1000))
    assert chooser.reserve_receiver(NOW) is None


def test_peer_that_refused_a_flow_is_not_chosen_until_its_backoff_ends():
    chooser = make_placement(report(SECOND, 0))
    chooser.mark_full(SECOND, NOW)
    assert chooser.reserve_receiver(NOW) is None
    assert chooser.reserve_receiver(NOW + placement.FULL_PEER_BACKOFF_SECONDS) == SECOND


def test_reservations_stay_within_the_connection_limit():
    chooser = make_placement(report(SECOND, 998))
    assert [chooser.reserve_receiver(NOW) for _ in range(3)] == [SECOND, SECOND, None]


def test_released_reservation_does_not_count():
    chooser = make_placement(report(SECOND, 998))
    for _ in range(5):
        chooser.release_reservation(chooser.reserve_receiver(NOW))
    assert chooser.reserve_receiver(NOW) == SECOND


def test_nothing_moves_for_a_single_flow_or_small_differences_in_speed():
    chooser = make_placement(report(SECOND, 11, service_seconds=0.012))
    own = report(flows=13, service_seconds=0.015)
    assert chooser.excess_flows(own, NOW) == 0


def test_excess_flows_move_to_an_empty_peer_until_balanced():
    chooser = make_placement(report(SECOND, 0))
    assert chooser.excess_flows(report(flows=400), NOW) == placement.REBALANCE_BATCH
    chooser.record_report(report(SECOND, 390), NOW)
    assert chooser.excess_flows(report(flows=400), NOW) == 0


def test_draining_endpoint_has_no_excess_flows():
    chooser = make_placement(report(SECOND, 0))
    assert chooser.excess_flows(report(flows=400, is_draining=True), NOW) == 0


def test_load_is_reported_on_change_and_at_intervals():
    chooser = make_placement(report(SECOND))
    assert chooser.is_report_due(report(flows=100), NOW)
    assert not chooser.is_report_due(report(flows=100), NOW + 0.5)
    assert chooser.is_report_due(report(flows=150), NOW + 0.5)
    assert not chooser.is_report_due(report(flows=190), NOW + 0.55)
    assert chooser.is_report_due(report(flows=150), NOW + 1.6)


def test_flows_stay_in_their_zone_while_it_has_spare_capacity():
    chooser = make_placement(report(SECOND, 0))
    chooser.set_local_peers(set())
    spare, full = report(flows=500), report(flows=850)
    assert chooser.place(b"cid", spare, NOW) == OWN
    assert chooser.excess_flows(spare, NOW) == 0
    assert chooser.reserve_least_utilized(spare, NOW) is None
    assert chooser.excess_flows(full, NOW) > 0
    assert chooser.place(b"cid", full, NOW) == SECOND


def test_drained_flows_prefer_their_zone():
    local, remote = identifiers.HomeId(7), identifiers.HomeId(8)
    chooser = make_placement(report(local, 700), report(remote, 0))
    chooser.set_local_peers({local})
    assert {chooser.reserve_receiver(NOW) for _ in range(20)} == {local}
    chooser.record_report(report(local, 900), NOW)
    assert remote in {chooser.reserve_receiver(NOW) for _ in range(20)}
