"""Tests of the store client against a stand-in of the store."""

from __future__ import annotations

import asyncio

import pytest

from cactushall_core import addresses, exceptions, store
from cactushall_platform import store as platform_store
from tests.standins import platform_store as standin

KEY = b"op/config"
SHORT_SECONDS = 0.2
SETTLE_SECONDS = 0.05


@pytest.fixture
async def server():
    platform_server = standin.PlatformStore()
    yield platform_server
    await platform_server.stop()


@pytest.fixture
def unreadable():
    return []


@pytest.fixture
async def client(server, unreadable):
    store_client = platform_store.KeyValueStore(
        addresses.Address(*await server.start()),
        lambda key, why: unreadable.append((key, why)),
    )
    yield store_client
    store_client.close()


async def next_entry(changes):
    return await asyncio.wait_for(anext(changes), 2)


async def test_all_pages_are_read(server, client):
    for number in range(5):
        server.put(f"x/{number}", b"%d" % number)
    server.put("y/0", b"other")
    snapshot = await client.get_prefix(b"x/")
    assert [entry.value for entry in snapshot.entries] == [b"0", b"1", b"2", b"3", b"4"]
    assert snapshot.revision == server.revision


async def test_an_undecodable_value_is_reported_and_others_are_returned(
    server, client, unreadable
):
    server.put("x/0", "not base64!")
    server.put("x/1", b"good")
    snapshot = await client.get_prefix(b"x/")
    assert [entry.value for entry in snapshot.entries] == [b"good"]
    ((key, why),) = unreadable
    assert key == "x/0"
    assert why


async def test_a_watch_yields_each_change_below_its_prefix_only(server, client):
    server.put("op/config", b"old")
    first = server.revision + 1
    changes = client.watch(b"op/", first)
    waiting = asyncio.create_task(next_entry(changes))
    await asyncio.sleep(0.05)
    server.put("other/config", b"other")
    server.put("op/evacuate/a", b"{}")
    server.remove("op/evacuate/a")
    server.put("op/config", b"new")
    evacuated = store.Entry(b"op/evacuate/a", b"{}", first + 1)
    assert await waiting == evacuated
    assert await next_entry(changes) == store.Removal(b"op/evacuate/a", first + 2)
    assert await next_entry(changes) == store.Entry(b"op/config", b"new", first + 3)
    server.put("op/config", b"newer")
    assert (await next_entry(changes)).value == b"newer"
    await changes.aclose()


async def test_a_watch_tells_of_a_key_whose_value_cannot_be_decoded(server, client):
    server.put("op/evacuate/a", "not base64!")
    changes = client.watch(b"op/", server.revision)
    expected = store.UnreadableEntry(b"op/evacuate/a", server.revision)
    assert await next_entry(changes) == expected
    await changes.aclose()
    assert (await client.get_prefix(b"op/")).unreadable == (expected,)


async def test_a_read_tells_the_era_of_the_store(server, client):
    assert (await client.get_prefix(b"op/")).era == 1
    server.come_back_from(server.make_copy())
    assert (await client.get_prefix(b"op/")).era == 2


async def test_an_era_that_is_not_a_number_is_reported(server, client, unreadable):
    server.era = "second"
    assert (await client.get_prefix(b"op/")).era == platform_store.UNKNOWN_ERA
    assert len(unreadable) == 1


async def test_a_watch_from_a_read_of_an_earlier_era_ends(server, client):
    """Another call of the client may have seen the new era before the watch starts."""
    snapshot = await client.get_prefix(b"op/")
    server.come_back_from(server.make_copy())
    server.put("op/config", b"new")
    await client.get_prefix(b"other/")
    with pytest.raises(exceptions.StoreUnavailableError, match="copy"):
        await next_entry(client.watch(b"op/", snapshot.revision + 1, snapshot.era))


async def test_a_watch_that_the_restored_store_holds_ends_with_the_next_call(
    server, client
):
    """Its revisions are below that of the watch, which would miss new changes."""
    copied = server.make_copy()
    server.put("op/config", b"old")
    snapshot = await client.get_prefix(b"op/")
    changes = client.watch(b"op/", snapshot.revision + 1, snapshot.era)
    waiting = asyncio.create_task(next_entry(changes))
    await asyncio.sleep(0.05)
    server.come_back_from(copied)
    server.put("op/evacuate/a", b"{}")
    await asyncio.sleep(0.05)
    assert not waiting.done()
    await client.get_prefix(b"other/")
    with pytest.raises(exceptions.StoreUnavailableError, match="copy"):
        await waiting


