"""One member's record of idempotency keys, and its decisions about them.

A key must not run twice within its lifetime W. The runner is the member that runs a
key; its coordinator is the member that a rendezvous hash ranks first for the key, its
backup the one ranked second. A key is new if no member is known to have claimed it.

1. A key starts only after a second member, on another VM, has recorded it. The
   coordinator grants it once. A runner that is itself the coordinator first has
   the backup reserve the key.
2. A member starts keys only while it has a quorum: within the last W/2, more than
   half of the epoch's members answered heartbeats with that epoch or an earlier one.
3. A coordinator that does not know the key within W of a change of the epoch, and a
   runner whose coordinator does not answer, ask all members. The key is new if at
   most one of them does not answer and more than half of the epoch did. If keys ran
   within W in an epoch of one member, all must answer.
4. A member that leaves grants and records nothing after exporting its keys; the
   members that received them answer for it.
"""

from __future__ import annotations

import dataclasses
import enum

from cactushall_core import identifiers, rendezvous
from cactushall_core.once import epoch, messages

DEFAULT_KEY_LIFETIME_SECONDS = 600.0
ANSWER_TIMEOUT_SECONDS = 0.4
MAX_UNANSWERED = 1
MIN_HANDOVER_RECEIVERS = 2


class KeyState(enum.Enum):
    """State of a key at a member.

    CLAIMING, GRANTED, STARTED and RELEASED apply to keys claimed by this member.
    GRANTED_TO_PEER: this member, as coordinator, granted the key to another member.
    RESERVED: this member knows of another member's claim. It does not count as a
    grant, since the claim may have been refused.
    """

    CLAIMING = "claiming"
    GRANTED = "granted"
    STARTED = "started"
    RELEASED = "released"
    GRANTED_TO_PEER = "granted-to-peer"
    RESERVED = "reserved"


