"""Steps for a node that the store turns away while it serves the others."""

from typing import Any

from behave import then, when

from features.steps.cell_reader_steps import QUIET_S, SETTLED_S, change_routes, start_cells
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from parsleyrouter.ids import EndpointId

UNUSED_LIMIT_S = 2.0
"""The shortest time for which endpoints serve on after the store has accepted that they go."""

TURNED_AWAY_S = 1.5

REPLACED_S = 9.0
"""Time after which the lease of a node that is turned away has ended, another node has its place,
and those that were refused meanwhile ask their leaders again."""


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


@when("the store turns the leader of the active cell away {phase} and the fleet is idle")
def step_turn_leader_away(context: Any, phase: str) -> None:
    context.turned_away_s = {"for a moment": TURNED_AWAY_S, "for long": REPLACED_S}[phase]

    async def scenario(fleet: FrontFleet) -> None:
        leaders, _ = await start_cells(fleet)
        await fleet.loop.sleep(SETTLED_S)
        fleet.silent.faults.silent, fleet.silent.faults.refuse = False, 503
        leaders[0].store.address = fleet.silent.address  # type: ignore[attr-defined]
        await fleet.loop.sleep(context.turned_away_s)
        before = [one.store.call_counts["changes"] for one in fleet.fronts]
        await fleet.loop.sleep(QUIET_S)
        context.calls = [
            one.store.call_counts["changes"] - count
            for one, count in zip(fleet.fronts, before, strict=True)
        ]
        context.took_s = await change_routes(fleet, fleet.fronts)

    run_with_fleet(context, scenario)


@then("one other node reads from the store, and all nodes get new routes at once")
def step_one_reads(context: Any) -> None:
    assert sum(count > 0 for count in context.calls) == 1, context.calls
    assert context.took_s < 0.5, context.took_s
