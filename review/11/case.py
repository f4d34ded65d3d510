"""A machine's backend server crashes and its address goes to another service."""

from __future__ import annotations

import asyncio
import pathlib
import time

from review.standins_3 import cases, site

REUSE_AFTER_SECONDS = 2.0
REQUEST_SECONDS = 2.0
REQUEST_INTERVAL_SECONDS = 0.0125
# At each round one of the servers of the service, a fifth at the last one.
ROUNDS = 3


async def main(folder, record, has_trouble):
    """Run the case and return the breaks of the rule."""
    deployment = site.Site(folder, entries=2, agents=[*["board"] * 7, "plans"])
    servers = [
        deployment.make_endpoint(f"s-{number}", host, service)
        for number, (host, service) in enumerate(deployment.agents.items())
    ]
    try:
        await deployment.start(cases.make_configuration(3))
        for server in servers:
            await server.start()
        await cases.wait_until_served(deployment, record, servers)
        await asyncio.sleep(4.0)
        for number in range(ROUNDS):
            # Agents look at their settings once a second: not always at the same time.
            await asyncio.sleep(1 / ROUNDS)
            if has_trouble:
                servers.append(await replace(deployment, record, servers[number]))
            else:
                await asyncio.sleep(REUSE_AFTER_SECONDS)
            await send_requests(deployment, record, f"board-{number}")
    finally:
        await deployment.close()
    for run in deployment.runs:
        record.note(f"{run.attempt} run by {run.server} of {run.service}", run.at)
    return [
        f"{run.attempt} of a route to board alone was run by {run.server}, which"
        f" belongs to {run.service}"
        for run in deployment.runs
        if run.attempt.startswith("board-") and run.service != "board"
    ]


async def replace(deployment, record, server):
    """Crash a server and start one of the other service at its address."""
    host = server.host
    server.crash()
    record.note(f"{server.name} of board crashed")
    await asyncio.sleep(REUSE_AFTER_SECONDS)
    deployment.agents[host] = "plans"
    deployment.write_settings(host)
    record.note(f"the settings of {host} name plans")
    successor = deployment.make_endpoint(f"{server.name}-new", host, "plans")
    await successor.start()
    record.note(f"{successor.name} of plans started at the same address")
    return successor


async def send_requests(deployment, record, name):
    """Send requests to the route of board, each on a flow of its own."""
    waiting = []
    ends_at = time.monotonic() + REQUEST_SECONDS
    while time.monotonic() < ends_at:
        attempt = f"{name}-{len(waiting)}"
        sending = cases.try_request(deployment, record, attempt, cases.BOARD)
        waiting.append(asyncio.create_task(sending))
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    await asyncio.gather(*waiting)


if __name__ == "__main__":
    cases.run_case(main, pathlib.Path(__file__).parent)
