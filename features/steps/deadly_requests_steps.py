"""Steps for requests whose copies crash endpoints."""

from collections.abc import Callable, Coroutine
from typing import Any

from behave import then, when

from features.support.crashing_endpoint import CrashPlan
from features.support.deadly_request_play import DeadlyRequestPlay
from features.support.front_fleet import FrontFleet
from features.support.log_records import collected_logs
from features.support.loop import run_on_loop

DEADLY = b"deadly body"


def play(
    scenario: Callable[[DeadlyRequestPlay], Coroutine[Any, Any, None]],
    path: str = "/chat/x",
    parts: tuple[str, ...] = (),
    bodies: tuple[bytes, ...] = (DEADLY,),
) -> DeadlyRequestPlay:
    """Run a scenario on a new fleet; return what was seen."""
    found: list[DeadlyRequestPlay] = []

    async def main(runtime: Any) -> None:
        fleet = FrontFleet(runtime)
        plan = CrashPlan(fleet, deadly_bodies=set(bodies))
        one = DeadlyRequestPlay(fleet, plan, path, list(parts))
        found.append(one)
        await one.start()
        await scenario(one)
        one.running = False
        await fleet.loop.sleep(0.3)

    run_on_loop(main)
    return found[0]


@when("copies of a request without prompt parts crash endpoints one after the other")
def step_copies_logged(context: Any) -> None:
    async def scenario(one: DeadlyRequestPlay) -> None:
        for _ in range(2):
            await one.ask(one.fleet.fronts[0], DEADLY, "own")
            await one.fleet.loop.sleep(0.5)

    with collected_logs("parsleyrouter.process.crash_monitor") as records:
        context.play = play(scenario)
    context.lines = [one for one in records if one.getMessage() == "endpoint crashed"]


@then("each crash has a line with the request's id, and all of them have the same fingerprint")
def step_crash_lines(context: Any) -> None:
    runs = [run for line in context.lines for run in line.runs]
    assert [run["request"] for run in runs] == ["1", "2"], runs
    prints = {run["fingerprint"] for run in runs}
    assert len(prints) == 1 and all(prints), runs
