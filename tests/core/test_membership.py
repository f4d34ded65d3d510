"""Tests of the membership protocol."""

from __future__ import annotations

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from cactushall_core import exceptions, identifiers
from cactushall_core.membership import (
    broadcasts,
    member_actions,
    messages,
    records,
    state,
    table,
)
from cactushall_daemon.packets import node as packet_node
from tests.core import builders, network

ALIVE = records.Status.ALIVE
DEAD = records.Status.DEAD
LEFT = records.Status.LEFT
# A round of gossip, a request and its answer.
EXCHANGE_SECONDS = 0.4


def make_network(count=12, **kwargs):
    fleet = network.Network(count, **kwargs)
    fleet.introduce_all()
    return fleet


def test_healthy_members_stay_alive():
    fleet = make_network()
    fleet.run(20)
    for number in range(12):
        assert set(fleet.statuses(number)) == {ALIVE}


def test_joining_member_becomes_known_to_all():
    fleet = make_network()
    fleet.join(fleet.add(50), fleet.node(0))
    fleet.run(4)
    assert set(fleet.statuses(50)) == {ALIVE}
    assert len(fleet.node(50).table) == 13


def test_dead_member_is_declared_dead():
    fleet = make_network()
    fleet.cut.add(fleet.node(3).member.gossip_address)
    fleet.run(12)
    others = [s for n, s in zip(range(12), fleet.statuses(3), strict=False) if n != 3]
    assert set(others) == {DEAD}


def test_member_behind_one_bad_path_is_not_declared_dead():
    fleet = make_network()
    bad = (fleet.node(1).member.gossip_address, fleet.node(2).member.gossip_address)
    original = fleet.execute

    def execute(node, actions):
        original(node, actions)
        fleet.in_flight = [
            sent for sent in fleet.in_flight if {sent[0], sent[1]} != set(bad)
        ]

    fleet.execute = execute
    fleet.run(30)
    assert DEAD not in fleet.statuses(1) + fleet.statuses(2)


# In each interval, each of the other 52 members probes a member with a probability of
# 1/52; a member that none of them probes in 10 intervals is one in 22,000.
DETECTION_PROBE_INTERVALS = 10
SPREAD_SECONDS = 1.0


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("seconds_in_round", [1, 13])
def test_death_of_a_newcomer_is_known_as_soon_as_that_of_others(seconds_in_round, seed):
    fleet = make_network(53, seed=seed, intervals=packet_node.TIMING)
    fleet.run(seconds_in_round)
    newcomer = fleet.add(60 + seed)
    fleet.join(newcomer, fleet.node(seed))
    fleet.run(2)
    assert set(fleet.statuses(60 + seed)) == {ALIVE}
    fleet.cut.add(newcomer.member.gossip_address)
    died_at = fleet.now
    while set(fleet.statuses(60 + seed)) != {DEAD}:
        fleet.step()
    probing_seconds = DETECTION_PROBE_INTERVALS * fleet.timing.probe_interval
    suspicion_seconds = fleet.timing.probe_interval + fleet.node(0).suspicion_timeout
    limit = probing_seconds + suspicion_seconds + SPREAD_SECONDS
    assert fleet.now - died_at <= limit


def test_member_that_is_known_alive_again_is_probed_in_the_same_round():
    fleet = make_network(20)
    node, resumed = fleet.node(0), builders.make_agent(5)
    node.merge((msgspec.structs.replace(resumed, status=DEAD),), fleet.now)
    probed = [_next_probed_id(node, fleet.now) for _ in range(10)]
    alive_again = msgspec.structs.replace(resumed, incarnation=1)
    node.merge((alive_again,), fleet.now)
    probed += [_next_probed_id(node, fleet.now) for _ in range(9)]
    assert sorted(probed) == [number + 1 for number in range(1, 20)]


def _next_probed_id(node, now):
    """Let a member start a probe, and return the id of its target."""
    (probe,) = node._failures.start_probe(now)
    authenticator = messages.make_authenticator(builders.RING)
    return messages.decode(authenticator, probe.datagram).body.target


def test_resumed_member_refutes_its_death():
    fleet = make_network()
    address = fleet.node(3).member.gossip_address
    fleet.cut.add(address)
    fleet.run(12)
    fleet.cut.discard(address)
    fleet.run(40)
    assert set(fleet.statuses(3)) == {ALIVE}
    assert fleet.node(3).table.present_count == 12


def test_leaving_member_is_soon_known_as_left():
    fleet = make_network()
    node = fleet.node(4)
    fleet.execute(node, node.leave(fleet.now))
    fleet.run(3)
    assert set(fleet.statuses(4)) == {LEFT}


