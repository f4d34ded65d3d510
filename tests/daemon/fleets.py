"""Processes' nodes on loopback addresses, for tests of how they find each other."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket

from cactushall_core import keys
from cactushall_core.membership import messages, records
from cactushall_daemon.config import base
from tests.core import builders

HOSTS = [f"127.40.0.{number}" for number in range(1, 9)]
KEY = "ab" * 32
OTHER_KEY = "cd" * 32
OTHER_RING = (keys.make_key(bytes.fromhex(OTHER_KEY)),)
WAIT_SECONDS = 6.0
POLL_SECONDS = 0.02
GONE_MEMBER_COUNT = 300


def free_port():
    """Return a port that no process uses at any of the hosts, for UDP or TCP."""
    while True:
        with contextlib.ExitStack() as stack:
            probe = stack.enter_context(socket.socket())
            probe.bind((HOSTS[0], 0))
            port = probe.getsockname()[1]
            try:
                for host in HOSTS:
                    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    stack.enter_context(datagrams).bind((host, port))
                for host in HOSTS[1:]:
                    stack.enter_context(socket.socket()).bind((host, port))
            except OSError:
                continue
            return port


def load_settings(folder, cls, values):
    """Return the settings that a process would load from a file with some values."""
    path = folder / f"{values['node']}.json"
    path.write_text(json.dumps(values))
    settings, found = base.load(cls, path)
    assert settings is not None, found
    return settings


async def wait_until(condition):
    """Wait until a condition holds; fail where it does not hold in time."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)


async def wait_for(condition):
    """Wait until an asynchronous condition holds; fail where it does not in time."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not await condition():
            await asyncio.sleep(POLL_SECONDS)


def add_gone_members(node):
    """Add records of members that have left: more than a byte budget allows."""
    gone = tuple(
        builders.make_agent(number, status=records.Status.LEFT)
        for number in range(GONE_MEMBER_COUNT)
    )
    node.gossip.membership.merge(gone, asyncio.get_running_loop().time())


def known_members(node):
    """Return the ids of all members in the table of a node."""
    return {record.member.id for record in node.gossip.membership.table}


def unauthentic_requests(node):
    """Return bodies that a node must refuse as requests for its table."""
    membership = node.gossip.membership
    own_record = membership.snapshot()[0]
    request = messages.TableRequest(own_record, membership.table.digest())
    foreign = messages.make_exchange_authenticator(OTHER_RING)
    return b"", b"garbled", messages.encode_exchange(foreign, request)


@contextlib.asynccontextmanager
async def silent_listener(host, port):
    """Accept connections at an address and never answer; yield those accepted."""
    accepted = []

    async def accept(reader, writer):
        accepted.append(writer)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(accept, host, port)
    try:
        yield accepted
    finally:
        server.close()
        for writer in accepted:
            writer.close()
