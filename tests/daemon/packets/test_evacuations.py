"""Tests of how processes follow evacuations in the store and among each other."""

from __future__ import annotations

import asyncio
import json

import pytest

from cactushall_core import addresses, identifiers, store
from cactushall_core.flows import evacuations, messages
from cactushall_core.membership import records, zone_states
from cactushall_daemon import events, gossip
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import agent_process, evacuation_follower, node
from cactushall_platform import operator_keys
from cactushall_platform import store as platform_client
from cactushall_rpc import http as http_calls
from tests.core.flows import builders
from tests.daemon import fleets
from tests.daemon.packets import node_fleet
from tests.standins import packet_site, platform_store

KEY = "op/evacuate/attica-a"
ZONE = "attica-a"
BOUND_SECONDS = 5.0


class Events:
    """Records the log events of the follower."""

    def __init__(self, monkeypatch):
        self.logged = []
        for level in ("info", "warning"):
            monkeypatch.setattr(evacuation_follower.log, level, self._record)

    def _record(self, event, **fields):
        self.logged.append((event, fields))

    def of(self, event):
        return [fields for logged, fields in self.logged if logged is event]


@pytest.fixture
def logged(monkeypatch):
    return Events(monkeypatch)


class Follower:
    """A follower and what it has told its process."""

    def __init__(self, known=None):
        self.now = 0.0
        self.spread = []
        self.zones = []
        self.unreadable = []
        self.known = known
        self.follower = evacuation_follower.EvacuationFollower(
            lambda: self.now,
            self.spread.append,
            self.zones.append,
            lambda: self.known,
            lambda key, why: self.unreadable.append((key, why)),
        )

    def read(self, *entries, revision=20, era=1, unreadable=()):
        snapshot = store.Snapshot(tuple(entries), revision, era, tuple(unreadable))
        self.follower.handle_snapshot(snapshot)


@pytest.fixture
def made():
    return Follower()


def entry(key, revision, value=b"{}"):
    return store.Entry(key.encode(), value, revision)


def test_a_key_evacuates_its_zone_and_its_removal_returns_it(made, logged):
    made.read(entry("op/config", 3), entry(KEY, 15))
    made.follower.handle_change(store.Removal(KEY.encode(), 21))
    assert made.zones == [{ZONE}, frozenset()]
    assert [len(states) for states in made.spread] == [1, 1]
    (evacuated,) = logged.of(events.Event.ZONE_EVACUATED)
    expected = {"zone": ZONE, "era": 1, "revision": 15, "source": "store"}
    assert evacuated == expected
    (returned,) = logged.of(events.Event.ZONE_RETURNED)
    assert returned == expected | {"revision": 21}


def test_other_keys_of_operators_are_left_alone(made):
    made.read(entry("op/config", 3), entry("op/evacuated", 4))
    made.follower.handle_change(entry("op/config", 21))
    assert made.zones == made.spread == made.unreadable == []


@pytest.mark.parametrize("value", [b"", b"{", b"true", b"\xff"])
def test_a_key_counts_although_its_value_is_not_read(made, logged, value):
    made.read(entry(KEY, 15, value))
    made.read(entry(KEY, 15, value), revision=22)
    assert made.follower.evacuated == {ZONE}
    (found,) = logged.of(events.Event.EVACUATION_KEY_SUSPECT)
    assert found["key"] == KEY


def test_a_key_counts_although_its_value_is_not_base64(made):
    made.read(unreadable=[store.UnreadableEntry(KEY.encode(), 15)])
    assert made.follower.evacuated == {ZONE}


@pytest.mark.parametrize("key", ["op/evacuate/", "op/evacuate/a/b", KEY + "x" * 60])
def test_a_key_that_names_no_zone_is_reported_once_and_others_hold(made, key):
    made.read(entry(key, 14), entry(KEY, 15))
    made.read(entry(key, 14), entry(KEY, 15), revision=21)
    assert made.follower.evacuated == {ZONE}
    assert [reported for reported, _ in made.unreadable] == [key]


def test_a_zone_without_members_is_reported_once_all_members_are_known(made, logged):
    made.read(entry("op/evacuate/atica-a", 14), entry(KEY, 15))
    doubtful = events.Event.EVACUATION_KEY_SUSPECT
    assert logged.of(doubtful) == []
    made.known = frozenset({ZONE})
    made.follower.check_zones()
    made.follower.check_zones()
    (found,) = logged.of(doubtful)
    assert found["key"] == "op/evacuate/atica-a"
    assert ZONE in made.follower.evacuated


# Processes' nodes, on loopback addresses.


