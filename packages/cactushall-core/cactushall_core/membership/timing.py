"""Intervals and byte budget of the membership protocol."""

from __future__ import annotations

import msgspec


class Timing(msgspec.Struct, frozen=True):
    """Intervals and byte budget of the protocol.

    Attributes:
        probe_interval: Seconds between probes, and until a probe without an answer
            makes its target suspect.
        probe_timeout: Seconds until a probe without an answer is repeated through
            other members.
        suspicion_factor: Suspicion timeout in probe intervals, for a small fleet; it
            grows with the logarithm of the number of members.
        gossip_interval: Seconds between rounds of gossip.
        digest_interval: Seconds between digests sent for anti-entropy.
        dead_probe_interval: Seconds between probes of members believed to be dead.
        bytes_per_second: Rate at which the byte budget is refilled.
        burst_bytes: Maximum of the byte budget.
    """

    probe_interval: float = 1.0
    probe_timeout: float = 0.3
    suspicion_factor: float = 2.0
    gossip_interval: float = 0.2
    digest_interval: float = 10.0
    dead_probe_interval: float = 10.0
    bytes_per_second: float = 3000.0
    burst_bytes: float = 12000.0
