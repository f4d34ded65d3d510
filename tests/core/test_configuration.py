"""Tests of service configurations and their adoption."""

from __future__ import annotations

import pytest

from cactushall_core import adoption, configuration, exceptions, identifiers
from tests.core import builders


def make_configuration(revision, *services):
    return configuration.Configuration(identifiers.Revision(revision), services)


def make_service(name=builders.SWAP_DESK, address="192.0.2.1:443", **fields):
    return configuration.Service(name, address, **fields)


def test_configuration_survives_encoding():
    original = make_configuration(3, make_service())
    assert configuration.decode(configuration.encode(original), "store") == original


def test_all_errors_are_reported_together():
    invalid = make_configuration(
        1,
        make_service(address="nowhere", deadline_seconds=0),
        make_service(idle_timeout_seconds=-1, address="192.0.2.1:443"),
        make_service(name="", address="192.0.2.1:443"),
    )
    with pytest.raises(exceptions.ConfigurationError) as caught:
        configuration.decode(configuration.encode(invalid), "store")
    text = str(caught.value)
    for expected in (
        "services.0: error: address",
        "services.0: error: deadline_seconds",
        "services.1: error: idle_timeout_seconds",
        "services.1: error: name 'swap-desk' is used twice",
        "services.2: error: a name has",
        "services.2: error: address 192.0.2.1:443 belongs to 'swap-desk'",
    ):
        assert expected in text


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"revision":"x"}'])
def test_malformed_value_is_refused(value):
    with pytest.raises(exceptions.ConfigurationError):
        configuration.decode(value, "store")


@pytest.mark.parametrize("revision", [-1, 10**30])
def test_a_revision_that_no_message_can_carry_is_refused(revision):
    """Guards against a member that can send no datagram any more."""
    value = configuration.encode(make_configuration(revision))
    with pytest.raises(exceptions.ConfigurationError, match="revision"):
        configuration.decode(value, "store")


def test_oversized_value_is_refused():
    with pytest.raises(exceptions.ConfigurationError, match="exceed"):
        configuration.decode(b" " * (configuration.MAX_VALUE_BYTES + 1), "store")


def test_only_newer_configurations_are_adopted():
    adopter = adoption.service_adopter()
    second = configuration.encode(make_configuration(2, make_service()))
    assert isinstance(adopter.offer(second, "store"), adoption.Adopted)
    for revision in (1, 2):
        older = configuration.encode(make_configuration(revision))
        assert adopter.offer(older, "peer") == adoption.NotNewer()
    assert adopter.current.revision == 2
    assert adopter.value == second


def test_invalid_configuration_leaves_the_old_one_in_force():
    adopter = adoption.service_adopter()
    adopter.offer(configuration.encode(make_configuration(1, make_service())), "store")
    invalid = configuration.encode(
        make_configuration(2, make_service(address="nowhere"))
    )
    assert isinstance(adopter.offer(invalid, "store"), adoption.Invalid)
    assert adopter.current.revision == 1
