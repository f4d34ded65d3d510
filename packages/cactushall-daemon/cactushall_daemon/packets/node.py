"""What entries and agents of the packet transport share.

This is membership, routes, messages about flows, metrics and the store.
"""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import http
import secrets
import socket
import time

from cactushall_core import addresses, adoption, exceptions, identifiers, traffic
from cactushall_core.flows import messages, packets, routes
from cactushall_core.membership import (
    completeness,
    contact_slots,
    records,
    timing,
    zone_states,
)
from cactushall_daemon import (
    configuration_follower,
    contact_service,
    counters,
    discovery,
    events,
    gossip,
    latencies,
    logs,
    metrics,
    sockets,
    tasks,
    unreadable_entries,
)
from cactushall_daemon.config import packet_schema
from cactushall_daemon.packets import evacuation_follower, evacuation_status
from cactushall_platform import configuration, operator_keys, store
from cactushall_rpc import http as http_calls

log = logs.get_logger(__name__)

TIMING = timing.Timing(
    probe_interval=0.5,
    probe_timeout=0.2,
    suspicion_factor=1.5,
    gossip_interval=0.1,
    digest_interval=1.0,
    dead_probe_interval=1.0,
)
FETCH_TIMEOUT_SECONDS = 1.0
TABLE_TIMEOUT_SECONDS = 0.5
CLOSE_WATCH_CHECK_SECONDS = 1.0
# Agents, of which there are many more, find contact points and are none.
CONTACT_ROLES = (records.Role.ENTRY,)
CONFIGURATION_PATH = "/configuration"
MEMBERS_PATH = "/members"
EVACUATIONS_PATH = "/evacuations"

MessageCallback = collections.abc.Callable[[addresses.Address, messages.Message], None]
RoutesCallback = collections.abc.Callable[[routes.RouteTable], None]


