"""Requests in a backend server, as the packets of a flow show them."""

from __future__ import annotations

import collections

import msgspec

from cactushall_core.flows import packets

SMOOTHING = 0.1
HALF_WINDOW = packets.SEQUENCE_MODULUS // 2


class Progress(msgspec.Struct):
    """How far the request on one flow has come.

    Attributes:
        next_sequence: Number after the caller's last byte.
        started_at: When the request that waits began; negative when none waits.
    """

    next_sequence: int | None = None
    started_at: float = -1.0

    @property
    def is_waiting(self) -> bool:
        """Whether a request waits for its answer."""
        return self.started_at >= 0


class Meter:
    """Counts requests in one backend server and measures how long one takes."""

    def __init__(self) -> None:
        """Start with no request."""
        self._waiting = 0
        self._service_seconds = 0.0
        self._samples = 0
        self._answered_at: collections.deque[float] = collections.deque([0.0], 1)

    @property
    def waiting(self) -> int:
        """Requests that wait for their answer."""
        return self._waiting

    @property
    def service_seconds(self) -> float:
        """Recent mean time that a request takes in a slot, 0 if unknown."""
        return self._service_seconds

    def set_slots(self, slots: int) -> None:
        """Note how many requests run at once."""
        if slots != self._answered_at.maxlen:
            self._answered_at = collections.deque([0.0] * slots, slots)

    def note_begun(self, progress: Progress, now: float) -> None:
        """Note that a request begins, the first one already with its new flow."""
        if not progress.is_waiting:
            progress.started_at = now
            self._waiting += 1

    def note_from_caller(
        self, progress: Progress, packet: packets.Packet, now: float
    ) -> None:
        """Note a caller's packet that goes to the backend server."""
        if packet.length == 0:
            return
        end = (packet.sequence + packet.length) % packets.SEQUENCE_MODULUS
        known = progress.next_sequence
        if known is not None and not 0 < packets.distance(end, known) < HALF_WINDOW:
            return
        progress.next_sequence = end
        if not progress.is_waiting:
            self.note_begun(progress, now)
        elif known is None:
            progress.started_at = now

    def note_from_server(
        self, progress: Progress, packet: packets.Packet, now: float
    ) -> float | None:
        """Note a backend server's packet that goes to the caller.

        Data is an answer, and so is the end of the flow, which may overtake it.

        Returns:
            How long the caller's request waited for this answer, None where it is
            none.
        """
        if not progress.is_waiting:
            return None
        if packet.flags & packets.Flags.RST:
            self.note_closed(progress)
            return None
        if packet.length == 0 and not packet.flags & packets.Flags.FIN:
            return None
        seconds = now - progress.started_at
        self._note_answer(progress, now)
        return seconds

    def note_closed(self, progress: Progress) -> None:
        """Note that a flow's request waits no longer."""
        if progress.is_waiting:
            progress.started_at = -1.0
            self._waiting -= 1

    def _note_answer(self, progress: Progress, now: float) -> None:
        began_at = max(progress.started_at, self._answered_at[0])
        change = now - began_at - self._service_seconds
        self._samples += 1
        self._service_seconds += max(SMOOTHING, 1 / self._samples) * change
        self._answered_at.append(now)
        self.note_closed(progress)
