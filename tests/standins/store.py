"""Stand-in for the key-value store: the etcd v3 API, in memory.

Only the calls and options that cactushall uses are offered.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import sys
import time

import grpclib.server

from cactushall_rpc.generated import etcd_grpc, etcd_pb2

EXPIRY_CHECK_SECONDS = 0.2


@dataclasses.dataclass
class _Lease:
    ttl: int
    expires_at: float


class Database:
    """Keys, leases and the history of changes.

    Attributes:
        revision: Revision of the last change.
        keys: The entry of each key.
        history: All changes so far; watches are served from it.
        leases: The granted leases, by id.
        lease_ids: Source of new lease ids.
        changed: Set at the next change, and then replaced by a new event.
    """

    def __init__(self) -> None:
        """Start empty at revision 1."""
        self.revision = 1
        self.keys: dict[bytes, etcd_pb2.KeyValue] = {}
        self.history: list[etcd_pb2.Event] = []
        self.leases: dict[int, _Lease] = {}
        self.lease_ids = itertools.count(1000)
        self.changed = asyncio.Event()

    def header(self) -> etcd_pb2.ResponseHeader:
        """Return the header of a response."""
        return etcd_pb2.ResponseHeader(revision=self.revision)

    def select(self, key: bytes, range_end: bytes) -> list[etcd_pb2.KeyValue]:
        """Return the entry of a key, or the entries of a range in the order of keys."""
        if not range_end:
            return [self.keys[key]] if key in self.keys else []
        matching = [name for name in self.keys if key <= name < range_end]
        return [self.keys[name] for name in sorted(matching)]

    def put(self, request: etcd_pb2.PutRequest) -> None:
        """Set a key at the current revision."""
        previous = self.keys.get(request.key)
        entry = etcd_pb2.KeyValue(
            key=request.key,
            value=request.value,
            lease=request.lease,
            mod_revision=self.revision,
            create_revision=previous.create_revision if previous else self.revision,
            version=previous.version + 1 if previous else 1,
        )
        self.keys[request.key] = entry
        self.append_event(etcd_pb2.Event(type=etcd_pb2.Event.PUT, kv=entry))

    def delete(self, key: bytes) -> None:
        """Delete a key at the current revision."""
        del self.keys[key]
        deleted = etcd_pb2.KeyValue(key=key, mod_revision=self.revision)
        self.append_event(etcd_pb2.Event(type=etcd_pb2.Event.DELETE, kv=deleted))

    def append_event(self, event: etcd_pb2.Event) -> None:
        """Append an event to the history and wake the watches."""
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def compare(self, compare: etcd_pb2.Compare) -> bool:
        """Return whether one comparison holds; only equality is offered.

        Raises:
            ValueError: The comparison is of another target than a revision.
        """
        entry = self.keys.get(compare.key, etcd_pb2.KeyValue())
        if compare.target == etcd_pb2.Compare.CREATE:
            return bool(entry.create_revision == compare.create_revision)
        if compare.target == etcd_pb2.Compare.MOD:
            return bool(entry.mod_revision == compare.mod_revision)
        raise ValueError(f"comparison target {compare.target} is not supported")

    def revoke(self, lease: int) -> None:
        """Remove a lease and delete its keys."""
        self.leases.pop(lease, None)
        self.revision += 1
        for key in [k for k, entry in self.keys.items() if entry.lease == lease]:
            self.delete(key)


class KeyValueService(etcd_grpc.KVBase):
    """The Range and Txn calls."""

    def __init__(self, database: Database) -> None:
        """Serve a database."""
        self._database = database

    async def Range(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Return the entries of a key or a range."""
        request = await stream.recv_message()
        entries = self._database.select(request.key, request.range_end)
        await stream.send_message(
            etcd_pb2.RangeResponse(
                header=self._database.header(), kvs=entries, count=len(entries)
            )
        )

    async def Txn(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Evaluate comparisons and put keys, as one transaction."""
        request = await stream.recv_message()
        database = self._database
        succeeded = all(database.compare(compare) for compare in request.compare)
        operations = request.success if succeeded else request.failure
        if operations:
            database.revision += 1
        for operation in operations:
            database.put(operation.request_put)
        await stream.send_message(
            etcd_pb2.TxnResponse(header=database.header(), succeeded=succeeded)
        )


class LeaseService(etcd_grpc.LeaseBase):
    """The calls for leases."""

    def __init__(self, database: Database) -> None:
        """Serve a database."""
        self._database = database

    async def LeaseGrant(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Grant a lease."""
        request = await stream.recv_message()
        lease = next(self._database.lease_ids)
        expires_at = time.monotonic() + request.TTL
        self._database.leases[lease] = _Lease(request.TTL, expires_at)
        await stream.send_message(
            etcd_pb2.LeaseGrantResponse(
                header=self._database.header(), ID=lease, TTL=request.TTL
            )
        )

    async def LeaseRevoke(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Revoke a lease and delete its keys."""
        request = await stream.recv_message()
        self._database.revoke(request.ID)
        await stream.send_message(
            etcd_pb2.LeaseRevokeResponse(header=self._database.header())
        )

    async def LeaseKeepAlive(  # noqa: N802
        self, stream: grpclib.server.Stream
    ) -> None:
        """Renew leases; the answer for an unknown lease has a TTL of 0."""
        async for request in stream:
            lease = self._database.leases.get(request.ID)
            ttl = 0
            if lease is not None:
                ttl = lease.ttl
                lease.expires_at = time.monotonic() + ttl
            await stream.send_message(
                etcd_pb2.LeaseKeepAliveResponse(
                    header=self._database.header(), ID=request.ID, TTL=ttl
                )
            )


class WatchService(etcd_grpc.WatchBase):
    """The Watch call, with one watch of a key or range for each stream."""

    def __init__(self, database: Database) -> None:
        """Serve a database."""
        self._database = database

    async def Watch(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Stream the events of a key or range, starting with past ones."""
        request = await stream.recv_message()
        if request is None:
            return
        create = request.create_request
        database = self._database
        await stream.send_message(
            etcd_pb2.WatchResponse(header=database.header(), created=True)
        )
        position = 0
        while True:
            changed = database.changed
            events = [
                event
                for event in database.history[position:]
                if _is_watched(create, event)
            ]
            position = len(database.history)
            if events:
                await stream.send_message(
                    etcd_pb2.WatchResponse(header=database.header(), events=events)
                )
            await changed.wait()


def _is_watched(create: etcd_pb2.WatchCreateRequest, event: etcd_pb2.Event) -> bool:
    if event.kv.mod_revision < create.start_revision:
        return False
    if not create.range_end:
        return bool(event.kv.key == create.key)
    return bool(create.key <= event.kv.key < create.range_end)


async def expire_leases(database: Database) -> None:
    """Revoke the leases that were not renewed in time, forever."""
    while True:
        await asyncio.sleep(EXPIRY_CHECK_SECONDS)
        now = time.monotonic()
        for lease in [i for i, e in database.leases.items() if e.expires_at < now]:
            database.revoke(lease)


@contextlib.asynccontextmanager
async def serving(host: str, port: int):
    """Serve an empty database within a context and yield it."""
    database = Database()
    server = grpclib.server.Server(
        [
            KeyValueService(database),
            LeaseService(database),
            WatchService(database),
        ]
    )
    await server.start(host, port)
    expiry = asyncio.create_task(expire_leases(database))
    try:
        yield database
    finally:
        expiry.cancel()
        server.close()


async def _main(host: str, port: int) -> None:
    async with serving(host, port):
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2])))
