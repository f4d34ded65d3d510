"""Export of an open QUIC connection's state and its restoration at another agent."""

from __future__ import annotations

import collections.abc

from aioquic import tls
from aioquic.quic import configuration, crypto, rangeset, recovery, stream
from aioquic.quic import connection as quic_connection

from cactushall_core import addresses, handoff
from cactushall_daemon.agent.quic import connection

PACKET_NUMBER_GAP = 1024


class NotMovableError(Exception):
    """The state of the connection does not allow it to move."""


def export(source: connection.SteeredConnection) -> handoff.Quic:
    """Return the state of a connection whose handshake is confirmed.

    Raises:
        NotMovableError: The handshake is not confirmed or the connection is closing.
    """
    connected = quic_connection.QuicConnectionState.CONNECTED
    if not source.is_handshake_confirmed or source._state is not connected:
        raise NotMovableError("connection is opening or closing")
    space = source._spaces[tls.Epoch.ONE_RTT]
    crypto_pair = source._cryptos[tls.Epoch.ONE_RTT]
    return handoff.Quic(
        quic_version=source._version or 0,
        original_cid=source.original_destination_connection_id,
        host_cids=tuple(_export_cid(cid) for cid in source._host_cids),
        current_host_cid=source.host_cid,
        next_host_sequence=source._host_cid_seq,
        peer_cid=_export_cid(source._peer_cid),
        spare_peer_cids=tuple(_export_cid(c) for c in source._peer_cid_available),
        peer_sequences=tuple(source._peer_cid_sequence_numbers),
        peer_retire_prior_to=source._peer_retire_prior_to,
        receive=_export_direction(crypto_pair.recv, source.first_secrets[0]),
        send=_export_direction(crypto_pair.send, source.first_secrets[1]),
        next_packet_number=source._packet_number,
        largest_acknowledged=space.largest_acked_packet,
        expected_packet_number=space.expected_packet_number,
        largest_received=space.largest_received_packet,
        received_floor=space.received_packets._lower,
        received_packet_numbers=tuple(space.received_packets._received),
        unacknowledged_received=_export_ranges(space.ack_queue),
        round_trip=_export_round_trip(source._loss),
        congestion_window=source._loss._cc.congestion_window,
        peer_limits=_export_peer_limits(source),
        data_limit=_export_limit(source._local_max_data),
        bidi_limit=_export_limit(source._local_max_streams_bidi),
        uni_limit=_export_limit(source._local_max_streams_uni),
        next_bidi_stream=source._local_next_stream_id_bidi,
        next_uni_stream=source._local_next_stream_id_uni,
        streams=tuple(_export_stream(s) for s in source._streams.values()),
    )


def restore(
    record: handoff.Quic,
    settings: configuration.QuicConfiguration,
    caller: addresses.Address,
    issue_cid: connection.CidFactory,
    now: float,
) -> connection.SteeredConnection:
    """Restore a connection from the state that another agent exported.

    Args:
        record: The exported state.
        settings: Certificate and limits.
        caller: The caller's address.
        issue_cid: Issues connection ids of the new home.
        now: Current time in seconds.
    """
    restored = connection.SteeredConnection(settings, record.original_cid, issue_cid)
    restored._version = record.quic_version
    restored._initialize(record.original_cid)
    restored.tls.state = tls.State.SERVER_POST_HANDSHAKE
    _restore_handshake(restored)
    _restore_keys(restored, record)
    _restore_connection_ids(restored, record)
    _restore_packets(restored, record)
    _restore_limits(restored, record)
    for item in record.streams:
        restored_stream = _restore_stream(item)
        restored._streams[item.id] = restored_stream
        restored._streams_queue.append(restored_stream)
    path = quic_connection.QuicNetworkPath(caller, is_validated=True)
    restored._network_paths = [path]
    restored._close_at = now + restored._idle_timeout()
    restored.release_handshake_state()
    restored.send_ping(0)
    return restored


def skip_packet_numbers(resumed: connection.SteeredConnection) -> None:
    """Skip the packet numbers that another agent may have used after an export.

    A packet number must never be used twice with the same key.
    """
    resumed._packet_number += 2 * PACKET_NUMBER_GAP


def _restore_handshake(restored: connection.SteeredConnection) -> None:
    restored._set_state(quic_connection.QuicConnectionState.CONNECTED)
    restored._handshake_complete = True
    restored._handshake_confirmed = True
    restored._handshake_done_pending = True
    restored._loss.handshake_confirmed = True
    restored._loss.peer_completed_address_validation = True
    for epoch in (tls.Epoch.INITIAL, tls.Epoch.HANDSHAKE):
        restored._discard_epoch(epoch)


