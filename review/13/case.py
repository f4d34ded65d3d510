"""An agent is stopped and started soon after the server beside it has started."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from review.standins_3 import cases, peers, site

DOWN_SECONDS = 4.5
FLOWS = 72
FLOW_INTERVAL_SECONDS = 0.004
STOP_AFTER_SECONDS = 0.4
RESTART_DELAY_SECONDS = 0.1
IDLE_SECONDS = 7.0
ANSWER_SECONDS = 5.0


async def main(folder, record, has_trouble):
    """Run the case and return the breaks of the rule."""
    deployment = site.Site(folder, entries=2, agents=[*["board"] * 7, "plans"])
    servers = [
        deployment.make_endpoint(f"s-{number}", host, service, first_number=0)
        for number, (host, service) in enumerate(deployment.agents.items())
    ]
    try:
        await deployment.start(cases.make_configuration(3))
        for server in servers:
            await server.start()
        await cases.wait_until_served(deployment, record, servers)
        await asyncio.sleep(4.0)
        servers[0].crash()
        record.note("s-0 crashed")
        await asyncio.sleep(DOWN_SECONDS)
        host = servers[0].host
        restarted = deployment.make_endpoint("s-0", host, "board", first_number=0)
        await restarted.start()
        record.note("s-0 started again")
        flows, _ = await asyncio.gather(
            open_flows(deployment, record),
            roll(deployment, record, host, has_trouble),
        )
        await asyncio.sleep(IDLE_SECONDS)
        await asyncio.gather(
            *(send(flow, name, record) for name, flow in flows.items())
        )
    finally:
        await deployment.close()
    for run in deployment.runs:
        record.note(f"{run.attempt} run by {run.server} of {run.service}", run.at)
    return [
        f"{name} was reset by the system while its server held it"
        for name, flow in flows.items()
        if any(by == "system" and is_open for _, by, is_open in flow.resets)
    ]


async def roll(deployment, record, host, has_trouble):
    """Stop and start the agent of a machine."""
    await asyncio.sleep(STOP_AFTER_SECONDS)
    if not has_trouble:
        return
    deployment.signal(host, signal.SIGTERM)
    record.note(f"SIGTERM to the agent of {host}")
    await deployment.wait_for_exit(host)
    record.note("it has exited")
    await asyncio.sleep(RESTART_DELAY_SECONDS)
    deployment.start_process(host)
    record.note("it is started again")


async def open_flows(deployment, record):
    """Open flows to board, send a request on each, and keep them open."""
    flows = {}

    async def open_one(name):
        flow = deployment.caller.make_flow(cases.BOARD)
        try:
            await flow.open()
            answer = await flow.request(f"{name}-first", ANSWER_SECONDS)
        except (TimeoutError, peers.FlowResetError) as error:
            record.note(f"{name} not opened: {error!r}")
            return
        record.note(f"{name} open, answered: {answer}")
        flows[name] = flow

    opening = []
    for number in range(FLOWS):
        opening.append(asyncio.create_task(open_one(f"flow-{number}")))
        await asyncio.sleep(FLOW_INTERVAL_SECONDS)
    await asyncio.gather(*opening)
    return flows


async def send(flow, name, record):
    """Send the second request on a flow."""
    record.note(f"{name}-second sent")
    try:
        answer = await flow.request(f"{name}-second", ANSWER_SECONDS)
    except TimeoutError:
        answer = "no answer"
    except peers.FlowResetError:
        answer = f"reset by {flow.resets[-1][1]}"
    record.note(f"{name}-second ended: {answer}")


if __name__ == "__main__":
    cases.run_case(main, pathlib.Path(__file__).parent)
