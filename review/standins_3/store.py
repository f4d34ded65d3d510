"""Stand-in of the platform's key-value store: the calls of PROTOCOL.md over HTTP."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import urllib.parse

PAGE_ITEMS = 500
HISTORY_SECONDS = 20.0
CHECK_SECONDS = 0.1
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


async def read_message(reader):
    """Return the first line and the body of an HTTP message, None at the end."""
    line = await reader.readline()
    if not line:
        return None
    length = 0
    while (header := await reader.readline()).strip():
        name, _, value = header.decode().partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    return line.decode().strip(), await reader.readexactly(length)


def make_response(status, value, is_last=False):
    """Return the bytes of an HTTP response with a JSON body."""
    body = json.dumps(value).encode()
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
        f"Connection: {'close' if is_last else 'keep-alive'}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Store:
    """A store in memory; leases end when they are not renewed."""

    def __init__(self, closes=False):
        """Start empty.

        Args:
            closes: Whether each connection is closed after one answer, as the answer
                tells.
        """
        self.revision = 1
        self._closes = closes
        self._connections = set()
        self._silent = set()
        self._items = {}
        self._history = []
        self._leases = {}
        self._lease_numbers = itertools.count(7)
        self._changed = asyncio.Event()
        self._server = None
        self._expiry = None

    async def start(self, address):
        """Serve at an address."""
        self._server = await asyncio.start_server(self._serve, *address)
        self._expiry = asyncio.create_task(self._expire_leases())

    def stop(self):
        """Stop serving."""
        self._expiry.cancel()
        self._server.close()

    def silence_connections(self):
        """Answer nothing any more on the connections that are open now."""
        self._silent |= self._connections
        return len(self._silent)

    def put(self, key, value, lease=0):
        """Write an item, as an operator or by a transaction."""
        self.revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._record(item)

    def put_json(self, key, value):
        """Write a JSON document."""
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self._record(event)

    def _record(self, event):
        now = asyncio.get_running_loop().time()
        self._history.append((now, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            now = asyncio.get_running_loop().time()
            for lease, (_, ends_at) in list(self._leases.items()):
                if ends_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for item in list(self._items.values()):
            if item["lease"] == lease:
                self._remove(item["key"])

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split()
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                body = json.loads(message[1]) if message[1] else {}
                status, value = await self._answer(method, path, fields, body)
                if writer in self._silent:
                    continue
                writer.write(make_response(status, value, self._closes))
                await writer.drain()
                if self._closes:
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            # The other end is gone, or the case is over.
            return
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, method, path, fields, body):
        if path == "/api/kv-watch":
            return await self._watch(fields)
        if path == "/api/kv-range":
            return self._read_range(fields)
        if path == "/api/kv-txn":
            return self._transact(body)
        if path == "/api/kv-lease":
            lease = next(self._lease_numbers)
            self._renew(lease, body["ttl_ms"])
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self._renew(lease, self._leases[lease][0])
        return 200, {}

    def _renew(self, lease, ttl_ms):
        now = asyncio.get_running_loop().time()
        self._leases[lease] = (ttl_ms, now + ttl_ms / 1000)

    def _read_range(self, fields):
        prefix, after = fields["prefix"], fields.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return 200, {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "as_of": self.revision,
            "has_more": len(keys) > PAGE_ITEMS,
        }

    async def _watch(self, fields):
        loop = asyncio.get_running_loop()
        after, prefix = int(fields["after"]), fields["prefix"]
        deadline = loop.time() + int(fields["wait_ms"]) / 1000
        while True:
            changed = self._changed
            oldest = loop.time() - HISTORY_SECONDS
            if any(e["revision"] > after for at, e in self._history if at < oldest):
                return 410, {}
            events = [
                event
                for _, event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or loop.time() >= deadline:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), deadline - loop.time())
            except TimeoutError:
                continue

    def _transact(self, body):
        rows = body["expected"]
        current = [self._items.get(row["key"], {}).get("revision", 0) for row in rows]
        if current != [row["revision"] for row in rows]:
            known = [self._items[r["key"]] for r in rows if r["key"] in self._items]
            return 412, {"items": known}
        for write in body["writes"]:
            if write.get("lease") and write["lease"] not in self._leases:
                return 404, {}
        for write in body["writes"]:
            self.put(write["key"], write["value"], write.get("lease", 0))
        for key in body.get("remove", ()):
            self._remove(key)
        return 200, {"revision": self.revision}
