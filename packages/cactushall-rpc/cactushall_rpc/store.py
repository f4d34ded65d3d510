"""Client of the platform's key-value store, over the public etcd v3 API."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import logging

import grpclib.client
import grpclib.exceptions

from cactushall_core import addresses, exceptions, store
from cactushall_rpc.generated import etcd_grpc, etcd_pb2

log = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS = 2.0

_UNREACHABLE = (
    OSError,
    asyncio.TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)


class Store:
    """A connection to the store that fails over to the next of its addresses.

    Every method raises StoreUnavailableError if a call fails or gets no response; a
    write may have taken effect nevertheless.
    """

    def __init__(self, store_addresses: tuple[addresses.Address, ...]) -> None:
        """Create a client; the first call opens the connection.

        Args:
            store_addresses: Addresses of the store; after a failed call, the next one
                is used.
        """
        self._addresses = store_addresses
        self._next_address = 0
        self._channel: grpclib.client.Channel | None = None
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls so far; a watch counts as one."""
        return self._calls

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    async def get(self, key: bytes) -> store.Entry | None:
        """Return the entry of a key, or None if the key does not exist."""
        snapshot = await self._get_range(etcd_pb2.RangeRequest(key=key))
        return snapshot.entries[0] if snapshot.entries else None

    async def get_prefix(self, prefix: bytes) -> store.Snapshot:
        """Return all entries whose keys start with a prefix."""
        request = etcd_pb2.RangeRequest(key=prefix, range_end=_prefix_end(prefix))
        return await self._get_range(request)

    async def create(
        self,
        key: bytes,
        value: bytes,
        lease: store.LeaseId = store.NO_LEASE,
        beside: collections.abc.Sequence[store.Write] = (),
    ) -> bool:
        """Create a key unless it exists, as `replace` does with revision 0."""
        return await self.replace(key, value, 0, lease, beside)

    async def replace(
        self,
        key: bytes,
        value: bytes,
        mod_revision: int,
        lease: store.LeaseId = store.NO_LEASE,
        beside: collections.abc.Sequence[store.Write] = (),
    ) -> bool:
        """Write a key by compare-and-swap.

        Args:
            key: The key.
            value: The new value.
            mod_revision: Expected revision of the key's last change, or 0 if the key
                must not exist.
            lease: Lease whose end deletes the key, if any.
            beside: Other keys to write, without the lease, if the key is written.

        Returns:
            Whether the key was written.
        """
        compare = etcd_pb2.Compare(
            result=etcd_pb2.Compare.EQUAL,
            target=etcd_pb2.Compare.MOD,
            key=key,
            mod_revision=mod_revision,
        )
        puts = [etcd_pb2.PutRequest(key=key, value=value, lease=lease)]
        puts += [etcd_pb2.PutRequest(key=w.key, value=w.value) for w in beside]
        return await self._put_if_unchanged(compare, puts)

    async def grant(self, ttl_seconds: int) -> store.LeaseId:
        """Request a new lease from the store.

        Args:
            ttl_seconds: Time to live of the lease unless it is renewed.
        """
        async with self._call() as channel:
            stub = etcd_grpc.LeaseStub(channel)
            request = etcd_pb2.LeaseGrantRequest(TTL=ttl_seconds)
            response = await stub.LeaseGrant(request, timeout=CALL_TIMEOUT_SECONDS)
            return store.LeaseId(response.ID)

    async def revoke(self, lease: store.LeaseId) -> None:
        """Revoke a lease, which deletes its keys."""
        async with self._call() as channel:
            stub = etcd_grpc.LeaseStub(channel)
            request = etcd_pb2.LeaseRevokeRequest(ID=lease)
            await stub.LeaseRevoke(request, timeout=CALL_TIMEOUT_SECONDS)

    async def keep_alive(self, lease: store.LeaseId) -> None:
        """Renew a lease once.

        Raises:
            store.LeaseExpiredError: The lease no longer exists.
        """
        async with self._call() as channel:
            stub = etcd_grpc.LeaseStub(channel)
            request = etcd_pb2.LeaseKeepAliveRequest(ID=lease)
            responses = await stub.LeaseKeepAlive(
                [request], timeout=CALL_TIMEOUT_SECONDS
            )
            if not responses or responses[0].TTL <= 0:
                raise store.LeaseExpiredError(f"lease {lease} has expired")

    async def watch(
        self,
        prefix: bytes,
        start_revision: int,
        era: int | None = None,
        wait_seconds: float | None = None,
    ) -> collections.abc.AsyncGenerator[store.Change, None]:
        """Yield each change of the keys that start with a prefix.

        It ends where another call gets no answer on the same connection, such as the
        renewal of a lease.

        Args:
            prefix: The prefix.
            start_revision: First store revision whose changes are included.
            era: Not used: this store does not tell of its copies.
            wait_seconds: Not used: this store answers nothing while nothing changes.
        """
        async with self._call() as channel:
            stub = etcd_grpc.WatchStub(channel)
            async with stub.Watch.open() as stream:
                create = etcd_pb2.WatchCreateRequest(
                    key=prefix,
                    range_end=_prefix_end(prefix),
                    start_revision=start_revision,
                )
                request = etcd_pb2.WatchRequest(create_request=create)
                await stream.send_message(request)
                async for response in stream:
                    for change in _watched_changes(response):
                        yield change
            raise exceptions.StoreUnavailableError("watch ended")

    async def _get_range(self, request: etcd_pb2.RangeRequest) -> store.Snapshot:
        async with self._call() as channel:
            stub = etcd_grpc.KVStub(channel)
            response = await stub.Range(request, timeout=CALL_TIMEOUT_SECONDS)
            entries = tuple(_make_entry(kv) for kv in response.kvs)
            return store.Snapshot(entries, response.header.revision)

    async def _put_if_unchanged(
        self, compare: etcd_pb2.Compare, puts: list[etcd_pb2.PutRequest]
    ) -> bool:
        operations = [etcd_pb2.RequestOp(request_put=put) for put in puts]
        request = etcd_pb2.TxnRequest(compare=[compare], success=operations)
        async with self._call() as channel:
            stub = etcd_grpc.KVStub(channel)
            response = await stub.Txn(request, timeout=CALL_TIMEOUT_SECONDS)
            return response.succeeded

    @contextlib.asynccontextmanager
    async def _call(self) -> collections.abc.AsyncIterator[grpclib.client.Channel]:
        if not self._addresses:
            raise exceptions.StoreUnavailableError("no store address is set")
        self._calls += 1
        if self._channel is None:
            host, port = self._addresses[self._next_address % len(self._addresses)]
            self._channel = grpclib.client.Channel(host, port)
        channel = self._channel
        try:
            yield channel
        except _UNREACHABLE as error:
            self._discard(channel)
            raise exceptions.StoreUnavailableError(repr(error)) from error

    def _discard(self, channel: grpclib.client.Channel) -> None:
        channel.close()
        if self._channel is channel:
            self._channel = None
            self._next_address += 1


def _prefix_end(prefix: bytes) -> bytes:
    return prefix[:-1] + bytes([prefix[-1] + 1])


def _make_entry(kv: etcd_pb2.KeyValue) -> store.Entry:
    return store.Entry(kv.key, kv.value, kv.mod_revision)


def _watched_changes(
    response: etcd_pb2.WatchResponse,
) -> collections.abc.Iterator[store.Change]:
    if response.canceled:
        raise exceptions.StoreUnavailableError(
            f"watch canceled: {response.cancel_reason}"
        )
    for event in response.events:
        if event.type == etcd_pb2.Event.PUT:
            yield _make_entry(event.kv)
        else:
            yield store.Removal(event.kv.key, event.kv.mod_revision)