def test_older_member_at_the_same_address_is_declared_dead():
    fleet = make_network()
    old = fleet.node(5).member
    newer = msgspec.structs.replace(old, id=identifiers.MemberId(10_000))
    node = state.Membership(newer, builders.RING, fleet.timing, fleet.rng, fleet.now)
    fleet.nodes[old.gossip_address] = node
    fleet.join(node, fleet.node(0))
    fleet.run(6)
    for other in fleet.nodes.values():
        assert other.table.get(old.id).status is DEAD
        assert other.table.get(newer.id).status is ALIVE


def test_sides_of_a_healed_partition_reconnect():
    fleet = make_network(8)
    left = {fleet.node(n).member.gossip_address for n in range(4)}
    original = fleet.execute

    def execute(node, actions):
        original(node, actions)
        fleet.in_flight = [
            sent for sent in fleet.in_flight if (sent[0] in left) == (sent[1] in left)
        ]

    fleet.execute = execute
    fleet.run(30)
    assert DEAD in fleet.statuses(7)
    fleet.execute = original
    fleet.run(60)
    for number in range(8):
        assert set(fleet.statuses(number)) == {ALIVE}


def test_lost_updates_are_repaired_by_anti_entropy():
    fleet = make_network(6)
    record = builders.make_agent(40)
    fleet.execute(fleet.node(0), fleet.node(0).merge((record,), fleet.now))
    fleet.add(40)
    fleet.run(60)
    assert set(fleet.statuses(40)) == {ALIVE}


def test_newer_revision_is_fetched_from_a_member_that_has_it():
    fleet = make_network(6)
    fleet.node(0).set_revision(identifiers.Revision(7))
    fleet.run(2)
    fetchers = {id(node) for node, _ in fleet.fetches}
    assert len(fetchers) == 5
    assert {fetch.revision for _, fetch in fleet.fetches} == {7}


def test_member_is_told_of_each_newer_revision_once():
    fleet = make_network(6)
    told = record_actions(fleet, member_actions.NewestRevisionChanged)
    fleet.node(0).set_revision(identifiers.Revision(7))
    fleet.run(2)
    assert len(told) == 5
    assert {action.revision for _, action in told} == {7}


def test_started_member_is_told_of_the_newest_revision_before_it_is_complete():
    fleet = make_network(6)
    for node in fleet.nodes.values():
        node.set_revision(identifiers.Revision(7))
    fleet.run(10)
    started = fleet.add(50)
    kinds = (member_actions.NewestRevisionChanged, member_actions.CompletenessChanged)
    told = record_actions(fleet, *kinds)
    started.set_contacts([fleet.node(0).member.control_address])
    fleet.run(2)
    assert started.is_complete
    own = [action for node, action in told if node is started]
    assert [type(action) for action in own] == list(kinds)


def test_revision_in_a_table_is_fetched_from_its_sender():
    fleet = network.Network(2)
    contact, started = fleet.node(0), fleet.node(1)
    contact.set_revision(identifiers.Revision(7))
    own = started.table.get(started.member.id)
    request = messages.TableRequest(own, started.table.digest())
    reply, _ = contact.handle_table_request(request, fleet.now)
    source = contact.member.control_address
    decided = started.handle_table_reply(source, reply, fleet.now)
    expected = member_actions.FetchConfiguration(
        contact.member, identifiers.Revision(7)
    )
    assert [a for a in decided if isinstance(a, member_actions.FetchConfiguration)] == [
        expected
    ]


def test_reply_of_an_older_version_is_understood():
    older = msgspec.msgpack.encode((True, True, ()))
    reply = msgspec.msgpack.decode(older, type=messages.TableReply)
    assert reply.revision == 0


def record_actions(fleet, *kinds):
    """Return a list that gets all actions of some kinds, with their members."""
    recorded = []
    original = fleet.execute

    def execute(node, actions):
        original(node, actions)
        recorded.extend((node, action) for action in actions if type(action) in kinds)

    fleet.execute = execute
    return recorded


def test_bytes_stay_within_the_budget_during_churn():
    fleet = make_network(30)
    before = {a: n.sent_bytes for a, n in fleet.nodes.items()}
    for number in range(100, 120):
        fleet.join(fleet.add(number), fleet.node(0))
        fleet.run(1)
    budget = fleet.timing.bytes_per_second * 20 + fleet.timing.burst_bytes
    for address, sent in before.items():
        assert fleet.nodes[address].sent_bytes - sent < budget


def test_forged_and_garbled_datagrams_change_nothing():
    fleet = make_network(3)
    node = fleet.node(0)
    sender = fleet.node(1).member.gossip_address
    status_update = records.StatusUpdate(fleet.node(2).member.id, 9, DEAD)
    packet = messages.Packet(
        fleet.node(1).member.id,
        identifiers.Revision(0),
        messages.Gossip(),
        (status_update,),
    )
    forged = messages.encode(messages.make_authenticator(builders.OTHER_RING), packet)
    with pytest.raises(exceptions.AuthenticationError):
        node.handle_datagram(sender, forged, fleet.now)
    assert node.table.get(status_update.id).status is ALIVE


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_are_refused(data):
    authenticator = messages.make_authenticator(builders.RING)
    with pytest.raises(exceptions.DecodeError):
        messages.decode(authenticator, data)


