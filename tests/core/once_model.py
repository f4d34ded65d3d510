"""Random model of a service whose members crash, pause, restart and are cut off."""

from __future__ import annotations

import dataclasses
import random

from cactushall_core import identifiers
from cactushall_core.once import epoch, key_registry, messages

LIFETIME = 20.0
MARGIN = 2.0
KEY_SECONDS = 8.0
PHASE_LIFETIMES = 2


@dataclasses.dataclass
class HeartbeatAnswer:
    """An answered heartbeat in transit."""

    epoch: int
    sent_at: float


@dataclasses.dataclass
class Handover:
    """All keys of a leaving member, in transit."""

    entries: list
    released: list


@dataclasses.dataclass
class Node:
    """One member.

    Attributes:
        pending_receivers: Members to which a leaving member has yet to send its keys;
            None unless it is leaving.
        delivered_to: Members that have received them.
    """

    member: identifiers.MemberId
    registry: key_registry.KeyRegistry
    slot: int
    is_paused: bool = False
    unread: list = dataclasses.field(default_factory=list)
    ready: list = dataclasses.field(default_factory=list)
    pending_receivers: list | None = None
    handover: Handover | None = None
    delivered_to: set = dataclasses.field(default_factory=set)


class DoubleRunError(AssertionError):
    """A key has run twice within its lifetime."""


