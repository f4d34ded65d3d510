"""Settings classes: loading from YAML with all findings together."""

from __future__ import annotations

import pathlib
import typing

from cactushall_core import findings
from cactushall_daemon.config import documents, options

SettingsT = typing.TypeVar("SettingsT", bound="Settings")


class Settings:
    """Base of classes whose attributes are options."""

    @classmethod
    def declared(cls) -> dict[str, options.Option[typing.Any]]:
        """Return all options of the class by name."""
        found: dict[str, options.Option[typing.Any]] = {}
        for base in reversed(cls.__mro__):
            for name, value in vars(base).items():
                if isinstance(value, options.Option):
                    found[name] = value
        return found

    def validate(self, report: options.Report, lines: dict[str, int]) -> None:
        """Check options against each other; subclasses add to it.

        Args:
            report: Takes the findings.
            lines: Line of each option that is set.
        """


def section(cls: type[SettingsT]) -> options.Converter[SettingsT]:
    """Accept a mapping whose keys are the options of a settings class."""

    def convert(
        node: documents.Node, report: options.Report, key: str
    ) -> SettingsT | None:
        return build(cls, node, report, key)

    return convert


def build(
    cls: type[SettingsT], node: documents.Node, report: options.Report, key: str
) -> SettingsT | None:
    """Make a settings object from a mapping node.

    Args:
        cls: The settings class.
        node: The mapping.
        report: Takes the findings.
        key: Dotted path of the mapping, empty at the top.

    Returns:
        The object, or None where the report has errors for it.
    """
    if not isinstance(node, documents.Mapping):
        report.error(node.line, key, "must be a mapping")
        return None
    prefix = f"{key}." if key else ""
    nodes = _children(node, report, prefix, cls.declared())
    settings = cls()
    is_complete = True
    for name, option in cls.declared().items():
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
    """Load a settings file and check it whole.

    Returns:
        The settings, or None where there are errors, and all findings.
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
        settings = build(cls, node, report, "")
        if not report.sorted_findings:
            return settings, []
    # Findings need lines.
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
    settings = build(cls, node, report, "")
    found = report.sorted_findings
    return (None if findings.has_errors(found) else settings), found


def peek(path: pathlib.Path, name: str) -> str | None:
    """Return one option of a settings file as text, None where it is not there.

    What is wrong with the file is left to `load` to report.
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


def _children(
    node: documents.Mapping,
    report: options.Report,
    prefix: str,
    declared: dict[str, options.Option[typing.Any]],
) -> dict[str, documents.Node]:
    nodes: dict[str, documents.Node] = {}
    for key_node, value_node in node.pairs:
        name = key_node.value
        line = key_node.line
        if name not in declared:
            report.error(line, prefix + name, "is not a known option")
        elif name in nodes:
            report.error(line, prefix + name, "is set twice")
        else:
            nodes[name] = value_node
    return nodes
