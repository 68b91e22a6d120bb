"""Steps for many nodes that start at the same moment."""

from typing import Any

from behave import given, then, when

from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet, routes
from parsleyrouter.ids import DomainName
from parsleyrouter.process.address_directory import UNLISTED_WAIT_S, AddressDirectory
from parsleyrouter.process.front import Front

READS_PER_NODE_S = 20
"""What a store for 300 nodes answers: 6,000 reads a second."""

DOMAINS = ("north", "south", "west")
DOMAIN_NODES = 15
SERVING_LIMIT_S = 5.0


@given("a store that answers as many reads a second for each node as that of a large fleet")
def step_limited_store(context: Any) -> None:
    context.reads_per_s = READS_PER_NODE_S * DOMAIN_NODES * len(DOMAINS)


@when("all nodes of a divided fleet start at the same moment")
def step_start_together(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        fleet.store.put_json("op/config", routes())
        fleet.store.faults.reads_per_s = context.reads_per_s
        started_s = fleet.loop.now()
        for domain in DOMAINS:
            fleet.assemble(DOMAIN_NODES, domain=domain)
        await fleet.until(lambda: all(_knows_all(fleet, one) for one in fleet.fronts), 30.0)
        context.took_s = fleet.loop.now() - started_s
        await fleet.loop.sleep(1.0)
        context.refused = fleet.store.refused_reads
        context.divided = all(one.exchange.members.divided for one in fleet.fronts)

    run_with_fleet(context, scenario)


def _knows_all(fleet: FrontFleet, front: Front) -> bool:
    return (
        len(front.registry.nodes) == len(fleet.fronts)
        and front.routes.table is not None
        and len(front.directory.endpoints) == len(fleet.endpoints)
    )


@then("the store refuses no read, and all nodes know all others within 5 s")
def step_started(context: Any) -> None:
    assert context.divided
    assert context.refused == 0, context.refused
    assert context.took_s < SERVING_LIMIT_S, context.took_s


@given("a store that is silent to a node that starts")
def step_silent_to_new(context: Any) -> None:
    context.domain = DomainName("z1")


@when("callers ask that node for addresses at once, when it has read who the others are, and later")
def step_ask_new(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(2)
        fleet.assemble(1)
        new = fleet.fronts[2]
        directory = AddressDirectory(new.exchange.members)
        context.at_once = directory.for_domain(context.domain).addresses
        await fleet.until(lambda: len(directory.for_domain(context.domain).addresses) == 3)
        fleet.assemble(1, store=fleet.silent)
        directory = AddressDirectory(fleet.fronts[3].exchange.members)
        fleet.fronts[3].exchange.members.fleet.nodes.clear()
        context.unlisted = directory.for_domain(context.domain).addresses
        await fleet.loop.sleep(UNLISTED_WAIT_S)
        context.later = directory.for_domain(context.domain).addresses
        context.own = fleet.fronts[3].registry.own.callers

    run_with_fleet(context, scenario)


@then("it names no address at first, then all nodes, and itself if the store stays silent")
def step_asked_new(context: Any) -> None:
    assert context.at_once == [], context.at_once
    assert context.unlisted == [], context.unlisted
    assert context.own in context.later, context.later
