"""Tests of the detection of pauses."""

from __future__ import annotations

import pytest

from cactushall_core import pauses


@pytest.mark.parametrize(
    ("now", "boot_time", "expected"),
    [(10.05, 50.05, False), (10.05, 53.5, True), (13.5, 53.5, True)],
)
def test_pause_is_detected_by_either_clock(now, boot_time, expected):
    detector = pauses.PauseDetector(10.0, 50.0)
    assert detector.has_paused(now, boot_time) is expected
    assert not detector.has_paused(now + 0.1, boot_time + 0.1)
