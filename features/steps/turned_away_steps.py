"""Steps for a node that the store turns away while it serves the others."""

from typing import Any

from behave import then, when

from features.steps.cell_reader_steps import SETTLED_S, start_cells
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from parsleyrouter.ids import EndpointId

UNUSED_LIMIT_S = 2.0
"""The shortest time for which endpoints serve on after the store has accepted that they go."""

TURNED_AWAY_S = 1.5


@when("the store turns a node away that reads from its leader, and an endpoint's registration goes")
def step_turn_away(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e2")
        _, others = await start_cells(fleet)
        await fleet.loop.sleep(SETTLED_S)
        node = others[-1]
        fleet.silent.faults.silent, fleet.silent.faults.refuse = False, 503
        node.store.address = fleet.silent.address  # type: ignore[attr-defined]
        await fleet.loop.sleep(TURNED_AWAY_S)
        context.failing, context.source = node.store.failing, node.reader.source
        fleet.store.remove("servers/e2")
        started_s = fleet.loop.now()
        await fleet.until(lambda: EndpointId("e2") not in node.directory.endpoints, 12.0)
        context.took_s = fleet.loop.now() - started_s
        context.kept = EndpointId("e1") in node.directory.endpoints

    run_with_fleet(context, scenario)


@then("the node stops using that endpoint within the time for which it serves on")
def step_unused(context: Any) -> None:
    assert context.failing
    assert context.source != "service"
    assert context.kept
    assert context.took_s < UNUSED_LIMIT_S, context.took_s
