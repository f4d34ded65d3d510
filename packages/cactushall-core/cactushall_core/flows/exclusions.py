"""Why an agent does not get a new flow of a service."""

from __future__ import annotations

import enum


class Exclusion(enum.Enum):
    """Why an agent does not get a new flow.

    NOT_ALIVE: It is suspected, dead or has left, according to the membership protocol.
    NO_SERVER: It announces no backend server of the service.
    DRAINING: It announces that its backend server takes no new flows.
    EVACUATED: Its availability zone is evacuated.
    LEFT_OUT: The entry leaves it out for another reason.
    BACKING_OFF: It has just declined a flow for lack of capacity.
    COLD: Its cold backend server has no allowance left.
    FULL: Its backend server is unlikely to answer one more request in time.
    """

    NOT_ALIVE = "not-alive"
    NO_SERVER = "no-server"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    LEFT_OUT = "left-out"
    BACKING_OFF = "backing-off"
    COLD = "cold"
    FULL = "full"
