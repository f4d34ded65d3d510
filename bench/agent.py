"""Cost of one agent: a handshake, a request, and the memory of an idle flow.

python -m bench.agent
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import tempfile
import time

from bench import processes, results
from tests.standins import caller as caller_standin
from tests.standins import site as site_standin

WARM_FLOWS = 200
FLOWS = 800
REQUESTS_EACH = 5
CONCURRENCY = 20
SETTLE_SECONDS = 2.0
TARGET_HANDSHAKE_MS = 5.0
TARGET_FLOW_KB = 50.0


async def main() -> None:
    """Run the measurement."""
    plan = site_standin.SitePlan(
        services={"swap-desk": "127.0.1.1"},
        endpoints=(
            site_standin.EndpointPlan(
                "desk-0", "swap-desk", "attica-1", service_seconds=0.0
            ),
        ),
        entries=(site_standin.EntryPlan("entry-0", "attica-1"),),
    )
    with tempfile.TemporaryDirectory() as folder:
        async with (
            site_standin.running(plan, pathlib.Path(folder)) as site,
            contextlib.AsyncExitStack() as stack,
        ):
            figures = await measure(site, stack)
    results.report("agent", figures)


async def measure(
    site: site_standin.Site, stack: contextlib.AsyncExitStack
) -> list[results.Figure]:
    """Open flows, leave them idle, then send requests."""
    pid = site.process("desk-0").pid
    address = site.service_address("swap-desk")
    room = asyncio.Semaphore(CONCURRENCY)
    callers: list[caller_standin.Caller] = []

    async def open_one() -> None:
        async with room:
            connection = caller_standin.connect(address)
            callers.append(await stack.enter_async_context(connection))

    await asyncio.gather(*(open_one() for _ in range(WARM_FLOWS)))
    await asyncio.sleep(SETTLE_SECONDS)
    await callers[0].request("POST", "/proposals", {"idempotency-key": "warm"})
    memory = processes.resident_bytes(pid)
    used = processes.processor_seconds(pid)
    await asyncio.gather(*(open_one() for _ in range(FLOWS)))
    await asyncio.sleep(SETTLE_SECONDS)
    handshake = (processes.processor_seconds(pid) - used) / FLOWS
    memory = processes.resident_bytes(pid) - memory
    used = processes.processor_seconds(pid)
    started = time.monotonic()

    async def send(caller: caller_standin.Caller, number: int) -> None:
        async with room:
            key = {"idempotency-key": f"{id(caller)}-{number}"}
            answer = await caller.request("POST", "/proposals", key, b"offer")
            assert answer.status == 200, answer

    for number in range(REQUESTS_EACH):
        await asyncio.gather(*(send(caller, number) for caller in callers))
    requests = REQUESTS_EACH * len(callers)
    seconds = time.monotonic() - started
    request = (processes.processor_seconds(pid) - used) / requests
    return [
        results.Figure("handshake", handshake * 1e3, "ms", TARGET_HANDSHAKE_MS),
        results.Figure("request", request * 1e3, "ms"),
        results.Figure("requests, one caller process", requests / seconds, "1/s"),
        results.Figure("idle flow", memory / FLOWS / 1e3, "KB", TARGET_FLOW_KB),
    ]


if __name__ == "__main__":
    asyncio.run(main())
