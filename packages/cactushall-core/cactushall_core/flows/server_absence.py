"""Proof that the backend server beside an agent started while the agent ran.

A server listens at its address from its start to its end. Where a connection was
refused and a later one is accepted, the server that runs has started in between, and
has got no packet but through this agent. What a server tells of its start is not
enough: heartbeats need not be numbered from 1, may be late, and tell times of day,
which jump.
"""

from __future__ import annotations

from cactushall_core.flows import servers

# Times of start are whole milliseconds, and both processes read the clock of one VM.
CLOCK_TOLERANCE_SECONDS = 0.1


class ServerAbsence:
    """What connections to the server's address and its announcements have shown."""

    def __init__(self) -> None:
        """Start without knowing when no server ran."""
        self._absent_at: float | None = None
        self._is_announced = False

    @property
    def awaits_acceptance(self) -> bool:
        """Whether only an accepted connection is missing for the proof."""
        return self._is_announced

    def record_refused(self, now: float) -> None:
        """Record that a connection was refused: no server listens now."""
        self._absent_at = now
        self._is_announced = False

    def handle_announcement(
        self, announcement: servers.Announcement, now: float
    ) -> None:
        """Handle an announcement that was applied.

        A server that listens later than it runs was refused as well, but says that it
        started before.
        """
        if self._absent_at is None:
            return
        latest_age = now - self._absent_at + CLOCK_TOLERANCE_SECONDS
        self._is_announced = (
            -CLOCK_TOLERANCE_SECONDS <= announcement.age_seconds <= latest_age
        )