async def test_a_read_whose_pages_are_of_two_eras_fails(server, client, monkeypatch):
    for number in range(3):
        server.put(f"x/{number}", b"")
    pages = [await client._get_page(b"x/", ""), await client._get_page(b"x/", "x/1")]
    pages[1] = (pages[1][0], pages[1][1] + 1)

    async def get_page(_prefix, _after):
        return pages.pop(0)

    monkeypatch.setattr(client, "_get_page", get_page)
    with pytest.raises(exceptions.StoreUnavailableError, match="copy"):
        await client.get_prefix(b"x/")


async def test_a_watch_from_compacted_history_ends(server, client):
    server.put("op/config", b"old")
    server.compact()
    with pytest.raises(exceptions.StoreUnavailableError, match="history"):
        await next_entry(client.watch(KEY, 5))


async def test_an_unanswered_watch_times_out(server, client, monkeypatch):
    monkeypatch.setattr(platform_store, "WATCH_SECONDS", 0.1)
    monkeypatch.setattr(platform_store, "WATCH_GRACE_SECONDS", 0.1)
    server.fault = "silent"
    with pytest.raises(exceptions.StoreUnavailableError):
        await next_entry(client.watch(KEY, 5))


async def test_a_key_is_created_once(server, client):
    assert await client.create(b"c/1", b"mine")
    assert not await client.create(b"c/1", b"theirs")
    (entry,) = (await client.get_prefix(b"c/")).entries
    assert entry.value == b"mine"


async def test_revoking_a_lease_deletes_its_keys(server, client):
    lease = await client.grant(30)
    await client.create(b"c/1", b"mine", lease)
    await client.keep_alive(lease)
    await client.revoke(lease)
    assert (await client.get_prefix(b"c/")).entries == ()
    with pytest.raises(store.LeaseExpiredError):
        await client.keep_alive(lease)
    with pytest.raises(store.LeaseExpiredError):
        await client.create(b"c/2", b"mine", lease)


@pytest.mark.parametrize("status", [429, 503])
async def test_an_error_status_means_that_nothing_was_written(server, client, status):
    server.fault = status
    with pytest.raises(exceptions.StoreBusyError):
        await client.create(b"c/1", b"mine")
    assert server.items == {}


async def test_a_lost_response_leaves_the_outcome_unknown(server, client):
    server.fault = "lost"
    with pytest.raises(exceptions.StoreUnavailableError) as caught:
        await client.create(b"c/1", b"mine")
    assert not isinstance(caught.value, exceptions.StoreBusyError)
    server.fault = None
    assert len((await client.get_prefix(b"c/")).entries) == 1


async def test_a_call_to_an_unresponsive_store_times_out(server, client, monkeypatch):
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_SECONDS", 0.1)
    server.fault = "silent"
    with pytest.raises(exceptions.StoreUnavailableError):
        await client.get_prefix(b"x/")
    server.fault = None
    assert (await client.get_prefix(b"x/")).entries == ()
    assert client.calls == 2


async def test_a_watch_ends_when_the_store_has_come_back_from_a_copy(server, client):
    server.put("op/config", b"old")
    copied = server.make_copy()
    snapshot = await client.get_prefix(KEY)
    changes = client.watch(KEY, snapshot.revision + 1)
    waiting = asyncio.create_task(next_entry(changes))
    await asyncio.sleep(0.05)
    server.come_back_from(copied)
    server.put("op/config", b"new")
    with pytest.raises(exceptions.StoreUnavailableError, match="copy"):
        await waiting


async def test_a_lease_from_before_a_copy_has_expired_although_its_id_is_used_again(
    server, client
):
    copied = server.make_copy()
    lease = await client.grant(30)
    await client.keep_alive(lease)
    server.come_back_from(copied)
    server.leases.add(lease)
    with pytest.raises(store.LeaseExpiredError):
        await client.keep_alive(lease)


