"""New machines find only each other, and reset flows that live on elsewhere."""

from __future__ import annotations

import asyncio

from standins import cases, clients, deployment, packets

FEED = "swap-desk"
CONTACT_SECONDS = 4.0
DOWN_SECONDS = 4.5
# Contact points renew their leases each 10 s; the outage spans one such renewal.
SECONDS_FROM_CLAIM_TO_OUTAGE = 6.0
CONTACT_PREFIX = "/cactushall/contacts/"
# The zone that gets another entry.
ZONE = "attica-a"
FLOWS = 24
# Endpoints that neither drain nor leave.
LASTING = ("i-12", "i-13", "i-14")
# Clients pause between the requests of a flow, well below `idle_timeout_ms`.
REQUEST_GAP_SECONDS = 7.0
OPENING_GAP_SECONDS = 0.2
DEADLINE_SECONDS = 3.0
PLAY_SECONDS = 32.0
# The release: the new endpoint starts first, then the old one of its zone drains and
# leaves.
GAP_SECONDS = 1.0
SERVES_ON_SECONDS = 3.5


async def play(site: deployment.Deployment, has_trouble: bool) -> list[str]:
    """Return the resets of open flows whose endpoints live."""
    route = (site.host(250), 443)
    configuration = deployment.make_configuration(7, (FEED,), {route: FEED})
    site.store.put("op/config", configuration)
    await site.start(seeds=[1, 2, 3])
    for number in (1, 2, 3):
        site.add_entry(number)
    for number in (11, 12, 13):
        await site.add_server(number, FEED)
    while len(site.store.keys(CONTACT_PREFIX)) < 3:
        await asyncio.sleep(0.05)
    claimed_at = site.record.now()
    await site.wait_until_ready(site.entries)

    feeds = [
        asyncio.create_task(follow(site, route, number * OPENING_GAP_SECONDS))
        for number in range(FLOWS)
    ]
    await sleep_until(site, claimed_at + SECONDS_FROM_CLAIM_TO_OUTAGE)
    if has_trouble:
        site.store.is_down = True
        lost = site.store.let_leases_lapse()
        site.record.write("store-down", lapsed=lost)
    await asyncio.sleep(0.5)
    # These seeds were right for machines that are gone by now.
    site.set_seeds([31, 32, 33])
    site.add_entry(4)
    await site.add_server(14, FEED)
    release = asyncio.create_task(remove_server(site, 11))
    await asyncio.sleep(DOWN_SECONDS - 0.5)
    site.store.is_down = False
    back_at = site.record.write("store-back")

    await sleep_until(site, claimed_at + PLAY_SECONDS)
    for feed in feeds:
        feed.cancel()
    await release
    return [
        f"FLOW: the client got a reset of the system's on an open flow, {since:.2f} s"
        " after the store was back; the flow's endpoint lives"
        for client in site.clients.values()
        for reset in client.resets
        if reset.is_of_system
        and reset.was_open
        and reset.endpoint in LASTING
        and (since := reset.at - back_at) > CONTACT_SECONDS
    ]


async def follow(
    site: deployment.Deployment, route: packets.End, delay_seconds: float
) -> None:
    """Keep one flow open, with requests and pauses."""
    await asyncio.sleep(delay_seconds)
    flow = site.clients[ZONE].make_flow(route)
    try:
        await flow.open()
        while True:
            await flow.request(DEADLINE_SECONDS)
            await asyncio.sleep(REQUEST_GAP_SECONDS)
            if flow.is_closed:
                flow = site.clients[ZONE].make_flow(route)
                await flow.open()
    except clients.FlowEndedError:
        site.record.write("flow-ended", port=flow.source[1], reset=flow.reset)


async def remove_server(site: deployment.Deployment, number: int) -> None:
    """Let an endpoint drain and leave, and then stop the node beside it."""
    await asyncio.sleep(GAP_SECONDS)
    await site.endpoints[f"i-{number}"].leave(SERVES_ON_SECONDS)
    node = next(a for a in site.agents.values() if a.host == site.host(number))
    await node.stop()
    site.record.write("node-stopped", name=node.name)


async def sleep_until(site: deployment.Deployment, at: float) -> None:
    """Sleep until a time of the record."""
    await asyncio.sleep(max(0.0, at - site.record.now()))


if __name__ == "__main__":
    cases.main(20, play)
