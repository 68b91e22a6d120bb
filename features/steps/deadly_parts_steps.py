"""Steps for prompt parts that crash endpoints."""

import functools
import json
from base64 import b64encode
from collections.abc import Callable, Coroutine
from typing import Any

from behave import then, when

from features.steps.front_requests_steps import run_with_fleet
from features.support.crashing_endpoint import CrashPlan
from features.support.deadly_play import CONTACT_S, CRASHES, MAX_LATER, DeadlyPlay
from features.support.front_fleet import FrontFleet
from features.support.loop import run_on_loop
from parsleyrouter.ids import PromptPart
from parsleyrouter.process.quarantine_records import QUARANTINE_PREFIX
from parsleyrouter.request.quarantine import FIRST_TRIAL_S

DEADLY, SECOND_DEADLY = "dead1", "dead2"
TEAM, OTHER_TEAM = "ace", "bee"
POPULAR = f"{TEAM}b0"
WINDOW_S = 2.5
"""How long requests still come from when a check applies."""

JOB_LIMIT_S = 15.0
MIN_SHARE = 0.5
"""Of the share of sound requests that begin with another first part."""


def play(scenario: Callable[[DeadlyPlay], Coroutine[Any, Any, None]], **plan: Any) -> DeadlyPlay:
    """Run a scenario on a new fleet; return what was seen."""
    found: list[DeadlyPlay] = []

    async def main(runtime: Any) -> None:
        fleet = FrontFleet(runtime)
        one = DeadlyPlay(fleet, CrashPlan(fleet, **plan))
        found.append(one)
        await one.start()
        await scenario(one)
        one.running = False
        await fleet.loop.sleep(0.3)

    run_on_loop(main)
    return found[0]


@functools.cache
def mixed_play() -> DeadlyPlay:
    """Play deadly and sound requests once for all checks."""

    async def scenario(one: DeadlyPlay) -> None:
        for front in one.fleet.fronts:
            one.fleet.loop.spawn(one.sound_client(front, "/chat/x", OTHER_TEAM), "sound")
        one.spawn_clients("/chat/x", TEAM, DEADLY)
        await one.until_crashes(DEADLY)
        await one.fleet.loop.sleep(2 * CONTACT_S + WINDOW_S)

    return play(scenario, deadly={DEADLY})


@when("requests with a deadly part come at all nodes among sound ones")
def step_mixed(context: Any) -> None:
    context.play = mixed_play()


@then("at most three of them reach endpoints later than 3 s after the fifth crash")
def step_few_later(context: Any) -> None:
    later = context.play.later_arrivals(DEADLY)
    assert later <= MAX_LATER, f"{later} reached endpoints: {_crash_times(context.play)}"


def _crash_times(one: DeadlyPlay) -> str:
    return f"{len(one.plan.crashes)} crashes at {[round(c.at_s, 2) for c in one.plan.crashes]}"


@then("sound requests with the same first part begin as often as others")
def step_sound_served(context: Any) -> None:
    since_s = context.play.last_crash_s(DEADLY) + 2 * CONTACT_S
    own = context.play.begun_share(TEAM, since_s)
    others = context.play.begun_share(OTHER_TEAM, since_s)
    assert others > MIN_SHARE, f"only {others:.2f} of all other requests begin"
    assert own >= MIN_SHARE * others, (own, others)


@when("requests with two deadly parts come on two routes")
def step_two_parts(context: Any) -> None:
    async def scenario(one: DeadlyPlay) -> None:
        one.spawn_clients("/chat/x", TEAM, DEADLY)
        one.spawn_clients("/tale/x", OTHER_TEAM, SECOND_DEADLY)
        await one.until_crashes(DEADLY)
        await one.until_crashes(SECOND_DEADLY)
        await one.fleet.loop.sleep(CONTACT_S + WINDOW_S)

    context.play = play(scenario, deadly={DEADLY, SECOND_DEADLY})


@then("at most three of each reach endpoints later than 3 s after its fifth crash")
def step_few_of_each_later(context: Any) -> None:
    later = [context.play.later_arrivals(part) for part in (DEADLY, SECOND_DEADLY)]
    assert max(later) <= MAX_LATER, f"{later} reached endpoints: {_crash_times(context.play)}"


