"""Steps for trials of held items at the nodes of a fleet."""

import json
from typing import Any
from unittest.mock import patch

from behave import then, when

from features.steps.deadly_parts_steps import DEADLY, GROUP, batch_item, play
from features.steps.front_requests_steps import run_with_fleet
from features.support.deadly_play import DeadlyPlay
from features.support.front_fleet import FrontFleet
from features.support.platform_endpoint import silent
from parsleyrouter.ids import PromptPart
from parsleyrouter.process.crash_monitor import RECENT_S
from parsleyrouter.process.fleet_loads import RequestCounts
from parsleyrouter.process.item_run import ItemRun
from parsleyrouter.request.quarantine import (
    FIRST_TRIAL_S,
    MAX_EARLY_RUNS,
    TRIAL_TIMEOUT_S,
    QuarantinedGroup,
)

PROMPT = (PromptPart(DEADLY),)


async def _quarantine_everywhere(fleet: FrontFleet, cut_runs: int) -> list[QuarantinedGroup]:
    """Put the part into quarantine at all nodes, after crashes have cut some runs with it."""
    keepers = [front.quarantine for front in fleet.fronts]
    keepers[0].add(GROUP, {})
    await keepers[0].records.store_group(GROUP)
    await fleet.until(lambda: all(GROUP in one.quarantine.groups for one in keepers))
    groups = [one.quarantine.groups[GROUP] for one in keepers]
    for group in groups:
        group.cut_runs = cut_runs
    return groups


async def _hold_an_item_at_each_node(fleet: FrontFleet) -> None:
    for number, front in enumerate(fleet.fronts):
        body = json.dumps({"items": [batch_item(f"held{number}", deadly=True)]}).encode()
        answer = await fleet.caller(front).ask(
            "POST", f"/bulk/job{number}", body, attempt=f"job{number}", deadline_ms=None
        )
        assert answer.status == 202, answer.status
    await fleet.until(lambda: all(len(one.worker.held.items) == 1 for one in fleet.fronts))


def _make_due(groups: list[QuarantinedGroup]) -> None:
    for group in groups:
        group.since_s -= FIRST_TRIAL_S


@when("the last early trial is due and three nodes hold an item each")
def step_joint(context: Any) -> None:
    async def scenario(one: DeadlyPlay) -> None:
        groups = await _quarantine_everywhere(one.fleet, MAX_EARLY_RUNS - 1)
        await _hold_an_item_at_each_node(one.fleet)
        _make_due(groups)
        await one.fleet.until(lambda: bool(one.plan.crashes))
        await one.fleet.loop.sleep(2.0)
        context.trials = [group.trials for group in groups]

    context.play = play(scenario, deadly={DEADLY})


@then("one endpoint gets all three, crashes once, and no other gets any")
def step_one_crash_for_all(context: Any) -> None:
    assert len(context.play.plan.crashes) == 1, context.play.plan.crashes
    arrivals = context.play.plan.arrivals_with(DEADLY)
    assert len(arrivals) == 3, arrivals
    assert context.trials == [1, 1, 1], context.trials


def _running(fleet: FrontFleet) -> list[ItemRun]:
    runs = fleet.fronts[0].worker.owner.runs.values()
    return [item_run for job_run in runs for item_run in job_run.running.values()]


@when("online requests need the slot of a trial whose answer has not begun")
def step_preempt(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = silent
        front = await fleet.start()
        groups = await _quarantine_everywhere(fleet, 0)
        await _hold_an_item_at_each_node(fleet)
        _make_due(groups)
        await fleet.until(lambda: bool(_running(fleet)))
        (trial,) = _running(fleet)
        many = RequestCounts(online=99, batch=1)
        with patch.object(front.loads, "total_use", lambda *_: many):
            front.worker.preemption.preempt_items()
            context.cancelled_first = trial.cancelled_as
            trial.attempt.running.began_s = fleet.loop.now() - RECENT_S
            front.worker.preemption.preempt_items()
            context.cancelled_later = trial.cancelled_as

    run_with_fleet(context, scenario)


@then("the trial goes on, and its item is preempted once it has survived")
def step_preempted_late(context: Any) -> None:
    assert context.cancelled_first is None, context.cancelled_first
    assert context.cancelled_later is not None


@when("a late trial is claimed while its request can be sent nowhere")
def step_unused(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(2)
        groups = await _quarantine_everywhere(fleet, MAX_EARLY_RUNS)
        _make_due(groups)
        first = fleet.fronts[0].quarantine
        await fleet.until(lambda: first.refusal(PROMPT) is None)
        context.during = [group.late_trials for group in groups]
        first.end_trial(PROMPT, began=False)
        await fleet.loop.sleep(TRIAL_TIMEOUT_S + 0.5)
        context.after = [group.late_trials for group in groups]

    run_with_fleet(context, scenario)


@then("the fleet still has as many late trials as before")
def step_given_back(context: Any) -> None:
    assert context.during == [1, 1], context.during
    assert context.after == [0, 0], context.after
