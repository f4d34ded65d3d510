"""Catalogue of log events; `docs/user/log-events.md` explains each one."""

from __future__ import annotations

import enum


class Event(enum.Enum):
    """A log event: its number and its text."""

    STARTED = (1001, "process started")
    STOPPING = (1002, "graceful shutdown started")
    STOPPED = (1003, "process stopped")
    BIND_FAILED = (1004, "cannot bind a socket")
    TASK_FAILED = (1005, "background task failed")
    SETTINGS_RELOADED = (1006, "settings reloaded")
    SETTINGS_REFUSED = (1007, "changed settings refused")
    PAUSED = (1008, "process was paused")
    TRAFFIC = (1009, "bytes sent and received")
    CALLBACK_FAILED = (1010, "callback of the event loop failed")
    MEMBER_CHANGED = (1101, "member changed")
    GOSSIP_REJECTED = (1104, "gossip datagram rejected")
    CONTACT_CLAIMED = (1105, "became a contact point")
    CONTACT_LOST = (1106, "lost the contact point slot")
    TABLE_COMPLETE = (1107, "table of members is complete")
    TABLE_INCOMPLETE = (1108, "table of members may be incomplete")
    TABLE_REQUEST_FAILED = (1109, "member did not answer a request for its table")
    STORE_UNAVAILABLE = (1201, "store unavailable")
    STORE_AVAILABLE = (1202, "store available again")
    STORE_ENTRY_REFUSED = (1203, "store entry cannot be read")
    STORE_CONNECTION_LOST = (1204, "connection to the store has gone silent")
    CONFIGURATION_ADOPTED = (1301, "service configuration adopted")
    CONFIGURATION_REFUSED = (1302, "service configuration refused")
    CONFIGURATION_FETCH_FAILED = (1303, "cannot fetch service configuration from peer")
    CONFIGURATION_FIELD_REFUSED = (1304, "field of service configuration refused")
    ZONE_EVACUATED = (1401, "availability zone evacuated")
    ZONE_RETURNED = (1402, "availability zone returned to service")
    EVACUATION_KEY_SUSPECT = (1403, "evacuation key may be wrong")
    SERVICE_BOUND = (2001, "service address bound")
    SERVICE_UNBOUND = (2002, "service address released")
    SEND_FAILED = (2003, "datagram not sent")
    DATAGRAM_FAILED = (2004, "datagram handling failed")
    MESSAGE_REJECTED = (2005, "message between nodes rejected")
    PACKET_DROPPED = (2006, "packet dropped")
    FLOW_PLACED = (2102, "new flow placed")
    FLOW_ACCEPTED = (2103, "new flow accepted")
    FLOW_DECLINED = (2104, "new flow declined")
    FLOW_LOOKUP_ANSWERED = (2105, "flow lookup answered")
    FLOW_RESET_BY_SERVER = (2106, "flow reset by its backend server")
    FLOW_LOOKUP_STARTED = (2107, "flow lookup started")
    FLOW_OWNER_FOUND = (2108, "flow owner found")
    FLOW_RETRY_WITHHELD = (2109, "retry at another agent withheld")
    FLOW_HEDGED = (2110, "flow offered to a second agent")
    FLOW_RESET = (2101, "flow reset")
    SERVER_CHANGED = (2201, "backend server changed its state")
    SERVER_UNRESPONSIVE = (2202, "backend server unresponsive")
    ANNOUNCEMENT_REFUSED = (2203, "announcement refused")
    HEALTH_CHECK_FAILED = (2204, "health check failed")
    SERVER_COLD_CHANGED = (2205, "limit of cold backend server began or ended")
    SERVER_STARTED = (2206, "start of a backend server announced")
    ANNOUNCEMENT_IGNORED = (2207, "announcement of another start ignored")
    FLOWS_KNOWN = (2208, "all flows of the backend server known")
    FLOW_OPENED = (3001, "flow opened")
    FLOW_CLOSED = (3002, "flow closed")
    REQUEST_REFUSED = (3101, "request refused")
    REQUEST_UNKNOWN = (3102, "request outcome unknown")
    REQUEST_FAILED = (3103, "request handling failed")
    MOVE_UNANSWERED = (3004, "flow move not answered by peer")
    MOVE_REFUSED = (3005, "flow move refused by peer")
    EPOCH_ADOPTED = (3111, "epoch adopted")
    EPOCH_REFUSED = (3112, "stored epoch refused")
    DRAIN_STARTED = (3201, "drain started")
    DRAIN_COMPLETED = (3202, "drain completed")
    DRAIN_WAITING = (3203, "drain waiting for capacity")
    DRAIN_TIMED_OUT = (3204, "drain timed out")
    DRAIN_CANCELLED = (3205, "drain cancelled")

    @property
    def number(self) -> int:
        """The event's number."""
        return self.value[0]

    @property
    def text(self) -> str:
        """The event's text."""
        return self.value[1]
