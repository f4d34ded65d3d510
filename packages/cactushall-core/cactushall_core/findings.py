"""Errors and warnings of a validation, which are reported together."""

from __future__ import annotations

import enum

import msgspec


class Severity(enum.Enum):
    """How serious a finding is."""

    ERROR = "error"
    WARNING = "warning"


class Place(msgspec.Struct, frozen=True):
    """Location of a finding.

    Attributes:
        source: File name, store key or other source.
        line: Line number from 1, or 0 when the source has no lines.
        key: Dotted path of the option.
    """

    source: str
    line: int
    key: str

    def __str__(self) -> str:
        """Return ``source:line: key``."""
        position = f"{self.source}:{self.line}" if self.line else self.source
        return f"{position}: {self.key}" if self.key else position


class Finding(msgspec.Struct, frozen=True):
    """One error or warning.

    Attributes:
        severity: How serious it is.
        place: Where it is.
        message: What is wrong.
    """

    severity: Severity
    place: Place
    message: str

    def __str__(self) -> str:
        """Return the finding as one line of text."""
        return f"{self.place}: {self.severity.value}: {self.message}"


def has_errors(findings: list[Finding]) -> bool:
    """Return whether any finding is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)
