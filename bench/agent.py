"""Measures an agent's processor time per handshake and request, and memory per flow.

The memory of an idle flow is the growth of the agent's resident memory.

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

WARM_UP_FLOWS = 200
MEASURED_FLOWS = 800
REQUESTS_PER_FLOW = 5
CONCURRENCY = 20
SETTLE_SECONDS = 2.0
TARGET_HANDSHAKE_MS = 5.0
TARGET_FLOW_KB = 50.0


async def main() -> None:
    """Run one agent and one entry, and report the figures."""
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
            site_standin.running_site(plan, pathlib.Path(folder)) as site,
            contextlib.AsyncExitStack() as stack,
        ):
            figures = await measure(site, stack)
    results.report("agent", figures)


async def measure(
    site: site_standin.Site, stack: contextlib.AsyncExitStack
) -> list[results.Figure]:
    """Open flows, leave them idle, then send requests.

    Args:
        site: The running site.
        stack: Closes the callers' connections.

    Returns:
        The figures of the agent.
    """
    pid = site.process("desk-0").pid
    address = site.service_address("swap-desk")
    concurrency_limit = asyncio.Semaphore(CONCURRENCY)
    callers: list[caller_standin.Caller] = []

    async def open_flow() -> None:
        async with concurrency_limit:
            connection = caller_standin.connect(address)
            callers.append(await stack.enter_async_context(connection))

    await asyncio.gather(*(open_flow() for _ in range(WARM_UP_FLOWS)))
    await asyncio.sleep(SETTLE_SECONDS)
    await callers[0].request("POST", "/proposals", {"idempotency-key": "warm"})
    memory = processes.resident_bytes(pid)
    used_before = processes.processor_seconds(pid)
    await asyncio.gather(*(open_flow() for _ in range(MEASURED_FLOWS)))
    await asyncio.sleep(SETTLE_SECONDS)
    handshake_seconds = (
        processes.processor_seconds(pid) - used_before
    ) / MEASURED_FLOWS
    memory = processes.resident_bytes(pid) - memory
    used_before = processes.processor_seconds(pid)
    started_at = time.monotonic()

    async def send(caller: caller_standin.Caller, number: int) -> None:
        async with concurrency_limit:
            headers = {"idempotency-key": f"{id(caller)}-{number}"}
            response = await caller.request("POST", "/proposals", headers, b"offer")
            assert response.status == 200, response

    for number in range(REQUESTS_PER_FLOW):
        await asyncio.gather(*(send(caller, number) for caller in callers))
    request_count = REQUESTS_PER_FLOW * len(callers)
    elapsed_seconds = time.monotonic() - started_at
    request_seconds = (processes.processor_seconds(pid) - used_before) / request_count
    return [
        results.Figure("handshake", handshake_seconds * 1e3, "ms", TARGET_HANDSHAKE_MS),
        results.Figure("request", request_seconds * 1e3, "ms"),
        results.Figure(
            "requests, one caller process", request_count / elapsed_seconds, "1/s"
        ),
        results.Figure(
            "idle flow", memory / MEASURED_FLOWS / 1e3, "KB", TARGET_FLOW_KB
        ),
    ]


if __name__ == "__main__":
    asyncio.run(main())
