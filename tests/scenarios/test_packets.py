"""Scenarios of packet flows on the platform."""

from __future__ import annotations

import asyncio
import collections
import json
import signal

import pytest
import pytest_bdd
import yaml
from pytest_bdd import parsers

from tests.standins import odd_entries, packet_peers, packet_site

pytestmark = pytest.mark.scenario
pytest_bdd.scenarios("packets.feature")

FLOWS_SECONDS = 3.0
SERVICE_ADDRESSES = {
    name: address for address, name in packet_site.SERVICE_NAMES.items()
}


class World:
    """A site with its own event loop, since steps are synchronous.

    Attributes:
        flows: Open flows, each with the name of the server that answered it.
        answers: For each closed flow, its service and the names of its servers.
        stopped_at: Time at which an entry got SIGTERM, in seconds of the loop's clock.
        lost: Name of the server that was killed.
        successor: The server that has got the address of another one.
    """

    def __init__(self, folder):
        """Create the event loop; the site is started by a step."""
        self.folder = folder
        self.loop = asyncio.new_event_loop()
        self.flows = []
        self.answers = []
        self.site = None
        self.stopped_at = 0.0
        self.lost = None
        self.successor = None

    def run(self, coroutine):
        """Run a coroutine and return its result."""
        return self.loop.run_until_complete(coroutine)

    async def open_flows(self, count, service):
        """Open flows, send one request on each and keep them open."""
        address = SERVICE_ADDRESSES[service]
        for number in range(count):
            flow = await self.site.open_flow(address)
            answer = await flow.request(b"first %d" % number)
            self.flows.append((flow, answer.partition(b":")[0]))

    async def check_flows(self, flows):
        """Send a request on each flow and check that the same server answers."""

        async def check(number, flow, name):
            answer = await flow.request(b"again %d" % number, timeout=6.0)
            assert answer.partition(b":")[0] == name

        await asyncio.gather(
            *(check(number, *flow) for number, flow in enumerate(flows))
        )


@pytest.fixture
def world(tmp_path):
    scenario_world = World(tmp_path)
    yield scenario_world
    if scenario_world.site is not None:
        scenario_world.run(scenario_world.site.close())
    scenario_world.loop.close()


@pytest_bdd.given("a site with 2 entries, 2 servers of board and 1 of plans")
def _(world):
    world.site = packet_site.PacketSite(world.folder)
    world.run(world.site.start())


@pytest_bdd.given(parsers.parse("{count:d} open flows to {service}"))
def _(world, count, service):
    world.run(world.open_flows(count, service))


@pytest_bdd.when("20 flows to board and 5 to plans send 2 requests each")
def _(world):
    async def send_requests():
        for service, count in (("board", 20), ("plans", 5)):
            for number in range(count):
                flow = await world.site.open_flow(SERVICE_ADDRESSES[service])
                names = {
                    (await flow.request(b"%d/%d" % (number, attempt))).partition(b":")[
                        0
                    ]
                    for attempt in range(2)
                }
                world.answers.append((service, names))
                await flow.close()

    world.run(send_requests())


@pytest_bdd.then("all answers of a flow come from one server of its service")
def _(world):
    services = {s.name.encode(): s.service for s in world.site.servers}
    for service, names in world.answers:
        assert [services[name] for name in names] == [service]


@pytest_bdd.then("no packet reached a server that does not own its flow")
def _(world):
    assert [server.stray_packets for server in world.site.servers] == [0, 0, 0]


@pytest_bdd.when("an entry is killed")
def _(world):
    world.run(world.site.kill(world.site.entries[0]))


@pytest_bdd.then("all open flows continue at their servers")
def _(world):
    world.run(world.check_flows(world.flows))


@pytest_bdd.when("an entry gets SIGTERM")
def _(world):
    world.stopped_at = world.loop.time()
    world.site.signal(world.site.entries[0], signal.SIGTERM)


@pytest_bdd.then("it reports at once that it is not ready")
def _(world):
    async def wait():
        async with asyncio.timeout(0.5):
            while await world.site.is_ready(world.site.entries[0]):
                await asyncio.sleep(0.02)

    world.run(wait())