@when("endpoints crash for another reason while they run requests with a popular part")
def step_ordinary_crashes(context: Any) -> None:
    context.afterwards = []

    async def scenario(one: DeadlyPlay) -> None:
        for endpoint in one.fleet.endpoints.values():
            endpoint.events = 15
        for front in one.fleet.fronts:
            for team in (TEAM, OTHER_TEAM) * 4:
                one.fleet.loop.spawn(one.sound_client(front, "/chat/x", team, shared=2), "sound")
        for number in range(CRASHES + 1):
            await one.fleet.loop.sleep(0.4)
            await one.fleet.until(lambda: one.plan.busy_with(POPULAR))
            busiest = one.plan.busy_with(POPULAR)[-1]
            task = one.plan.crash(busiest, renamed=number % 2 == 0)
            one.fleet.loop.spawn(task, "crash")
        await one.fleet.loop.sleep(CONTACT_S)
        for number, front in enumerate(one.fleet.fronts * 2):
            parts = [TEAM, POPULAR, f"e{number:x}"]
            context.afterwards.append(await one.ask(front, "/chat/x", parts))

    context.play = play(scenario)


@then("every request with that part is answered afterwards")
def step_answered_afterwards(context: Any) -> None:
    assert len(context.play.plan.crashes) > CRASHES, _crash_times(context.play)
    found = [(one.status, one.complete) for one in context.afterwards]
    assert found == [(200, True)] * len(found), found


@when("a node starts after the crashes and gets requests with the deadly part")
def step_late_node(context: Any) -> None:
    async def scenario(one: DeadlyPlay) -> None:
        one.spawn_clients("/chat/x", TEAM, DEADLY)
        await one.until_crashes(DEADLY)
        await one.fleet.loop.sleep(CONTACT_S)
        one.running = False
        await one.fleet.start(1, configured=False)
        late = one.fleet.fronts[-1]
        await one.fleet.until(lambda: one.fleet._knows(late))
        await one.fleet.loop.sleep(CONTACT_S)
        for number in range(2 * MAX_LATER + 2):
            parts = [TEAM, f"{TEAM}b0", DEADLY, f"c{number:x}"]
            await one.ask(late, "/chat/x", parts, DEADLY)

    context.play = play(scenario, deadly={DEADLY})


@when("a job has items with a deadly part")
def step_job(context: Any) -> None:
    context.results = {}

    async def scenario(one: DeadlyPlay) -> None:
        for front in one.fleet.fronts:
            one.fleet.loop.spawn(one.sound_client(front, "/chat/x", TEAM), "sound")
        body = json.dumps(
            {
                "items": [
                    batch_item(f"item{number}", deadly=_is_deadly(number)) for number in range(8)
                ]
            }
        ).encode()
        answer = await one.fleet.caller().ask(
            "POST", "/bulk/x", body, attempt="job1", deadline_ms=None
        )
        assert answer.status == 202, answer.status
        until_s = one.fleet.loop.now() + JOB_LIMIT_S
        while len(context.results) < 8 and one.fleet.loop.now() < until_s:
            page = await one.fleet.caller().ask(
                "GET", "/lots/job1?after=0", headers=[("X-Wait-Ms", "500")], deadline_ms=None
            )
            rows = json.loads(page.body)["results"] if page.status == 200 else []
            context.results = {row["id"]: row["state"] for row in rows}
            await one.fleet.loop.sleep(0.2)
        if len(one.plan.crashes_by(DEADLY)) >= CRASHES:
            await one.fleet.loop.sleep(WINDOW_S)

    context.play = play(scenario, deadly={DEADLY})


def _is_deadly(number: int) -> bool:
    return number % 4 == 1


def batch_item(name: str, *, deadly: bool) -> dict[str, Any]:
    """Return an item of a job, with or without the deadly part."""
    part = f"{DEADLY}:95," if deadly else ""
    return {
        "id": name,
        "path": f"/bulk/{name}",
        "headers": {
            "X-Model": "m",
            "X-Token-Usage": "300,50",
            "X-Prompt-Prefix": f"{TEAM}:100,{part}b{name.encode().hex()}:50",
        },
        "body": b64encode(f"body {name}".encode()).decode(),
        "tokens": 350,
    }


