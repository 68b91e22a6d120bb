"""Steps for the limits on customers' requests, at real front processes with stand-ins."""

from typing import Any

from behave import then, when

from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from features.support.limit_fleet import (
    LimitedCallers,
    allowed,
    most_in_window,
    runs,
    start_limited,
)

RATE_PER_S = 20.0
MIN_SHARE = 0.9
"""Stated least share of what a customer may send."""

LOAD_S = 7.0


@when("a limited customer sends three times its limit to {where} of four nodes")
def step_send_over_limit(context: Any, where: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_limited(fleet, 4, RATE_PER_S)
        callers = LimitedCallers(fleet)
        entries = fleet.fronts if where == "all" else fleet.fronts[:1]
        await callers.send(3 * RATE_PER_S, LOAD_S, entries)
        context.runs = runs(fleet)
        context.callers = callers

    run_with_fleet(context, scenario)


@then("nine tenths of the limit run and no window holds more than is allowed")
def step_nine_tenths(context: Any) -> None:
    callers = context.callers
    assert callers.count(200) + callers.count(429) == callers.sent, {
        answer.status for _, answer in callers.answers
    }
    assert len(context.runs) >= MIN_SHARE * RATE_PER_S * LOAD_S, len(context.runs)
    assert most_in_window(context.runs) <= allowed(RATE_PER_S), most_in_window(context.runs)
