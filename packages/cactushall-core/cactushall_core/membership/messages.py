"""Messages of the membership protocol and their encoding."""

from __future__ import annotations

import msgspec

from cactushall_core import decoding, identifiers, keys, signed_datagram, traffic
from cactushall_core.membership import records, zone_states

VERSION = 1

_EXCHANGE_CONTEXT = b"table"


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks the target for an acknowledgement."""

    sequence: int
    target: identifiers.MemberId


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Acknowledges a probe."""

    sequence: int


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a third member to probe the target."""

    sequence: int
    target: identifiers.MemberId


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Carries only updates."""


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Hashes of the sender's table, 4 bytes for each bucket."""

    buckets: bytes


class BucketEntry(msgspec.Struct, frozen=True, array_like=True):
    """Version of one record."""

    id: identifiers.MemberId
    incarnation: int
    status: records.Status


class BucketSummary(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Versions of all records in one bucket of the sender's table."""

    bucket: int
    entries: tuple[BucketEntry, ...]


class RecordRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks for whole records."""

    ids: tuple[identifiers.MemberId, ...]


Body = Probe | Ack | IndirectProbe | Gossip | Digest | BucketSummary | RecordRequest

KINDS = {
    Probe: traffic.Kind.PROBES,
    Ack: traffic.Kind.PROBES,
    IndirectProbe: traffic.Kind.PROBES,
    Gossip: traffic.Kind.GOSSIP,
    Digest: traffic.Kind.REPAIRS,
    BucketSummary: traffic.Kind.REPAIRS,
    RecordRequest: traffic.Kind.REPAIRS,
}


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One datagram.

    Attributes:
        sender: Id of the sender.
        revision: Revision of the sender's service configuration.
        body: The message.
        updates: Updates about members.
        zone_states: States of availability zones, as far as there is room.
    """

    sender: identifiers.MemberId
    revision: identifiers.Revision
    body: Body
    updates: tuple[records.Update, ...] = ()
    zone_states: zone_states.ZoneStates = ()


class TableRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a member, over a connection, for all records that the sender lacks.

    Attributes:
        sender: Record of the sender.
        digest: Digest of the sender's table.
        records: Records that the receiver may lack.
    """

    sender: records.Record
    digest: bytes
    records: tuple[records.Record, ...] = ()


class TableReply(msgspec.Struct, frozen=True, array_like=True):
    """Answers a request for a table.

    Attributes:
        is_complete: Whether the table of the member that answers is complete.
        knew_sender: Whether that member had heard of the sender before the request.
        records: All records in the buckets whose hashes differ.
        revision: Revision of that member's service configuration; 0 where it has none.
        zone_states: States of availability zones.
    """

    is_complete: bool
    knew_sender: bool
    records: tuple[records.Record, ...]
    revision: identifiers.Revision = identifiers.Revision(0)
    zone_states: zone_states.ZoneStates = ()


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(TableRequest)
_reply_decoder = msgspec.msgpack.Decoder(TableReply)
_decoder = msgspec.msgpack.Decoder(Packet)
_table_decoder = msgspec.msgpack.Decoder(tuple[records.Record, ...])


def make_authenticator(key_ring: tuple[keys.Key, ...]) -> keys.Authenticator:
    """Return the authenticator for membership datagrams."""
    return keys.Authenticator(
        key_ring, keys.Purpose.GOSSIP, b"", signed_datagram.TAG_BYTES
    )


def make_exchange_authenticator(key_ring: tuple[keys.Key, ...]) -> keys.Authenticator:
    """Return the authenticator for exchanges of tables."""
    return keys.Authenticator(
        key_ring, keys.Purpose.GOSSIP, _EXCHANGE_CONTEXT, signed_datagram.TAG_BYTES
    )


def encode(authenticator: keys.Authenticator, packet: Packet) -> bytes:
    """Encode and sign one datagram."""
    return signed_datagram.encode(authenticator, VERSION, packet)


def decode(authenticator: keys.Authenticator, datagram: bytes) -> Packet:
    """Decode and verify one datagram.

    Raises:
        DecodeError: The datagram is malformed.
        AuthenticationError: The authentication tag is invalid.
    """
    return signed_datagram.decode(authenticator, VERSION, datagram, _decoder)


def encoded_size(update: records.Update) -> int:
    """Return the number of bytes that an update takes in a datagram."""
    return len(_encoder.encode(update))


def encode_exchange(
    authenticator: keys.Authenticator, message: TableRequest | TableReply
) -> bytes:
    """Encode and sign a request for a table or the answer to one."""
    return signed_datagram.encode(authenticator, VERSION, message)


def decode_table_request(
    authenticator: keys.Authenticator, data: bytes
) -> TableRequest:
    """Decode and verify a request for a table.

    Raises:
        DecodeError: The data is malformed.
        AuthenticationError: The authentication tag is invalid.
    """
    return signed_datagram.decode(authenticator, VERSION, data, _request_decoder)


def decode_table_reply(authenticator: keys.Authenticator, data: bytes) -> TableReply:
    """Decode and verify the answer to a request for a table.

    Raises:
        DecodeError: The data is malformed.
        AuthenticationError: The authentication tag is invalid.
    """
    return signed_datagram.decode(authenticator, VERSION, data, _reply_decoder)


def encode_table(table: tuple[records.Record, ...]) -> bytes:
    """Encode a whole membership table, for operators."""
    return _encoder.encode(table)


def decode_table(data: bytes) -> tuple[records.Record, ...]:
    """Decode a membership table.

    Raises:
        DecodeError: The data is not a valid table.
    """
    return decoding.decode(_table_decoder, data)
