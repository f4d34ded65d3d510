"""Detection of pauses of the process or its VM."""

from __future__ import annotations

PAUSE_THRESHOLD_SECONDS = 0.5


class PauseDetector:
    """Detects a paused process or VM by the time between two readings of the clocks.

    One clock may stop while the VM is suspended, the other counts that time.
    """

    def __init__(self, now: float, boot_time: float) -> None:
        """Start with a first reading of both clocks.

        Args:
            now: Monotonic clock in seconds; it may stop during a suspension.
            boot_time: Clock in seconds that includes suspensions.
        """
        self._now = now
        self._boot_time = boot_time

    def has_paused(self, now: float, boot_time: float) -> bool:
        """Return whether the process was paused since the previous call.

        A running process calls this several times within `PAUSE_THRESHOLD_SECONDS`.

        Args:
            now: Monotonic clock in seconds.
            boot_time: Clock in seconds that includes suspensions.
        """
        elapsed = max(now - self._now, boot_time - self._boot_time)
        self._now = now
        self._boot_time = boot_time
        return elapsed > PAUSE_THRESHOLD_SECONDS
