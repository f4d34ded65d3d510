"""Settings documents as trees of nodes with line numbers.

A YAML document that is also valid JSON is parsed without the YAML library, because
importing that library takes longer than reading all files that a process needs at its
start. Line numbers are unknown then.
"""

from __future__ import annotations

import json
import typing

import msgspec

from cactushall_core import exceptions


class Scalar(msgspec.Struct, frozen=True):
    """A single value.

    Attributes:
        value: The value's text as written in the document.
        line: Line number from 1, or 0 if unknown.
    """

    value: str
    line: int = 0


class Sequence(msgspec.Struct, frozen=True):
    """A list of nodes.

    Attributes:
        items: The list's items.
        line: Line number from 1, or 0 if unknown.
    """

    items: list[Node]
    line: int = 0


class Mapping(msgspec.Struct, frozen=True):
    """A mapping of keys to nodes, which may hold duplicate keys.

    Attributes:
        pairs: Keys with their values, in document order.
        line: Line number from 1, or 0 if unknown.
    """

    pairs: list[tuple[Scalar, Node]]
    line: int = 0


Node = Scalar | Sequence | Mapping


class DocumentError(exceptions.CactushallError):
    """A document cannot be parsed.

    Attributes:
        line: Line number of the error from 1, or 0 if unknown.
    """

    def __init__(self, line: int, message: str) -> None:
        """Create the error.

        Args:
            line: Line number from 1, or 0 if unknown.
            message: What is wrong with the document.
        """
        super().__init__(message)
        self.line = line


class _JsonObject(list[tuple[str, typing.Any]]):
    """The keys and values of a JSON object, including duplicate keys."""


def from_json(text: str) -> Node | None:
    """Parse a document as JSON.

    Args:
        text: The document.

    Returns:
        The root node, or None if the document is not valid JSON.
    """
    try:
        parsed = json.loads(
            text, object_pairs_hook=_JsonObject, parse_float=str, parse_int=str
        )
    except ValueError:
        return None
    return _from_json(parsed)


def from_yaml(text: str) -> Node | None:
    """Parse a document as YAML.

    Args:
        text: The document.

    Returns:
        The root node, or None if the document is empty.

    Raises:
        DocumentError: The document is not valid YAML, or an alias refers to a node
            that contains it.
    """
    import yaml

    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        root = yaml.compose(text, Loader=loader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        raise DocumentError(line, f"not valid YAML: {error}") from error
    return None if root is None else _from_yaml(root, ())


def _from_json(parsed: typing.Any) -> Node:
    if isinstance(parsed, _JsonObject):
        return Mapping([(Scalar(key), _from_json(value)) for key, value in parsed])
    if isinstance(parsed, list):
        return Sequence([_from_json(item) for item in parsed])
    if isinstance(parsed, str):
        return Scalar(parsed)
    return Scalar(json.dumps(parsed))


def _from_yaml(node: typing.Any, ancestors: tuple[typing.Any, ...]) -> Node:
    line = int(node.start_mark.line) + 1
    if any(node is ancestor for ancestor in ancestors):
        raise DocumentError(line, "alias refers to itself")
    ancestors = (*ancestors, node)
    if node.id == "mapping":
        pairs = [
            (_scalar_key(key), _from_yaml(value, ancestors))
            for key, value in node.value
        ]
        return Mapping(pairs, line)
    if node.id == "sequence":
        return Sequence([_from_yaml(item, ancestors) for item in node.value], line)
    return Scalar(str(node.value), line)


def _scalar_key(node: typing.Any) -> Scalar:
    return Scalar(str(node.value), int(node.start_mark.line) + 1)
