"""Tests of contact points in the store."""

from __future__ import annotations

import pytest

from cactushall_core import addresses, store
from cactushall_daemon import contacts


class Entries:
    """A store with some entries."""

    def __init__(self, **values):
        self._entries = tuple(
            store.Entry(key.encode(), value, 1) for key, value in values.items()
        )

    async def get_prefix(self, _prefix):
        return store.Snapshot(self._entries, 1)


@pytest.mark.parametrize("value", [b"", b"nonsense", b"10.0.0.1", b"\xff\xfe", b"{}"])
async def test_an_entry_of_another_writer_is_told_and_names_nobody(value):
    told = []
    client = Entries(foreign=value, own=b"10.0.0.2:7720")
    found = await contacts.read(client, lambda key, why: told.append((key, why)))
    assert found == [addresses.Address("10.0.0.2", 7720)]
    ((key, why),) = told
    assert key == "foreign"
    assert why
