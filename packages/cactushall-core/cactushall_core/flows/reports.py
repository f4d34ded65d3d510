"""Decides when an agent reports its backend server's load to entries.

Each report costs every entry processor time. One that would not change their choices,
because they expect that load already, is put off.
"""

from __future__ import annotations

from cactushall_core.flows import admission, messages

REPORT_INTERVAL_SECONDS = 0.25
CAPACITY_REPORT_MIN_INTERVAL_SECONDS = 0.05
# A report may be lost, so that even a small difference is reported in the end.
MAX_REPORT_INTERVAL_SECONDS = 1.0
# Smaller differences move the expected wait by less than an agent's zone does.
MIN_REQUESTS_CHANGE = 1.0
MIN_FLOWS_CHANGE = 3
MIN_SERVICE_TIME_CHANGE = 0.1
MIN_FAILURE_SHARE_CHANGE = 0.02


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
        if not self._is_worth_reporting(load, now):
            return False
        self._reported = load
        self._reported_at = now
        return True

    def _is_worth_reporting(self, load: messages.Load, now: float) -> bool:
        """Return whether a load differs from the one that entries expect now."""
        reported = self._reported
        if reported is None or load == reported:
            return reported is None
        age_seconds = now - self._reported_at
        if age_seconds >= MAX_REPORT_INTERVAL_SECONDS:
            return True
        answered = admission.estimate_answered(reported, age_seconds)
        expected_requests = reported.requests - answered
        least_change = MIN_SERVICE_TIME_CHANGE * reported.service_seconds
        return (
            abs(load.requests - expected_requests) >= MIN_REQUESTS_CHANGE
            or abs(load.flows - reported.flows) >= MIN_FLOWS_CHANGE
            or abs(load.service_seconds - reported.service_seconds) > least_change
            or abs(load.failure_share - reported.failure_share)
            >= MIN_FAILURE_SHARE_CHANGE
            or load.slots != reported.slots
            or load.cold_allowance != reported.cold_allowance
        )

    def _has_freed_capacity(self, load: messages.Load, now: float) -> bool:
        """Return whether capacity was freed that entries may be waiting for."""
        if (
            self._reported is None
            or now < self._reported_at + CAPACITY_REPORT_MIN_INTERVAL_SECONDS
        ):
            return False
        was_busy = self._reported.requests > load.slots
        return was_busy and load.requests < self._reported.requests
