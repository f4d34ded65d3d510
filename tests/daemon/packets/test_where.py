"""Tests of asking a running entry where a new flow would go."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from cactushall_core import addresses, identifiers
from cactushall_core.flows import actions, directory, exclusions, messages
from cactushall_core.membership import records
from cactushall_daemon import gossip
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import entry_process, node
from cactushall_platform import configuration
from cactushall_rpc import where
from tests.daemon import fleets
from tests.standins import packet_peers, packet_site, platform_store

ENTRY_HOST = fleets.HOSTS[0]
AGENT_HOSTS = fleets.HOSTS[1:5]
CALLER = ("127.40.1.1", 20_000)
BOARD = addresses.Address(*packet_site.BOARD)
SERVICE = identifiers.ServiceName(packet_site.SERVICE_NAMES[packet_site.BOARD])
SERVICE_SECONDS = 0.02
# Enough that the server counts as full until the next report.
BUSY = 100


class Site:
    """A real entry, and agents whose packet addresses are observed."""

    def __init__(self, folder, store_address):
        """Choose ports; nothing runs yet."""
        self._folder = folder
        self._store_address = store_address
        self._ports = {
            name: fleets.free_port() for name in ("gossip", "peer", "packet", "ready")
        }
        self._agents = {}
        self._sockets = {}
        self._entry = None

    @property
    def entry_address(self):
        """The entry's peer address."""
        return addresses.Address(ENTRY_HOST, self._ports["peer"])

    def _settings(self, host):
        values = {
            "transport": "packets",
            "node": f"node-{host}",
            "zone": "attica-a",
            "address": host,
            "gossip_port": self._ports["gossip"],
            "peer_port": self._ports["peer"],
            "packet_address": f"{host}:{self._ports['packet']}",
            "readiness_address": f"{host}:{self._ports['ready']}",
            "store": str(self._store_address),
            "seeds": [f"{ENTRY_HOST}:1"],
            "keys": [fleets.KEY],
            "grace_seconds": 0,
        }
        cls = packet_schema.PacketEntrySettings
        return fleets.load_settings(self._folder, cls, values)

    async def start(self, draining_host):
        """Start the entry and the agents, one of which drains its server."""
        self._entry = entry_process.EntryProcess(self._settings(ENTRY_HOST))
        await self._entry.start()
        for host in AGENT_HOSTS:
            await self._start_agent(host, is_draining=host == draining_host)

    async def _start_agent(self, host, *, is_draining):
        settings = self._settings(host)
        endpoint = records.Endpoint(SERVICE, identifiers.HomeId(0), 2000, is_draining)
        made = node.Node(
            settings,
            node.make_member(settings, records.Role.AGENT, (endpoint,)),
            gossip.Callbacks(on_member_changed=lambda record: None),
            on_routes=lambda table: None,
            on_message=lambda sender, message: None,
            gauges=dict,
        )
        observed = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        observed.setblocking(False)
        observed.bind((host, self._ports["packet"]))
        self._sockets[host] = observed
        self._agents[host] = made
        await made.start()

    def report(self, host, requests):
        """Let an agent report its load to the entry."""
        load = messages.Load(requests, requests, 1, SERVICE_SECONDS)
        self._agents[host].send_message(self.entry_address, messages.LoadReport(load))

    async def ask(self, address=BOARD, port=CALLER[1]):
        """Ask the entry where a flow from a caller's port would go."""
        caller = addresses.Address(CALLER[0], port)
        return await where.ask(self.entry_address, address, None, caller)

    def send_opening(self, port):
        """Send an opening packet to the entry."""
        datagram = packet_peers.encode_packet(
            (CALLER[0], port), packet_site.BOARD, packet_peers.SYN
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
            caller.sendto(datagram, (ENTRY_HOST, self._ports["packet"]))

    async def receiver(self):
        """Return the host of the agent that gets the next packet."""
        loop = asyncio.get_running_loop()
        waiting = {
            asyncio.create_task(loop.sock_recv(observed, 2048)): host
            for host, observed in self._sockets.items()
        }
        done, pending = await asyncio.wait(
            waiting, timeout=fleets.WAIT_SECONDS, return_when=asyncio.FIRST_COMPLETED
        )
        for task in pending:
            task.cancel()
        (received,) = done
        return waiting[received]

    async def stop(self):
        """Stop all processes."""
        for made in self._agents.values():
            made.stop()
        for observed in self._sockets.values():
            observed.close()
        await self._entry.stop()


@pytest.fixture
async def site(tmp_path):
    store = platform_store.PlatformStore()
    document = packet_site.make_configuration()
    store.put(configuration.KEY.decode(), json.dumps(document).encode())
    store_address = addresses.Address(*await store.start())
    made = Site(tmp_path, store_address)
    await made.start(draining_host=AGENT_HOSTS[-1])
    yield made
    await made.stop()
    await store.stop()


async def wait_for_answer(site, condition, port=CALLER[1]):
    """Wait until the entry's answer meets a condition, and return the answer."""
    async with asyncio.timeout(fleets.WAIT_SECONDS):
        while not condition(answer := await site.ask(port=port)):
            await asyncio.sleep(fleets.POLL_SECONDS)
    return answer


def has_all_reports(answer):
    return answer.services and sum(
        c.load_age_seconds is not None for c in answer.services[0].candidates
    ) == len(AGENT_HOSTS)


async def test_a_new_flow_goes_where_the_entry_says(site):
    """Guards against an answer that is not made by the code that places flows."""
    await wait_for_answer(
        site,
        lambda a: a.services and len(a.services[0].candidates) == len(AGENT_HOSTS),
    )
    for turn in range(8):
        # The flow before does not count any more, so that all idle agents are equal.
        await asyncio.sleep(2 * directory.UNACKNOWLEDGED_SECONDS)
        busy = AGENT_HOSTS[turn % 2]
        for host in AGENT_HOSTS:
            site.report(host, requests=BUSY if host == busy else 0)
        answer = await wait_for_answer(
            site,
            lambda a, busy=busy: has_all_reports(a) and is_full(a, busy),
            CALLER[1] + turn,
        )
        (service,) = answer.services
        excluded = {c.node: c.exclusion for c in service.candidates}
        assert excluded[f"node-{busy}"] is exclusions.Exclusion.FULL
        assert excluded[f"node-{AGENT_HOSTS[-1]}"] is exclusions.Exclusion.DRAINING
        site.send_opening(CALLER[1] + turn)
        assert f"node-{await site.receiver()}" == service.agent


def is_full(answer, host):
    """Return whether only one host's server is full according to an answer."""
    return {
        c.node
        for c in answer.services[0].candidates
        if c.exclusion is exclusions.Exclusion.FULL
    } == {f"node-{host}"}


async def test_an_address_without_route_is_answered_with_the_reason(site):
    await wait_for_answer(site, lambda a: a.route is not None)
    answer = await site.ask(addresses.Address("198.18.0.77", 1))
    assert answer.route is None
    assert answer.refusal.reason is actions.Reason.NO_ROUTE


async def test_a_malformed_address_is_refused(site):
    with pytest.raises(where.WhereError, match="400"):
        await site.ask("198.18.0.77")


async def test_an_agent_is_not_an_entry(site):
    agent_address = addresses.Address(AGENT_HOSTS[0], site.entry_address.port)
    with pytest.raises(where.WhereError, match="not the peer address of an entry"):
        await where.ask(agent_address, BOARD, None)
