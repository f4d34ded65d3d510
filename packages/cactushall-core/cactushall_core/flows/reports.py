"""When an agent tells entries how busy its backend server is."""

from __future__ import annotations

from cactushall_core.flows import messages

REPORT_SECONDS = 0.25
ROOM_REPORT_SECONDS = 0.05


class Reporter:
    """Remembers what was told last."""

    def __init__(self, now: float) -> None:
        """Start with nothing told."""
        self._told: messages.Load | None = None
        self._told_at = now
        self._next_at = now

    def is_due(self, load: messages.Load, now: float) -> bool:
        """Tell whether entries should be told a load now, and take it as told."""
        if now < self._next_at and not self._is_room_news(load, now):
            return False
        self._next_at = now + REPORT_SECONDS
        if load == self._told:
            return False
        self._told = load
        self._told_at = now
        return True

    def _is_room_news(self, load: messages.Load, now: float) -> bool:
        """Tell whether entries may be waiting to hear of room."""
        if self._told is None or now < self._told_at + ROOM_REPORT_SECONDS:
            return False
        was_busy = self._told.requests > load.slots
        return was_busy and load.requests < self._told.requests
