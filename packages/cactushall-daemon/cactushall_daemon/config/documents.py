"""Settings documents as trees whose nodes know their lines.

A document in YAML that is JSON as well is read without the YAML library, which takes
longer to load than all that a starting process reads; lines are not known then.
"""

from __future__ import annotations

import json
import typing

import msgspec

from cactushall_core import exceptions


class Scalar(msgspec.Struct, frozen=True):
    """A single value as it is written, and its line from 1, 0 where not known."""

    value: str
    line: int = 0


class Sequence(msgspec.Struct, frozen=True):
    """A list and its line."""

    items: list[Node]
    line: int = 0


class Mapping(msgspec.Struct, frozen=True):
    """Keys with their values in the order of the document, and its line."""

    pairs: list[tuple[Scalar, Node]]
    line: int = 0


Node = Scalar | Sequence | Mapping


class DocumentError(exceptions.CactushallError):
    """A document cannot be read."""

    def __init__(self, line: int, message: str) -> None:
        """Take in the line, 0 where not known, and what is wrong."""
        super().__init__(message)
        self.line = line


class _Pairs(list[tuple[str, typing.Any]]):
    """An object of a JSON document, doubled keys included."""


def from_json(text: str) -> Node | None:
    """Read a document, None where it is not JSON."""
    try:
        found = json.loads(
            text, object_pairs_hook=_Pairs, parse_float=str, parse_int=str
        )
    except ValueError:
        return None
    return _from_json(found)


def from_yaml(text: str) -> Node | None:
    """Read a document, None where it is empty.

    Raises:
        DocumentError: It is not YAML, or refers to itself.
    """
    import yaml

    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        found = yaml.compose(text, Loader=loader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        raise DocumentError(line, f"not valid YAML: {error}") from error
    return None if found is None else _from_yaml(found, ())


def _from_json(found: typing.Any) -> Node:
    if isinstance(found, _Pairs):
        return Mapping([(Scalar(key), _from_json(value)) for key, value in found])
    if isinstance(found, list):
        return Sequence([_from_json(item) for item in found])
    if isinstance(found, str):
        return Scalar(found)
    return Scalar(json.dumps(found))


def _from_yaml(node: typing.Any, above: tuple[typing.Any, ...]) -> Node:
    line = int(node.start_mark.line) + 1
    if any(node is one for one in above):
        raise DocumentError(line, "refers to itself")
    above = (*above, node)
    if node.id == "mapping":
        pairs = [(_key(key), _from_yaml(value, above)) for key, value in node.value]
        return Mapping(pairs, line)
    if node.id == "sequence":
        return Sequence([_from_yaml(item, above) for item in node.value], line)
    return Scalar(str(node.value), line)


def _key(node: typing.Any) -> Scalar:
    return Scalar(str(node.value), int(node.start_mark.line) + 1)
