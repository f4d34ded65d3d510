"""What an agent knows of the backend server beside it."""

from __future__ import annotations

import enum

import msgspec

from cactushall_core import identifiers

MISSED_HEARTBEATS = 3.0
UNANSWERED_SECONDS = 0.3
MAX_UNANSWERED = 2


class State(enum.Enum):
    """Whether a backend server takes new flows."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(enum.Enum):
    """What became of an announcement."""

    TAKEN = "taken"
    STALE = "stale"


class Announcement(msgspec.Struct, frozen=True):
    """What a backend server says of itself.

    Attributes:
        id: Its id.
        started_ms: When it started, in milliseconds since the epoch.
        number: Grows with each announcement since the start.
        service: The service it belongs to.
        slots: Requests that it runs at once.
        is_draining: Whether it is about to leave.
        cold_seconds: How much longer it is slow after its start.
    """

    id: str
    started_ms: int
    number: int
    service: identifiers.ServiceName
    slots: int
    is_draining: bool
    cold_seconds: float = 0.0


class Server:
    """State of one backend server, from what it says and how it answers."""

    def __init__(
        self, service: identifiers.ServiceName, heartbeat_seconds: float
    ) -> None:
        """Know only what the settings tell.

        Args:
            service: The service that the VM was set up for.
            heartbeat_seconds: Usual time between two announcements.
        """
        self._service = service
        self._heartbeat_seconds = heartbeat_seconds
        self._state = State.UNKNOWN
        self._latest: Announcement | None = None
        self._heard_at = float("-inf")
        self._unanswered = 0
        self._unanswered_since = 0.0

    @property
    def service(self) -> identifiers.ServiceName:
        """The service it belongs to."""
        return self._service

    @property
    def state(self) -> State:
        """Whether it takes new flows."""
        return self._state

    @property
    def latest(self) -> Announcement | None:
        """What it said last."""
        return self._latest

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""
        return self._latest.slots if self._latest else 1

    def hear(self, announcement: Announcement, now: float) -> Outcome:
        """Take in an announcement, unless a later one is known."""
        if self._latest is not None and _is_older(announcement, self._latest):
            return Outcome.STALE
        self._latest = announcement
        self._service = announcement.service
        self._heard_at = now
        self._unanswered = 0
        self._state = State.DRAINING if announcement.is_draining else State.READY
        return Outcome.TAKEN

    def leave(self, server_id: str, now: float) -> None:
        """Note that it ends now, unless it is another that says so."""
        if self._latest is None or self._latest.id == server_id:
            self._state = State.GONE
            self._heard_at = now

    def note_healthy(self, now: float) -> None:
        """Note a good health check, of use until it announces itself."""
        if self._state is State.UNKNOWN:
            self._state = State.READY
            self._heard_at = now

    def note_sent(self, now: float) -> None:
        """Note that an opening packet went to it."""
        if self._unanswered == 0:
            self._unanswered_since = now
        self._unanswered += 1

    def note_answered(self) -> None:
        """Note that it has sent a packet."""
        self._unanswered = 0

    def tick(self, now: float) -> bool:
        """Notice silence.

        Returns:
            Whether the state has changed.
        """
        if self._state not in (State.READY, State.DRAINING):
            return False
        patience = MISSED_HEARTBEATS * self._heartbeat_seconds
        is_silent = now - self._heard_at > patience
        if not is_silent and not self._is_unresponsive(now):
            return False
        self._state = State.UNKNOWN
        self._unanswered = 0
        return True

    def _is_unresponsive(self, now: float) -> bool:
        return (
            self._unanswered >= MAX_UNANSWERED
            and now - self._unanswered_since > UNANSWERED_SECONDS
        )


def is_same_start(one: Announcement, other: Announcement) -> bool:
    """Tell whether two announcements come from one start of a backend server."""
    return one.id == other.id and one.started_ms == other.started_ms


def _is_older(announcement: Announcement, latest: Announcement) -> bool:
    if is_same_start(announcement, latest):
        return announcement.number <= latest.number
    return announcement.started_ms < latest.started_ms
