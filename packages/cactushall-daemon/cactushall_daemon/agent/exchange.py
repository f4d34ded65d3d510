"""Carries one request to the backend server and its response back."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import http

import h11

from cactushall_core import addresses, outcomes
from cactushall_daemon.agent import flow, headers, upstream

RETRY_AFTER_SECONDS = 1


class Result(enum.Enum):
    """How an exchange ended."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@dataclasses.dataclass
class _Progress:
    is_request_sent: bool = False


async def run(
    stream: flow.RequestStream,
    head: headers.RequestHead,
    server: addresses.Address,
    remaining_seconds: float,
) -> Result:
    """Run a request to its end and give the caller its final answer.

    Cancelling the task closes the connection to the server, and the caller gets
    the answer that the outcome is unknown.

    Args:
        stream: The caller's stream.
        head: The request.
        server: The backend server.
        remaining_seconds: Time left until the deadline.
    """
    progress = _Progress()
    try:
        async with upstream.connect(server) as connection:
            await _relay(stream, head, connection, remaining_seconds, progress)
        return Result.ANSWERED
    except upstream.ConnectError:
        return _refuse(stream, outcomes.Reason.CONNECT_FAILED, progress)
    except upstream.UpstreamCutError:
        return _refuse(stream, outcomes.Reason.UPSTREAM_CUT, progress)
    except flow.StreamClosedError:
        return Result.CANCELLED
    except asyncio.CancelledError:
        return _refuse(stream, outcomes.Reason.DEADLINE, progress)


async def _relay(
    stream: flow.RequestStream,
    head: headers.RequestHead,
    connection: upstream.UpstreamConnection,
    remaining_seconds: float,
    progress: _Progress,
) -> None:
    fields = headers.to_upstream(
        head,
        remaining_seconds=remaining_seconds,
        is_body_complete=stream.is_body_complete,
    )
    progress.is_request_sent = True
    await connection.send(
        h11.Request(method=head.method, target=head.target, headers=fields)
    )
    sending = asyncio.create_task(_send_body(stream, connection))
    try:
        await _relay_response(stream, connection)
    finally:
        sending.cancel()
        with contextlib.suppress(
            asyncio.CancelledError, upstream.UpstreamCutError, flow.StreamClosedError
        ):
            await sending


async def _send_body(
    stream: flow.RequestStream, connection: upstream.UpstreamConnection
) -> None:
    while data := await stream.read():
        await connection.send(h11.Data(data=data))
    await connection.send(h11.EndOfMessage())


async def _relay_response(
    stream: flow.RequestStream, connection: upstream.UpstreamConnection
) -> None:
    while True:
        event = await connection.receive()
        if isinstance(event, h11.Response):
            fields = headers.to_caller(event.status_code, list(event.headers))
            _mark_shed(event.status_code, fields)
            stream.send_headers(fields, is_last=False)
        elif isinstance(event, h11.Data):
            await stream.send_data(bytes(event.data), is_last=False)
        elif isinstance(event, h11.EndOfMessage):
            await stream.send_data(b"", is_last=True)
            return


def _mark_shed(status: int, fields: headers.Headers) -> None:
    """Say of a response with status 503 that the server did not run the request."""
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        value = f"{Result.NOT_RUN.value}; {outcomes.Reason.SHED.value}"
        fields.append((outcomes.OUTCOME_HEADER.encode(), value.encode()))


def _refuse(
    stream: flow.RequestStream, reason: outcomes.Reason, progress: _Progress
) -> Result:
    if stream.is_response_started:
        stream.reset(flow.ResetCode.INTERNAL_ERROR)
        return Result.UNKNOWN
    outcome = outcomes.Outcome.NOT_RUN
    if progress.is_request_sent:
        outcome = outcomes.Outcome.UNKNOWN
    answer(stream, outcomes.Refusal(outcome, reason, RETRY_AFTER_SECONDS))
    return Result(outcome.value)


def answer(stream: flow.RequestStream, refused: outcomes.Refusal) -> None:
    """Give a caller the final answer to a request that was not answered."""
    with contextlib.suppress(flow.StreamClosedError):
        stream.send_headers(headers.refusal(refused), is_last=True)
