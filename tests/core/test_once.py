"""Tests of at-most-once execution."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from cactushall_core import identifiers
from cactushall_core.once import epoch, key_registry, messages
from tests.core import once_model, once_mutants

KEY = messages.digest(b"order-1")
STEPS = 400

# Seeds with which the random model found a double run, in an earlier version of the
# key registry or in one of the mutants.
REGRESSION_SEEDS = (347, 1226, 2092, 2399, 2489, 2884)

# The same for members that leave and hand over their keys: seed and size.
LEAVING_REGRESSION_SEEDS = ((9, 5), (38, 5), (297, 5), (319, 3), (355, 3), (395, 5))
LEAVING_STEPS = 3000


def settle(service, rounds=12):
    """Deliver all messages, and let enough time pass for timeouts."""
    for _ in range(rounds):
        while service.in_flight:
            service.deliver(0)
        service.tick(0.1)
        service.heartbeat()


def node_at(service, slot):
    return next(node for node in service.nodes.values() if node.slot == slot)


def run_once(service, slot, key=KEY):
    """Submit a key to a member and start it if it is granted."""
    node = node_at(service, slot)
    service.submit(node, key)
    settle(service)
    service.start(node)


def decision_kinds(service, slot):
    member = node_at(service, slot).member
    return [d.kind for m, d in service.decisions if m == member]


def test_key_runs_on_the_member_it_is_first_submitted_to():
    service = once_model.Service(3)
    run_once(service, 0)
    assert service.runs_total == 1


def test_later_submission_elsewhere_is_fetched_from_the_runner():
    service = once_model.Service(3)
    run_once(service, 0)
    for slot in (1, 2):
        run_once(service, slot)
        assert decision_kinds(service, slot) == [key_registry.DecisionKind.FETCH]
    assert service.runs_total == 1


def test_later_submission_to_the_runner_is_handled_there():
    service = once_model.Service(3)
    run_once(service, 0)
    run_once(service, 0)
    assert decision_kinds(service, 0) == [key_registry.DecisionKind.LOCAL]


def test_released_key_runs_elsewhere():
    service = once_model.Service(3)
    node = node_at(service, 0)
    service.submit(node, KEY)
    settle(service)
    node.registry.release(KEY)
    run_once(service, 1)
    service.fetch()
    settle(service)
    service.start(node_at(service, 1))
    assert service.runs_total == 1
    run_once(service, 0)
    assert service.runs_total == 1


def test_started_key_is_not_transferred():
    service = once_model.Service(3)
    run_once(service, 0)
    other = node_at(service, 1).member
    assert not node_at(service, 0).registry.transfer(KEY, other, service.now)


def test_key_of_a_dead_runner_is_not_run_again():
    service = once_model.Service(5)
    run_once(service, 0)
    service.kill(node_at(service, 0))
    for slot in (1, 2, 3, 4):
        run_once(service, slot)
        service.fetch()
    assert service.runs_total == 1


def test_new_key_runs_with_one_member_dead():
    service = once_model.Service(5)
    service.kill(node_at(service, 0))
    keys = [messages.digest(b"key-%d" % n) for n in range(20)]
    for key in keys:
        run_once(service, 1, key)
    assert service.runs_total == len(keys)


def test_new_key_is_unknown_if_two_members_do_not_answer():
    service = once_model.Service(5)
    for slot in (3, 4):
        service.kill(node_at(service, slot))
    coordinators = {3, 4}
    for number in range(20):
        key = messages.digest(b"key-%d" % number)
        coordinator = node_at(service, 0).registry._rank_members(key)[0]
        run_once(service, 0, key)
        if coordinator - 1 in coordinators:
            assert decision_kinds(service, 0)[-1] is key_registry.DecisionKind.UNKNOWN


def test_partitioned_minority_starts_nothing_after_half_a_lifetime():
    service = once_model.Service(5)
    for one in (0, 1):
        for other in (2, 3, 4):
            service.cut_links.add(frozenset((one, other)))
    for _ in range(int(once_model.LIFETIME)):
        service.tick(1.0)
        service.heartbeat()
    keys = [messages.digest(b"key-%d" % n) for n in range(20)]
    coordinators = [node_at(service, 0).registry._rank_members(key)[0] for key in keys]
    key = next(k for k, r in zip(keys, coordinators, strict=True) if r - 1 >= 2)
    run_once(service, 0, key)
    assert decision_kinds(service, 0) == [key_registry.DecisionKind.NOT_RUN]
    run_once(service, 2, key)
    assert service.runs_total == 1


def test_granted_key_does_not_start_after_a_long_pause():
    service = once_model.Service(3)
    node = node_at(service, 0)
    service.submit(node, KEY)
    settle(service)
    service.now += once_model.LIFETIME * 0.6
    service.start(node)
    assert service.runs_total == 0


def test_heartbeats_received_during_a_pause_count_as_old():
    service = once_model.Service(3)
    node = node_at(service, 0)
    sent_at = service.now
    number = node.registry.current_epoch.number
    service.now += once_model.LIFETIME
    for member in service.nodes:
        node.registry.record_heartbeat(member, number, sent_at)
    assert not node.registry.has_quorum(service.now)
    mutant = once_model.Service(3, once_mutants.WithoutSendTimes)
    node = node_at(mutant, 0)
    mutant.now += once_model.LIFETIME
    for member in mutant.nodes:
        node.registry.record_heartbeat(member, number, sent_at)
    assert node.registry.has_quorum(mutant.now)


@pytest.mark.parametrize(
    ("make_registry", "runs"),
    [(key_registry.KeyRegistry, 1), (once_mutants.WithoutSoleMemberCheck, 2)],
)
def test_keys_of_a_sole_member_are_not_forgotten(make_registry, runs):
    service = once_model.Service(1, make_registry)
    lone = node_at(service, 0)
    run_once(service, 0)
    joining = service.start_member(1)
    service.stored = service.with_member(
        joining.member, has_run_alone=lone.registry.has_run_alone(service.now)
    )
    for node in service.nodes.values():
        service.read_store(node)
    service.heartbeat()
    service.stored = epoch.without_members(
        service.stored, {lone.member}, set(), service.now, once_model.LIFETIME
    )
    service.kill(lone)
    service.read_store(joining)
    service.runs.clear()
    run_once(service, 1)
    assert service.runs_total == runs


def test_keys_survive_a_graceful_leave():
    service = once_model.Service(3)
    run_once(service, 0)
    leaving = node_at(service, 0)
    keys = leaving.registry.export(service.now)
    for slot in (1, 2):
        node_at(service, slot).registry.take_over(leaving.member, keys, service.now)
    service.stored = epoch.without_members(
        service.stored,
        {leaving.member},
        {leaving.member},
        service.now,
        once_model.LIFETIME,
    )
    service.kill(leaving)
    for node in service.nodes.values():
        service.read_store(node)
    service.heartbeat()
    for slot in (1, 2):
        run_once(service, slot)
    assert service.runs_total == 1


def test_keys_are_forgotten_after_their_lifetime():
    service = once_model.Service(3)
    run_once(service, 0)
    service.now += once_model.LIFETIME + 1
    service.tick(0.0)
    assert {node.registry.key_count for node in service.nodes.values()} == {0}
    service.heartbeat()
    service.runs.clear()
    run_once(service, 1)
    assert service.runs_total == 2


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_no_double_run_with_regression_seeds(seed):
    once_model.run(seed, STEPS, 2 + seed % 6)


@pytest.mark.parametrize(("seed", "size"), LEAVING_REGRESSION_SEEDS)
def test_no_double_run_when_members_leave(seed, size):
    once_model.run(seed, LEAVING_STEPS, size)


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(strategies.integers(0, 1 << 32), strategies.integers(3, 7))
def test_no_double_run_under_random_faults(seed, size):
    once_model.run(seed, STEPS, size)


@pytest.mark.parametrize(
    ("make_registry", "seeds"),
    [
        (once_mutants.WithoutInquiry, 400),
        (once_mutants.WithoutMajority, 400),
        (once_mutants.WithoutReservation, 400),
    ],
)
def test_random_faults_detect_mutants(make_registry, seeds):
    with pytest.raises(once_model.DoubleRunError):
        for seed in range(seeds):
            once_model.run(seed, STEPS, 2 + seed % 6, make_registry)


def test_backup_is_needed():
    service = once_model.Service(3, once_mutants.WithoutBackup)
    coordinator = node_at(service, 0).registry._rank_members(KEY)[0]
    slot = coordinator - 1
    run_once(service, slot)
    service.kill(node_at(service, slot))
    service.runs.clear()
    run_once(service, (slot + 1) % 3)
    assert service.runs_total == 2
    service = once_model.Service(3)
    run_once(service, slot)
    service.kill(node_at(service, slot))
    run_once(service, (slot + 1) % 3)
    assert service.runs_total == 1


def test_epoch_survives_encoding_and_decoding():
    made = epoch.with_member(
        epoch.Epoch(), identifiers.MemberId(7), 5.0, has_run_alone=False
    )
    assert epoch.decode(epoch.encode(made)) == made


def test_submission_during_a_change_of_the_epoch_is_retried():
    service = once_model.Service(3)
    node = node_at(service, 0)
    keys = [messages.digest(b"key-%d" % n) for n in range(20)]
    key = next(k for k in keys if node.registry._rank_members(k)[0] != node.member)
    coordinator = service.nodes[node.registry._rank_members(key)[0]]
    joining = service.start_member(3)
    service.stored = service.with_member(joining.member, has_run_alone=False)
    service.read_store(coordinator)
    service.submit(node, key)
    while service.in_flight:
        service.deliver(0)
    assert decision_kinds(service, 0) == [key_registry.DecisionKind.RETRY]
    service.read_store(node)
    run_once(service, 0, key)
    assert service.runs_total == 1


def test_answers_of_dead_members_are_not_awaited():
    service = once_model.Service(5)
    dead = node_at(service, 4)
    service.kill(dead)
    for node in service.nodes.values():
        node.registry.set_reachable(set(service.nodes))
    node = node_at(service, 0)
    service.submit(node, KEY)
    while service.in_flight:
        service.deliver(0)
    assert node.ready == [KEY]


def service_after_epoch_change(size=3):
    """Return a service whose epoch changed less than a key lifetime ago."""
    service = once_model.Service(size)
    joining = service.start_member(size)
    service.stored = service.with_member(joining.member, has_run_alone=False)
    for node in service.nodes.values():
        service.read_store(node)
    service.heartbeat()
    return service


def test_key_released_by_its_coordinator_runs_elsewhere():
    service = service_after_epoch_change()
    coordinator = service.nodes[node_at(service, 0).registry._rank_members(KEY)[0]]
    service.submit(coordinator, KEY)
    settle(service)
    coordinator.registry.release(KEY)
    other = next(node for node in service.nodes.values() if node is not coordinator)
    del other.registry._entries[KEY]
    service.submit(other, KEY)
    settle(service)
    assert other.ready == [KEY]
    service.start(other)
    coordinator.ready.clear()
    service.submit(coordinator, KEY)
    settle(service)
    assert coordinator.ready == []
    assert service.runs_total == 1


def test_released_key_of_a_member_that_left_runs_elsewhere():
    service = once_model.Service(3)
    leaving = node_at(service, 0)
    service.submit(leaving, KEY)
    settle(service)
    leaving.registry.release(KEY)
    released = leaving.registry.export_released(service.now)
    assert released == [KEY]
    for slot in (1, 2):
        node_at(service, slot).registry.forget_released(released, leaving.member)
    service.kill(leaving)
    run_once(service, 1)
    assert service.runs_total == 1


def test_key_released_by_a_coordinator_that_leaves_runs_elsewhere():
    """Guards against a caller who never learns that its request has not run."""
    service = service_after_epoch_change()
    leaving, runner = node_at(service, 3), node_at(service, 0)
    key = key_of_coordinator(service, 0, 3)
    service.submit(leaving, key)
    settle(service)
    assert leaving.ready == [key]
    leaving.registry.release(key)
    leaving.ready.clear()
    service.submit(runner, key)
    settle(service)
    assert decision_kinds(service, 0) == [key_registry.DecisionKind.FETCH]
    assert leaving.registry.transfer(key, runner.member, service.now)
    service.leave(leaving)
    again = runner.registry.submit(key, service.now, leaving.member)
    service.execute(runner, again)
    settle(service)
    assert runner.ready == [key]


def test_member_that_handed_over_its_keys_need_not_answer():
    service = service_after_epoch_change(4)
    leaving, dead = node_at(service, 3), node_at(service, 2)
    for slot in (0, 1, 4):
        node_at(service, slot).registry.take_over(leaving.member, [], service.now)
    service.kill(leaving)
    service.kill(dead)
    run_once(service, 0, key_of_coordinator(service, 0, 1))
    assert service.runs_total == 1


def test_member_that_left_does_not_count_towards_the_majority():
    """Two runners could each count its answer, which covers neither's claim."""
    service = service_after_epoch_change()
    leaving, dead = node_at(service, 3), node_at(service, 2)
    for slot in (0, 1):
        node_at(service, slot).registry.take_over(leaving.member, [], service.now)
    service.kill(leaving)
    service.kill(dead)
    run_once(service, 0, key_of_coordinator(service, 0, 1))
    assert service.runs_total == 0


