"""Steps for trials of held items at the nodes of a fleet."""

import json
import time
from typing import Any
from unittest.mock import patch

from behave import then, when

from features.steps.deadly_parts_steps import DEADLY, GROUP, batch_item, play
from features.steps.front_requests_steps import run_with_fleet
from features.support.deadly_play import DeadlyPlay
from features.support.front_fleet import FrontFleet
from features.support.platform_endpoint import shed, silent
from parsleyrouter.connection.key_value import KeyValueFailure, KeyValueFailureKind
from parsleyrouter.ids import EndpointId, PromptPart
from parsleyrouter.process.crash_monitor import RECENT_S
from parsleyrouter.process.fleet_loads import RequestCounts
from parsleyrouter.process.item_run import ItemRun
from parsleyrouter.process.quarantine_records import QUARANTINE_PREFIX, GroupRecord
from parsleyrouter.request.crash import CutRuns
from parsleyrouter.request.quarantine import (
    FIRST_TRIAL_S,
    MAX_EARLY_RUNS,
    ONLINE_DELAY_S,
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


@when("a node hears of a joint trial after its crash, or has just started and reads its claim")
def step_late_news(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(2)
        groups = await _quarantine_everywhere(fleet, MAX_EARLY_RUNS - 1)
        first, second = [front.quarantine for front in fleet.fronts]
        record = GroupRecord(
            tuple(GROUP),
            trials=1,
            cut_runs=MAX_EARLY_RUNS - 1,
            claimed_ms=int(time.time() * 1000),
            endpoint=EndpointId("e1"),
        )
        groups[0].note_crashes(CutRuns(MAX_EARLY_RUNS + 2, 0, fleet.loop.now()))
        first.trials.apply_record(record, is_known=True)
        second.quarantine.groups.pop(GROUP)
        second._apply_stored(record)
        context.groups = [groups[0], second.quarantine.groups[GROUP]]

    run_with_fleet(context, scenario)


@then("it takes no part in the trial, and plans no other joint one")
def step_no_part(context: Any) -> None:
    assert [one.trial for one in context.groups] == [None, None], context.groups
    assert [one.late and not one.joint for one in context.groups] == [True, True], context.groups


@when("all items of a joint trial are refused by their endpoint")
def step_refused(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = shed
        await fleet.start(2)
        groups = await _quarantine_everywhere(fleet, MAX_EARLY_RUNS - 1)
        await _hold_an_item_at_each_node(fleet)
        _make_due(groups)
        await fleet.until(lambda: len(fleet.endpoints["e1"].arrivals) >= 2)
        await fleet.loop.sleep(0.5)
        context.cut_runs = [group.cut_runs for group in groups]

    run_with_fleet(context, scenario)


@then("the next trial may be a joint one again")
def step_joint_again(context: Any) -> None:
    assert context.cut_runs == [MAX_EARLY_RUNS - 1] * 2, context.cut_runs


@when("one of the items that a node holds has a header beyond Latin-1")
def step_bad_header(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        front = await fleet.start()
        groups = await _quarantine_everywhere(fleet, MAX_EARLY_RUNS - 1)
        rows = [batch_item(f"held{number}", deadly=True) for number in range(3)]
        rows[0]["headers"]["X-Note"] = "\u4f8b"
        body = json.dumps({"items": rows}).encode()
        answer = await fleet.caller().ask(
            "POST", "/bulk/job1", body, attempt="job1", deadline_ms=None
        )
        assert answer.status == 202, answer.status
        await fleet.until(lambda: len(front.worker.held.items) == 3)
        _make_due(groups)
        await fleet.until(lambda: GROUP not in front.quarantine.quarantine.groups)
        await fleet.loop.sleep(1.0)
        page = await fleet.caller().ask("GET", "/lots/job1?after=0", deadline_ms=None)
        context.states = {row["id"]: row["state"] for row in json.loads(page.body)["results"]}
        context.held = len(front.worker.held.items)

    run_with_fleet(context, scenario)


@then("the others are tried, and that item is given up")
def step_others_tried(context: Any) -> None:
    expected = {"held0": "dead_lettered", "held1": "completed", "held2": "completed"}
    assert context.states == expected, context.states
    assert context.held == 0, context.held


@when("a group is released while another node writes it")
def step_release_beside_write(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(2)
        groups = await _quarantine_everywhere(fleet, 0)
        keepers = [front.quarantine for front in fleet.fronts]
        fleet.store.faults.delay_s = 0.1
        fleet.loop.spawn(keepers[1].records.rewrite(groups[1]))
        await fleet.loop.sleep(0.05)
        keepers[0].report_served(PROMPT, fleet.loop.now())
        await fleet.loop.sleep(2.0)
        context.left = [GROUP in one.quarantine.groups for one in keepers]
        context.keys = [key for key in fleet.store.rows if key.startswith(QUARANTINE_PREFIX)]

    run_with_fleet(context, scenario)


@then("no node has it afterwards, and its key is gone")
def step_gone(context: Any) -> None:
    assert context.left == [False, False] and not context.keys, (context.left, context.keys)


@when("the store applies the claim of a late trial and its reply is lost")
def step_lost_reply(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(2)
        groups = await _quarantine_everywhere(fleet, MAX_EARLY_RUNS)
        _make_due(groups)
        first, second = [front.quarantine for front in fleet.fronts]
        transact = first.records.store.transact

        async def lose_reply(transaction: Any) -> KeyValueFailure:
            await transact(transaction)
            return KeyValueFailure(KeyValueFailureKind.TIMEOUT, "no reply", maybe_applied=True)

        await fleet.loop.sleep(ONLINE_DELAY_S)
        with patch.object(first.records.store, "transact", lose_reply):
            first.refusal(PROMPT)
            await fleet.until(lambda: groups[1].trials == 1)
        await fleet.loop.sleep(0.3)
        context.passed = [
            sum(keeper.refusal(PROMPT) is None for _ in range(3)) for keeper in (first, second)
        ]

    run_with_fleet(context, scenario)


@then("the node that claimed it lets one request through")
def step_one_through(context: Any) -> None:
    assert context.passed == [1, 0], context.passed
