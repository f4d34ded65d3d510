"""An agent's view of the backend server beside it."""

from __future__ import annotations

import enum

import msgspec

from cactushall_core import addresses, identifiers

MISSED_HEARTBEATS = 3.0
# Heartbeat intervals for which another start has to announce itself.
MIN_ANNOUNCING = 0.5
UNANSWERED_TIMEOUT_SECONDS = 0.3
MAX_UNANSWERED = 2
FIRST_ANNOUNCEMENT_NUMBER = 1
FIRST_ANNOUNCEMENT_SECONDS = 3.0


class State(enum.Enum):
    """Whether a backend server accepts new flows."""

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(enum.Enum):
    """Whether an announcement was applied.

    APPLIED: It describes the backend server from now on.
    STALE: A later one of the same start is known.
    OTHER_START: Another start is known that counts: a later one, or one that drains
        and is still heard.
    FOREIGN: It names another service or address than the settings.
    """

    APPLIED = "applied"
    STALE = "stale"
    OTHER_START = "other-start"
    FOREIGN = "foreign"


class Announcement(msgspec.Struct, frozen=True):
    """A backend server's description of itself.

    Attributes:
        id: Id of the backend server.
        started_ms: When it started, in milliseconds since the epoch.
        number: Number of the announcement; increases with each one since the start.
        service: The service it belongs to.
        address: Where it receives packets.
        slots: Requests that it runs concurrently.
        is_draining: Whether it is draining before it stops.
        cold_seconds: Remaining time for which it is slow after its start.
        age_seconds: Time since its start, by the time of day of its VM, which may jump.
    """

    id: str
    started_ms: int
    number: int
    service: identifiers.ServiceName
    address: addresses.Address
    slots: int
    is_draining: bool
    cold_seconds: float = 0.0
    age_seconds: float = 0.0


class _OtherStart(msgspec.Struct):
    """A start that announces itself although another one counts."""

    latest: Announcement
    first_heard_at: float