def test_leaving_member_grants_nothing_after_its_export():
    service = once_model.Service(3)
    coordinator = service.nodes[node_at(service, 0).registry._rank_members(KEY)[0]]
    runner = next(n for n in service.nodes.values() if n is not coordinator)
    service.leave(coordinator)
    service.submit(runner, KEY)
    while service.in_flight:
        service.deliver(0)
    assert runner.ready == []
    assert coordinator.registry.key_count == 0


@pytest.mark.parametrize("is_recent", [False, True])
@pytest.mark.parametrize("delivered", range(4))
def test_claim_that_is_under_way_when_its_member_leaves_is_free(is_recent, delivered):
    """Guards against a key whose caller never learns that it has not run."""
    service = service_after_epoch_change() if is_recent else once_model.Service(4)
    leaving = node_at(service, 3)
    key = key_of_coordinator(service, 3, 0)
    service.submit(leaving, key)
    for _ in range(min(delivered, len(service.in_flight))):
        service.deliver(0)
    service.leave(leaving)
    for slot in (0, 1, 2):
        service.receive(node_at(service, slot), leaving.member, leaving.handover)
    settle(service)
    final = decision_kinds(service, 3)[-1]
    assert final in (key_registry.DecisionKind.NOT_RUN, key_registry.DecisionKind.START)
    service.kill(leaving)
    run_once(service, 1, key)
    assert service.runs_total == 1


