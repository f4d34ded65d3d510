"""At-most-once execution of requests with an idempotency key at one endpoint.

`cactushall_core.once` makes the decisions; this module exchanges the messages with the
other agents and keeps the responses.
"""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import enum

from cactushall_core import identifiers, peering
from cactushall_core.once import key_registry, messages
from cactushall_daemon.agent import headers, peers
from cactushall_rpc import control
from cactushall_rpc.generated import control_pb2

MAX_STORED_BODY_BYTES = 64 * 1024
MAX_ATTEMPTS = 5
RETRY_DELAY_SECONDS = 0.2


@dataclasses.dataclass(frozen=True)
class StoredResponse:
    """A complete response, kept for later submissions of its key.

    Attributes:
        status: HTTP status.
        fields: Headers without pseudo-headers.
        body: The whole body.
    """

    status: int
    fields: headers.Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class Start:
    """The request may run at this endpoint."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The caller gets the stored response of an earlier submission.

    Attributes:
        response: The stored response.
    """

    response: StoredResponse


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request has not run and may be submitted again."""


class UnknownReason(enum.Enum):
    """Why the outcome of an earlier submission is not known.

    UNDECIDED: The members could not tell in time whether the key is new.
    HOLDER_GONE: The member that holds the key does not run any more.
    NO_ANSWER: It did not answer.
    NO_RESPONSE: It has no response that it could give.
    LATE: The run did not end before the deadline.
    """

    UNDECIDED = "undecided"
    HOLDER_GONE = "holder-gone"
    NO_ANSWER = "no-answer"
    NO_RESPONSE = "no-response"
    LATE = "late"


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request may have run, and its response is not known.

    Attributes:
        reason: Why it is not known.
        holder: The member that holds the key, None where that is not known.
    """

    reason: UnknownReason
    holder: identifiers.MemberId | None = None


Admission = Start | Replay | NotRun | Unknown


@dataclasses.dataclass
class _KeyRun:
    """The run of a key's request at this endpoint.

    Attributes:
        finished: Set to the response, or to None if it is not available.
        expires_at: Loop time in seconds at which the run is forgotten.
    """

    finished: asyncio.Future[StoredResponse | None]
    expires_at: float