def _restore_keys(restored: connection.SteeredConnection, record: handoff.Quic) -> None:
    crypto_pair = restored._cryptos[tls.Epoch.ONE_RTT]
    restored.first_secrets = [record.receive.first_secret, record.send.first_secret]
    for context, direction in (
        (crypto_pair.recv, record.receive),
        (crypto_pair.send, record.send),
    ):
        suite = tls.CipherSuite(direction.cipher_suite)
        version = record.quic_version
        context.setup(
            cipher_suite=suite, secret=direction.first_secret, version=version
        )
        if direction.secret != direction.first_secret:
            current_keys = crypto.CryptoContext(key_phase=direction.key_phase)
            current_keys.setup(
                cipher_suite=suite, secret=direction.secret, version=version
            )
            crypto.apply_key_phase(context, current_keys, trigger="restore")


def _restore_connection_ids(
    restored: connection.SteeredConnection, record: handoff.Quic
) -> None:
    """Issue new ids and keep the old ones until the caller retires them."""
    restored._host_cid_seq = record.next_host_sequence
    restored._host_cids = []
    restored._remote_active_connection_id_limit = (
        record.peer_limits.active_connection_ids
    )
    restored._replenish_connection_ids()
    restored.retire_prior_to = record.next_host_sequence
    restored.former_cids = {cid.cid for cid in record.host_cids}
    old_cids = [_restore_cid(cid) for cid in record.host_cids]
    for cid in old_cids:
        cid.was_sent = True
    restored._host_cids = old_cids + restored._host_cids
    restored.host_cid = record.current_host_cid
    restored._peer_cid = _restore_cid(record.peer_cid)
    restored._peer_cid_available = [_restore_cid(c) for c in record.spare_peer_cids]
    restored._peer_cid_sequence_numbers = set(record.peer_sequences)
    restored._peer_retire_prior_to = record.peer_retire_prior_to


def _restore_packets(
    restored: connection.SteeredConnection, record: handoff.Quic
) -> None:
    restored._packet_number = record.next_packet_number + PACKET_NUMBER_GAP
    space = restored._spaces[tls.Epoch.ONE_RTT]
    space.largest_acked_packet = record.largest_acknowledged
    space.expected_packet_number = record.expected_packet_number
    space.largest_received_packet = record.largest_received
    space.received_packets._lower = record.received_floor
    space.received_packets._received = set(record.received_packet_numbers)
    space.ack_queue = _restore_ranges(record.unacknowledged_received)
    loss = restored._loss
    loss._cc.congestion_window = record.congestion_window
    if record.round_trip is not None:
        loss._rtt_initialized = True
        loss._rtt_latest = record.round_trip.latest
        loss._rtt_min = record.round_trip.minimum
        loss._rtt_smoothed = record.round_trip.smoothed
        loss._rtt_variance = record.round_trip.variance


def _restore_limits(
    restored: connection.SteeredConnection, record: handoff.Quic
) -> None:
    peer = record.peer_limits
    restored._remote_max_data = peer.max_data
    restored._remote_max_data_used = peer.max_data_used
    restored._remote_max_streams_bidi = peer.max_streams_bidi
    restored._remote_max_streams_uni = peer.max_streams_uni
    restored._remote_max_stream_data_bidi_local = peer.max_stream_data_bidi_local
    restored._remote_max_stream_data_bidi_remote = peer.max_stream_data_bidi_remote
    restored._remote_max_stream_data_uni = peer.max_stream_data_uni
    restored._remote_max_idle_timeout = peer.idle_timeout
    restored._remote_ack_delay_exponent = peer.ack_delay_exponent
    for limit, exported in (
        (restored._local_max_data, record.data_limit),
        (restored._local_max_streams_bidi, record.bidi_limit),
        (restored._local_max_streams_uni, record.uni_limit),
    ):
        limit.value = exported.value
        limit.used = exported.used
        limit.sent = 0
    restored._local_next_stream_id_bidi = record.next_bidi_stream
    restored._local_next_stream_id_uni = record.next_uni_stream


def _export_cid(cid: quic_connection.QuicConnectionId) -> handoff.ConnectionId:
    return handoff.ConnectionId(
        cid.cid, cid.sequence_number or 0, cid.stateless_reset_token or b""
    )


def _restore_cid(cid: handoff.ConnectionId) -> quic_connection.QuicConnectionId:
    return quic_connection.QuicConnectionId(
        cid.cid, cid.sequence_number, cid.reset_token
    )


