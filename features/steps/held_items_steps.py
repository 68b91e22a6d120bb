"""Steps for batch items that a quarantine holds back."""

import json
from collections.abc import Iterable
from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.steps.deadly_parts_steps import DEADLY, GROUP, TEAM, batch_item, play
from features.steps.front_requests_steps import run_with_fleet
from features.support.deadly_play import DeadlyPlay
from features.support.front_fleet import FrontFleet
from features.support.held_play import COUNTED_RUNS, HeldPlay
from parsleyrouter.ids import PromptPart
from parsleyrouter.request.quarantine import FIRST_TRIAL_S, TRIAL_TIMEOUT_S

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
    return sum([await _completed_of(one, job) for job in jobs])


async def _completed_of(one: DeadlyPlay, job: str) -> int:
    """Read the results of a job page by page, as a caller does."""
    count = position = 0
    while True:
        target = f"/lots/{job}?after={position}"
        page = await one.fleet.caller().ask("GET", target, deadline_ms=None)
        found = json.loads(page.body) if page.status == 200 else {"results": []}
        if not found["results"]:
            return count
        count += sum(row["state"] == "completed" for row in found["results"])
        position = found["next"]


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


RETRY_WITHIN_S = 20.0
"""Time in which an item that has failed counts as worked on."""

MAX_LATE = 3
"""Requests that may be sent long after the fifth crash by a part."""


@when("items with a deadly part are held after crashes have cut three runs")
def step_three_runs(context: Any) -> None:
    context.plays = [HeldPlay(seed, cut_runs=3, items=1 + seed).run() for seed in range(30)]


@then("each has had a run, and one that failed in the last 20 s, until all early trials are made")
def step_worked_on(context: Any) -> None:
    for one in context.plays:
        last_s = one.cut_s[COUNTED_RUNS - 1]
        assert last_s > 2 * FIRST_TRIAL_S, "the early trials are made at once"
        waiting = [item for item in one.all_items if item.arrived_s <= last_s]
        assert all(item.tries for item in waiting), one.seed
        idle = one.idle_items(last_s + RETRY_WITHIN_S - 0.1, RETRY_WITHIN_S)
        assert idle <= len(one.all_items) - len(waiting), (one.seed, idle)


@then("at most three requests with the part are sent later than 3 s after its fifth crash")
def step_few_sent_late(context: Any) -> None:
    for one in context.plays:
        assert one.sent_late <= MAX_LATE, (one.seed, one.cut_runs, one.sent_late)


@when(
    "many items with a deadly part are held for an hour after crashes have cut any number of runs"
)
def step_hours(context: Any) -> None:
    context.plays = []

    @settings(max_examples=30, derandomize=True, deadline=None)
    @for_all(st.integers(0, 99), st.integers(3, 9), st.integers(1, 200), st.floats(0.0, 0.5))
    def run(seed: int, cut_runs: int, items: int, unsent: float) -> None:
        play = HeldPlay(
            seed,
            cut_runs=cut_runs,
            items=items,
            arrivals_s=600.0,
            length_s=3600.0,
            unsent_share=unsent,
        )
        context.plays.append(play.run())

    run()


@then("trials crash an endpoint at most five times")
def step_few_crashes(context: Any) -> None:
    for one in context.plays:
        assert one.crashes <= 5, (one.seed, one.cut_s)


@when("items are held after crashes have cut three runs and their part is mended while they wait")
def step_mended_play(context: Any) -> None:
    context.plays = [
        HeldPlay(seed, items=5, mended_s=seed / 2, unsent_share=0.3 * (seed % 2)).run()
        for seed in range(1, 50)
    ]


@then("all of them begin within 20 s of the mending, or of their arrival")
def step_begin_soon(context: Any) -> None:
    for one in context.plays:
        if not one.unsent_share:
            delays = [item.began_s - max(one.mended_s, item.arrived_s) for item in one.all_items]
            assert max(delays) <= RETRY_WITHIN_S, (one.seed, delays)


@then("trials that never begin at an endpoint delay that by a few seconds each")
def step_unsent(context: Any) -> None:
    for one in context.plays:
        delays = [item.began_s - max(one.mended_s, item.arrived_s) for item in one.all_items]
        unsent = one.quarantine_trials - one.trials_sent
        assert max(delays) <= RETRY_WITHIN_S + unsent * (TRIAL_TIMEOUT_S + 0.1), (one.seed, delays)
