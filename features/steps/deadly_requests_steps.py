"""Steps for requests whose copies crash endpoints."""

import functools
import json
from collections.abc import Callable, Coroutine
from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.steps.deadly_parts_steps import JOB_LIMIT_S, TEAM, batch_item
from features.support.crashing_endpoint import CrashPlan
from features.support.deadly_play import CONTACT_S
from features.support.deadly_request_play import CRASHES, ENDPOINTS, DeadlyRequestPlay
from features.support.front_fleet import FrontFleet
from features.support.log_records import collected_logs
from features.support.loop import run_on_loop
from features.support.request_play import RequestPlay
from parsleyrouter.process.quarantine_records import QUARANTINE_PREFIX
from parsleyrouter.request.fingerprint import is_fingerprint

DEADLY = b"deadly body"
MAX_LATER = 3
WINDOW_S = 2.5
"""How long copies still come from when a check applies."""

PARTS = ("team", "second")


def play(
    scenario: Callable[[DeadlyRequestPlay], Coroutine[Any, Any, None]],
    path: str = "/chat/x",
    parts: tuple[str, ...] = (),
    bodies: tuple[bytes, ...] = (DEADLY,),
    endpoints: int = ENDPOINTS,
) -> DeadlyRequestPlay:
    """Run a scenario on a new fleet; return what was seen."""
    found: list[DeadlyRequestPlay] = []

    async def main(runtime: Any) -> None:
        fleet = FrontFleet(runtime)
        plan = CrashPlan(fleet, deadly_bodies=set(bodies))
        one = DeadlyRequestPlay(fleet, plan, path, list(parts))
        found.append(one)
        await one.start(endpoints=endpoints)
        await scenario(one)
        one.running = False
        await fleet.loop.sleep(0.3)

    run_on_loop(main)
    return found[0]


async def crash_twice(one: DeadlyRequestPlay) -> None:
    """Send a deadly request, and again as soon as the endpoint is known to have returned."""
    front = one.fleet.fronts[0]

    def latest_start() -> int:
        return max(entry.started_ms for entry in front.directory.endpoints.values())

    before = latest_start()
    await one.ask(front, DEADLY, "own")
    await one.fleet.until(lambda: latest_start() > before)
    await one.ask(front, DEADLY, "own")
    await one.fleet.until(lambda: latest_start() > before + 1)


def play_crash_lines(context: Any, endpoints: int) -> None:
    with collected_logs("parsleyrouter.process.crash_monitor") as records:
        context.play = play(crash_twice, endpoints=endpoints)
    context.lines = [one for one in records if one.getMessage() == "endpoint crashed"]


@when("copies of a request without prompt parts crash endpoints one after the other")
def step_copies_logged(context: Any) -> None:
    play_crash_lines(context, ENDPOINTS)


@when("copies of a request crash an endpoint, and again as soon as it has returned")
def step_copies_crash_one(context: Any) -> None:
    play_crash_lines(context, 1)


@then("each crash has a line with the request's id, and all of them have the same fingerprint")
def step_crash_lines(context: Any) -> None:
    runs = [run for line in context.lines for run in line.runs]
    assert [run["request"] for run in runs] == ["1", "2"], runs
    prints = {run["fingerprint"] for run in runs}
    assert len(prints) == 1 and all(prints), runs


@functools.cache
def mixed_play(parts: tuple[str, ...]) -> DeadlyRequestPlay:
    """Play copies of a deadly request and sound requests once for all checks."""

    async def scenario(one: DeadlyRequestPlay) -> None:
        one.spawn_clients(DEADLY)
        await one.until_crashes(DEADLY)
        await one.fleet.loop.sleep(CONTACT_S + WINDOW_S)

    return play(scenario, parts=parts)


@when("copies of a request without prompt parts come at all nodes among sound ones")
def step_without_parts(context: Any) -> None:
    context.play = mixed_play(())


@when("copies of a request come at all nodes among sound ones that share its prompt parts")
def step_with_parts(context: Any) -> None:
    context.play = mixed_play(PARTS)


@then("at most three copies reach endpoints later than 3 s after its third crash")
def step_few_later(context: Any) -> None:
    later, crashes = context.play.later_arrivals(DEADLY), context.play.plan.crashes
    assert later <= MAX_LATER, (later, [round(one.at_s, 2) for one in crashes])


@then("no sound request is refused because of crashes")
def step_none_refused(context: Any) -> None:
    assert context.play.refused_share() == 0.0, context.play.refused_share()


@when("fleets of many sizes get copies of up to three deadly requests beside other crashes")
def step_plays(context: Any) -> None:
    context.plays = []

    @settings(max_examples=40, derandomize=True, deadline=None)
    @for_all(
        st.integers(0, 2**20),
        st.integers(4, 30),
        st.integers(1, 3),
        st.floats(0.01, 0.2),
        st.integers(1, 4),
        st.booleans(),
        st.sampled_from([0, 1, 2]),
        st.sampled_from([0.0, 0.05, 0.2]),
    )
    def run(
        seed: int,
        endpoints: int,
        requests: int,
        share: float,
        burst: int,
        with_parts: bool,
        deadly_parts: int,
        ordinary_per_s: float,
    ) -> None:
        play = RequestPlay(
            seed,
            endpoints=endpoints,
            rate_per_s=4.0 * endpoints,
            deadly_requests=requests,
            copies_share=share,
            burst=burst,
            with_parts=with_parts,
            deadly_parts=deadly_parts,
            deadly_share=0.03,
            ordinary_per_s=ordinary_per_s,
        )
        context.plays.append(play.run())

    run()


