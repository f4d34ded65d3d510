"""Measures memory and encoded sizes of an entry's tables at the target fleet size.

Also measures the exchange of a whole table with a new member at several fleet sizes.

python -m bench.capacity
"""

from __future__ import annotations

import functools
import gc
import os
import random
import statistics
import time
import tracemalloc
import typing

from msgspec import structs

from bench import results
from cactushall_core import configuration, identifiers, steering
from cactushall_core.membership import (
    member_actions,
    messages,
    records,
    state,
    table,
    timing,
)
from tests.core import builders

MEMBER_COUNT = 6_300
ENDPOINT_COUNT = 60_000
SERVICE_COUNT = 6_800
MAX_MEMORY_MB = 128.0
LOOKUPS = 20_000
EXCHANGE_MEMBER_COUNTS = (64, 300, MEMBER_COUNT)
EXCHANGE_REPETITIONS = 7
MICROSECONDS_PER_SECOND = 1e6
EXCHANGE_AUTHENTICATOR = messages.make_exchange_authenticator(builders.RING)

ResultT = typing.TypeVar("ResultT")


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


def make_membership(record: records.Record) -> state.Membership:
    """Return the state of a member that has just started."""
    return state.Membership(
        record.member, builders.RING, timing.Timing(), random.Random(1), 0.0
    )


def measure_processor_seconds(
    call: typing.Callable[[], ResultT],
) -> tuple[float, ResultT]:
    """Return the processor time in seconds and the result of one call.

    The garbage collector is off meanwhile.

    Args:
        call: The function to call.
    """
    gc.collect()
    gc.disable()
    started_at = time.process_time()
    result = call()
    elapsed_seconds = time.process_time() - started_at
    gc.enable()
    return elapsed_seconds, result


def answer_request(asked: state.Membership, request: bytes) -> bytes:
    """Return the encoded answer of a member to an encoded request for its table."""
    reply, _ = asked.handle_table_request(
        messages.decode_table_request(EXCHANGE_AUTHENTICATOR, request), 0.0
    )
    return messages.encode_exchange(EXCHANGE_AUTHENTICATOR, reply)


def merge_reply(
    asking: state.Membership, source: records.Member, reply: bytes
) -> list[member_actions.Action]:
    """Let a member handle the encoded answer to its request for a table."""
    decoded_reply = messages.decode_table_reply(EXCHANGE_AUTHENTICATOR, reply)
    return asking.handle_table_reply(source.control_address, decoded_reply, 0.0)


def measure_exchange(member_count: int) -> list[results.Figure]:
    """Return the cost of handing the whole table of a fleet to a new member.

    Args:
        member_count: Number of members in the table.
    """
    fleet = tuple(make_record(number) for number in range(member_count))
    source = fleet[0].member
    new_record = make_record(member_count)
    request = messages.encode_exchange(
        EXCHANGE_AUTHENTICATOR,
        messages.TableRequest(new_record, table.Table().digest()),
    )
    make_seconds = []
    merge_seconds = []
    for _ in range(EXCHANGE_REPETITIONS):
        asked = make_membership(fleet[0])
        asked.merge(fleet, 0.0)
        asking = make_membership(new_record)
        elapsed_seconds, reply = measure_processor_seconds(
            functools.partial(answer_request, asked, request)
        )
        make_seconds.append(elapsed_seconds)
        elapsed_seconds, _ = measure_processor_seconds(
            functools.partial(merge_reply, asking, source, reply)
        )
        merge_seconds.append(elapsed_seconds)
        assert len(asking.table) == member_count + 1
    return [
        results.Figure(
            f"whole table, {member_count} members, encoded", len(reply), "B"
        ),
        results.Figure(
            f"whole table, {member_count} members, made",
            statistics.median(make_seconds) * MICROSECONDS_PER_SECOND,
            "us",
        ),
        results.Figure(
            f"whole table, {member_count} members, merged",
            statistics.median(merge_seconds) * MICROSECONDS_PER_SECOND,
            "us",
        ),
    ]


def main() -> None:
    """Build the tables of one entry and report their sizes."""
    exchange_figures = [
        figure for count in EXCHANGE_MEMBER_COUNTS for figure in measure_exchange(count)
    ]
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
            *exchange_figures,
        ],
    )


if __name__ == "__main__":
    main()