@then("these items are not given up before their time and the other items complete")
def step_items_end(context: Any) -> None:
    expected = {f"item{number}": "completed" for number in range(8) if not _is_deadly(number)}
    assert context.results == expected, f"{context.results}, {_crash_times(context.play)}"


@when("a node gets no datagrams of the others while deadly requests come")
def step_cut_off(context: Any) -> None:
    async def scenario(one: DeadlyPlay) -> None:
        alone, *others = one.fleet.fronts
        alone.exchange.datagrams.close()
        for front in others:
            one.fleet.loop.spawn(one.deadly_client(front, "/chat/x", TEAM, DEADLY), "deadly")
            one.fleet.loop.spawn(one.sound_client(front, "/chat/x", TEAM), "sound")
        await one.until_crashes(DEADLY)
        await one.fleet.loop.sleep(CONTACT_S)
        parts = [TEAM, f"{TEAM}b0", DEADLY, "own"]
        before = len(one.plan.arrivals_with(DEADLY))
        context.alone = await one.ask(alone, "/chat/x", parts, DEADLY)
        context.arrived = len(one.plan.arrivals_with(DEADLY)) - before

    context.play = play(scenario, deadly={DEADLY})


@then("it refuses requests with the part soon after the others do")
def step_alone(context: Any) -> None:
    assert context.alone.status == 503 and context.arrived == 0, context.alone


GROUP = frozenset((PromptPart(DEADLY),))


@when("a trial is due and requests with the part come at all nodes")
def step_trial(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(3)
        keepers = [front.quarantine for front in fleet.fronts]
        keepers[0].add(GROUP, {})
        await keepers[0].records.store_group(GROUP)
        await fleet.until(lambda: all(GROUP in one.quarantine.groups for one in keepers))
        for one in keepers:
            one.quarantine.groups[GROUP].since_s -= FIRST_TRIAL_S
        context.passed = 0
        for _ in range(60):
            for one in keepers:
                context.passed += one.refusal((PromptPart(DEADLY),)) is None
            await fleet.loop.sleep(0.02)
        context.trials = [one.quarantine.groups[GROUP].trials for one in keepers]

    run_with_fleet(context, scenario)


@then("one node lets one request through, and all nodes know of the trial")
def step_one_trial(context: Any) -> None:
    assert context.passed == 1, context.passed
    assert context.trials == [1, 1, 1], context.trials


@when("a request with the part is answered before the store has confirmed the quarantine")
def step_release_while_stored(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(2)
        keepers = [front.quarantine for front in fleet.fronts]
        fleet.store.faults.delay_s = 0.3
        keepers[0].add(GROUP, {})
        storing = fleet.loop.spawn(keepers[0].records.store_group(GROUP))
        await fleet.loop.sleep(0.1)
        keepers[0].report_served((PromptPart(DEADLY),), fleet.loop.now())
        await storing
        fleet.store.faults.delay_s = 0.0
        await fleet.loop.sleep(1.0)
        context.left = [GROUP in one.quarantine.groups for one in keepers]
        context.keys = [key for key in fleet.store.rows if key.startswith(QUARANTINE_PREFIX)]

    run_with_fleet(context, scenario)


@then("no node keeps the part away afterwards")
def step_released(context: Any) -> None:
    assert context.left == [False, False] and not context.keys, (context.left, context.keys)


@when("only another node has heard of a quarantine from the node that decided")
def step_decider_ends(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(2)
        for on_quarantined in fleet.fronts[1].exchange.on_quarantined:
            on_quarantined(GROUP)
        await fleet.loop.sleep(2.0)
        context.stored = [key for key in fleet.store.rows if key.startswith(QUARANTINE_PREFIX)]
        await fleet.start(1, configured=False)
        await fleet.until(lambda: GROUP in fleet.fronts[2].quarantine.quarantine.groups)

    run_with_fleet(context, scenario)


@then("the quarantine is stored, and a node that starts afterwards keeps it")
def step_stored(context: Any) -> None:
    assert len(context.stored) == 1, context.stored
