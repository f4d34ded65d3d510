"""Scenarios of requests that must not run twice."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import datetime

from pytest_bdd import parsers, scenarios, then, when

from tests.standins import caller as caller_standin
from tests.standins import site as site_standin

scenarios("once.feature")

RESUBMIT_AFTER_SECONDS = 0.15
MAX_SUBMISSIONS = 4
SUBMISSION_TIMEOUT_SECONDS = 8.0


@dataclasses.dataclass
class Submission:
    """One submission and the answer that its caller got.

    Attributes:
        status: HTTP status, 0 where no answer came.
        outcome: Value of the `cactushall-outcome` header.
        body: Body of the answer.
        ended_at: Time of the answer or the failure, to compare with server logs.
    """

    status: int
    outcome: str
    body: bytes
    ended_at: datetime.datetime = dataclasses.field(
        default_factory=lambda: datetime.datetime.now(datetime.UTC)
    )

    @property
    def is_not_run(self):
        return self.outcome.startswith("not-run")


async def submit(world, key, seconds=0.0, delay=0.0):
    """Submit a proposal on a new flow after a delay in seconds."""
    await asyncio.sleep(delay)
    address = world.site.service_address("swap-desk")
    try:
        async with (
            asyncio.timeout(SUBMISSION_TIMEOUT_SECONDS),
            caller_standin.connect(address) as caller,
        ):
            answer = await caller.request(
                "POST", f"/proposals?seconds={seconds}", {"idempotency-key": key}, b"x"
            )
    except (caller_standin.IncompleteResponseError, TimeoutError, ConnectionError):
        return Submission(0, "", b"")
    outcome = answer.headers.get("cactushall-outcome", "")
    return Submission(answer.status, outcome, answer.body)


def submissions(world):
    """Return all submissions so far, by idempotency key."""
    return world.results.setdefault("submissions", collections.defaultdict(list))


@when(
    parsers.parse(
        "a proposal of {seconds:g} seconds is sent on {count:d} flows at once"
    )
)
def _(world, seconds, count):
    async def send():
        return await asyncio.gather(
            *(submit(world, "at-once", seconds, 0.1 * n) for n in range(count))
        )

    submissions(world)["at-once"] += world.run(send())


@when(
    parsers.parse(
        "a proposal of {seconds:g} seconds is sent on {count:d} flows one after the "
        "other"
    )
)
def _(world, seconds, count):
    for _ in range(count):
        answer = world.run(submit(world, "in-turn", seconds))
        submissions(world)["in-turn"].append(answer)


@when(parsers.parse("a proposal of {seconds:g} seconds is sent"))
def _(world, seconds):
    world.spawn(submit(world, "agent-killed", seconds))

    async def is_running() -> bool:
        return any(
            world.site.backend_statistics(e.name)["runs"].get("agent-killed")
            for e in world.site.plan.endpoints
        )

    world.run(site_standin.wait_until(is_running, 5.0))


@when("the agent that runs it and another agent are killed")
def _(world):
    names = [e.name for e in world.site.plan.endpoints if e.service == "swap-desk"]
    (killed,) = [
        n for n in names if world.site.backend_statistics(n)["runs"].get("agent-killed")
    ]
    other = next(name for name in names if name != killed)
    world.site.kill(killed)
    world.site.kill(other)


@when(parsers.parse("the same proposal is sent on {count:d} flows"))
def _(world, count):
    for _ in range(count):
        submissions(world)["agent-killed"].append(
            world.run(submit(world, "agent-killed"))
        )


@when(parsers.parse("the server of {name} sheds load"))
def _(world, name):
    world.site.change_backend(name, is_shedding=True)


@when(parsers.parse("the server of {name} stops shedding load"))
def _(world, name):
    world.site.change_backend(name, is_shedding=False)


@when("a proposal is refused as not run")
def _(world):
    refused = world.run(submit(world, "shed"))
    assert refused.is_not_run
    assert world.run_count("shed") == 0


@when("the same proposal is sent again")
def _(world):
    submissions(world)["shed"].append(world.run(submit(world, "shed")))


@when(
    parsers.parse("{callers:d} callers send proposals and resubmit them on other flows")
)
def _(world, callers):
    async def send_and_resubmit(key):
        first = submit(world, key, 0.02)
        second = submit(world, key, 0.02, RESUBMIT_AFTER_SECONDS)
        answers = list(await asyncio.gather(first, second))
        while len(answers) < MAX_SUBMISSIONS and not any(a.body for a in answers):
            answers.append(await submit(world, key, 0.02, 0.3))
        submissions(world)[key] += answers

    async def send_proposals(number):
        count = 0
        while not world.results.get("stop"):
            count += 1
            await send_and_resubmit(f"{number}-{count}")

    world.results["sending_tasks"] = [
        world.spawn(send_proposals(n)) for n in range(callers)
    ]


@when(parsers.parse("{name} is stopped in the background"))
def _(world, name):
    world.spawn(world.site.terminate(name))


@when("the callers stop resubmitting")
def _(world):
    world.results["stop"] = True

    async def wait_for_answers():
        await asyncio.gather(*world.results["sending_tasks"])

    world.run(wait_for_answers())


@then(parsers.parse("all {count:d} submissions got the same answer"))
def _(world, count):
    (answers,) = submissions(world).values()
    assert [a.status for a in answers] == [200] * count
    assert len({a.body for a in answers}) == 1


@then("it is answered")
def _(world):
    assert submissions(world)["shed"][-1].status == 200


def count_runs(world):
    """Return how many times each key ran, summed over all servers."""
    runs = collections.Counter()
    for endpoint in world.site.plan.endpoints:
        runs.update(world.site.backend_statistics(endpoint.name)["runs"])
    return runs


@then("no proposal ran twice")
def _(world):
    runs = count_runs(world)
    assert runs
    twice = [key for key, times in runs.items() if times > 1]
    assert {key: submissions(world)[key] for key in twice} == {}


@then("no proposal that ran got only not-run answers")
def _(world):
    runs = count_runs(world)
    for key, answers in submissions(world).items():
        if all(answer.is_not_run for answer in answers):
            assert runs[key] == 0, key


@when("the store is running again")
def _(world):
    world.site.start_store()
    world.run(world.site.configure())