class DecisionKind(enum.Enum):
    """How to handle a submission of a key."""

    START = "start"
    LOCAL = "local"
    FETCH = "fetch"
    RETRY = "retry"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to a member."""

    member: identifiers.MemberId
    message: messages.Message


@dataclasses.dataclass(frozen=True)
class Decision:
    """The decision about a key that was submitted to this member.

    Attributes:
        key: The key.
        kind: START to run it here, LOCAL if it is running or has run here, FETCH to
            fetch the answer from its holder, RETRY to submit it again because the
            epoch is changing. NOT_RUN (it has not run) and UNKNOWN (it may have run)
            are reported to the caller.
        holder: The member to fetch the answer from.
    """

    key: messages.KeyDigest
    kind: DecisionKind
    holder: identifiers.MemberId | None = None


Action = Send | Decision


@dataclasses.dataclass
class _Entry:
    state: KeyState
    holder: identifiers.MemberId
    expires_at: float


@dataclasses.dataclass(frozen=True)
class _PendingClaim:
    """A claim that waits for the answer of its coordinator.

    Attributes:
        deadline: Time at which waiting ends, in seconds.
        released_by: A former holder that has released the key.
    """

    deadline: float
    released_by: identifiers.MemberId | None


@dataclasses.dataclass
class _PendingInquiry:
    """An inquiry about a key that waits for answers.

    Attributes:
        runner: The member that wants to run the key.
        asked: Members that were asked.
        deadline: Time at which waiting ends, in seconds.
        asks_all: Whether all members were asked, not only the backup.
        epoch: Number of the epoch in which the inquiry began.
        released_by: A former holder that has released the key.
        confirmed: Members that answered that they reserved the key for the runner.
    """

    runner: identifiers.MemberId
    asked: set[identifiers.MemberId]
    deadline: float
    asks_all: bool
    epoch: int
    released_by: identifiers.MemberId | None
    confirmed: set[identifiers.MemberId] = dataclasses.field(default_factory=set)


class KeyRegistry:
    """Idempotency keys of one service, as recorded by one member."""

    def __init__(
        self,
        member: identifiers.MemberId,
        now: float,
        lifetime: float = DEFAULT_KEY_LIFETIME_SECONDS,
    ) -> None:
        """Create a registry without keys or an epoch.

        Args:
            member: This member.
            now: Current time in seconds.
            lifetime: Seconds for which a key is remembered (W).
        """
        self._member = member
        self._lifetime = lifetime
        self._epoch = epoch.Epoch()
        self._epoch_changed_at = now
        # Until when members removed from the epoch are still asked.
        self._former_until: dict[identifiers.MemberId, float] = {}
        # Until when all members must answer, since keys may have run with one member.
        self._all_required_until = now
        self._ran_alone_at: float | None = None
        self._handed_over: set[identifiers.MemberId] = set()
        self._reachable: set[identifiers.MemberId] | None = None
        self._entries: dict[messages.KeyDigest, _Entry] = {}
        self._pending_claims: dict[messages.KeyDigest, _PendingClaim] = {}
        self._pending_inquiries: dict[messages.KeyDigest, _PendingInquiry] = {}
        self._heartbeat_sent_at: dict[identifiers.MemberId, float] = {}
        self._adopted_by: set[identifiers.MemberId] = set()
        self._is_leaving = False

    @property
    def current_epoch(self) -> epoch.Epoch:
        """The epoch that this member has adopted."""
        return self._epoch

    @property
    def handed_over(self) -> frozenset[identifiers.MemberId]:
        """Members that left after handing over their keys to this member."""
        return frozenset(self._handed_over)

    @property
    def key_count(self) -> int:
        """Number of keys that are remembered."""
        return len(self._entries)

    def has_run_alone(self, now: float) -> bool:
        """Return whether keys ran within W while this was the only member."""
        ran_at = self._ran_alone_at
        return ran_at is not None and now - ran_at < self._lifetime

    def set_reachable(self, members: set[identifiers.MemberId]) -> None:
        """Set the running members; answers of others are not awaited."""
        self._reachable = members

    def adopt(self, adopted: epoch.Epoch, now: float, wall_now: float) -> None:
        """Switch to an epoch if it is newer than the current one.

        Args:
            adopted: The epoch read from the store.
            now: Current time in seconds.
            wall_now: Seconds since the Unix epoch.
        """
        if adopted.number <= self._epoch.number:
            return
        removed = set(self._epoch.members) - set(adopted.members)
        listed = {former.member for former in adopted.former}
        self._former_until.update(dict.fromkeys(removed & listed, now + self._lifetime))
        for former in adopted.former:
            age = max(0.0, wall_now - former.removed_at)
            if age < self._lifetime:
                until = now + self._lifetime - age
                self._former_until.setdefault(former.member, until)
        alone_age = max(0.0, wall_now - adopted.alone_at)
        self._all_required_until = max(
            self._all_required_until, now + self._lifetime - alone_age
        )
        self._epoch = adopted
        self._epoch_changed_at = now
        self._adopted_by.clear()

    def record_heartbeat(
        self, member: identifiers.MemberId, number: int, sent_at: float
    ) -> None:
        """Record an answered heartbeat.

        Args:
            member: The member that answered.
            number: Number of that member's epoch.
            sent_at: Time at which this member sent the heartbeat that was answered, so
                that old answers read after a pause do not count as recent.
        """
        if number > self._epoch.number:
            return
        latest = self._heartbeat_sent_at.get(member, sent_at)
        self._heartbeat_sent_at[member] = max(latest, sent_at)
        if number == self._epoch.number:
            self._adopted_by.add(member)

    def may_propose(self, now: float) -> bool:
        """Return whether this member may propose the next epoch.

        More than half of the members must have adopted the current epoch, so that
        the sides of a partition cannot diverge into separate epochs.
        """
        confirmed = sum(
            member == self._member or member in self._adopted_by
            for member in self._epoch.members
        )
        return self.has_quorum(now) and epoch.is_majority(confirmed, self._epoch)

    def has_quorum(self, now: float) -> bool:
        """Return whether this member may start keys.

        Heartbeats of members with an earlier epoch count too: if this member has
        been removed since, the others still ask it for W after the removal, and it
        stops starting keys within W/2.
        """
        if self._member not in self._epoch.members:
            return False
        oldest = now - self._lifetime / 2
        heard_count = sum(
            member == self._member
            or self._heartbeat_sent_at.get(member, -1.0) >= oldest
            for member in self._epoch.members
        )
        return epoch.is_majority(heard_count, self._epoch)

    # Submissions and handover.

    def submit(
        self,
        key: messages.KeyDigest,
        now: float,
        released_by: identifiers.MemberId | None = None,
    ) -> list[Action]:
        """Handle a caller's submission of a key to this member.

        Args:
            key: The key.
            now: Current time in seconds.
            released_by: A former holder that has released the key.
        """
        entry = self._find_entry(key, now)
        if entry is not None and entry.state is not KeyState.RELEASED:
            if entry.holder == self._member:
                return [Decision(key, DecisionKind.LOCAL)]
            if entry.holder != released_by:
                return [Decision(key, DecisionKind.FETCH, entry.holder)]
        if self._is_leaving or not self.has_quorum(now):
            return [Decision(key, DecisionKind.NOT_RUN)]
        if (pending := self._pending_inquiries.get(key)) is not None:
            return [Decision(key, DecisionKind.FETCH, pending.runner)]
        self._store_entry(key, KeyState.CLAIMING, self._member, now)
        coordinator = self._rank_members(key)[0]
        if coordinator == self._member:
            return self._claim_for_self(key, now, released_by)
        if not self._is_reachable(coordinator):
            return self._inquire_all(key, self._member, now, released_by)
        deadline = now + ANSWER_TIMEOUT_SECONDS
        self._pending_claims[key] = _PendingClaim(deadline, released_by)
        return [Send(coordinator, messages.Claim(key, self._epoch.number, released_by))]

    def start(self, key: messages.KeyDigest, now: float) -> bool:
        """Mark a granted key as started if this member still has a quorum.

        Returns:
            Whether the key may start. Without a quorum it is released.
        """
        entry = self._find_entry(key, now)
        if entry is None or entry.state is not KeyState.GRANTED:
            return False
        if not self.has_quorum(now):
            entry.state = KeyState.RELEASED
            return False
        entry.state = KeyState.STARTED
        if len(self._epoch.members) == 1:
            self._ran_alone_at = now
        return True

    def release(self, key: messages.KeyDigest) -> None:
        """Release a key that was granted or started here but did not run."""
        entry = self._entries.get(key)
        if entry is not None and entry.holder == self._member:
            entry.state = KeyState.RELEASED

    def transfer(
        self, key: messages.KeyDigest, member: identifiers.MemberId, now: float
    ) -> bool:
        """Transfer a key that never ran here to another member.

        Args:
            key: The key.
            member: The member that asks for it.
            now: Current time in seconds.

        Returns:
            Whether the key never ran here; if so, it never will.
        """
        entry = self._find_entry(key, now)
        if entry is None:
            return False
        is_released = entry.state is KeyState.RELEASED
        if not is_released and entry.holder != member:
            return False
        self._store_entry(key, KeyState.RESERVED, member, now)
        return True

    def begin_leaving(self) -> list[Action]:
        """Stop granting and recording keys, so that an export stays complete.

        Own claims that are under way end: their keys never run here.
        """
        self._is_leaving = True
        actions: list[Action] = []
        for key in [k for k in self._entries if self._is_claiming(k)]:
            self._pending_claims.pop(key, None)
            self._pending_inquiries.pop(key, None)
            actions += self._abandon_claim(key, DecisionKind.NOT_RUN)
        return actions

    def export(self, now: float) -> list[tuple[messages.KeyDigest, int]]:
        """Return all keys that are not released, with their holders."""
        self._expire(now)
        return [
            (key, entry.holder)
            for key, entry in self._entries.items()
            if entry.state is not KeyState.RELEASED
        ]

    def export_released(self, now: float) -> list[messages.KeyDigest]:
        """Return all keys that are released here."""
        self._expire(now)
        released = KeyState.RELEASED
        return [k for k, entry in self._entries.items() if entry.state is released]

    def forget_released(
        self, keys: list[messages.KeyDigest], member: identifiers.MemberId
    ) -> None:
        """Forget keys that a leaving member held but never ran.

        Args:
            keys: The keys that it released.
            member: The leaving member.
        """
        for key in keys:
            entry = self._entries.get(key)
            if entry is not None and entry.holder == member:
                del self._entries[key]

    def take_over(
        self,
        member: identifiers.MemberId,
        keys: list[tuple[messages.KeyDigest, identifiers.MemberId]],
        now: float,
    ) -> list[Action]:
        """Record the keys of a leaving member, which then need not answer inquiries.

        Keys that it held itself take precedence over claims and reservations here.

        Args:
            member: The leaving member.
            keys: Its exported keys, each with its holder.
            now: Current time in seconds.
        """
        self._handed_over.add(member)
        self._drop_inquiries_for(member)
        actions: list[Action] = []
        for key, holder in keys:
            entry = self._find_entry(key, now)
            if entry is None:
                self._store_entry(key, KeyState.RESERVED, holder, now)
            elif entry.state is KeyState.CLAIMING and holder != self._member:
                self._pending_claims.pop(key, None)
                self._pending_inquiries.pop(key, None)
                self._store_entry(key, KeyState.RESERVED, holder, now)
                actions.append(Decision(key, DecisionKind.FETCH, holder))
            elif holder == member and entry.state is not KeyState.STARTED:
                self._store_entry(key, KeyState.RESERVED, holder, now)
        return actions

    def is_replicated_to(self, receivers: set[identifiers.MemberId]) -> bool:
        """Return whether this member's keys survive the loss of one more member.

        Args:
            receivers: Members that have received this member's keys.
        """
        others = set(self._epoch.members) - {self._member}
        copies = len(others & receivers)
        return copies >= MIN_HANDOVER_RECEIVERS and 2 * copies > len(others)

    # Messages.

    def handle_message(
        self, sender: identifiers.MemberId, message: messages.Message, now: float
    ) -> list[Action]:
        """Handle a message from another member."""
        if isinstance(message, messages.Claim):
            return self._handle_claim(sender, message, now)
        if isinstance(message, messages.Inquiry):
            return self._handle_inquiry(sender, message, now)
        if isinstance(message, messages.Refused) and message.is_stale:
            return self._handle_refused(message)
        if message.epoch != self._epoch.number:
            return []
        if isinstance(message, messages.Granted):
            return self._handle_granted(message.key, now)
        if isinstance(message, messages.Reserved):
            return self._handle_reserved(sender, message, now)
        if isinstance(message, messages.Held):
            return self._handle_held(message, now)
        return self._handle_refused(message)

    def tick(self, now: float) -> list[Action]:
        """Time out claims and inquiries, and forget expired keys."""
        self._expire(now)
        actions: list[Action] = []
        for key, claim in list(self._pending_claims.items()):
            if now >= claim.deadline:
                del self._pending_claims[key]
                if self._is_claiming(key):
                    actions += self._inquire_all(
                        key, self._member, now, claim.released_by
                    )
        for key, pending in list(self._pending_inquiries.items()):
            if now >= pending.deadline:
                del self._pending_inquiries[key]
                actions += self._finish_inquiry(key, pending, now)
        return actions

    def _handle_claim(
        self, sender: identifiers.MemberId, claim: messages.Claim, now: float
    ) -> list[Action]:
        key, number = claim.key, self._epoch.number
        if claim.epoch != number or self._member not in self._epoch.members:
            return [Send(sender, messages.Refused(key, claim.epoch, True))]
        if sender in self._handed_over:
            # It has ended its claims since, and would hold the key for good.
            return []
        entry = self._find_entry(key, now)
        if entry is not None and entry.state is not KeyState.RELEASED:
            if entry.holder not in (sender, claim.released_by):
                return [Send(sender, messages.Held(key, number, entry.holder))]
            if entry.holder == self._member:
                return [Send(sender, messages.Held(key, number, self._member))]
        if self._is_leaving:
            return []
        is_granted = entry is not None and entry.state is KeyState.GRANTED_TO_PEER
        if not is_granted and self._is_epoch_recent(now):
            released_by = claim.released_by
            if entry is not None and entry.state is KeyState.RELEASED:
                self._store_entry(key, KeyState.RESERVED, sender, now)
                released_by = self._member
            return self._inquire_all(key, sender, now, released_by)
        self._store_entry(key, KeyState.GRANTED_TO_PEER, sender, now)
        return [Send(sender, messages.Granted(key, number))]

    def _handle_inquiry(
        self, sender: identifiers.MemberId, inquiry: messages.Inquiry, now: float
    ) -> list[Action]:
        key, runner = inquiry.key, inquiry.runner
        entry = self._find_entry(key, now)
        is_available = entry is None or entry.state is KeyState.RELEASED
        if entry is not None and not is_available and entry.holder != runner:
            is_own = entry.holder == self._member
            if is_own or entry.holder != inquiry.released_by:
                held = messages.Held(key, inquiry.epoch, entry.holder)
                return [Send(sender, held)]
            is_available = True
        if self._is_leaving:
            return []
        if is_available and runner not in self._handed_over:
            self._store_entry(key, KeyState.RESERVED, runner, now)
        return [Send(sender, messages.Reserved(key, inquiry.epoch, runner))]

    def _handle_granted(self, key: messages.KeyDigest, now: float) -> list[Action]:
        self._pending_claims.pop(key, None)
        return self._grant_locally(key, now)

    def _handle_held(self, held: messages.Held, now: float) -> list[Action]:
        key = held.key
        pending = self._pending_inquiries.get(key)
        if pending is not None and held.holder != pending.runner:
            del self._pending_inquiries[key]
            if pending.runner != self._member:
                if held.holder != self._member:
                    self._store_entry(key, KeyState.RESERVED, held.holder, now)
                answer = messages.Held(key, self._epoch.number, held.holder)
                return [Send(pending.runner, answer)]
        elif key not in self._pending_claims:
            return []
        self._pending_claims.pop(key, None)
        if not self._is_claiming(key) or held.holder == self._member:
            return []
        self._store_entry(key, KeyState.RESERVED, held.holder, now)
        return [Decision(key, DecisionKind.FETCH, held.holder)]

    def _handle_refused(self, refused: messages.Refused) -> list[Action]:
        if self._pending_claims.pop(refused.key, None) is None:
            return []
        kind = DecisionKind.RETRY if refused.is_stale else DecisionKind.UNKNOWN
        return self._abandon_claim(refused.key, kind)

    def _handle_reserved(
        self, sender: identifiers.MemberId, reserved: messages.Reserved, now: float
    ) -> list[Action]:
        pending = self._pending_inquiries.get(reserved.key)
        if pending is None or reserved.runner != pending.runner:
            return []
        if sender not in pending.asked:
            return []
        pending.confirmed.add(sender)
        if any(map(self._is_reachable, pending.asked - pending.confirmed)):
            return []
        del self._pending_inquiries[reserved.key]
        return self._finish_inquiry(reserved.key, pending, now)

    # Inquiries.

    def _drop_inquiries_for(self, runner: identifiers.MemberId) -> None:
        """Forget inquiries for a member that starts no key any more."""
        pending = self._pending_inquiries.items()
        for key in [key for key, inquiry in pending if inquiry.runner == runner]:
            del self._pending_inquiries[key]

    def _claim_for_self(
        self,
        key: messages.KeyDigest,
        now: float,
        released_by: identifiers.MemberId | None,
    ) -> list[Action]:
        """Claim a key whose coordinator is this member, by asking its backup."""
        if self._is_epoch_recent(now) or len(self._epoch.members) == 1:
            return self._inquire_all(key, self._member, now, released_by)
        backup = self._rank_members(key)[1]
        return self._send_inquiries(
            key, self._member, {backup}, now, released_by, asks_all=False
        )

    def _inquire_all(
        self,
        key: messages.KeyDigest,
        runner: identifiers.MemberId,
        now: float,
        released_by: identifiers.MemberId | None = None,
    ) -> list[Action]:
        if key in self._pending_inquiries:
            return []
        former = {m for m, until in self._former_until.items() if until > now}
        asked = (set(self._epoch.members) | former) - {self._member, runner}
        asked -= self._handed_over
        return self._send_inquiries(key, runner, asked, now, released_by, asks_all=True)

    def _send_inquiries(
        self,
        key: messages.KeyDigest,
        runner: identifiers.MemberId,
        asked: set[identifiers.MemberId],
        now: float,
        released_by: identifiers.MemberId | None,
        *,
        asks_all: bool,
    ) -> list[Action]:
        deadline = now + ANSWER_TIMEOUT_SECONDS
        pending = _PendingInquiry(
            runner, asked, deadline, asks_all, self._epoch.number, released_by
        )
        if not any(map(self._is_reachable, asked)):
            return self._finish_inquiry(key, pending, now)
        self._pending_inquiries[key] = pending
        message = messages.Inquiry(key, self._epoch.number, runner, released_by)
        return [Send(member, message) for member in sorted(asked)]

    def _finish_inquiry(
        self, key: messages.KeyDigest, pending: _PendingInquiry, now: float
    ) -> list[Action]:
        if self._is_leaving:
            return self._abandon_claim(key, DecisionKind.NOT_RUN)
        unanswered = pending.asked - pending.confirmed
        if not pending.asks_all and (unanswered or pending.epoch != self._epoch.number):
            return self._inquire_all(key, pending.runner, now, pending.released_by)
        is_new = not pending.asks_all or self._is_new(pending, unanswered, now)
        if pending.runner == self._member:
            if is_new:
                return self._grant_locally(key, now)
            is_stale = pending.epoch != self._epoch.number
            return self._abandon_claim(
                key, DecisionKind.RETRY if is_stale else DecisionKind.UNKNOWN
            )
        if not is_new:
            is_stale = pending.epoch != self._epoch.number
            refused = messages.Refused(key, self._epoch.number, is_stale)
            return [Send(pending.runner, refused)]
        entry = self._find_entry(key, now)
        is_held = entry is not None and entry.state is not KeyState.RELEASED
        expected = (pending.runner, pending.released_by)
        if entry is not None and is_held and entry.holder not in expected:
            held = messages.Held(key, self._epoch.number, entry.holder)
            return [Send(pending.runner, held)]
        self._store_entry(key, KeyState.GRANTED_TO_PEER, pending.runner, now)
        return [Send(pending.runner, messages.Granted(key, self._epoch.number))]

    def _is_new(
        self,
        pending: _PendingInquiry,
        unanswered: set[identifiers.MemberId],
        now: float,
    ) -> bool:
        if pending.epoch != self._epoch.number:
            return False
        # Members that left don't count: they handed over what they knew, but learn of
        # no new claims.
        consulted = pending.confirmed | {self._member, pending.runner}
        answered = sum(member in consulted for member in self._epoch.members)
        max_unanswered = 0 if now < self._all_required_until else MAX_UNANSWERED
        return len(unanswered) <= max_unanswered and epoch.is_majority(
            answered, self._epoch
        )

    def _grant_locally(self, key: messages.KeyDigest, now: float) -> list[Action]:
        if not self._is_claiming(key):
            return []
        if self._is_leaving:
            return self._abandon_claim(key, DecisionKind.NOT_RUN)
        self._store_entry(key, KeyState.GRANTED, self._member, now)
        return [Decision(key, DecisionKind.START)]

    def _abandon_claim(
        self, key: messages.KeyDigest, kind: DecisionKind
    ) -> list[Action]:
        if not self._is_claiming(key):
            return []
        self._entries[key].state = KeyState.RELEASED
        return [Decision(key, kind)]

    # Entries.

    def _is_reachable(self, member: identifiers.MemberId) -> bool:
        return self._reachable is None or member in self._reachable

    def _is_epoch_recent(self, now: float) -> bool:
        return now - self._epoch_changed_at < self._lifetime

    def _is_claiming(self, key: messages.KeyDigest) -> bool:
        entry = self._entries.get(key)
        return entry is not None and entry.state is KeyState.CLAIMING

    def _rank_members(self, key: messages.KeyDigest) -> list[identifiers.MemberId]:
        return rendezvous.rank(key, sorted(self._epoch.members), int, lambda _: 1.0, 2)

    def _find_entry(self, key: messages.KeyDigest, now: float) -> _Entry | None:
        entry = self._entries.get(key)
        if entry is not None and entry.expires_at <= now:
            del self._entries[key]
            return None
        return entry

    def _store_entry(
        self,
        key: messages.KeyDigest,
        state: KeyState,
        holder: identifiers.MemberId,
        now: float,
    ) -> None:
        self._entries.pop(key, None)
        self._entries[key] = _Entry(state, holder, now + self._lifetime)

    def _expire(self, now: float) -> None:
        """Forget expired keys; entries are ordered by expiry."""
        while self._entries:
            key = next(iter(self._entries))
            if self._entries[key].expires_at > now:
                return
            del self._entries[key]
