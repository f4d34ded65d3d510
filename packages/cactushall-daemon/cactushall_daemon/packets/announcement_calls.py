"""Heartbeats and deregistrations of the backend server beside an agent."""

from __future__ import annotations

import collections.abc
import http

from cactushall_core import exceptions
from cactushall_core.flows import agent, servers
from cactushall_daemon import counters, events, logs
from cactushall_platform import calls
from cactushall_rpc import http as http_calls

log = logs.get_logger(__name__)


class AnnouncementCalls:
    """Answers the calls by which a backend server announces itself."""

    def __init__(
        self,
        server: servers.Server,
        flows: agent.AgentFlows,
        process_counters: counters.Counters,
        clock: collections.abc.Callable[[], float],
        time_of_day: collections.abc.Callable[[], float],
        on_announced: collections.abc.Callable[[], None],
    ) -> None:
        """Create it; nothing is bound or sent.

        Args:
            server: The backend server beside the agent.
            flows: The agent's flows.
            process_counters: The process's counters.
            clock: Returns the current time in seconds.
            time_of_day: Returns the current time in seconds since the epoch.
            on_announced: Called after each call that was understood.
        """
        self._server = server
        self._flows = flows
        self._counters = process_counters
        self._clock = clock
        self._time_of_day = time_of_day
        self._on_announced = on_announced
        self._latest_ignored: servers.Announcement | None = None

    def handle(self, request: http_calls.Request) -> http_calls.Response:
        """Handle a heartbeat or a deregistration."""
        server_id = calls.parse_server_id(request.path)
        if server_id is None:
            return http_calls.Response(http.HTTPStatus.NOT_FOUND)
        if request.method == calls.ANNOUNCE_METHOD:
            status = self._handle_heartbeat(server_id, request.body)
        elif request.method == calls.LEAVE_METHOD:
            self._server.handle_stopped(server_id, self._clock())
            status = http.HTTPStatus.OK
        else:
            status = http.HTTPStatus.METHOD_NOT_ALLOWED
        if status is not http.HTTPStatus.OK:
            return http_calls.Response(status)
        self._on_announced()
        return http_calls.Response(body=b"{}")

    def _handle_heartbeat(self, server_id: str, body: bytes) -> http.HTTPStatus:
        try:
            announcement = calls.decode_announcement(
                server_id, body, self._time_of_day()
            )
        except exceptions.DecodeError as error:
            return self._refuse(str(error))
        latest = self._server.latest_announcement
        outcome = self._flows.handle_announcement(announcement, self._clock())
        if outcome is servers.Outcome.FOREIGN:
            return self._refuse(
                f"heartbeat of {server_id}: names {announcement.service} at"
                f" {announcement.address}, the settings name {self._server.service} at"
                f" {self._server.address}"
            )
        if outcome is servers.Outcome.APPLIED:
            _log_start(announcement, latest)
        if outcome is not servers.Outcome.OTHER_START or latest is None:
            return http.HTTPStatus.OK
        self._record_ignored(announcement, latest)
        # An acknowledged heartbeat has to count: it may say that the server drains.
        return http.HTTPStatus.CONFLICT

    def _refuse(self, why: str) -> http.HTTPStatus:
        """Count and log a heartbeat that names no backend server of this agent."""
        self._counters.add(counters.Counter.ANNOUNCEMENTS_REFUSED)
        log.warning(events.Event.ANNOUNCEMENT_REFUSED, why=why)
        return http.HTTPStatus.BAD_REQUEST

    def _record_ignored(
        self, announcement: servers.Announcement, latest: servers.Announcement
    ) -> None:
        """Count an announcement that was ignored; log the first one of each start."""
        self._counters.add(counters.Counter.ANNOUNCEMENTS_IGNORED)
        logged = self._latest_ignored
        if logged is not None and servers.is_same_start(announcement, logged):
            return
        self._latest_ignored = announcement
        log.warning(
            events.Event.ANNOUNCEMENT_IGNORED,
            server=announcement.id,
            started_ms=announcement.started_ms,
            number=announcement.number,
            latest=latest.id,
            latest_started_ms=latest.started_ms,
        )


def _log_start(
    announcement: servers.Announcement, previous: servers.Announcement | None
) -> None:
    """Log the first announcement of a start that the agent has heard."""
    if previous is not None and servers.is_same_start(announcement, previous):
        return
    log.info(
        events.Event.SERVER_STARTED,
        server=announcement.id,
        service=announcement.service,
        started_ms=announcement.started_ms,
        number=announcement.number,
        age_seconds=round(announcement.age_seconds, 3),
    )
