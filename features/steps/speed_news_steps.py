"""Steps for what nodes tell each other of the speed of endpoints."""

from typing import Any

from behave import given, then, when

from features.support.load_exchange_fleet import LoadExchangeFleet
from features.support.loop import run_on_loop
from parsleyrouter.ids import EndpointId

NAME = EndpointId("e1")
STARTED_MS = 1
TOLD_WITHIN_S = 0.2
"""Well below the interval of full reports."""


@given("two nodes that have sent each other full load reports")
def step_two_nodes(context: Any) -> None:
    context.sizes = {"north": 2}


@when("a request of one of them meets a slow endpoint")
def step_meet_slow(context: Any) -> None:
    async def scenario(runtime: Any) -> None:
        fleet = LoadExchangeFleet(runtime, context.sizes)
        here, there = fleet.exchanges.values()
        for exchange in (here, there):
            exchange.loads.speeds.slowness(NAME, STARTED_MS, fleet.loop.now())
        await fleet.loop.sleep(1.0)
        before_s = here.full_sent_s
        while here.full_sent_s == before_s:
            await fleet.loop.sleep(0.005)
        full_s, now = here.full_sent_s, fleet.loop.now()
        here.loads.speeds.record_report(NAME, STARTED_MS, 2.5, now)
        here.loads.request_started(NAME, batch=False, now=now)
        await fleet.loop.sleep(TOLD_WITHIN_S)
        context.full_again = here.full_sent_s != full_s
        context.slowness = there.loads.speeds.slowness(NAME, STARTED_MS, fleet.loop.now())

    run_on_loop(scenario)


@then("the other node knows of it before the next full report")
def step_known(context: Any) -> None:
    assert not context.full_again
    assert context.slowness > 1.5, context.slowness
