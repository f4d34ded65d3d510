"""Migration of live flows to and from other agents."""

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
SWITCH_POLL_INTERVAL_SECONDS = 0.2
SWITCH_TIMEOUT_SECONDS = 120.0
MAX_REMEMBERED_MOVES = 65_536
CLEANUP_INTERVAL_MOVES = 256

ForwardDatagram = collections.abc.Callable[
    [addresses.Address, identifiers.HomeId, int, flow.CallerDatagram], None
]


class MoveOutcome(enum.Enum):
    """Result of an attempt to move a flow.

    Attributes:
        MOVED: Another agent has it.
        NOT_NOW: The flow itself cannot move now.
        NO_RECEIVER: No agent took it.
    """

    MOVED = "moved"
    NOT_NOW = "not-now"
    NO_RECEIVER = "no-receiver"


@dataclasses.dataclass
class _MovedFlow:
    """A flow that has moved away while its caller may still use its old ids.

    Attributes:
        move_id: Id of the move.
        receiver: The agent that took the flow.
        home: The endpoint that took the flow.
        cids: The connection ids issued here.
        moved_at: Loop time in seconds of the move.
    """

    move_id: bytes
    receiver: records.Member
    home: identifiers.HomeId
    cids: tuple[bytes, ...]
    moved_at: float


class OutgoingMoves:
    """Moves flows from this endpoint to other agents."""

    def __init__(
        self,
        service: identifiers.ServiceName,
        dispatcher: requests.RequestDispatcher,
        known_peers: peers.Peers,
        client: control_client.Client,
        forward: ForwardDatagram,
        process_counters: counters.Counters,
    ) -> None:
        """Start without any moved flows.

        Args:
            service: The service.
            dispatcher: The endpoint's requests.
            known_peers: The other agents.
            client: Makes control calls.
            forward: Sends a caller's datagram to another agent.
            process_counters: The process's counters.
        """
        self._service = service
        self._dispatcher = dispatcher
        self._peers = known_peers
        self._client = client
        self._forward = forward
        self._counters = process_counters
        self._loop = asyncio.get_running_loop()
        self._moved_by_cid: dict[bytes, _MovedFlow] = {}
        self._pending_switches: dict[bytes, _MovedFlow] = {}

    @property
    def switching_count(self) -> int:
        """Number of moved flows whose callers may still use ids of this home."""
        return len(self._pending_switches)

    def forward_datagram(self, cid: bytes, envelope: tunnel.Envelope) -> bool:
        """Forward a datagram of a flow that has moved.

        Returns:
            Whether the flow is known to have moved.
        """
        moved_flow = self._moved_by_cid.get(cid)
        if moved_flow is None:
            return False
        if envelope.hops < tunnel.MAX_HOPS:
            datagram = flow.CallerDatagram(envelope.payload, envelope.caller)
            address = moved_flow.receiver.tunnel_address
            self._forward(address, moved_flow.home, envelope.hops + 1, datagram)
        return True

    async def move(
        self, moving_flow: flow.Flow, home: identifiers.HomeId | None
    ) -> MoveOutcome:
        """Offer a flow to a peer and hand it over if the peer accepts it.

        Args:
            moving_flow: The flow to move.
            home: The receiving endpoint, None if there is none.
        """
        if home is None:
            return MoveOutcome.NO_RECEIVER
        outcome = await self._move(moving_flow, home)
        if outcome is not MoveOutcome.MOVED:
            self._peers.placement.release_reservation(home)
        return outcome

    async def _move(
        self, moving_flow: flow.Flow, home: identifiers.HomeId
    ) -> MoveOutcome:
        receiver = self._peers.find_member(home)
        if receiver is None:
            return MoveOutcome.NO_RECEIVER
        if (
            moving_flow.is_closed
            or moving_flow.is_suspended
            or not self._dispatcher.is_movable(moving_flow)
        ):
            return MoveOutcome.NOT_NOW
        moving_flow.transmit()
        try:
            quic = transfer.export(moving_flow.quic)
        except transfer.NotMovableError:
            return MoveOutcome.NOT_NOW
        moving_flow.suspend()
        exported = self._dispatcher.export_requests(moving_flow)
        state = self._make_state(moving_flow, quic, exported)
        result = await self._offer(state, home, receiver)
        if result == control_pb2.MoveFlowResponse.ACCEPTED:
            self._complete_move(moving_flow, state, home, receiver)
            return MoveOutcome.MOVED
        moving_flow.resume_after_rejected_move()
        self._dispatcher.requeue_requests(moving_flow, exported)
        if result == control_pb2.MoveFlowResponse.FULL:
            self._peers.placement.mark_full(home, self._loop.time())
        return MoveOutcome.NO_RECEIVER

    async def run(self) -> None:
        """Poll receivers for callers that use their new ids, until cancelled."""
        while True:
            await asyncio.sleep(SWITCH_POLL_INTERVAL_SECONDS)
            await self._poll_receivers()

    def _make_state(
        self,
        moving_flow: flow.Flow,
        quic: handoff.Quic,
        exported: tuple[handoff.Request, ...],
    ) -> handoff.FlowState:
        return handoff.FlowState(
            version=handoff.VERSION,
            move_id=secrets.token_bytes(MOVE_ID_BYTES),
            service=self._service,
            caller_host=moving_flow.caller.host,
            caller_port=moving_flow.caller.port,
            quic=quic,
            http=moving_flow.http.export() if moving_flow.has_http else None,
            requests=exported,
        )

    async def _offer(
        self,
        state: handoff.FlowState,
        home: identifiers.HomeId,
        receiver: records.Member,
    ) -> control_pb2.MoveFlowResponse.Result:
        """Offer a flow repeatedly until the receiver responds or is gone.

        The offer is repeated since the receiver may have taken the flow although its
        response was lost.
        """
        encoded = handoff.encode(state)
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
            if self._peers.find_member(home) is None:
                return control_pb2.MoveFlowResponse.REJECTED
            await asyncio.sleep(OFFER_RETRY_SECONDS)

    def _complete_move(
        self,
        moving_flow: flow.Flow,
        state: handoff.FlowState,
        home: identifiers.HomeId,
        receiver: records.Member,
    ) -> None:
        cids = tuple(cid.cid for cid in state.quic.host_cids)
        moved_flow = _MovedFlow(state.move_id, receiver, home, cids, self._loop.time())
        datagrams = moving_flow.close_silently()
        self._pending_switches[state.move_id] = moved_flow
        for cid in cids:
            self._moved_by_cid[cid] = moved_flow
        for datagram in datagrams:
            self._forward(receiver.tunnel_address, home, 1, datagram)
        self._counters.add(counters.Counter.FLOWS_MOVED_OUT)

    async def _poll_receivers(self) -> None:
        move_ids_by_receiver: dict[addresses.Address, list[bytes]] = (
            collections.defaultdict(list)
        )
        for moved_flow in self._pending_switches.values():
            address = moved_flow.receiver.control_address
            move_ids_by_receiver[address].append(moved_flow.move_id)
        for address, move_ids in move_ids_by_receiver.items():
            try:
                switched = await self._client.switched_moves(address, move_ids)
            except control_client.ControlError:
                switched = set()
            for move_id in switched:
                self._forget_move(move_id)
        limit = self._loop.time() - SWITCH_TIMEOUT_SECONDS
        expired = [m for m, f in self._pending_switches.items() if f.moved_at < limit]
        for move_id in expired:
            self._forget_move(move_id)

    def _forget_move(self, move_id: bytes) -> None:
        moved_flow = self._pending_switches.pop(move_id, None)
        if moved_flow is None:
            return
        for cid in moved_flow.cids:
            self._moved_by_cid.pop(cid, None)


