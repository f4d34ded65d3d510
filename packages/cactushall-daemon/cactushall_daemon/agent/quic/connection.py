"""QUIC connections whose ids name the endpoint that holds them."""

from __future__ import annotations

import collections
import collections.abc
import functools
import secrets
import typing

from aioquic import _buffer as aioquic_buffer
from aioquic import tls
from aioquic.quic import (
    configuration,
    connection,
    crypto,
    packet,
    packet_builder,
    recovery,
    stream,
)
from aioquic.quic import events as quic_events

from cactushall_core import connection_id, identifiers

STREAM_WINDOW_BYTES = 256 * 1024
CONNECTION_WINDOW_BYTES = 1024 * 1024
MAX_CONNECTION_IDS = 4
POST_HANDSHAKE_CRYPTO_BUFFER_BYTES = 64

_HANDSHAKE_EPOCHS = (tls.Epoch.INITIAL, tls.Epoch.ZERO_RTT, tls.Epoch.HANDSHAKE)
_DISCARDED_CRYPTO = crypto.CryptoPair()
_DISCARDED_STREAM = stream.QuicStream()
_NO_DATAGRAMS: collections.deque[bytes] = collections.deque(maxlen=0)
_DISCARDED_SPACE = recovery.QuicPacketSpace()
_DISCARDED_SPACE.discarded = True
REQUEST_STREAM_TYPE = 0

CidFactory = collections.abc.Callable[[int], connection.QuicConnectionId]


# Without the cache each connection creates its own equal sets, which take 7 KB.
connection.EPOCHS = functools.cache(connection.EPOCHS)


def make_cid_factory(
    service_keys: connection_id.ServiceKeys, home: identifiers.HomeId
) -> CidFactory:
    """Return a function that issues connection ids for flows of one endpoint."""

    def issue(sequence_number: int) -> connection.QuicConnectionId:
        nonce = secrets.token_bytes(connection_id.NONCE_BYTES)
        cid = connection_id.encode(service_keys, home, nonce)
        token = connection_id.reset_token(service_keys, cid)
        return connection.QuicConnectionId(cid, sequence_number, token)

    return issue


def encode_version_negotiation(datagram: bytes) -> bytes:
    """Return the Version Negotiation packet for a packet of an unknown QUIC version.

    Args:
        datagram: A datagram whose first packet has a complete long header.

    Source: RFC 9000 section 6.
    """
    destination_end = 6 + datagram[5]
    source_start = destination_end + 1
    source_end = source_start + datagram[destination_end]
    return packet.encode_quic_version_negotiation(
        source_cid=datagram[6:destination_end],
        destination_cid=datagram[source_start:source_end],
        supported_versions=configuration.QuicConfiguration().supported_versions,
    )


