"""Conversion of headers between HTTP/3 and HTTP/1.1."""

from __future__ import annotations

import dataclasses

from cactushall_core import outcomes

Headers = list[tuple[bytes, bytes]]

MAX_HEADER_BYTES = 16 * 1024
TIMEOUT_HEADER = b"request-timeout-ms"
IDEMPOTENCY_KEY = b"idempotency-key"
EVENT_STREAM = b"text/event-stream"
LAST_EVENT_ID = b"last-event-id"

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"host",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"transfer-encoding",
        b"upgrade",
        TIMEOUT_HEADER,
        outcomes.OUTCOME_HEADER.encode(),
    }
)
_NOT_IDEMPOTENT_METHODS = frozenset({b"POST", b"PATCH"})
_BODYLESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """The parsed headers of a request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        authority: Host that the caller requested.
        fields: All headers that are not pseudo-headers.
        timeout_seconds: Timeout that the caller has set, if any.
        is_feed: Whether the caller accepts an event stream.
        idempotency_key: The key of a request that must not run twice; None if its
            method is idempotent by itself.
    """

    method: bytes
    target: bytes
    authority: bytes
    fields: Headers
    timeout_seconds: float | None
    is_feed: bool
    idempotency_key: bytes | None


def parse_request(headers: Headers) -> RequestHead:
    """Parse the headers of an HTTP/3 request."""
    pseudo = {name: value for name, value in headers if name.startswith(b":")}
    fields = [(name, value) for name, value in headers if not name.startswith(b":")]
    by_name = dict(fields)
    return RequestHead(
        method=pseudo.get(b":method", b"GET"),
        target=pseudo.get(b":path", b"/"),
        authority=pseudo.get(b":authority", by_name.get(b"host", b"")),
        fields=fields,
        timeout_seconds=_parse_timeout(by_name.get(TIMEOUT_HEADER)),
        is_feed=EVENT_STREAM in by_name.get(b"accept", b""),
        idempotency_key=_find_idempotency_key(pseudo, by_name),
    )


def size(headers: Headers) -> int:
    """Return the uncompressed size of headers in bytes."""
    return sum(len(name) + len(value) for name, value in headers)


def to_upstream(
    head: RequestHead, *, remaining_seconds: float, is_body_complete: bool
) -> Headers:
    """Return the headers of the HTTP/1.1 request.

    Args:
        head: The caller's request.
        remaining_seconds: Time left until the deadline, sent as the timeout.
        is_body_complete: Whether the request body has arrived completely.
    """
    fields = [(b"host", head.authority or b"-")]
    fields += [(n, v) for n, v in head.fields if n not in _HOP_BY_HOP]
    fields.append((TIMEOUT_HEADER, str(int(remaining_seconds * 1000)).encode()))
    fields.append((b"connection", b"close"))
    has_length = any(name == b"content-length" for name, _ in head.fields)
    if not has_length and not is_body_complete:
        fields.append((b"transfer-encoding", b"chunked"))
    elif not has_length and head.method not in _BODYLESS_METHODS:
        fields.append((b"content-length", b"0"))
    return fields


def to_upstream_feed(head: RequestHead, last_event_id: bytes | None) -> Headers:
    """Return the headers of the HTTP/1.1 request for an event stream.

    Args:
        head: The caller's request.
        last_event_id: Id of the event after which to resume; replaces the caller's
            own.
    """
    fields = [(b"host", head.authority or b"-")]
    for name, value in head.fields:
        is_replaced = name == LAST_EVENT_ID and last_event_id is not None
        if name not in _HOP_BY_HOP and not is_replaced:
            fields.append((name, value))
    if last_event_id is not None:
        fields.append((LAST_EVENT_ID, last_event_id))
    fields.append((b"connection", b"close"))
    return fields


def is_event_stream(fields: Headers) -> bool:
    """Return whether a response is an event stream."""
    by_name = {name.lower(): value for name, value in fields}
    return by_name.get(b"content-type", b"").startswith(EVENT_STREAM)


def to_caller(status: int, fields: Headers) -> Headers:
    """Return the headers of the HTTP/3 response."""
    kept = [(n.lower(), v) for n, v in fields if n.lower() not in _HOP_BY_HOP]
    return [(b":status", str(status).encode()), *kept]


def status_of(fields: Headers) -> int:
    """Return the status of an HTTP/3 response."""
    return int(dict(fields)[b":status"])


def refusal(refused: outcomes.Refusal) -> Headers:
    """Return the headers of the response to a request that was not answered."""
    return [
        (b":status", str(refused.status).encode()),
        (outcomes.RETRY_AFTER.encode(), str(refused.retry_after).encode()),
        (
            outcomes.OUTCOME_HEADER.encode(),
            f"{refused.outcome.value}; {refused.reason.value}".encode(),
        ),
        (b"content-length", b"0"),
    ]


def _find_idempotency_key(
    pseudo: dict[bytes, bytes], by_name: dict[bytes, bytes]
) -> bytes | None:
    if pseudo.get(b":method") not in _NOT_IDEMPOTENT_METHODS:
        return None
    return by_name.get(IDEMPOTENCY_KEY)


def _parse_timeout(value: bytes | None) -> float | None:
    if value is None or not value.isdigit():
        return None
    return int(value) / 1000