RestoreFlow = collections.abc.Callable[[handoff.FlowState], flow.Flow]


class IncomingMoves:
    """Accepts flows that other agents move to this endpoint."""

    def __init__(
        self,
        dispatcher: requests.RequestDispatcher,
        restore_flow: RestoreFlow,
        has_capacity: collections.abc.Callable[[], bool],
        process_counters: counters.Counters,
    ) -> None:
        """Start without any accepted flows.

        Args:
            dispatcher: The endpoint's requests.
            restore_flow: Restores a flow from its state and registers its ids.
            has_capacity: Returns whether the endpoint can hold another flow.
            process_counters: The process's counters.
        """
        self._dispatcher = dispatcher
        self._restore_flow = restore_flow
        self._has_capacity = has_capacity
        self._counters = process_counters
        self._accepted_flows: dict[bytes, flow.Flow | None] = {}
        self._pending_responses: dict[
            bytes, asyncio.Future[control_pb2.MoveFlowResponse]
        ] = {}

    async def accept(self, state: handoff.FlowState) -> control_pb2.MoveFlowResponse:
        """Accept or reject a flow; repeated offers get the first response."""
        if state.move_id in self._accepted_flows:
            return control_pb2.MoveFlowResponse()
        if state.move_id in self._pending_responses:
            return await asyncio.shield(self._pending_responses[state.move_id])
        response: asyncio.Future[control_pb2.MoveFlowResponse]
        response = asyncio.get_running_loop().create_future()
        self._pending_responses[state.move_id] = response
        try:
            response.set_result(await self._accept(state))
        except BaseException:
            response.cancel()
            raise
        finally:
            del self._pending_responses[state.move_id]
        return response.result()

    def filter_switched(self, move_ids: list[bytes]) -> list[bytes]:
        """Return the moves whose callers no longer use their former ids."""
        return [move_id for move_id in move_ids if self._has_caller_switched(move_id)]

    def _has_caller_switched(self, move_id: bytes) -> bool:
        accepted_flow = self._accepted_flows.get(move_id)
        if accepted_flow is None:
            return True
        if not accepted_flow.is_closed and not accepted_flow.quic.has_caller_switched:
            return False
        self._accepted_flows[move_id] = None
        return True

    def _release_ended_flows(self) -> None:
        """Release flows that have ended; the ids of their moves stay known."""
        for move_id in list(self._accepted_flows):
            self._has_caller_switched(move_id)

    async def _accept(self, state: handoff.FlowState) -> control_pb2.MoveFlowResponse:
        if not self._has_capacity():
            return control_pb2.MoveFlowResponse(
                result=control_pb2.MoveFlowResponse.FULL, reason="no room"
            )
        try:
            accepted_flow = self._restore_flow(state)
        except (exceptions.DecodeError, ValueError, KeyError) as error:
            return control.reject_move(str(error))
        accepted_flow.suspend()
        try:
            await self._dispatcher.import_requests(accepted_flow, state.requests)
        except exchange.FeedRefusedError as error:
            accepted_flow.close_silently()
            return control.reject_move(str(error))
        self._accepted_flows[state.move_id] = accepted_flow
        if len(self._accepted_flows) % CLEANUP_INTERVAL_MOVES == 0:
            self._release_ended_flows()
        if len(self._accepted_flows) > MAX_REMEMBERED_MOVES:
            del self._accepted_flows[next(iter(self._accepted_flows))]
        self._counters.add(counters.Counter.FLOWS_MOVED_IN)
        asyncio.get_running_loop().call_soon(accepted_flow.resume)
        return control_pb2.MoveFlowResponse()
