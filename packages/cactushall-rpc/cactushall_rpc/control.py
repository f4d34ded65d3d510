"""Client of the control service that every daemon offers."""

from __future__ import annotations

import collections.abc
import contextlib

import grpclib.client
import grpclib.exceptions

from cactushall_core import addresses, exceptions
from cactushall_rpc.generated import control_grpc, control_pb2

CALL_TIMEOUT_SECONDS = 5.0


_UNREACHABLE = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
)


class ControlError(exceptions.CactushallError):
    """A control call got no answer."""


@contextlib.asynccontextmanager
async def connect(
    address: addresses.Address,
) -> collections.abc.AsyncIterator[control_grpc.ControlStub]:
    """Open a connection to a daemon's control service.

    Raises:
        ControlError: A call made within the context failed.
    """
    channel = grpclib.client.Channel(address.host, address.port)
    try:
        yield control_grpc.ControlStub(channel)
    except _UNREACHABLE as error:
        raise ControlError(f"{address}: {error!r}") from error
    finally:
        channel.close()


async def fetch_status(address: addresses.Address) -> control_pb2.StatusResponse:
    """Return a daemon's status."""
    async with connect(address) as stub:
        request = control_pb2.StatusRequest()
        return await stub.Status(request, timeout=CALL_TIMEOUT_SECONDS)


async def fetch_configuration(address: addresses.Address) -> bytes:
    """Return the service configuration that a daemon has adopted, encoded."""
    async with connect(address) as stub:
        request = control_pb2.ConfigurationRequest()
        response = await stub.Configuration(request, timeout=CALL_TIMEOUT_SECONDS)
        return response.configuration


async def fetch_members(address: addresses.Address) -> bytes:
    """Return a daemon's table of members, encoded."""
    async with connect(address) as stub:
        request = control_pb2.MembersRequest()
        response = await stub.Members(request, timeout=CALL_TIMEOUT_SECONDS)
        return response.table


async def synchronize(
    address: addresses.Address, table: bytes
) -> list[control_pb2.SynchronizeResponse]:
    """Exchange tables of members with a daemon.

    Args:
        address: The daemon's control address.
        table: The caller's table, encoded.

    Returns:
        The daemon's table in parts.
    """
    async with connect(address) as stub:
        request = control_pb2.SynchronizeRequest(table=table)
        return await stub.Synchronize(request, timeout=CALL_TIMEOUT_SECONDS)
