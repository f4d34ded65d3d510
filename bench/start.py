"""Measures processor time, memory and modules of a start on the packet transport.

python -m bench.start
"""

from __future__ import annotations

import json
import pathlib
import statistics
import tempfile

from bench import results
from tests.standins import python_path

RUN_COUNT = 9
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
PRINT_USAGE = """
import resource, sys
usage = resource.getrusage(resource.RUSAGE_SELF)
print(usage.ru_utime + usage.ru_stime, usage.ru_maxrss, len(sys.modules))
"""
BARE_PROGRAM = "import asyncio" + PRINT_USAGE
DAEMON_PROGRAM = """
import runpy, sys
sys.argv = ["cactushalld", "{role}", "--config", "{path}", "--check"]
try:
    runpy.run_module("cactushall_daemon", run_name="__main__")
except SystemExit:
    pass
"""


def measure(program: str) -> tuple[float, float, float]:
    """Run a program several times.

    Args:
        program: Python code that prints the three values last.

    Returns:
        The medians of the processor time in milliseconds, of the peak resident memory
        in megabytes, and of the number of loaded modules.
    """
    samples = []
    for _ in range(RUN_COUNT):
        printed_words = python_path.run(program).split()
        samples.append([float(word) for word in printed_words[-3:]])
    seconds, kilobytes, modules = map(statistics.median, zip(*samples, strict=True))
    return seconds * 1000, kilobytes / 1024, modules


def write_settings(role: str, folder: pathlib.Path) -> pathlib.Path:
    """Write the settings file of a role and return its path."""
    role_options = {"entry": ENTRY_OPTIONS, "agent": AGENT_OPTIONS}[role]
    path = folder / f"{role}.yaml"
    path.write_text(json.dumps(COMMON_OPTIONS | role_options))
    return path


def main() -> None:
    """Measure both roles and a bare `asyncio`, and report the figures."""
    with tempfile.TemporaryDirectory() as folder:
        programs = {"asyncio alone": BARE_PROGRAM}
        for role in ("entry", "agent"):
            path = write_settings(role, pathlib.Path(folder))
            programs[role] = DAEMON_PROGRAM.format(role=role, path=path) + PRINT_USAGE
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