class IdempotencyManager:
    """Ensures with the other agents that a key's request runs at most once."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        member: identifiers.MemberId,
        known_peers: peers.Peers,
        client: control.Client,
        on_newer_epoch: collections.abc.Callable[[], None],
    ) -> None:
        """Start without any keys.

        Args:
            service: The service.
            member: The agent's member id.
            known_peers: The other agents.
            client: Makes control calls.
            on_newer_epoch: Called when a peer has a newer epoch.
        """
        self._service = service
        self._member = member
        self._peers = known_peers
        self._client = client
        self._on_newer_epoch = on_newer_epoch
        self._loop = asyncio.get_running_loop()
        self._registry = key_registry.KeyRegistry(member, self._loop.time())
        self._pending_decisions: dict[
            messages.KeyDigest, asyncio.Future[key_registry.Decision]
        ] = {}
        self._runs: dict[messages.KeyDigest, _KeyRun] = {}

    @property
    def registry(self) -> key_registry.KeyRegistry:
        """What this member knows of the service's keys."""
        return self._registry

    async def admit(self, key: messages.KeyDigest, deadline: float) -> Admission:
        """Decide what to do with a submission of a key.

        Args:
            key: The key.
            deadline: Loop time in seconds after which a response is of no use.

        Returns:
            Whether to run the request, or what to send the caller instead.
        """
        released_by: identifiers.MemberId | None = None
        for _ in range(MAX_ATTEMPTS):
            decision = await self._request_decision(key, released_by, deadline)
            if decision.kind is key_registry.DecisionKind.START:
                self._add_run(key)
                return Start()
            if decision.kind is key_registry.DecisionKind.LOCAL:
                return await self._wait_for_run(key, deadline)
            if decision.kind is key_registry.DecisionKind.NOT_RUN:
                return NotRun()
            if decision.kind is key_registry.DecisionKind.RETRY:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            if (
                decision.kind is key_registry.DecisionKind.UNKNOWN
                or decision.holder is None
            ):
                return Unknown(UnknownReason.UNDECIDED)
            admission = await self._fetch_response(key, decision.holder, deadline)
            if admission is not None:
                return admission
            released_by = decision.holder
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return Unknown(UnknownReason.UNDECIDED)

    def try_start(self, key: messages.KeyDigest) -> bool:
        """Mark an admitted request as started.

        Returns:
            Whether it may still start.
        """
        return self._registry.start(key, self._loop.time())

    def finish(self, key: messages.KeyDigest, response: StoredResponse | None) -> None:
        """Store the response of a run.

        Args:
            key: The key.
            response: The response, None if it is unknown or too large.
        """
        run = self._runs.get(key)
        if run is not None and not run.finished.done():
            run.finished.set_result(response)

    def release(self, key: messages.KeyDigest) -> None:
        """Release the key of an admitted request that did not run."""
        self._registry.release(key)
        run = self._runs.pop(key, None)
        if run is not None and not run.finished.done():
            run.finished.cancel()

    def handle_message(self, sender: identifiers.MemberId, body: peering.Body) -> None:
        """Handle a message from a peer."""
        now = self._loop.time()
        if not isinstance(body, peering.Heartbeat):
            self._execute(self._registry.handle_message(sender, body, now))
            return
        self._peers.handle_heartbeat(sender, body)
        if body.echoed_sent_at > 0:
            self._registry.record_heartbeat(sender, body.epoch, body.echoed_sent_at)
        if body.epoch > self._registry.current_epoch.number:
            self._on_newer_epoch()

    def tick(self, now: float) -> None:
        """Process expired timeouts and forget expired runs."""
        self._execute(self._registry.tick(now))
        while self._runs:
            key = next(iter(self._runs))
            if self._runs[key].expires_at > now:
                return
            self.finish(key, None)
            del self._runs[key]

    async def answer_peer(
        self, request: control_pb2.AnswerRequest
    ) -> control_pb2.AnswerResponse:
        """Return the response of a key to a peer.

        If the request never ran here, the peer may run it and this endpoint never will.
        """
        key = messages.KeyDigest(request.key)
        member = identifiers.MemberId(request.member)
        admission: Admission = NotRun()
        if key in self._runs:
            deadline = self._loop.time() + request.timeout_ms / 1000
            admission = await self._wait_for_run(key, deadline)
        if isinstance(admission, Replay):
            return _to_message(admission.response)
        if isinstance(admission, NotRun) and self._registry.transfer(
            key, member, self._loop.time()
        ):
            never = control_pb2.AnswerResponse.NEVER_RAN
            return control_pb2.AnswerResponse(result=never)
        return control_pb2.AnswerResponse()

    async def hand_over_keys(self) -> bool:
        """Copy all keys to the other agents before this one leaves.

        Returns:
            Whether enough other agents have received them.
        """
        self._execute(self._registry.begin_leaving())
        entries = [
            control_pb2.HandoverEntry(key=key, holder=holder)
            for key, holder in self._registry.export(self._loop.time())
        ]
        request = control_pb2.HandoverRequest(
            service=self._service,
            entries=entries,
            member=self._member,
            released=self._registry.export_released(self._loop.time()),
        )
        receivers = set()
        for member, peer in self._peers.present_members().items():
            try:
                await self._client.hand_over(peer.control_address, request)
                receivers.add(member)
            except control.ControlError:
                continue
        return self._registry.is_replicated_to(receivers)

    def take_over_keys(self, request: control_pb2.HandoverRequest) -> None:
        """Store the keys of an agent that leaves."""
        entries = [
            (messages.KeyDigest(entry.key), identifiers.MemberId(entry.holder))
            for entry in request.entries
        ]
        member = identifiers.MemberId(request.member)
        self._execute(self._registry.take_over(member, entries, self._loop.time()))
        released = [messages.KeyDigest(key) for key in request.released]
        self._registry.forget_released(released, member)

    async def _request_decision(
        self,
        key: messages.KeyDigest,
        released_by: identifiers.MemberId | None,
        deadline: float,
    ) -> key_registry.Decision:
        decided = self._pending_decisions.get(key)
        is_first = decided is None
        if decided is None:
            decided = self._loop.create_future()
            self._pending_decisions[key] = decided
            now = self._loop.time()
            self._execute(self._registry.submit(key, now, released_by))
        remaining = max(0.0, deadline - self._loop.time())
        try:
            decision = await asyncio.wait_for(asyncio.shield(decided), remaining)
        except TimeoutError:
            return key_registry.Decision(key, key_registry.DecisionKind.UNKNOWN)
        if decision.kind is key_registry.DecisionKind.START and not is_first:
            return key_registry.Decision(key, key_registry.DecisionKind.LOCAL)
        return decision

    def _execute(self, actions: list[key_registry.Action]) -> None:
        for action in actions:
            if isinstance(action, key_registry.Send):
                self._peers.send(action.member, action.message)
            else:
                decided = self._pending_decisions.pop(action.key, None)
                if decided is not None:
                    decided.set_result(action)

    def _add_run(self, key: messages.KeyDigest) -> None:
        expires_at = self._loop.time() + key_registry.DEFAULT_KEY_LIFETIME_SECONDS
        self._runs.pop(key, None)
        self._runs[key] = _KeyRun(self._loop.create_future(), expires_at)

    async def _wait_for_run(
        self, key: messages.KeyDigest, deadline: float
    ) -> Admission:
        run = self._runs.get(key)
        if run is None:
            return Unknown(UnknownReason.NO_RESPONSE)
        remaining = max(0.0, deadline - self._loop.time())
        try:
            response = await asyncio.wait_for(asyncio.shield(run.finished), remaining)
        except TimeoutError:
            return Unknown(UnknownReason.LATE)
        except asyncio.CancelledError:
            if run.finished.cancelled():
                return NotRun()
            raise
        if response is None:
            return Unknown(UnknownReason.NO_RESPONSE)
        return Replay(response)

    async def _fetch_response(
        self, key: messages.KeyDigest, holder: identifiers.MemberId, deadline: float
    ) -> Admission | None:
        """Ask the holder of a key for its response.

        Returns:
            The admission, None if the request never ran at the holder.
        """
        member = self._peers.present_members().get(holder)
        if member is None:
            return Unknown(UnknownReason.HOLDER_GONE, holder)
        remaining = max(0.0, deadline - self._loop.time())
        request = control_pb2.AnswerRequest(
            service=self._service,
            key=key,
            member=self._member,
            timeout_ms=int(remaining * 1000),
        )
        try:
            response = await self._client.wait_for_answer(
                member.control_address, request
            )
        except control.ControlError:
            return Unknown(UnknownReason.NO_ANSWER, holder)
        if response.result == control_pb2.AnswerResponse.ANSWERED:
            return Replay(_from_message(response))
        if response.result == control_pb2.AnswerResponse.NEVER_RAN:
            return None
        return Unknown(UnknownReason.NO_RESPONSE, holder)


def _to_message(response: StoredResponse) -> control_pb2.AnswerResponse:
    return control_pb2.AnswerResponse(
        result=control_pb2.AnswerResponse.ANSWERED,
        status=response.status,
        headers=[
            control_pb2.Header(name=name, value=value)
            for name, value in response.fields
        ],
        body=response.body,
    )


def _from_message(response: control_pb2.AnswerResponse) -> StoredResponse:
    fields = [(header.name, header.value) for header in response.headers]
    return StoredResponse(response.status, fields, response.body)
