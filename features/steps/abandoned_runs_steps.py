"""Steps for runs that a node gave up just before their endpoint crashed."""

from typing import Any

from behave import then, when

from features.steps.deadly_parts_steps import DEADLY, GROUP
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from parsleyrouter.ids import EndpointId, PromptPart
from parsleyrouter.process.crash_monitor import RunningRequest
from parsleyrouter.request.crash import Crash

PROMPT = (PromptPart(DEADLY),)


@when("an endpoint crashes just after a node has given up a run there, which another node reports")
def step_abandoned(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start(2)
        first, second = fleet.fronts
        registration = first.directory.endpoints[EndpointId("e1")]
        monitor = first.forward_context.crashes
        request = RunningRequest(registration, PROMPT, lambda: None)
        monitor.start(request)
        monitor.end(request, cut=False, served=False, abandoned=True)
        other = (PromptPart("other"),)
        crash = Crash(EndpointId("e1"), fleet.loop.now(), {other}, registration.started_ms)
        second.quarantine.report_crash(crash)
        await fleet.loop.sleep(0.5)
        keepers = (first.quarantine, second.quarantine)
        context.counts = [keeper.evidence.count_cuts(GROUP).count for keeper in keepers]

    run_with_fleet(context, scenario)


@then("both nodes count the run")
def step_counted(context: Any) -> None:
    assert context.counts == [1, 1], context.counts
