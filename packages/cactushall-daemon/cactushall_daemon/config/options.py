"""Typed options of a settings file.

A converter validates one node of a document and converts it into a value. It reports
errors as findings and returns None for an invalid node.
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
        """All findings, sorted by line number."""
        return sorted(self._findings, key=lambda finding: finding.place.line)

    @property
    def directory(self) -> pathlib.Path:
        """Directory of the settings file, which relative paths in it refer to."""
        return pathlib.Path(self._source).parent

    def error(self, line: int, key: str, message: str) -> None:
        """Add an error.

        Args:
            line: Line number from 1, or 0 if unknown.
            key: Dotted path of the option.
            message: What is wrong.
        """
        self._add(findings.Severity.ERROR, line, key, message)

    def warning(self, line: int, key: str, message: str) -> None:
        """Add a warning.

        Args:
            line: Line number from 1, or 0 if unknown.
            key: Dotted path of the option.
            message: What may be wrong.
        """
        self._add(findings.Severity.WARNING, line, key, message)

    def _add(
        self, severity: findings.Severity, line: int, key: str, message: str
    ) -> None:
        place = findings.Place(self._source, line, key)
        self._findings.append(findings.Finding(severity, place, message))


Converter = collections.abc.Callable[[documents.Node, Report, str], ValueT | None]


class Option(typing.Generic[ValueT]):
    """An option declared in a settings class.

    It is a descriptor: on a settings object it returns the option's value.
    """

    def __init__(self, converter: Converter[ValueT], default: ValueT = REQUIRED):
        """Declare the option.

        Args:
            converter: Converts the option's node.
            default: Value if the option is not set; without one, the option is
                required.
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
        """Value if the option is not set."""
        return self._default

    def __set_name__(self, owner: type, name: str) -> None:
        """Store the name of the attribute that declares the option."""
        self._name = name

    @typing.overload
    def __get__(self, instance: None, owner: type) -> Option[ValueT]: ...

    @typing.overload
    def __get__(self, instance: object, owner: type) -> ValueT: ...

    def __get__(self, instance: object | None, owner: type) -> Option[ValueT] | ValueT:
        """Return the option's value, or the option itself when read on the class."""
        if instance is None:
            return self
        value: ValueT = instance.__dict__[self._name]
        return value

    def convert(self, node: documents.Node, report: Report, key: str) -> ValueT | None:
        """Convert a node.

        Args:
            node: The option's node.
            report: Collects the findings.
            key: Dotted path of the option.

        Returns:
            The value, or None if the node is not valid.
        """
        return self._converter(node, report, key)


def text(choices: tuple[str, ...] = (), max_length: int = 255) -> Converter[str]:
    """Accept text.

    Args:
        choices: The accepted values; empty accepts any text.
        max_length: Maximum length in characters.
    """

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
    """Accept an integer from `minimum` to `maximum`."""

    def convert(node: documents.Node, report: Report, key: str) -> int | None:
        value = _scalar(node, report, key)
        if value is None:
            return None
        try:
            number = int(value)
        except ValueError:
            report.error(node.line, key, f"{value!r} is not an integer")
            return None
        if not minimum <= number <= maximum:
            report.error(node.line, key, f"must be from {minimum} to {maximum}")
            return None
        return number

    return convert


def seconds(minimum: float, maximum: float) -> Converter[float]:
    """Accept a duration in seconds from `minimum` to `maximum`."""
    return _decimal(minimum, maximum, "seconds")


def factor(minimum: float, maximum: float) -> Converter[float]:
    """Accept a factor from `minimum` to `maximum`."""
    return _decimal(minimum, maximum)


def count(minimum: float, maximum: float, unit: str) -> Converter[float]:
    """Accept a number of things, which need not be whole.

    Args:
        minimum: Smallest number.
        maximum: Largest number.
        unit: What is counted, for error messages.
    """
    return _decimal(minimum, maximum, unit)


def _decimal(minimum: float, maximum: float, unit: str = "") -> Converter[float]:
    kind = f"number of {unit}" if unit else "number"
    suffix = f" {unit}" if unit else ""

    def convert(node: documents.Node, report: Report, key: str) -> float | None:
        value = _scalar(node, report, key)
        if value is None:
            return None
        try:
            number = float(value)
        except ValueError:
            report.error(node.line, key, f"{value!r} is not a {kind}")
            return None
        if not minimum <= number <= maximum:
            report.error(node.line, key, f"must be from {minimum} to {maximum}{suffix}")
            return None
        return number

    return convert


def ip_address() -> Converter[str]:
    """Accept an IP address; host names are not resolved."""

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
    """Accept an IP address with a port; host names are not resolved."""

    def convert(
        node: documents.Node, report: Report, key: str
    ) -> addresses.Address | None:
        value = _scalar(node, report, key)
        if value is None:
            return None
        try:
            return addresses.parse(value)
        except ValueError as error:
            report.error(node.line, key, f"not an IP address with a port: {error}")
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
    convert_item: Converter[ItemT], minimum: int = 0, maximum: int = 1024
) -> Converter[tuple[ItemT, ...]]:
    """Accept a list.

    Args:
        convert_item: Converts each item.
        minimum: Minimum number of items.
        maximum: Maximum number of items.
    """

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
            convert_item(child, report, f"{key}.{index}")
            for index, child in enumerate(node.items)
        ]
        valid_items = tuple(value for value in items if value is not None)
        return valid_items if len(valid_items) == len(items) else None

    return convert


def _scalar(node: documents.Node, report: Report, key: str) -> str | None:
    if not isinstance(node, documents.Scalar):
        report.error(node.line, key, "must be a single value")
        return None
    return node.value
