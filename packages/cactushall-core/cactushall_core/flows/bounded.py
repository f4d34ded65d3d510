"""Dictionaries that hold a limited number of entries."""

from __future__ import annotations

import typing

KeyT = typing.TypeVar("KeyT")
ValueT = typing.TypeVar("ValueT")


def put(entries: dict[KeyT, ValueT], key: KeyT, value: ValueT, limit: int) -> None:
    """Add an entry, and remove the oldest one where there are too many.

    Args:
        entries: The entries, in the order in which they were added.
        key: Key of the entry.
        value: Its value.
        limit: Largest number of entries.
    """
    if len(entries) >= limit:
        del entries[next(iter(entries))]
    entries[key] = value
