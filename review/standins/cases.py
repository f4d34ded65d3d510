"""Runs one case and turns its result into an exit code."""

from __future__ import annotations

import asyncio
import collections.abc
import os
import pathlib
import sys
import traceback

from standins import deployment, records

RULE_HELD = 0
RULE_BROKEN = 1
CANNOT_RUN = 2
MAX_SECONDS = 110.0

Play = collections.abc.Callable[
    [deployment.Deployment, bool], collections.abc.Awaitable[list[str]]
]


def main(machines: int, play: Play) -> None:
    """Run a case in the folder of the program and exit.

    Args:
        machines: Number of machines at most.
        play: Plays the case, with the disruption if its second argument is true, and
            returns what broke the rule.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = records.Record(folder / "record.txt")
    record.write("case", folder=folder.name, trouble=has_trouble)
    try:
        broken = asyncio.run(_play(record, machines, play, has_trouble))
    except Exception as error:
        traceback.print_exc()
        record.write("cannot-run", why=repr(error))
        sys.exit(CANNOT_RUN)
    for line in broken:
        record.write("broken", why=line)
        print(line)
    print(f"case {folder.name}: the rule {'was broken' if broken else 'held'}")
    record.write("result", broken=len(broken))
    sys.exit(RULE_BROKEN if broken else RULE_HELD)


async def _play(
    record: records.Record, machines: int, play: Play, has_trouble: bool
) -> list[str]:
    site = deployment.Deployment(record, machines)
    try:
        async with asyncio.timeout(MAX_SECONDS):
            return await play(site, has_trouble)
    finally:
        await site.stop()
