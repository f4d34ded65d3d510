"""The three outcomes of a request and their HTTP form."""

from __future__ import annotations

import dataclasses
import enum
import http

RETRY_AFTER = "retry-after"
OUTCOME_HEADER = "cactushall-outcome"


class Outcome(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was not answered by a backend server."""

    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    SHED = "shed"
    CONNECT_FAILED = "connect-failed"
    CANCELLED = "cancelled"
    UPSTREAM_CUT = "upstream-cut"
    TOO_LARGE = "too-large"
    NO_QUORUM = "no-quorum"
    EARLIER_SUBMISSION = "earlier-submission"


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The final answer to a request that got none from a backend server.

    Attributes:
        outcome: NOT_RUN or UNKNOWN.
        reason: Why.
        retry_after: Seconds after which the caller should come back.
    """

    outcome: Outcome
    reason: Reason
    retry_after: int

    @property
    def status(self) -> int:
        """HTTP status code."""
        if self.reason is Reason.TOO_LARGE:
            return http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        if self.outcome is Outcome.NOT_RUN:
            return http.HTTPStatus.SERVICE_UNAVAILABLE
        return http.HTTPStatus.GATEWAY_TIMEOUT
