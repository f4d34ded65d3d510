"""Store entries of other writers that cannot be read."""

from __future__ import annotations

import collections.abc

from cactushall_daemon import counters, events, logs

log = logs.get_logger(__name__)

Noter = collections.abc.Callable[[str, str], None]


def noter(tallies: counters.Counters) -> Noter:
    """Return a function that logs and counts an entry by its key and what is wrong."""

    def note(key: str, why: str) -> None:
        tallies.add(counters.Counter.STORE_ENTRIES_REFUSED)
        log.warning(events.Event.STORE_ENTRY_REFUSED, key=key, why=why)

    return note
