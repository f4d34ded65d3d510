"""Tests of how processes of the QUIC transport get a whole table of members."""

from __future__ import annotations

import pytest

from cactushall_core import addresses
from cactushall_core.membership import records
from cactushall_daemon import control, counters, node
from cactushall_daemon.config import schema
from cactushall_rpc import control as control_client
from tests.daemon import fleets
from tests.standins import site as site_standin


class Fleet:
    """Nodes on loopback hosts, without a store."""

    def __init__(self, folder):
        """Write keys and certificates and choose ports; nothing runs yet."""
        site_standin.write_secrets(folder)
        self._folder = folder
        self.gossip_port = fleets.free_port()
        self.control_port = fleets.free_port()
        self._nodes = []

    @property
    def client(self):
        """A client of the nodes' control service."""
        credentials = site_standin.credentials(self._folder)
        return control_client.Client(control_client.client_context(credentials))

    def control_address(self, host):
        """Return the address at which a node is asked for its table."""
        return addresses.Address(host, self.control_port)

    async def start_node(self, host, contacts):
        """Start a node and return it."""
        values = {
            "node": f"node-{host}",
            "zone": "attica-1",
            "address": host,
            "gossip_port": self.gossip_port,
            "control_port": self.control_port,
            "contacts": [str(self.control_address(contact)) for contact in contacts],
            "key_files": ["key"],
            "control_certificate": "control.pem",
            "control_private_key": "control_key.pem",
            "control_authority": "control.pem",
        }
        settings = fleets.load_settings(self._folder, schema.NodeSettings, values)
        started_node = node.Node(
            settings,
            node.make_member(settings, records.Role.AGENT, 0, lambda member_id: ()),
            lambda record: None,
            lambda configuration: None,
            control.AgentHandlers(),
        )
        self._nodes.append(started_node)
        await started_node.start()
        return started_node

    async def start_complete_pair(self):
        """Start two nodes and wait until their tables are complete."""
        first, second = fleets.HOSTS[:2]
        pair = [
            await self.start_node(first, [second]),
            await self.start_node(second, [first]),
        ]
        await fleets.wait_until(lambda: all(map(is_complete, pair)))
        return pair

    async def stop(self):
        """Stop all nodes."""
        for started_node in self._nodes:
            await started_node.stop()


def is_complete(started_node):
    """Return whether the table of a node is complete."""
    return started_node.gossip.membership.is_complete


@pytest.fixture
async def fleet(tmp_path):
    started_fleet = Fleet(tmp_path)
    yield started_fleet
    await started_fleet.stop()


async def test_a_started_node_has_the_whole_table_once_it_counts_as_complete(fleet):
    pair = await fleet.start_complete_pair()
    for complete_node in pair:
        fleets.add_gone_members(complete_node)
    expected = fleets.known_members(pair[0])
    joining_node = await fleet.start_node(fleets.HOSTS[2], fleets.HOSTS[:1])
    await fleets.wait_until(lambda: is_complete(joining_node))
    assert len(expected) == fleets.GONE_MEMBER_COUNT + len(pair)
    assert fleets.known_members(joining_node) >= expected


async def test_contacts_that_do_not_answer_do_not_keep_a_node_from_completing(fleet):
    await fleet.start_complete_pair()
    joining, absent, silent = fleets.HOSTS[2:5]
    async with fleets.silent_listener(silent, fleet.control_port) as accepted:
        contacts = [absent, silent, fleets.HOSTS[0]]
        joining_node = await fleet.start_node(joining, contacts)
        await fleets.wait_until(lambda: is_complete(joining_node))
        assert accepted


async def test_a_request_that_is_not_authentic_is_refused_and_counted(fleet):
    host = fleets.HOSTS[0]
    asked_node = await fleet.start_node(host, [])
    for number, body in enumerate(fleets.unauthentic_requests(asked_node), start=1):
        with pytest.raises(control_client.ControlError, match="INVALID_ARGUMENT"):
            await fleet.client.synchronize(fleet.control_address(host), body)
        values = dict(asked_node.counters.items())
        assert values[counters.Counter.GOSSIP_REJECTED] == number
