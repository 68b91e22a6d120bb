"""Steps for front processes whose engines name limits, with requests of all kinds."""

from typing import Any

from behave import given, then, when

from features.steps.endpoint_limits_steps import CONTACT_S
from features.steps.front_jobs_steps import submit
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import CallerAnswer, FrontFleet
from features.support.limit_play import WINDOW_S
from features.support.platform_endpoint import stream, stream_until

CALLS_PER_S = 25
PLAY_S = 11.0
LIMIT_PER_S = 2.0
TICK_S = 0.01
"""Waits are counted by a timer of the loop: on a busy machine each of its turns takes longer."""

AT_ONCE_S = 0.2


@given("nodes that serve two engines, of which {count:d} name a limit")
def step_engines(context: Any, count: int) -> None:
    context.limited = [f"e{number}" for number in range(1, count + 1)]


@when("callers stream at all nodes beyond the limits, streams break off and a job runs")
def step_stream(context: Any) -> None:
    context.answers = []
    context.ticks = 0

    async def count_ticks(fleet: FrontFleet) -> None:
        while True:
            await fleet.loop.sleep(TICK_S)
            context.ticks += 1

    async def ask(fleet: FrontFleet, number: int) -> None:
        caller = fleet.caller(fleet.fronts[number % len(fleet.fronts)])
        prefix = "/tale/" if number % 2 else "/chat/"
        begun = context.ticks
        answer = await caller.ask("POST", f"{prefix}{number}", attempt=f"a{number}")
        context.answers.append((answer, context.ticks - begun, caller.closed))
        caller.close()

    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            endpoint = fleet.register(name)
            if name in context.limited:
                endpoint.headers.append((b"Server-Limit", b"%g" % LIMIT_PER_S))
            endpoint.gap_s = 0.06
            endpoint.behaviours += [stream, stream_until(2)] * 20
        await fleet.start(3)
        fleet.loop.spawn(count_ticks(fleet))
        context.begun_s = fleet.loop.now()
        assert (await submit(fleet)).status == 202
        tasks = []
        for number in range(int(PLAY_S * CALLS_PER_S)):
            tasks.append(fleet.loop.spawn(ask(fleet, number)))
            await fleet.loop.sleep(1 / CALLS_PER_S)
        await fleet.loop.gather(tasks)

    run_with_fleet(context, scenario)


@then("each limited engine gets no more than its limit allows in any four seconds")
def step_engine_within(context: Any) -> None:
    since_s = context.begun_s + CONTACT_S
    for name in context.limited:
        arrivals = context.fleet.endpoints[name].arrivals
        times = [one.at_s for one in arrivals if one.at_s >= since_s]
        assert times, name
        most = max(sum(at <= one < at + WINDOW_S for one in times) for at in times)
        assert most <= 1.5 * LIMIT_PER_S * WINDOW_S + 5, (name, most)


@then("every caller is served or told at once that the request has not run")
def step_served_or_told(context: Any) -> None:
    refused: list[tuple[CallerAnswer, int]] = []
    for answer, ticks, closed in context.answers:
        if answer.status != 200 and not closed:
            assert answer.status == 503, answer.status
            refused.append((answer, ticks))
    longest = max((ticks for _, ticks in refused), default=0)
    assert (longest + 1) * TICK_S < AT_ONCE_S, longest
    told = [float(answer.headers["Retry-After"]) for answer, _ in refused]
    assert all(after_s > 0 for after_s in told), min(told)
