"""Stand-in for a backend server: service time, load shedding, a feed and counters.

Feed events are numbered by the wall clock, so that all servers of a service send the
same events and a feed can continue at another server.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import datetime
import hashlib
import json
import sys
import time

from aiohttp import web

FEED_INTERVAL_SECONDS = 0.2
PHOTO_CHUNK = bytes(range(256)) * 256
MAX_REPLAYED_EVENTS = 1000


@dataclasses.dataclass
class State:
    """Behaviour and counters of the server, returned by `/counts` under these names.

    Attributes:
        service_seconds: Time that a proposal takes.
        is_shedding: Whether proposals are refused with status 503.
        load: Load that the server reports.
        running: Requests that run now.
        max_running: Most requests that ran at once.
        cancelled: Requests that were cancelled.
        runs: How many times each proposal ran, by idempotency key.
        timeouts_ms: `request-timeout-ms` of each proposal, 0 without it.
    """

    service_seconds: float
    is_shedding: bool = False
    load: float = 0.0
    running: int = 0
    max_running: int = 0
    cancelled: int = 0
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    timeouts_ms: list[int] = dataclasses.field(default_factory=list)


STATE = web.AppKey("state", State)


@web.middleware
async def count_requests(request: web.Request, handler) -> web.StreamResponse:
    """Count the running and the cancelled requests, except on operational paths."""
    if request.path in ("/feed", "/counts", "/behave", "/load", "/health"):
        return await handler(request)
    state = request.app[STATE]
    state.running += 1
    state.max_running = max(state.max_running, state.running)
    try:
        return await handler(request)
    except asyncio.CancelledError:
        state.cancelled += 1
        raise
    finally:
        state.running -= 1


async def handle_proposal(request: web.Request) -> web.Response:
    """Run a proposal each time that it is received; duplicates are not detected."""
    state = request.app[STATE]
    if state.is_shedding:
        return web.Response(status=503)
    key = request.headers.get("idempotency-key", "")
    body = await request.read()
    state.runs[key] += 1
    print(f"{datetime.datetime.now(datetime.UTC).time()} runs {key}", flush=True)
    state.timeouts_ms.append(int(request.headers.get("request-timeout-ms", "0")))
    seconds = float(request.query.get("seconds", state.service_seconds))
    await asyncio.sleep(seconds)
    return web.json_response({"key": key, "bytes": len(body)})


async def receive_upload(request: web.Request) -> web.Response:
    """Read a body with a pause in seconds after each chunk; return its digest."""
    pause = float(request.query.get("pause", "0"))
    digest = hashlib.sha256()
    total = 0
    async for chunk in request.content.iter_chunked(64 * 1024):
        digest.update(chunk)
        total += len(chunk)
        if pause:
            await asyncio.sleep(pause)
    return web.json_response({"sha256": digest.hexdigest(), "bytes": total})


async def send_photos(request: web.Request) -> web.StreamResponse:
    """Stream a photo set of a given size in bytes."""
    remaining = int(request.match_info["size"])
    response = web.StreamResponse()
    response.content_length = remaining
    await response.prepare(request)
    while remaining > 0:
        part = PHOTO_CHUNK[:remaining]
        remaining -= len(part)
        await response.write(part)
    return response


async def send_truncated_response(request: web.Request) -> web.StreamResponse:
    """Send less than the content length, then abort the connection."""
    response = web.StreamResponse()
    response.content_length = 1000
    await response.prepare(request)
    await response.write(b"partial")
    request.transport.abort()
    return response


async def send_feed(request: web.Request) -> web.StreamResponse:
    """Stream numbered events, starting after `last-event-id` or now."""
    response = web.StreamResponse(headers={"content-type": "text/event-stream"})
    await response.prepare(request)
    current = int(time.time() / FEED_INTERVAL_SECONDS)
    last = int(request.headers.get("last-event-id", current))
    last = max(last, current - MAX_REPLAYED_EVENTS)
    while True:
        last += 1
        delay = last * FEED_INTERVAL_SECONDS - time.time()
        if delay > 0:
            await asyncio.sleep(delay)
        await response.write(f"id: {last}\ndata: offer\n\n".encode())


async def send_counts(request: web.Request) -> web.Response:
    """Return all fields of the state."""
    return web.json_response(vars(request.app[STATE]))


async def change_behaviour(request: web.Request) -> web.Response:
    """Set the fields of the state that the request names."""
    state = request.app[STATE]
    for name, value in json.loads(await request.read()).items():
        setattr(state, name, value)
    return web.Response()


async def report_load(request: web.Request) -> web.Response:
    """Return the load that the server reports."""
    return web.json_response({"load": request.app[STATE].load})


def make_app(service_seconds: float) -> web.Application:
    """Return the application with its state and routes."""
    app = web.Application(
        middlewares=[count_requests], client_max_size=64 * 1024 * 1024
    )
    app[STATE] = State(service_seconds)
    app.router.add_post("/proposals", handle_proposal)
    app.router.add_post("/upload", receive_upload)
    app.router.add_get("/photos/{size}", send_photos)
    app.router.add_get("/cut", send_truncated_response)
    app.router.add_get("/feed", send_feed)
    app.router.add_get("/counts", send_counts)
    app.router.add_post("/behave", change_behaviour)
    app.router.add_get("/load", report_load)
    app.router.add_get("/health", report_load)
    return app


async def start(host: str, port: int, service_seconds: float) -> web.AppRunner:
    """Start serving; a handler is cancelled when its client disconnects."""
    runner = web.AppRunner(
        make_app(service_seconds), handler_cancellation=True, access_log=None
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


async def _main(host: str, port: int, service_seconds: float) -> None:
    await start(host, port, service_seconds)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2]), float(sys.argv[3])))
