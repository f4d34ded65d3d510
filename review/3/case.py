"""A heartbeat of another writer makes an endpoint serve a foreign route."""

from __future__ import annotations

import asyncio
import time

from standins import cases, clients, deployment, packets, web

FEED, CATALOGUE = "swap-desk", "catalogue"
REQUESTS = 60
REQUEST_GAP_SECONDS = 0.1
DEADLINE_SECONDS = 1.0


async def play(site: deployment.Deployment, has_trouble: bool) -> list[str]:
    """Return the requests that a service has run whose route never led there."""
    feed, photos = (site.host(250), 443), (site.host(251), 443)
    services = {feed: FEED, photos: CATALOGUE}
    configuration = deployment.make_configuration(7, (FEED, CATALOGUE), services)
    site.store.put("op/config", configuration)
    await site.start(seeds=[1, 2, 3])
    for number in (1, 2, 3):
        site.add_entry(number)
    for number in (11, 12):
        await site.add_server(number, FEED)
    for number in (13, 14):
        await site.add_server(number, CATALOGUE)
    await site.wait_until_ready(site.entries)
    await asyncio.sleep(2.0)

    if has_trouble:
        # It names no address and no zone, and so no endpoint to use.
        heartbeat = {
            "service": CATALOGUE,
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "cold_left_ms": 0,
            "seq_no": 1,
            "born": int(time.time() * 1000),
        }
        host, port = site.host(11), site.ports.control
        target = "/api/instances/i-77"
        status = await web.call(host, port, "PUT", target, heartbeat, 1.0)
        site.record.write("heartbeat-of-another-writer", status=status, to=host)
    await asyncio.sleep(1.0)

    routes: dict[str, packets.End] = {}
    for number in range(REQUESTS):
        client = site.clients[deployment.ZONES[number % len(deployment.ZONES)]]
        for route in services:
            await request(client, route, routes)
        await asyncio.sleep(REQUEST_GAP_SECONDS)
    runs = [run for endpoint in site.endpoints.values() for run in endpoint.runs]
    return [
        f"ROUTE: request {run.attempt} of the route to {services[route]} was run by"
        f" {run.service} ({run.endpoint})"
        for run in runs
        if (route := routes[run.attempt]) and services[route] != run.service
    ]


async def request(
    client: clients.Client, route: packets.End, routes: dict[str, packets.End]
) -> None:
    """Send one request in a flow of its own."""
    flow = client.make_flow(route)
    try:
        await flow.open()
        await flow.request(DEADLINE_SECONDS)
    except clients.FlowEndedError:
        client.record.write("not-answered", port=flow.source[1])
    else:
        flow.close()
    if flow.attempt is not None:
        routes[flow.attempt] = route


if __name__ == "__main__":
    cases.main(20, play)
