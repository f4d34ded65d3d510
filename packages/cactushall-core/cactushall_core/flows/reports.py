"""Decides when an agent reports its backend server's load to entries."""

from __future__ import annotations

from cactushall_core.flows import messages

REPORT_INTERVAL_SECONDS = 0.25
CAPACITY_REPORT_MIN_INTERVAL_SECONDS = 0.05


class LoadReporter:
    """Decides when to report the load, and tracks the last report."""

    def __init__(self, now: float) -> None:
        """Start without a reported load."""
        self._reported: messages.Load | None = None
        self._reported_at = now
        self._next_report_at = now

    def is_due(self, load: messages.Load, now: float) -> bool:
        """Return whether to report a load now; if so, record it as reported."""
        if now < self._next_report_at and not self._has_freed_capacity(load, now):
            return False
        self._next_report_at = now + REPORT_INTERVAL_SECONDS
        if load == self._reported:
            return False
        self._reported = load
        self._reported_at = now
        return True

    def _has_freed_capacity(self, load: messages.Load, now: float) -> bool:
        """Return whether capacity was freed that entries may be waiting for."""
        if (
            self._reported is None
            or now < self._reported_at + CAPACITY_REPORT_MIN_INTERVAL_SECONDS
        ):
            return False
        if self._reported.cold_allowance == 0 and load.cold_allowance != 0:
            return True
        was_busy = self._reported.requests > load.slots
        return was_busy and load.requests < self._reported.requests
