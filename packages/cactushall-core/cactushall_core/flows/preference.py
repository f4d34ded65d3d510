"""Order of agents for a flow, which is the same at all entries and after any restart.

Agents are drawn for a new flow in this order, so that the owner of a flow that nobody
remembers is most likely among its first ones. Agents that appear or are gone do not
change the order of the others.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from __future__ import annotations

import collections.abc
import hashlib
import typing

from cactushall_core import identifiers
from cactushall_core.flows import directory, packets

# Two choices avoid busy agents; more make entries agree on the same agents again.
# Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
# Transactions on Parallel and Distributed Systems 12(10), 2001.
CHOICES = 2

_SEED_BYTES = 8
_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
_HALF_BITS = 32

Order = collections.abc.Callable[
    [typing.Iterable[directory.Agent]], list[directory.Agent]
]


def order_of(flow_id: packets.FlowId) -> Order:
    """Return the function that sorts agents in the order of a flow."""
    digest = hashlib.blake2b(flow_id.encode(), digest_size=_SEED_BYTES).digest()
    key = int.from_bytes(digest, "big")

    def weight(agent: directory.Agent) -> int:
        mixed = (agent.seed ^ key) * _MULTIPLIER & _MASK
        return (mixed ^ mixed >> _HALF_BITS) * _MULTIPLIER & _MASK

    def order(agents: typing.Iterable[directory.Agent]) -> list[directory.Agent]:
        return sorted(agents, key=weight)

    return order


def likely_owners(
    agents: typing.Iterable[directory.Agent],
    zone: identifiers.ZoneName,
    order: Order,
) -> list[directory.Agent]:
    """Return the agents among which a flow was probably placed, the likeliest first.

    Args:
        agents: Agents that may own it.
        zone: Availability zone of its caller.
        order: The order of the flow.
    """
    near: list[directory.Agent] = []
    far: list[directory.Agent] = []
    for agent in agents:
        (near if agent.member.zone == zone else far).append(agent)
    return order(near)[:CHOICES] + order(far)[:CHOICES]