class Service:
    """Members, their network, the store, and the runs of every key."""

    def __init__(self, size, make_registry=key_registry.KeyRegistry):
        self.make_registry = make_registry
        self.size = size
        self.now = 1000.0
        self.nodes = {}
        self.next_id = 1
        self.stored = epoch.Epoch()
        self.is_store_down = False
        self.cut_links = set()
        self.in_flight = []
        self.runs = {}
        self.decisions = []
        self.runs_total = 0
        for slot in range(size):
            node = self.start_member(slot)
            self.stored = self.with_member(node.member, has_run_alone=False)
        for node in self.nodes.values():
            self.read_store(node)
        self.now += LIFETIME
        self.began_at = self.now
        self.heartbeat()

    def with_member(self, member, *, has_run_alone):
        """Return the next epoch, with one member added to the stored one."""
        return epoch.with_member(
            self.stored, member, self.now, has_run_alone=has_run_alone
        )

    def start_member(self, slot):
        """Start a new member, which a member of the epoch adds later."""
        member = identifiers.MemberId(self.next_id)
        self.next_id += 1
        made = self.make_registry(member, self.now, LIFETIME)
        node = Node(member, made, slot)
        self.nodes[member] = node
        return node

    def read_store(self, node):
        """Let a member read the epoch."""
        if not self.is_store_down and not node.is_paused:
            node.registry.adopt(self.stored, self.now, self.now)

    def is_connected(self, one, other):
        """Return whether two members can reach each other."""
        return frozenset((one.slot, other.slot)) not in self.cut_links

    def kill(self, node):
        """Remove a member permanently."""
        del self.nodes[node.member]

    def propose(self, node, rng):
        """Let a member that has a quorum add or remove one other member."""
        if (
            self.is_store_down
            or node.is_paused
            or not node.registry.may_propose(self.now)
        ):
            return
        if node.registry.current_epoch.number != self.stored.number:
            return
        unreachable = {
            member
            for member in self.stored.members
            if (other := self.nodes.get(member)) is None
            or other.is_paused
            or not self.is_connected(node, other)
        }
        removed = {former.member for former in self.stored.former}
        waiting = set(self.nodes) - set(self.stored.members) - removed
        if unreachable and (not waiting or rng.random() < 0.5):
            gone = {rng.choice(sorted(unreachable))}
            self.stored = epoch.without_members(
                self.stored, gone, set(), self.now, LIFETIME
            )
        elif waiting:
            joined = rng.choice(sorted(waiting))
            has_run_alone = node.registry.has_run_alone(self.now)
            self.stored = self.with_member(joined, has_run_alone=has_run_alone)
        self.read_store(node)

    def heartbeat(self, rng=None):
        """Exchange heartbeats between all members that can reach each other.

        With a random source some answers are delayed, so that old ones arrive after
        a pause.
        """
        for node in self.nodes.values():
            for other in self.nodes.values():
                if node is other or node.is_paused or other.is_paused:
                    continue
                if self.is_connected(node, other):
                    answer = HeartbeatAnswer(
                        other.registry.current_epoch.number, self.now
                    )
                    if rng is not None and rng.random() < 0.1:
                        self.in_flight.append((other.member, node.member, answer))
                    else:
                        self.receive(node, other.member, answer)

    def submit(self, node, key):
        """Submit a caller's key to a member."""
        if not node.is_paused and node.pending_receivers is None:
            self.execute(node, node.registry.submit(key, self.now))

    def execute(self, node, actions):
        """Queue messages for delivery and record decisions."""
        for action in actions:
            if isinstance(action, key_registry.Send):
                self.in_flight.append((node.member, action.member, action.message))
            elif action.kind is key_registry.DecisionKind.START:
                if node.pending_receivers is None:
                    node.ready.append(action.key)
                else:
                    node.registry.release(action.key)
            else:
                self.decisions.append((node.member, action))

    def deliver(self, index):
        """Deliver one message; a paused member reads it later."""
        sender, receiver, message = self.in_flight.pop(index)
        node = self.nodes.get(receiver)
        source = self.nodes.get(sender)
        if node is None:
            return
        if source is not None and not self.is_connected(source, node):
            return
        if node.is_paused:
            node.unread.append((sender, message))
        else:
            self.receive(node, sender, message)

    def receive(self, node, sender, message):
        """Let a member handle a message."""
        if isinstance(message, HeartbeatAnswer):
            node.registry.record_heartbeat(sender, message.epoch, message.sent_at)
        elif isinstance(message, Handover):
            taken = node.registry.take_over(sender, message.entries, self.now)
            self.execute(node, taken)
            node.registry.forget_released(message.released, sender)
        else:
            self.execute(node, node.registry.handle_message(sender, message, self.now))

    def resume(self, node):
        """Resume a paused member and deliver the messages that waited for it."""
        node.is_paused = False
        unread, node.unread = node.unread, []
        for sender, message in unread:
            self.receive(node, sender, message)

    def start(self, node, *, is_shed=False):
        """Start a granted key, or release it if it is shed."""
        if node.is_paused or not node.ready:
            return
        key = node.ready.pop()
        if not node.registry.start(key, self.now):
            return
        if is_shed:
            node.registry.release(key)
            return
        self.runs_total += 1
        earlier = self.runs.get(key)
        if earlier is not None and self.now - earlier < LIFETIME - MARGIN:
            raise DoubleRunError(f"{key!r} ran at {earlier} and {self.now}")
        self.runs[key] = self.now

    def leave(self, node):
        """Let a member without running requests start handing over its keys."""
        if node.is_paused or node.pending_receivers is not None or len(self.nodes) <= 2:
            return
        for key in node.ready:
            node.registry.release(key)
        node.ready = []
        self.execute(node, node.registry.begin_leaving())
        node.handover = Handover(
            node.registry.export(self.now), node.registry.export_released(self.now)
        )
        node.pending_receivers = [
            other.member
            for other in self.nodes.values()
            if other is not node and self.is_connected(node, other)
        ]

    def hand_over(self, rng):
        """Let a leaving member send its keys to one more member, or stop."""
        leaving = [
            node
            for node in self.nodes.values()
            if node.pending_receivers is not None and not node.is_paused
        ]
        if not leaving:
            return
        node = rng.choice(leaving)
        if not node.pending_receivers:
            self.end_leaving(node)
            return
        other = self.nodes.get(node.pending_receivers.pop())
        if other is None or not self.is_connected(node, other):
            return
        if other.is_paused:
            other.unread.append((node.member, node.handover))
            return
        self.receive(other, node.member, node.handover)
        node.delivered_to.add(other.member)

    def end_leaving(self, node):
        """Remove a member from the epoch if the store answers, and restart it."""
        if not self.is_store_down and node.member in self.stored.members:
            gone = {node.member}
            handed_over = (
                gone if node.registry.is_replicated_to(node.delivered_to) else set()
            )
            self.stored = epoch.without_members(
                self.stored, gone, handed_over, self.now, LIFETIME
            )
        self.kill(node)
        self.start_member(node.slot)

    def fetch(self):
        """Let the first waiting caller's member fetch the answer from the holder."""
        if not self.decisions:
            return
        member, decision = self.decisions.pop(0)
        node = self.nodes.get(member)
        if node is None or node.is_paused:
            return
        if decision.kind is not key_registry.DecisionKind.FETCH:
            return
        holder = self.nodes.get(decision.holder)
        if holder is None or holder.is_paused or not self.is_connected(node, holder):
            return
        if holder.registry.transfer(decision.key, member, self.now):
            actions = node.registry.submit(decision.key, self.now, holder.member)
            self.execute(node, actions)

    def tick(self, seconds):
        """Advance the time."""
        self.now += seconds
        for node in list(self.nodes.values()):
            if not node.is_paused:
                self.execute(node, node.registry.tick(self.now))

    def step(self, rng: random.Random):
        """Take one random step."""
        nodes = list(self.nodes.values())
        node = rng.choice(nodes)
        period = int(self.now / KEY_SECONDS)
        key = messages.digest(b"key-%d" % (period * 2 + rng.randrange(4)))
        choices = {
            lambda: self.deliver_some(rng): 45,
            lambda: self.submit(node, key): 10,
            lambda: self.start(node, is_shed=rng.random() < 0.1): 10,
            self.fetch: 5,
            lambda: self.tick(rng.choice((0.05, 0.2, 0.5, 1.0))): 6,
            lambda: self.heartbeat(rng): 6,
            lambda: self.read_some(rng): 5,
            lambda: self.propose(node, rng): 4,
            lambda: self.drop_one(rng): 1,
            lambda: self.duplicate_one(rng): 1,
            lambda: self.begin_fault(rng, node, nodes): 0 if self.is_recovering else 3,
            lambda: self.end_fault(rng, node): 8 if self.is_recovering else 4,
            lambda: self.leave(node): 0 if self.is_recovering else 1,
            lambda: self.hand_over(rng): 4,
            self.replace_lost_members: 1,
        }
        (choice,) = rng.choices(list(choices), list(choices.values()))
        choice()

    def replace_lost_members(self):
        """Replace lost VMs and, without a quorum, remove them as operators would."""
        used = {node.slot for node in self.nodes.values()}
        for slot in range(self.size):
            if slot not in used:
                self.start_member(slot)
        dead = set(self.stored.members) - set(self.nodes)
        if 2 * len(dead) >= len(self.stored.members) and not self.is_store_down:
            self.stored = epoch.without_members(
                self.stored, dead, set(), self.now, LIFETIME
            )

    @property
    def is_recovering(self):
        """Whether faults only end; this alternates with phases in which they begin."""
        age = self.now - self.began_at
        return int(age / (PHASE_LIFETIMES * LIFETIME)) % 2 == 1

    def deliver_some(self, rng):
        """Deliver some messages in random order."""
        for _ in range(min(len(self.in_flight), rng.randint(1, 8))):
            self.deliver(rng.randrange(len(self.in_flight)))

    def read_some(self, rng):
        """Let most members read the epoch."""
        for node in self.nodes.values():
            if rng.random() < 0.7:
                self.read_store(node)

    def drop_one(self, rng):
        """Drop one message."""
        if self.in_flight:
            self.in_flight.pop(rng.randrange(len(self.in_flight)))

    def duplicate_one(self, rng):
        """Deliver one message twice."""
        if self.in_flight:
            self.in_flight.append(rng.choice(self.in_flight))

    def begin_fault(self, rng, node, nodes):
        """Begin one random fault."""
        draw = rng.random()
        if draw < 0.25 and len(nodes) > 2:
            self.kill(node)
            self.start_member(node.slot)
        elif draw < 0.35 and len(nodes) > 2:
            self.kill(node)
        elif draw < 0.60:
            node.is_paused = True
        elif draw < 0.85:
            other = rng.choice(nodes)
            if other is not node:
                self.cut_links.add(frozenset((node.slot, other.slot)))
        elif draw < 0.93:
            self.is_store_down = True
        else:
            self.tick(rng.choice((1.0, LIFETIME / 4, LIFETIME / 2)))

    def end_fault(self, rng, node):
        """End one fault."""
        if node.is_paused:
            self.resume(node)
        elif self.cut_links and rng.random() < 0.7:
            self.cut_links.remove(rng.choice(sorted(self.cut_links, key=sorted)))
        else:
            self.is_store_down = False


def run(seed, steps, size, make_registry=key_registry.KeyRegistry):
    """Run random steps and return the service."""
    rng = random.Random(seed)
    service = Service(size, make_registry)
    for _ in range(steps):
        service.step(rng)
    return service
