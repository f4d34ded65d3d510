"""What one member knows of idempotency keys, and its decisions about them.

The rule, for a key within its lifetime W:

1. No key starts before a second member, on another VM, knows of it: its registrar
   (by rendezvous hash) grants it once; a runner that is its own registrar first has
   another member bar it.
2. Members start keys only while, within the last W/2, more than half of the epoch
   vouched for that epoch or an earlier one.
   Where a lone member ran keys within W, none may stay silent below.
3. A registrar that does not know a key within W of a change of the epoch, and a
   runner whose registrar is silent, ask all members. The key is fresh where at most
   one stays silent and more than half of the epoch answered.
4. A member that leaves grants nothing and learns nothing once its keys are on their
   way to others; they answer for it.
"""

from __future__ import annotations

import dataclasses
import enum

from cactushall_core import identifiers, rendezvous
from cactushall_core.once import epoch, messages

DEFAULT_LIFETIME_SECONDS = 600.0
ANSWER_TIMEOUT_SECONDS = 0.4
MAX_SILENT = 1
MIN_TAKERS = 2


class State(enum.Enum):
    """What a member knows of a key.

    The first four are a runner's own. HELD is this member's own grant to another.
    BARRED is what it has heard of another's claim, which may have been found not
    fresh, so that it does not stand for a grant.
    """

    CLAIMING = "claiming"
    GRANTED = "granted"
    STARTED = "started"
    RELEASED = "released"
    HELD = "held"
    BARRED = "barred"


class Verdict(enum.Enum):
    """What to do with a submission of a key."""

    START = "start"
    OWN = "own"
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
class Decide:
    """The decision about a key that was submitted here.

    Attributes:
        key: The key.
        verdict: START to run it here, OWN where it runs or ran here, FETCH to get
            the answer from its holder, RETRY to submit it again since the epoch is
            changing, or the outcome to report.
        holder: The holder to fetch from.
    """

    key: messages.KeyDigest
    verdict: Verdict
    holder: identifiers.MemberId | None = None


Action = Send | Decide


@dataclasses.dataclass
class _Entry:
    state: State
    holder: identifiers.MemberId
    expires_at: float


@dataclasses.dataclass
class _Inquest:
    """A round of questions about a key."""

    runner: identifiers.MemberId
    asked: set[identifiers.MemberId]
    deadline: float
    is_whole: bool
    epoch: int
    released_by: identifiers.MemberId | None
    cleared: set[identifiers.MemberId] = dataclasses.field(default_factory=set)


