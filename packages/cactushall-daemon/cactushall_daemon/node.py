"""What entries and agents of the QUIC transport share.

This is membership, configuration, the control service and the store.
"""

from __future__ import annotations

import collections.abc
import functools
import secrets
import time

import grpclib.server

from cactushall_core import addresses, adoption, configuration, identifiers
from cactushall_core.membership import records
from cactushall_daemon import (
    configuration_follower,
    contact_service,
    control,
    counters,
    discovery,
    gossip,
    sockets,
    tasks,
    unreadable_entries,
)
from cactushall_daemon.config import schema
from cactushall_rpc import control as control_client
from cactushall_rpc import store, store_keys

ServiceConfiguration = configuration.Configuration
ConfigurationCallback = collections.abc.Callable[[ServiceConfiguration], None]


def make_member(
    settings: schema.NodeSettings,
    role: records.Role,
    tunnel_port: int,
    make_endpoints: collections.abc.Callable[
        [identifiers.MemberId], tuple[records.Endpoint, ...]
    ],
) -> records.Member:
    """Build the member that a starting process announces.

    Args:
        settings: Settings of the process.
        role: Its role.
        tunnel_port: Port of its tunnel, 0 without one.
        make_endpoints: Returns its endpoints for its member id.
    """
    member_id = records.make_member_id(time.time(), secrets.randbits(32))
    return records.Member(
        member_id,
        identifiers.NodeName(settings.node),
        role,
        identifiers.ZoneName(settings.zone),
        settings.address,
        settings.gossip_port,
        settings.control_port,
        tunnel_port,
        make_endpoints(member_id),
    )


class Node:
    """A process of the fleet and its connections to the others."""

    def __init__(
        self,
        settings: schema.NodeSettings,
        member: records.Member,
        on_member_changed: gossip.MemberCallback,
        on_configuration: ConfigurationCallback,
        agent_handlers: control.AgentHandlers,
    ) -> None:
        """Create the node without binding an address or sending anything.

        Args:
            settings: Settings of the process.
            member: The member that the process announces.
            on_member_changed: Called when the record of a member changes.
            on_configuration: Called when a configuration is adopted.
            agent_handlers: Handlers of the control calls that only agents serve.
        """
        self._settings = settings
        self._on_configuration = on_configuration
        self._counters = counters.Counters()
        credentials = settings.credentials()
        self._client = control_client.Client(control_client.client_context(credentials))
        self._server_context = control_client.server_context(credentials)
        self._store = store.Store(tuple(settings.store))
        self._report_unreadable = unreadable_entries.make_reporter(self._counters)
        self._tasks = tasks.Tasks(self._counters)
        self._follower = configuration_follower.ConfigurationFollower(
            self._store,
            store_keys.CONFIGURATION,
            adoption.service_adopter(),
            self._adopt,
            lambda member: self._client.configuration(member.control_address),
            lambda: self._gossip.membership.table.present_count,
            self._tasks,
            self._counters,
        )
        self._gossip = gossip.GossipEndpoint(
            member,
            tuple(settings.key_files),
            self._counters,
            gossip.Callbacks(on_member_changed, self._follower.fetch_if_newer),
            self._request_table,
            self._tasks,
        )
        self._discovery = discovery.Discovery(
            self._gossip,
            self._store,
            self._report_unreadable,
            self._follower.record_store_result,
            lambda: list(self._settings.contacts),
        )
        # A contact point watches the store for the fleet.
        follow = functools.partial(self._tasks.run_again, self._follower.run)
        self._contact_service = contact_service.ContactService(
            self._store,
            self._gossip,
            tuple(records.Role),
            self._report_unreadable,
            self._follower.record_store_result,
            self._discovery.merge_unknown,
            (follow,),
        )
        view = control.NodeView(
            snapshot=self._gossip.membership.snapshot,
            handle_table_request=self._gossip.handle_table_request,
            configuration=lambda: self._follower.value,
            revision=lambda: self._follower.current.revision,
            agent_handlers=agent_handlers,
            process_counters=self._counters,
            member=lambda: self._gossip.membership.member,
        )
        self._control = grpclib.server.Server([control.ControlService(view)])

    @property
    def counters(self) -> counters.Counters:
        """The process's counters."""
        return self._counters

    @property
    def client(self) -> control_client.Client:
        """Client for control calls to other processes."""
        return self._client

    @property
    def store(self) -> store.Store:
        """The key-value store."""
        return self._store

    @property
    def gossip(self) -> gossip.GossipEndpoint:
        """The process's endpoint of the membership protocol."""
        return self._gossip

    @property
    def configuration(self) -> configuration.Configuration:
        """The configuration in force."""
        return self._follower.current

    async def start(self) -> None:
        """Bind all addresses and join the fleet.

        Raises:
            BindError: An address cannot be bound.
        """
        self._gossip.start()
        address = self._gossip.membership.member.control_address
        try:
            await self._control.start(
                address.host, address.port, ssl=self._server_context
            )
        except OSError as error:
            raise sockets.BindError(f"cannot bind TCP {address}: {error}") from error
        self.keep_running(self._discovery.run)
        if self._settings.store:
            self.keep_running(self._contact_service.run)

    def reload(self, settings: schema.NodeSettings) -> None:
        """Apply the contact points of changed settings."""
        self._settings = settings

    async def stop(self) -> None:
        """Announce the departure, cancel tasks and close all sockets."""
        await self._contact_service.release()
        await self._tasks.stop()
        self._gossip.stop()
        self._store.close()
        self._control.close()
        await self._control.wait_closed()

    def keep_running(self, run: tasks.Run) -> None:
        """Run a background task as long as the process, anew after each error."""
        self._tasks.keep_running(run)

    async def _request_table(self, address: addresses.Address, data: bytes) -> bytes:
        response = await self._client.synchronize(address, data)
        self._follower.offer(response.configuration, str(address))
        return response.table

    def _adopt(self, adopted: ServiceConfiguration) -> None:
        self._gossip.membership.set_revision(adopted.revision)
        self._on_configuration(adopted)
