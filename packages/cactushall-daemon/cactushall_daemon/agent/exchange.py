"""Carries one request to the backend server and its response back."""

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
REOPEN_ATTEMPTS = 5
REOPEN_PAUSE_SECONDS = 0.3


class Result(enum.Enum):
    """How an exchange ended."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class FeedRefusedError(Exception):
    """The backend server does not go on with a feed."""


@dataclasses.dataclass
class _Progress:
    is_request_sent: bool = False


async def run(
    stream: request_stream.RequestStream,
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
            progress.is_request_sent = True
            await _send_head(stream, head, connection, remaining_seconds)
            sending = asyncio.create_task(_send_body(stream, connection))
            try:
                await _relay_response(stream, connection)
            finally:
                await _stop(sending)
        return Result.ANSWERED
    except upstream.ConnectError:
        return _refuse(stream, outcomes.Reason.CONNECT_FAILED, progress)
    except upstream.UpstreamCutError:
        return _refuse(stream, outcomes.Reason.UPSTREAM_CUT, progress)
    except request_stream.StreamClosedError:
        return Result.CANCELLED
    except asyncio.CancelledError:
        return _refuse(stream, outcomes.Reason.DEADLINE, progress)


async def run_feed(
    stream: request_stream.RequestStream,
    head: headers.RequestHead,
    server: addresses.Address,
    opened: asyncio.Future[None] | None = None,
) -> Result:
    """Relay an event stream until the caller or the server ends it.

    A feed with numbered events that the server ends is reopened from its last
    event; status 204 ends it for good, as it does in browsers.

    Args:
        stream: The caller's stream; one whose response has started goes on from
            its last event.
        head: The request.
        server: The backend server.
        opened: Set once the server has accepted the feed, or to its refusal.
    """
    attempts = 0
    while True:
        try:
            await _relay_feed(stream, head, server, opened)
            return Result.ANSWERED
        except request_stream.StreamClosedError:
            return Result.CANCELLED
        except (
            upstream.ConnectError,
            upstream.UpstreamCutError,
            FeedRefusedError,
        ) as error:
            if opened is not None and not opened.done():
                opened.set_exception(FeedRefusedError(str(error)))
                return Result.NOT_RUN
            attempts += 1
            is_numbered = stream.events is not None and stream.events.last_event_id
            if attempts > REOPEN_ATTEMPTS or not is_numbered:
                reason = outcomes.Reason.UPSTREAM_CUT
                return _refuse(stream, reason, _Progress(is_request_sent=True))
        await asyncio.sleep(REOPEN_PAUSE_SECONDS)


async def _relay_feed(
    stream: request_stream.RequestStream,
    head: headers.RequestHead,
    server: addresses.Address,
    opened: asyncio.Future[None] | None,
) -> None:
    async with upstream.connect(server) as connection:
        last_event_id = stream.events.last_event_id if stream.events else None
        fields = headers.to_upstream_feed(head, last_event_id)
        await connection.send(
            h11.Request(method=head.method, target=head.target, headers=fields)
        )
        await connection.send(h11.EndOfMessage())
        response = await _receive_response(connection)
        is_events = headers.is_event_stream(list(response.headers))
        if stream.is_response_started:
            if response.status_code == http.HTTPStatus.NO_CONTENT:
                await stream.send_data(b"", is_last=True)
                return
            if response.status_code != http.HTTPStatus.OK or not is_events:
                raise FeedRefusedError(f"status {response.status_code}")
        else:
            _send_response_head(stream, response)
        if opened is not None and not opened.done():
            opened.set_result(None)
        if is_events:
            splitter = stream.follow_events(last_event_id)
            await _relay_events(stream, connection, splitter)
        else:
            await _relay_body(stream, connection)


async def _relay_events(
    stream: request_stream.RequestStream,
    connection: upstream.UpstreamConnection,
    splitter: event_stream.EventSplitter,
) -> None:
    while True:
        received = await connection.receive()
        if isinstance(received, h11.EndOfMessage):
            if splitter.last_event_id is not None:
                raise upstream.UpstreamCutError("the server ended the feed")
            await stream.send_data(b"", is_last=True)
            return
        if not isinstance(received, h11.Data):
            continue
        for event, event_id in splitter.split(bytes(received.data)):
            await stream.send_data(event, is_last=False)
            splitter.note_passed_on(event_id)
        if splitter.is_overlong:
            raise upstream.UpstreamCutError("an event is too long")


async def _send_head(
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


async def _send_body(
    stream: request_stream.RequestStream, connection: upstream.UpstreamConnection
) -> None:
    while data := await stream.read():
        await connection.send(h11.Data(data=data))
    await connection.send(h11.EndOfMessage())


async def _stop(sending: asyncio.Task[None]) -> None:
    sending.cancel()
    with contextlib.suppress(
        asyncio.CancelledError,
        upstream.UpstreamCutError,
        request_stream.StreamClosedError,
    ):
        await sending


async def _relay_response(
    stream: request_stream.RequestStream, connection: upstream.UpstreamConnection
) -> None:
    response = await _receive_response(connection)
    _send_response_head(stream, response)
    await _relay_body(stream, connection)


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


async def _relay_body(
    stream: request_stream.RequestStream, connection: upstream.UpstreamConnection
) -> None:
    while True:
        event = await connection.receive()
        if isinstance(event, h11.Data):
            await stream.send_data(bytes(event.data), is_last=False)
        elif isinstance(event, h11.EndOfMessage):
            await stream.send_data(b"", is_last=True)
            return


def _refuse(
    stream: request_stream.RequestStream, reason: outcomes.Reason, progress: _Progress
) -> Result:
    if stream.is_response_started:
        stream.reset(request_stream.ResetCode.INTERNAL_ERROR)
        return Result.UNKNOWN
    outcome = outcomes.Outcome.NOT_RUN
    if progress.is_request_sent:
        outcome = outcomes.Outcome.UNKNOWN
    answer(stream, outcomes.Refusal(outcome, reason, RETRY_AFTER_SECONDS))
    return Result(outcome.value)


def answer(stream: request_stream.RequestStream, refused: outcomes.Refusal) -> None:
    """Give a caller the final answer to a request that was not answered."""
    with contextlib.suppress(request_stream.StreamClosedError):
        stream.send_headers(headers.refusal(refused), is_last=True)
