"""Moves of live flows to and from other agents."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import secrets

from cactushall_core import addresses, exceptions, handoff, identifiers, tunnel
from cactushall_core.membership import records
from cactushall_daemon import control, counters, events, logs
from cactushall_daemon.agent import exchange, flow, peers, requests
from cactushall_daemon.agent.quic import transfer
from cactushall_rpc import control as control_client
from cactushall_rpc.generated import control_pb2

log = logs.get_logger(__name__)

MOVE_ID_BYTES = 16
OFFER_RETRY_SECONDS = 0.3
SWITCH_POLL_SECONDS = 0.2
SWITCH_TIMEOUT_SECONDS = 120.0
MAX_REMEMBERED_MOVES = 65_536
SWEEP_MOVES = 256

Forward = collections.abc.Callable[
    [addresses.Address, identifiers.HomeId, int, flow.HeldDatagram], None
]


class MoveOutcome(enum.Enum):
    """How an offer of a flow ended."""

    MOVED = "moved"
    NOT_NOW = "not-now"
    NO_RECEIVER = "no-receiver"


@dataclasses.dataclass
class _Departed:
    """A flow that has moved away and whose caller may still use old ids."""

    move_id: bytes
    receiver: records.Member
    home: identifiers.HomeId
    cids: tuple[bytes, ...]
    since: float


class Departures:
    """Flows that leave this endpoint."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        desk: requests.RequestDesk,
        known_peers: peers.Peers,
        client: control_client.Client,
        forward: Forward,
        tallies: counters.Counters,
    ) -> None:
        """Start with nothing moved.

        Args:
            service: The service.
            desk: The endpoint's requests.
            known_peers: The other agents.
            client: Makes control calls.
            forward: Sends a caller's datagram to another agent.
            tallies: Takes counts.
        """
        self._service = service
        self._desk = desk
        self._peers = known_peers
        self._client = client
        self._forward = forward
        self._counters = tallies
        self._loop = asyncio.get_running_loop()
        self._by_cid: dict[bytes, _Departed] = {}
        self._switching: dict[bytes, _Departed] = {}

    @property
    def switching_count(self) -> int:
        """How many callers may still use ids of this home."""
        return len(self._switching)

    def forward_datagram(self, cid: bytes, envelope: tunnel.Envelope) -> bool:
        """Pass on a datagram of a flow that has moved.

        Returns:
            Whether the flow is known to have moved.
        """
        departed = self._by_cid.get(cid)
        if departed is None:
            return False
        if envelope.hops < tunnel.MAX_HOPS:
            held = flow.HeldDatagram(envelope.payload, envelope.caller)
            address = departed.receiver.tunnel_address
            self._forward(address, departed.home, envelope.hops + 1, held)
        return True

    async def move(
        self, moved: flow.Flow, home: identifiers.HomeId | None
    ) -> MoveOutcome:
        """Offer a flow to a peer and hand it over where the peer takes it.

        Args:
            moved: The flow.
            home: The receiver, None where there is none.
        """
        if home is None:
            return MoveOutcome.NO_RECEIVER
        outcome = await self._move(moved, home)
        if outcome is not MoveOutcome.MOVED:
            self._peers.placement.release(home)
        return outcome

    async def _move(self, moved: flow.Flow, home: identifiers.HomeId) -> MoveOutcome:
        receiver = self._peers.member(home)
        if receiver is None:
            return MoveOutcome.NO_RECEIVER
        if moved.is_closed or moved.is_frozen or not self._desk.is_movable(moved):
            return MoveOutcome.NOT_NOW
        moved.transmit()
        try:
            quic = transfer.export(moved.quic)
        except transfer.NotMovableError:
            return MoveOutcome.NOT_NOW
        moved.freeze()
        exported = self._desk.detach(moved)
        record = self._make_record(moved, quic, exported)
        result = await self._offer(record, home, receiver)
        if result == control_pb2.MoveFlowResponse.ACCEPTED:
            self._depart(moved, record, home, receiver)
            return MoveOutcome.MOVED
        moved.thaw()
        self._desk.reattach(moved, exported)
        if result == control_pb2.MoveFlowResponse.FULL:
            self._peers.placement.note_full(home, self._loop.time())
        return MoveOutcome.NO_RECEIVER

    async def watch(self) -> None:
        """Ask receivers whose callers have switched, until cancelled."""
        while True:
            await asyncio.sleep(SWITCH_POLL_SECONDS)
            await self._poll_switching()

    def _make_record(
        self,
        moved: flow.Flow,
        quic: handoff.Quic,
        exported: tuple[handoff.Request, ...],
    ) -> handoff.Record:
        return handoff.Record(
            version=handoff.VERSION,
            move_id=secrets.token_bytes(MOVE_ID_BYTES),
            service=self._service,
            caller_host=moved.caller.host,
            caller_port=moved.caller.port,
            quic=quic,
            http=moved.http.export() if moved.has_http else None,
            requests=exported,
        )

    async def _offer(
        self,
        record: handoff.Record,
        home: identifiers.HomeId,
        receiver: records.Member,
    ) -> control_pb2.MoveFlowResponse.Result:
        """Offer a flow until the answer is known.

        An answer can be lost after the receiver took the flow, so the offer is
        repeated; only the death of the receiver ends it otherwise.
        """
        encoded = handoff.encode(record)
        while True:
            try:
                response = await self._client.move_flow(
                    receiver.control_address, encoded
                )
                if response.result != control_pb2.MoveFlowResponse.ACCEPTED:
                    log.info(
                        events.Event.MOVE_REFUSED,
                        peer=receiver.name,
                        why=response.reason,
                    )
                return response.result
            except control_client.ControlError as error:
                log.warning(
                    events.Event.MOVE_UNANSWERED, peer=receiver.name, why=str(error)
                )
            if self._peers.member(home) is None:
                return control_pb2.MoveFlowResponse.REJECTED
            await asyncio.sleep(OFFER_RETRY_SECONDS)

    def _depart(
        self,
        moved: flow.Flow,
        record: handoff.Record,
        home: identifiers.HomeId,
        receiver: records.Member,
    ) -> None:
        cids = tuple(cid.cid for cid in record.quic.host_cids)
        departed = _Departed(record.move_id, receiver, home, cids, self._loop.time())
        held = moved.abandon()
        self._switching[record.move_id] = departed
        for cid in cids:
            self._by_cid[cid] = departed
        for item in held:
            self._forward(receiver.tunnel_address, home, 1, item)
        self._counters.add(counters.Counter.FLOWS_MOVED_OUT)

    async def _poll_switching(self) -> None:
        by_receiver: dict[addresses.Address, list[bytes]] = collections.defaultdict(
            list
        )
        for departed in self._switching.values():
            address = departed.receiver.control_address
            by_receiver[address].append(departed.move_id)
        for address, move_ids in by_receiver.items():
            try:
                switched = await self._client.switched(address, move_ids)
            except control_client.ControlError:
                switched = set()
            for move_id in switched:
                self._finish(move_id)
        limit = self._loop.time() - SWITCH_TIMEOUT_SECONDS
        expired = [m for m, d in self._switching.items() if d.since < limit]
        for move_id in expired:
            self._finish(move_id)

    def _finish(self, move_id: bytes) -> None:
        departed = self._switching.pop(move_id, None)
        if departed is None:
            return
        for cid in departed.cids:
            self._by_cid.pop(cid, None)


