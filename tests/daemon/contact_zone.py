"""Members of an availability zone and their contact services."""

from __future__ import annotations

import asyncio

import pytest
from msgspec import structs

from cactushall_core import identifiers
from cactushall_core.membership import records, table
from cactushall_daemon import contact_service, contacts
from tests.core import builders
from tests.daemon import fleets

ZONE = identifiers.ZoneName("zone-1")


def fail(key, why):
    """Fail because of a contact point that cannot be read."""
    pytest.fail(f"{key}: {why}")


class Zone:
    """Members of one availability zone, who all know the same of each other.

    Attributes:
        members: The table of each of them.
        answering: Control addresses of processes that answer questions.
    """

    def __init__(self, client):
        """Have no members."""
        self.members = table.Table()
        self.answering = set()
        self._client = client
        self._services = {}
        self._tasks = {}

    def start(self, number):
        """Start a member."""
        member = make_member(number)
        self.members.put(records.Record(member, 0, records.Status.ALIVE), 0.0)
        self._services[number] = contact_service.ContactService(
            self._client,
            GossipStub(member, self),
            (records.Role.AGENT,),
            fail,
            lambda error: None,
            lambda listed: None,
        )
        self._tasks[number] = asyncio.create_task(self._services[number].run())
        self.answering.add(member.control_address)

    def kill(self, number):
        """End a process without a word."""
        self._tasks.pop(number).cancel()
        self.answering.discard(make_member(number).control_address)

    def lose_power(self):
        """End all processes; those that start later know nobody."""
        for number in list(self._tasks):
            self.kill(number)
        self.forget_all()

    def forget_all(self):
        """Let all members know nobody."""
        self.members = table.Table()

    async def stop(self, number):
        """Stop a process as planned."""
        await self._services[number].release()
        self.kill(number)
        self.set_status(number, records.Status.LEFT)

    def set_status(self, number, status):
        """Let all know that a member has another status."""
        self.members.put(records.Record(make_member(number), 1, status), 0.0)

    async def listed(self):
        """Return the numbers of the members that the store lists."""
        found = await contacts.read(self._client, fail)
        return {NUMBERS[address] for address in found.current.values()}

    async def latest(self):
        """Return the numbers of the latest holders that the store lists."""
        found = await contacts.read(self._client, fail)
        return {NUMBERS[address] for address in found.latest.values()}

    async def wait_for_listed(self, numbers):
        """Wait until just some members are listed."""

        async def are_listed():
            return await self.listed() == set(numbers)

        await fleets.wait_for(are_listed)

    def close(self):
        """End all processes."""
        for task in self._tasks.values():
            task.cancel()


class GossipStub:
    """The membership protocol of one member of a zone."""

    def __init__(self, member, zone):
        """Know what the zone knows."""
        self.membership = self
        self.member = member
        self.is_complete = True
        self._zone = zone

    @property
    def table(self):
        """Records of all members."""
        return self._zone.members

    async def exchange_tables(self, address):
        """Return whether a process answers."""
        return address in self._zone.answering


def make_member(number):
    """Return a member of the zone; those with lower numbers start earlier."""
    return structs.replace(builders.make_agent(number).member, zone=ZONE)


MEMBERS = range(6)
NUMBERS = {make_member(number).control_address: number for number in MEMBERS}
