"""Tests of placement by load."""

from __future__ import annotations

import random

from msgspec import structs

from cactushall_core import identifiers, peering, placement
from tests.core import builders

OWN = identifiers.HomeId(1)
SECOND = identifiers.HomeId(2)
NOW = 50.0


def report(home=OWN, flows=0, **changes):
    made = peering.LoadReport(
        builders.SWAP_DESK, home, flows, 1000, 0, 0, 1, 0.0, False
    )
    return structs.replace(made, **changes)


def make_table(*peers):
    table = placement.Placement(OWN, random.Random(1))
    table.set_eligible({OWN, *(peer.home for peer in peers)})
    for peer in peers:
        table.hear(peer, NOW)
    return table


def test_flow_goes_to_the_emptier_second_choice():
    table = make_table(report(SECOND, 10))
    assert table.place(b"cid", report(flows=500), NOW) == SECOND


def test_flow_stays_where_the_second_choice_is_no_emptier():
    table = make_table(report(SECOND, 500))
    assert table.place(b"cid", report(flows=500), NOW) == OWN


def test_repeated_first_packet_goes_the_same_way():
    table = make_table(report(SECOND, 499))
    first = table.place(b"cid", report(flows=520), NOW)
    assert first == SECOND
    table.hear(report(SECOND, 900), NOW)
    assert table.place(b"cid", report(flows=0), NOW) == first


def test_flow_stays_where_peers_are_silent_full_or_draining():
    for peer, later in (
        (report(SECOND, 0), placement.STALE_SECONDS + 1),
        (report(SECOND, 1000), 0.0),
        (report(SECOND, 0, is_draining=True), 0.0),
    ):
        table = make_table(peer)
        assert table.place(b"cid", report(flows=999), NOW + later) == OWN


def test_draining_server_hands_on_every_flow():
    table = make_table(report(SECOND, 900))
    own = report(flows=1, is_draining=True)
    assert table.place(b"cid", own, NOW) == SECOND


def test_slow_server_gets_a_smaller_share():
    table = make_table(report(SECOND, 400, service_seconds=0.1))
    own = report(flows=450, service_seconds=0.01)
    assert table.place(b"cid", own, NOW) == OWN


def test_no_receiver_where_nobody_has_room():
    table = make_table(report(SECOND, 1000))
    assert table.receiver(NOW) is None


def test_peer_that_refused_is_left_alone_for_a_while():
    table = make_table(report(SECOND, 0))
    table.note_full(SECOND, NOW)
    assert table.receiver(NOW) is None
    assert table.receiver(NOW + placement.FULL_SECONDS) == SECOND


def test_receivers_are_not_filled_beyond_their_limit():
    table = make_table(report(SECOND, 998))
    assert [table.receiver(NOW) for _ in range(3)] == [SECOND, SECOND, None]


def test_released_choice_does_not_count():
    table = make_table(report(SECOND, 998))
    for _ in range(5):
        table.release(table.receiver(NOW))
    assert table.receiver(NOW) == SECOND


def test_nothing_moves_for_a_single_flow_or_small_differences_in_speed():
    table = make_table(report(SECOND, 11, service_seconds=0.012))
    own = report(flows=13, service_seconds=0.015)
    assert table.surplus(own, NOW) == 0


def test_surplus_moves_to_an_empty_peer_and_then_stops():
    table = make_table(report(SECOND, 0))
    assert table.surplus(report(flows=400), NOW) == placement.REBALANCE_BATCH
    table.hear(report(SECOND, 390), NOW)
    assert table.surplus(report(flows=400), NOW) == 0


def test_draining_server_has_no_surplus():
    table = make_table(report(SECOND, 0))
    assert table.surplus(report(flows=400, is_draining=True), NOW) == 0


def test_load_is_reported_on_change_and_at_intervals():
    table = make_table(report(SECOND))
    assert table.is_report_due(report(flows=100), NOW)
    assert not table.is_report_due(report(flows=100), NOW + 0.5)
    assert table.is_report_due(report(flows=150), NOW + 0.5)
    assert not table.is_report_due(report(flows=190), NOW + 0.55)
    assert table.is_report_due(report(flows=150), NOW + 1.6)


def test_flows_stay_in_their_zone_while_it_has_spare_capacity():
    table = make_table(report(SECOND, 0))
    table.set_near(set())
    spare, full = report(flows=500), report(flows=850)
    assert table.place(b"cid", spare, NOW) == OWN
    assert table.surplus(spare, NOW) == 0
    assert table.emptiest(spare, NOW) is None
    assert table.surplus(full, NOW) > 0
    assert table.place(b"cid", full, NOW) == SECOND


def test_drained_flows_prefer_their_zone():
    near, far = identifiers.HomeId(7), identifiers.HomeId(8)
    table = make_table(report(near, 700), report(far, 0))
    table.set_near({near})
    assert {table.receiver(NOW) for _ in range(20)} == {near}
    table.hear(report(near, 900), NOW)
    assert far in {table.receiver(NOW) for _ in range(20)}
