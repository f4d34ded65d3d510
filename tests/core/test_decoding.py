"""Tests that bytes of other writers make no decoder raise an unexpected error."""

from __future__ import annotations

import json

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from cactushall_core import configuration, exceptions, signed_datagram
from cactushall_core.membership import messages as membership_messages
from cactushall_core.once import epoch
from cactushall_platform import calls, operator_keys
from cactushall_platform import configuration as platform_configuration
from tests.core import builders
from tests.standins import odd_entries, packet_peers, packet_site

DEEP_JSON = odd_entries.DEEP_JSON
DEEP_MESSAGE_PACK = b"\x91" * odd_entries.NESTING + b"\xc0"
HEARTBEAT = packet_peers.make_heartbeat("one", "10.128.0.9:8080")
# Documents of other writers, by what decodes them.
JSON_DECODERS = {
    "heartbeat": (lambda data: calls.decode_announcement("i-1", data, 0.0), HEARTBEAT),
    "routes": (
        lambda data: platform_configuration.decode(data, "store"),
        packet_site.make_configuration(),
    ),
    "services": (
        lambda data: configuration.decode(data, "store"),
        {"revision": 1, "services": [], "zones": []},
    ),
    "evacuation": (operator_keys.check_evacuation_value, {"reason": "works"}),
    "epoch": (epoch.decode, {"number": 1, "members": [1, 2]}),
}
ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.sampled_from([10**30, -(10**30), 2**63, 2**64, 1e308, -1e308]),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(),
    strategies.sampled_from(["10.0.0.1:99999", "/99999/", "/-1/", "::1", "1" * 5000]),
    strategies.lists(strategies.integers(), max_size=3),
    strategies.dictionaries(strategies.text(), strategies.integers(), max_size=3),
)


def decode_or_refuse(decode, data):
    """Decode data; only the errors that the decoder documents may come."""
    try:
        decode(data)
    except (exceptions.DecodeError, exceptions.ConfigurationError):
        return


@pytest.mark.parametrize("name", JSON_DECODERS)
def test_a_deeply_nested_value_is_refused(name):
    """Guards against an odd entry that ends the task which reads it."""
    decode, document = JSON_DECODERS[name]
    for field in ("unknown", *document):
        rest = {key: value for key, value in document.items() if key != field}
        head = json.dumps(rest).encode().rstrip(b"}")
        comma = b"," if rest else b""
        data = head + comma + json.dumps(field).encode() + b":" + DEEP_JSON + b"}"
        with pytest.raises((exceptions.DecodeError, exceptions.ConfigurationError)):
            decode(data)
    with pytest.raises((exceptions.DecodeError, exceptions.ConfigurationError)):
        decode(DEEP_JSON)


def test_a_deeply_nested_message_is_refused():
    """Guards against a field of a newer release that ends a receiver's task."""
    request = membership_messages.TableRequest(builders.make_agent(1), b"")
    encoded = msgspec.msgpack.encode(request)
    longer = bytes([encoded[0] + 1]) + encoded[1:] + DEEP_MESSAGE_PACK
    authenticator = membership_messages.make_exchange_authenticator(builders.RING)
    version = membership_messages.VERSION
    datagram = signed_datagram.encode(authenticator, version, msgspec.Raw(longer))
    with pytest.raises(exceptions.DecodeError):
        membership_messages.decode_table_request(authenticator, datagram)
    record = msgspec.msgpack.encode(builders.make_agent(1))
    longer = bytes([record[0] + 1]) + record[1:] + DEEP_MESSAGE_PACK
    with pytest.raises(exceptions.DecodeError):
        membership_messages.decode_table(b"\x91" + longer)


@pytest.mark.parametrize("name", JSON_DECODERS)
@hypothesis.given(data=strategies.data())
def test_a_document_with_an_odd_field_is_decoded_or_refused(name, data):
    """Guards against a number or a type of another writer that ends a task."""
    decode, document = JSON_DECODERS[name]
    odd = _with_odd_field(document, data.draw)
    decode_or_refuse(decode, json.dumps(odd).encode())


@pytest.mark.parametrize("name", JSON_DECODERS)
@hypothesis.given(data=strategies.binary(max_size=200))
def test_bytes_that_cannot_be_read_are_refused(name, data):
    decode, _ = JSON_DECODERS[name]
    decode_or_refuse(decode, data)


def _with_odd_field(document, draw):
    """Return a copy of a document in which one value, at any depth, is odd."""
    if isinstance(document, dict) and document:
        key = draw(strategies.sampled_from(sorted(document)))
        return document | {key: _with_odd_field(document[key], draw)}
    if isinstance(document, list) and document:
        index = draw(strategies.integers(0, len(document) - 1))
        changed = list(document)
        changed[index] = _with_odd_field(changed[index], draw)
        return changed
    return draw(ODD_VALUES)