class Server:
    """State of one backend server, from its announcements and its answers."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        address: addresses.Address,
        heartbeat_seconds: float,
    ) -> None:
        """Start with what the settings say.

        Args:
            service: The service that the VM was configured for.
            address: Where the backend server receives packets.
            heartbeat_seconds: Usual interval between two announcements.
        """
        self._service = service
        self._address = address
        self._heartbeat_seconds = heartbeat_seconds
        self._state = State.UNKNOWN
        self._latest_announcement: Announcement | None = None
        self._other_start: _OtherStart | None = None
        self._last_seen_at = float("-inf")
        self._unanswered = 0
        self._unanswered_since = 0.0

    @property
    def service(self) -> identifiers.ServiceName:
        """The service it belongs to."""
        return self._service

    @property
    def address(self) -> addresses.Address:
        """Where it receives packets."""
        return self._address

    @property
    def state(self) -> State:
        """Whether it accepts new flows."""
        return self._state

    @property
    def has_certainly_stopped(self) -> bool:
        """Whether the backend server that announced itself here has stopped."""
        return self._state is State.GONE and self._latest_announcement is not None

    @property
    def latest_announcement(self) -> Announcement | None:
        """Its latest announcement."""
        return self._latest_announcement

    @property
    def slots(self) -> int:
        """Requests that it runs concurrently."""
        return self._latest_announcement.slots if self._latest_announcement else 1

    def configure(
        self, service: identifiers.ServiceName, address: addresses.Address
    ) -> bool:
        """Apply changed settings.

        Returns:
            Whether they name another backend server, of which nothing is known yet.
        """
        if (service, address) == (self._service, self._address):
            return False
        self._service = service
        self._address = address
        self._state = State.UNKNOWN
        self._latest_announcement = None
        self._other_start = None
        self._unanswered = 0
        return True

    def handle_announcement(self, announcement: Announcement, now: float) -> Outcome:
        """Apply an announcement, unless a later one is known.

        Only the settings say which backend server runs beside the agent: another
        writer's announcement may name any service and address.
        """
        if (announcement.service, announcement.address) != (
            self._service,
            self._address,
        ):
            return Outcome.FOREIGN
        outdated = self._outdated(announcement, now)
        if outdated is not None:
            return outdated
        self._other_start = None
        self._latest_announcement = announcement
        self._last_seen_at = now
        self._unanswered = 0
        self._state = State.DRAINING if announcement.is_draining else State.READY
        return Outcome.APPLIED

    def _outdated(self, announcement: Announcement, now: float) -> Outcome | None:
        """Return why an announcement does not count any more, None where it does."""
        latest = self._latest_announcement
        if latest is None:
            return None
        if is_same_start(announcement, latest):
            return Outcome.STALE if announcement.number <= latest.number else None
        # A server that drains was promised that it gets no new flows. The other start
        # may have ended long ago, at a time of day that was ahead.
        is_doubtful = (
            announcement.started_ms < latest.started_ms or self._state is State.DRAINING
        )
        if is_doubtful and not self._goes_on_alone(announcement, now):
            return Outcome.OTHER_START
        return None

    def _goes_on_alone(self, announcement: Announcement, now: float) -> bool:
        """Return whether another start is heard while the one that counts is silent.

        A late announcement comes once, or together with others. Times of start may be
        wrong, after a clock was set back or in an announcement of another writer.
        """
        other = self._other_start
        if other is None or not is_same_start(announcement, other.latest):
            self._other_start = _OtherStart(announcement, now)
            return False
        if announcement.number <= other.latest.number:
            return False
        other.latest = announcement
        silence = now - self._last_seen_at
        return (
            now - other.first_heard_at >= MIN_ANNOUNCING * self._heartbeat_seconds
            and silence > MISSED_HEARTBEATS * self._heartbeat_seconds
        )

    def handle_stopped(self, server_id: str, now: float) -> None:
        """Record that it stops now, unless the id is that of another backend server.

        Before any announcement its id is not known, and the call may be that of a
        former backend server: then its state has to be found out again.
        """
        if self._latest_announcement is None:
            self._state = State.UNKNOWN
        elif self._latest_announcement.id == server_id:
            self._state = State.GONE
            self._last_seen_at = now

    def record_health_check_success(self, now: float) -> None:
        """Record a successful health check, which counts until it announces itself."""
        if self._state is State.UNKNOWN and self._latest_announcement is None:
            self._state = State.READY
            self._last_seen_at = now

    def record_opening_sent(self, now: float) -> None:
        """Record that an opening packet was delivered to it."""
        if self._unanswered == 0:
            self._unanswered_since = now
        self._unanswered += 1

    def record_answer(self) -> None:
        """Record that it has sent a packet."""
        self._unanswered = 0

    def tick(self, now: float) -> bool:
        """Check for missed announcements and unanswered opening packets.

        Returns:
            Whether the state has changed.
        """
        if self._state not in (State.READY, State.DRAINING):
            return False
        timeout = MISSED_HEARTBEATS * self._heartbeat_seconds
        is_silent = now - self._last_seen_at > timeout
        is_unresponsive = self._state is State.READY and self._is_unresponsive(now)
        if not is_silent and not is_unresponsive:
            return False
        self._state = State.UNKNOWN
        self._unanswered = 0
        return True

    def _is_unresponsive(self, now: float) -> bool:
        return (
            self._unanswered >= MAX_UNANSWERED
            and now - self._unanswered_since > UNANSWERED_TIMEOUT_SECONDS
        )


def is_same_start(one: Announcement, other: Announcement) -> bool:
    """Return whether two announcements come from the same start of a backend server."""
    return one.id == other.id and one.started_ms == other.started_ms


def is_other_start(announcement: Announcement, previous: Announcement | None) -> bool:
    """Return whether an announcement tells of a start that was not known before.

    Args:
        announcement: The announcement.
        previous: The one before it, None if there was none.
    """
    return previous is None or not is_same_start(announcement, previous)


def has_just_started(announcement: Announcement) -> bool:
    """Return whether an announcement seems to be the first one since a start.

    It may not be: servers need not count from 1, and times of day jump. So nothing may
    rest on it that is not harmless either way.
    """
    is_first = announcement.number <= FIRST_ANNOUNCEMENT_NUMBER
    return is_first and abs(announcement.age_seconds) <= FIRST_ANNOUNCEMENT_SECONDS
