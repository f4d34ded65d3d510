"""Stand-in for a backend server: slots, service time, shedding, a feed, counts.

Feed events are numbered by the wall clock, so that all servers of a service tell
the same events.
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
MAX_EVENTS_BEHIND = 1000


@dataclasses.dataclass
class State:
    """What the server has seen and how it behaves."""

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
async def count(request: web.Request, handler) -> web.StreamResponse:
    """Count how many requests run at once and which were cancelled."""
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


async def propose(request: web.Request) -> web.Response:
    """Run a proposal once for each time it is received."""
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


async def upload(request: web.Request) -> web.Response:
    """Read a body slowly and return its digest."""
    pause = float(request.query.get("pause", "0"))
    digest = hashlib.sha256()
    total = 0
    async for chunk in request.content.iter_chunked(64 * 1024):
        digest.update(chunk)
        total += len(chunk)
        if pause:
            await asyncio.sleep(pause)
    return web.json_response({"sha256": digest.hexdigest(), "bytes": total})


async def photos(request: web.Request) -> web.StreamResponse:
    """Stream a photo set of a given size."""
    left = int(request.match_info["size"])
    response = web.StreamResponse()
    response.content_length = left
    await response.prepare(request)
    while left > 0:
        part = PHOTO_CHUNK[:left]
        left -= len(part)
        await response.write(part)
    return response


async def cut(request: web.Request) -> web.StreamResponse:
    """Promise more than is sent, then drop the connection."""
    response = web.StreamResponse()
    response.content_length = 1000
    await response.prepare(request)
    await response.write(b"partial")
    request.transport.abort()
    return response


async def feed(request: web.Request) -> web.StreamResponse:
    """Stream numbered events from the one after the last seen."""
    response = web.StreamResponse(headers={"content-type": "text/event-stream"})
    await response.prepare(request)
    current = int(time.time() / FEED_INTERVAL_SECONDS)
    last = int(request.headers.get("last-event-id", current))
    last = max(last, current - MAX_EVENTS_BEHIND)
    while True:
        last += 1
        delay = last * FEED_INTERVAL_SECONDS - time.time()
        if delay > 0:
            await asyncio.sleep(delay)
        await response.write(f"id: {last}\ndata: offer\n\n".encode())


async def counts(request: web.Request) -> web.Response:
    """Return what the server has seen."""
    return web.json_response(vars(request.app[STATE]))


async def behave(request: web.Request) -> web.Response:
    """Change how the server behaves."""
    state = request.app[STATE]
    for name, value in json.loads(await request.read()).items():
        setattr(state, name, value)
    return web.Response()


async def load(request: web.Request) -> web.Response:
    """Return the load that the server claims to have."""
    return web.json_response({"load": request.app[STATE].load})


def make_app(service_seconds: float) -> web.Application:
    """Return the application."""
    app = web.Application(middlewares=[count], client_max_size=64 * 1024 * 1024)
    app[STATE] = State(service_seconds)
    app.router.add_post("/proposals", propose)
    app.router.add_post("/upload", upload)
    app.router.add_get("/photos/{size}", photos)
    app.router.add_get("/cut", cut)
    app.router.add_get("/feed", feed)
    app.router.add_get("/counts", counts)
    app.router.add_post("/behave", behave)
    app.router.add_get("/load", load)
    app.router.add_get("/health", load)
    return app


async def start(host: str, port: int, service_seconds: float) -> web.AppRunner:
    """Start serving; handlers are cancelled when their client disconnects."""
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
