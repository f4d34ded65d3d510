"""Cost of a start on the packet transport: processor time, memory, modules.

python -m bench.start
"""

from __future__ import annotations

import json
import pathlib
import statistics
import tempfile

from bench import results
from tests.standins import python_path

RUNS = 9
TARGET_MILLISECONDS = 150.0
TARGET_MEGABYTES = 25.0
COMMON_OPTIONS = {
    "transport": "packets",
    "node": "node",
    "zone": "a",
    "address": "127.0.0.1",
    "gossip_port": 7720,
    "peer_port": 7735,
    "packet_address": "127.0.0.1:8172",
    "readiness_address": "127.0.0.1:8167",
    "store": "127.0.0.1:8169",
    "keys": ["ab" * 32],
}
ENTRY_OPTIONS = {"grace_seconds": 6}
AGENT_OPTIONS = {
    "service": "board",
    "server": "127.0.0.1:8165",
    "from_server": "127.0.0.1:8162",
    "announcements": "127.0.0.1:8166",
    "heartbeat_milliseconds": 1200,
}
MEASURE = """
import resource, sys
usage = resource.getrusage(resource.RUSAGE_SELF)
print(usage.ru_utime + usage.ru_stime, usage.ru_maxrss, len(sys.modules))
"""
BARE = "import asyncio" + MEASURE
DAEMON = """
import runpy, sys
sys.argv = ["cactushalld", "{role}", "--config", "{path}", "--check"]
try:
    runpy.run_module("cactushall_daemon", run_name="__main__")
except SystemExit:
    pass
"""


def measure(program: str) -> tuple[float, float, float]:
    """Return processor milliseconds, megabytes and modules, the middle of some runs."""
    found = []
    for _ in range(RUNS):
        output = python_path.run(program).split()
        found.append([float(word) for word in output[-3:]])
    seconds, kilobytes, modules = map(statistics.median, zip(*found, strict=True))
    return seconds * 1000, kilobytes / 1024, modules


def settings_of(role: str, folder: pathlib.Path) -> pathlib.Path:
    """Write settings of a role and return the file."""
    own = {"entry": ENTRY_OPTIONS, "agent": AGENT_OPTIONS}[role]
    path = folder / f"{role}.yaml"
    path.write_text(json.dumps(COMMON_OPTIONS | own))
    return path


def main() -> None:
    """Measure both roles and a bare event loop."""
    with tempfile.TemporaryDirectory() as folder:
        programs = {"asyncio alone": BARE}
        for role in ("entry", "agent"):
            path = settings_of(role, pathlib.Path(folder))
            programs[role] = DAEMON.format(role=role, path=path) + MEASURE
        figures = []
        for name, program in programs.items():
            milliseconds, megabytes, modules = measure(program)
            figures += [
                results.Figure(
                    f"{name}: start", milliseconds, "ms", TARGET_MILLISECONDS
                ),
                results.Figure(f"{name}: memory", megabytes, "MB", TARGET_MEGABYTES),
                results.Figure(f"{name}: modules", modules, "modules"),
            ]
    results.report("start", figures)


if __name__ == "__main__":
    main()
