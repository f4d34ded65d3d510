"""Tests of how a process follows the configuration."""

from __future__ import annotations

import asyncio

from cactushall_core import addresses, adoption, exceptions, identifiers, store
from cactushall_daemon import configuration_follower, counters, tasks
from cactushall_rpc import store as etcd_client
from tests.core import builders
from tests.daemon import fleets
from tests.standins import store as etcd_standin


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
            tasks.Tasks(counters.Counters()),
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


class Observer:
    """Records what a follower hands to it, in order with adopted configurations."""

    def __init__(self, log):
        self.log = log
        self.next_read_at = None

    def handle_snapshot(self, snapshot):
        self.log.append(("read", snapshot.revision))

    def handle_change(self, change):
        self.log.append(("change", change.key))


class FakeStore:
    """A store whose read and watch return what a test gives."""

    def __init__(self, entries, changes=()):
        self.calls = 0
        self.reads = []
        self.watches = []
        self._entries = entries
        self._changes = changes

    async def get_prefix(self, prefix):
        self.reads.append(prefix)
        return store.Snapshot(tuple(self._entries), 20, 3)

    async def watch(self, prefix, start_revision, era=None, wait_seconds=None):
        self.watches.append((prefix, start_revision, era))
        for change in self._changes:
            yield change
        await asyncio.sleep(3600)


def start_following(client, log):
    """Return a follower of a store with an observer, and the observer."""
    made = configuration_follower.ConfigurationFollower(
        client,
        b"op/key",
        adoption.Adopter(decode, Configuration(0)),
        lambda configuration: log.append(("adopted", configuration.revision)),
        None,
        lambda: 2,
        tasks.Tasks(counters.Counters()),
        counters.Counters(),
    )
    observer = Observer(log)
    made.observe(b"op/", observer)
    return made, observer


async def follow(follower, seconds=0.1):
    """Let a follower run for some time."""
    running = asyncio.create_task(follower.run())
    await asyncio.sleep(seconds)
    running.cancel()


async def test_the_observer_reads_its_keys_before_the_configuration_is_adopted():
    log = []
    client = FakeStore([store.Entry(b"op/key", b"2", 5)])
    await follow(start_following(client, log)[0])
    assert log == [("read", 20), ("adopted", 2)]
    assert client.reads == [b"op/"]
    assert client.watches == [(b"op/", 21, 3)]


async def test_only_the_key_of_the_configuration_is_adopted():
    """A watch of a prefix yields longer keys and removals, too."""
    log = []
    changes = [
        store.Entry(b"op/key-other", b"9", 21),
        store.Removal(b"op/key", 22),
        store.UnreadableEntry(b"op/key", 23),
        store.Entry(b"op/key", b"3", 24),
    ]
    client = FakeStore([store.Entry(b"op/key2", b"8", 5)], changes)
    await follow(start_following(client, log)[0])
    assert [event for event in log if event[0] == "adopted"] == [("adopted", 3)]
    assert [key for kind, key in log if kind == "change"] == [c.key for c in changes]


async def test_the_store_is_read_again_when_the_observer_needs_it(monkeypatch):
    monkeypatch.setattr(
        configuration_follower.backoff, "MAX_BACKOFF_SECONDS", 0.01, raising=True
    )
    log = []
    client = FakeStore([])
    follower, observer = start_following(client, log)
    running = asyncio.create_task(follower.run())
    await asyncio.sleep(0.05)
    assert len(client.reads) == 1
    observer.next_read_at = asyncio.get_running_loop().time()
    follower.schedule_read()
    observer.next_read_at = None
    await asyncio.sleep(0.1)
    running.cancel()
    assert len(client.reads) == 2


async def test_without_an_observer_only_the_configuration_is_watched():
    client = FakeStore([])
    made = configuration_follower.ConfigurationFollower(
        client,
        b"op/key",
        adoption.Adopter(decode, Configuration(0)),
        lambda configuration: None,
        None,
        lambda: 2,
        tasks.Tasks(counters.Counters()),
        counters.Counters(),
    )
    await follow(made)
    assert client.watches == [(b"op/key", 21, 3)]


async def test_the_etcd_client_yields_changes_and_removals_below_a_prefix():
    port = fleets.free_port()
    async with etcd_standin.serving(fleets.HOSTS[0], port):
        address = addresses.Address(fleets.HOSTS[0], port)
        client = etcd_client.Store((address,))
        lease = await client.grant(30)
        changes = client.watch(b"x/", 1)
        await client.create(b"y/a", b"other")
        await client.create(b"x/a", b"one", lease)
        await client.revoke(lease)
        found = [await asyncio.wait_for(anext(changes), 2) for _ in range(2)]
        await changes.aclose()
        client.close()
    assert [type(change) for change in found] == [store.Entry, store.Removal]
    assert {change.key for change in found} == {b"x/a"}
    assert found[0].mod_revision < found[1].mod_revision
