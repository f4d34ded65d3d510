"""Placement of flows on the endpoints of one service, by measured load.

New flows are placed by the power of two choices: Mitzenmacher, "The Power of Two
Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001.

Utilization is the share of its connection limit that an endpoint uses. Margins and
changes are shares of the value that they are compared with.
"""

from __future__ import annotations

import dataclasses
import math
import random
import statistics

from cactushall_core import identifiers, peering, rendezvous

REPORT_INTERVAL_SECONDS = 1.0
MIN_REPORT_INTERVAL_SECONDS = 0.1
MIN_REPORTED_CHANGE = 0.02
REPORT_TTL_SECONDS = 5.0
FULL_PEER_BACKOFF_SECONDS = 1.0
REDIRECT_MARGIN = 0.01
MAX_REDIRECTS = 4096
REBALANCE_MARGIN = 0.04
MIN_EXCESS_FLOWS = 1.0
REBALANCE_BATCH = 32
MIN_REBALANCED_FLOWS = 8
MIN_WEIGHT = 0.1
FULL_WEIGHT_SPEED_RATIO = 0.7
ZONE_SPILLOVER_UTILIZATION = 0.8


@dataclasses.dataclass
class _Peer:
    report: peering.LoadReport
    received_at: float
    reserved_flows: int = 0
    full_until: float = 0.0

    @property
    def flows(self) -> int:
        """Flows as last reported, and those reserved for the peer since."""
        return self.report.flows + self.reserved_flows

    @property
    def utilization(self) -> float:
        """Open and reserved flows as a share of the connection limit."""
        return self.flows / max(1, self.report.connection_limit)


