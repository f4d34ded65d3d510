"""Memory and sizes of an entry's tables at the target size.

python -m bench.capacity
"""

from __future__ import annotations

import os
import time
import tracemalloc

from msgspec import structs

from bench import results
from cactushall_core import configuration, identifiers, steering
from cactushall_core.membership import messages, records, table
from tests.core import builders

MEMBERS = 6_300
ENDPOINTS = 60_000
SERVICES = 6_800
MAX_MEMORY_MB = 128.0
LOOKUPS = 20_000


def make_record(number: int) -> records.Record:
    """Return a member that stands beside its share of all endpoints."""
    record = builders.make_agent(number)
    member_id = record.member.id
    endpoints = []
    for index in range(number, ENDPOINTS, MEMBERS):
        name = identifiers.ServiceName(f"service-{index % SERVICES}")
        home = identifiers.derive_home_id(member_id, name)
        endpoints.append(records.Endpoint(name, home, 2000))
    member = structs.replace(record.member, endpoints=tuple(endpoints))
    return records.Record(member, 0, records.Status.ALIVE)


def main() -> None:
    """Run the measurement."""
    fleet = tuple(make_record(number) for number in range(MEMBERS))
    encoded = messages.encode_table(fleet)
    del fleet
    tracemalloc.start()
    started = time.perf_counter()
    members = table.Table()
    for record in messages.decode_table(encoded):
        members.put(record, 0.0)
    filled = time.perf_counter() - started
    table_bytes = tracemalloc.get_traced_memory()[0]
    names = [identifiers.ServiceName(f"service-{n}") for n in range(SERVICES)]
    entry = steering.Steering(builders.RING)
    entry.set_services(names)
    entry.load_members(members)
    all_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    datagram = b"\xc0\x00\x00\x00\x01\x08" + os.urandom(8)
    datagram = datagram.ljust(1200, b"\0")
    started = time.perf_counter()
    for number in range(LOOKUPS):
        entry.steer(names[number % SERVICES], datagram, "192.0.2.7", 0.0)
    first_packet = (time.perf_counter() - started) / LOOKUPS
    services = tuple(
        configuration.Service(name, f"10.1.{n // 250}.{n % 250}:443")
        for n, name in enumerate(names)
    )
    value = configuration.encode(
        configuration.Configuration(identifiers.Revision(1), services)
    )
    results.report(
        "capacity",
        [
            results.Figure("members with 60,000 endpoints, encoded", len(encoded), "B"),
            results.Figure("record of one member", len(encoded) / MEMBERS, "B"),
            results.Figure("table of members in memory", table_bytes / 1e6, "MB"),
            results.Figure("time to fill it", filled, "s"),
            results.Figure(
                "table and steering of an entry",
                all_bytes / 1e6,
                "MB",
                MAX_MEMORY_MB,
            ),
            results.Figure("first packet, 9 endpoints", first_packet * 1e6, "us"),
            results.Figure(
                "configuration of 6,800 services",
                len(value),
                "B",
                configuration.MAX_VALUE_BYTES,
            ),
        ],
    )


if __name__ == "__main__":
    main()
