"""The control service of a daemon."""

from __future__ import annotations

import collections.abc
import dataclasses

import grpclib.server

from cactushall_core import exceptions
from cactushall_core.membership import messages, records
from cactushall_daemon import counters
from cactushall_rpc.generated import control_grpc, control_pb2

RECORDS_PER_PART = 500


def rejected(reason: str) -> control_pb2.MoveFlowResponse:
    """Return the answer to a flow that cannot be taken."""
    return control_pb2.MoveFlowResponse(
        result=control_pb2.MoveFlowResponse.REJECTED, reason=reason
    )


async def _take_no_flow(_: bytes) -> control_pb2.MoveFlowResponse:
    return rejected("not an agent")


async def _know_no_answer(
    _: control_pb2.AnswerRequest,
) -> control_pb2.AnswerResponse:
    return control_pb2.AnswerResponse()


def _take_no_keys(_: control_pb2.HandoverRequest) -> None:
    return None


@dataclasses.dataclass(frozen=True)
class AgentDuties:
    """What only agents do; the defaults are those of other processes.

    Attributes:
        answer: Waits for the answer to a request with an idempotency key.
        hand_over: Takes over the keys of a leaving agent.
        endpoints: Returns the state of the endpoints.
        take_flow: Takes over an encoded flow.
        switched: Returns those moves whose callers use their new homes.
    """

    answer: collections.abc.Callable[
        [control_pb2.AnswerRequest],
        collections.abc.Awaitable[control_pb2.AnswerResponse],
    ] = _know_no_answer
    hand_over: collections.abc.Callable[[control_pb2.HandoverRequest], None] = (
        _take_no_keys
    )
    endpoints: collections.abc.Callable[[], list[control_pb2.EndpointStatus]] = list
    take_flow: collections.abc.Callable[
        [bytes], collections.abc.Awaitable[control_pb2.MoveFlowResponse]
    ] = _take_no_flow
    switched: collections.abc.Callable[[list[bytes]], list[bytes]] = list


@dataclasses.dataclass(frozen=True)
class NodeView:
    """What the control service shows of a process.

    Attributes:
        snapshot: Returns the table of members.
        merge: Takes in another process's table.
        configuration: Returns the adopted configuration, encoded.
        revision: Returns the revision of the adopted configuration.
        duties: What only agents do.
        tallies: The counters.
        member: Returns what the process says of itself.
    """

    snapshot: collections.abc.Callable[[], tuple[records.Record, ...]]
    merge: collections.abc.Callable[[tuple[records.Record, ...]], None]
    configuration: collections.abc.Callable[[], bytes]
    revision: collections.abc.Callable[[], int]
    duties: AgentDuties
    tallies: counters.Counters
    member: collections.abc.Callable[[], records.Member]


class ControlService(control_grpc.ControlBase):
    """Answers other processes and operators."""

    def __init__(self, view: NodeView) -> None:
        """Serve a view of the process."""
        self._view = view

    async def Synchronize(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.SynchronizeRequest, control_pb2.SynchronizeResponse
        ],
    ) -> None:
        """Exchange tables with a joining process."""
        request = await stream.recv_message()
        if request is None:
            return
        try:
            theirs = messages.decode_table(request.table)
        except exceptions.DecodeError:
            theirs = ()
        mine = self._view.snapshot()
        self._view.merge(theirs)
        for start in range(0, len(mine), RECORDS_PER_PART):
            part = mine[start : start + RECORDS_PER_PART]
            response = control_pb2.SynchronizeResponse(
                table=messages.encode_table(part),
                configuration=self._view.configuration() if start == 0 else b"",
            )
            await stream.send_message(response)

    async def Configuration(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.ConfigurationRequest, control_pb2.ConfigurationResponse
        ],
    ) -> None:
        """Return the adopted configuration."""
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
                for counter, value in self._view.tallies.items()
            ],
            endpoints=self._view.duties.endpoints(),
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
            answer = await self._view.duties.take_flow(request.record)
            await stream.send_message(answer)

    async def Switched(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.SwitchedRequest, control_pb2.SwitchedResponse
        ],
    ) -> None:
        """Return the moves whose callers use their new homes."""
        request = await stream.recv_message()
        if request is not None:
            switched = self._view.duties.switched(list(request.move_ids))
            await stream.send_message(control_pb2.SwitchedResponse(move_ids=switched))

    async def Answer(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.AnswerRequest, control_pb2.AnswerResponse
        ],
    ) -> None:
        """Wait for the answer to a request that runs here."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._view.duties.answer(request))

    async def Handover(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            control_pb2.HandoverRequest, control_pb2.HandoverResponse
        ],
    ) -> None:
        """Take over the keys of a leaving agent."""
        request = await stream.recv_message()
        if request is not None:
            self._view.duties.hand_over(request)
            await stream.send_message(control_pb2.HandoverResponse())