def late_counts(plays: list[RequestPlay], *, requests: bool) -> list[tuple[int, RequestPlay]]:
    """Return how many of each deadly request, or with each deadly part, were sent late."""
    return [
        (count, one)
        for one in plays
        for part, count in one.sent_late().items()
        if is_fingerprint(part) is requests
    ]


@then("at most three copies of each are sent later than 3 s after its third crash")
def step_few_copies_late(context: Any) -> None:
    late = late_counts(context.plays, requests=True)
    assert len(late) > 20
    too_many = [(count, one.seed) for count, one in late if count > MAX_LATER]
    assert not too_many, too_many


@then("at most three requests with each deadly part are sent later than 3 s after its fifth crash")
def step_few_with_part_late(context: Any) -> None:
    late = late_counts(context.plays, requests=False)
    assert len(late) > 5
    too_many = [(count, one.seed) for count, one in late if count > MAX_LATER]
    assert not too_many, too_many


@then("fewer than one in a hundred sound requests is refused in the second half of all plays")
def step_few_sound_refused(context: Any) -> None:
    refused = sum(one.refused_at_end for one in context.plays)
    sound = sum(one.sound_at_end for one in context.plays)
    assert refused < sound / 100, (refused, sound)


def is_quarantine_key(key: str) -> bool:
    """Return whether a key of the store holds a quarantine."""
    return key.startswith(QUARANTINE_PREFIX)


@when("copies crash endpoints while the store is away, and a node starts after it is back")
def step_store_away(context: Any) -> None:
    async def scenario(one: DeadlyRequestPlay) -> None:
        fleet = one.fleet
        fleet.store.faults.refuse = 503
        tellers = fleet.fronts[:2]
        for front in tellers:
            fleet.loop.spawn(one.copy_client(front, DEADLY), "copies")
        await one.until_crashes(DEADLY)
        one.running = False
        await fleet.loop.sleep(1.0)
        context.before = len(one.arrivals_of(DEADLY))
        context.answers = [await one.ask(front, DEADLY, "own") for front in fleet.fronts]
        fleet.store.faults.refuse = 0
        await fleet.until(lambda: any(map(is_quarantine_key, fleet.store.rows)))
        await fleet.start(1, configured=False)
        late = fleet.fronts[-1]
        await fleet.until(lambda: late.routes.table is not None)
        await fleet.until(lambda: bool(late.directory.endpoints))
        context.answers.append(await one.ask(late, DEADLY, "own"))
        context.arrived = len(one.arrivals_of(DEADLY))
        keepers = [front.quarantine for front in fleet.fronts]
        await fleet.until(lambda: all(one.records.stored for one in keepers))
        for key in list(filter(is_quarantine_key, fleet.store.rows)):
            fleet.store.remove(key)
        context.held = [len(one.quarantine.groups) for one in keepers]
        await fleet.until(lambda: not any(one.quarantine.groups for one in keepers))
        context.held_after = [len(one.quarantine.groups) for one in keepers]

    context.play = play(scenario)


@then("no node sends a further copy, each refusal is true and names the remedy")
def step_refused_everywhere(context: Any) -> None:
    assert context.arrived == context.before, (context.before, context.arrived)
    for answer in context.answers:
        assert answer.status == 503, (answer.status, answer.body)
        assert float(answer.headers["Retry-After"]) > 0
        assert b"change it, or try again later" in answer.body, answer.body


@then("the quarantine ends at all nodes when its key is removed from the store")
def step_key_removed(context: Any) -> None:
    assert context.held == [1] * 4 and context.held_after == [0] * 4, context.held


@when("a job runs beside copies of a request with the same prompt parts")
def step_job_beside(context: Any) -> None:
    async def scenario(one: DeadlyRequestPlay) -> None:
        for front in one.fleet.fronts:
            one.fleet.loop.spawn(one.copy_client(front, DEADLY), "copies")
        items = [batch_item(f"item{number}", deadly=False) for number in range(8)]
        answer = await one.fleet.caller().ask(
            "POST",
            "/bulk/x",
            json.dumps({"items": items}).encode(),
            attempt="job1",
            deadline_ms=None,
        )
        assert answer.status == 202, answer.status
        until_s = one.fleet.loop.now() + JOB_LIMIT_S
        context.results = {}
        while len(context.results) < len(items) and one.fleet.loop.now() < until_s:
            page = await one.fleet.caller().ask(
                "GET", "/lots/job1?after=0", headers=[("X-Wait-Ms", "500")], deadline_ms=None
            )
            rows = json.loads(page.body)["results"] if page.status == 200 else []
            context.results = {row["id"]: row["state"] for row in rows}
            await one.fleet.loop.sleep(0.2)

    context.play = play(scenario, parts=(TEAM, "second"))


@then("all of its items complete")
def step_items_complete(context: Any) -> None:
    expected = {f"item{number}": "completed" for number in range(8)}
    assert context.results == expected, context.results
    assert len(context.play.plan.crashes) >= CRASHES
