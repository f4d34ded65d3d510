"""Exit codes of `cactushall`."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Why the command ended."""

    OK = 0
    FAILURE = 1
    INVALID_INPUT = 2
    CONFLICT = 4
