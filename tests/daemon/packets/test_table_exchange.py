"""Tests of how processes of the packet transport get a whole table of members."""

from __future__ import annotations

import asyncio
import http

import pytest

from cactushall_core.membership import completeness, records
from cactushall_daemon import contact_service, counters
from cactushall_daemon.packets import node
from cactushall_rpc import http as http_calls
from cactushall_rpc import store_keys
from tests.daemon import fleets
from tests.daemon.packets import node_fleet

CALL_SECONDS = 1.0
NEVER_SECONDS = 3600.0


class CompletenessRecorder:
    """Records the evidence and the members known at the time it came."""

    def __init__(self):
        """Start without evidence."""
        self.node = None
        self.evidence = None
        self.known_members = set()

    def record(self, evidence):
        """Record evidence, as a callback of a node."""
        if self.evidence is None:
            self.evidence = evidence
            self.known_members = fleets.known_members(self.node)


async def test_a_started_node_has_the_whole_table_once_it_counts_as_complete(fleet):
    pair = await fleet.start_complete_pair()
    for complete_node in pair:
        fleets.add_gone_members(complete_node)
    expected = fleets.known_members(pair[0])
    recorder = CompletenessRecorder()
    host = fleets.HOSTS[2]
    recorder.node = await fleet.start_node(host, fleets.HOSTS[:1], recorder.record)
    await fleets.wait_until(lambda: recorder.evidence is not None)
    assert recorder.evidence.basis is completeness.Basis.COMPLETE_MEMBER
    assert len(expected) == fleets.GONE_MEMBER_COUNT + len(pair)
    assert recorder.known_members >= expected


async def test_a_request_that_is_not_authentic_is_refused_and_counted(fleet):
    host = fleets.HOSTS[0]
    asked_node = await fleet.start_node(host, [])
    for number, body in enumerate(fleets.unauthentic_requests(asked_node), start=1):
        status = await fleet.post_request(host, body)
        assert status == http.HTTPStatus.BAD_REQUEST
        values = dict(asked_node.counters.items())
        assert values[counters.Counter.GOSSIP_REJECTED] == number


async def test_contacts_that_do_not_answer_do_not_keep_a_node_from_completing(fleet):
    pair = await fleet.start_complete_pair()
    joining, absent, silent = fleets.HOSTS[2:5]
    recorder = CompletenessRecorder()
    async with fleets.silent_listener(silent, fleet.peer_port) as accepted:
        recorder.node = await fleet.start_node(
            joining, [absent, silent, fleets.HOSTS[0]], recorder.record
        )
        await fleets.wait_until(lambda: recorder.evidence is not None)
        assert accepted
    assert recorder.evidence.basis is completeness.Basis.COMPLETE_MEMBER
    sources = {n.gossip.membership.member.control_address for n in pair}
    assert recorder.evidence.source in sources


async def test_a_node_without_any_answer_does_not_count_as_complete(fleet):
    joining, absent, silent = fleets.HOSTS[2:5]
    async with fleets.silent_listener(silent, fleet.peer_port) as accepted:
        joining_node = await fleet.start_node(joining, [absent, silent])
        # Each question waits until the one before has timed out: at the third, the
        # time after which a whole fleet counts as just started is over.
        await fleets.wait_until(lambda: len(accepted) >= 3)
        assert not joining_node.gossip.membership.is_complete


@pytest.mark.parametrize("fault", [None, "refused", "silent"])
async def test_an_entry_is_ready_only_with_a_complete_table(fleet, store, fault):
    entry_host, contact = fleets.HOSTS[2], fleets.HOSTS[0]
    entry_store = store.address
    if fault == "refused":
        entry_store = None
    store.fault = fault
    await fleet.start_entry(entry_host, [contact], entry_store)
    peer = fleet.peer_address(entry_host)

    async def configuration_value():
        response = await http_calls.get(peer, node.CONFIGURATION_PATH, CALL_SECONDS)
        return response.body

    if fault is None:
        await fleets.wait_for(configuration_value)
    assert await fleet.readiness(entry_host) == http.HTTPStatus.SERVICE_UNAVAILABLE
    store.fault = None
    await fleet.start_complete_pair(store.address)

    async def is_ready():
        return await fleet.readiness(entry_host) == http.HTTPStatus.OK

    await fleets.wait_for(is_ready)
    assert await configuration_value()


async def test_new_nodes_find_a_fleet_whose_contact_points_have_lapsed(
    fleet, store, monkeypatch
):
    """Guards against new nodes that take each other for the whole fleet."""
    monkeypatch.setattr(contact_service, "KEEP_ALIVE_SECONDS", NEVER_SECONDS)
    pair = await fleet.start_complete_pair(store.address)
    pair[0].serve_as_contact()
    await fleets.wait_until(lambda: store.leases)
    store.fault = http.HTTPStatus.SERVICE_UNAVAILABLE
    for lease in tuple(store.leases):
        store.expire(lease)
    absent, entry, agent = fleets.HOSTS[2:5]
    recorders = [CompletenessRecorder(), CompletenessRecorder()]
    for host, recorder in zip((entry, agent), recorders, strict=True):
        recorder.node = await fleet.start_node(
            host, [absent], recorder.record, store.address
        )
    recorders[0].node.serve_as_contact()
    await asyncio.sleep(completeness.COLD_START_SILENT_CONTACTS_SECONDS)
    assert [recorder.evidence for recorder in recorders] == [None, None]
    store.fault = None
    await fleets.wait_until(lambda: all(r.evidence is not None for r in recorders))
    for recorder in recorders:
        assert recorder.evidence.basis is completeness.Basis.COMPLETE_MEMBER
        assert recorder.known_members >= {
            node.gossip.membership.member.id for node in pair
        }


@pytest.mark.parametrize("is_listed", [False, True])
async def test_a_fleet_that_starts_with_stale_seeds_becomes_complete(
    fleet, store, is_listed
):
    """Guards against a whole fleet that waits for contact points that are gone."""
    first, second, *absent = fleets.HOSTS[:6]
    if is_listed:
        for slot, host in enumerate(absent):
            key = store_keys.latest_holder(
                store_keys.contact(node_fleet.ZONE, slot)
            ).decode()
            store.put(key, str(fleet.peer_address(host)).encode())
    recorders = [CompletenessRecorder(), CompletenessRecorder()]
    roles = (records.Role.ENTRY, records.Role.AGENT)
    for host, role, recorder in zip((first, second), roles, recorders, strict=True):
        recorder.node = await fleet.start_node(
            host, absent[:3], recorder.record, store.address, role
        )
    recorders[0].node.serve_as_contact()
    await fleets.wait_until(lambda: all(r.evidence is not None for r in recorders))
    assert recorders[0].known_members == recorders[1].known_members
    bases = {recorder.evidence.basis for recorder in recorders}
    assert completeness.Basis.COLD_START in bases
