"""Cost of one entry process: packets a second, processor time, memory of flows.

python -m bench.entry
"""

from __future__ import annotations

import asyncio
import pathlib
import secrets
import socket
import tempfile
import time

from bench import processes, results
from cactushall_core import connection_id, identifiers, keys
from tests.standins import site as site_standin

PACKETS = 150_000
PACKET_BYTES = 1200
SMALL_PACKET_BYTES = 80
FLOW_IDS = 200_000
BURST = 32
TARGET_MICROSECONDS = 20.0


class Load:
    """Sends packets of many flows to one entry."""

    def __init__(self, site: site_standin.Site, ids: list[bytes]) -> None:
        """Prepare the packets' heads."""
        self._target = site.service_address("swap-desk")
        self._ids = ids
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))

    async def send(self, packets: int, size: int, per_second: int) -> None:
        """Send packets at a steady rate."""
        started = time.monotonic()
        for number in range(packets):
            cid = self._ids[number % len(self._ids)]
            self._socket.sendto((b"\x40" + cid).ljust(size, b"\0"), self._target)
            if number % BURST == 0:
                ahead = number / per_second - (time.monotonic() - started)
                if ahead > 0:
                    await asyncio.sleep(ahead)


async def counter(site: site_standin.Site, name: str) -> int:
    """Return one of the entry's counters."""
    status = await site.client.status(site.control_address("entry-0"))
    return next((c.value for c in status.counters if c.name == name), 0)


async def measure(
    site: site_standin.Site, load: Load, size: int, per_second: int
) -> tuple[float, float]:
    """Return microseconds of processor time and packets forwarded a second."""
    pid = site.process("entry-0").pid
    forwarded = await counter(site, "datagrams_forwarded")
    used = processes.processor_seconds(pid)
    started = time.monotonic()
    await load.send(PACKETS, size, per_second)
    await asyncio.sleep(0.5)
    seconds = time.monotonic() - started - 0.5
    forwarded = await counter(site, "datagrams_forwarded") - forwarded
    used = processes.processor_seconds(pid) - used
    return used / forwarded * 1e6, forwarded / seconds


async def main() -> None:
    """Run the measurement."""
    plan = site_standin.SitePlan(
        services={"swap-desk": "127.0.1.1"},
        endpoints=(site_standin.EndpointPlan("desk-0", "swap-desk", "attica-1"),),
        entries=(site_standin.EntryPlan("entry-0", "attica-1"),),
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        async with site_standin.running(plan, path) as site:
            status = await site.client.status(site.control_address("desk-0"))
            home = identifiers.HomeId(status.endpoints[0].home)
            key = keys.make_key(bytes.fromhex((path / "key").read_text()))
            service = identifiers.ServiceName("swap-desk")
            service_keys = connection_id.make_service_keys((key,), service)
            ids = [
                connection_id.encode(service_keys, home, secrets.token_bytes(7))
                for _ in range(FLOW_IDS)
            ]
            pid = site.process("entry-0").pid
            await Load(site, ids[:1]).send(5_000, PACKET_BYTES, 20_000)
            before = processes.resident_bytes(pid)
            steady, _ = await measure(site, Load(site, ids[:1]), PACKET_BYTES, 15_000)
            small, _ = await measure(site, Load(site, ids), SMALL_PACKET_BYTES, 15_000)
            many, _ = await measure(site, Load(site, ids), PACKET_BYTES, 15_000)
            grown = processes.resident_bytes(pid) - before
            full, rate = await measure(site, Load(site, ids), PACKET_BYTES, 1_000_000)
    results.report(
        "entry",
        [
            results.Figure(
                "1,200 bytes, 15,000/s, 1 flow",
                steady,
                "us/packet",
                TARGET_MICROSECONDS,
            ),
            results.Figure(
                "1,200 bytes, 15,000/s, 200,000 flows",
                many,
                "us/packet",
                TARGET_MICROSECONDS,
            ),
            results.Figure(
                "80 bytes, 15,000/s, 200,000 flows",
                small,
                "us/packet",
                TARGET_MICROSECONDS,
            ),
            results.Figure("1,200 bytes, as fast as the sender", full, "us/packet"),
            results.Figure("forwarded, as fast as the sender", rate, "packets/s"),
            results.Figure(
                "memory for 200,000 flows", grown / FLOW_IDS, "bytes/flow", 1.0
            ),
        ],
    )


if __name__ == "__main__":
    asyncio.run(main())