class Ledger:
    """Keys of one service at one member."""

    def __init__(
        self,
        member: identifiers.MemberId,
        now: float,
        lifetime: float = DEFAULT_LIFETIME_SECONDS,
    ) -> None:
        """Know no key and no epoch.

        Args:
            member: This member.
            now: Present time in seconds.
            lifetime: Seconds for which a key is remembered (W).
        """
        self._member = member
        self._lifetime = lifetime
        self._epoch = epoch.Epoch()
        self._epoch_changed_at = now
        self._former: dict[identifiers.MemberId, float] = {}
        self._alone_until = now
        self._ran_alone_at: float | None = None
        self._handed_over: set[identifiers.MemberId] = set()
        self._reachable: set[identifiers.MemberId] | None = None
        self._entries: dict[messages.KeyDigest, _Entry] = {}
        self._claims: dict[messages.KeyDigest, float] = {}
        self._inquests: dict[messages.KeyDigest, _Inquest] = {}
        self._vouched_at: dict[identifiers.MemberId, float] = {}
        self._confirmed_by: set[identifiers.MemberId] = set()
        self._is_leaving = False

    @property
    def current_epoch(self) -> epoch.Epoch:
        """The present epoch."""
        return self._epoch

    @property
    def handed_over(self) -> frozenset[identifiers.MemberId]:
        """Members that have left and whose keys are remembered here."""
        return frozenset(self._handed_over)

    @property
    def key_count(self) -> int:
        """How many keys are remembered."""
        return len(self._entries)

    def has_run_alone(self, now: float) -> bool:
        """Tell whether keys ran here, within W, while there was no other member."""
        ran_at = self._ran_alone_at
        return ran_at is not None and now - ran_at < self._lifetime

    def set_reachable(self, members: set[identifiers.MemberId]) -> None:
        """Note which members run; no answer of others is waited for."""
        self._reachable = members

    def adopt(self, adopted: epoch.Epoch, now: float, wall_now: float) -> None:
        """Take in a newer epoch."""
        if adopted.number <= self._epoch.number:
            return
        gone = set(self._epoch.members) - set(adopted.members)
        listed = {former.member for former in adopted.former}
        self._former.update(dict.fromkeys(gone & listed, now + self._lifetime))
        for former in adopted.former:
            age = max(0.0, wall_now - former.removed_at)
            if age < self._lifetime:
                until = now + self._lifetime - age
                self._former.setdefault(former.member, until)
        alone_age = max(0.0, wall_now - adopted.alone_at)
        self._alone_until = max(self._alone_until, now + self._lifetime - alone_age)
        self._epoch = adopted
        self._epoch_changed_at = now
        self._confirmed_by.clear()

    def vouch(self, member: identifiers.MemberId, number: int, stamp: float) -> None:
        """Note that a member vouches for an epoch.

        Args:
            member: The member.
            number: Number of its epoch.
            stamp: Own time of the message that the member has answered, so that
                old messages read after a pause do not count as new.
        """
        if number > self._epoch.number:
            return
        known = self._vouched_at.get(member, stamp)
        self._vouched_at[member] = max(known, stamp)
        if number == self._epoch.number:
            self._confirmed_by.add(member)

    def may_propose(self, now: float) -> bool:
        """Tell whether this member may propose the next epoch.

        More than half of the present epoch must have adopted it, so that no two
        sides of a partition go on with epochs of their own.
        """
        confirmed = sum(
            member == self._member or member in self._confirmed_by
            for member in self._epoch.members
        )
        return self.has_quorum(now) and epoch.is_majority(confirmed, self._epoch)

    def has_quorum(self, now: float) -> bool:
        """Tell whether keys may start here.

        A heartbeat of a member that has an earlier epoch counts: whoever removed
        this member since then asks it within W, and it stops within W/2.
        """
        if self._member not in self._epoch.members:
            return False
        oldest = now - self._lifetime / 2
        vouching = sum(
            member == self._member or self._vouched_at.get(member, -1.0) >= oldest
            for member in self._epoch.members
        )
        return epoch.is_majority(vouching, self._epoch)

    # Submissions.

    def submit(
        self,
        key: messages.KeyDigest,
        now: float,
        released_by: identifiers.MemberId | None = None,
    ) -> list[Action]:
        """Handle a submission of a key by a caller here.

        Args:
            key: The key.
            now: Present time in seconds.
            released_by: A former holder that has released the key.
        """
        entry = self._entry(key, now)
        if entry is not None and entry.state is not State.RELEASED:
            if entry.holder == self._member:
                return [Decide(key, Verdict.OWN)]
            if entry.holder != released_by:
                return [Decide(key, Verdict.FETCH, entry.holder)]
        if self._is_leaving or not self.has_quorum(now):
            return [Decide(key, Verdict.NOT_RUN)]
        if (inquest := self._inquests.get(key)) is not None:
            return [Decide(key, Verdict.FETCH, inquest.runner)]
        self._put(key, State.CLAIMING, self._member, now)
        registrar = self._ranked(key)[0]
        if registrar == self._member:
            return self._ask_for_self(key, now, released_by)
        if not self._is_reachable(registrar):
            return self._ask_all(key, self._member, now, released_by)
        self._claims[key] = now + ANSWER_TIMEOUT_SECONDS
        return [Send(registrar, messages.Claim(key, self._epoch.number, released_by))]

    def start(self, key: messages.KeyDigest, now: float) -> bool:
        """Note that a granted key starts now, where that is still allowed.

        Returns:
            Whether it may start; where not, it is released.
        """
        entry = self._entry(key, now)
        if entry is None or entry.state is not State.GRANTED:
            return False
        if not self.has_quorum(now):
            entry.state = State.RELEASED
            return False
        entry.state = State.STARTED
        if len(self._epoch.members) == 1:
            self._ran_alone_at = now
        return True

    def release(self, key: messages.KeyDigest) -> None:
        """Note that a key that was granted or started here did not run."""
        entry = self._entries.get(key)
        if entry is not None and entry.holder == self._member:
            entry.state = State.RELEASED

    def pass_on(
        self, key: messages.KeyDigest, member: identifiers.MemberId, now: float
    ) -> bool:
        """Give a key that never ran here to another member.

        Returns:
            Whether it never ran here; it never will then.
        """
        entry = self._entry(key, now)
        if entry is None:
            return False
        is_released = entry.state is State.RELEASED
        if not is_released and entry.holder != member:
            return False
        self._put(key, State.BARRED, member, now)
        return True

    def begin_leaving(self) -> None:
        """Grant and learn nothing from now on, so that an export stays whole."""
        self._is_leaving = True

    def export(self, now: float) -> list[tuple[messages.KeyDigest, int]]:
        """Return all keys that are held, with their holders, for a handover."""
        self._expire(now)
        return [
            (key, entry.holder)
            for key, entry in self._entries.items()
            if entry.state is not State.RELEASED
        ]

    def export_released(self, now: float) -> list[messages.KeyDigest]:
        """Return the keys that were released here, for a handover."""
        self._expire(now)
        released = State.RELEASED
        return [k for k, entry in self._entries.items() if entry.state is released]

    def forget_released(
        self, keys: list[messages.KeyDigest], member: identifiers.MemberId
    ) -> None:
        """Free keys of a member that leaves and never ran them."""
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
        """Remember the keys of a member that leaves, so that it need not answer.

        What it held itself counts before what is only claimed or heard of here.
        """
        self._handed_over.add(member)
        actions: list[Action] = []
        for key, holder in keys:
            entry = self._entry(key, now)
            if entry is None:
                self._put(key, State.BARRED, holder, now)
            elif entry.state is State.CLAIMING and holder != self._member:
                self._claims.pop(key, None)
                self._inquests.pop(key, None)
                self._put(key, State.BARRED, holder, now)
                actions.append(Decide(key, Verdict.FETCH, holder))
            elif holder == member and entry.state is not State.STARTED:
                self._put(key, State.BARRED, holder, now)
        return actions

    def is_kept_by(self, takers: set[identifiers.MemberId]) -> bool:
        """Tell whether members that have this member's keys outlive one more loss."""
        others = set(self._epoch.members) - {self._member}
        taken = len(others & takers)
        return taken >= MIN_TAKERS and 2 * taken > len(others)

    # Messages.

    def handle(
        self, sender: identifiers.MemberId, message: messages.Message, now: float
    ) -> list[Action]:
        """Handle a message of another member."""
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
        if isinstance(message, messages.Clear):
            return self._handle_clear(sender, message, now)
        if isinstance(message, messages.Held):
            return self._handle_held(message, now)
        return self._handle_refused(message)

    def tick(self, now: float) -> list[Action]:
        """Give up waiting for members that stay silent, and forget old keys."""
        self._expire(now)
        actions: list[Action] = []
        for key, deadline in list(self._claims.items()):
            if now >= deadline:
                del self._claims[key]
                if self._is_claiming(key):
                    actions += self._ask_all(key, self._member, now)
        for key, inquest in list(self._inquests.items()):
            if now >= inquest.deadline:
                del self._inquests[key]
                actions += self._conclude(key, inquest, now)
        return actions

    def _handle_claim(
        self, sender: identifiers.MemberId, claim: messages.Claim, now: float
    ) -> list[Action]:
        key, number = claim.key, self._epoch.number
        if claim.epoch != number or self._member not in self._epoch.members:
            return [Send(sender, messages.Refused(key, claim.epoch, True))]
        entry = self._entry(key, now)
        if entry is not None and entry.state is not State.RELEASED:
            if entry.holder not in (sender, claim.released_by):
                return [Send(sender, messages.Held(key, number, entry.holder))]
            if entry.holder == self._member:
                return [Send(sender, messages.Held(key, number, self._member))]
        if self._is_leaving:
            return []
        is_granted = entry is not None and entry.state is State.HELD
        if not is_granted and self._needs_inquiry(now):
            released_by = claim.released_by
            if entry is not None and entry.state is State.RELEASED:
                self._put(key, State.BARRED, sender, now)
                released_by = self._member
            return self._ask_all(key, sender, now, released_by)
        self._put(key, State.HELD, sender, now)
        return [Send(sender, messages.Granted(key, number))]

    def _handle_inquiry(
        self, sender: identifiers.MemberId, inquiry: messages.Inquiry, now: float
    ) -> list[Action]:
        key, runner = inquiry.key, inquiry.runner
        entry = self._entry(key, now)
        is_free = entry is None or entry.state is State.RELEASED
        if entry is not None and not is_free and entry.holder != runner:
            is_own = entry.holder == self._member
            if is_own or entry.holder != inquiry.released_by:
                held = messages.Held(key, inquiry.epoch, entry.holder)
                return [Send(sender, held)]
            is_free = True
        if self._is_leaving:
            return []
        if is_free:
            self._put(key, State.BARRED, runner, now)
        return [Send(sender, messages.Clear(key, inquiry.epoch, runner))]

    def _handle_granted(self, key: messages.KeyDigest, now: float) -> list[Action]:
        self._claims.pop(key, None)
        return self._grant_self(key, now)

    def _handle_held(self, held: messages.Held, now: float) -> list[Action]:
        key = held.key
        inquest = self._inquests.get(key)
        if inquest is not None and held.holder != inquest.runner:
            del self._inquests[key]
            if inquest.runner != self._member:
                if held.holder != self._member:
                    self._put(key, State.BARRED, held.holder, now)
                answer = messages.Held(key, self._epoch.number, held.holder)
                return [Send(inquest.runner, answer)]
        elif key not in self._claims:
            return []
        self._claims.pop(key, None)
        if not self._is_claiming(key) or held.holder == self._member:
            return []
        self._put(key, State.BARRED, held.holder, now)
        return [Decide(key, Verdict.FETCH, held.holder)]

    def _handle_refused(self, refused: messages.Refused) -> list[Action]:
        if self._claims.pop(refused.key, None) is None:
            return []
        verdict = Verdict.RETRY if refused.is_stale else Verdict.UNKNOWN
        return self._give_up(refused.key, verdict)

    def _handle_clear(
        self, sender: identifiers.MemberId, clear: messages.Clear, now: float
    ) -> list[Action]:
        inquest = self._inquests.get(clear.key)
        if inquest is None or clear.runner != inquest.runner:
            return []
        if sender not in inquest.asked:
            return []
        inquest.cleared.add(sender)
        if any(map(self._is_reachable, inquest.asked - inquest.cleared)):
            return []
        del self._inquests[clear.key]
        return self._conclude(clear.key, inquest, now)

    # Inquests.

    def _ask_for_self(
        self,
        key: messages.KeyDigest,
        now: float,
        released_by: identifiers.MemberId | None,
    ) -> list[Action]:
        """Have another member bar a key whose registrar is this member."""
        if self._needs_inquiry(now) or len(self._epoch.members) == 1:
            return self._ask_all(key, self._member, now, released_by)
        witness = self._ranked(key)[1]
        return self._ask(key, self._member, {witness}, now, released_by, is_whole=False)

    def _ask_all(
        self,
        key: messages.KeyDigest,
        runner: identifiers.MemberId,
        now: float,
        released_by: identifiers.MemberId | None = None,
    ) -> list[Action]:
        if key in self._inquests:
            return []
        former = {m for m, until in self._former.items() if until > now}
        asked = (set(self._epoch.members) | former) - {self._member, runner}
        asked -= self._handed_over
        return self._ask(key, runner, asked, now, released_by, is_whole=True)

    def _ask(
        self,
        key: messages.KeyDigest,
        runner: identifiers.MemberId,
        asked: set[identifiers.MemberId],
        now: float,
        released_by: identifiers.MemberId | None,
        *,
        is_whole: bool,
    ) -> list[Action]:
        deadline = now + ANSWER_TIMEOUT_SECONDS
        inquest = _Inquest(
            runner, asked, deadline, is_whole, self._epoch.number, released_by
        )
        if not any(map(self._is_reachable, asked)):
            return self._conclude(key, inquest, now)
        self._inquests[key] = inquest
        message = messages.Inquiry(key, self._epoch.number, runner, released_by)
        return [Send(member, message) for member in sorted(asked)]

    def _conclude(
        self, key: messages.KeyDigest, inquest: _Inquest, now: float
    ) -> list[Action]:
        if self._is_leaving:
            return self._give_up(key, Verdict.NOT_RUN)
        silent = inquest.asked - inquest.cleared
        if not inquest.is_whole and (silent or inquest.epoch != self._epoch.number):
            return self._ask_all(key, inquest.runner, now, inquest.released_by)
        is_fresh = not inquest.is_whole or self._is_fresh(inquest, silent, now)
        if inquest.runner == self._member:
            if is_fresh:
                return self._grant_self(key, now)
            is_stale = inquest.epoch != self._epoch.number
            return self._give_up(key, Verdict.RETRY if is_stale else Verdict.UNKNOWN)
        if not is_fresh:
            is_stale = inquest.epoch != self._epoch.number
            refused = messages.Refused(key, self._epoch.number, is_stale)
            return [Send(inquest.runner, refused)]
        entry = self._entry(key, now)
        is_taken = entry is not None and entry.state is not State.RELEASED
        allowed = (inquest.runner, inquest.released_by)
        if entry is not None and is_taken and entry.holder not in allowed:
            held = messages.Held(key, self._epoch.number, entry.holder)
            return [Send(inquest.runner, held)]
        self._put(key, State.HELD, inquest.runner, now)
        return [Send(inquest.runner, messages.Granted(key, self._epoch.number))]

    def _is_fresh(
        self,
        inquest: _Inquest,
        silent: set[identifiers.MemberId],
        now: float,
    ) -> bool:
        if inquest.epoch != self._epoch.number:
            return False
        # Who has left has handed over what it knew, but learns of no new claim.
        informed = inquest.cleared | {self._member, inquest.runner}
        answered = sum(member in informed for member in self._epoch.members)
        allowed = 0 if now < self._alone_until else MAX_SILENT
        return len(silent) <= allowed and epoch.is_majority(answered, self._epoch)

    def _grant_self(self, key: messages.KeyDigest, now: float) -> list[Action]:
        if not self._is_claiming(key):
            return []
        if self._is_leaving:
            return self._give_up(key, Verdict.NOT_RUN)
        self._put(key, State.GRANTED, self._member, now)
        return [Decide(key, Verdict.START)]

    def _give_up(self, key: messages.KeyDigest, verdict: Verdict) -> list[Action]:
        if not self._is_claiming(key):
            return []
        self._entries[key].state = State.RELEASED
        return [Decide(key, verdict)]

    # Entries.

    def _is_reachable(self, member: identifiers.MemberId) -> bool:
        return self._reachable is None or member in self._reachable

    def _needs_inquiry(self, now: float) -> bool:
        return now - self._epoch_changed_at < self._lifetime

    def _is_claiming(self, key: messages.KeyDigest) -> bool:
        entry = self._entries.get(key)
        return entry is not None and entry.state is State.CLAIMING

    def _ranked(self, key: messages.KeyDigest) -> list[identifiers.MemberId]:
        return rendezvous.rank(key, sorted(self._epoch.members), int, lambda _: 1.0, 2)

    def _entry(self, key: messages.KeyDigest, now: float) -> _Entry | None:
        entry = self._entries.get(key)
        if entry is not None and entry.expires_at <= now:
            del self._entries[key]
            return None
        return entry

    def _put(
        self,
        key: messages.KeyDigest,
        state: State,
        holder: identifiers.MemberId,
        now: float,
    ) -> None:
        self._entries.pop(key, None)
        self._entries[key] = _Entry(state, holder, now + self._lifetime)

    def _expire(self, now: float) -> None:
        """Forget old keys; entries are ordered by their expiry."""
        while self._entries:
            key = next(iter(self._entries))
            if self._entries[key].expires_at > now:
                return
            del self._entries[key]
