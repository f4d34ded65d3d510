"""Tests of how members exchange tables and know whether theirs is complete."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from cactushall_core import exceptions
from cactushall_core.membership import (
    messages,
    records,
    table,
    table_exchange,
    timing,
    transmitter,
)
from tests.core import builders, network

ISOLATION_SECONDS = (
    table_exchange.ISOLATION_PROBE_INTERVALS * timing.Timing().probe_interval
)
RECOVERY_SECONDS = 2.0
MERGE_SECONDS = 60.0


def make_network(count=12, **kwargs):
    fleet = network.Network(count, **kwargs)
    fleet.introduce_all()
    return fleet


def request_of(node):
    return messages.TableRequest(node.table.get(node.member.id), node.table.digest())


def reply_of(node, request, now=0.0):
    reply, _ = node.handle_table_request(request, now)
    return reply


def numbers_in(reply):
    return {record.member.id - 1 for record in reply.records}


def known_to(node):
    return {record.member.id - 1 for record in node.table}


# What an answer contains.


def test_new_member_is_sent_the_whole_table():
    fleet = make_network(100)
    joining = fleet.add(200)
    assert numbers_in(reply_of(fleet.node(0), request_of(joining))) == set(range(100))


def test_member_with_the_same_table_is_sent_nothing():
    fleet = make_network(100)
    reply = reply_of(fleet.node(0), request_of(fleet.node(1)))
    assert reply == messages.TableReply(True, True, ())


def test_only_records_of_differing_buckets_are_sent():
    fleet = make_network(100)
    added = builders.make_agent(205)
    fleet.node(0).merge((added,), fleet.now)
    reply = reply_of(fleet.node(0), request_of(fleet.node(1)))
    same_bucket = {n for n in range(100) if (n - 205) % table.BUCKETS == 0}
    assert numbers_in(reply) == same_bucket | {205}


def test_differing_status_is_sent():
    fleet = make_network(100)
    dead = builders.make_agent(7, status=records.Status.DEAD)
    fleet.node(0).merge((dead,), fleet.now)
    assert dead in reply_of(fleet.node(0), request_of(fleet.node(1))).records


def test_answer_holds_all_records_whatever_the_byte_budget():
    fleet = make_network(500)
    node = fleet.node(0)
    budget = node._transmitter._byte_budget
    budget.spend(budget.tokens - 2 * transmitter.MIN_BUDGET_BYTES)
    reply = reply_of(node, request_of(fleet.add(600)))
    assert numbers_in(reply) == set(range(500))


def test_asked_member_learns_of_the_one_that_asks():
    fleet = make_network()
    joining = fleet.add(50)
    fleet.node(0).handle_table_request(request_of(joining), fleet.now)
    assert 50 in known_to(fleet.node(0))


# What an answer says of the one that gives it.


def test_first_question_does_not_count_as_having_heard_of_the_sender():
    fleet = make_network()
    joining = fleet.add(50)
    assert not reply_of(fleet.node(0), request_of(joining)).knew_sender
    assert reply_of(fleet.node(0), request_of(joining)).knew_sender


@pytest.mark.parametrize("status", [records.Status.DEAD, records.Status.LEFT])
def test_member_believed_gone_is_not_known(status):
    fleet = make_network()
    gone = builders.make_agent(3, status=status)
    fleet.node(0).merge((gone,), fleet.now)
    assert not reply_of(fleet.node(0), request_of(fleet.node(3))).knew_sender


def test_started_member_says_that_it_is_incomplete():
    fleet = make_network()
    started = fleet.add(50)
    assert not reply_of(started, request_of(fleet.node(0))).is_complete


def test_started_member_that_knows_all_members_still_says_that_it_is_incomplete():
    fleet = make_network()
    started = fleet.add(50)
    started.merge(fleet.node(0).snapshot(), fleet.now)
    assert not reply_of(started, request_of(fleet.node(0))).is_complete


def test_paused_member_says_that_it_is_incomplete():
    fleet = make_network()
    fleet.node(0).handle_pause(fleet.now)
    assert not reply_of(fleet.node(0), request_of(fleet.node(1))).is_complete


def test_member_with_a_message_of_an_unknown_one_says_that_it_is_incomplete():
    fleet = make_network()
    unknown = builders.make_agent(70).member.control_address
    fleet.node(0).handle_unknown_sender(unknown, fleet.now)
    assert not reply_of(fleet.node(0), request_of(fleet.node(1))).is_complete


def test_isolated_member_says_that_it_is_incomplete():
    fleet = make_network()
    node = fleet.node(0)
    fleet.isolated.add(node.member.gossip_address)
    fleet.run(ISOLATION_SECONDS + RECOVERY_SECONDS)
    assert not reply_of(node, request_of(fleet.node(1)), fleet.now).is_complete


# When a member is complete.


@pytest.mark.parametrize("seed", range(5))
def test_joining_member_becomes_complete_after_others_know_it(seed):
    fleet = make_network(seed=seed)
    joining = fleet.add(50)
    joining.set_contacts([fleet.node(0).member.control_address])
    while not joining.is_complete and fleet.now < 10.0:
        fleet.step()
    assert known_to(joining) == {*range(12), 50}
    assert fleet.statuses(50).count(records.Status.ALIVE) >= 2


def test_all_members_of_a_fleet_that_starts_become_complete():
    fleet = network.Network(12)
    contact = fleet.node(0).member.control_address
    for node in fleet.nodes.values():
        node.set_contacts([contact])
    fleet.run(5.0)
    assert all(node.is_complete for node in fleet.nodes.values())
    assert all(len(node.table) == 12 for node in fleet.nodes.values())


@pytest.mark.parametrize("count", [6, 64])
def test_fleet_that_starts_becomes_complete_although_the_last_old_member_dies(count):
    fleet = make_network(2)
    old = fleet.node(0)
    del fleet.nodes[fleet.node(1).member.gossip_address]
    started = [fleet.add(number) for number in range(10, 10 + count)]
    contacts = [old.member.control_address, started[0].member.control_address]
    for node in started:
        node.set_contacts(contacts)
    while started[-1].member.id - 1 not in known_to(old):
        fleet.step()
    del fleet.nodes[old.member.gossip_address]
    assert not any(node.is_complete for node in started)
    fleet.run(30.0)
    incomplete = [node for node in started if not node.is_complete]
    assert not incomplete, f"{len(incomplete)} of {count} never complete"


def test_healthy_members_stay_complete():
    fleet = make_network()
    for _ in range(200):
        fleet.step()
        assert all(node.is_complete for node in fleet.nodes.values())


def test_member_without_a_message_for_some_probe_intervals_is_incomplete():
    fleet = make_network()
    node = fleet.node(3)
    fleet.isolated.add(node.member.gossip_address)
    fleet.run(ISOLATION_SECONDS - 2 * fleet.timing.probe_timeout)
    assert node.is_complete
    fleet.run(1.0)
    assert not node.is_complete
    fleet.run(20.0)
    assert not node.is_complete


def test_isolated_member_is_complete_again_after_it_hears_of_what_it_missed():
    fleet = make_network()
    node = fleet.node(3)
    address = node.member.gossip_address
    fleet.isolated.add(address)
    fleet.run(ISOLATION_SECONDS + RECOVERY_SECONDS)
    fleet.join(fleet.add(50), fleet.node(0))
    fleet.run(RECOVERY_SECONDS)
    assert 50 not in known_to(node)
    fleet.isolated.discard(address)
    while not node.is_complete and fleet.now < 60.0:
        fleet.step()
    assert node.is_complete
    assert 50 in known_to(node)


def test_only_member_of_a_fleet_does_not_count_as_isolated():
    fleet = make_network(2)
    node = fleet.node(0)
    other = fleet.node(1)
    fleet.execute(other, other.leave(fleet.now))
    fleet.step()
    del fleet.nodes[other.member.gossip_address]
    fleet.run(3 * ISOLATION_SECONDS)
    assert node.is_complete


# Merge of two fleets.


def make_two_fleets(count=6):
    """Return a network with two fleets that know nothing of each other."""
    fleet = network.Network(2 * count)
    for numbers in (range(count), range(count, 2 * count)):
        members = [builders.make_agent(number) for number in numbers]
        for number in numbers:
            fleet.node(number).merge(members, fleet.now)
            reply = messages.TableReply(True, True, ())
            source = fleet.node(numbers[0 if number != numbers[0] else 1]).member
            fleet.node(number).handle_table_reply(
                source.control_address, reply, fleet.now
            )
    return fleet


def test_two_fleets_do_not_mix_by_themselves():
    fleet = make_two_fleets()
    fleet.run(20.0)
    assert known_to(fleet.node(0)) == set(range(6))
    assert known_to(fleet.node(6)) == set(range(6, 12))


def test_merge_exchanges_the_tables_of_both_members():
    fleet = make_two_fleets()
    node = fleet.node(0)
    merge = node.request_merge(fleet.node(6).member.control_address)
    fleet.execute(node, merge)
    fleet.run(4 * fleet.step_seconds)
    assert set(range(12)) <= known_to(fleet.node(0))
    assert set(range(12)) <= known_to(fleet.node(6))


def test_merged_fleets_know_each_other():
    fleet = make_two_fleets()
    node = fleet.node(0)
    fleet.execute(node, node.request_merge(fleet.node(6).member.control_address))
    fleet.run(MERGE_SECONDS)
    for other in fleet.nodes.values():
        assert known_to(other) == set(range(12))
        assert other.is_complete


def test_merge_with_a_fleet_that_cannot_be_reached_changes_nothing():
    fleet = make_two_fleets()
    node = fleet.node(0)
    merge = node.request_merge(builders.make_agent(99).member.control_address)
    fleet.execute(node, merge)
    fleet.run(2.0)
    assert known_to(node) == set(range(6))
    assert node.is_complete


# Forged and garbled requests and answers.


AUTHENTICATOR = messages.make_exchange_authenticator(builders.RING)
DECODERS = [messages.decode_table_request, messages.decode_table_reply]
RECORD = builders.make_agent(1)
REQUEST = messages.TableRequest(RECORD, bytes(4 * table.BUCKETS), (RECORD,))
REPLY = messages.TableReply(True, True, (RECORD,))
EXCHANGES = [
    (messages.decode_table_request, REQUEST),
    (messages.decode_table_reply, REPLY),
]


@pytest.mark.parametrize(("decode", "message"), EXCHANGES)
def test_request_and_answer_survive_encoding(decode, message):
    assert decode(AUTHENTICATOR, messages.encode_exchange(AUTHENTICATOR, message)) == (
        message
    )


@pytest.mark.parametrize(("decode", "message"), EXCHANGES)
def test_exchange_signed_with_another_key_is_refused(decode, message):
    other = messages.make_exchange_authenticator(builders.OTHER_RING)
    forged = messages.encode_exchange(other, message)
    with pytest.raises(exceptions.AuthenticationError):
        decode(AUTHENTICATOR, forged)


@pytest.mark.parametrize(("decode", "message"), EXCHANGES)
def test_exchange_signed_as_a_datagram_is_refused(decode, message):
    datagrams = messages.make_authenticator(builders.RING)
    with pytest.raises(exceptions.AuthenticationError):
        decode(AUTHENTICATOR, messages.encode_exchange(datagrams, message))


@pytest.mark.parametrize(("decode", "message"), EXCHANGES)
def test_exchange_with_any_changed_bit_is_refused(decode, message):
    encoded = messages.encode_exchange(AUTHENTICATOR, message)
    for index in range(len(encoded)):
        changed = bytearray(encoded)
        changed[index] ^= 1
        with pytest.raises(exceptions.DecodeError):
            decode(AUTHENTICATOR, bytes(changed))


@pytest.mark.parametrize(("decode", "message"), EXCHANGES)
def test_cut_exchange_is_refused(decode, message):
    encoded = messages.encode_exchange(AUTHENTICATOR, message)
    for length in range(len(encoded)):
        with pytest.raises(exceptions.DecodeError):
            decode(AUTHENTICATOR, encoded[:length])


def test_answer_is_no_request_and_request_no_answer():
    with pytest.raises(exceptions.DecodeError):
        messages.decode_table_request(
            AUTHENTICATOR, messages.encode_exchange(AUTHENTICATOR, REPLY)
        )
    with pytest.raises(exceptions.DecodeError):
        messages.decode_table_reply(
            AUTHENTICATOR, messages.encode_exchange(AUTHENTICATOR, REQUEST)
        )


@pytest.mark.parametrize("decode", DECODERS)
@hypothesis.given(data=strategies.binary(max_size=200))
def test_arbitrary_bytes_are_refused(decode, data):
    with pytest.raises(exceptions.DecodeError):
        decode(AUTHENTICATOR, data)


@pytest.mark.parametrize("decode", DECODERS)
@hypothesis.given(body=strategies.binary(max_size=200))
def test_authentic_arbitrary_bytes_are_refused(decode, body):
    head = bytes([messages.VERSION << 4 | AUTHENTICATOR.signing_key_id])
    with pytest.raises(exceptions.DecodeError):
        decode(AUTHENTICATOR, head + AUTHENTICATOR.sign(body) + body)
