"""Tests of the operators' command line."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time

import click.testing
import pytest

from cactushall_client import __main__, exit_codes
from cactushall_core import addresses, configuration, exceptions, identifiers
from cactushall_core.membership import timing
from cactushall_core.once import epoch
from cactushall_rpc import store, store_keys
from tests.standins import site as site_standin

STORE = addresses.Address("127.0.0.2", 23791)
SITE_MEMBERS = 4
TIMING = timing.Timing()
# A member that has just been probed may be last in the next round of probes; it is
# suspected one interval after its probe, and declared dead after the suspicion timeout.
MAX_DETECTION_SECONDS = (
    2 * (SITE_MEMBERS - 1) + 1 + TIMING.suspicion_factor
) * TIMING.probe_interval
VALID = """\
services:
  - {name: swap-desk, address: "127.0.1.1:4433"}
closed_zones: [attica-1]
drained_nodes: [desk-3]
"""


@pytest.fixture
def running_store():
    command = [
        sys.executable,
        "-m",
        "tests.standins.store",
        STORE.host,
        str(STORE.port),
    ]
    process = subprocess.Popen(command)
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        try:
            read(store_keys.CONFIGURATION)
            break
        except exceptions.StoreUnavailableError:
            time.sleep(0.1)
    yield STORE
    process.kill()
    process.wait()


def read(key):
    async def get():
        client = store.Store((STORE,))
        try:
            return await client.get(key)
        finally:
            client.close()

    return asyncio.run(get())


def invoke(*arguments, **kwargs):
    return click.testing.CliRunner().invoke(
        __main__.cli, [str(argument) for argument in arguments], **kwargs
    )


@pytest.fixture
def valid_file(tmp_path):
    path = tmp_path / "services.yaml"
    path.write_text(VALID)
    return path


def test_check_accepts_a_valid_file(valid_file):
    result = invoke("check", valid_file)
    assert result.exit_code == exit_codes.ExitCode.OK


def test_check_reports_all_findings(tmp_path):
    path = tmp_path / "services.yaml"
    path.write_text("services: [{name: a, address: b}, {name: a, address: c}]")
    result = invoke("check", path)
    assert result.exit_code == exit_codes.ExitCode.INVALID_INPUT
    assert result.stderr.count("error:") == 3


def test_apply_stores_everything_and_increments_the_revision(running_store, valid_file):
    for expected in (1, 2):
        result = invoke("apply", valid_file, "--store", running_store)
        assert result.exit_code == 0, result.output
        stored = configuration.decode(read(store_keys.CONFIGURATION).value, "store")
        assert stored.revision == expected
        assert stored.closed_zones == ("attica-1",)
        assert stored.drained_nodes == ("desk-3",)


def test_apply_reports_an_unavailable_store(valid_file):
    result = invoke("apply", valid_file, "--store", "127.0.0.2:23799")
    assert result.exit_code == exit_codes.ExitCode.FAILURE
    assert "error:" in result.stderr


def test_invalid_address_is_rejected():
    result = invoke("status", "--contact", "nowhere")
    assert result.exit_code == exit_codes.ExitCode.INVALID_INPUT


def test_status_members_and_repair_on_a_running_site(tmp_path):
    plan = site_standin.SitePlan(
        services={"swap-desk": "127.0.1.1"},
        endpoints=tuple(
            site_standin.EndpointPlan(f"desk-{n}", "swap-desk", "attica-1")
            for n in range(3)
        ),
        entries=(site_standin.EntryPlan("entry-0", "attica-1"),),
    )
    site = site_standin.Site(plan, tmp_path)
    files = site_standin.credentials(tmp_path)
    try:
        asyncio.run(site.start())
        options = (
            *("--contact", site.control_address("entry-0")),
            *("--certificate", files.certificate),
            *("--private-key", files.private_key),
            *("--authority", files.authority),
        )
        result = invoke("status", "--output", "json", *options)
        assert len(json.loads(result.stdout)["processes"]) == 4
        assert "desk-1" in invoke("members", *options).stdout
        refused = invoke("status", "--contact", site.control_address("entry-0"))
        assert refused.exit_code == exit_codes.ExitCode.FAILURE
        site.kill("desk-0")
        site.kill("desk-1")
        wait_until_gone(options, {"desk-0", "desk-1"}, MAX_DETECTION_SECONDS)
        repair = ("repair-epoch", "swap-desk", "--store", site_standin.STORE_ADDRESS)
        result = invoke(*repair, *options, input="y\n")
        assert result.exit_code == 0, result.output
        assert asyncio.run(read_epoch_members()) == 1
    finally:
        site.close()


def wait_until_gone(options, nodes, seconds):
    """Wait until the contact lists some nodes as gone."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        rows = [
            line.split() for line in invoke("members", *options).stdout.splitlines()
        ]
        if nodes <= {row[0] for row in rows if "dead" in row}:
            return
        time.sleep(0.1)
    raise AssertionError(f"not all of {nodes} are gone after {seconds} s")


async def read_epoch_members():
    client = store.Store((site_standin.STORE_ADDRESS,))
    entry = await client.get(store_keys.epoch(identifiers.ServiceName("swap-desk")))
    client.close()
    return len(epoch.decode(entry.value).members)
