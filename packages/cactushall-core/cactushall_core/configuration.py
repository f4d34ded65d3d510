"""The service configuration that operators apply, and its validation.

The store holds it as one JSON value of at most 1 MB. It does not list backend
servers; agents announce those.
"""

from __future__ import annotations

import ipaddress

import msgspec

from cactushall_core import addresses, decoding, exceptions, findings, identifiers

MAX_VALUE_BYTES = 1_000_000
MAX_NAME_LENGTH = 63
DEFAULT_DEADLINE_SECONDS = 10.0
DEFAULT_IDLE_TIMEOUT_SECONDS = 60.0


class Service(msgspec.Struct, frozen=True):
    """One service.

    Attributes:
        name: Unique name.
        address: IP address and port at which callers reach it.
        deadline_seconds: Time in which a request must be answered, unless the
            caller sets a shorter one.
        idle_timeout_seconds: Time without packets after which a flow is closed.
    """

    name: identifiers.ServiceName
    address: str
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS
    idle_timeout_seconds: float = DEFAULT_IDLE_TIMEOUT_SECONDS

    @property
    def service_address(self) -> addresses.Address:
        """The parsed address."""
        return addresses.parse(self.address)


class Zone(msgspec.Struct, frozen=True):
    """An availability zone.

    Attributes:
        name: Unique name.
        caller_networks: Networks of the callers that the zone is nearest to.
    """

    name: identifiers.ZoneName
    caller_networks: tuple[str, ...] = ()


class Configuration(msgspec.Struct, frozen=True):
    """All services at one revision.

    Attributes:
        revision: Grows by one with each confirmed change.
        services: The services.
        zones: Availability zones and their callers; callers of no zone may be served
            anywhere.
        drained_nodes: Agents whose backend servers take no new work.
        closed_zones: Availability zones whose backend servers take no new work.
    """

    revision: identifiers.Revision = identifiers.Revision(0)
    services: tuple[Service, ...] = ()
    zones: tuple[Zone, ...] = ()
    drained_nodes: tuple[identifiers.NodeName, ...] = ()
    closed_zones: tuple[identifiers.ZoneName, ...] = ()

    def is_drained(
        self, node: identifiers.NodeName, zone: identifiers.ZoneName
    ) -> bool:
        """Return whether operators have drained an agent or closed its zone."""
        return node in self.drained_nodes or zone in self.closed_zones

    def service(self, name: identifiers.ServiceName) -> Service | None:
        """Return the service with the given name, None where there is none."""
        return next((s for s in self.services if s.name == name), None)


EMPTY = Configuration()

_decoder = msgspec.json.Decoder(Configuration, strict=True)


def encode(configuration: Configuration) -> bytes:
    """Encode a configuration in its stored form."""
    return msgspec.json.encode(configuration)


def decode(value: bytes, source: str) -> Configuration:
    """Decode a configuration and validate all of it.

    Args:
        value: The stored value.
        source: Where the value came from, for error messages.

    Raises:
        ConfigurationError: The value is malformed or has errors; the message
            lists all of them.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise exceptions.ConfigurationError(
            f"{source}: {len(value)} bytes exceed the limit of {MAX_VALUE_BYTES}"
        )
    try:
        configuration = decoding.decode(_decoder, value)
    except exceptions.DecodeError as error:
        raise exceptions.ConfigurationError(f"{source}: {error}") from error
    found = validate(configuration, source)
    if findings.has_errors(found):
        raise exceptions.ConfigurationError("\n".join(map(str, found)))
    return configuration


def validate(configuration: Configuration, source: str) -> list[findings.Finding]:
    """Return all findings of a configuration.

    Args:
        configuration: What to validate.
        source: Where it came from, for error messages.
    """
    found: list[findings.Finding] = []
    if not 0 <= configuration.revision <= decoding.MAX_INTEGER:
        message = f"must be 0 to {decoding.MAX_INTEGER}"
        found.append(_error(source, "revision", message))
    names: set[str] = set()
    names_by_address: dict[str, str] = {}
    for index, service in enumerate(configuration.services):
        key = f"services.{index}"
        errors = _validate_service(service)
        if service.name in names:
            errors.append(f"name {service.name!r} is used twice")
        if service.address in names_by_address:
            other = names_by_address[service.address]
            errors.append(f"address {service.address} belongs to {other!r} already")
        names.add(service.name)
        names_by_address[service.address] = service.name
        found += [_error(source, key, message) for message in errors]
    for index, zone in enumerate(configuration.zones):
        key = f"zones.{index}.caller_networks"
        found += [_error(source, key, message) for message in _validate_zone(zone)]
    return found


def _validate_zone(zone: Zone) -> list[str]:
    errors = []
    for network in zone.caller_networks:
        try:
            ipaddress.ip_network(network)
        except ValueError as error:
            errors.append(str(error))
    return errors


def _validate_service(service: Service) -> list[str]:
    errors = []
    if not 0 < len(service.name) <= MAX_NAME_LENGTH:
        errors.append(f"a name has 1 to {MAX_NAME_LENGTH} characters")
    try:
        addresses.parse(service.address)
    except ValueError as error:
        errors.append(f"address: {error}")
    if service.deadline_seconds <= 0:
        errors.append("deadline_seconds must be above 0")
    if service.idle_timeout_seconds <= 0:
        errors.append("idle_timeout_seconds must be above 0")
    return errors


def _error(source: str, key: str, message: str) -> findings.Finding:
    place = findings.Place(source, 0, key)
    return findings.Finding(findings.Severity.ERROR, place, message)
