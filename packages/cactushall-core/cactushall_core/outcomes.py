"""Outcomes of requests and their HTTP form."""

from __future__ import annotations

import dataclasses
import enum
import http

RETRY_AFTER = "retry-after"
OUTCOME_HEADER = "cactushall-outcome"


class Outcome(enum.Enum):
    """How a request ended.

    Attributes:
        ANSWERED: A backend server answered.
        NOT_RUN: No backend server has run the request, so a retry is safe.
        UNKNOWN: A backend server may have run the request.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why no backend server answered a request."""

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
    """The final answer to a request that no backend server answered.

    Attributes:
        outcome: NOT_RUN or UNKNOWN.
        reason: Why no server answered.
        retry_after: Seconds after which the caller should retry.
    """

    outcome: Outcome
    reason: Reason
    retry_after: int

    @property
    def status(self) -> int:
        """HTTP status code of the answer."""
        if self.reason is Reason.TOO_LARGE:
            return http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        if self.outcome is Outcome.NOT_RUN:
            return http.HTTPStatus.SERVICE_UNAVAILABLE
        return http.HTTPStatus.GATEWAY_TIMEOUT
