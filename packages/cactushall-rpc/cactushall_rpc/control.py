"""Client of the control service that every daemon offers."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import pathlib
import ssl

import grpclib.client
import grpclib.exceptions

from cactushall_core import addresses, exceptions
from cactushall_rpc.generated import control_grpc, control_pb2

CALL_TIMEOUT_SECONDS = 5.0

_ALPN = ["h2"]
_UNREACHABLE = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)


class ControlError(exceptions.CactushallError):
    """A control call failed or got no response."""


@dataclasses.dataclass(frozen=True)
class Credentials:
    """Files for mutual TLS between cactushall's processes.

    Attributes:
        certificate: Certificate chain of this process.
        private_key: Private key of this process.
        authority: Certificate of the authority that signs the certificates of all
            processes.
    """

    certificate: pathlib.Path
    private_key: pathlib.Path
    authority: pathlib.Path


def client_context(credentials: Credentials | None) -> ssl.SSLContext | None:
    """Return the TLS context for making calls, or None for calls in plain text.

    A process is authenticated by the authority that signed its certificate; its host
    name is not checked.

    Args:
        credentials: Files for mutual TLS, or None for plain text.

    Raises:
        OSError: A file cannot be read or is not valid.
    """
    if credentials is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load_credentials(context, credentials)


def server_context(credentials: Credentials | None) -> ssl.SSLContext | None:
    """Return the TLS context for serving calls, or None for plain text.

    Args:
        credentials: Files for mutual TLS, or None for plain text.

    Raises:
        OSError: A file cannot be read or is not valid.
    """
    if credentials is None:
        return None
    return _load_credentials(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), credentials)


def _load_credentials(
    context: ssl.SSLContext, credentials: Credentials
) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(credentials.certificate, credentials.private_key)
    context.load_verify_locations(credentials.authority)
    context.set_alpn_protocols(_ALPN)
    return context


class Client:
    """Makes control calls, each over its own connection.

    Every method raises ControlError if the call fails or gets no response.
    """

    def __init__(self, context: ssl.SSLContext | None = None) -> None:
        """Create a client.

        Args:
            context: TLS context, or None for calls in plain text.
        """
        self._context = context

    async def status(self, address: addresses.Address) -> control_pb2.StatusResponse:
        """Return the status of a daemon."""
        async with self._connect(address) as stub:
            request = control_pb2.StatusRequest()
            return await stub.Status(request, timeout=CALL_TIMEOUT_SECONDS)

    async def configuration(self, address: addresses.Address) -> bytes:
        """Return the encoded service configuration that a daemon currently uses."""
        async with self._connect(address) as stub:
            request = control_pb2.ConfigurationRequest()
            response = await stub.Configuration(request, timeout=CALL_TIMEOUT_SECONDS)
            return response.configuration

    async def members(self, address: addresses.Address) -> bytes:
        """Return the encoded table of members that a daemon knows."""
        async with self._connect(address) as stub:
            request = control_pb2.MembersRequest()
            response = await stub.Members(request, timeout=CALL_TIMEOUT_SECONDS)
            return response.table

    async def synchronize(
        self, address: addresses.Address, table: bytes
    ) -> control_pb2.SynchronizeResponse:
        """Ask a daemon for its table of members.

        Args:
            address: The daemon's control address.
            table: The request, encoded by `cactushall_core.membership.messages`.

        Raises:
            ControlError: The daemon did not answer.
        """
        async with self._connect(address) as stub:
            request = control_pb2.SynchronizeRequest(table=table)
            responses = await stub.Synchronize(request, timeout=CALL_TIMEOUT_SECONDS)
        if not responses:
            raise ControlError(f"{address}: no answer to a request for its table")
        return responses[0]

    async def move_flow(
        self, address: addresses.Address, record: bytes
    ) -> control_pb2.MoveFlowResponse:
        """Move an open flow to another agent, which may refuse it.

        Args:
            address: The agent's control address.
            record: The flow's state, encoded by `cactushall_core.handoff`.
        """
        async with self._connect(address) as stub:
            request = control_pb2.MoveFlowRequest(record=record)
            return await stub.MoveFlow(request, timeout=CALL_TIMEOUT_SECONDS)

    async def switched_moves(
        self, address: addresses.Address, move_ids: list[bytes]
    ) -> set[bytes]:
        """Return the moves whose callers no longer use the former home's ids.

        Args:
            address: Control address of the agent that received the flows.
            move_ids: Ids of moves whose callers may still use connection ids of the
                former home.

        Returns:
            Ids of the moves whose callers no longer do, or whose flows have ended.
        """
        async with self._connect(address) as stub:
            request = control_pb2.SwitchedRequest(move_ids=move_ids)
            response = await stub.Switched(request, timeout=CALL_TIMEOUT_SECONDS)
            return set(response.move_ids)

    async def wait_for_answer(
        self, address: addresses.Address, request: control_pb2.AnswerRequest
    ) -> control_pb2.AnswerResponse:
        """Wait for the response to a request that runs at another agent.

        Args:
            address: The agent's control address.
            request: The request's idempotency key and the timeout.
        """
        timeout = request.timeout_ms / 1000 + CALL_TIMEOUT_SECONDS
        async with self._connect(address) as stub:
            return await stub.Answer(request, timeout=timeout)

    async def hand_over(
        self, address: addresses.Address, request: control_pb2.HandoverRequest
    ) -> None:
        """Hand this agent's idempotency keys over to another agent.

        Args:
            address: The other agent's control address.
            request: The keys.
        """
        async with self._connect(address) as stub:
            await stub.Handover(request, timeout=CALL_TIMEOUT_SECONDS)

    @contextlib.asynccontextmanager
    async def _connect(
        self, address: addresses.Address
    ) -> collections.abc.AsyncIterator[control_grpc.ControlStub]:
        channel = grpclib.client.Channel(address.host, address.port, ssl=self._context)
        try:
            yield control_grpc.ControlStub(channel)
        except _UNREACHABLE as error:
            raise ControlError(f"{address}: {error!r}") from error
        finally:
            channel.close()