class Fleet(node_fleet.Fleet):
    """Nodes that record which zones they take for evacuated."""

    def __init__(self, folder):
        super().__init__(folder)
        self.zones = {}
        self.tables = []

    async def start_node(self, host, seeds, store_address=None):
        settings = self.settings(host, seeds, store_address)
        started_node = node.Node(
            settings,
            node.make_member(settings, records.Role.AGENT, ()),
            gossip.Callbacks(on_member_changed=lambda record: None),
            on_routes=lambda table: self.tables.append((host, self.zones.get(host))),
            on_message=lambda sender, message: None,
            gauges=dict,
            on_evacuated=lambda zones: self.zones.__setitem__(host, zones),
            count_flows=lambda zone: 7,
        )
        self._nodes.append(started_node)
        await started_node.start()
        return started_node

    async def wait_for_zones(self, hosts, *zones):
        """Wait until hosts take just these zones for evacuated, within the bound."""
        async with asyncio.timeout(BOUND_SECONDS):
            while any(self.zones.get(h, frozenset()) != set(zones) for h in hosts):
                await asyncio.sleep(fleets.POLL_SECONDS)


@pytest.fixture
async def fleet(tmp_path):
    started_fleet = Fleet(tmp_path)
    yield started_fleet
    await started_fleet.stop()


@pytest.fixture
async def server():
    platform_server = platform_store.PlatformStore()
    yield platform_server
    await platform_server.stop()


FIRST, SECOND, THIRD = fleets.HOSTS[:3]


async def start_two(fleet, server):
    """Start a node that reads the store and one whose store is down."""
    address = await server.start()
    reading = await fleet.start_node(FIRST, [SECOND], address)
    cut_off = await fleet.start_node(SECOND, [FIRST])
    await fleets.wait_until(lambda: len(fleets.known_members(reading)) == 2)
    return reading, cut_off


async def test_a_node_cut_off_from_the_store_follows_within_the_bound(fleet, server):
    await start_two(fleet, server)
    server.put(KEY, b"{}")
    await fleet.wait_for_zones([FIRST, SECOND], ZONE)
    server.remove(KEY)
    await fleet.wait_for_zones([FIRST, SECOND])


async def test_an_evacuation_holds_while_the_store_is_down(fleet, server):
    await start_two(fleet, server)
    server.put(KEY, b"{}")
    await fleet.wait_for_zones([FIRST], ZONE)
    server.fault = 503
    await fleet.wait_for_zones([SECOND], ZONE)
    await asyncio.sleep(1.5)
    assert fleet.zones == {FIRST: {ZONE}, SECOND: {ZONE}}


async def test_a_node_started_during_an_evacuation_without_the_store_knows_it(
    fleet, server
):
    await start_two(fleet, server)
    server.put(KEY, b"{}")
    await fleet.wait_for_zones([FIRST], ZONE)
    server.fault = "silent"
    await fleet.start_node(THIRD, [FIRST])
    await fleet.wait_for_zones([THIRD], ZONE)


async def test_a_restarted_node_knows_the_evacuation_before_its_first_routes(
    fleet, server
):
    """An agent that gets routes first would deliver openings."""
    server.put("op/config", json.dumps(packet_site.make_configuration()).encode())
    server.put(KEY, b"{}")
    await start_two(fleet, server)
    await fleets.wait_until(lambda: len(fleet.tables) == 2)
    assert sorted(fleet.tables) == [(FIRST, {ZONE}), (SECOND, {ZONE})]


async def test_a_change_in_compacted_history_is_read_within_the_bound(fleet, server):
    await start_two(fleet, server)
    server.fault = 503
    server.changed.set()
    server.put(KEY, b"{}")
    server.put("op/other", b"{}")
    server.compact()
    server.fault = None
    await fleet.wait_for_zones([FIRST, SECOND], ZONE)


async def evacuate_and_restore(fleet, server, monkeypatch):
    """Evacuate a zone, and restore the store from a copy that lacks the key."""
    monkeypatch.setattr(evacuations, "RESTORE_WAIT_SECONDS", 2.5)
    copied = server.make_copy()
    reading, _ = await start_two(fleet, server)
    server.put(KEY, b"{}")
    await fleet.wait_for_zones([FIRST, SECOND], ZONE)
    server.come_back_from(copied)
    await reading._store.get_prefix(b"contacts/")
    await asyncio.sleep(1.5)


async def test_a_restored_copy_without_the_key_ends_the_evacuation_late(
    fleet, server, monkeypatch
):
    await evacuate_and_restore(fleet, server, monkeypatch)
    assert fleet.zones == {FIRST: {ZONE}, SECOND: {ZONE}}
    await fleet.wait_for_zones([FIRST, SECOND])


