"""Steps for what batch items wait for, as lines and metrics tell it."""

import json
from collections.abc import Callable, Coroutine
from typing import Any
from unittest.mock import patch

from behave import then, when

from features.steps.deadly_parts_steps import DEADLY, GROUP, batch_item
from features.steps.explain_steps import explain
from features.steps.front_jobs_steps import item_runs, items, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.steps.job_states_steps import submit_other, two_routes
from features.steps.removed_routes_steps import changed_routes
from features.support.front_fleet import FrontFleet
from features.support.log_records import collected_logs
from features.support.platform_endpoint import drop, shed, silent
from parsleyrouter.ids import PromptPart
from parsleyrouter.process import held_items, job_worker
from parsleyrouter.process.item_states import LASTING_WAIT_S, LINES_PER_TURN
from parsleyrouter.request.item_state import WaitReason

CHECK_PAUSE_S = 0.3
"""Pause between checks of a held item in these plays."""

MANY_JOBS, ITEMS_PER_JOB = 5, 200
MANY = MANY_JOBS * ITEMS_PER_JOB
STATES_LOGGER = "parsleyrouter.process.item_states"
Scenario = Callable[[FrontFleet], Coroutine[Any, Any, None]]


def play(context: Any, scenario: Scenario, logger: str = STATES_LOGGER) -> None:
    """Run a scenario with fast checks of held items; keep the lines of a logger."""
    with (
        patch.object(held_items, "CHECK_INTERVAL_S", CHECK_PAUSE_S),
        collected_logs(logger) as context.lines,
    ):
        run_with_fleet(context, scenario)


def metric(fleet: FrontFleet, state: str, name: str = "parsley_waiting_items") -> float:
    """Return the value of a metric for a state."""
    value = fleet.runtime.metrics.get_sample_value(name, {"state": state})
    assert value is not None, (name, state)
    return value


def age_s(fleet: FrontFleet, state: str) -> float:
    return metric(fleet, state, "parsley_waiting_item_age_seconds")


def lines(context: Any, message: str = "item waits") -> list[Any]:
    return [one for one in context.lines if one.getMessage() == message]


def job_body(*rows: dict[str, Any]) -> bytes:
    return json.dumps({"items": rows}).encode()


async def submit_count(fleet: FrontFleet, count: int, job: str = "job1") -> None:
    answer = await submit(fleet, job=job, body=job_body(*items(count)))
    assert answer.status == 202, answer.status


async def hold_item(context: Any, fleet: FrontFleet) -> Any:
    """Start a node that holds an item; return the group that holds it."""
    fleet.register("e1")
    front = await fleet.start()
    front.quarantine.add(GROUP, {})
    answer = await submit(fleet, body=job_body(batch_item("item0", deadly=True)))
    assert answer.status == 202, answer.status
    await fleet.until(lambda: metric(fleet, "held") == 1)
    await fleet.loop.sleep(3 * CHECK_PAUSE_S)
    return front.quarantine.quarantine.groups[GROUP]


async def release_item(fleet: FrontFleet) -> None:
    prompt = (PromptPart(DEADLY),)
    fleet.fronts[0].quarantine.report_served(prompt, fleet.loop.now())
    await read_all(fleet)


