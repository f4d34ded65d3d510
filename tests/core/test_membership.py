"""Tests of the membership protocol."""

from __future__ import annotations

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from cactushall_core import exceptions, identifiers
from cactushall_core.membership import broadcasts, messages, records, state, table
from tests.core import builders, network

ALIVE = records.Status.ALIVE
DEAD = records.Status.DEAD
LEFT = records.Status.LEFT


def make_network(count=12, **kwargs):
    made = network.Network(count, **kwargs)
    made.introduce_all()
    return made


def test_healthy_members_stay_alive():
    made = make_network()
    made.run(20)
    for number in range(12):
        assert set(made.statuses(number)) == {ALIVE}


def test_joining_member_becomes_known_to_all():
    made = make_network()
    made.join(made.add(50), made.node(0))
    made.run(4)
    assert set(made.statuses(50)) == {ALIVE}
    assert len(made.node(50).table) == 13


def test_dead_member_is_declared_dead():
    made = make_network()
    made.cut.add(made.node(3).member.gossip_address)
    made.run(12)
    others = [s for n, s in zip(range(12), made.statuses(3), strict=False) if n != 3]
    assert set(others) == {DEAD}


def test_member_behind_one_bad_path_is_kept():
    made = make_network()
    bad = (made.node(1).member.gossip_address, made.node(2).member.gossip_address)
    original = made.carry_out

    def carry_out(node, actions):
        original(node, actions)
        made.in_flight = [
            sent for sent in made.in_flight if {sent[0], sent[1]} != set(bad)
        ]

    made.carry_out = carry_out
    made.run(30)
    assert DEAD not in made.statuses(1) + made.statuses(2)


def test_thawed_member_refutes_its_death():
    made = make_network()
    address = made.node(3).member.gossip_address
    made.cut.add(address)
    made.run(12)
    made.cut.discard(address)
    made.run(40)
    assert set(made.statuses(3)) == {ALIVE}
    assert made.node(3).table.present_count == 12


def test_leaving_member_is_known_as_left_at_once():
    made = make_network()
    node = made.node(4)
    made.carry_out(node, node.leave(made.now))
    made.run(3)
    assert set(made.statuses(4)) == {LEFT}


def test_replacement_at_the_same_address_buries_the_old_member():
    made = make_network()
    old = made.node(5).member
    newer = msgspec.structs.replace(old, id=identifiers.MemberId(10_000))
    node = state.Membership(newer, builders.RING, made.timing, made.rng, made.now)
    made.nodes[old.gossip_address] = node
    made.join(node, made.node(0))
    made.run(6)
    for other in made.nodes.values():
        assert other.table.get(old.id).status is DEAD
        assert other.table.get(newer.id).status is ALIVE


def test_halves_that_were_cut_off_meet_again():
    made = make_network(8)
    left = {made.node(n).member.gossip_address for n in range(4)}
    original = made.carry_out

    def carry_out(node, actions):
        original(node, actions)
        made.in_flight = [
            sent for sent in made.in_flight if (sent[0] in left) == (sent[1] in left)
        ]

    made.carry_out = carry_out
    made.run(30)
    assert DEAD in made.statuses(7)
    made.carry_out = original
    made.run(60)
    for number in range(8):
        assert set(made.statuses(number)) == {ALIVE}


def test_lost_news_are_repaired_by_anti_entropy():
    made = make_network(6)
    record = builders.make_agent(40)
    made.carry_out(made.node(0), made.node(0).merge((record,), made.now))
    made.add(40)
    made.run(60)
    assert set(made.statuses(40)) == {ALIVE}


def test_newer_revision_is_fetched_from_whoever_has_it():
    made = make_network(6)
    made.node(0).set_revision(identifiers.Revision(7))
    made.run(2)
    fetchers = {id(node) for node, _ in made.fetches}
    assert len(fetchers) == 5
    assert {fetch.revision for _, fetch in made.fetches} == {7}


def test_bytes_stay_within_the_budget_during_churn():
    made = make_network(30)
    before = {a: n.sent_bytes for a, n in made.nodes.items()}
    for number in range(100, 120):
        made.join(made.add(number), made.node(0))
        made.run(1)
    budget = made.timing.bytes_per_second * 20 + made.timing.burst_bytes
    for address, sent in before.items():
        assert made.nodes[address].sent_bytes - sent < budget


def test_forged_and_garbled_datagrams_change_nothing():
    made = make_network(3)
    node = made.node(0)
    sender = made.node(1).member.gossip_address
    verdict = records.Verdict(made.node(2).member.id, 9, DEAD)
    packet = messages.Packet(
        made.node(1).member.id,
        identifiers.Revision(0),
        messages.Gossip(),
        (verdict,),
    )
    forged = messages.encode(messages.make_authenticator(builders.OTHER_RING), packet)
    with pytest.raises(exceptions.AuthenticationError):
        node.receive(sender, forged, made.now)
    assert node.table.get(verdict.id).status is ALIVE


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_are_refused(data):
    authenticator = messages.make_authenticator(builders.RING)
    with pytest.raises(exceptions.DecodeError):
        messages.decode(authenticator, data)


