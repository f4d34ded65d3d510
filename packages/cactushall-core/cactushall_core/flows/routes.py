"""Routes: which services may get the flows to a service address."""

from __future__ import annotations

import enum
import typing

import msgspec

from cactushall_core import findings, identifiers, rendezvous
from cactushall_core.flows import packets

DEFAULT_IDLE_TIMEOUT_SECONDS = 15.0


class Repeatability(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class ServiceAddress(typing.NamedTuple):
    """IPv4 address, as an integer, and port that callers send to."""

    host: int
    port: int


def address_of(flow: packets.FlowId) -> ServiceAddress:
    """Return the service address that the caller of a flow sends to."""
    return ServiceAddress(flow.service_host, flow.service_port)


class Share(typing.NamedTuple):
    """A service's share of the new flows of a route."""

    service: identifiers.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A service address and the services behind it.

    Attributes:
        name: Name for logs.
        address: The address that callers send to.
        shares: Services whose weights are above 0.
        repeatability: Whether its requests may run more than once.
        timeout_seconds: Longest time that a request may take.
        objective_seconds: Time in which a request should be answered, 0 for no limit.
        priority: Priority; 0 is the highest.
    """

    name: str
    address: ServiceAddress
    shares: tuple[Share, ...]
    repeatability: Repeatability = Repeatability.ONCE
    timeout_seconds: float = 0.0
    objective_seconds: float = 0.0
    priority: int = 0

    def service_of(self, flow: packets.FlowId) -> identifiers.ServiceName:
        """Return the service that a new flow belongs to; all nodes agree on it."""
        if len(self.shares) == 1:
            return self.shares[0].service
        key = repr(tuple(flow)).encode()
        indexed = list(enumerate(self.shares))
        best = rendezvous.rank(
            key, indexed, lambda item: item[0], lambda item: item[1].weight, 1
        )
        return best[0][1].service

    def allows(self, service: identifiers.ServiceName) -> bool:
        """Return whether a service may get new flows of this route."""
        return any(share.service == service for share in self.shares)


class ColdLimit(msgspec.Struct, frozen=True):
    """How many requests a backend server can handle shortly after its start.

    Attributes:
        seconds: How long it is cold after its start.
        requests_per_second: Rate of requests that it can handle meanwhile.
    """

    seconds: float
    requests_per_second: float


class RouteTable(msgspec.Struct, frozen=True):
    """All routes at one revision.

    Attributes:
        revision: Revision of the configuration; 0 before the first one is received.
        routes: Routes by service address.
        health_paths: Path of the health check of each service.
        idle_timeout_seconds: Time without packets after which a flow may be forgotten.
        cold_limits: Limits of cold backend servers, of the services that have any.
        findings: What is wrong with fields that were left out.
    """

    revision: identifiers.Revision = identifiers.Revision(0)
    routes: typing.Mapping[ServiceAddress, Route] = msgspec.field(default_factory=dict)
    health_paths: typing.Mapping[identifiers.ServiceName, str] = msgspec.field(
        default_factory=dict
    )
    idle_timeout_seconds: float = DEFAULT_IDLE_TIMEOUT_SECONDS
    cold_limits: typing.Mapping[identifiers.ServiceName, ColdLimit] = msgspec.field(
        default_factory=dict
    )
    findings: tuple[findings.Finding, ...] = ()

    @property
    def is_known(self) -> bool:
        """Whether a configuration has been received."""
        return self.revision > 0

    def find(self, flow: packets.FlowId) -> Route | None:
        """Return the route of a flow, None where there is none."""
        return self.routes.get(address_of(flow))


EMPTY = RouteTable()
