"""Stand-in for the platform's key-value store over HTTP, in memory."""

from __future__ import annotations

import asyncio
import base64
import copy
import itertools
import weakref

from aiohttp import web

PAGE_ITEMS = 2


class PlatformStore:
    """Keys, leases and the history of changes.

    Attributes:
        revision: Revision of the last change.
        items: The item of each key, as it is sent to clients.
        history: All changes so far; watches are served from it.
        compacted_revision: Watches from before this revision are refused.
        leases: Ids of the leases that have not ended.
        lease_ids: Source of new lease ids.
        changed: Set at the next change, and then replaced by a new event.
        era: How often the store came back from a copy, as all answers tell; None for
            a store that does not tell.
        fault: A fault to inject, or None: `silent` never answers, `lost` drops the
            connection after a call was carried out, a status refuses each call.
    """

    def __init__(self):
        """Create an empty store; it does not listen yet."""
        self.revision = 10
        self.items = {}
        self.history = []
        self.compacted_revision = 0
        self.leases = set()
        self.lease_ids = itertools.count(1)
        self.changed = asyncio.Event()
        self.era = 1
        self.fault = None
        self.closes_connections = False
        # The path of the latest request, by connection.
        self._open = weakref.WeakKeyDictionary()
        self._silent = weakref.WeakSet()
        self._runner = None

    async def start(self, host="127.0.0.1"):
        """Listen on a free port and return the address."""
        app = web.Application(middlewares=[self._inject_fault])
        app.router.add_get("/api/kv-range", self._read_range)
        app.router.add_get("/api/kv-watch", self._watch)
        app.router.add_post("/api/kv-txn", self._transact)
        app.router.add_post("/api/kv-lease", self._grant_lease)
        app.router.add_post("/api/kv-keep/{lease}", self._keep_alive)
        app.router.add_delete("/api/kv-lease-end/{lease}", self._end_lease)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        return self._runner.addresses[0][:2]

    async def stop(self):
        """Stop listening."""
        await self._runner.cleanup()

    def silence_connections(self, path=""):
        """Let open connections go silent for good; new ones work.

        Args:
            path: Only those whose latest request was for a path that begins so.
        """
        for transport, latest in self._open.items():
            if latest.startswith(path):
                self._silent.add(transport)

    def put(self, key, value, lease=0):
        """Write a key without conditions, as an operator does.

        Args:
            key: The key.
            value: Bytes, or text that is base64 already.
            lease: Id of the lease that the key is tied to, 0 for none.
        """
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        encoded = value if isinstance(value, str) else base64.b64encode(value).decode()
        item = {
            "key": key,
            "value": encoded,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._append_event(item)

    def value_of(self, key):
        """Return the value of a key as bytes."""
        return base64.b64decode(self.items[key]["value"])

    def remove(self, key):
        """Remove a key."""
        self.revision += 1
        self.items.pop(key, None)
        self._append_event({"key": key, "revision": self.revision, "removed": True})

    def expire(self, lease):
        """End a lease and remove its keys."""
        self.leases.discard(lease)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def make_copy(self):
        """Return a copy of what the store holds."""
        return copy.deepcopy((self.revision, self.items, self.history, self.leases))

    def come_back_from(self, copied):
        """Hold what a copy holds, as after a loss; lease ids are given out again."""
        self.revision, self.items, self.history, self.leases = copy.deepcopy(copied)
        self.lease_ids = itertools.count(max(self.leases, default=0) + 1)
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Make the history before the current revision unavailable to watches."""
        self.compacted_revision = self.revision

    def _append_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    @web.middleware
    async def _inject_fault(self, request, handler):
        self._open[request.transport] = request.path
        await self._hang_if_silent(request.transport)
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault in (429, 503):
            return web.Response(status=self.fault)
        answer = await handler(request)
        await self._hang_if_silent(request.transport)
        if self.era is not None:
            answer.headers["Store-Era"] = str(self.era)
        if self.fault == "lost":
            request.transport.abort()
        if self.closes_connections:
            answer.force_close()
        return answer

    async def _hang_if_silent(self, transport):
        if transport in self._silent:
            await asyncio.sleep(3600)

    async def _read_range(self, request):
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        answer = {
            "items": page,
            "as_of": self.revision,
            "has_more": len(keys) > PAGE_ITEMS,
        }
        return web.json_response(answer)

    async def _watch(self, request):
        after = int(request.query["after"])
        prefix = request.query["prefix"]
        if after < self.compacted_revision or after > self.revision:
            return web.Response(status=410)
        deadline = asyncio.get_running_loop().time() + (
            int(request.query["wait_ms"]) / 1000
        )
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining = deadline - asyncio.get_running_loop().time()
            if events or remaining <= 0:
                return web.json_response({"events": events, "as_of": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except TimeoutError:
                continue

    async def _transact(self, request):
        body = await request.json()
        for condition in body["expected"]:
            revision = self.items.get(condition["key"], {}).get("revision", 0)
            if revision != condition["revision"]:
                return web.json_response({"items": []}, status=412)
        for write in body["writes"]:
            if write.get("lease") and write["lease"] not in self.leases:
                return web.Response(status=404)
        for write in body["writes"]:
            self.put(write["key"], write["value"], write.get("lease", 0))
        return web.json_response({"revision": self.revision})

    async def _grant_lease(self, request):
        ttl = (await request.json())["ttl_ms"]
        lease = next(self.lease_ids)
        self.leases.add(lease)
        return web.json_response({"lease": lease, "ttl_ms": ttl})

    async def _keep_alive(self, request):
        if int(request.match_info["lease"]) not in self.leases:
            return web.Response(status=404)
        return web.json_response({"ttl_ms": 1000})

    async def _end_lease(self, request):
        self.expire(int(request.match_info["lease"]))
        return web.Response()