AdoptFlow = collections.abc.Callable[[handoff.Record], flow.Flow]


class Arrivals:
    """Flows that come to this endpoint."""

    def __init__(
        self,
        desk: requests.RequestDesk,
        adopt: AdoptFlow,
        has_room: collections.abc.Callable[[], bool],
        tallies: counters.Counters,
    ) -> None:
        """Start with nothing taken.

        Args:
            desk: The endpoint's requests.
            adopt: Makes a flow of a record and registers its ids.
            has_room: Tells whether another flow may come.
            tallies: Takes counts.
        """
        self._desk = desk
        self._adopt = adopt
        self._has_room = has_room
        self._counters = tallies
        self._taken: dict[bytes, flow.Flow | None] = {}
        self._pending: dict[bytes, asyncio.Future[control_pb2.MoveFlowResponse]] = {}

    async def take(self, record: handoff.Record) -> control_pb2.MoveFlowResponse:
        """Take over a flow; a repeated offer gets the first one's answer."""
        if record.move_id in self._taken:
            return control_pb2.MoveFlowResponse()
        if record.move_id in self._pending:
            return await asyncio.shield(self._pending[record.move_id])
        answer: asyncio.Future[control_pb2.MoveFlowResponse]
        answer = asyncio.get_running_loop().create_future()
        self._pending[record.move_id] = answer
        try:
            answer.set_result(await self._take(record))
        except BaseException:
            answer.cancel()
            raise
        finally:
            del self._pending[record.move_id]
        return answer.result()

    def switched(self, move_ids: list[bytes]) -> list[bytes]:
        """Return those moves whose callers no longer use former ids."""
        return [move_id for move_id in move_ids if self._is_switched(move_id)]

    def _is_switched(self, move_id: bytes) -> bool:
        taken = self._taken.get(move_id)
        if taken is None:
            return True
        if not taken.is_closed and not taken.quic.is_caller_switched:
            return False
        self._taken[move_id] = None
        return True

    def _forget_ended(self) -> None:
        """Keep the ids of moves, but not the flows that have ended."""
        for move_id in list(self._taken):
            self._is_switched(move_id)

    async def _take(self, record: handoff.Record) -> control_pb2.MoveFlowResponse:
        if not self._has_room():
            return control_pb2.MoveFlowResponse(
                result=control_pb2.MoveFlowResponse.FULL, reason="no room"
            )
        try:
            taken = self._adopt(record)
        except (exceptions.DecodeError, ValueError, KeyError) as error:
            return control.rejected(str(error))
        taken.freeze()
        try:
            await self._desk.attach(taken, record.requests)
        except exchange.FeedRefusedError as error:
            taken.abandon()
            return control.rejected(str(error))
        self._taken[record.move_id] = taken
        if len(self._taken) % SWEEP_MOVES == 0:
            self._forget_ended()
        if len(self._taken) > MAX_REMEMBERED_MOVES:
            del self._taken[next(iter(self._taken))]
        self._counters.add(counters.Counter.FLOWS_MOVED_IN)
        asyncio.get_running_loop().call_soon(taken.begin)
        return control_pb2.MoveFlowResponse()