@hypothesis.given(strategies.binary(max_size=200))
def test_authentic_arbitrary_bytes_are_refused(body):
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
def test_tables_with_the_same_records_have_the_same_digest(changes):
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

    in_order, reversed_order = fill(changes), fill(reversed(changes))
    assert in_order.digest() == reversed_order.digest()
    assert in_order.present_count == sum(r.is_present for r in in_order)


def test_dead_members_are_forgotten_after_retention():
    made = table.Table()
    made.put(builders.make_agent(1, status=DEAD), 0.0)
    made.expire(table.DEAD_RETENTION_SECONDS + 1)
    assert len(made) == 0
    assert made.digest() == table.Table().digest()


def test_updates_are_dropped_after_their_last_transmission():
    queue = broadcasts.BroadcastQueue()
    status_update = records.StatusUpdate(identifiers.MemberId(1), 0, DEAD)
    queue.add(status_update.id, status_update)
    assert [queue.take(1000, 2) for _ in range(3)] == [
        (status_update,),
        (status_update,),
        (),
    ]


def test_status_update_keeps_a_queued_record_whole():
    queue = broadcasts.BroadcastQueue()
    made = builders.make_agent(1)
    queue.add(made.member.id, made)
    queue.add(made.member.id, records.StatusUpdate(made.member.id, 0, DEAD))
    (update,) = queue.take(1000, 2)
    assert update == records.Record(made.member, 0, DEAD)


def test_started_member_and_its_contact_exchange_their_records():
    fleet = make_network()
    joining = fleet.add(50)
    joining.set_contacts([fleet.node(0).member.control_address])
    fleet.run(EXCHANGE_SECONDS)
    assert len(joining.table) == 13
    assert fleet.node(0).table.get(joining.member.id) is not None


def test_exchange_succeeds_if_one_of_several_contacts_is_running():
    fleet = make_network()
    fleet.cut.add(fleet.node(0).member.gossip_address)
    joining = fleet.add(50)
    joining.set_contacts([fleet.node(n).member.control_address for n in (0, 1)])
    fleet.run(EXCHANGE_SECONDS)
    assert len(joining.table) == 13


def test_member_that_learns_of_one_other_asks_for_all_records():
    fleet = make_network()
    joining = fleet.add(50)
    contact = fleet.node(3)
    fleet.execute(contact, contact.send_own_record([joining.member.gossip_address]))
    fleet.run(0.5)
    assert len(joining.table) == 13


def test_member_asks_others_if_the_first_known_member_is_cut_off():
    fleet = make_network()
    joining = fleet.add(50)
    for number in (3, 4):
        contact = fleet.node(number)
        fleet.execute(contact, contact.send_own_record([joining.member.gossip_address]))
    fleet.step()
    fleet.cut.add(fleet.node(3).member.gossip_address)
    fleet.run(2.0)
    assert len(joining.table) == 13


@pytest.mark.parametrize("digest", [b"", bytes(4), bytes(4 * 128)])
def test_digest_of_another_length_is_answered_with_the_whole_table(digest):
    fleet = make_network()
    asker = records.Record(builders.make_agent(50).member, 0, ALIVE)
    request = messages.TableRequest(asker, digest)
    expected = set(fleet.node(0).snapshot())
    reply, _ = fleet.node(0).handle_table_request(request, fleet.now)
    assert set(reply.records) == expected


def test_complete_member_requests_no_more_tables():
    fleet = make_network()
    requests = []
    original = fleet.execute

    def execute(node, actions):
        requests.extend(
            a for a in actions if isinstance(a, member_actions.RequestTable)
        )
        original(node, actions)

    fleet.execute = execute
    fleet.run(3.0)
    assert requests == []
    fleet.execute(fleet.node(3), fleet.node(3).handle_pause(fleet.now))
    fleet.run(1.0)
    assert requests
    assert all(node.is_complete for node in fleet.nodes.values())


def test_member_requests_no_table_of_itself():
    node = network.Network(1).node(0)
    node.set_contacts([node.member.control_address])
    actions = [action for tick in range(20) for action in node.tick(tick * 0.1)]
    assert not any(
        isinstance(action, member_actions.RequestTable) for action in actions
    )


def test_record_sent_directly_is_known_after_one_datagram():
    fleet = make_network()
    node = fleet.node(3)
    changed = msgspec.structs.replace(node.member, endpoints=())
    node.update(changed, fleet.now)
    addresses = [fleet.node(n).member.gossip_address for n in range(12) if n != 3]
    fleet.execute(node, node.send_own_record(addresses))
    fleet.step()
    for number in range(12):
        record = fleet.node(number).table.get(node.member.id)
        assert record.member.endpoints == ()
