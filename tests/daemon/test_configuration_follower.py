"""Tests of how a process follows the configuration."""

from __future__ import annotations

import asyncio

from cactushall_core import adoption, exceptions, identifiers
from cactushall_daemon import configuration_follower, counters, tasks
from tests.core import builders


class Configuration:
    """A configuration that consists of its revision."""

    def __init__(self, revision):
        self.revision = revision


def decode(value, _source):
    return Configuration(int(value))


class Fleet:
    """Members from which a follower fetches revision 2 of the configuration."""

    def __init__(self):
        """Create the follower, which has revision 1."""
        self.answers = []
        self.asked = []
        self.adopted = []
        self.follower = configuration_follower.ConfigurationFollower(
            None,
            b"key",
            adoption.Adopter(decode, Configuration(1)),
            lambda configuration: self.adopted.append(configuration.revision),
            self.fetch,
            lambda: 2,
            tasks.Tasks(),
            counters.Counters(),
        )

    async def fetch(self, member):
        """Return the next answer, fail where there is none."""
        self.asked.append(member.name)
        if not self.answers:
            raise exceptions.StoreUnavailableError("no answer")
        return self.answers.pop()

    async def announce(self, number):
        """Let the follower hear from a member that it has revision 2."""
        member = builders.make_agent(number).member
        self.follower.fetch_if_newer(member, identifiers.Revision(2))
        for _ in range(3):
            await asyncio.sleep(0)


async def test_failed_fetch_is_tried_again_when_a_member_announces_the_revision():
    fleet = Fleet()
    await fleet.announce(1)
    assert fleet.adopted == []
    fleet.answers.append(b"2")
    await fleet.announce(2)
    assert fleet.adopted == [2]
    assert len(fleet.asked) == 2


async def test_fetch_that_returned_an_older_revision_is_tried_again():
    fleet = Fleet()
    fleet.answers += [b"2", b"1"]
    await fleet.announce(1)
    assert fleet.adopted == []
    await fleet.announce(2)
    assert fleet.adopted == [2]


async def test_adopted_revision_is_not_fetched_again():
    fleet = Fleet()
    fleet.answers.append(b"2")
    await fleet.announce(1)
    await fleet.announce(2)
    assert len(fleet.asked) == 1
