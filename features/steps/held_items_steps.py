"""Steps for batch items that a quarantine holds back."""

import json
from collections.abc import Iterable
from typing import Any

from behave import then, when

from features.steps.deadly_parts_steps import DEADLY, GROUP, TEAM, batch_item, play
from features.steps.front_requests_steps import run_with_fleet
from features.support.deadly_play import DeadlyPlay
from features.support.front_fleet import FrontFleet
from parsleyrouter.ids import PromptPart
from parsleyrouter.request.quarantine import FIRST_TRIAL_S

DEADLY_PER_JOB = 2
ITEMS_PER_JOB = 4
HELD_LIMIT_S = 40.0
"""The trials of a wrong or ended accusation clear it within this time."""

CLAIM_LIMIT_S = 10.0


async def _submit_at_each_node(one: DeadlyPlay) -> list[str]:
    jobs = []
    for number, front in enumerate(one.fleet.fronts):
        job = f"job{number}"
        items = [
            batch_item(f"{job}i{index}", deadly=index < DEADLY_PER_JOB)
            for index in range(ITEMS_PER_JOB)
        ]
        body = json.dumps({"items": items}).encode()
        answer = await one.fleet.caller(front).ask(
            "POST", f"/bulk/{job}", body, attempt=job, deadline_ms=None
        )
        assert answer.status == 202, answer.status
        jobs.append(job)
    return jobs


async def _completed(one: DeadlyPlay, jobs: Iterable[str]) -> int:
    count = 0
    for job in jobs:
        page = await one.fleet.caller().ask("GET", f"/lots/{job}?after=0", deadline_ms=None)
        rows = json.loads(page.body)["results"] if page.status == 200 else []
        count += sum(row["state"] == "completed" for row in rows)
    return count


@when("jobs at all nodes have items with a part that crashes endpoints until its first trial")
def step_mended(context: Any) -> None:
    async def scenario(one: DeadlyPlay) -> None:
        fleet = one.fleet
        for front in fleet.fronts:
            fleet.loop.spawn(one.sound_client(front, "/chat/x", TEAM), "sound")
        jobs = await _submit_at_each_node(one)
        keepers = [front.quarantine for front in fleet.fronts]
        await fleet.until(lambda: all(GROUP in one.quarantine.groups for one in keepers), 15.0)
        crashes = len(one.plan.crashes)
        await fleet.until(lambda: len(one.plan.crashes) > crashes, 2 * FIRST_TRIAL_S)
        one.plan.deadly.clear()
        mended_s = fleet.loop.now()
        context.completed = 0
        while fleet.loop.now() - mended_s < HELD_LIMIT_S:
            context.completed = await _completed(one, jobs)
            if context.completed == ITEMS_PER_JOB * len(jobs):
                break
            await fleet.loop.sleep(0.5)
        context.total = ITEMS_PER_JOB * len(jobs)

    context.play = play(scenario, deadly={DEADLY})


@then("all of these items complete within 40 s of that crash")
def step_complete(context: Any) -> None:
    assert context.completed == context.total, (context.completed, context.total)


@when("the node that has claimed a trial gets no more requests")
def step_claimed(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(2)
        first, second = [front.quarantine for front in fleet.fronts]
        first.add(GROUP, {})
        await first.records.store_group(GROUP)
        await fleet.until(lambda: GROUP in second.quarantine.groups)
        for keeper in (first, second):
            keeper.quarantine.groups[GROUP].since_s -= 2 * FIRST_TRIAL_S
        first.refusal((PromptPart(DEADLY),))
        await fleet.until(lambda: second.quarantine.groups[GROUP].trials == 1)
        until_s = fleet.loop.now() + CLAIM_LIMIT_S
        context.passed = False
        while not context.passed and fleet.loop.now() < until_s:
            context.passed = second.refusal((PromptPart(DEADLY),)) is None
            await fleet.loop.sleep(0.1)

    run_with_fleet(context, scenario)


@then("another node lets a request through within 10 s")
def step_passed(context: Any) -> None:
    assert context.passed
