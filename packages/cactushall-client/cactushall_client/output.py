"""Output of command results as text or JSON."""

from __future__ import annotations

import collections.abc
import enum
import json

import click


class Format(enum.Enum):
    """Output formats."""

    TEXT = "text"
    JSON = "json"


def write_json(value: object) -> None:
    """Print a value as JSON."""
    click.echo(json.dumps(value, indent=2))


def write_table(
    titles: collections.abc.Sequence[str],
    rows: collections.abc.Sequence[collections.abc.Sequence[object]],
) -> None:
    """Print rows in aligned columns.

    Args:
        titles: Column titles.
        rows: The cells of each row.
    """
    cells = [list(titles), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(titles))]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  ".join(padded).rstrip())
