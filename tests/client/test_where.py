"""Tests of `cactushall where`."""

from __future__ import annotations

import asyncio
import contextlib
import http
import json
import socket
import threading

import click.testing
import msgspec
import pytest

from cactushall_client import __main__, exit_codes
from cactushall_core import addresses
from cactushall_core.flows import actions, exclusions, explanation
from cactushall_rpc import http as http_calls
from cactushall_rpc import where

HOST = "127.0.0.1"
CANDIDATES = tuple(
    explanation.Candidate(
        node=node,
        address=f"10.0.1.{number}:8172",
        zone="a",
        exclusion=exclusion,
        flows=3,
        requests=0.5,
        slots=1,
        service_seconds=0.0123,
        load_age_seconds=age,
        expected_wait=0.65,
    )
    for number, (node, exclusion, age) in enumerate(
        [("side-1", None, 0.04), ("side-2", exclusions.Exclusion.COLD, None)], start=1
    )
)
PLACED = explanation.Explanation(
    "a",
    7,
    "board",
    (explanation.ServiceExplanation("board", 1.0, CANDIDATES, "side-1", None),),
)
NO_CAPACITY = explanation.Refusal(actions.Reason.NO_CAPACITY, 0.15)
FULL = msgspec.structs.replace(
    PLACED,
    services=(explanation.ServiceExplanation("board", 1.0, (), None, NO_CAPACITY),),
)
UNROUTED = explanation.Explanation(
    "a", 7, refusal=explanation.Refusal(actions.Reason.NO_ROUTE, 0.0)
)


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@contextlib.contextmanager
def serving(handler):
    """Answer HTTP calls in a thread; yield the address."""
    address = addresses.Address(HOST, free_port())
    loop = asyncio.new_event_loop()
    server = loop.run_until_complete(http_calls.serve(address, handler))
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield address
    finally:
        loop.call_soon_threadsafe(server.close)
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


def run(entry, *arguments):
    runner = click.testing.CliRunner()
    return runner.invoke(__main__.cli, ["where", "--entry", str(entry), *arguments])


def ask(answer, *arguments):
    """Run the command on an entry that gives an answer; return also the questions."""
    questions = []

    def handle(request):
        assert request.path == where.PATH
        questions.append(where.decode_question(request.query))
        return http_calls.Response(body=where.encode_answer(answer))

    with serving(handle) as entry:
        return run(entry, "198.18.0.1:8443", *arguments), questions


def test_a_table_shows_the_choice_and_what_excludes_the_others():
    result, (question,) = ask(PLACED, "--zone", "a")
    assert result.exit_code == exit_codes.ExitCode.OK
    assert question.zone == "a"
    assert question.address == (0xC6120001, 8443)
    title = "198.18.0.1:8443 from zone a: route board, revision 7"
    assert result.output.startswith(title)
    lines = [line.split() for line in result.output.splitlines()]
    assert lines[3][0] == "side-1"
    assert lines[3][-1] == "-"
    assert lines[4][0] == "side-2"
    assert lines[4][-2:] == ["never", "cold"]
    assert lines[-1] == ["goes", "to", "side-1"]


def test_a_refusal_is_shown_with_its_reason():
    result, _ = ask(FULL)
    assert result.exit_code == exit_codes.ExitCode.OK
    assert "queued for up to 0.15 s, then refused: no-capacity" in result.output


def test_json_holds_all_fields():
    result, (question,) = ask(PLACED, "--output", "json")
    assert question.zone is None
    decoded = msgspec.convert(json.loads(result.output), explanation.Explanation)
    assert decoded == PLACED


@pytest.mark.parametrize("arguments", [(), ("--output", "json")])
def test_an_address_without_route_has_its_own_exit_code(arguments):
    result, _ = ask(UNROUTED, *arguments)
    assert result.exit_code == exit_codes.ExitCode.NOT_SERVED
    assert "no-route" in result.output


@pytest.mark.parametrize("address", ["board", "198.18.0.1", "[::1]:8443", "1.2.3.4:0"])
def test_an_address_that_cannot_be_one_is_a_usage_error(address):
    result = run(f"{HOST}:1", address)
    assert result.exit_code == exit_codes.ExitCode.INVALID_INPUT
    assert "ADDRESS" in result.output


def test_an_entry_that_cannot_be_reached_is_an_error():
    result = run(f"{HOST}:{free_port()}", "198.18.0.1:8443")
    assert result.exit_code == exit_codes.ExitCode.FAILURE
    assert "does not answer" in result.output


@pytest.mark.parametrize(
    ("response", "message"),
    [
        (http_calls.Response(http.HTTPStatus.NOT_FOUND), "not the peer address"),
        (http_calls.Response(body=b"{"), "unreadable answer"),
    ],
)
def test_another_process_in_place_of_an_entry_is_an_error(response, message):
    with serving(lambda request: response) as address:
        result = run(address, "198.18.0.1:8443")
    assert result.exit_code == exit_codes.ExitCode.FAILURE
    assert message in result.output
