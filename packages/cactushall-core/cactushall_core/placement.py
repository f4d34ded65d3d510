"""Placement of flows on the endpoints of one service, by true load.

The power of two choices: Mitzenmacher, "The Power of Two Choices in Randomized Load
Balancing", IEEE TPDS 12(10), 2001.
"""

from __future__ import annotations

import dataclasses
import math
import random
import statistics

from cactushall_core import identifiers, peering, rendezvous

REPORT_INTERVAL_SECONDS = 1.0
MIN_REPORT_INTERVAL_SECONDS = 0.1
REPORT_CHANGE = 0.02
STALE_SECONDS = 5.0
FULL_SECONDS = 1.0
HAND_MARGIN = 0.01
MAX_HANDED = 4096
REBALANCE_MARGIN = 0.04
MIN_EXCESS_FLOWS = 1.0
REBALANCE_BATCH = 32
MIN_REBALANCED_FLOWS = 8
MIN_WEIGHT = 0.1
SIMILAR_WEIGHT = 0.7
SPARE_FILL = 0.8


@dataclasses.dataclass
class _Peer:
    report: peering.LoadReport
    heard_at: float
    added: int = 0
    full_until: float = 0.0

    @property
    def flows(self) -> int:
        """Flows as last reported, with those handed over since."""
        return self.report.flows + self.added

    @property
    def fill(self) -> float:
        """Share of the connection limit in use."""
        return self.flows / max(1, self.report.connection_limit)


