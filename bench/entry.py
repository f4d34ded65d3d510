"""Measures an entry's packet rate, processor time per packet and memory per flow.

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
FLOW_COUNT = 200_000
BURST_PACKETS = 32
TARGET_MICROSECONDS = 20.0


class LoadGenerator:
    """Sends later packets of many flows to one entry."""

    def __init__(self, site: site_standin.Site, connection_ids: list[bytes]) -> None:
        """Open the socket.

        Args:
            site: The running site.
            connection_ids: Connection IDs of the flows, which take turns.
        """
        self._target = site.service_address("swap-desk")
        self._connection_ids = connection_ids
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))

    async def send(self, packets: int, size: int, per_second: int) -> None:
        """Send packets at a steady rate.

        Args:
            packets: Number of packets.
            size: Length of a packet in bytes.
            per_second: Upper limit of the rate.
        """
        started_at = time.monotonic()
        for number in range(packets):
            connection_id_bytes = self._connection_ids[
                number % len(self._connection_ids)
            ]
            self._socket.sendto(
                (b"\x40" + connection_id_bytes).ljust(size, b"\0"), self._target
            )
            if number % BURST_PACKETS == 0:
                ahead_seconds = number / per_second - (time.monotonic() - started_at)
                if ahead_seconds > 0:
                    await asyncio.sleep(ahead_seconds)


async def read_counter(site: site_standin.Site, name: str) -> int:
    """Return the value of one of the entry's counters."""
    status = await site.client.status(site.control_address("entry-0"))
    return next((c.value for c in status.counters if c.name == name), 0)


async def measure(
    site: site_standin.Site, generator: LoadGenerator, size: int, per_second: int
) -> tuple[float, float]:
    """Return processor microseconds per packet and packets forwarded per second."""
    pid = site.process("entry-0").pid
    forwarded = await read_counter(site, "datagrams_forwarded")
    processor_seconds = processes.processor_seconds(pid)
    started_at = time.monotonic()
    await generator.send(PACKETS, size, per_second)
    await asyncio.sleep(0.5)
    elapsed_seconds = time.monotonic() - started_at - 0.5
    forwarded = await read_counter(site, "datagrams_forwarded") - forwarded
    processor_seconds = processes.processor_seconds(pid) - processor_seconds
    return processor_seconds / forwarded * 1e6, forwarded / elapsed_seconds


async def main() -> None:
    """Run one entry under several loads and report the figures."""
    plan = site_standin.SitePlan(
        services={"swap-desk": "127.0.1.1"},
        endpoints=(site_standin.EndpointPlan("desk-0", "swap-desk", "attica-1"),),
        entries=(site_standin.EntryPlan("entry-0", "attica-1"),),
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        async with site_standin.running_site(plan, path) as site:
            status = await site.client.status(site.control_address("desk-0"))
            home = identifiers.HomeId(status.endpoints[0].home)
            key = keys.make_key(bytes.fromhex((path / "key").read_text()))
            service = identifiers.ServiceName("swap-desk")
            service_keys = connection_id.make_service_keys((key,), service)
            connection_ids = [
                connection_id.encode(service_keys, home, secrets.token_bytes(7))
                for _ in range(FLOW_COUNT)
            ]
            pid = site.process("entry-0").pid
            await LoadGenerator(site, connection_ids[:1]).send(
                5_000, PACKET_BYTES, 20_000
            )
            memory_before = processes.resident_bytes(pid)
            one_flow_us, _ = await measure(
                site, LoadGenerator(site, connection_ids[:1]), PACKET_BYTES, 15_000
            )
            small_packets_us, _ = await measure(
                site, LoadGenerator(site, connection_ids), SMALL_PACKET_BYTES, 15_000
            )
            many_flows_us, _ = await measure(
                site, LoadGenerator(site, connection_ids), PACKET_BYTES, 15_000
            )
            memory_growth = processes.resident_bytes(pid) - memory_before
            full_rate_us, full_rate = await measure(
                site, LoadGenerator(site, connection_ids), PACKET_BYTES, 1_000_000
            )
    results.report(
        "entry",
        [
            results.Figure(
                "1,200 bytes, 15,000/s, 1 flow",
                one_flow_us,
                "us/packet",
                TARGET_MICROSECONDS,
            ),
            results.Figure(
                "1,200 bytes, 15,000/s, 200,000 flows",
                many_flows_us,
                "us/packet",
                TARGET_MICROSECONDS,
            ),
            results.Figure(
                "80 bytes, 15,000/s, 200,000 flows",
                small_packets_us,
                "us/packet",
                TARGET_MICROSECONDS,
            ),
            results.Figure(
                "1,200 bytes, as fast as the sender", full_rate_us, "us/packet"
            ),
            results.Figure("forwarded, as fast as the sender", full_rate, "packets/s"),
            results.Figure(
                "memory for 200,000 flows",
                memory_growth / FLOW_COUNT,
                "bytes/flow",
                1.0,
            ),
        ],
    )


if __name__ == "__main__":
    asyncio.run(main())
