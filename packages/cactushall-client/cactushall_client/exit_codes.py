"""Exit codes of `cactushall`."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of all commands.

    Attributes:
        OK: The command succeeded.
        FAILURE: A process, the store or a file could not be reached or used.
        INVALID_INPUT: An argument or the service configuration is not valid.
        CONFLICT: The value in the store was changed by someone else meanwhile.
        NOT_SERVED: No route leads from the address that was asked about.
    """

    OK = 0
    FAILURE = 1
    INVALID_INPUT = 2
    CONFLICT = 4
    NOT_SERVED = 5