@when("an item is held by a quarantined group whose trials change, and is released")
def step_held(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        group = await hold_item(context, fleet)
        group.trials = 1
        await fleet.loop.sleep(3 * CHECK_PAUSE_S)
        context.held_s = age_s(fleet, "held")
        context.groups = fleet.runtime.metrics.get_sample_value("parsley_quarantined_groups")
        await release_item(fleet)
        context.held_after = metric(fleet, "held")

    play(context, scenario)


@then("one line at each change tells the group, its trials and when the next is due")
def step_held_lines(context: Any) -> None:
    first, second = [vars(one) for one in lines(context)]
    for line, trials, due_s in ((first, 0, 10), (second, 1, 15)):
        assert (line["job"], line["request"], line["state"]) == ("job1", "item0", "held"), line
        assert (line["parts"], line["trials"]) == ([[DEADLY]], [trials]), line
        assert due_s - 3 < line["next_trial_s"][0] <= due_s, line
        assert 0 <= line["group_age_s"][0] < 3 and 50 < line["retention_left_s"] <= 60, line
    assert first["held_s"] < CHECK_PAUSE_S < 2 * CHECK_PAUSE_S < second["held_s"], second


@then("a line tells that the hold has ended, and the metric counted the item meanwhile")
def step_hold_ended(context: Any) -> None:
    (ended,) = lines(context, "item hold ended")
    assert (ended.request, ended.state, ended.parts) == ("item0", "running", [[DEADLY]])
    assert ended.held_s >= context.held_s > 5 * CHECK_PAUSE_S, (ended.held_s, context.held_s)
    assert (context.groups, context.held_after) == (1, 0)


@when("an online request takes the slot of another item of its route")
def step_held_without_room(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1", slots=2)
        endpoint.events, endpoint.gap_s = 1000, 0.02
        front = await fleet.start()
        front.quarantine.add(GROUP, {})
        rows = [*items(2), batch_item("item2", deadly=True)]
        assert (await submit(fleet, body=job_body(*rows))).status == 202
        await fleet.until(lambda: (metric(fleet, "held"), metric(fleet, "running")) == (1, 2))
        await fleet.caller().send("POST", "/chat/1", attempt="c1")
        await fleet.until(lambda: metric(fleet, "no_room") > 0)
        context.counts = set()
        until_s = fleet.loop.now() + 2 * CHECK_PAUSE_S + 1.0
        while fleet.loop.now() < until_s:
            counts = tuple(metric(fleet, one) for one in ("held", "running", "no_room"))
            context.counts.add(counts)
            await fleet.loop.sleep(job_worker.PLACEMENT_INTERVAL_S / 2)

    play(context, scenario)


@then("the metric counts one item as held, one as running and one as without room")
def step_stays_held(context: Any) -> None:
    assert context.counts == {(1.0, 1.0, 1.0)}, context.counts


async def wait_for_line(context: Any, fleet: FrontFleet, state: str, settled_s: float) -> None:
    """Wait for the line about a state, and see whether more lines follow."""
    await fleet.until(lambda: metric(fleet, state) == 1)
    await fleet.until(lambda: lines(context))
    context.state = state, metric(fleet, state), age_s(fleet, state)
    await fleet.loop.sleep(settled_s)


@when("the route of an item is removed")
def step_no_route(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.default_behaviour = shed
        front = await fleet.start()
        await submit_count(fleet, 1)
        await fleet.until(lambda: item_runs(fleet))
        fleet.store.put_json("op/config", changed_routes("the batch route is removed", 2))
        await fleet.until(lambda: front.routes.version == 2)
        await wait_for_line(context, fleet, "no_route", 1.0)

    play(context, scenario)


@when("the only endpoint of an item's service is removed")
def step_no_endpoint(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.default_behaviour = shed
        await fleet.start()
        await submit_count(fleet, 1)
        await fleet.until(lambda: item_runs(fleet))
        fleet.store.remove("servers/e1")
        await wait_for_line(context, fleet, "no_endpoint", 1.0)

    play(context, scenario)


@when("all slots are in use for several seconds")
def step_no_room(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1", slots=1)
        endpoint.events, endpoint.gap_s = 1000, 0.02
        await fleet.start()
        await submit_count(fleet, 2)
        await wait_for_line(context, fleet, "no_room", 1.0)
        assert context.state[2] >= LASTING_WAIT_S, context.state
        assert metric(fleet, "running") == 1

    play(context, scenario)


@when("the store fails before the result of an item is listed")
def step_not_listed(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.gap_s = 0.1
        await fleet.start()
        await submit_count(fleet, 1)
        await fleet.until(lambda: item_runs(fleet))
        fleet.store.faults.refuse = 503
        await wait_for_line(context, fleet, "not_listed", 1.0)
        fleet.store.faults.refuse = 0
        await read_all(fleet)
        await fleet.until(lambda: metric(fleet, "not_listed") == 0)

    play(context, scenario)


@then('one line and the metric say that it waits for "{state}"')
def step_one_line(context: Any, state: str) -> None:
    (line,) = lines(context)
    assert (line.job, line.state, line.route) == ("job1", state, "bulk"), vars(line)
    assert 50 < line.retention_left_s <= 60 and line.waits_s >= 0, vars(line)
    seen, count, longest_s = context.state
    assert (seen, count) == (state, 1) and longest_s >= line.waits_s, context.state


@when("the runs of an item are refused again and again")
def step_refused(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.default_behaviour = shed
        await fleet.start()
        await submit_count(fleet, 1)
        await fleet.until(lambda: metric(fleet, "paused") == 1)
        context.runs = len(item_runs(fleet))
        endpoint.default_behaviour = silent
        await fleet.until(lambda: metric(fleet, "running") == 1)
        await fleet.loop.sleep(0.2)
        context.counts = [metric(fleet, one.value) for one in WaitReason]

    play(context, scenario)


@then("the metric counts it as running and as paused, without a line of its own")
def step_refused_counted(context: Any) -> None:
    assert context.runs >= 1
    assert context.counts == [float(one is WaitReason.RUNNING) for one in WaitReason]
    assert not context.lines, [vars(one) for one in context.lines]


@when("a job is done and another one is ended while its items wait")
def step_forgotten(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        fleet.store.put_json("op/config", two_routes())
        front = await fleet.start(configured=False)
        await fleet.until(lambda: front.routes.table is not None and front.registry.lease)
        await fleet.until(lambda: front.directory.endpoints)
        await submit_other(fleet)
        await submit_count(fleet, 2)
        await read_all(fleet)
        await fleet.until(lambda: metric(fleet, "not_listed") == metric(fleet, "running") == 0)
        context.waiting = metric(fleet, "no_endpoint")
        await fleet.caller().ask("DELETE", "/other/job2", deadline_ms=None)
        await fleet.caller().ask("DELETE", "/lots/job2", deadline_ms=None)
        await fleet.until(lambda: not front.worker.owner.runs)
        context.counts = [metric(fleet, one.value) for one in WaitReason]
        context.kept = front.worker.states.items

    play(context, scenario)


@then("no item counts as waiting any more")
def step_none_waits(context: Any) -> None:
    assert context.waiting > 0 and not any(context.counts), (context.waiting, context.counts)
    assert not context.kept, context.kept


def play_many(context: Any, state: str, waiting: int, *, endpoint: bool) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        if endpoint:
            fleet.register("e1", slots=1).default_behaviour = silent
        await fleet.start()
        begun_s = fleet.loop.now()
        for number in range(MANY_JOBS):
            await submit_count(fleet, ITEMS_PER_JOB, f"job{number}")
        await fleet.until(lambda: metric(fleet, state) == waiting)
        await fleet.loop.sleep(1.0)
        context.turns = (fleet.loop.now() - begun_s) / job_worker.PLACEMENT_INTERVAL_S
        context.waiting = metric(fleet, state)

    play(context, scenario)


@when("a thousand items find no endpoint at the same time")
def step_many_no_endpoint(context: Any) -> None:
    play_many(context, "no_endpoint", MANY, endpoint=False)


@then("at most three lines a turn are written, and the metric counts all of them")
def step_few_lines(context: Any) -> None:
    written = [(one.job, one.request) for one in lines(context)]
    assert LINES_PER_TURN == 3
    assert 0 < len(written) <= 3 * context.turns < MANY, (len(written), context.turns)
    assert len(set(written)) == len(written) and context.waiting == MANY


@when("a thousand items find no room for a second")
def step_many_no_room(context: Any) -> None:
    play_many(context, "no_room", MANY - 1, endpoint=True)


@then("no line is written, and the metric counts all of them")
def step_no_lines(context: Any) -> None:
    assert not context.lines and context.waiting == MANY - 1, (context.lines, context.waiting)


@when("a request of a quarantined group is let through as a trial and its connection is cut")
def step_trial(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = drop
        front = await fleet.start()
        front.quarantine.add(GROUP, {})
        group = front.quarantine.quarantine.groups[GROUP]
        group.note_claim(fleet.loop.now(), None, own=True)
        headers = [("X-Prompt-Prefix", f"{DEADLY}:100,own:50")]
        for number in range(2):
            name = f"c{number}"
            await fleet.caller().ask("POST", "/chat/1", attempt=name, headers=headers)

    play(context, scenario, "parsleyrouter.process.quarantine_keeper")


@then("one line tells that the trial began, was cut and how long it took")
def step_trial_ended(context: Any) -> None:
    assert len(lines(context, "quarantine tried")) == 1
    (ended,) = lines(context, "quarantine trial ended")
    assert (ended.parts, ended.trials, ended.began, ended.cut) == ([DEADLY], 0, True, True)
    assert 0 <= ended.took_s < 1, ended.took_s


@when("an item is held by a quarantined group and its id is explained")
def step_explain(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await hold_item(context, fleet)
        fleet.fronts[0].quarantine.add(frozenset((PromptPart("another"),)), {})
        await release_item(fleet)

    with patch.object(held_items, "CHECK_INTERVAL_S", CHECK_PAUSE_S):
        context.explanation = explain(context, scenario, "item0")


@then("the explanation contains the hold, the start of the quarantine and its end")
def step_explained(context: Any) -> None:
    told = ("prompt parts quarantined", "item waits", "quarantine ended", "item hold ended")
    places = [context.explanation.find(words) for words in told]
    assert places[0] > -1 and places == sorted(places), (places, context.explanation)
    for words in ('state="held"', f'parts=[["{DEADLY}"]]', "next_trial_s", "retention_left_s"):
        assert words in context.explanation, (words, context.explanation)
    assert "another" not in context.explanation, context.explanation
