"""Tests of the queue of flows for which no agent has capacity."""

from __future__ import annotations

import pytest

from cactushall_core.flows import flow_queue, queue_limits
from tests.core.flows import builders

AGENTS = 16
LIMIT = AGENTS * queue_limits.DEFAULT.flows_per_agent


class Site:
    """A queue, and routes of given priorities to one service."""

    def __init__(self, *levels):
        table = builders.priority_table(*levels)
        self.routes = list(table.routes.values())
        self.queue = flow_queue.FlowQueue()

    def flow(self, index, number):
        address = self.routes[index].address
        return builders.FLOW._replace(caller_port=number, service_port=address.port)

    def add(self, index, number, service=builders.SERVICE):
        """Queue flow `number` of route `index`."""
        route = self.routes[index]
        return self.queue.add(
            self.flow(index, number), route, service, AGENTS, len(self.routes)
        )

    def fill(self, index, count=int(LIMIT)):
        for number in range(count):
            assert self.add(index, number).is_queued

    def order(self, due=()):
        queue = self.queue.of_service(builders.SERVICE)
        return queue.in_order(lambda priority: priority in due)


def test_higher_priority_is_first_and_the_newest_within_a_route():
    site = Site(1, 2)
    site.fill(1, 2)
    site.fill(0, 2)
    expected = [site.flow(0, 1), site.flow(0, 0), site.flow(1, 1), site.flow(1, 0)]
    assert site.order() == expected


def test_a_priority_that_is_due_gets_one_flow_first():
    site = Site(1, 2)
    site.fill(1, 2)
    site.fill(0, 2)
    expected = [site.flow(1, 1), site.flow(0, 1), site.flow(0, 0), site.flow(1, 0)]
    assert site.order(due=(2,)) == expected


def test_routes_of_one_priority_alternate_whatever_their_numbers():
    site = Site(1, 1)
    site.fill(0, 6)
    site.fill(1, 1)
    placed = []
    for _ in range(2):
        flow = site.order()[0]
        site.queue.of_service(builders.SERVICE).record_turn(
            builders.service_address(flow)
        )
        site.queue.remove(flow)
        placed.append(flow)
    assert {flow.service_port for flow in placed} == {
        route.address.port for route in site.routes
    }


@pytest.mark.parametrize("levels", [(1, 1), (1, 2), (2, 1)])
def test_a_burst_of_one_route_leaves_another_its_share(levels):
    site = Site(*levels)
    site.fill(0)
    for number in range(int(LIMIT / 2)):
        verdict = site.add(1, number)
        assert verdict.is_queued
        assert verdict.displaced == site.flow(0, number)


def test_an_idle_share_is_borrowed():
    site = Site(1, 1, 2)
    site.fill(1)
    assert len(site.queue) == LIMIT


def test_higher_priority_displaces_what_lower_priority_has_borrowed():
    site = Site(1, 2, 3)
    site.fill(0, 2)
    site.fill(1, 3)
    site.fill(2, 3)
    assert site.add(0, 2).displaced == site.flow(2, 0)
    assert site.add(0, 3).displaced == site.flow(1, 0)
    assert not site.add(0, 4).is_queued


def test_lower_priority_beyond_its_share_displaces_nothing():
    site = Site(1, 2)
    site.fill(0, 4)
    site.fill(1, 4)
    assert not site.add(1, 10).is_queued


def test_a_full_queue_of_one_service_leaves_another_alone():
    site = Site(1, 1)
    site.fill(0)
    for number in range(int(LIMIT)):
        verdict = site.add(1, number, builders.OTHER_SERVICE)
        assert verdict == flow_queue.Verdict(True)


def test_a_full_queue_sheds_only_lower_priority_beyond_its_share():
    site = Site(1, 2)
    site.fill(0, 3)
    site.fill(1, 5)
    assert site.add(0, 0).is_queued
    assert not site.add(1, 0).is_queued


def test_a_full_queue_sheds_no_higher_priority():
    site = Site(1, 2)
    site.fill(0, 5)
    site.fill(1, 3)
    assert site.add(0, 0).is_queued
    assert site.add(1, 0).is_queued


def test_a_removed_flow_leaves_room():
    site = Site(1)
    site.fill(0)
    assert not site.add(0, 99).is_queued
    site.queue.remove(site.flow(0, 0))
    assert site.add(0, 99).is_queued