def test_claim_ends_if_a_leaving_member_held_the_key():
    service = service_after_epoch_change()
    leaving, runner = node_at(service, 3), node_at(service, 0)
    service.submit(runner, KEY)
    assert decision_kinds(service, 0) == []
    entries = [(KEY, leaving.member)]
    taken = runner.registry.take_over(leaving.member, entries, service.now)
    service.execute(runner, taken)
    settle(service)
    assert decision_kinds(service, 0) == [key_registry.DecisionKind.FETCH]
    assert runner.ready == []


def test_handover_needs_enough_receivers_to_survive_another_loss():
    service = once_model.Service(5)
    leaving, *others = service.nodes.values()
    members = [other.member for other in others]
    assert leaving.registry.is_replicated_to(set(members[:3]))
    assert not leaving.registry.is_replicated_to(set(members[:2]))
    stranger = identifiers.MemberId(99)
    assert not leaving.registry.is_replicated_to({*members[:2], stranger})
    pair = node_at(once_model.Service(2), 0)
    assert not pair.registry.is_replicated_to(set(pair.registry.current_epoch.members))


def key_of_coordinator(service, asking, coordinator):
    """Return a key whose coordinator is the member at a slot."""
    keys = (messages.digest(b"key-%d" % n) for n in range(50))
    wanted = node_at(service, coordinator).member
    ranked = node_at(service, asking).registry._rank_members
    return next(key for key in keys if ranked(key)[0] == wanted)
