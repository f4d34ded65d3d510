"""Exit codes of `cactushalld`."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a process."""

    OK = 0
    FAILURE = 1
    INVALID_SETTINGS = 2
    CANNOT_BIND = 3
    FORCED = 4
