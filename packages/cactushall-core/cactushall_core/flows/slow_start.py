"""Increases the load of availability zones that return to service step by step.

The policy is made for a zone whose backend servers all return at once, possibly cold,
while all entries prefer idle servers: without it, they would get a burst of new flows.
"""

from __future__ import annotations

import random
import typing

from cactushall_core import identifiers
from cactushall_core.flows import directory

STEP_SECONDS = 1.0
STEPS = 8


class SlowStart:
    """Holds the agents of returning zones back from a decreasing share of flows.

    A flow for which no other agent has capacity goes to them nevertheless.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without returning zones.

        Args:
            rng: Chooses the flows from which a zone is held back.
        """
        self._rng = rng
        self._returned_at: dict[identifiers.ZoneName, float] = {}
        self._shares: dict[identifiers.ZoneName, float] = {}

    def start(
        self, returned: typing.Iterable[identifiers.ZoneName], now: float
    ) -> None:
        """Record which zones have returned to service."""
        for zone in returned:
            self._returned_at[zone] = now
        self.tick(now)

    def tick(self, now: float) -> None:
        """Increase the shares of flows from which zones are not held back."""
        if not self._returned_at and not self._shares:
            return
        self._returned_at = {
            zone: at
            for zone, at in self._returned_at.items()
            if now - at < STEPS * STEP_SECONDS
        }
        self._shares = {
            zone: admitted_share(now - at) for zone, at in self._returned_at.items()
        }

    def hold_back(self, agents: typing.Iterable[directory.Agent]) -> None:
        """Choose for the next flow which of some agents are held back from it.

        One choice for each zone: choices for each agent would leave one that is not
        held back nearly always.
        """
        if not self._shares:
            return
        held_back_until = {
            zone: self._returned_at[zone] + STEPS * STEP_SECONDS
            for zone, share in self._shares.items()
            if self._rng.random() >= share
        }
        for agent in agents:
            until = held_back_until.get(agent.member.zone, float("-inf"))
            agent.held_back_until = until


def admitted_share(age_seconds: float) -> float:
    """Return the share of flows for which a zone's agents count like all others.

    Args:
        age_seconds: Time since the zone returned to service.
    """
    steps = int(age_seconds / STEP_SECONDS) + 1
    return min(1.0, steps / (STEPS + 1))
