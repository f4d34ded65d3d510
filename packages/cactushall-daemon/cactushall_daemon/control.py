"""Server of the control service, for other processes and operators."""

from __future__ import annotations

import collections.abc
import dataclasses

import grpclib.const
import grpclib.exceptions
import grpclib.server

from cactushall_core import exceptions
from cactushall_core.membership import messages, records
from cactushall_daemon import counters
from cactushall_rpc.generated import control_grpc, control_pb2


def reject_move(reason: str) -> control_pb2.MoveFlowResponse:
    """Return the response to a rejected flow move."""
    return control_pb2.MoveFlowResponse(
        result=control_pb2.MoveFlowResponse.REJECTED, reason=reason
    )


async def _reject_flow(_: bytes) -> control_pb2.MoveFlowResponse:
    return reject_move("not an agent")


async def _return_no_answer(
    _: control_pb2.AnswerRequest,
) -> control_pb2.AnswerResponse:
    return control_pb2.AnswerResponse()


def _ignore_handover(_: control_pb2.HandoverRequest) -> None:
    return None


@dataclasses.dataclass(frozen=True)
class AgentHandlers:
    """Handlers of calls that only agents serve; the defaults suit other processes.

    Attributes:
        wait_for_answer: Waits for the answer to a request with an idempotency key.
        accept_handover: Stores the keys of a leaving agent.
        endpoint_statuses: Returns the status of the endpoints.
        accept_flow: Accepts an encoded flow.
        switched_moves: Returns the moves whose callers use their new homes already.
    """

    wait_for_answer: collections.abc.Callable[
        [control_pb2.AnswerRequest],
        collections.abc.Awaitable[control_pb2.AnswerResponse],
    ] = _return_no_answer
    accept_handover: collections.abc.Callable[[control_pb2.HandoverRequest], None] = (
        _ignore_handover
    )
    endpoint_statuses: collections.abc.Callable[
        [], list[control_pb2.EndpointStatus]
    ] = list
    accept_flow: collections.abc.Callable[
        [bytes], collections.abc.Awaitable[control_pb2.MoveFlowResponse]
    ] = _reject_flow
    switched_moves: collections.abc.Callable[[list[bytes]], list[bytes]] = list


@dataclasses.dataclass(frozen=True)
class NodeView:
    """What the control service uses of its process.

    Attributes:
        snapshot: Returns the table of members.
        handle_table_request: Returns the encoded answer to another process's encoded
            request for a table.
        configuration: Returns the configuration in force, encoded.
        revision: Returns the revision of the configuration in force.
        agent_handlers: Handlers of calls that only agents serve.
        process_counters: The process's counters.
        member: Returns the member that the process announces.
    """

    snapshot: collections.abc.Callable[[], tuple[records.Record, ...]]
    handle_table_request: collections.abc.Callable[[bytes], bytes]
    configuration: collections.abc.Callable[[], bytes]
    revision: collections.abc.Callable[[], int]
    agent_handlers: AgentHandlers
    process_counters: counters.Counters
    member: collections.abc.Callable[[], records.Member]


class ControlService(control_grpc.ControlBase):
    """Handles control calls of other processes and of operators."""

    def __init__(self, view: NodeView) -> None:
        """Create the service for a process."""
        self._view = view

    async def Synchronize(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.SynchronizeRequest, control_pb2.SynchronizeResponse
        ],
    ) -> None:
        """Answer another process's request for a table of members."""
        request = await stream.recv_message()
        if request is None:
            return
        try:
            table = self._view.handle_table_request(request.table)
        except exceptions.DecodeError as error:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT, str(error)
            ) from error
        response = control_pb2.SynchronizeResponse(
            table=table, configuration=self._view.configuration()
        )
        await stream.send_message(response)

    async def Configuration(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.ConfigurationRequest, control_pb2.ConfigurationResponse
        ],
    ) -> None:
        """Return the configuration in force, encoded."""
        await stream.recv_message()
        response = control_pb2.ConfigurationResponse(
            configuration=self._view.configuration()
        )
        await stream.send_message(response)

    async def Status(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.StatusRequest, control_pb2.StatusResponse
        ],
    ) -> None:
        """Return the state of this process."""
        await stream.recv_message()
        member = self._view.member()
        present = sum(record.is_present for record in self._view.snapshot())
        response = control_pb2.StatusResponse(
            node=member.name,
            role=member.role.name.lower(),
            zone=member.zone,
            revision=self._view.revision(),
            members=present,
            counters=[
                control_pb2.Counter(name=counter.value, value=value)
                for counter, value in self._view.process_counters.items()
            ],
            endpoints=self._view.agent_handlers.endpoint_statuses(),
        )
        await stream.send_message(response)

    async def Members(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.MembersRequest, control_pb2.MembersResponse
        ],
    ) -> None:
        """Return the table of members."""
        await stream.recv_message()
        table = messages.encode_table(self._view.snapshot())
        await stream.send_message(control_pb2.MembersResponse(table=table))

    async def MoveFlow(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.MoveFlowRequest, control_pb2.MoveFlowResponse
        ],
    ) -> None:
        """Take over a flow."""
        request = await stream.recv_message()
        if request is not None:
            response = await self._view.agent_handlers.accept_flow(request.record)
            await stream.send_message(response)

    async def Switched(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.SwitchedRequest, control_pb2.SwitchedResponse
        ],
    ) -> None:
        """Return the moves whose callers use their new homes already."""
        request = await stream.recv_message()
        if request is not None:
            switched = self._view.agent_handlers.switched_moves(list(request.move_ids))
            await stream.send_message(control_pb2.SwitchedResponse(move_ids=switched))

    async def Answer(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.AnswerRequest, control_pb2.AnswerResponse
        ],
    ) -> None:
        """Wait for the answer to a request that runs at this agent."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(
                await self._view.agent_handlers.wait_for_answer(request)
            )

    async def Handover(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.HandoverRequest, control_pb2.HandoverResponse
        ],
    ) -> None:
        """Take over the keys of a leaving agent."""
        request = await stream.recv_message()
        if request is not None:
            self._view.agent_handlers.accept_handover(request)
            await stream.send_message(control_pb2.HandoverResponse())
