"""Tests of which entries the owner of a flow is registered with."""

from __future__ import annotations

import collections

from cactushall_core import addresses, identifiers
from cactushall_core.flows import registrars
from tests.core.flows import builders

ENTRIES = 60
FLOWS = [builders.FLOW._replace(caller_port=port) for port in range(1000, 5000)]


def registrar(number, start=1):
    address = addresses.Address(f"10.0.0.{number}", 7735)
    return registrars.Registrar(address, identifiers.MemberId(start))


def make_ring(numbers):
    ring = registrars.RegistrarRing()
    for number in numbers:
        ring.add(registrar(number))
    return ring


def test_flow_has_no_registrar_where_no_entry_is_known():
    assert make_ring([]).find(builders.FLOW) == ()


def test_only_entry_is_the_only_registrar():
    assert make_ring([1]).find(builders.FLOW) == (registrar(1),)


def test_members_agree_in_whatever_order_they_learn_of_entries():
    one = make_ring(range(ENTRIES))
    other = make_ring(reversed(range(ENTRIES)))
    assert [one.find(flow) for flow in FLOWS] == [other.find(flow) for flow in FLOWS]


def test_registrars_of_a_flow_are_different_entries():
    ring = make_ring(range(ENTRIES))
    for flow in FLOWS:
        first, second = ring.find(flow)
        assert first.address != second.address


def test_flows_are_spread_over_all_entries():
    ring = make_ring(range(ENTRIES))
    counts = collections.Counter(r.address for flow in FLOWS for r in ring.find(flow))
    assert len(counts) == ENTRIES
    mean = len(FLOWS) * registrars.REGISTRARS_PER_FLOW / ENTRIES
    assert max(counts.values()) < 2 * mean


def test_entry_that_is_gone_changes_only_its_own_flows():
    ring = make_ring(range(ENTRIES))
    before = {flow: ring.find(flow) for flow in FLOWS}
    gone = registrar(7)
    ring.remove(gone.address)
    for flow in FLOWS:
        stayed = [one for one in before[flow] if one != gone]
        assert set(stayed) <= set(ring.find(flow))
        assert gone not in ring.find(flow)


def test_entry_that_starts_again_is_another_registrar_of_the_same_flows():
    ring = make_ring(range(ENTRIES))
    before = {flow: ring.find(flow) for flow in FLOWS}
    again = registrar(7, start=2)
    ring.add(again)
    for flow in FLOWS:
        expected = [again if one == registrar(7) else one for one in before[flow]]
        assert list(ring.find(flow)) == expected
