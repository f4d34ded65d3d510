"""What every daemon of this transport has: membership, routes, messages, store."""

from __future__ import annotations

import asyncio
import collections.abc
import http
import secrets
import socket
import time

from cactushall_core import addresses, adoption, exceptions, identifiers
from cactushall_core.flows import messages, routes
from cactushall_core.membership import records, state
from cactushall_daemon import (
    contacts,
    counters,
    events,
    following,
    gossip,
    latencies,
    logs,
    metrics,
    sockets,
    tasks,
    unreadable,
)
from cactushall_daemon.config import packet_schema
from cactushall_platform import configuration, store
from cactushall_rpc import http as http_calls

log = logs.get_logger(__name__)

TIMING = state.Timing(
    probe_interval=0.5,
    probe_timeout=0.2,
    suspicion_factor=1.5,
    gossip_interval=0.1,
    digest_interval=1.0,
    revival_interval=1.0,
)
JOIN_RETRY_SECONDS = 0.1
JOINED_CHECK_SECONDS = 0.5
REPEATED_JOINS = 4
STORE_ATTEMPT = 4
CONTACT_REFRESH_SECONDS = 10.0
FETCH_TIMEOUT_SECONDS = 1.0
CONFIGURATION_PATH = "/configuration"

MessageReceiver = collections.abc.Callable[[addresses.Address, messages.Message], None]
RoutesAdopted = collections.abc.Callable[[routes.RouteTable], None]


def make_member(
    settings: packet_schema.PacketSettings,
    role: records.Role,
    endpoints: tuple[records.Endpoint, ...],
) -> records.Member:
    """Return what a starting process says of itself."""
    return records.Member(
        id=records.make_member_id(time.time(), secrets.randbits(32)),
        name=identifiers.NodeName(settings.node),
        role=role,
        zone=identifiers.ZoneName(settings.zone),
        host=settings.address,
        gossip_port=settings.gossip_port,
        control_port=settings.peer_port,
        tunnel_port=settings.packet_address.port,
        endpoints=endpoints,
    )


