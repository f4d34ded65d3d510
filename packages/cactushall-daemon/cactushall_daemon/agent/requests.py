"""Queueing, execution and relaying of the requests of one endpoint."""

from __future__ import annotations

import asyncio
import dataclasses
import http
import itertools
import random

from cactushall_core import addresses, handoff, identifiers, outcomes, slots
from cactushall_core.once import messages
from cactushall_daemon import counters, events, logs
from cactushall_daemon.agent import (
    exchange,
    flow,
    headers,
    idempotency,
    request_stream,
)

log = logs.get_logger(__name__)

SHED_STATUS = int(http.HTTPStatus.SERVICE_UNAVAILABLE)

_RESULT_COUNTERS = {
    exchange.Result.ANSWERED: counters.Counter.REQUESTS_ANSWERED,
    exchange.Result.NOT_RUN: counters.Counter.REQUESTS_NOT_RUN,
    exchange.Result.UNKNOWN: counters.Counter.REQUESTS_UNKNOWN,
    exchange.Result.CANCELLED: counters.Counter.REQUESTS_CANCELLED,
}


@dataclasses.dataclass
class _Request:
    """A queued or running request.

    Attributes:
        id: Its id in the queue.
        stream: The caller's stream.
        head: Its parsed headers.
        deadline: Loop time in seconds by which it must be answered.
        key: Digest of its idempotency key, if it has one.
        task: The task that runs it, None while it is queued.
    """

    id: slots.RequestId
    stream: request_stream.RequestStream
    head: headers.RequestHead
    deadline: float
    key: messages.KeyDigest | None = None
    task: asyncio.Task[None] | None = None


