"""Requests in a backend server, inferred from the packets of its flows."""

from __future__ import annotations

import collections

import msgspec

from cactushall_core.flows import packets

MIN_SMOOTHING_FACTOR = 0.1
HALF_SEQUENCE_SPACE = packets.SEQUENCE_MODULUS // 2


class RequestProgress(msgspec.Struct):
    """Progress of the current request on one flow.

    Attributes:
        next_sequence: Sequence number after the caller's last byte, None before any.
        started_at: When the pending request began; negative where none is pending.
    """

    next_sequence: int | None = None
    started_at: float = -1.0

    @property
    def is_pending(self) -> bool:
        """Whether a request is pending."""
        return self.started_at >= 0


class RequestMeter:
    """Counts pending requests in one backend server and measures service times."""

    def __init__(self) -> None:
        """Start without requests."""
        self._pending = 0
        self._service_seconds = 0.0
        self._sample_count = 0
        self._answered_at: collections.deque[float] = collections.deque([0.0], 1)

    @property
    def pending(self) -> int:
        """How many requests are pending."""
        return self._pending

    @property
    def service_seconds(self) -> float:
        """Moving average of the time that a request takes in a slot, 0 if unknown."""
        return self._service_seconds

    def set_slots(self, slots: int) -> None:
        """Set how many requests run concurrently."""
        if slots != self._answered_at.maxlen:
            self._answered_at = collections.deque([0.0] * slots, slots)

    def record_start(self, progress: RequestProgress, now: float) -> None:
        """Record that a request starts; the first one starts with its flow."""
        if not progress.is_pending:
            progress.started_at = now
            self._pending += 1

    def handle_caller_packet(
        self, progress: RequestProgress, packet: packets.Packet, now: float
    ) -> None:
        """Handle a caller's packet that is delivered to the backend server."""
        if packet.length == 0:
            return
        end = (packet.sequence + packet.length) % packets.SEQUENCE_MODULUS
        known = progress.next_sequence
        if (
            known is not None
            and not 0 < packets.sequence_distance(end, known) < HALF_SEQUENCE_SPACE
        ):
            return
        progress.next_sequence = end
        if not progress.is_pending:
            self.record_start(progress, now)
        elif known is None:
            progress.started_at = now

    def handle_server_packet(
        self, progress: RequestProgress, packet: packets.Packet, now: float
    ) -> float | None:
        """Handle a backend server's packet that is sent to the caller.

        Data is an answer, and so is a FIN, which may overtake the data.

        Returns:
            Seconds from the request to this answer, None where it is not an answer.
        """
        if not progress.is_pending:
            return None
        if packet.flags & packets.Flags.RST:
            self.record_end(progress)
            return None
        if packet.length == 0 and not packet.flags & packets.Flags.FIN:
            return None
        seconds = now - progress.started_at
        self._record_answer(progress, now)
        return seconds

    def record_end(self, progress: RequestProgress) -> None:
        """Record that a flow's request is no longer pending."""
        if progress.is_pending:
            progress.started_at = -1.0
            self._pending -= 1

    def _record_answer(self, progress: RequestProgress, now: float) -> None:
        service_began_at = max(progress.started_at, self._answered_at[0])
        change = now - service_began_at - self._service_seconds
        self._sample_count += 1
        self._service_seconds += (
            max(MIN_SMOOTHING_FACTOR, 1 / self._sample_count) * change
        )
        self._answered_at.append(now)
        self.record_end(progress)