class Placement:
    """What one endpoint knows of its peers' load."""

    def __init__(self, home: identifiers.HomeId, rng: random.Random) -> None:
        """Know nobody yet.

        Args:
            home: The endpoint's own home id.
            rng: Source of random choices.
        """
        self._home = home
        self._rng = rng
        self._peers: dict[identifiers.HomeId, _Peer] = {}
        self._eligible: set[identifiers.HomeId] = set()
        self._near: set[identifiers.HomeId] | None = None
        self._own_seconds = 0.0
        self._handed: dict[bytes, identifiers.HomeId] = {}
        self._reported: peering.LoadReport | None = None
        self._reported_at = float("-inf")

    @property
    def peers(self) -> list[identifiers.HomeId]:
        """Peers that take part now."""
        return sorted(self._eligible)

    def set_eligible(self, homes: set[identifiers.HomeId]) -> None:
        """Note which peers are alive and take new flows."""
        self._eligible = homes - {self._home}
        for home in self._peers.keys() - homes:
            del self._peers[home]

    def set_near(self, homes: set[identifiers.HomeId] | None) -> None:
        """Note the peers of the own zone; None where no zone is preferred."""
        self._near = homes

    def hear(self, report: peering.LoadReport, now: float) -> None:
        """Take in a peer's load."""
        full_until = 0.0
        if (known := self._peers.get(report.home)) is not None:
            full_until = known.full_until
        self._peers[report.home] = _Peer(report, now, full_until=full_until)

    def note_full(self, home: identifiers.HomeId, now: float) -> None:
        """Note that a peer has refused a flow."""
        if (peer := self._peers.get(home)) is not None:
            peer.full_until = now + FULL_SECONDS

    def is_report_due(self, report: peering.LoadReport, now: float) -> bool:
        """Tell whether peers should hear of the own load, and if so note it."""
        age = now - self._reported_at
        if age < MIN_REPORT_INTERVAL_SECONDS:
            return False
        if age < REPORT_INTERVAL_SECONDS and not self._has_changed(report):
            return False
        self._reported = report
        self._reported_at = now
        return True

    def _has_changed(self, report: peering.LoadReport) -> bool:
        old = self._reported
        if old is None or old.is_draining != report.is_draining:
            return True
        change = abs(report.flows - old.flows)
        return change > max(1.0, REPORT_CHANGE * old.flows)

    # New flows.

    def place(
        self, cid: bytes, own: peering.LoadReport, now: float
    ) -> identifiers.HomeId:
        """Decide who keeps a flow whose first packet has arrived here.

        Args:
            cid: Connection id that the caller chose.
            own: The endpoint's own load.
            now: Present time in seconds.

        Returns:
            The own home, or that of the second choice where it has clearly fewer
            flows for its capacity.
        """
        self._own_seconds = own.service_seconds
        if (handed := self._handed.get(cid)) in self._eligible:
            assert handed is not None
            return handed
        second = self._second_choice(cid)
        if second is None or not self._is_better(second, own, now):
            return self._home
        second.added += 1
        self._handed[cid] = second.report.home
        if len(self._handed) > MAX_HANDED:
            del self._handed[next(iter(self._handed))]
        return second.report.home

    def _second_choice(self, cid: bytes) -> _Peer | None:
        homes = [*self._eligible, self._home]
        ranked = rendezvous.rank(cid, sorted(homes), int, lambda _: 1.0, 2)
        others = [home for home in ranked if home != self._home]
        return self._peers.get(others[0]) if others else None

    def _is_better(self, peer: _Peer, own: peering.LoadReport, now: float) -> bool:
        if not self._has_room(peer, now):
            return False
        if own.is_draining:
            return True
        if not self._is_allowed(peer, own):
            return False
        own_fill = own.flows / max(1, own.connection_limit) / self._weight(own)
        peer_fill = peer.fill / self._weight(peer.report)
        margin = max(HAND_MARGIN * own_fill, 1 / max(1, own.connection_limit))
        return peer_fill + margin < own_fill

    def _has_room(self, peer: _Peer, now: float) -> bool:
        return (
            now - peer.heard_at < STALE_SECONDS
            and now >= peer.full_until
            and not peer.report.is_draining
            and peer.flows < peer.report.connection_limit
        )

    def _weight(self, report: peering.LoadReport) -> float:
        """Return the share of flows a server gets while it is slower than others."""
        known = [p.report.service_seconds for p in self._peers.values()]
        known.append(self._own_seconds)
        measured = [seconds for seconds in known if seconds > 0]
        if not measured or report.service_seconds <= 0:
            return 1.0
        ratio = statistics.median(measured) / report.service_seconds
        return 1.0 if ratio >= SIMILAR_WEIGHT else max(MIN_WEIGHT, ratio)

    def _is_allowed(self, peer: _Peer, own: peering.LoadReport) -> bool:
        """Tell whether flows may go there while the own zone has spare capacity."""
        if self._near is None or peer.report.home in self._near:
            return True
        return own.flows >= SPARE_FILL * own.connection_limit

    # Moves of open flows.

    def receiver(self, now: float) -> identifiers.HomeId | None:
        """Return the better one of two random peers with room for an open flow.

        The flow counts as the peer's from now on, unless it is released.

        Returns:
            A peer, or None where no peer has room.
        """
        roomy = [
            peer
            for home in self.peers
            if (peer := self._peers.get(home)) is not None and self._has_room(peer, now)
        ]
        near = [p for p in roomy if self._near and p.report.home in self._near]
        roomy = [peer for peer in near if peer.fill < SPARE_FILL] or roomy
        if not roomy:
            return None
        sampled = self._rng.sample(roomy, min(2, len(roomy)))
        best = min(sampled, key=lambda peer: peer.fill)
        best.added += 1
        return best.report.home

    def release(self, home: identifiers.HomeId) -> None:
        """Note that a flow did not move to the peer that was chosen for it."""
        if (peer := self._peers.get(home)) is not None and peer.added > 0:
            peer.added -= 1

    def surplus(self, own: peering.LoadReport, now: float) -> int:
        """Return how many open flows to move away for balance now.

        Nothing moves within a margin of the mean, so that flows do not move to and
        fro.
        """
        self._own_seconds = own.service_seconds
        fresh = [p for p in self._peers.values() if now - p.heard_at < STALE_SECONDS]
        roomy = [
            peer
            for peer in fresh
            if self._has_room(peer, now) and self._is_allowed(peer, own)
        ]
        if not roomy or own.is_draining:
            return 0
        flows = own.flows + sum(peer.flows for peer in roomy)
        own_share = own.connection_limit * self._weight(own)
        shares = own_share + sum(
            peer.report.connection_limit * self._weight(peer.report) for peer in roomy
        )
        fair = flows * own_share / max(1.0, shares)
        excess = own.flows - fair
        margin = max(MIN_EXCESS_FLOWS, fair * REBALANCE_MARGIN)
        if own.flows < MIN_REBALANCED_FLOWS or excess <= margin:
            return 0
        return min(REBALANCE_BATCH, math.ceil(excess / 2))

    def emptiest(
        self, own: peering.LoadReport, now: float
    ) -> identifiers.HomeId | None:
        """Return the peer with the smallest share of its capacity in use."""
        roomy = [
            peer
            for peer in self._peers.values()
            if self._has_room(peer, now) and self._is_allowed(peer, own)
        ]
        if not roomy:
            return None
        best = min(roomy, key=lambda peer: peer.fill / self._weight(peer.report))
        best.added += 1
        return best.report.home
