"""The requests of one endpoint: queue, exchanges and feeds."""

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
    once,
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
    id: slots.RequestId
    stream: request_stream.RequestStream
    head: headers.RequestHead
    deadline: float
    key: messages.KeyDigest | None = None
    task: asyncio.Task[None] | None = None


class RequestDesk:
    """Takes the requests of all flows of one endpoint."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        server: addresses.Address,
        slot_count: int,
        once_desk: once.OnceDesk,
        tallies: counters.Counters,
    ) -> None:
        """Start with no requests.

        Args:
            service: The service.
            server: The backend server.
            slot_count: How many requests the server runs at once.
            once_desk: Admits requests with an idempotency key.
            tallies: Takes counts.
        """
        self._service = service
        self._server = server
        self._once = once_desk
        self._counters = tallies
        self._admitting: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._queue = slots.SlotQueue(slot_count, random.Random())
        self._requests: dict[slots.RequestId, _Request] = {}
        self._by_stream: dict[request_stream.RequestStream, _Request] = {}
        self._ids = itertools.count(1)
        self._feeds: dict[request_stream.RequestStream, asyncio.Task[None]] = {}
        self._is_draining = False
        self.deadline_seconds = 0.0

    @property
    def queue(self) -> slots.SlotQueue:
        """The queue before the server's slots."""
        return self._queue

    @property
    def feed_count(self) -> int:
        """How many feeds are open."""
        return len(self._feeds)

    def set_draining(self, is_draining: bool) -> None:
        """Start no request while draining; what runs goes on."""
        if is_draining == self._is_draining:
            return
        self._is_draining = is_draining
        self._carry_out(self._queue.set_paused(is_draining, self._loop.time()))

    def tick(self, now: float) -> None:
        """Refuse and abort what is past its deadline."""
        self._carry_out(self._queue.tick(now))

    def start(self, stream: request_stream.RequestStream) -> None:
        """Take a new request."""
        self._counters.add(counters.Counter.REQUESTS)
        head = headers.parse_request(stream.headers)
        if headers.size(stream.headers) > headers.MAX_HEADER_BYTES:
            self._refuse(stream, outcomes.Reason.TOO_LARGE)
        elif head.is_feed:
            self._open_feed(stream, head, None)
        else:
            allowed = self.deadline_seconds
            if head.timeout_seconds is not None:
                allowed = min(allowed, head.timeout_seconds)
            self._admit_or_offer(stream, head, allowed)

    def cancel(self, stream: request_stream.RequestStream, is_reset: bool) -> None:
        """Note that the caller has given up a request.

        A request with an idempotency key that runs goes on where only the
        connection was lost, since its caller may ask again.
        """
        request = self._by_stream.get(stream)
        if request is None:
            return
        if request.key is not None and request.task is not None and not is_reset:
            return
        self._carry_out(self._queue.cancel(request.id, self._loop.time()))
        if request.task is None:
            self._counters.add(counters.Counter.REQUESTS_CANCELLED)
            self._release(request)
            self._forget(request)

    # Moves of flows.

    def is_movable(self, moved: flow.Flow) -> bool:
        """Tell whether no request of a flow runs at the server."""
        return all(map(self._is_stream_movable, moved.streams.values()))

    def has_queued(self, moved: flow.Flow) -> bool:
        """Tell whether a request of a flow waits."""
        return any(stream in self._by_stream for stream in moved.streams.values())

    def detach(self, moved: flow.Flow) -> tuple[handoff.Request, ...]:
        """Take a frozen flow's requests out of the queue and export them."""
        exported = []
        now = self._loop.time()
        for stream in moved.streams.values():
            request = self._by_stream.get(stream)
            remaining = 0.0
            if request is not None:
                remaining = request.deadline - now
                self._queue.cancel(request.id, now)
                self._by_stream.pop(stream)
                self._requests.pop(request.id)
                self._release(request)
            exported.append(stream.export(remaining))
        return tuple(exported)

    def reattach(self, kept: flow.Flow, exported: tuple[handoff.Request, ...]) -> None:
        """Queue a flow's requests again after no other agent took it."""
        for item in exported:
            stream = kept.streams.get(item.stream_id)
            if stream is not None and stream not in self._feeds:
                head = headers.parse_request(stream.headers)
                self._admit_or_offer(stream, head, item.remaining_seconds)

    async def attach(
        self, taken: flow.Flow, exported: tuple[handoff.Request, ...]
    ) -> None:
        """Take over the requests of a flow from another agent.

        Raises:
            FeedRefusedError: The server does not go on with a feed; nothing was
                sent to the caller.
        """
        waiting = []
        queued = []
        for item in exported:
            stream = taken.restore_stream(item)
            head = headers.parse_request(stream.headers)
            if head.is_feed:
                opened: asyncio.Future[None] = self._loop.create_future()
                self._open_feed(stream, head, opened)
                waiting.append(opened)
            else:
                queued.append((stream, head, item.remaining_seconds))
        outcomes_ = await asyncio.gather(*waiting, return_exceptions=True)
        for outcome in outcomes_:
            if isinstance(outcome, BaseException):
                raise exchange.FeedRefusedError(str(outcome))
        for stream, head, remaining in queued:
            self._admit_or_offer(stream, head, remaining)

    def _is_stream_movable(self, stream: request_stream.RequestStream) -> bool:
        request = self._by_stream.get(stream)
        if request is not None:
            return request.task is None and not stream.is_body_read
        is_feed = stream in self._feeds
        return is_feed and (stream.events is not None or not stream.is_response_started)

    # Requests.

    def _admit_or_offer(
        self,
        stream: request_stream.RequestStream,
        head: headers.RequestHead,
        allowed: float,
    ) -> None:
        deadline = self._loop.time() + allowed
        if head.idempotency_key is None:
            self._offer(stream, head, deadline, None)
            return
        key = messages.digest(head.idempotency_key)
        task = self._loop.create_task(self._admit(stream, head, deadline, key))
        self._admitting.add(task)
        task.add_done_callback(self._admitting.discard)

    async def _admit(
        self,
        stream: request_stream.RequestStream,
        head: headers.RequestHead,
        deadline: float,
        key: messages.KeyDigest,
    ) -> None:
        admission = await self._once.admit(key, deadline)
        if stream.is_closed:
            if isinstance(admission, once.Start):
                self._once.release(key)
        elif isinstance(admission, once.Start):
            self._offer(stream, head, deadline, key)
        elif isinstance(admission, once.Replay):
            await self._replay(stream, admission.answer)
        elif isinstance(admission, once.NotRun):
            self._refuse(stream, outcomes.Reason.NO_QUORUM)
        else:
            reason = outcomes.Reason.EARLIER_SUBMISSION
            retry_after = exchange.RETRY_AFTER_SECONDS
            refusal = outcomes.Refusal(outcomes.Outcome.UNKNOWN, reason, retry_after)
            self._counters.add(counters.Counter.REQUESTS_UNKNOWN)
            exchange.answer(stream, refusal)
            stream.flow.finish_stream(stream.stream_id)

    async def _replay(
        self, stream: request_stream.RequestStream, answer: once.Answer
    ) -> None:
        self._counters.add(counters.Counter.REQUESTS_REPLAYED)
        try:
            fields = headers.to_caller(answer.status, answer.fields)
            stream.send_headers(fields, is_last=False)
            await stream.send_data(answer.body, is_last=True)
        except request_stream.StreamClosedError:
            return
        finally:
            stream.flow.finish_stream(stream.stream_id)

    def _release(self, request: _Request) -> None:
        if request.key is not None:
            self._once.release(request.key)

    def _offer(
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
        self._by_stream[stream] = request
        caller = slots.CallerKey(stream.flow.caller.host.encode())
        self._carry_out(self._queue.offer(request_id, caller, request.deadline, now))

    def _carry_out(self, actions: list[slots.Action]) -> None:
        for action in actions:
            request = self._requests.get(action.request)
            if request is None:
                continue
            if isinstance(action, slots.Start):
                request.task = self._loop.create_task(self._run(request))
            elif isinstance(action, slots.Refuse):
                self._release(request)
                self._answer(request.stream, action.refusal)
                self._forget(request)
            elif request.task is not None:
                request.task.cancel()

    async def _run(self, request: _Request) -> None:
        result = exchange.Result.UNKNOWN
        if request.key is not None and not self._once.start(request.key):
            self._forget(request)
            self._refuse(request.stream, outcomes.Reason.NO_QUORUM)
            now = self._loop.time()
            self._carry_out(self._queue.finish(request.id, now, is_answered=False))
            return
        if request.key is not None:
            request.stream.recording = request_stream.Recording(
                once.MAX_STORED_BODY_BYTES
            )
        try:
            remaining = request.deadline - self._loop.time()
            result = await exchange.run(
                request.stream, request.head, self._server, remaining
            )
        except Exception:
            request.stream.reset(request_stream.ResetCode.INTERNAL_ERROR)
            log.exception(events.Event.REQUEST_FAILED, service=self._service)
        finally:
            self._counters.add(_RESULT_COUNTERS[result])
            if result is exchange.Result.UNKNOWN:
                log.warning(events.Event.REQUEST_UNKNOWN, service=self._service)
            self._note_result(request, result)
            self._forget(request)
            is_answered = result is exchange.Result.ANSWERED
            now = self._loop.time()
            self._carry_out(
                self._queue.finish(request.id, now, is_answered=is_answered)
            )

    def _note_result(self, request: _Request, result: exchange.Result) -> None:
        """Keep the answer of a key for later submissions."""
        recording = request.stream.recording
        if request.key is None or recording is None:
            return
        answer = _recorded_answer(recording)
        is_shed = answer is not None and answer.status == SHED_STATUS
        if result is exchange.Result.NOT_RUN or is_shed:
            self._release(request)
        else:
            is_answered = result is exchange.Result.ANSWERED
            self._once.finish(request.key, answer if is_answered else None)

    def _refuse(
        self, stream: request_stream.RequestStream, reason: outcomes.Reason
    ) -> None:
        outcome = outcomes.Outcome.NOT_RUN
        retry_after = exchange.RETRY_AFTER_SECONDS
        self._answer(stream, outcomes.Refusal(outcome, reason, retry_after))
        stream.flow.finish_stream(stream.stream_id)

    def _answer(
        self, stream: request_stream.RequestStream, refusal: outcomes.Refusal
    ) -> None:
        self._counters.add(counters.Counter.REQUESTS_NOT_RUN)
        log.info(
            events.Event.REQUEST_REFUSED,
            service=self._service,
            reason=refusal.reason.value,
            retry_after=refusal.retry_after,
        )
        exchange.answer(stream, refusal)

    def _forget(self, request: _Request) -> None:
        self._requests.pop(request.id, None)
        self._by_stream.pop(request.stream, None)
        request.stream.flow.finish_stream(request.stream.stream_id)

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
            result = await exchange.run_feed(stream, head, self._server, opened)
            self._counters.add(_RESULT_COUNTERS[result])
        except Exception:
            stream.reset(request_stream.ResetCode.INTERNAL_ERROR)
            log.exception(events.Event.REQUEST_FAILED, service=self._service)
        finally:
            del self._feeds[stream]
            stream.flow.finish_stream(stream.stream_id)


def _recorded_answer(recording: request_stream.Recording) -> once.Answer | None:
    if recording.headers is None or recording.body is None:
        return None
    fields = [(n, v) for n, v in recording.headers if not n.startswith(b":")]
    return once.Answer(headers.status_of(recording.headers), fields, recording.body)
