"""Messages and bytes that a process sends and receives, by kind."""

from __future__ import annotations

import enum


class Direction(enum.Enum):
    """Whether a message is sent or received."""

    SENT = "sent"
    RECEIVED = "received"


class Kind(enum.Enum):
    """Kind of a message; the value is its name in metrics and logs.

    OPENINGS: Opening packets of callers.
    CALLER_PACKETS: Other packets of callers, without those inside lookups.
    ANSWERS: Packets to callers, resets included.
    OPENING_ANSWERS: Agents' answers to opening packets.
    LOAD_REPORTS: Agents' reports of their load.
    LOOKUP_QUESTIONS: Questions about the owners of flows, to agents and entries.
    LOOKUP_PACKETS: Packets of callers that agents get in order to find an owner.
    LOOKUP_ANSWERS: Answers to both.
    REGISTRATIONS: Owners of flows that agents register with entries.
    FLOW_NOTICES: Other messages about flows.
    PROBES: Probes of members and their acknowledgements, with the updates they carry.
    GOSSIP: Updates about members.
    REPAIRS: Comparison of tables of members by digests.
    TABLES: Whole tables of members.
    CONFIGURATION: Configurations that members fetch from each other.
    """

    OPENINGS = "openings"
    CALLER_PACKETS = "caller_packets"
    ANSWERS = "answers"
    OPENING_ANSWERS = "opening_answers"
    LOAD_REPORTS = "load_reports"
    LOOKUP_QUESTIONS = "lookup_questions"
    LOOKUP_PACKETS = "lookup_packets"
    LOOKUP_ANSWERS = "lookup_answers"
    REGISTRATIONS = "registrations"
    FLOW_NOTICES = "flow_notices"
    PROBES = "probes"
    GOSSIP = "gossip"
    REPAIRS = "repairs"
    TABLES = "tables"
    CONFIGURATION = "configuration"


class Count:
    """Number of messages of one kind and direction, and of their payload bytes."""

    __slots__ = ("messages", "size_bytes")

    def __init__(self) -> None:
        """Start at 0."""
        self.messages = 0
        self.size_bytes = 0

    def add(self, size_bytes: int) -> None:
        """Count one message."""
        self.messages += 1
        self.size_bytes += size_bytes


class Traffic:
    """Counts of all kinds in both directions, without the headers of datagrams."""

    def __init__(self) -> None:
        """Start all counts at 0."""
        self._counts = {
            direction: {kind: Count() for kind in Kind} for direction in Direction
        }

    def count(self, direction: Direction, kind: Kind) -> Count:
        """Return one count, which grows with later messages."""
        return self._counts[direction][kind]

    def add(self, direction: Direction, kind: Kind, size_bytes: int) -> None:
        """Count one message."""
        self._counts[direction][kind].add(size_bytes)

    def items(self) -> list[tuple[Direction, Kind, Count]]:
        """Return all counts that are not 0."""
        return [
            (direction, kind, count)
            for direction, counts in self._counts.items()
            for kind, count in counts.items()
            if count.messages
        ]


class IntervalBytes:
    """Bytes by kind since the last reading, for logs."""

    def __init__(self, counts: Traffic) -> None:
        """Start at the present counts."""
        self._traffic = counts
        self._read: dict[tuple[Direction, Kind], int] = {}
        self.take()

    def take(self) -> dict[Direction, dict[str, int]]:
        """Return the bytes since the last call, without kinds that have none."""
        grown: dict[Direction, dict[str, int]] = {d: {} for d in Direction}
        for direction, kind, count in self._traffic.items():
            size_bytes = count.size_bytes - self._read.get((direction, kind), 0)
            self._read[direction, kind] = count.size_bytes
            if size_bytes:
                grown[direction][kind.value] = size_bytes
        return grown
