"""Carries out the at-most-once rule for one endpoint."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses

from cactushall_core import identifiers, peering
from cactushall_core.once import ledger, messages
from cactushall_daemon.agent import headers, peers
from cactushall_rpc import control
from cactushall_rpc.generated import control_pb2

MAX_STORED_BODY_BYTES = 64 * 1024
MAX_ATTEMPTS = 5
RETRY_PAUSE_SECONDS = 0.2


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole answer, kept for later submissions of its key."""

    status: int
    fields: headers.Headers
    body: bytes


@dataclasses.dataclass(frozen=True)
class Start:
    """Run the request here."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """Give the caller the answer that the key has got already."""

    answer: Answer


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request has not run and may be submitted again."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request may have run."""


Admission = Start | Replay | NotRun | Unknown


@dataclasses.dataclass
class _Run:
    """A key that runs or ran here, and who waits for its answer."""

    finished: asyncio.Future[Answer | None]
    expires_at: float


class OnceDesk:
    """Idempotency keys of one endpoint."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        member: identifiers.MemberId,
        known_peers: peers.Peers,
        client: control.Client,
        on_newer_epoch: collections.abc.Callable[[], None],
    ) -> None:
        """Know no key yet.

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
        self._ledger = ledger.Ledger(member, self._loop.time())
        self._decisions: dict[messages.KeyDigest, asyncio.Future[ledger.Decide]] = {}
        self._runs: dict[messages.KeyDigest, _Run] = {}

    @property
    def keys(self) -> ledger.Ledger:
        """The member's knowledge of keys."""
        return self._ledger

    async def admit(self, key: messages.KeyDigest, deadline: float) -> Admission:
        """Decide what to do with a submission.

        Args:
            key: The key.
            deadline: Until when an answer is of use.
        """
        released_by: identifiers.MemberId | None = None
        for _ in range(MAX_ATTEMPTS):
            decision = await self._decide(key, released_by, deadline)
            if decision.verdict is ledger.Verdict.START:
                self._begin(key)
                return Start()
            if decision.verdict is ledger.Verdict.OWN:
                return await self._wait_here(key, deadline)
            if decision.verdict is ledger.Verdict.NOT_RUN:
                return NotRun()
            if decision.verdict is ledger.Verdict.RETRY:
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
                continue
            if decision.verdict is ledger.Verdict.UNKNOWN or decision.holder is None:
                return Unknown()
            fetched = await self._fetch(key, decision.holder, deadline)
            if fetched is not None:
                return fetched
            released_by = decision.holder
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        return Unknown()

    def start(self, key: messages.KeyDigest) -> bool:
        """Note that a request starts, where that is still allowed."""
        return self._ledger.start(key, self._loop.time())

    def finish(self, key: messages.KeyDigest, answer: Answer | None) -> None:
        """Note the answer of a run, None where it is unknown or too large."""
        run = self._runs.get(key)
        if run is not None and not run.finished.done():
            run.finished.set_result(answer)

    def release(self, key: messages.KeyDigest) -> None:
        """Note that an admitted request did not run."""
        self._ledger.release(key)
        run = self._runs.pop(key, None)
        if run is not None and not run.finished.done():
            run.finished.cancel()

    def handle(self, sender: identifiers.MemberId, body: peering.Body) -> None:
        """Handle a message of a peer."""
        now = self._loop.time()
        if not isinstance(body, peering.Heartbeat):
            self._carry_out(self._ledger.handle(sender, body, now))
            return
        self._peers.hear(sender, body)
        if body.echo > 0:
            self._ledger.vouch(sender, body.epoch, body.echo)
        if body.epoch > self._ledger.current_epoch.number:
            self._on_newer_epoch()

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._carry_out(self._ledger.tick(now))
        while self._runs:
            key = next(iter(self._runs))
            if self._runs[key].expires_at > now:
                return
            self.finish(key, None)
            del self._runs[key]

    async def answer(
        self, request: control_pb2.AnswerRequest
    ) -> control_pb2.AnswerResponse:
        """Answer a peer that asks for the outcome of a key."""
        key = messages.KeyDigest(request.key)
        member = identifiers.MemberId(request.member)
        found: Admission = NotRun()
        if key in self._runs:
            deadline = self._loop.time() + request.timeout_ms / 1000
            found = await self._wait_here(key, deadline)
        if isinstance(found, Replay):
            return _to_message(found.answer)
        if isinstance(found, NotRun) and self._ledger.pass_on(
            key, member, self._loop.time()
        ):
            never = control_pb2.AnswerResponse.NEVER_RAN
            return control_pb2.AnswerResponse(result=never)
        return control_pb2.AnswerResponse()

    async def hand_over(self) -> bool:
        """Give all keys to other agents, before this one leaves.

        Returns:
            Whether enough other agents have them.
        """
        self._ledger.begin_leaving()
        entries = [
            control_pb2.HandoverEntry(key=key, holder=holder)
            for key, holder in self._ledger.export(self._loop.time())
        ]
        request = control_pb2.HandoverRequest(
            service=self._service,
            entries=entries,
            member=self._member,
            released=self._ledger.export_released(self._loop.time()),
        )
        takers = set()
        for member, receiver in self._peers.present().items():
            try:
                await self._client.hand_over(receiver.control_address, request)
                takers.add(member)
            except control.ControlError:
                continue
        return self._ledger.is_kept_by(takers)

    def take_over(self, request: control_pb2.HandoverRequest) -> None:
        """Remember the keys of an agent that leaves."""
        entries = [
            (messages.KeyDigest(entry.key), identifiers.MemberId(entry.holder))
            for entry in request.entries
        ]
        member = identifiers.MemberId(request.member)
        self._carry_out(self._ledger.take_over(member, entries, self._loop.time()))
        released = [messages.KeyDigest(key) for key in request.released]
        self._ledger.forget_released(released, member)

    async def _decide(
        self,
        key: messages.KeyDigest,
        released_by: identifiers.MemberId | None,
        deadline: float,
    ) -> ledger.Decide:
        waiting = self._decisions.get(key)
        is_first = waiting is None
        if waiting is None:
            waiting = self._loop.create_future()
            self._decisions[key] = waiting
            now = self._loop.time()
            self._carry_out(self._ledger.submit(key, now, released_by))
        remaining = max(0.0, deadline - self._loop.time())
        try:
            decision = await asyncio.wait_for(asyncio.shield(waiting), remaining)
        except TimeoutError:
            return ledger.Decide(key, ledger.Verdict.UNKNOWN)
        if decision.verdict is ledger.Verdict.START and not is_first:
            return ledger.Decide(key, ledger.Verdict.OWN)
        return decision

    def _carry_out(self, actions: list[ledger.Action]) -> None:
        for action in actions:
            if isinstance(action, ledger.Send):
                self._peers.send(action.member, action.message)
            else:
                waiting = self._decisions.pop(action.key, None)
                if waiting is not None:
                    waiting.set_result(action)

    def _begin(self, key: messages.KeyDigest) -> None:
        expires_at = self._loop.time() + ledger.DEFAULT_LIFETIME_SECONDS
        self._runs.pop(key, None)
        self._runs[key] = _Run(self._loop.create_future(), expires_at)

    async def _wait_here(self, key: messages.KeyDigest, deadline: float) -> Admission:
        run = self._runs.get(key)
        if run is None:
            return Unknown()
        remaining = max(0.0, deadline - self._loop.time())
        try:
            answer = await asyncio.wait_for(asyncio.shield(run.finished), remaining)
        except TimeoutError:
            return Unknown()
        except asyncio.CancelledError:
            if run.finished.cancelled():
                return NotRun()
            raise
        return Unknown() if answer is None else Replay(answer)

    async def _fetch(
        self, key: messages.KeyDigest, holder: identifiers.MemberId, deadline: float
    ) -> Admission | None:
        """Ask the holder of a key for its answer; None where it never ran there."""
        member = self._peers.present().get(holder)
        if member is None:
            return Unknown()
        remaining = max(0.0, deadline - self._loop.time())
        request = control_pb2.AnswerRequest(
            service=self._service,
            key=key,
            member=self._member,
            timeout_ms=int(remaining * 1000),
        )
        try:
            response = await self._client.answer(member.control_address, request)
        except control.ControlError:
            return Unknown()
        if response.result == control_pb2.AnswerResponse.ANSWERED:
            return Replay(_from_message(response))
        if response.result == control_pb2.AnswerResponse.NEVER_RAN:
            return None
        return Unknown()


def _to_message(answer: Answer) -> control_pb2.AnswerResponse:
    return control_pb2.AnswerResponse(
        result=control_pb2.AnswerResponse.ANSWERED,
        status=answer.status,
        headers=[
            control_pb2.Header(name=name, value=value) for name, value in answer.fields
        ],
        body=answer.body,
    )


def _from_message(response: control_pb2.AnswerResponse) -> Answer:
    fields = [(header.name, header.value) for header in response.headers]
    return Answer(response.status, fields, response.body)
