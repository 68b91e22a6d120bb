"""Steps for slots that a node keeps free of batch items before steps of demand."""

from typing import Any

from behave import given, then, when

from features.steps.front_jobs_steps import ITEMS, read, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.steps.waiting_items_steps import metric
from features.support.front_fleet import FrontFleet, routes
from parsleyrouter.demand import StepForecast, StepOutlook
from parsleyrouter.ids import ServiceName


class _ConstantForecast(StepForecast):
    """Expects every slot to be needed at any time."""

    def outlook(self, now: float) -> StepOutlook | None:
        return StepOutlook(0.0, 1.0)


def hurried_routes() -> dict[str, Any]:
    """Return routes whose batch items are late from the start, so that they rank last."""
    config = routes(2)
    batch = next(one for one in config["routes"] if one["kind"] == "batch")
    config["routes"] = [one for one in config["routes"] if one is not batch]
    config["routes"].append(batch | {"runTargetMs": 4000})
    return config


@given("a node whose load shows recurring steps")
def step_node(context: Any) -> None:
    context.forecast = _ConstantForecast()


@when("its jobs have items that are due soon and items that are not")
def step_jobs(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        front = await fleet.start()
        front.loads.demand.services[ServiceName("engines")] = context.forecast
        assert (await submit(fleet)).status == 202
        await fleet.until(lambda: metric(fleet, "reserved") == ITEMS)
        fleet.store.put_json("op/config", hurried_routes())
        await fleet.until(lambda: front.routes.version == 2)
        assert (await submit(fleet, job="job2")).status == 202
        context.urgent = await read_all(fleet, job="job2")
        context.reserved = metric(fleet, "reserved")
        context.early = (await read(fleet))["results"]
        context.later = await read_all(fleet)

    run_with_fleet(context, scenario)


@then('only the items that are due soon run in the step, and the others wait for "reserved"')
def step_only_urgent(context: Any) -> None:
    assert [one["state"] for one in context.urgent] == ["completed"] * ITEMS
    assert (context.reserved, context.early) == (ITEMS, [])
    assert [one["state"] for one in context.later] == ["completed"] * ITEMS
