"""State of a live flow that moves to another agent, and its codec."""

from __future__ import annotations

import msgspec

from cactushall_core import decoding, exceptions, identifiers

VERSION = 1

# Start and stop of a half-open range.
Span = tuple[int, int]


class ConnectionId(msgspec.Struct, frozen=True, array_like=True):
    """A connection id with its sequence number and reset token."""

    cid: bytes
    sequence_number: int
    reset_token: bytes


class Direction(msgspec.Struct, frozen=True, array_like=True):
    """Packet protection of one direction.

    Attributes:
        cipher_suite: TLS cipher suite number.
        first_secret: Secret of the first key phase, from which header protection
            is derived.
        secret: Secret of the current key phase.
        key_phase: Current key phase, 0 or 1.
    """

    cipher_suite: int
    first_secret: bytes
    secret: bytes
    key_phase: int


class RoundTrip(msgspec.Struct, frozen=True, array_like=True):
    """Round-trip time estimates in seconds (RFC 9002 section 5)."""

    latest: float
    minimum: float
    smoothed: float
    variance: float


class Limit(msgspec.Struct, frozen=True, array_like=True):
    """A flow control limit that the agent grants to the caller."""

    value: int
    used: int


class PeerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits that the caller grants to the agent, and how much of them is used."""

    max_data: int
    max_data_used: int
    max_streams_bidi: int
    max_streams_uni: int
    max_stream_data_bidi_local: int
    max_stream_data_bidi_remote: int
    max_stream_data_uni: int
    active_connection_ids: int
    idle_timeout: float | None
    ack_delay_exponent: int


class Stream(msgspec.Struct, frozen=True, array_like=True):
    """State of one QUIC stream.

    Names with `receive` and `send` belong to the two directions. Offsets and sizes are
    in bytes.
    """

    id: int
    window: int
    peer_window: int
    is_blocked: bool
    receive_start: int
    receive_buffer: bytes
    receive_spans: tuple[Span, ...]
    receive_highest: int
    receive_final_size: int | None
    is_receive_finished: bool
    send_start: int
    send_buffer: bytes
    send_acknowledged: tuple[Span, ...]
    send_highest: int
    send_final_size: int | None
    is_send_final_acknowledged: bool
    is_send_finished: bool
    reset_code: int | None


class Quic(msgspec.Struct, frozen=True, array_like=True):
    """State of a QUIC connection after its handshake.

    Names with `host` belong to the agent, names with `peer` to the caller.

    Attributes:
        received_floor: All packet numbers below it count as received.
        received_packet_numbers: Received packet numbers from `received_floor` on.
        unacknowledged_received: Received packet numbers not yet acknowledged.
    """

    quic_version: int
    original_cid: bytes
    host_cids: tuple[ConnectionId, ...]
    current_host_cid: bytes
    next_host_sequence: int
    peer_cid: ConnectionId
    spare_peer_cids: tuple[ConnectionId, ...]
    peer_sequences: tuple[int, ...]
    peer_retire_prior_to: int
    receive: Direction
    send: Direction
    next_packet_number: int
    largest_acknowledged: int
    expected_packet_number: int
    largest_received: int
    received_floor: int
    received_packet_numbers: tuple[int, ...]
    unacknowledged_received: tuple[Span, ...]
    round_trip: RoundTrip | None
    congestion_window: int
    peer_limits: PeerLimits
    data_limit: Limit
    bidi_limit: Limit
    uni_limit: Limit
    next_bidi_stream: int
    next_uni_stream: int
    streams: tuple[Stream, ...]


class HttpStream(msgspec.Struct, frozen=True, array_like=True):
    """HTTP/3 state of one stream."""

    id: int
    buffer: bytes
    is_receiving_ended: bool
    is_sending_ended: bool
    frame_size: int | None
    frame_type: int | None
    receive_state: int
    send_state: int
    stream_type: int | None
    expected_content_length: int | None
    content_length: int


class Http(msgspec.Struct, frozen=True, array_like=True):
    """HTTP/3 state of a connection.

    Header compression uses no dynamic table, so it has no state to move.
    """

    local_control_stream: int
    local_encoder_stream: int
    local_decoder_stream: int
    peer_control_stream: int | None
    peer_encoder_stream: int | None
    peer_decoder_stream: int | None
    is_settings_received: bool
    streams: tuple[HttpStream, ...]


class Request(msgspec.Struct, frozen=True, array_like=True):
    """A request that has not started, or an open feed.

    Attributes:
        stream_id: Id of its QUIC stream.
        headers: Request headers.
        body: Part of the request body that has been received.
        is_body_complete: Whether the body has been received completely.
        remaining_seconds: Time left until the deadline.
        is_response_started: Whether response headers have been sent; only a feed's.
        last_event_id: Id of the last event that has been forwarded to the caller.
    """

    stream_id: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    is_body_complete: bool
    remaining_seconds: float
    is_response_started: bool
    last_event_id: bytes | None


class FlowState(msgspec.Struct, frozen=True, array_like=True):
    """State of a live flow.

    Attributes:
        version: Version of this codec.
        move_id: Identifies the move, so that a repeated offer is recognised.
        service: The flow's service.
        caller_host: The caller's IP address.
        caller_port: The caller's port.
        quic: QUIC state.
        http: HTTP/3 state, None before the first request.
        requests: Open requests.
    """

    version: int
    move_id: bytes
    service: identifiers.ServiceName
    caller_host: str
    caller_port: int
    quic: Quic
    http: Http | None
    requests: tuple[Request, ...]


_decoder = msgspec.msgpack.Decoder(FlowState)


def encode(state: FlowState) -> bytes:
    """Encode the state of a flow."""
    return msgspec.msgpack.encode(state)


def decode(data: bytes) -> FlowState:
    """Decode the state of a flow.

    Raises:
        DecodeError: The bytes are malformed or of an unknown version.
    """
    state = decoding.decode(_decoder, data)
    if state.version != VERSION:
        raise exceptions.DecodeError(f"unknown flow state version {state.version}")
    return state