class Node:
    """A process among the others."""

    def __init__(
        self,
        settings: packet_schema.PacketSettings,
        member: records.Member,
        on_member_changed: gossip.MemberChanged,
        on_routes: RoutesAdopted,
        on_message: MessageReceiver,
        gauges: metrics.Gauges,
    ) -> None:
        """Prepare; nothing is sent yet.

        Args:
            settings: Settings of the process.
            member: What the process says of itself.
            on_member_changed: Called when what is believed of a member changes.
            on_routes: Called when newer routes are adopted.
            on_message: Called for each message about flows.
            gauges: Returns the role's own present values for the metrics, by name.
        """
        self._on_routes = on_routes
        self._on_message = on_message
        self._counters = counters.Counters()
        self._latencies = latencies.Latencies()
        self._own_gauges = gauges
        self._metrics = metrics.Metrics(self._counters, self._latencies, self._gauges)
        self._metrics_address = settings.metrics
        self._seeds = settings.seeds
        self._note_unreadable = unreadable.noter(self._counters)
        self._store = store.KeyValueStore(settings.store, self._note_unreadable)
        self._authenticator = messages.make_authenticator(tuple(settings.keys))
        self._tasks = tasks.Tasks()
        self._socket: socket.socket | None = None
        self._servers: list[asyncio.Server] = []
        self._follower = following.Follower(
            self._store,
            configuration.KEY,
            adoption.Adopter(configuration.decode, routes.EMPTY),
            self._adopt,
            _fetch_configuration,
            lambda: self._gossip.membership.table.present_count,
            self._tasks,
            self._counters,
        )
        self._gossip = gossip.GossipEndpoint(
            member,
            tuple(settings.keys),
            self._counters,
            on_member_changed,
            self._follower.note_revision,
            TIMING,
        )

    @property
    def counters(self) -> counters.Counters:
        """The process's counters."""
        return self._counters

    @property
    def latencies(self) -> latencies.Latencies:
        """The process's latencies."""
        return self._latencies

    @property
    def gossip(self) -> gossip.GossipEndpoint:
        """The process's place in the membership protocol."""
        return self._gossip

    @property
    def route_table(self) -> routes.RouteTable:
        """The routes in force."""
        return self._follower.current

    async def start(self) -> None:
        """Take part in the fleet.

        Raises:
            BindError: An address cannot be bound.
        """
        self._gossip.start()
        address = self._gossip.membership.member.control_address
        self._socket = sockets.bind_udp(address)
        sockets.receive_batches(self._socket, self._receive)
        self.spawn(self._stay_joined())
        self.spawn(self._follower.run())
        await self.serve(address, self._answer)
        if self._metrics_address is not None:
            await self.serve(self._metrics_address, self._metrics.answer)

    async def serve(
        self, address: addresses.Address, handler: http_calls.Handler
    ) -> None:
        """Serve HTTP calls at an address until the process stops.

        Raises:
            BindError: The address cannot be bound.
        """
        try:
            self._servers.append(await http_calls.serve(address, handler))
        except OSError as error:
            raise sockets.BindError(f"cannot bind TCP {address}: {error}") from error

    def serve_as_contact(self) -> None:
        """Be found in the store by new processes."""
        member = self._gossip.membership.member
        self.spawn(
            contacts.serve(
                self._store,
                member,
                member.gossip_address,
                self._follower.note_store,
                lambda: [self._refresh_contacts()],
            )
        )

    def stop(self) -> None:
        """Say goodbye and release everything."""
        self._tasks.cancel()
        self._gossip.stop()
        self._store.close()
        for server in self._servers:
            server.close()
        if self._socket is not None:
            sockets.close(self._socket)
            self._socket = None

    def reload(self, settings: packet_schema.PacketSettings) -> None:
        """Use what has changed in the settings."""
        self._seeds = settings.seeds

    def spawn(self, work: collections.abc.Coroutine[object, object, None]) -> None:
        """Run a task until it ends or the process stops."""
        self._tasks.spawn(work)

    def tell(self, address: addresses.Address, message: messages.Message) -> None:
        """Send a message about a flow."""
        self.send(address, messages.encode(self._authenticator, message))

    def send(self, address: addresses.Address, datagram: bytes) -> None:
        """Send a datagram from the address at which messages are received."""
        if self._socket is not None:
            sockets.send(self._socket, datagram, address, self._counters)

    def _receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        try:
            message = messages.decode(self._authenticator, datagram)
        except exceptions.DecodeError as error:
            self._counters.add(counters.Counter.TUNNEL_REJECTED)
            log.debug(events.Event.MESSAGE_REJECTED, sender=source[0], why=str(error))
            return
        self._on_message(addresses.Address(*source), message)

    # Members.

    async def _stay_joined(self) -> None:
        """Ask seeds and contact points for members whenever this process is alone.

        Joins are repeated for a while after a start, since all processes may have
        started at once and in any order.
        """
        joins_left = REPEATED_JOINS
        found: list[addresses.Address] = []
        while True:
            is_alone = self._gossip.membership.table.present_count <= 1
            if is_alone and joins_left % STORE_ATTEMPT == 0:
                self._gossip.join(self._seed_addresses())
                found = await self._stored_contacts()
            if is_alone or joins_left > 0:
                joins_left -= 1
                self._gossip.join({*self._seed_addresses(), *found})
                await asyncio.sleep(JOIN_RETRY_SECONDS)
            else:
                await asyncio.sleep(JOINED_CHECK_SECONDS)

    def _seed_addresses(self) -> list[addresses.Address]:
        """Return the gossip addresses of the seeds; ports are the same on all VMs."""
        port = self._gossip.membership.member.gossip_port
        return [addresses.Address(seed.host, port) for seed in self._seeds]

    async def _stored_contacts(self) -> list[addresses.Address]:
        return await contacts.read_if_available(
            self._store, self._note_unreadable, self._follower.note_store
        )

    async def _refresh_contacts(self) -> None:
        """Meet the other contact points, so that no two islands form."""
        while True:
            await asyncio.sleep(CONTACT_REFRESH_SECONDS)
            table = self._gossip.membership.table
            known = {r.member.gossip_address for r in table if r.is_present}
            found = await self._stored_contacts()
            self._gossip.join(address for address in found if address not in known)

    # Metrics.

    def _gauges(self) -> dict[str, float]:
        return self._own_gauges() | {
            "configuration_revision": self.route_table.revision,
            "members_present": self._gossip.membership.table.present_count,
        }

    # Configuration.

    def ask_for_configuration(self, peer: addresses.Address) -> None:
        """Fetch the configuration from a member that must have one."""
        for record in self._gossip.membership.table:
            if record.member.control_address == peer and record.is_present:
                self._follower.want_from(record.member)
                return

    def _adopt(self, adopted: routes.RouteTable) -> None:
        self._gossip.membership.set_revision(adopted.revision)
        self._on_routes(adopted)

    def _answer(self, request: http_calls.Request) -> http_calls.Response:
        if request.path == CONFIGURATION_PATH:
            return http_calls.Response(body=self._follower.value)
        return http_calls.Response(http.HTTPStatus.NOT_FOUND)


async def _fetch_configuration(member: records.Member) -> bytes:
    address = member.control_address
    answer = await http_calls.call_once(
        address, CONFIGURATION_PATH, FETCH_TIMEOUT_SECONDS
    )
    return answer.body
