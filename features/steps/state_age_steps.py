"""Steps for the age of the state that nodes read from the store."""

from collections.abc import Callable
from typing import Any

import msgspec
from behave import given, then, when

import parsleyrouter.process.cells as cells
from features.steps.cell_reader_steps import start_cells
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet, routes
from parsleyrouter.ids import Address, DomainName, EndpointId, NodeId
from parsleyrouter.process.cell_reader import CHANGES_WAIT_S, DISCOVERY_S
from parsleyrouter.process.front import Front
from parsleyrouter.process.node_registry import NODES_PREFIX, RegisteredNode

CONTACT_S = 3.0
"""Time after trouble of the store from which a node counts as in touch again."""

Trouble = Callable[[FrontFleet, bool], None]
TROUBLES: dict[str, Trouble] = {}


def trouble(name: str) -> Callable[[Trouble], Trouble]:
    """Register a trouble of the store; it is called with whether it begins or ends."""

    def register(function: Trouble) -> Trouble:
        TROUBLES[name] = function
        return function

    return register


@trouble("is silent")
def _silent(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.silent = begins


@trouble("is silent and forgets its history")
def _forgetful(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.silent = begins
    fleet.store.forget_history()


@trouble("resets connections")
def _resetting(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.reset = begins


@trouble("is busy")
def _busy(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.refuse = 429 if begins else 0


@trouble("refuses all calls")
def _refusing(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.refuse = 503 if begins else 0


@trouble("is slow")
def _slow(fleet: FrontFleet, begins: bool) -> None:
    fleet.store.faults.delay_s = 0.25 if begins else 0.0


@trouble("is silent to one node")
def _silent_to_one(fleet: FrontFleet, begins: bool) -> None:
    address: Address = fleet.silent.address if begins else fleet.store.address
    fleet.fronts[0].store.address = address  # type: ignore[attr-defined]


@given("a fleet of {kind} nodes")
def step_fleet_kind(context: Any, kind: str) -> None:
    context.divided = kind == "divided"
    previous = cells.MAX_MEAN_CELL_NODES
    if context.divided:
        cells.MAX_MEAN_CELL_NODES = 3
    context.add_cleanup(lambda: setattr(cells, "MAX_MEAN_CELL_NODES", previous))


def change_all(fleet: FrontFleet, version: int) -> None:
    """Change the routes, an endpoint and the registered nodes."""
    fleet.store.put_json("op/config", routes(version))
    fleet.announce("e1", slots=version)
    node = NodeId(f"added-{version}")
    address = Address("127.0.0.1:9")
    added = RegisteredNode(node, DomainName("z1"), address, address, boot=1)
    fleet.store.put(NODES_PREFIX + node, msgspec.json.encode(added))


def has_all(front: Front, version: int) -> bool:
    endpoint = front.directory.endpoints.get(EndpointId("e1"))
    return (
        front.routes.version == version
        and endpoint is not None
        and endpoint.slots == version
        and NodeId(f"added-{version}") in front.registry.nodes
    )


@when("the store {name} for {seconds:f} s, and routes, endpoints and nodes change after it")
def step_trouble(context: Any, name: str, seconds: float) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        if context.divided:
            await start_cells(fleet)
        else:
            fleet.register("e1")
            await fleet.start(2)
            await fleet.loop.sleep(DISCOVERY_S + CHANGES_WAIT_S)
        TROUBLES[name](fleet, True)
        # Ends the reads that wait, so that the next ones are sent into the trouble.
        change_all(fleet, 2)
        await fleet.loop.sleep(seconds)
        TROUBLES[name](fleet, False)
        change_all(fleet, 3)
        ended_s = fleet.loop.now()
        await fleet.until(lambda: all(has_all(one, 3) for one in fleet.fronts), 9.0)
        context.took_s = fleet.loop.now() - ended_s

    run_with_fleet(context, scenario)


@then("every node acts on all of them before it counts as in touch again")
def step_in_touch(context: Any) -> None:
    assert context.took_s < CONTACT_S, context.took_s
