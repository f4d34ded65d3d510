"""Tests of contact points in the store."""

from __future__ import annotations

import pytest

from cactushall_core import addresses, store
from cactushall_daemon import contacts


class FixedStore:
    """A store that holds fixed entries."""

    def __init__(self, **values):
        self._entries = tuple(
            store.Entry(key.encode(), value, 1) for key, value in values.items()
        )

    async def get_prefix(self, _prefix):
        return store.Snapshot(self._entries, 1)


@pytest.mark.parametrize("value", [b"", b"nonsense", b"10.0.0.1", b"\xff\xfe", b"{}"])
async def test_an_undecodable_entry_is_reported_and_skipped(value):
    reported = []
    client = FixedStore(foreign=value, own=b"10.0.0.2:7720")
    contact_addresses = await contacts.read_addresses(
        client, lambda key, why: reported.append((key, why))
    )
    assert contact_addresses == [addresses.Address("10.0.0.2", 7720)]
    ((key, why),) = reported
    assert key == "foreign"
    assert why
