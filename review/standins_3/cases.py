"""What all scripts of cases share: the record, the folder and the exit code."""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile
import time
import traceback
import typing

from review.standins_3 import peers, site

HELD, BROKEN, NOT_RUN = 0, 1, 2
CASE_SECONDS = 100.0
BOARD = ("127.8.0.1", 8443)
PLANS = ("127.8.0.2", 8443)
ROUTES = {"board": BOARD, "plans": PLANS}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Lines with the seconds since the start of the case."""

    def __init__(self, path):
        """Start an empty record."""
        self._path = pathlib.Path(path)
        self._path.write_text("")
        self._started_at = time.time()

    def note(self, text, at=None):
        """Write a line."""
        seconds = (time.time() if at is None else at) - self._started_at
        with self._path.open("a") as file:
            file.write(f"{seconds:8.3f} {text}\n")


class Answer(typing.NamedTuple):
    """What became of one attempt of a caller."""

    attempt: str
    sent_at: float
    outcome: str


def make_configuration(version, routes=None, **limits):
    """Return a configuration document.

    Args:
        version: Its version.
        routes: Names of the services by address; None for one route to each service.
        **limits: Limits beside the usual ones.
    """
    if routes is None:
        routes = {address: name for name, address in ROUTES.items()}
    return {
        "version": version,
        "routes": [
            {
                "name": f"to-{name}",
                "host": address[0],
                "prefix": f"/{address[1]}/",
                "type": "non_idempotent",
                "service": name,
                "timeout_ms": 1500,
                "slo_ms": 150,
                "priority": 1,
                "max_attempts": 2,
            }
            for address, name in routes.items()
        ],
        "services": [{"name": name, "health_path": "/health"} for name in ROUTES],
        "limits": {"idle_timeout_ms": 15000} | limits,
    }


async def try_request(case_site, record, attempt, route, seconds=2.5):
    """Open a flow, send one request, close the flow; return what became of it."""
    sent_at = time.time()
    flow = case_site.caller.make_flow(route)
    try:
        await flow.open()
        outcome = await flow.request(attempt, seconds)
    except TimeoutError:
        outcome = "no answer"
    except peers.FlowResetError:
        outcome = f"reset by {flow.resets[-1][1]}"
    flow.close()
    record.note(f"{attempt} sent", sent_at)
    record.note(f"{attempt} ended: {outcome}")
    return Answer(attempt, sent_at, outcome)


async def wait_until_served(case_site, record, servers):
    """Send requests until each server has run one.

    Raises:
        CaseError: A server has run none in time.
    """
    try:
        async with asyncio.timeout(site.START_SECONDS):
            number = 0
            while {run.server for run in case_site.runs} < {s.name for s in servers}:
                for server in servers:
                    number += 1
                    attempt = f"warm-{number}"
                    route = ROUTES[server.service]
                    await try_request(case_site, record, attempt, route)
    except TimeoutError as error:
        raise CaseError("not all servers were served") from error


def run_case(main, folder):
    """Run a case and exit with its result.

    Args:
        main: Coroutine function of a folder, the record and whether there is trouble;
            returns what broke the rule.
        folder: Folder of the case, for `record.txt`.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("start, with trouble" if has_trouble else "start, without trouble")

    async def run():
        async with asyncio.timeout(CASE_SECONDS):
            return await main(temporary, record, has_trouble)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            faults = asyncio.run(run())
        except Exception as error:
            record.note(f"could not run: {error!r}")
            traceback.print_exc()
            raise SystemExit(NOT_RUN) from error
    for fault in faults:
        record.note(f"BROKEN: {fault}")
    record.note(f"{len(faults)} breaks of the rule")
    print("broken" if faults else "held", f"({len(faults)} breaks)")
    raise SystemExit(BROKEN if faults else HELD)