@pytest_bdd.then(parsers.parse("it has exited within {seconds:d} seconds"))
def _(world, seconds):
    assert world.run(world.site.wait_for_exit(world.site.entries[0])) == 0
    assert world.loop.time() - world.stopped_at < seconds


@pytest_bdd.when("the agent of a board server is killed and restarted")
def _(world):
    async def restart():
        host = world.site.agent_host(world.site.servers[0])
        await world.site.kill(host)
        world.site.restart(host)

    world.run(restart())


@pytest_bdd.when(
    "a board server announces that it is draining", target_fixture="acknowledged"
)
def _(world):
    server = world.site.servers[0]
    server.state = "draining"
    return world.run(server.announce())


@pytest_bdd.then("the announcement is acknowledged")
def _(acknowledged):
    assert acknowledged


@pytest_bdd.when("a board server crashes and a plans server gets its address")
def _(world):
    site = world.site
    world.successor = world.run(site.replace(site.servers[0], "plans"))


@pytest_bdd.then("no flow to board is opened at it in the next second")
def _(world):
    """Guards against an opening packet that is delivered by settings of the past."""

    async def open_flows():
        opening = []
        for _ in range(50):
            flow = world.site.caller.open_flow(packet_site.BOARD)
            opening.append(asyncio.create_task(flow))
            await asyncio.sleep(0.02)
        return await asyncio.gather(*opening, return_exceptions=True)

    world.run(open_flows())
    services = {service for _, service in world.successor.flows}
    assert packet_site.BOARD not in services


@pytest_bdd.then("it gets flows to plans")
def _(world):
    async def open_flows():
        async with asyncio.timeout(FLOWS_SECONDS):
            while not world.successor.accepted_flows:
                await (await world.site.open_flow(packet_site.PLANS)).close()

    world.run(open_flows())


@pytest_bdd.when("a board server is full")
def _(world):
    world.site.servers[0].is_full = True


@pytest_bdd.then("the next 20 flows to board go to the other server")
def _(world):
    async def open_more():
        names = collections.Counter()
        for number in range(20):
            flow = await world.site.open_flow()
            names[(await flow.request(b"more %d" % number)).partition(b":")[0]] += 1
            await flow.close()
        return names

    assert world.run(open_more()) == {b"server-1": 20}


@pytest_bdd.when("a board server and its agent are killed")
def _(world):
    async def kill():
        server = world.site.servers[0]
        host = world.site.agent_host(server)
        world.lost = server.name.encode()
        await server.stop()
        await world.site.kill(host)

    world.run(kill())


async def expect_reset(flow, seconds):
    """Send requests until the flow is reset; fail if that takes longer."""
    async with asyncio.timeout(seconds):
        with pytest.raises(packet_peers.FlowResetError):
            while True:
                await flow.request(b"still there?", timeout=seconds)


@pytest_bdd.then("its callers are reset within 4 seconds")
def _(world):
    lost_flows = [flow for flow, name in world.flows if name == world.lost]
    assert lost_flows

    async def check():
        await asyncio.gather(*(expect_reset(flow, 4.0) for flow in lost_flows))

    world.run(check())
    del world.site.servers[0]


@pytest_bdd.then("the flows of the other server continue")
def _(world):
    remaining = [(flow, name) for flow, name in world.flows if name != world.lost]
    assert remaining
    world.run(world.check_flows(remaining))


@pytest_bdd.when("the route of plans is removed")
def _(world):
    world.site.configure(packet_site.make_configuration(5, (packet_site.BOARD,)))


@pytest_bdd.then("its open flows are reset within 2 seconds")
def _(world):
    async def check():
        await asyncio.gather(*(expect_reset(flow, 2.0) for flow, _ in world.flows))

    world.run(check())


@pytest_bdd.then("a new flow to plans is reset")
def _(world):
    with pytest.raises(packet_peers.FlowResetError):
        world.run(world.site.caller.open_flow(packet_site.PLANS))


