"""Scenarios of the whole path from callers to backend servers."""

from __future__ import annotations

import asyncio
import hashlib
import random
import socket
import time

from pytest_bdd import parsers, scenarios, then, when

from bench import processes
from tests.standins import caller as caller_standin
from tests.standins import site as site_standin

scenarios("path.feature")

RANDOM_DATAGRAMS = 300


@when(parsers.parse("a photo set of {size:d} bytes is fetched"))
def _(world, size):
    async def fetch():
        caller = await world.open_caller("catalogue")
        await caller.request("GET", "/photos/1000")
        pid = world.site.process("catalogue-0").pid
        world.results["memory_before"] = processes.resident_bytes(pid)
        stream = caller.send("GET", f"/photos/{size}")
        total = 0
        peak = 0
        async for chunk in caller.read_body(stream):
            total += len(chunk)
            peak = max(peak, processes.resident_bytes(pid))
        world.results.update(photos_complete=total == size, memory_peak=peak)

    world.run(fetch())


@when(parsers.parse("{size:d} bytes are uploaded to a slow server"))
def _(world, size):
    body = random.Random(1).randbytes(size)

    async def upload():
        caller = await world.open_caller("catalogue")
        pid = world.site.process("catalogue-0").pid
        task = asyncio.ensure_future(
            caller.request("POST", "/upload?pause=0.02", body=body)
        )
        while not task.done():
            peak = max(world.results["memory_peak"], processes.resident_bytes(pid))
            world.results["memory_peak"] = peak
            await asyncio.sleep(0.02)
        answer = await task
        digest = hashlib.sha256(body).hexdigest()
        world.results["upload_complete"] = digest.encode() in answer.body

    world.run(upload())


@then("both transfers are complete")
def _(world):
    assert world.results["photos_complete"]
    assert world.results["upload_complete"]


@then(parsers.parse("the memory of catalogue-0 grew by less than {limit:d} MB"))
def _(world, limit):
    growth = world.results["memory_peak"] - world.results["memory_before"]
    assert growth < limit * 1_000_000


@when(parsers.parse("a caller cancels a proposal of {seconds:g} seconds"))
def _(world, seconds):
    async def cancel_proposal():
        caller = await world.open_caller("swap-desk")
        path = f"/proposals?seconds={seconds}"
        stream = caller.send("POST", path, {"idempotency-key": "cancelled"}, b"offer")
        await asyncio.sleep(0.5)
        caller.cancel(stream)

    world.run(cancel_proposal())


@then(parsers.parse("the server has seen it cancelled within {seconds:g} seconds"))
def _(world, seconds):
    async def is_cancelled() -> bool:
        return world.site.backend_statistics("desk-0")["cancelled"] == 1

    world.run(site_standin.wait_until(is_cancelled, seconds))


@then("the slot is free for the next proposal")
def _(world):
    async def send_proposal():
        return await world.send_proposal(await world.open_caller("swap-desk"))

    assert world.run(send_proposal()).status == 200


@when(
    parsers.parse(
        "a proposal of {seconds:g} seconds is sent with a second one behind it"
    )
)
def _(world, seconds):
    async def send():
        first = await world.open_caller("swap-desk")
        second = await world.open_caller("swap-desk")
        path = f"/proposals?seconds={seconds}"
        await asyncio.gather(
            world.send_proposal(first, path), world.send_proposal(second, path)
        )

    world.run(send())


@then(parsers.parse("the first is answered as unknown after {seconds:g} seconds"))
def _(world, seconds):
    first = world.proposals[0]
    assert first.status == 504
    assert first.outcome.startswith("unknown")
    assert seconds - 0.1 < first.seconds < seconds + 0.5


@then("the second is answered as not run and did not run")
def _(world):
    second = world.proposals[1]
    assert second.status == 503
    assert second.outcome.startswith("not-run")
    assert second.seconds < 1.5
    assert world.run_count(second.key) == 0


@then("the server was told the deadline")
def _(world):
    (timeout_ms,) = world.site.backend_statistics("desk-0")["timeouts_ms"]
    assert 0 < timeout_ms <= 1000


@when("a caller fetches a truncated response")
def _(world):
    async def fetch():
        caller = await world.open_caller("swap-desk")
        try:
            await caller.request("GET", "/cut")
        except caller_standin.IncompleteResponseError:
            world.results["broken"] = True

    world.run(fetch())


@then("the caller sees a broken stream")
def _(world):
    assert world.results["broken"]


@when("random datagrams are sent to every port of the site")
def _(world):
    rng = random.Random(3)
    targets = [
        (world.site.service_address("swap-desk").host, 4433),
        (world.site.service_address("catalogue").host, 4433),
        (world.site.control_address("desk-0").host, 7948),
        (world.site.control_address("desk-0").host, 7946),
        (world.site.control_address("entry-0").host, 7946),
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number in range(RANDOM_DATAGRAMS):
            datagram = rng.randbytes(rng.randint(0, 1400))
            sock.sendto(datagram, targets[number % len(targets)])


@when("a caller sends an oversized header")
def _(world):
    async def send():
        caller = await world.open_caller("swap-desk")
        answer = await caller.request("GET", "/", {"x-large": "x" * 40_000})
        world.results["oversized"] = answer.status

    world.run(send())


@when("a connection id of swap-desk is sent to catalogue")
def _(world):
    cid = world.feeds[0].caller._quic._peer_cid.cid
    datagram = (b"\x40" + cid).ljust(60, b"\0")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(datagram, world.site.service_address("catalogue"))
    time.sleep(0.2)


@then("the oversized header was refused with status 431")
def _(world):
    assert world.results["oversized"] == 431


@then("malformed datagrams and foreign connection ids were counted")
def _(world):
    async def counters(name):
        status = await world.site.client.status(world.site.control_address(name))
        return {counter.name: counter.value for counter in status.counters}

    entry = world.run(counters("entry-0"))
    agent = world.run(counters("desk-0"))
    assert entry["datagrams_malformed"] > 0
    assert entry["datagrams_with_foreign_id"] > 0
    assert agent["tunnel_datagrams_rejected"] > 0
    assert agent["gossip_datagrams_rejected"] > 0
