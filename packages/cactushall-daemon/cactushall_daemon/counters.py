"""Counters of a process, for its metrics and its status."""

from __future__ import annotations

import enum

from cactushall_core import traffic


class Counter(enum.Enum):
    """A counter; the value is its name in the metrics."""

    RECEIVED = "datagrams_received"
    FORWARDED = "datagrams_forwarded"
    RESETS_SENT = "stateless_resets_sent"
    SEND_FAILED = "sends_failed"
    MALFORMED = "datagrams_malformed"
    FOREIGN_ID = "datagrams_with_foreign_id"
    UNKNOWN_HOME = "datagrams_with_unknown_home"
    NO_BACKEND_SERVER = "datagrams_without_backend_server"
    DROPPED = "datagrams_dropped"
    ANNOUNCEMENTS_REFUSED = "announcements_refused"
    ANNOUNCEMENTS_IGNORED = "announcements_ignored"
    UNKNOWN_SERVICE = "datagrams_for_unknown_service"
    TUNNEL_REJECTED = "tunnel_datagrams_rejected"
    GOSSIP_REJECTED = "gossip_datagrams_rejected"
    GOSSIP_BYTES_SENT = "gossip_bytes_sent"
    TASKS_FAILED = "tasks_failed"
    STORE_CALLS = "store_calls"
    STORE_ENTRIES_REFUSED = "store_entries_refused"
    FLOWS_OPENED = "flows_opened"
    FLOW_LOOKUPS_STARTED = "flow_lookups_started"
    FLOW_LOOKUPS_HELD = "flow_lookups_held"
    FLOW_LOOKUPS_DENIED = "flow_lookups_denied"
    HEDGES_OFFERED = "hedges_offered"
    HEDGES_WON = "hedges_won"
    HEDGES_LOST = "hedges_lost"
    HEDGES_LATE = "hedges_cancelled_late"
    HEDGES_WITHHELD = "hedges_withheld"
    FLOWS_CLOSED = "flows_closed"
    FLOWS_HANDED_ON = "flows_handed_on"
    FLOWS_MOVED_IN = "flows_moved_in"
    FLOWS_MOVED_OUT = "flows_moved_out"
    FLOWS_DECLINED_COLD = "flows_declined_cold"
    FLOWS_REFUSED = "flows_refused"
    FLOWS_REFUSED_NO_ROUTE = "flows_refused_no_route"
    FLOWS_REFUSED_NO_SERVER = "flows_refused_no_server"
    FLOWS_REFUSED_QUEUE_FULL = "flows_refused_queue_full"
    FLOWS_REFUSED_DISPLACED = "flows_refused_displaced"
    FLOWS_REFUSED_TIMEOUT = "flows_refused_timeout"
    FLOWS_REFUSED_FORESEEN = "flows_refused_foreseen"
    FLOW_RETRIES = "flow_retries"
    FLOW_RETRIES_WITHHELD = "flow_retries_withheld"
    REQUESTS = "requests"
    REQUESTS_ANSWERED = "requests_answered"
    REQUESTS_NOT_RUN = "requests_not_run"
    REQUESTS_UNKNOWN = "requests_unknown"
    REQUESTS_CANCELLED = "requests_cancelled"
    REQUESTS_REPLAYED = "requests_replayed"
    FEEDS_OPENED = "feeds_opened"


class Cell:
    """Value of one counter, for code that increments it for each datagram."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        """Start at 0."""
        self.value = 0


class Counters:
    """Values of all counters."""

    def __init__(self) -> None:
        """Start all counters at 0."""
        self._cells = {counter: Cell() for counter in Counter}
        self._traffic = traffic.Traffic()

    @property
    def traffic(self) -> traffic.Traffic:
        """Messages and bytes by kind."""
        return self._traffic

    def cell(self, counter: Counter) -> Cell:
        """Return the cell of a counter."""
        return self._cells[counter]

    def add(self, counter: Counter, amount: int = 1) -> None:
        """Add to a counter."""
        self._cells[counter].value += amount

    def set(self, counter: Counter, value: int) -> None:
        """Set a counter whose value is kept elsewhere."""
        self._cells[counter].value = value

    def items(self) -> list[tuple[Counter, int]]:
        """Return all counters that are not 0."""
        return [(c, cell.value) for c, cell in self._cells.items() if cell.value]