class Placement:
    """Decides where flows go, by the load that the peers have reported."""

    def __init__(self, home: identifiers.HomeId, rng: random.Random) -> None:
        """Start without peers.

        Args:
            home: The endpoint's own home id.
            rng: Source of random choices.
        """
        self._home = home
        self._rng = rng
        self._peers: dict[identifiers.HomeId, _Peer] = {}
        self._eligible: set[identifiers.HomeId] = set()
        self._local_peers: set[identifiers.HomeId] | None = None
        self._own_service_seconds = 0.0
        self._redirects: dict[bytes, identifiers.HomeId] = {}
        self._reported: peering.LoadReport | None = None
        self._reported_at = float("-inf")

    @property
    def peers(self) -> list[identifiers.HomeId]:
        """Peers that are alive and take new flows."""
        return sorted(self._eligible)

    def set_eligible(self, homes: set[identifiers.HomeId]) -> None:
        """Set which peers are alive and take new flows; forget the others' load."""
        self._eligible = homes - {self._home}
        for home in self._peers.keys() - homes:
            del self._peers[home]

    def set_local_peers(self, homes: set[identifiers.HomeId] | None) -> None:
        """Set the peers of the endpoint's own zone; None where no zone is preferred."""
        self._local_peers = homes

    def record_report(self, report: peering.LoadReport, now: float) -> None:
        """Store a peer's load report, which replaces the reservations made so far."""
        full_until = 0.0
        if (previous := self._peers.get(report.home)) is not None:
            full_until = previous.full_until
        self._peers[report.home] = _Peer(report, now, full_until=full_until)

    def mark_full(self, home: identifiers.HomeId, now: float) -> None:
        """Exclude a peer for a while that has refused a flow for lack of capacity."""
        if (peer := self._peers.get(home)) is not None:
            peer.full_until = now + FULL_PEER_BACKOFF_SECONDS

    def is_report_due(self, report: peering.LoadReport, now: float) -> bool:
        """Return whether to send peers a load report now; if so, count it as sent."""
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
        return change > max(1.0, MIN_REPORTED_CHANGE * old.flows)

    # New flows.

    def place(
        self, cid: bytes, own: peering.LoadReport, now: float
    ) -> identifiers.HomeId:
        """Decide which endpoint gets a flow whose first packet has arrived here.

        Args:
            cid: Connection id that the caller chose.
            own: The endpoint's own load.
            now: Current time in seconds.

        Returns:
            The endpoint's own home, or that of the second choice where it has clearly
            fewer flows for its capacity. A repeated first packet is redirected to the
            same endpoint as long as that is eligible.
        """
        self._own_service_seconds = own.service_seconds
        if (earlier := self._redirects.get(cid)) in self._eligible:
            assert earlier is not None
            return earlier
        second = self._second_choice(cid)
        if second is None or not self._should_redirect(second, own, now):
            return self._home
        second.reserved_flows += 1
        self._redirects[cid] = second.report.home
        if len(self._redirects) > MAX_REDIRECTS:
            del self._redirects[next(iter(self._redirects))]
        return second.report.home

    def _second_choice(self, cid: bytes) -> _Peer | None:
        homes = [*self._eligible, self._home]
        ranked = rendezvous.rank(cid, sorted(homes), int, lambda _: 1.0, 2)
        others = [home for home in ranked if home != self._home]
        return self._peers.get(others[0]) if others else None

    def _should_redirect(
        self, peer: _Peer, own: peering.LoadReport, now: float
    ) -> bool:
        if not self._has_capacity(peer, now):
            return False
        if own.is_draining:
            return True
        if not self._is_zone_allowed(peer, own):
            return False
        own_utilization = own.flows / max(1, own.connection_limit) / self._weight(own)
        peer_utilization = peer.utilization / self._weight(peer.report)
        margin = max(
            REDIRECT_MARGIN * own_utilization, 1 / max(1, own.connection_limit)
        )
        return peer_utilization + margin < own_utilization

    def _has_capacity(self, peer: _Peer, now: float) -> bool:
        return (
            now - peer.received_at < REPORT_TTL_SECONDS
            and now >= peer.full_until
            and not peer.report.is_draining
            and peer.flows < peer.report.connection_limit
        )

    def _weight(self, report: peering.LoadReport) -> float:
        """Return the weight of an endpoint's capacity, below 1 for slow servers."""
        reported = [p.report.service_seconds for p in self._peers.values()]
        reported.append(self._own_service_seconds)
        measured = [seconds for seconds in reported if seconds > 0]
        if not measured or report.service_seconds <= 0:
            return 1.0
        ratio = statistics.median(measured) / report.service_seconds
        return 1.0 if ratio >= FULL_WEIGHT_SPEED_RATIO else max(MIN_WEIGHT, ratio)

    def _is_zone_allowed(self, peer: _Peer, own: peering.LoadReport) -> bool:
        """Return whether the peer is in the own zone, or flows may leave that zone."""
        if self._local_peers is None or peer.report.home in self._local_peers:
            return True
        return own.flows >= ZONE_SPILLOVER_UTILIZATION * own.connection_limit

    # Open flows, which move for a drain or for balance.

    def reserve_receiver(self, now: float) -> identifiers.HomeId | None:
        """Reserve capacity for an open flow at the less utilized of two random peers.

        Peers of the endpoint's own zone come first while they have spare capacity.
        The flow counts as the peer's until its next report, unless it is released.

        Returns:
            A peer, or None where no peer has capacity.
        """
        candidates = [
            peer
            for home in self.peers
            if (peer := self._peers.get(home)) is not None
            and self._has_capacity(peer, now)
        ]
        local = [
            p
            for p in candidates
            if self._local_peers and p.report.home in self._local_peers
        ]
        candidates = [
            peer for peer in local if peer.utilization < ZONE_SPILLOVER_UTILIZATION
        ] or candidates
        if not candidates:
            return None
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        best = min(sampled, key=lambda peer: peer.utilization)
        best.reserved_flows += 1
        return best.report.home

    def release_reservation(self, home: identifiers.HomeId) -> None:
        """Release the reservation of a flow that did not move to the chosen peer."""
        if (peer := self._peers.get(home)) is not None and peer.reserved_flows > 0:
            peer.reserved_flows -= 1

    def excess_flows(self, own: peering.LoadReport, now: float) -> int:
        """Return how many open flows above its fair share to move away now.

        Within a margin of the fair share nothing moves, so that flows do not oscillate
        between endpoints.
        """
        self._own_service_seconds = own.service_seconds
        fresh = [
            p for p in self._peers.values() if now - p.received_at < REPORT_TTL_SECONDS
        ]
        candidates = [
            peer
            for peer in fresh
            if self._has_capacity(peer, now) and self._is_zone_allowed(peer, own)
        ]
        if not candidates or own.is_draining:
            return 0
        flows = own.flows + sum(peer.flows for peer in candidates)
        own_weight = own.connection_limit * self._weight(own)
        total_weight = own_weight + sum(
            peer.report.connection_limit * self._weight(peer.report)
            for peer in candidates
        )
        fair_share = flows * own_weight / max(1.0, total_weight)
        excess = own.flows - fair_share
        margin = max(MIN_EXCESS_FLOWS, fair_share * REBALANCE_MARGIN)
        if own.flows < MIN_REBALANCED_FLOWS or excess <= margin:
            return 0
        return min(REBALANCE_BATCH, math.ceil(excess / 2))

    def reserve_least_utilized(
        self, own: peering.LoadReport, now: float
    ) -> identifiers.HomeId | None:
        """Reserve capacity for an open flow at the peer with the lowest utilization.

        A slow server counts with a smaller capacity.

        Returns:
            The peer, or None where no peer has capacity.
        """
        candidates = [
            peer
            for peer in self._peers.values()
            if self._has_capacity(peer, now) and self._is_zone_allowed(peer, own)
        ]
        if not candidates:
            return None
        best = min(
            candidates, key=lambda peer: peer.utilization / self._weight(peer.report)
        )
        best.reserved_flows += 1
        return best.report.home
