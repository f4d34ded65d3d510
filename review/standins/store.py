"""Stand-in for the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
import typing
import urllib.parse

from standins import web

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500
EXPIRY_CHECK_SECONDS = 0.05
MIN_TTL_MILLISECONDS = 1000
MAX_TTL_MILLISECONDS = 600_000
MAX_WATCH_MILLISECONDS = 30_000
FIRST_REVISION = 400
FIRST_LEASE = 77_000


class Lease(typing.NamedTuple):
    """A lease.

    Attributes:
        ttl_ms: Its length in milliseconds.
        ends_at: When it ends, by the steady clock.
    """

    ttl_ms: int
    ends_at: float


class Store:
    """Keys, leases and the history of changes, in memory.

    Attributes:
        is_down: Whether each call gets 503, and nothing is done.
    """

    def __init__(self) -> None:
        """Create an empty store; it does not listen yet."""
        self.is_down = False
        self._revision = FIRST_REVISION
        self._items: dict[str, dict[str, typing.Any]] = {}
        self._history: list[dict[str, typing.Any]] = []
        self._leases: dict[int, Lease] = {}
        self._lease_ids = itertools.count(FIRST_LEASE)
        self._changed = asyncio.Event()
        self._server = web.Server(self._answer)
        self._expiry: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        await self._server.start(host, port)
        self._expiry = asyncio.create_task(self._expire())

    def stop(self) -> None:
        """Stop listening."""
        if self._expiry is not None:
            self._expiry.cancel()
        self._server.stop()

    def silence_open_connections(self) -> int:
        """Let all open connections go silent for good, and return their number."""
        return self._server.silence_open_connections()

    def let_leases_lapse(self) -> list[str]:
        """End all leases, and return the keys that go with them."""
        keys = [key for key, item in self._items.items() if item["lease"]]
        for lease in list(self._leases):
            self._end_lease(lease)
        return keys

    def keys(self, prefix: str = "") -> list[str]:
        """Return the keys that begin with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def put(self, key: str, content: object) -> None:
        """Write a key without conditions, as the operator does."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._revision += 1
        self._write(key, value, 0)
        self._wake_watches()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_SECONDS)
            now = time.monotonic()
            for lease_id, lease in list(self._leases.items()):
                if lease.ends_at <= now:
                    self._end_lease(lease_id)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self._revision += 1
            self._remove(key)
        self._wake_watches()

    def _write(self, key: str, value: str, lease: int) -> None:
        created = self._items.get(key, {}).get("created", self._revision)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._history.append(item)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            gone = {"key": key, "revision": self._revision, "removed": True}
            self._history.append(gone)

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, call: web.Call) -> web.Answer:
        await asyncio.sleep(ANSWER_SECONDS)
        if self.is_down:
            return web.Answer(503)
        path, _, query = call.target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        content = json.loads(call.body) if call.body else {}
        if path == "/api/kv-range":
            return self._read_range(parameters)
        if path == "/api/kv-watch":
            return await self._watch(parameters)
        if path == "/api/kv-txn":
            return self._transact(content)
        if path == "/api/kv-lease":
            return self._grant(content)
        if path.startswith("/api/kv-keep/"):
            return self._keep(int(path.rpartition("/")[2]))
        if path.startswith("/api/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return web.Answer(200, {})
        return web.Answer(404)

    def _read_range(self, parameters: dict[str, str]) -> web.Answer:
        after = parameters.get("after", "")
        keys = [key for key in self.keys(parameters["prefix"]) if key > after]
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return web.Answer(
            200, {"items": page, "has_more": has_more, "as_of": self._revision}
        )

    async def _watch(self, parameters: dict[str, str]) -> web.Answer:
        after = int(parameters["after"])
        wait_ms = min(int(parameters["wait_ms"]), MAX_WATCH_MILLISECONDS)
        ends_at = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after
                and event["key"].startswith(parameters["prefix"])
            ]
            remaining = ends_at - time.monotonic()
            if self.is_down:
                return web.Answer(503)
            if events or remaining <= 0:
                return web.Answer(200, {"events": events, "as_of": self._revision})
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    def _transact(self, content: dict[str, typing.Any]) -> web.Answer:
        expected = content.get("expected", [])
        for row in expected:
            revision = self._items.get(row["key"], {}).get("revision", 0)
            if revision != row["revision"]:
                found = [
                    self._items[r["key"]] for r in expected if r["key"] in self._items
                ]
                return web.Answer(412, {"items": found})
        writes = content.get("writes", [])
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return web.Answer(404)
        self._revision += 1
        for write in writes:
            self._write(write["key"], write["value"], write.get("lease", 0))
        for key in content.get("remove", []):
            self._remove(key)
        self._wake_watches()
        return web.Answer(200, {"revision": self._revision})

    def _grant(self, content: dict[str, typing.Any]) -> web.Answer:
        ttl_ms = max(MIN_TTL_MILLISECONDS, min(content["ttl_ms"], MAX_TTL_MILLISECONDS))
        lease = next(self._lease_ids)
        self._leases[lease] = Lease(ttl_ms, time.monotonic() + ttl_ms / 1000)
        return web.Answer(200, {"lease": lease, "ttl_ms": ttl_ms})

    def _keep(self, lease_id: int) -> web.Answer:
        lease = self._leases.get(lease_id)
        if lease is None:
            return web.Answer(404)
        ends_at = time.monotonic() + lease.ttl_ms / 1000
        self._leases[lease_id] = Lease(lease.ttl_ms, ends_at)
        return web.Answer(200, {"ttl_ms": lease.ttl_ms})
