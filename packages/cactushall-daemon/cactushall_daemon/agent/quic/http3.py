"""HTTP/3 connections that can move to another agent."""

from __future__ import annotations

import pylsqpack
from aioquic.h3 import connection as h3_connection

from cactushall_core import handoff
from cactushall_daemon.agent.quic import connection

_QPACK_TABLE_BYTES = 0
_QPACK_BLOCKED_STREAMS = 0


class HttpConnection(h3_connection.H3Connection):
    """A server connection with stateless header compression.

    Neither side uses a dynamic table, so that no table has to be exported.
    """

    def __init__(
        self, quic: connection.SteeredConnection, restored: handoff.Http | None = None
    ) -> None:
        """Open HTTP/3 on a connection.

        Args:
            quic: The QUIC connection.
            restored: State that another agent exported, None for a new connection.
        """
        self._restored = restored
        super().__init__(quic)
        self._decoder = pylsqpack.Decoder(_QPACK_TABLE_BYTES, _QPACK_BLOCKED_STREAMS)
        self._restored = None

    def export(self) -> handoff.Http:
        """Return the state of the connection for another agent."""
        return handoff.Http(
            local_control_stream=self._local_control_stream_id or 0,
            local_encoder_stream=self._local_encoder_stream_id or 0,
            local_decoder_stream=self._local_decoder_stream_id or 0,
            peer_control_stream=self._peer_control_stream_id,
            peer_encoder_stream=self._peer_encoder_stream_id,
            peer_decoder_stream=self._peer_decoder_stream_id,
            is_settings_received=self._settings_received,
            streams=tuple(_export_stream(s) for s in self._stream.values()),
        )

    def _init_connection(self) -> None:
        if self._restored is None:
            super()._init_connection()
            return
        restored = self._restored
        self._local_control_stream_id = restored.local_control_stream
        self._local_encoder_stream_id = restored.local_encoder_stream
        self._local_decoder_stream_id = restored.local_decoder_stream
        self._peer_control_stream_id = restored.peer_control_stream
        self._peer_encoder_stream_id = restored.peer_encoder_stream
        self._peer_decoder_stream_id = restored.peer_decoder_stream
        self._settings_received = restored.is_settings_received
        self._sent_settings = self._get_local_settings()
        for stream in restored.streams:
            self._stream[stream.id] = _restore_stream(stream)

    def _get_local_settings(self) -> dict[int, int]:
        settings = super()._get_local_settings()
        settings[h3_connection.Setting.QPACK_MAX_TABLE_CAPACITY] = _QPACK_TABLE_BYTES
        settings[h3_connection.Setting.QPACK_BLOCKED_STREAMS] = _QPACK_BLOCKED_STREAMS
        return settings

    def _handle_control_frame(self, frame_type: int, frame_data: bytes) -> None:
        if frame_type == h3_connection.FrameType.SETTINGS:
            settings = h3_connection.parse_settings(frame_data)
            settings[h3_connection.Setting.QPACK_MAX_TABLE_CAPACITY] = (
                _QPACK_TABLE_BYTES
            )
            frame_data = h3_connection.encode_settings(settings)
        super()._handle_control_frame(frame_type, frame_data)


def _export_stream(stream: h3_connection.H3Stream) -> handoff.HttpStream:
    return handoff.HttpStream(
        id=stream.stream_id,
        buffer=stream.buffer,
        is_receiving_ended=stream.receiving_ended,
        is_sending_ended=stream.sending_ended,
        frame_size=stream.frame_size,
        frame_type=stream.frame_type,
        receive_state=stream.headers_recv_state.value,
        send_state=stream.headers_send_state.value,
        stream_type=stream.stream_type,
        expected_content_length=stream.expected_content_length,
        content_length=stream.content_length,
    )


def _restore_stream(record: handoff.HttpStream) -> h3_connection.H3Stream:
    stream = h3_connection.H3Stream(record.id)
    stream.buffer = record.buffer
    stream.receiving_ended = record.is_receiving_ended
    stream.sending_ended = record.is_sending_ended
    stream.frame_size = record.frame_size
    stream.frame_type = record.frame_type
    stream.headers_recv_state = h3_connection.HeadersState(record.receive_state)
    stream.headers_send_state = h3_connection.HeadersState(record.send_state)
    stream.stream_type = record.stream_type
    stream.expected_content_length = record.expected_content_length
    stream.content_length = record.content_length
    return stream
