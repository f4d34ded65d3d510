"""Key registries without one part of the at-most-once rule, which tests detect."""

from __future__ import annotations

from cactushall_core.once import key_registry


class WithoutBackup(key_registry.KeyRegistry):
    """A runner that is itself the coordinator does not ask its backup."""

    def _claim_for_self(self, key, now, released_by):
        if self._is_epoch_recent(now):
            return self._inquire_all(key, self._member, now, released_by)
        return self._grant_locally(key, now)


class WithoutQuorum(key_registry.KeyRegistry):
    """Members start keys without recent heartbeats from a quorum."""

    def has_quorum(self, now):
        return self._member in self._epoch.members


class WithoutInquiry(key_registry.KeyRegistry):
    """A coordinator always treats keys that it does not know as new."""

    def _is_epoch_recent(self, now):
        return False


class WithoutMajority(key_registry.KeyRegistry):
    """Any number of members may leave an inquiry unanswered."""

    def _is_new(self, pending, unanswered, now):
        return True


class WithoutReservation(key_registry.KeyRegistry):
    """A member that answers an inquiry does not reserve the key."""

    def _handle_inquiry(self, sender, inquiry, now):
        actions = super()._handle_inquiry(sender, inquiry, now)
        entry = self._entries.get(inquiry.key)
        if entry is not None and entry.holder == inquiry.runner:
            del self._entries[inquiry.key]
        return actions


class WithoutFormerMembers(key_registry.KeyRegistry):
    """Members that were removed recently need not answer inquiries."""

    def adopt(self, adopted, now, wall_now):
        super().adopt(adopted, now, wall_now)
        self._former_until.clear()


class WithoutSoleMemberCheck(key_registry.KeyRegistry):
    """Keys that ran while there was one member are ignored."""

    def adopt(self, adopted, now, wall_now):
        super().adopt(adopted, now, wall_now)
        self._all_required_until = 0.0


class WithoutSendTimes(key_registry.KeyRegistry):
    """Old heartbeats that are read after a pause count as recent."""

    def record_heartbeat(self, member, number, sent_at):
        super().record_heartbeat(member, number, float("inf"))


ALL = (
    WithoutBackup,
    WithoutQuorum,
    WithoutInquiry,
    WithoutMajority,
    WithoutReservation,
    WithoutFormerMembers,
    WithoutSoleMemberCheck,
    WithoutSendTimes,
)
