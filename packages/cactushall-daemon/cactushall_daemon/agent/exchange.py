"""Relaying of one request to the backend server and of its response to the caller."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import http

import h11

from cactushall_core import addresses, event_stream, outcomes
from cactushall_daemon.agent import headers, request_stream, upstream

RETRY_AFTER_SECONDS = 1
MAX_REOPEN_ATTEMPTS = 5
REOPEN_DELAY_SECONDS = 0.3


class Result(enum.Enum):
    """How an exchange ended.

    Attributes:
        ANSWERED: The caller got the server's response.
        NOT_RUN: The server has not run the request.
        UNKNOWN: The server may have run the request.
        CANCELLED: The caller gave up.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class FeedRefusedError(Exception):
    """The backend server refused to resume a feed."""


@dataclasses.dataclass
class _Progress:
    """Whether the server may have received a part of the request."""

    is_request_sent: bool = False


async def run_request(
    stream: request_stream.RequestStream,
    head: headers.RequestHead,
    server: addresses.Address,
    remaining_seconds: float,
) -> Result:
    """Relay a request and send the caller its final response.

    Cancelling the task closes the connection to the server; if the request was
    sent, its outcome is reported to the caller as unknown.

    Args:
        stream: The caller's stream.
        head: The request.
        server: The backend server.
        remaining_seconds: Time left until the deadline.
    """
    progress = _Progress()
    try:
        async with upstream.connect(server) as connection:
            progress.is_request_sent = True
            await _send_request_head(stream, head, connection, remaining_seconds)
            sending_task = asyncio.create_task(_send_request_body(stream, connection))
            try:
                await _relay_response(stream, connection)
            finally:
                await _cancel_and_wait(sending_task)
        return Result.ANSWERED
    except upstream.ConnectError:
        return _send_failure(stream, outcomes.Reason.CONNECT_FAILED, progress)
    except upstream.IncompleteResponseError:
        return _send_failure(stream, outcomes.Reason.UPSTREAM_CUT, progress)
    except request_stream.StreamClosedError:
        return Result.CANCELLED
    except asyncio.CancelledError:
        return _send_failure(stream, outcomes.Reason.DEADLINE, progress)


async def relay_feed(
    stream: request_stream.RequestStream,
    head: headers.RequestHead,
    server: addresses.Address,
    opened: asyncio.Future[None] | None = None,
) -> Result:
    """Relay an event stream until the caller or the server ends it.

    When the server ends a feed whose events have ids, the feed is reopened after the
    last event. As in browsers, status 204 ends it for good.

    Args:
        stream: The caller's stream; a response that has started is resumed after
            its last event.
        head: The request.
        server: The backend server.
        opened: Completed when the server accepts the feed; gets a `FeedRefusedError`
            if it doesn't.
    """
    attempts = 0
    while True:
        try:
            await _relay_feed_once(stream, head, server, opened)
            return Result.ANSWERED
        except request_stream.StreamClosedError:
            return Result.CANCELLED
        except (
            upstream.ConnectError,
            upstream.IncompleteResponseError,
            FeedRefusedError,
        ) as error:
            if opened is not None and not opened.done():
                opened.set_exception(FeedRefusedError(str(error)))
                return Result.NOT_RUN
            attempts += 1
            has_event_ids = (
                stream.event_splitter is not None
                and stream.event_splitter.last_event_id
            )
            if attempts > MAX_REOPEN_ATTEMPTS or not has_event_ids:
                reason = outcomes.Reason.UPSTREAM_CUT
                return _send_failure(stream, reason, _Progress(is_request_sent=True))
        await asyncio.sleep(REOPEN_DELAY_SECONDS)


async def _relay_feed_once(
    stream: request_stream.RequestStream,
    head: headers.RequestHead,
    server: addresses.Address,
    opened: asyncio.Future[None] | None,
) -> None:
    async with upstream.connect(server) as connection:
        last_event_id = (
            stream.event_splitter.last_event_id if stream.event_splitter else None
        )
        fields = headers.to_upstream_feed(head, last_event_id)
        await connection.send(
            h11.Request(method=head.method, target=head.target, headers=fields)
        )
        await connection.send(h11.EndOfMessage())
        response = await _receive_response(connection)
        is_event_stream = headers.is_event_stream(list(response.headers))
        if stream.is_response_started:
            if response.status_code == http.HTTPStatus.NO_CONTENT:
                await stream.send_data(b"", is_last=True)
                return
            if response.status_code != http.HTTPStatus.OK or not is_event_stream:
                raise FeedRefusedError(f"status {response.status_code}")
        else:
            _send_response_head(stream, response)
        if opened is not None and not opened.done():
            opened.set_result(None)
        if is_event_stream:
            splitter = stream.start_event_stream(last_event_id)
            await _relay_events(stream, connection, splitter)
        else:
            await _relay_response_body(stream, connection)