async def test_a_node_whose_watch_is_held_reads_again_when_a_member_tells_of_an_era(
    fleet, server
):
    """The store holds the watch, since its revisions are lower than before."""
    copied = server.make_copy()
    server.put("op/evacuate/elsewhere", b"{}")
    # A process that knows no other reads the store often, and so sees the era itself.
    reading, _ = await start_two(fleet, server)
    await fleet.wait_for_zones([FIRST, SECOND], "elsewhere")
    server.come_back_from(copied)
    server.put(KEY, b"{}")
    other = identifiers.ZoneName("other")
    reading._handle_zone_states(
        (zone_states.ZoneState(other, 2, server.revision, False),), builders.ENTRY
    )
    await fleet.wait_for_zones([FIRST], "elsewhere", ZONE)


async def test_a_key_written_again_after_a_restore_keeps_the_zone_evacuated(
    fleet, server, monkeypatch
):
    await evacuate_and_restore(fleet, server, monkeypatch)
    server.put(KEY, b"{}")
    await asyncio.sleep(3.0)
    assert fleet.zones == {FIRST: {ZONE}, SECOND: {ZONE}}


async def test_a_zone_is_not_unknown_while_members_may_be_unknown(
    fleet, server, logged
):
    """Each process that starts would report each evacuated zone."""
    doubtful = events.Event.EVACUATION_KEY_SUSPECT
    server.put("op/evacuate/elsewhere", b"{}")
    await fleet.start_node(FIRST, [SECOND], await server.start())
    await fleet.wait_for_zones([FIRST], "elsewhere")
    assert logged.of(doubtful) == []
    await fleet.start_node(SECOND, [FIRST])
    await fleets.wait_until(lambda: logged.of(doubtful))
    assert logged.of(doubtful)[0]["key"] == "op/evacuate/elsewhere"


async def test_an_agent_counts_the_flows_that_are_still_open_in_its_zone(tmp_path):
    values = {
        "transport": "packets",
        "node": "agent",
        "zone": ZONE,
        "address": FIRST,
        "gossip_port": 1,
        "peer_port": 2,
        "store": f"{FIRST}:3",
        "keys": [fleets.KEY],
        "service": "board",
        "heartbeat_milliseconds": 400,
    }
    ports = ("packet_address", "readiness_address", "from_server", "announcements")
    values |= {name: f"{FIRST}:{n}" for n, name in enumerate(ports, 4)}
    values["server"] = str(builders.SERVER)
    cls = packet_schema.PacketAgentSettings
    process = agent_process.AgentProcess(fleets.load_settings(tmp_path, cls, values))
    process._flows.update_routes(builders.route_table(), 0.0)
    process._flows.handle_announcement(builders.announcement(), 0.0)
    process._flows.handle_caller_packet(
        builders.opening_packet(), builders.ENTRY, asyncio.get_running_loop().time()
    )
    for revision, elsewhere in ((1, False), (2, True)):
        name = identifiers.ZoneName("other")
        other = zone_states.ZoneState(name, 1, revision, elsewhere)
        process._node._handle_zone_states((other,), builders.ENTRY)
        assert process._read_gauges()["flows_in_evacuated_zone"] == 0
    state = zone_states.ZoneState(identifiers.ZoneName(ZONE), 1, 1, True)
    process._node._handle_zone_states((state,), builders.ENTRY)
    assert process._read_gauges()["flows_in_evacuated_zone"] == 1
    assert process._count_flows(identifiers.ZoneName(ZONE)) == 1
    assert process._count_flows(identifiers.ZoneName("other")) is None
    other = builders.opening_packet(flow=builders.OTHER_FLOW)
    (told,) = process._flows.handle_caller_packet(other, builders.ENTRY, 1.0)
    assert told.message.refusal is messages.Refusal.DRAINING


async def test_evacuations_are_served_in_json_and_as_a_gauge(fleet, server):
    reading, _ = await start_two(fleet, server)
    server.put(KEY, b"{}")
    await fleet.wait_for_zones([FIRST, SECOND], ZONE)
    address = fleet.peer_address(FIRST)
    response = await http_calls.get(address, node.EVACUATIONS_PATH, 1.0)
    expected = {
        "zone": ZONE,
        "is_evacuated": True,
        "era": 1,
        "revision": server.revision,
        "open_flows": 7,
    }
    assert json.loads(response.body) == {"zones": [expected]}
    assert reading._read_gauges()["evacuated_zones"] == 1


async def test_the_number_of_calls_of_the_store_has_not_grown(server):
    """One read and one watch serve the configuration and the evacuations."""
    client = platform_client.KeyValueStore(
        addresses.Address(*await server.start()), lambda key, why: None
    )
    server.put("op/config", b"{}")
    snapshot = await client.get_prefix(operator_keys.PREFIX)
    changes = client.watch(operator_keys.PREFIX, snapshot.revision + 1, snapshot.era)
    waiting = asyncio.create_task(anext(changes))
    await asyncio.sleep(0.05)
    assert client.calls == 2
    server.put(KEY, b"{}")
    await waiting
    await changes.aclose()
    client.close()