@pytest_bdd.when("the route of plans is added again")
def _(world):
    world.site.configure(packet_site.make_configuration(9))


@pytest_bdd.then("a new flow to plans is served")
def _(world):
    async def send_request():
        flow = await world.site.open_flow(packet_site.PLANS, seconds=2.0)
        return await flow.request(b"hello")

    assert world.run(send_request()) == b"server-2:hello"


@pytest_bdd.when("the store stops answering and an entry is killed and restarted")
def _(world):
    async def restart():
        world.site.store.fault = "silent"
        host = world.site.entries[0]
        await world.site.kill(host)
        world.site.restart(host)
        world.site.entries.remove(world.site.entries[1])

    world.run(restart())


@pytest_bdd.then("it serves flows within 3 seconds")
def _(world):
    async def send_request():
        flow = await world.site.open_flow(seconds=3.0)
        await flow.request(b"hello")

    world.run(send_request())


@pytest_bdd.when("an agent of board is restarted with seeds that do not exist")
def _(world):
    async def restart():
        host = world.site.agent_host(world.site.servers[0])
        await world.site.kill(host)
        world.site.restart(host, seeds=["127.0.9.9:1", "127.0.9.10:1"])
        await world.site.servers[1].stop()
        await world.site.kill(world.site.agent_host(world.site.servers[1]))

    world.run(restart())


@pytest_bdd.then("flows to board reach its server within 3 seconds")
def _(world):
    async def send_request():
        flow = await world.site.open_flow(seconds=3.0)
        return await flow.request(b"hello")

    assert world.run(send_request()) == b"server-0:hello"
    del world.site.servers[1]


@pytest_bdd.when("an entry gets SIGHUP with invalid settings and then with valid ones")
def _(world):
    async def reload():
        host = world.site.entries[0]
        path = world.folder / f"{host}.yaml"
        valid_settings = path.read_text()
        path.write_text(
            yaml.safe_dump(yaml.safe_load(valid_settings) | {"seeds": "nonsense"})
        )
        world.site.signal(host, signal.SIGHUP)
        await asyncio.sleep(0.5)
        path.write_text(valid_settings)
        world.site.signal(host, signal.SIGHUP)
        await asyncio.sleep(0.5)

    world.run(reload())


@pytest_bdd.then("it stays ready and has logged both")
def _(world):
    host = world.site.entries[0]
    assert world.run(world.site.is_ready(host))
    logged = [line.get("event_id") for line in world.site.log_lines(host)]
    assert 1006 in logged
    assert 1007 in logged


@pytest_bdd.when(
    "another writer leaves odd entries and sends odd heartbeats to all agents"
)
def _(world):
    async def send():
        odd_entries.leave_in(world.site.store)
        for server in world.site.servers:
            for body in odd_entries.make_heartbeats(
                server.service, server.address, "nothing"
            ):
                assert not await server.put_announcement(body)

    world.run(send())


@pytest_bdd.then("no process has ended or failed")
def _(world):
    site = world.site
    hosts = [*site.entries, *(site.agent_host(server) for server in site.servers)]
    for host in hosts:
        assert site.is_running(host)
        events = {line.get("event_id") for line in site.log_lines(host)}
        assert not events & {1005, 1010, 2004}


@pytest_bdd.when("another writer announces a later start of a board server")
def _(world):
    server = world.site.servers[0]
    odd = packet_peers.make_heartbeat(server.service, server.address, born=1 << 50)
    assert world.run(server.put_announcement(json.dumps(odd).encode(), "odd"))


@pytest_bdd.then("the server gets new flows after 5 intervals")
def _(world):
    server = world.site.servers[0]

    async def open_flows():
        await asyncio.sleep(5 * packet_peers.HEARTBEAT_MILLISECONDS / 1000)
        accepted = server.accepted_flows
        async with asyncio.timeout(FLOWS_SECONDS):
            while server.accepted_flows == accepted:
                await (await world.site.open_flow()).close()

    world.run(open_flows())