def _export_direction(
    context: crypto.CryptoContext, first_secret: bytes
) -> handoff.Direction:
    if context.cipher_suite is None or context.secret is None:
        raise NotMovableError("connection has no keys")
    return handoff.Direction(
        context.cipher_suite.value, first_secret, context.secret, context.key_phase
    )


def _export_round_trip(
    loss: recovery.QuicPacketRecovery,
) -> handoff.RoundTrip | None:
    if not loss._rtt_initialized:
        return None
    return handoff.RoundTrip(
        loss._rtt_latest, loss._rtt_min, loss._rtt_smoothed, loss._rtt_variance
    )


def _export_limit(limit: quic_connection.Limit) -> handoff.Limit:
    return handoff.Limit(limit.value, limit.used)


def _export_peer_limits(source: connection.SteeredConnection) -> handoff.PeerLimits:
    return handoff.PeerLimits(
        max_data=source._remote_max_data,
        max_data_used=source._remote_max_data_used,
        max_streams_bidi=source._remote_max_streams_bidi,
        max_streams_uni=source._remote_max_streams_uni,
        max_stream_data_bidi_local=source._remote_max_stream_data_bidi_local,
        max_stream_data_bidi_remote=source._remote_max_stream_data_bidi_remote,
        max_stream_data_uni=source._remote_max_stream_data_uni,
        active_connection_ids=source._remote_active_connection_id_limit,
        idle_timeout=source._remote_max_idle_timeout,
        ack_delay_exponent=source._remote_ack_delay_exponent,
    )


def _export_stream(exported: stream.QuicStream) -> handoff.Stream:
    receiver = exported.receiver
    sender = exported.sender
    return handoff.Stream(
        id=exported.stream_id or 0,
        window=exported.max_stream_data_local,
        peer_window=exported.max_stream_data_remote,
        is_blocked=exported.is_blocked,
        receive_start=receiver._buffer_start,
        receive_buffer=bytes(receiver._buffer),
        receive_spans=_export_ranges(receiver._ranges),
        receive_highest=receiver.highest_offset,
        receive_final_size=receiver._final_size,
        is_receive_finished=receiver.is_finished,
        send_start=sender._buffer_start,
        send_buffer=bytes(sender._buffer),
        send_acknowledged=_export_ranges(sender._acked),
        send_highest=sender.highest_offset,
        send_final_size=sender._buffer_fin,
        is_send_final_acknowledged=sender._acked_fin,
        is_send_finished=sender.is_finished,
        reset_code=sender._reset_error_code,
    )


def _restore_stream(record: handoff.Stream) -> stream.QuicStream:
    restored = stream.QuicStream(
        stream_id=record.id,
        max_stream_data_local=record.window,
        max_stream_data_remote=record.peer_window,
    )
    restored.max_stream_data_local_sent = 0
    restored.is_blocked = record.is_blocked
    receiver = restored.receiver
    receiver._buffer_start = record.receive_start
    receiver._buffer = bytearray(record.receive_buffer)
    receiver._ranges = _restore_ranges(record.receive_spans)
    receiver.highest_offset = record.receive_highest
    receiver._final_size = record.receive_final_size
    receiver.is_finished = record.is_receive_finished
    _restore_sender(restored.sender, record)
    return restored


def _restore_sender(sender: stream.QuicStreamSender, record: handoff.Stream) -> None:
    """Restore the send buffer and schedule unacknowledged data for retransmission."""
    sender._buffer_start = record.send_start
    sender._buffer = bytearray(record.send_buffer)
    sender._buffer_stop = record.send_start + len(record.send_buffer)
    sender._acked = _restore_ranges(record.send_acknowledged)
    sender.highest_offset = record.send_highest
    sender.is_finished = record.is_send_finished
    sender._buffer_fin = record.send_final_size
    sender._acked_fin = record.is_send_final_acknowledged
    if record.reset_code is not None:
        sender.reset(record.reset_code)
        return
    if sender._buffer_stop > sender._buffer_start:
        sender._pending.add(sender._buffer_start, sender._buffer_stop)
        for start, stop in record.send_acknowledged:
            sender._pending.subtract(start, stop)
    has_final = record.send_final_size is not None
    sender._pending_eof = has_final and not record.is_send_final_acknowledged
    has_pending = len(sender._pending) > 0 or sender._pending_eof
    sender.buffer_is_empty = not has_pending


def _export_ranges(
    ranges: collections.abc.Iterable[range],
) -> tuple[handoff.Span, ...]:
    return tuple((item.start, item.stop) for item in ranges)


def _restore_ranges(
    spans: collections.abc.Iterable[handoff.Span],
) -> rangeset.RangeSet:
    restored = rangeset.RangeSet()
    for start, stop in spans:
        restored.add(start, stop)
    return restored