def make_member(
    settings: packet_schema.PacketSettings,
    role: records.Role,
    endpoints: tuple[records.Endpoint, ...],
) -> records.Member:
    """Build the member that a starting process announces."""
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
    """A process of the fleet and its connections to the others."""

    def __init__(
        self,
        settings: packet_schema.PacketSettings,
        member: records.Member,
        callbacks: gossip.Callbacks,
        on_routes: RoutesCallback,
        on_message: MessageCallback,
        gauges: metrics.Gauges,
        on_evacuated: evacuation_follower.ZonesCallback = (
            evacuation_follower.ignore_zones
        ),
        count_flows: evacuation_status.FlowCount = evacuation_status.count_no_flows,
    ) -> None:
        """Create the node without binding an address or sending anything.

        Args:
            settings: Settings of the process.
            member: The member that the process announces.
            callbacks: Called on changes of the table of members; the node itself
                fetches configurations.
            on_routes: Called when a newer route table is adopted.
            on_message: Called for each message about flows.
            gauges: Returns the gauges that only this role has, by name.
            on_evacuated: Called with the evacuated zones when they have changed.
            count_flows: Returns how many flows are open in a zone, None if unknown.
        """
        self._count_flows = count_flows
        self._role_peer_calls: dict[str, http_calls.Handler] = {}
        self._on_routes = on_routes
        self._on_message = on_message
        self._counters = counters.Counters()
        self._latencies = latencies.Latencies()
        self._traffic_log_seconds = settings.traffic_log_seconds
        self._role_gauges = gauges
        self._metrics = metrics.Metrics(
            self._counters, self._latencies, self._read_gauges
        )
        self._metrics_address = settings.metrics
        self._seeds = settings.seeds
        self._report_unreadable = unreadable_entries.make_reporter(self._counters)
        self._store = store.KeyValueStore(settings.store, self._report_unreadable)
        self._authenticator = messages.make_authenticator(tuple(settings.keys))
        self._tasks = tasks.Tasks(self._counters)
        self._socket: socket.socket | None = None
        self._http_servers: list[asyncio.Server] = []
        self._evacuations = evacuation_follower.EvacuationFollower(
            asyncio.get_running_loop().time,
            lambda states: self._gossip.membership.set_zone_states(states),
            on_evacuated,
            self._known_zones,
            self._report_unreadable,
        )
        self._follower = configuration_follower.ConfigurationFollower(
            self._store,
            configuration.KEY,
            adoption.Adopter(configuration.decode, routes.EMPTY),
            self._adopt,
            self._fetch_configuration,
            lambda: self._gossip.membership.table.present_count,
            self._tasks,
            self._counters,
        )
        self._follower.observe(operator_keys.PREFIX, self._evacuations)
        self._on_completeness_changed = callbacks.on_completeness_changed
        self._gossip = gossip.GossipEndpoint(
            member,
            tuple(settings.keys),
            self._counters,
            dataclasses.replace(
                callbacks,
                on_revision_seen=self._follower.fetch_if_newer,
                on_completeness_changed=self._handle_completeness,
                on_zone_states=self._handle_zone_states,
            ),
            _request_table,
            self._tasks,
            TIMING,
            may_change_id=True,
        )
        self._discovery = discovery.Discovery(
            self._gossip,
            self._store,
            self._report_unreadable,
            self._follower.record_store_result,
            self._seed_addresses,
        )
        self._contact_service = contact_service.ContactService(
            self._store,
            self._gossip,
            CONTACT_ROLES,
            self._report_unreadable,
            self._follower.record_store_result,
            self._discovery.merge_unknown,
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
        """The process's endpoint of the membership protocol."""
        return self._gossip

    @property
    def route_table(self) -> routes.RouteTable:
        """The route table in force."""
        return self._follower.current

    async def start(self) -> None:
        """Bind all addresses and join the fleet.

        Raises:
            BindError: An address cannot be bound.
        """
        self._gossip.start()
        address = self._gossip.membership.member.control_address
        self._socket = sockets.bind_udp(address)
        sockets.receive_batches(self._socket, self._receive)
        self._tasks.keep_running(self._discovery.run)
        self._tasks.keep_running(self._follower.run)
        await self.serve(address, self._handle_peer_call)
        if self._metrics_address is not None:
            await self.serve(self._metrics_address, self._metrics.handle_call)
        if self._traffic_log_seconds > 0:
            self._tasks.keep_running(self._log_traffic)

    async def serve(
        self, address: addresses.Address, handler: http_calls.Handler
    ) -> None:
        """Serve HTTP calls at an address until the process stops.

        Raises:
            BindError: The address cannot be bound.
        """
        try:
            self._http_servers.append(await http_calls.serve(address, handler))
        except OSError as error:
            raise sockets.BindError(f"cannot bind TCP {address}: {error}") from error

    def answer_peer_calls(self, path: str, handler: http_calls.Handler) -> None:
        """Answer the calls of a path at the peer address, beside those of all roles."""
        self._role_peer_calls[path] = handler

    def serve_as_contact(self) -> None:
        """Act as a contact point that new processes find in the store."""
        self._tasks.keep_running(self._contact_service.run)
        self._tasks.keep_running(self._watch_closely_where_first)

    async def _watch_closely_where_first(self) -> None:
        """Watch the store closely while this is the member of its zone to do so.

        That is the contact point that has run longest, so that another one takes over
        as soon as membership tells that it is gone, whoever holds which slot.
        """
        while True:
            await asyncio.sleep(CLOSE_WATCH_CHECK_SECONDS)
            membership = self._gossip.membership
            first = contact_slots.find_longest_running(
                membership.table, membership.member.zone, CONTACT_ROLES, 1
            )
            self._follower.set_close_watch(membership.member.id in first)

    async def release_contact_slot(self) -> None:
        """Give the slot of a contact point back, so that another one claims it."""
        await self._contact_service.release()

    def stop(self) -> None:
        """Announce the departure, cancel tasks and close all sockets."""
        self._tasks.cancel()
        self._gossip.stop()
        self._store.close()
        for server in self._http_servers:
            server.close()
        if self._socket is not None:
            sockets.close(self._socket)
            self._socket = None

    def reload(self, settings: packet_schema.PacketSettings) -> None:
        """Apply changed settings."""
        self._seeds = settings.seeds

    def spawn(self, coroutine: collections.abc.Coroutine[object, object, None]) -> None:
        """Run a background task until it ends or the process stops."""
        self._tasks.spawn(coroutine)

    def send_message(
        self, address: addresses.Address, message: messages.Message
    ) -> None:
        """Send a message about a flow."""
        self.send_to_all((address,), message)

    def send_to_all(
        self,
        recipients: collections.abc.Iterable[addresses.Address],
        message: messages.Message,
    ) -> None:
        """Send one message to several nodes; it is encoded and signed once."""
        told = messages.tell_sender(message, self._gossip.membership.member.id)
        datagram = messages.encode(self._authenticator, told)
        kind = messages.KINDS[type(message)]
        count = self._counters.traffic.count(traffic.Direction.SENT, kind)
        for address in recipients:
            count.add(len(datagram))
            self.send_datagram(address, datagram)

    def send_datagram(self, address: addresses.Address, datagram: bytes) -> None:
        """Send a datagram from the address that receives messages."""
        if self._socket is not None:
            sockets.send(self._socket, datagram, address, self._counters)

    def count_caller_packet(self, packet: packets.Packet) -> None:
        """Count a received packet of a caller."""
        is_opening = packet.is_opening
        kind = traffic.Kind.OPENINGS if is_opening else traffic.Kind.CALLER_PACKETS
        self._counters.traffic.add(
            traffic.Direction.RECEIVED, kind, len(packet.datagram)
        )

    def _receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        try:
            message = messages.decode(self._authenticator, datagram)
        except exceptions.DecodeError as error:
            self._counters.add(counters.Counter.TUNNEL_REJECTED)
            log.debug(events.Event.MESSAGE_REJECTED, sender=source[0], why=str(error))
            return
        kind = messages.KINDS[type(message)]
        self._counters.traffic.add(traffic.Direction.RECEIVED, kind, len(datagram))
        self._on_message(addresses.Address(*source), message)

    def _seed_addresses(self) -> list[addresses.Address]:
        """Return the control addresses of the seeds; ports are the same on all VMs."""
        port = self._gossip.membership.member.control_port
        return [addresses.Address(seed.host, port) for seed in self._seeds]

    # Metrics.

    def _read_gauges(self) -> dict[str, float]:
        return self._role_gauges() | {
            "configuration_revision": self.route_table.revision,
            "members_present": self._gossip.membership.table.present_count,
            "evacuated_zones": len(self._evacuations.evacuated),
        }

    # Evacuations.

    @property
    def evacuated(self) -> evacuation_follower.Zones:
        """The evacuated availability zones."""
        return self._evacuations.evacuated

    def _handle_zone_states(
        self, states: zone_states.ZoneStates, source: addresses.Address
    ) -> None:
        self._evacuations.merge(states, str(source))
        self._follower.schedule_read()

    def _handle_completeness(self, evidence: completeness.Evidence | None) -> None:
        self._on_completeness_changed(evidence)
        self._evacuations.check_zones()

    def _known_zones(self) -> evacuation_follower.Zones | None:
        """Return the zones of all members, None where some may not be known."""
        if not self._gossip.membership.is_complete:
            return None
        return frozenset(r.member.zone for r in self._gossip.membership.table)

    def _render_evacuations(self) -> bytes:
        return evacuation_status.render(self._evacuations.states, self._count_flows)

    # Configuration.

    def fetch_configuration_from(self, peer: addresses.Address) -> None:
        """Fetch the configuration from a member if none is in force here yet."""
        for record in self._gossip.membership.table:
            if record.member.control_address == peer and record.is_present:
                self._follower.fetch_initial_from(record.member)
                return

    def _adopt(self, route_table: routes.RouteTable) -> None:
        for finding in route_table.findings:
            log.error(
                events.Event.CONFIGURATION_FIELD_REFUSED,
                revision=route_table.revision,
                why=str(finding),
            )
        self._gossip.membership.set_revision(route_table.revision)
        self._on_routes(route_table)

    async def _log_traffic(self) -> None:
        """Log the bytes of each interval by kind."""
        interval = traffic.IntervalBytes(self._counters.traffic)
        while True:
            await asyncio.sleep(self._traffic_log_seconds)
            grown = interval.take()
            log.info(
                events.Event.TRAFFIC,
                sent_bytes=grown[traffic.Direction.SENT],
                received_bytes=grown[traffic.Direction.RECEIVED],
            )

    def _count_configuration(self, direction: traffic.Direction, value: bytes) -> None:
        self._counters.traffic.add(direction, traffic.Kind.CONFIGURATION, len(value))

    async def _fetch_configuration(self, member: records.Member) -> bytes:
        response = await http_calls.get(
            member.control_address, CONFIGURATION_PATH, FETCH_TIMEOUT_SECONDS
        )
        self._count_configuration(traffic.Direction.RECEIVED, response.body)
        return response.body

    def _handle_peer_call(
        self, request: http_calls.Request
    ) -> http_calls.Response | collections.abc.Awaitable[http_calls.Response]:
        if request.path == CONFIGURATION_PATH:
            value = self._follower.value
            self._count_configuration(traffic.Direction.SENT, value)
            return http_calls.Response(body=value)
        if request.path == EVACUATIONS_PATH:
            return http_calls.Response(body=self._render_evacuations())
        if request.path == MEMBERS_PATH:
            return self._handle_table_request(request)
        if request.path in self._role_peer_calls:
            return self._role_peer_calls[request.path](request)
        return http_calls.Response(http.HTTPStatus.NOT_FOUND)

    def _handle_table_request(self, request: http_calls.Request) -> http_calls.Response:
        try:
            return http_calls.Response(
                body=self._gossip.handle_table_request(request.body)
            )
        except exceptions.DecodeError:
            return http_calls.Response(http.HTTPStatus.BAD_REQUEST)


async def _request_table(address: addresses.Address, data: bytes) -> bytes:
    response = await http_calls.call(
        address, "POST", MEMBERS_PATH, data, TABLE_TIMEOUT_SECONDS
    )
    return response.body
