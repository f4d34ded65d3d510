"""Typed options of a settings file.

A converter turns one node of a document into a value and reports what is wrong.
"""

from __future__ import annotations

import collections.abc
import ipaddress
import pathlib
import typing

from cactushall_core import addresses, findings
from cactushall_daemon.config import documents

ValueT = typing.TypeVar("ValueT")
ItemT = typing.TypeVar("ItemT")

REQUIRED: typing.Any = object()


class Report:
    """Collects the findings of one settings file."""

    def __init__(self, source: str) -> None:
        """Create an empty report.

        Args:
            source: Name of the settings file.
        """
        self._source = source
        self._findings: list[findings.Finding] = []

    @property
    def sorted_findings(self) -> list[findings.Finding]:
        """All findings in the order of their lines."""
        return sorted(self._findings, key=lambda finding: finding.place.line)

    @property
    def directory(self) -> pathlib.Path:
        """The folder that relative paths in the file start from."""
        return pathlib.Path(self._source).parent

    def error(self, line: int, key: str, message: str) -> None:
        """Add an error."""
        self._add(findings.Severity.ERROR, line, key, message)

    def warning(self, line: int, key: str, message: str) -> None:
        """Add a warning."""
        self._add(findings.Severity.WARNING, line, key, message)

    def _add(
        self, severity: findings.Severity, line: int, key: str, message: str
    ) -> None:
        place = findings.Place(self._source, line, key)
        self._findings.append(findings.Finding(severity, place, message))


Converter = collections.abc.Callable[[documents.Node, Report, str], ValueT | None]


class Option(typing.Generic[ValueT]):
    """An option declared in a settings class."""

    def __init__(self, converter: Converter[ValueT], default: ValueT = REQUIRED):
        """Declare the option.

        Args:
            converter: Converts the option's node.
            default: Value where the option is absent; required without one.
        """
        self._converter = converter
        self._default = default
        self._name = ""

    @property
    def is_required(self) -> bool:
        """Whether the option must be set."""
        return self._default is REQUIRED

    @property
    def default(self) -> ValueT:
        """Value where the option is absent."""
        return self._default

    def __set_name__(self, owner: type, name: str) -> None:
        """Note the name under which the option is declared."""
        self._name = name

    @typing.overload
    def __get__(self, instance: None, owner: type) -> Option[ValueT]: ...

    @typing.overload
    def __get__(self, instance: object, owner: type) -> ValueT: ...

    def __get__(self, instance: object | None, owner: type) -> Option[ValueT] | ValueT:
        """Return the option's value in a settings object."""
        if instance is None:
            return self
        value: ValueT = instance.__dict__[self._name]
        return value

    def convert(self, node: documents.Node, report: Report, key: str) -> ValueT | None:
        """Convert a node, reporting what is wrong."""
        return self._converter(node, report, key)


def text(choices: tuple[str, ...] = (), max_length: int = 255) -> Converter[str]:
    """Accept text, optionally one of some choices."""

    def convert(node: documents.Node, report: Report, key: str) -> str | None:
        value = _scalar(node, report, key)
        if value is None:
            return None
        if choices and value not in choices:
            report.error(node.line, key, f"must be one of {', '.join(choices)}")
            return None
        if not 0 < len(value) <= max_length:
            report.error(node.line, key, f"must have 1 to {max_length} characters")
            return None
        return value

    return convert


def integer(minimum: int, maximum: int) -> Converter[int]:
    """Accept a whole number in a range."""

    def convert(node: documents.Node, report: Report, key: str) -> int | None:
        value = _scalar(node, report, key)
        if value is None:
            return None
        try:
            number = int(value)
        except ValueError:
            report.error(node.line, key, f"{value!r} is not a whole number")
            return None
        if not minimum <= number <= maximum:
            report.error(node.line, key, f"must be {minimum} to {maximum}")
            return None
        return number

    return convert


def seconds(minimum: float, maximum: float) -> Converter[float]:
    """Accept a time span in seconds."""

    def convert(node: documents.Node, report: Report, key: str) -> float | None:
        value = _scalar(node, report, key)
        if value is None:
            return None
        try:
            number = float(value)
        except ValueError:
            report.error(node.line, key, f"{value!r} is not a number of seconds")
            return None
        if not minimum <= number <= maximum:
            report.error(node.line, key, f"must be {minimum} to {maximum} seconds")
            return None
        return number

    return convert


def ip_address() -> Converter[str]:
    """Accept a numeric IP address."""

    def convert(node: documents.Node, report: Report, key: str) -> str | None:
        value = _scalar(node, report, key)
        if value is None:
            return None
        try:
            return str(ipaddress.ip_address(value))
        except ValueError:
            report.error(node.line, key, f"{value!r} is not an IP address")
            return None

    return convert


def address() -> Converter[addresses.Address]:
    """Accept a numeric IP address with a port."""

    def convert(
        node: documents.Node, report: Report, key: str
    ) -> addresses.Address | None:
        value = _scalar(node, report, key)
        if value is None:
            return None
        try:
            return addresses.parse(value)
        except ValueError as error:
            report.error(node.line, key, f"not an address with a port: {error}")
            return None

    return convert


def file() -> Converter[pathlib.Path]:
    """Accept the path of a readable file, relative to the settings file."""

    def convert(node: documents.Node, report: Report, key: str) -> pathlib.Path | None:
        value = _scalar(node, report, key)
        if value is None:
            return None
        path = report.directory / value
        try:
            path.open("rb").close()
        except OSError as error:
            report.error(node.line, key, f"cannot read {path}: {error.strerror}")
            return None
        return path

    return convert


def list_of(
    item: Converter[ItemT], minimum: int = 0, maximum: int = 1024
) -> Converter[tuple[ItemT, ...]]:
    """Accept a list."""

    def convert(
        node: documents.Node, report: Report, key: str
    ) -> tuple[ItemT, ...] | None:
        if not isinstance(node, documents.Sequence):
            report.error(node.line, key, "must be a list")
            return None
        if not minimum <= len(node.items) <= maximum:
            report.error(node.line, key, f"must have {minimum} to {maximum} items")
            return None
        items = [
            item(child, report, f"{key}.{index}")
            for index, child in enumerate(node.items)
        ]
        found = tuple(value for value in items if value is not None)
        return found if len(found) == len(items) else None

    return convert


def _scalar(node: documents.Node, report: Report, key: str) -> str | None:
    if not isinstance(node, documents.Scalar):
        report.error(node.line, key, "must be a single value")
        return None
    return node.value