async def _relay_events(
    stream: request_stream.RequestStream,
    connection: upstream.UpstreamConnection,
    splitter: event_stream.EventSplitter,
) -> None:
    while True:
        received = await connection.receive()
        if isinstance(received, h11.EndOfMessage):
            if splitter.last_event_id is not None:
                raise upstream.IncompleteResponseError("the server ended the feed")
            await stream.send_data(b"", is_last=True)
            return
        if not isinstance(received, h11.Data):
            continue
        for event, event_id in splitter.split(bytes(received.data)):
            await stream.send_data(event, is_last=False)
            splitter.mark_forwarded(event_id)
        if splitter.is_overlong:
            raise upstream.IncompleteResponseError("an event is too long")


async def _send_request_head(
    stream: request_stream.RequestStream,
    head: headers.RequestHead,
    connection: upstream.UpstreamConnection,
    remaining_seconds: float,
) -> None:
    fields = headers.to_upstream(
        head,
        remaining_seconds=remaining_seconds,
        is_body_complete=stream.is_body_complete,
    )
    await connection.send(
        h11.Request(method=head.method, target=head.target, headers=fields)
    )


async def _send_request_body(
    stream: request_stream.RequestStream, connection: upstream.UpstreamConnection
) -> None:
    while data := await stream.read():
        await connection.send(h11.Data(data=data))
    await connection.send(h11.EndOfMessage())


async def _cancel_and_wait(sending_task: asyncio.Task[None]) -> None:
    sending_task.cancel()
    with contextlib.suppress(
        asyncio.CancelledError,
        upstream.IncompleteResponseError,
        request_stream.StreamClosedError,
    ):
        await sending_task


async def _relay_response(
    stream: request_stream.RequestStream, connection: upstream.UpstreamConnection
) -> None:
    response = await _receive_response(connection)
    _send_response_head(stream, response)
    await _relay_response_body(stream, connection)


async def _receive_response(
    connection: upstream.UpstreamConnection,
) -> h11.Response:
    while True:
        event = await connection.receive()
        if isinstance(event, h11.Response):
            return event


def _send_response_head(
    stream: request_stream.RequestStream, response: h11.Response
) -> None:
    fields = headers.to_caller(response.status_code, list(response.headers))
    if response.status_code == http.HTTPStatus.SERVICE_UNAVAILABLE:
        value = f"{Result.NOT_RUN.value}; {outcomes.Reason.SHED.value}"
        fields.append((outcomes.OUTCOME_HEADER.encode(), value.encode()))
    stream.send_headers(fields, is_last=False)


async def _relay_response_body(
    stream: request_stream.RequestStream, connection: upstream.UpstreamConnection
) -> None:
    while True:
        event = await connection.receive()
        if isinstance(event, h11.Data):
            await stream.send_data(bytes(event.data), is_last=False)
        elif isinstance(event, h11.EndOfMessage):
            await stream.send_data(b"", is_last=True)
            return


def _send_failure(
    stream: request_stream.RequestStream, reason: outcomes.Reason, progress: _Progress
) -> Result:
    if stream.is_response_started:
        stream.reset(request_stream.ResetCode.INTERNAL_ERROR)
        return Result.UNKNOWN
    outcome = outcomes.Outcome.NOT_RUN
    if progress.is_request_sent:
        outcome = outcomes.Outcome.UNKNOWN
    send_refusal(stream, outcomes.Refusal(outcome, reason, RETRY_AFTER_SECONDS))
    return Result(outcome.value)


def send_refusal(
    stream: request_stream.RequestStream, refused: outcomes.Refusal
) -> None:
    """Send the caller the final response to a request that was not answered."""
    with contextlib.suppress(request_stream.StreamClosedError):
        stream.send_headers(headers.refusal(refused), is_last=True)
