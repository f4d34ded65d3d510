"""Ledgers with one part of the rule taken out, to show that the tests notice."""

from __future__ import annotations

from cactushall_core.once import ledger


class WithoutWitness(ledger.Ledger):
    """A runner that is its own registrar tells nobody."""

    def _ask_for_self(self, key, now, released_by):
        if self._needs_inquiry(now):
            return self._ask_all(key, self._member, now, released_by)
        return self._grant_self(key, now)


class WithoutQuorum(ledger.Ledger):
    """Members start keys without being vouched for."""

    def has_quorum(self, now):
        return self._member in self._epoch.members


class WithoutInquiry(ledger.Ledger):
    """A registrar takes keys that it does not know for fresh."""

    def _needs_inquiry(self, now):
        return False


class WithoutMajority(ledger.Ledger):
    """Any number of members may stay silent."""

    def _is_fresh(self, inquest, silent, now):
        return True


class WithoutBar(ledger.Ledger):
    """A member that is asked about a key does not bar it for others."""

    def _handle_inquiry(self, sender, inquiry, now):
        actions = super()._handle_inquiry(sender, inquiry, now)
        entry = self._entries.get(inquiry.key)
        if entry is not None and entry.holder == inquiry.runner:
            del self._entries[inquiry.key]
        return actions


class WithoutFormer(ledger.Ledger):
    """Members that were removed lately do not count as silent."""

    def adopt(self, adopted, now, wall_now):
        super().adopt(adopted, now, wall_now)
        self._former.clear()


class WithoutAlone(ledger.Ledger):
    """A time with a single member is forgotten."""

    def adopt(self, adopted, now, wall_now):
        super().adopt(adopted, now, wall_now)
        self._alone_until = 0.0


class WithoutStamps(ledger.Ledger):
    """Old heartbeats that are read after a pause count as new."""

    def vouch(self, member, number, stamp):
        super().vouch(member, number, float("inf"))


ALL = (
    WithoutWitness,
    WithoutQuorum,
    WithoutInquiry,
    WithoutMajority,
    WithoutBar,
    WithoutFormer,
    WithoutAlone,
    WithoutStamps,
)