async def test_a_lease_of_the_copy_itself_is_claimed_again(server, client):
    lease = await client.grant(30)
    server.come_back_from(server.make_copy())
    with pytest.raises(store.LeaseExpiredError):
        await client.keep_alive(lease)
    renewed = await client.grant(30)
    await client.keep_alive(renewed)


async def test_a_store_that_tells_no_era_is_understood(server, client):
    server.era = None
    lease = await client.grant(30)
    await client.keep_alive(lease)
    server.put("op/config", b"old")
    changes = client.watch(KEY, 1)
    assert (await next_entry(changes)).value == b"old"
    await changes.aclose()


async def test_an_answer_with_a_header_that_is_no_text_is_read():
    """Guards against a proxy's header that ends the task which reads the store."""
    body = b'{"items":[],"as_of":7}'
    head = b"HTTP/1.1 200 OK\r\nX-Odd: \xff\xfe\r\nContent-Length: %d\r\n\r\n"

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head % len(body) + body)
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = addresses.Address(*listener.sockets[0].getsockname())
    client = platform_store.KeyValueStore(address, lambda key, why: None)
    snapshot = await client.get_prefix(b"op/")
    assert snapshot.revision == 7
    client.close()
    listener.close()


# Connections that go silent.


async def start_watch(client, wait_seconds=None):
    """Start a watch that waits, and return it with the task that waits."""
    revision = (await client.get_prefix(b"op/")).revision
    changes = client.watch(b"op/", revision + 1, wait_seconds=wait_seconds)
    waiting = asyncio.create_task(next_entry(changes))
    await asyncio.sleep(SETTLE_SECONDS)
    return changes, waiting


async def test_a_silent_connection_ends_the_waits_on_all_others(
    server, client, monkeypatch
):
    """Guards against a watch that waits for long on a connection that is silent too."""
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_SECONDS", SHORT_SECONDS)
    _, waiting = await start_watch(client)
    lease = await client.grant(30)
    server.silence_connections()
    with pytest.raises(store.ConnectionLostError):
        await client.keep_alive(lease)
    with pytest.raises(store.ConnectionLostError):
        await waiting
    await client.keep_alive(lease)
    assert (await client.get_prefix(b"op/")).revision == server.revision


async def test_a_silent_watch_ends_after_its_wait_and_so_do_open_connections(
    server, client, monkeypatch
):
    """Guards against a read on a silent connection after a watch that has ended."""
    monkeypatch.setattr(platform_store, "WATCH_GRACE_SECONDS", SHORT_SECONDS)
    _, waiting = await start_watch(client, wait_seconds=SHORT_SECONDS)
    server.silence_connections()
    with pytest.raises(store.ConnectionLostError):
        await waiting
    assert (await client.get_prefix(b"op/")).revision == server.revision


async def test_a_watch_that_is_answered_goes_on_with_short_waits(server, client):
    _, waiting = await start_watch(client, wait_seconds=SHORT_SECONDS)
    await asyncio.sleep(3 * SHORT_SECONDS)
    server.put("op/config", b"new")
    assert (await waiting).value == b"new"


async def test_an_outage_does_not_count_as_a_silent_connection(
    server, client, monkeypatch
):
    """Guards against watches that end again and again while the store is down."""
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_SECONDS", SHORT_SECONDS)
    _, waiting = await start_watch(client)
    client.close()
    server.fault = "silent"
    with pytest.raises(exceptions.StoreUnavailableError) as caught:
        await client.get_prefix(b"op/")
    assert not isinstance(caught.value, store.ConnectionLostError)
    assert not waiting.done()
    server.fault = None
    server.put("op/config", b"new")
    assert (await waiting).value == b"new"


async def test_a_call_that_is_under_way_is_not_cut_short(server, client, monkeypatch):
    monkeypatch.setattr(platform_store, "WATCH_GRACE_SECONDS", SHORT_SECONDS)
    _, waiting = await start_watch(client, wait_seconds=SHORT_SECONDS)
    server.silence_connections("/api/kv-watch")
    reading = []

    async def read_on():
        while not waiting.done():
            reading.append(await client.get_prefix(b"op/"))

    with pytest.raises(store.ConnectionLostError):
        await asyncio.gather(waiting, read_on())
    assert len(reading) > 1
