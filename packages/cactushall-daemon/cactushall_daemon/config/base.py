"""Base class of settings, loaded from YAML or JSON.

All findings of a settings file are reported together.
"""

from __future__ import annotations

import pathlib
import typing

from cactushall_core import findings
from cactushall_daemon.config import documents, options

SettingsT = typing.TypeVar("SettingsT", bound="Settings")


class Settings:
    """Base of settings classes, which declare options as class attributes."""

    @classmethod
    def declared_options(cls) -> dict[str, options.Option[typing.Any]]:
        """Return all options of the class, inherited ones included, by name."""
        found: dict[str, options.Option[typing.Any]] = {}
        for base in reversed(cls.__mro__):
            for name, value in vars(base).items():
                if isinstance(value, options.Option):
                    found[name] = value
        return found

    def validate(self, report: options.Report, lines: dict[str, int]) -> None:
        """Check options against each other; subclasses extend this method.

        Args:
            report: Collects the findings.
            lines: Line number of each option that is set, by name.
        """


def section(cls: type[SettingsT]) -> options.Converter[SettingsT]:
    """Accept a mapping whose keys are the options of a settings class.

    Args:
        cls: The settings class.
    """

    def convert(
        node: documents.Node, report: options.Report, key: str
    ) -> SettingsT | None:
        return build_settings(cls, node, report, key)

    return convert


def build_settings(
    cls: type[SettingsT], node: documents.Node, report: options.Report, key: str
) -> SettingsT | None:
    """Create a settings object from a mapping node.

    Args:
        cls: The settings class.
        node: The mapping.
        report: Collects the findings.
        key: Dotted path of the mapping, empty for the whole document.

    Returns:
        The object, or None if an option is missing or invalid.
    """
    if not isinstance(node, documents.Mapping):
        report.error(node.line, key, "must be a mapping")
        return None
    prefix = f"{key}." if key else ""
    nodes = _option_nodes(node, report, prefix, cls.declared_options())
    settings = cls()
    is_complete = True
    for name, option in cls.declared_options().items():
        if name in nodes:
            value = option.convert(nodes[name], report, prefix + name)
            is_complete = is_complete and value is not None
            settings.__dict__[name] = value
        elif option.is_required:
            report.error(node.line, prefix + name, "is required")
            is_complete = False
        else:
            settings.__dict__[name] = option.default
    if not is_complete:
        return None
    lines = {name: child.line for name, child in nodes.items()}
    settings.validate(report, lines)
    return settings


def load(
    cls: type[SettingsT], path: pathlib.Path
) -> tuple[SettingsT | None, list[findings.Finding]]:
    """Load and validate a settings file.

    Args:
        cls: The settings class.
        path: The settings file.

    Returns:
        The settings, or None if there are errors, and all findings.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        report = options.Report(str(path))
        report.error(0, "", f"cannot read the file: {error}")
        return None, report.sorted_findings
    node = documents.from_json(text)
    if node is not None:
        report = options.Report(str(path))
        settings = build_settings(cls, node, report, "")
        if not report.sorted_findings:
            return settings, []
    # Findings need line numbers, which only the YAML parser provides.
    return _load_yaml(cls, path, text)


def _load_yaml(
    cls: type[SettingsT], path: pathlib.Path, text: str
) -> tuple[SettingsT | None, list[findings.Finding]]:
    report = options.Report(str(path))
    try:
        node = documents.from_yaml(text)
    except documents.DocumentError as error:
        report.error(error.line, "", str(error))
        return None, report.sorted_findings
    if node is None:
        report.error(1, "", "the file is empty")
        return None, report.sorted_findings
    settings = build_settings(cls, node, report, "")
    found = report.sorted_findings
    return (None if findings.has_errors(found) else settings), found


def read_option(path: pathlib.Path, name: str) -> str | None:
    """Return one top-level option of a settings file as text, without validation.

    Errors in the file are ignored; `load` reports them.

    Args:
        path: The settings file.
        name: Name of the option.

    Returns:
        The option's text, or None if it is not set or the file cannot be read.
    """
    try:
        text = path.read_text()
        node = documents.from_json(text) or documents.from_yaml(text)
    except (OSError, UnicodeDecodeError, documents.DocumentError):
        return None
    if not isinstance(node, documents.Mapping):
        return None
    for key_node, value_node in node.pairs:
        if key_node.value == name and isinstance(value_node, documents.Scalar):
            return value_node.value
    return None


def _option_nodes(
    node: documents.Mapping,
    report: options.Report,
    prefix: str,
    declared_options: dict[str, options.Option[typing.Any]],
) -> dict[str, documents.Node]:
    nodes: dict[str, documents.Node] = {}
    for key_node, value_node in node.pairs:
        name = key_node.value
        line = key_node.line
        if name not in declared_options:
            report.error(line, prefix + name, "unknown option")
        elif name in nodes:
            report.error(line, prefix + name, "option is set more than once")
        else:
            nodes[name] = value_node
    return nodes
