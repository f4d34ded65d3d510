"""Measures memory and encoded sizes of an entry's tables at the target fleet size.

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

MEMBER_COUNT = 6_300
ENDPOINT_COUNT = 60_000
SERVICE_COUNT = 6_800
MAX_MEMORY_MB = 128.0
LOOKUPS = 20_000


def make_record(number: int) -> records.Record:
    """Return the record of a member that has its share of all endpoints."""
    record = builders.make_agent(number)
    member_id = record.member.id
    endpoints = []
    for index in range(number, ENDPOINT_COUNT, MEMBER_COUNT):
        name = identifiers.ServiceName(f"service-{index % SERVICE_COUNT}")
        home = identifiers.derive_home_id(member_id, name)
        endpoints.append(records.Endpoint(name, home, 2000))
    member = structs.replace(record.member, endpoints=tuple(endpoints))
    return records.Record(member, 0, records.Status.ALIVE)


def main() -> None:
    """Build the tables of one entry and report their sizes."""
    fleet = tuple(make_record(number) for number in range(MEMBER_COUNT))
    encoded_table = messages.encode_table(fleet)
    del fleet
    tracemalloc.start()
    started_at = time.perf_counter()
    member_table = table.Table()
    for record in messages.decode_table(encoded_table):
        member_table.put(record, 0.0)
    fill_seconds = time.perf_counter() - started_at
    table_bytes = tracemalloc.get_traced_memory()[0]
    service_names = [
        identifiers.ServiceName(f"service-{n}") for n in range(SERVICE_COUNT)
    ]
    entry = steering.Steering(builders.RING)
    entry.set_services(service_names)
    entry.load_members(member_table)
    total_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    datagram = b"\xc0\x00\x00\x00\x01\x08" + os.urandom(8)
    datagram = datagram.ljust(1200, b"\0")
    started_at = time.perf_counter()
    for number in range(LOOKUPS):
        entry.steer(service_names[number % SERVICE_COUNT], datagram, "192.0.2.7", 0.0)
    first_packet_seconds = (time.perf_counter() - started_at) / LOOKUPS
    services = tuple(
        configuration.Service(name, f"10.1.{n // 250}.{n % 250}:443")
        for n, name in enumerate(service_names)
    )
    encoded_configuration = configuration.encode(
        configuration.Configuration(identifiers.Revision(1), services)
    )
    results.report(
        "capacity",
        [
            results.Figure(
                "members with 60,000 endpoints, encoded", len(encoded_table), "B"
            ),
            results.Figure(
                "record of one member", len(encoded_table) / MEMBER_COUNT, "B"
            ),
            results.Figure("table of members in memory", table_bytes / 1e6, "MB"),
            results.Figure("time to fill it", fill_seconds, "s"),
            results.Figure(
                "table and steering of an entry",
                total_bytes / 1e6,
                "MB",
                MAX_MEMORY_MB,
            ),
            results.Figure(
                "first packet, 9 endpoints", first_packet_seconds * 1e6, "us"
            ),
            results.Figure(
                "configuration of 6,800 services",
                len(encoded_configuration),
                "B",
                configuration.MAX_VALUE_BYTES,
            ),
        ],
    )


if __name__ == "__main__":
    main()
