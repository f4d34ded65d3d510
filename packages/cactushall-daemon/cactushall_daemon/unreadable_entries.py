"""Reports store entries that cannot be decoded, such as those of other writers."""

from __future__ import annotations

import collections.abc

from cactushall_daemon import counters, events, logs

log = logs.get_logger(__name__)

Reporter = collections.abc.Callable[[str, str], None]


def make_reporter(process_counters: counters.Counters) -> Reporter:
    """Return a function that logs and counts an entry, given its key and the error."""

    def report(key: str, why: str) -> None:
        process_counters.add(counters.Counter.STORE_ENTRIES_REFUSED)
        log.warning(events.Event.STORE_ENTRY_REFUSED, key=key, why=why)

    return report
