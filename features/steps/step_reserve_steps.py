"""Steps for slots that a node keeps free of batch items before steps of demand."""

from typing import Any

from behave import given, then, when

from features.steps.front_jobs_steps import ITEMS, read, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.steps.job_states_steps import submit_other, two_routes
from features.steps.waiting_items_steps import metric
from features.support.front_fleet import FrontFleet
from parsleyrouter.demand import StepForecast, StepOutlook
from parsleyrouter.ids import ServiceName


class _ConstantForecast(StepForecast):
    """Expects every slot to be needed at any time."""

    def outlook(self, now: float) -> StepOutlook | None:
        return StepOutlook(0.0, 1.0)


@given("a node whose load shows recurring steps")
def step_node(context: Any) -> None:
    context.forecast = _ConstantForecast()


@when("its jobs have items that are due soon and items that are not")
def step_jobs(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        config = two_routes(service="engines", runTargetMs=5000)
        fleet.store.put_json("op/config", config)
        front = await fleet.start(configured=False)
        await fleet.until(lambda: front.routes.table is not None and front.registry.lease)
        await fleet.until(lambda: front.directory.endpoints)
        front.loads.demand.services[ServiceName("engines")] = context.forecast
        assert (await submit(fleet)).status == 202
        await submit_other(fleet)
        await fleet.until(lambda: metric(fleet, "reserved") == ITEMS)
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