class RequestDispatcher:
    """Queues and runs the requests of all flows of one endpoint.

    Attributes:
        deadline_seconds: Default and longest time allowed for a request.
    """

    def __init__(
        self,
        service: identifiers.ServiceName,
        server: addresses.Address,
        slot_count: int,
        manager: idempotency.IdempotencyManager,
        process_counters: counters.Counters,
    ) -> None:
        """Start with no requests.

        Args:
            service: The service.
            server: The backend server.
            slot_count: How many requests the server runs at once.
            manager: Admits requests with an idempotency key.
            process_counters: The process's counters.
        """
        self._service = service
        self._server = server
        self._idempotency = manager
        self._counters = process_counters
        self._admission_tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._queue = slots.SlotQueue(slot_count, random.Random())
        self._requests: dict[slots.RequestId, _Request] = {}
        self._requests_by_stream: dict[request_stream.RequestStream, _Request] = {}
        self._ids = itertools.count(1)
        self._feeds: dict[request_stream.RequestStream, asyncio.Task[None]] = {}
        self._is_draining = False
        self.deadline_seconds = 0.0

    @property
    def queue(self) -> slots.SlotQueue:
        """The queue of requests that wait for a slot of the server."""
        return self._queue

    @property
    def feed_count(self) -> int:
        """Number of open feeds."""
        return len(self._feeds)

    def set_draining(self, is_draining: bool) -> None:
        """Stop or resume starting requests; running ones continue."""
        if is_draining == self._is_draining:
            return
        self._is_draining = is_draining
        self._execute(self._queue.set_paused(is_draining, self._loop.time()))

    def tick(self, now: float) -> None:
        """Refuse queued and abort running requests that are past their deadline."""
        self._execute(self._queue.tick(now))

    def handle_request(self, stream: request_stream.RequestStream) -> None:
        """Queue, refuse or relay a new request."""
        self._counters.add(counters.Counter.REQUESTS)
        head = headers.parse_request(stream.headers)
        if headers.size(stream.headers) > headers.MAX_HEADER_BYTES:
            self._refuse(stream, outcomes.Reason.TOO_LARGE)
        elif head.is_feed:
            self._open_feed(stream, head, None)
        else:
            allowed_seconds = self.deadline_seconds
            if head.timeout_seconds is not None:
                allowed_seconds = min(allowed_seconds, head.timeout_seconds)
            self._admit_or_enqueue(stream, head, allowed_seconds)

    def cancel(self, stream: request_stream.RequestStream, is_reset: bool) -> None:
        """Cancel a request that its caller has given up.

        A running request with an idempotency key continues if only the connection
        was lost, since its caller may submit it again.

        Args:
            stream: The caller's stream.
            is_reset: Whether the caller reset the stream, rather than losing its
                connection.
        """
        request = self._requests_by_stream.get(stream)
        if request is None:
            return
        if request.key is not None and request.task is not None and not is_reset:
            return
        self._execute(self._queue.cancel(request.id, self._loop.time()))
        if request.task is None:
            self._counters.add(counters.Counter.REQUESTS_CANCELLED)
            self._release_key(request)
            self._remove(request)

    # Moving flows between agents.

    def is_movable(self, candidate: flow.Flow) -> bool:
        """Return whether every request of a flow can move to another agent.

        A request can move while it is queued, and a feed unless the server responds
        with something other than an event stream.
        """
        return all(map(self._can_stream_move, candidate.streams.values()))

    def has_pending_requests(self, candidate: flow.Flow) -> bool:
        """Return whether a flow has a queued or running request other than a feed."""
        return any(
            stream in self._requests_by_stream for stream in candidate.streams.values()
        )

    def export_requests(self, moving_flow: flow.Flow) -> tuple[handoff.Request, ...]:
        """Remove a suspended flow's requests from the queue and export them."""
        exported = []
        now = self._loop.time()
        for stream in moving_flow.streams.values():
            request = self._requests_by_stream.get(stream)
            remaining = 0.0
            if request is not None:
                remaining = request.deadline - now
                self._queue.cancel(request.id, now)
                self._requests_by_stream.pop(stream)
                self._requests.pop(request.id)
                self._release_key(request)
            exported.append(stream.export(remaining))
        return tuple(exported)

    def requeue_requests(
        self, resumed_flow: flow.Flow, exported: tuple[handoff.Request, ...]
    ) -> None:
        """Queue a flow's requests again after its move has failed."""
        for exported_request in exported:
            stream = resumed_flow.streams.get(exported_request.stream_id)
            if stream is not None and stream not in self._feeds:
                head = headers.parse_request(stream.headers)
                self._admit_or_enqueue(stream, head, exported_request.remaining_seconds)

    async def import_requests(
        self, received_flow: flow.Flow, exported: tuple[handoff.Request, ...]
    ) -> None:
        """Queue the requests and reopen the feeds of a flow from another agent.

        Raises:
            FeedRefusedError: The server refused to resume a feed; nothing was
                sent to the caller.
        """
        opening_futures = []
        unstarted = []
        for exported_request in exported:
            stream = received_flow.restore_stream(exported_request)
            head = headers.parse_request(stream.headers)
            if head.is_feed:
                opened: asyncio.Future[None] = self._loop.create_future()
                self._open_feed(stream, head, opened)
                opening_futures.append(opened)
            else:
                unstarted.append((stream, head, exported_request.remaining_seconds))
        opening_results = await asyncio.gather(*opening_futures, return_exceptions=True)
        for outcome in opening_results:
            if isinstance(outcome, BaseException):
                raise exchange.FeedRefusedError(str(outcome))
        for stream, head, remaining in unstarted:
            self._admit_or_enqueue(stream, head, remaining)

    def _can_stream_move(self, stream: request_stream.RequestStream) -> bool:
        request = self._requests_by_stream.get(stream)
        if request is not None:
            return request.task is None and not stream.is_body_partly_read
        is_feed = stream in self._feeds
        return is_feed and (
            stream.event_splitter is not None or not stream.is_response_started
        )

    # Admission and execution.

    def _admit_or_enqueue(
        self,
        stream: request_stream.RequestStream,
        head: headers.RequestHead,
        allowed_seconds: float,
    ) -> None:
        deadline = self._loop.time() + allowed_seconds
        if head.idempotency_key is None:
            self._enqueue(stream, head, deadline, None)
            return
        key = messages.digest(head.idempotency_key)
        task = self._loop.create_task(self._admit_with_key(stream, head, deadline, key))
        self._admission_tasks.add(task)
        task.add_done_callback(self._admission_tasks.discard)

    async def _admit_with_key(
        self,
        stream: request_stream.RequestStream,
        head: headers.RequestHead,
        deadline: float,
        key: messages.KeyDigest,
    ) -> None:
        admission = await self._idempotency.admit(key, deadline)
        if stream.is_closed:
            if isinstance(admission, idempotency.Start):
                self._idempotency.release(key)
        elif isinstance(admission, idempotency.Start):
            self._enqueue(stream, head, deadline, key)
        elif isinstance(admission, idempotency.Replay):
            await self._replay(stream, admission.response)
        elif isinstance(admission, idempotency.NotRun):
            self._refuse(stream, outcomes.Reason.NO_QUORUM)
        else:
            reason = outcomes.Reason.EARLIER_SUBMISSION
            retry_after = exchange.RETRY_AFTER_SECONDS
            refusal = outcomes.Refusal(outcomes.Outcome.UNKNOWN, reason, retry_after)
            self._counters.add(counters.Counter.REQUESTS_UNKNOWN)
            log.warning(
                events.Event.REQUEST_UNKNOWN,
                service=self._service,
                key=key.hex(),
                why=admission.reason.value,
                holder=admission.holder,
            )
            exchange.send_refusal(stream, refusal)
            stream.flow.remove_stream(stream.stream_id)

    async def _replay(
        self, stream: request_stream.RequestStream, response: idempotency.StoredResponse
    ) -> None:
        self._counters.add(counters.Counter.REQUESTS_REPLAYED)
        try:
            fields = headers.to_caller(response.status, response.fields)
            stream.send_headers(fields, is_last=False)
            await stream.send_data(response.body, is_last=True)
        except request_stream.StreamClosedError:
            return
        finally:
            stream.flow.remove_stream(stream.stream_id)

    def _release_key(self, request: _Request) -> None:
        if request.key is not None:
            self._idempotency.release(request.key)

    def _enqueue(
        self,
        stream: request_stream.RequestStream,
        head: headers.RequestHead,
        deadline: float,
        key: messages.KeyDigest | None,
    ) -> None:
        now = self._loop.time()
        request_id = slots.RequestId(next(self._ids))
        request = _Request(request_id, stream, head, deadline, key)
        self._requests[request_id] = request
        self._requests_by_stream[stream] = request
        caller = slots.CallerKey(stream.flow.caller.host.encode())
        self._execute(self._queue.submit(request_id, caller, request.deadline, now))

    def _execute(self, actions: list[slots.Action]) -> None:
        for action in actions:
            request = self._requests.get(action.request)
            if request is None:
                continue
            if isinstance(action, slots.Start):
                request.task = self._loop.create_task(self._run(request))
            elif isinstance(action, slots.Refuse):
                self._release_key(request)
                self._send_refusal(request.stream, action.refusal)
                self._remove(request)
            elif request.task is not None:
                request.task.cancel()

    async def _run(self, request: _Request) -> None:
        result = exchange.Result.UNKNOWN
        if request.key is not None and not self._idempotency.try_start(request.key):
            self._remove(request)
            self._refuse(request.stream, outcomes.Reason.NO_QUORUM)
            now = self._loop.time()
            self._execute(self._queue.finish(request.id, now, is_answered=False))
            return
        if request.key is not None:
            request.stream.recorder = request_stream.ResponseRecorder(
                idempotency.MAX_STORED_BODY_BYTES
            )
        try:
            remaining = request.deadline - self._loop.time()
            result = await exchange.run_request(
                request.stream, request.head, self._server, remaining
            )
        except Exception:
            request.stream.reset(request_stream.ResetCode.INTERNAL_ERROR)
            log.exception(events.Event.REQUEST_FAILED, service=self._service)
        finally:
            self._counters.add(_RESULT_COUNTERS[result])
            if result is exchange.Result.UNKNOWN:
                log.warning(events.Event.REQUEST_UNKNOWN, service=self._service)
            self._store_result(request, result)
            self._remove(request)
            is_answered = result is exchange.Result.ANSWERED
            now = self._loop.time()
            self._execute(self._queue.finish(request.id, now, is_answered=is_answered))

    def _store_result(self, request: _Request, result: exchange.Result) -> None:
        """Store the response to a request with a key, or release the key.

        The key is released if the server has not run the request, which includes a
        request that the server has shed.
        """
        recorder = request.stream.recorder
        if request.key is None or recorder is None:
            return
        response = _recorded_response(recorder)
        is_shed = response is not None and response.status == SHED_STATUS
        if result is exchange.Result.NOT_RUN or is_shed:
            self._release_key(request)
        else:
            is_answered = result is exchange.Result.ANSWERED
            self._idempotency.finish(request.key, response if is_answered else None)

    def _refuse(
        self, stream: request_stream.RequestStream, reason: outcomes.Reason
    ) -> None:
        outcome = outcomes.Outcome.NOT_RUN
        retry_after = exchange.RETRY_AFTER_SECONDS
        self._send_refusal(stream, outcomes.Refusal(outcome, reason, retry_after))
        stream.flow.remove_stream(stream.stream_id)

    def _send_refusal(
        self, stream: request_stream.RequestStream, refusal: outcomes.Refusal
    ) -> None:
        self._counters.add(counters.Counter.REQUESTS_NOT_RUN)
        log.info(
            events.Event.REQUEST_REFUSED,
            service=self._service,
            reason=refusal.reason.value,
            retry_after=refusal.retry_after,
        )
        exchange.send_refusal(stream, refusal)

    def _remove(self, request: _Request) -> None:
        self._requests.pop(request.id, None)
        self._requests_by_stream.pop(request.stream, None)
        request.stream.flow.remove_stream(request.stream.stream_id)

    # Feeds.

    def _open_feed(
        self,
        stream: request_stream.RequestStream,
        head: headers.RequestHead,
        opened: asyncio.Future[None] | None,
    ) -> None:
        self._counters.add(counters.Counter.FEEDS_OPENED)
        task = self._loop.create_task(self._run_feed(stream, head, opened))
        self._feeds[stream] = task

    async def _run_feed(
        self,
        stream: request_stream.RequestStream,
        head: headers.RequestHead,
        opened: asyncio.Future[None] | None,
    ) -> None:
        try:
            result = await exchange.relay_feed(stream, head, self._server, opened)
            self._counters.add(_RESULT_COUNTERS[result])
        except Exception:
            stream.reset(request_stream.ResetCode.INTERNAL_ERROR)
            log.exception(events.Event.REQUEST_FAILED, service=self._service)
        finally:
            del self._feeds[stream]
            stream.flow.remove_stream(stream.stream_id)


def _recorded_response(
    recorder: request_stream.ResponseRecorder,
) -> idempotency.StoredResponse | None:
    if recorder.headers is None or recorder.body is None:
        return None
    fields = [(n, v) for n, v in recorder.headers if not n.startswith(b":")]
    return idempotency.StoredResponse(
        headers.status_of(recorder.headers), fields, recorder.body
    )
