"""How long flows of a route may be queued at an entry, and how many.

Made for the seconds after an outage, in which all callers return at once. A caller that
is refused tries again and gives up after a few attempts, all within less than a second.
Where the route's timeout leaves time for it, queueing each attempt for nearly as long
as its caller waits spreads them over seconds: some answers become late, and far fewer
callers get none.
"""

from __future__ import annotations

import typing

from cactushall_core.flows import packets, routes

# How often a caller usually opens a flow for one request.
CALLER_ATTEMPTS = 3
LONG_ROUTE_TIMEOUT_SECONDS = CALLER_ATTEMPTS * packets.OPENING_TIMEOUT_SECONDS


class QueueLimits(typing.NamedTuple):
    """Limits of queued flows.

    Attributes:
        timeout_seconds: How long a flow may be queued.
        flows_per_agent: How many flows may be queued for each agent of the service.
    """

    timeout_seconds: float
    flows_per_agent: float


DEFAULT = QueueLimits(timeout_seconds=0.15, flows_per_agent=0.5)
# The timeout leaves time for the answer before the caller gives the attempt up.
LONG_TIMEOUT = QueueLimits(timeout_seconds=1.2, flows_per_agent=1.0)


def limits_of(route: routes.Route) -> QueueLimits:
    """Return the limits of a route's queued flows.

    They are wider where the route's timeout covers all attempts of a caller that each
    take as long as an opening may take.
    """
    return (
        LONG_TIMEOUT if route.timeout_seconds >= LONG_ROUTE_TIMEOUT_SECONDS else DEFAULT
    )