class SteeredConnection(connection.QuicConnection):
    """A server connection whose ids contain the home id of its endpoint.

    Attributes:
        first_secrets: Traffic secrets of the first 1-RTT key phase, to receive and to
            send.
        former_cids: Connection ids that a former home has issued.
        retire_prior_to: Sequence number below which the peer must retire ids.
    """

    def __init__(
        self,
        quic_configuration: configuration.QuicConfiguration,
        original_cid: bytes,
        issue_cid: CidFactory,
    ) -> None:
        """Create the connection for a first packet.

        Args:
            quic_configuration: Certificate and limits.
            original_cid: Destination connection id of the first packet.
            issue_cid: Issues connection ids.
        """
        super().__init__(
            configuration=quic_configuration,
            original_destination_connection_id=original_cid,
        )
        self._issue_cid = issue_cid
        self._unread_bytes: dict[int, int] = {}
        self.first_secrets = [b"", b""]
        self.former_cids: set[bytes] = set()
        self.retire_prior_to = 0
        initial_cid = issue_cid(0)
        initial_cid.was_sent = True
        self._host_cids = [initial_cid]
        self.host_cid = initial_cid.cid
        self._local_initial_source_connection_id = initial_cid.cid

    @property
    def host_cids(self) -> tuple[bytes, ...]:
        """All connection ids that the peer may use."""
        return tuple(issued.cid for issued in self._host_cids)

    @property
    def has_caller_switched(self) -> bool:
        """Whether the caller has retired all connection ids of a former home."""
        return not any(issued.cid in self.former_cids for issued in self._host_cids)

    @property
    def is_handshake_confirmed(self) -> bool:
        """Whether the peer has stopped using the connection id that it chose first."""
        return self._handshake_confirmed

    def release_handshake_state(self) -> None:
        """Free memory that only the handshake needs; call after it has completed."""
        small_buffer = aioquic_buffer.Buffer(
            capacity=POST_HANDSHAKE_CRYPTO_BUFFER_BYTES
        )
        self._crypto_buffers = {tls.Epoch.ONE_RTT: small_buffer}
        for epoch in (tls.Epoch.INITIAL, tls.Epoch.HANDSHAKE):
            self._spaces[epoch] = _DISCARDED_SPACE
        self._loss.spaces = list(self._spaces.values())
        for epoch in _HANDSHAKE_EPOCHS:
            self._cryptos[epoch] = _DISCARDED_CRYPTO
            self._crypto_streams[epoch] = _DISCARDED_STREAM
        self._cryptos_initial.clear()
        self._datagrams_pending = _NO_DATAGRAMS
        self.tls.handshake_extensions = []
        self.tls.received_extensions = []
        self.tls.key_schedule = None
        self.tls._ec_private_keys = []
        self.tls._x25519_private_key = None
        self.tls.alpn_cb = None
        self.tls.update_traffic_key_cb = _reject_traffic_key

    def unsent_bytes(self, stream_id: int) -> int:
        """Return how many bytes of a stream the peer has not acknowledged."""
        existing = self._streams.get(stream_id)
        if existing is None:
            return 0
        sender = existing.sender
        return int(sender._buffer_stop - sender._buffer_start)

    def set_unread_bytes(self, stream_id: int, unread_bytes: int) -> None:
        """Set how many bytes of a request body are unread; they reduce the window."""
        self._unread_bytes[stream_id] = unread_bytes

    def forget_stream(self, stream_id: int) -> None:
        """Stop tracking the unread bytes of a stream."""
        self._unread_bytes.pop(stream_id, None)

    def _update_traffic_key(
        self,
        direction: tls.Direction,
        epoch: tls.Epoch,
        cipher_suite: tls.CipherSuite,
        secret: bytes,
    ) -> None:
        if epoch is tls.Epoch.ONE_RTT:
            self.first_secrets[direction is tls.Direction.ENCRYPT] = secret
        super()._update_traffic_key(direction, epoch, cipher_suite, secret)

    def _write_new_connection_id_frame(
        self,
        builder: packet_builder.QuicPacketBuilder,
        connection_id: connection.QuicConnectionId,
    ) -> None:
        """Write the frame; the library's own method never retires earlier ids."""
        frame = builder.start_frame(
            packet.QuicFrameType.NEW_CONNECTION_ID,
            capacity=connection.NEW_CONNECTION_ID_FRAME_CAPACITY,
            handler=self._on_new_connection_id_delivery,
            handler_args=(connection_id,),
        )
        sequence_number = connection_id.sequence_number or 0
        frame.push_uint_var(sequence_number)
        frame.push_uint_var(min(self.retire_prior_to, sequence_number))
        frame.push_uint8(len(connection_id.cid))
        frame.push_bytes(connection_id.cid)
        frame.push_bytes(connection_id.stateless_reset_token or b"")
        connection_id.was_sent = True
        issued = quic_events.ConnectionIdIssued(connection_id=connection_id.cid)
        self._events.append(issued)

    def _replenish_connection_ids(self) -> None:
        wanted = min(MAX_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < wanted:
            self._host_cids.append(self._issue_cid(self._host_cid_seq))
            self._host_cid_seq += 1

    def _write_stream_limits(
        self,
        builder: packet_builder.QuicPacketBuilder,
        space: recovery.QuicPacketSpace,
        stream: stream.QuicStream,
    ) -> None:
        if stream.stream_id is None or stream.stream_id % 4 != REQUEST_STREAM_TYPE:
            super()._write_stream_limits(builder, space, stream)
            return
        self._extend_stream_window(stream)
        if stream.max_stream_data_local_sent != stream.max_stream_data_local:
            self._write_max_stream_data(builder, stream)

    def _extend_stream_window(self, extended: stream.QuicStream) -> None:
        """Extend the window as the body is read, by at least half a window."""
        unread_bytes = self._unread_bytes.get(extended.stream_id or 0)
        if unread_bytes is None:
            return
        free_bytes = max(0, STREAM_WINDOW_BYTES - unread_bytes)
        limit = extended.receiver.starting_offset() + free_bytes
        if limit - extended.max_stream_data_local >= STREAM_WINDOW_BYTES // 2:
            extended.max_stream_data_local = limit

    def _write_max_stream_data(
        self, builder: packet_builder.QuicPacketBuilder, limited: stream.QuicStream
    ) -> None:
        frame = builder.start_frame(
            packet.QuicFrameType.MAX_STREAM_DATA,
            capacity=connection.MAX_STREAM_DATA_FRAME_CAPACITY,
            handler=self._on_max_stream_data_delivery,
            handler_args=(limited,),
        )
        frame.push_uint_var(limited.stream_id or 0)
        frame.push_uint_var(limited.max_stream_data_local)
        limited.max_stream_data_local_sent = limited.max_stream_data_local


def _reject_traffic_key(*_: typing.Any) -> None:
    """Replace the callback that installs keys during the handshake."""
    raise AssertionError("traffic keys change only during the handshake")