@hypothesis.given(strategies.binary(max_size=200))
def test_authentic_garbage_is_refused(body):
    authenticator = messages.make_authenticator(builders.RING)
    head = bytes([messages.VERSION << 4 | authenticator.signing_key_id])
    with pytest.raises(exceptions.DecodeError):
        messages.decode(authenticator, head + authenticator.sign(body) + body)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5),
            strategies.integers(0, 3),
            strategies.sampled_from(records.Status),
        ),
        max_size=30,
    )
)
def test_tables_with_the_same_news_have_the_same_digest(news):
    def fill(ordered):
        filled = table.Table()
        for number, incarnation, status in ordered:
            made = builders.make_agent(number, incarnation=incarnation, status=status)
            known = filled.get(made.member.id)
            if known is None or records.supersedes(
                incarnation, status, known.incarnation, known.status
            ):
                filled.put(made, 0.0)
        return filled

    forwards, backwards = fill(news), fill(reversed(news))
    assert forwards.digest() == backwards.digest()
    assert forwards.present_count == sum(r.is_present for r in forwards)


def test_dead_members_are_forgotten_in_the_end():
    made = table.Table()
    made.put(builders.make_agent(1, status=DEAD), 0.0)
    made.expire(table.DEAD_RETENTION_SECONDS + 1)
    assert len(made) == 0
    assert made.digest() == table.Table().digest()


def test_news_are_dropped_after_their_last_transmission():
    queue = broadcasts.BroadcastQueue()
    verdict = records.Verdict(identifiers.MemberId(1), 0, DEAD)
    queue.add(verdict.id, verdict)
    assert [queue.take(1000, 2) for _ in range(3)] == [(verdict,), (verdict,), ()]


def test_status_change_of_unspread_record_keeps_the_record():
    queue = broadcasts.BroadcastQueue()
    made = builders.make_agent(1)
    queue.add(made.member.id, made)
    queue.add(made.member.id, records.Verdict(made.member.id, 0, DEAD))
    (delta,) = queue.take(1000, 2)
    assert delta == records.Record(made.member, 0, DEAD)


def test_one_join_exchanges_all_that_both_know():
    made = make_network()
    joining = made.add(50)
    made.carry_out(joining, joining.join([made.node(0).member.gossip_address]))
    made.step()
    made.step()
    assert len(joining.table) == 13
    assert made.node(0).table.get(joining.member.id) is not None


def test_a_join_reaches_whoever_has_started_of_several_contacts():
    made = make_network()
    made.cut.add(made.node(0).member.gossip_address)
    joining = made.add(50)
    contacts = [made.node(n).member.gossip_address for n in (0, 1)]
    made.carry_out(joining, joining.join(contacts))
    made.step()
    made.step()
    assert len(joining.table) == 13


def test_a_member_that_hears_of_one_other_asks_for_all():
    made = make_network()
    joining = made.add(50)
    heard = made.node(3)
    made.carry_out(heard, heard.tell([joining.member.gossip_address]))
    made.run(0.5)
    assert len(joining.table) == 13


def test_a_member_asks_others_where_the_one_it_heard_of_has_gone():
    made = make_network()
    joining = made.add(50)
    for number in (3, 4):
        heard = made.node(number)
        made.carry_out(heard, heard.tell([joining.member.gossip_address]))
    made.step()
    made.cut.add(made.node(3).member.gossip_address)
    made.run(2.0)
    assert len(joining.table) == 13


def test_a_member_that_knows_all_asks_nobody():
    made = make_network()
    node = made.node(3)
    sent = []
    made.carry_out = lambda _, actions: sent.extend(actions)
    for _ in range(60):
        made.step()
    bodies = [
        messages.decode(messages.make_authenticator(builders.RING), a.datagram).body
        for a in sent
        if isinstance(a, state.Send)
    ]
    assert bodies
    assert not any(isinstance(body, messages.Join) for body in bodies)
    assert node.table.present_count == 12


def test_a_member_does_not_join_by_itself():
    node = make_network().node(0)
    assert node.join([node.member.gossip_address]) == []


def test_what_a_member_tells_directly_is_known_after_one_datagram():
    made = make_network()
    node = made.node(3)
    changed = msgspec.structs.replace(node.member, endpoints=())
    node.update(changed, made.now)
    told = [made.node(n).member.gossip_address for n in range(12) if n != 3]
    made.carry_out(node, node.tell(told))
    made.step()
    for number in range(12):
        record = made.node(number).table.get(node.member.id)
        assert record.member.endpoints == ()
