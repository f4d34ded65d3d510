"""Tests of how processes of the packet transport get a whole table of members."""

from __future__ import annotations

import asyncio
import http
import json

import pytest

from cactushall_core import addresses, identifiers
from cactushall_core.membership import completeness, records
from cactushall_daemon import contacts, counters, gossip
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import entry_process, node
from cactushall_platform import calls, configuration
from cactushall_rpc import http as http_calls
from cactushall_rpc import store_keys
from tests.daemon import fleets
from tests.standins import packet_site, platform_store

CALL_SECONDS = 1.0
ZONE = identifiers.ZoneName("attica-a")
NEVER_SECONDS = 3600.0


class Fleet:
    """Nodes on loopback hosts, and the settings with which they start."""

    def __init__(self, folder):
        """Choose ports; nothing runs yet."""
        self._folder = folder
        self.gossip_port = fleets.free_port()
        self.peer_port = fleets.free_port()
        self._packet_port = fleets.free_port()
        self._readiness_port = fleets.free_port()
        self.closed_port = fleets.free_port()
        self._nodes = []
        self._entries = []

    def peer_address(self, host):
        """Return the address at which a node is asked for its table."""
        return addresses.Address(host, self.peer_port)

    def settings(self, host, seeds, store_address=None):
        """Return the settings of a process; its store is down unless given."""
        store_host, store_port = store_address or (host, self.closed_port)
        values = {
            "transport": "packets",
            "node": f"node-{host}",
            "zone": ZONE,
            "address": host,
            "gossip_port": self.gossip_port,
            "peer_port": self.peer_port,
            "packet_address": f"{host}:{self._packet_port}",
            "readiness_address": f"{host}:{self._readiness_port}",
            "store": f"{store_host}:{store_port}",
            "seeds": [f"{seed}:1" for seed in seeds],
            "keys": [fleets.KEY],
            "grace_seconds": 0,
        }
        cls = packet_schema.PacketEntrySettings
        return fleets.load_settings(self._folder, cls, values)

    async def start_node(self, host, seeds, on_complete=None, store_address=None):
        """Start a node and return it."""
        settings = self.settings(host, seeds, store_address)
        started_node = node.Node(
            settings,
            node.make_member(settings, records.Role.AGENT, ()),
            gossip.Callbacks(
                on_member_changed=lambda record: None,
                on_completeness_changed=on_complete or (lambda evidence: None),
            ),
            on_routes=lambda table: None,
            on_message=lambda sender, message: None,
            gauges=dict,
        )
        self._nodes.append(started_node)
        await started_node.start()
        return started_node

    async def start_complete_pair(self, store_address=None):
        """Start two nodes and wait until their tables are complete."""
        first, second = fleets.HOSTS[:2]
        pair = [
            await self.start_node(first, [second], store_address=store_address),
            await self.start_node(second, [first], store_address=store_address),
        ]
        await fleets.wait_until(
            lambda: all(n.gossip.membership.is_complete for n in pair)
        )
        return pair

    async def start_entry(self, host, seeds, store_address=None):
        """Start an entry process."""
        process = entry_process.EntryProcess(self.settings(host, seeds, store_address))
        self._entries.append(process)
        await process.start()

    async def readiness(self, host):
        """Return the status with which a process answers its readiness check."""
        address = addresses.Address(host, self._readiness_port)
        response = await http_calls.get(address, calls.READINESS_PATH, CALL_SECONDS)
        return response.status

    async def post_request(self, host, body):
        """Send the body of a request for a table and return the answer's status."""
        response = await http_calls.call(
            self.peer_address(host), "POST", node.MEMBERS_PATH, body, CALL_SECONDS
        )
        return response.status

    async def stop(self):
        """Stop all processes."""
        for process in self._entries:
            await process.stop()
        for started_node in self._nodes:
            started_node.stop()


@pytest.fixture
async def fleet(tmp_path):
    started_fleet = Fleet(tmp_path)
    yield started_fleet
    await started_fleet.stop()


@pytest.fixture
async def store():
    """Return a store that holds a configuration, and its address."""
    server = platform_store.PlatformStore()
    document = packet_site.make_configuration()
    server.put(configuration.KEY.decode(), json.dumps(document).encode())
    server.address = await server.start()
    yield server
    await server.stop()


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
    monkeypatch.setattr(contacts, "KEEP_ALIVE_SECONDS", NEVER_SECONDS)
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
            key = store_keys.latest_holder(store_keys.contact(ZONE, slot)).decode()
            store.put(key, str(fleet.peer_address(host)).encode())
    recorders = [CompletenessRecorder(), CompletenessRecorder()]
    for host, recorder in zip((first, second), recorders, strict=True):
        recorder.node = await fleet.start_node(
            host, absent[:3], recorder.record, store.address
        )
        recorder.node.serve_as_contact()
    await fleets.wait_until(lambda: all(r.evidence is not None for r in recorders))
    assert recorders[0].known_members == recorders[1].known_members
    bases = {recorder.evidence.basis for recorder in recorders}
    assert completeness.Basis.COLD_START in bases
