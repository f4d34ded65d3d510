"""Odd input that another writer leaves: entries of the store, and heartbeats."""

from __future__ import annotations

import json

from cactushall_rpc import store_keys
from tests.standins import packet_peers

NESTING = 100_000
DEEP_JSON = b"[" * NESTING + b"]" * NESTING
VALUES = {
    "deeply nested": b'{"x":' + DEEP_JSON + b"}",
    "number too large": b'{"x":' + b"9" * 400 + b"}",
    "integer too large": json.dumps({"slots": 10**30, "born": 10**30}).encode(),
    "port out of range": b"10.0.0.1:99999",
    "port too long": b"10.0.0.1:" + b"9" * 5000,
    "no text": b"\xff\xfe\x00",
    "address of another kind": b"[::1]:7720",
    "address of nobody": b"0.0.0.0:7720",
    "empty": b"",
}
KEYS = (
    "op/evacuate/nowhere",
    "op/other",
    store_keys.CONTACT_PREFIX.decode() + "attica-a/2",
    store_keys.LATEST_HOLDER_PREFIX.decode() + "attica-a/2",
)


def leave_in(store):
    """Write each odd value to each key of a store, one after the other."""
    for value in VALUES.values():
        for key in KEYS:
            store.put(key, value)


def make_heartbeats(service, address, other_service):
    """Return odd heartbeats, encoded.

    Args:
        service: Service of the backend server beside the agent that gets them.
        address: Its address, as text.
        other_service: Another service of the site.
    """
    complete = packet_peers.make_heartbeat(service, address, born=1)
    changes = (
        {"service": other_service},
        {"address": "10.0.0.1:1"},
        {"address": "10.0.0.1:99999"},
        {"slots": 10**30},
        {"seq_no": 10**30},
        {"born": 10**30},
        {"cold_left_ms": 1e308},
        {"state": "resting"},
        {"zone": None},
    )
    whole = [complete | change for change in changes]
    incomplete = [
        {name: value for name, value in complete.items() if name != lacking}
        for lacking in complete
    ]
    encoded = [json.dumps(heartbeat).encode() for heartbeat in whole + incomplete]
    deep = json.dumps(complete).encode()[:-1] + b', "deep": ' + DEEP_JSON + b"}"
    return [*encoded, deep, b"", b"[]", b"\xff"]
