"""Nodes and entries of the packet transport on loopback hosts."""

from __future__ import annotations

from cactushall_core import addresses, identifiers
from cactushall_core.membership import records
from cactushall_daemon import gossip
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import entry_process, node
from cactushall_platform import calls
from cactushall_rpc import http as http_calls
from tests.daemon import fleets

CALL_SECONDS = 1.0
ZONE = identifiers.ZoneName("attica-a")


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
        self._entries = {}

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

    async def start_node(
        self,
        host,
        seeds,
        on_complete=None,
        store_address=None,
        role=records.Role.AGENT,
    ):
        """Start a node and return it."""
        settings = self.settings(host, seeds, store_address)
        started_node = node.Node(
            settings,
            node.make_member(settings, role, ()),
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
        self._entries[host] = process
        await process.start()

    async def stop_entry(self, host):
        """Stop an entry process as planned."""
        await self._entries.pop(host).stop()

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
        for process in self._entries.values():
            await process.stop()
        for started_node in self._nodes:
            started_node.stop()
