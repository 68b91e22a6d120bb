"""Steps for the active nodes of a large fleet and those on standby."""

from collections import Counter
from typing import Any

from behave import then, when

from features.steps.large_fleet_steps import ENDPOINT, SIZES, start_requests
from features.support.load_exchange_fleet import LoadExchangeFleet
from features.support.loop import run_on_loop
from parsleyrouter.ids import CellId, DomainName, NodeId
from parsleyrouter.process.address_directory import AddressDirectory
from parsleyrouter.process.cells import ACTIVE_CELL, MAX_MEAN_CELL_NODES, claim_rank


@when(
    "callers ask a standby node for addresses while active nodes are lost, stop or lose the store"
)
def step_ask_standby(context: Any) -> None:
    async def scenario(runtime: Any) -> None:
        fleet = LoadExchangeFleet(runtime, SIZES)
        await fleet.loop.sleep(1.2)
        active = [node for node in fleet.in_cell(ACTIVE_CELL) if node.startswith("north")]
        standby = fleet.in_cell(CellId("north/0"))[-1]
        directory = AddressDirectory(fleet.exchanges[standby].members)
        context.all = (active, directory.for_domain(DomainName("north")).addresses)
        fleet.silence(active[0])
        fleet.exchanges[active[1]].registry.leaving = True
        fleet.exchanges[active[2]].registry.store.failing = True
        for exchange in fleet.exchanges.values():
            exchange.broadcast()
        await fleet.loop.sleep(3.0)
        context.remaining = (active[3:], directory.for_domain(DomainName("north")).addresses)

    run_on_loop(scenario)


@then("the addresses are those of the active nodes that remain, of the caller's domain")
def step_remaining(context: Any) -> None:
    for expected, addresses in (context.all, context.remaining):
        assert sorted(addresses) == sorted(f"{node}:1" for node in expected), addresses


@when("the registration of an active node is gone although it serves")
def step_revoked(context: Any) -> None:
    async def scenario(runtime: Any) -> None:
        fleet = LoadExchangeFleet(runtime, SIZES)
        await fleet.loop.sleep(1.0)
        gone = fleet.in_cell(ACTIVE_CELL)[3]
        del fleet.registered[gone]
        await fleet.loop.sleep(2.0)
        others = fleet.exchanges[fleet.in_cell(ACTIVE_CELL)[0]].members
        context.active = len({*others.active} - {gone})
        context.replaced = gone not in others.active
        start_requests(fleet, fleet.in_cell(ACTIVE_CELL)[5])
        await fleet.loop.sleep(0.3)
        context.known = fleet.online_at(ENDPOINT)[gone]

    run_on_loop(scenario)


@then("another node takes its place, and it still knows the loads")
def step_replaced(context: Any) -> None:
    assert context.replaced and context.active == 2 * (MAX_MEAN_CELL_NODES // 2) - 1, context.active
    assert context.known == 4, context.known


@when("the fleet has no callers")
def step_no_callers(context: Any) -> None:
    async def scenario(runtime: Any) -> None:
        fleet = LoadExchangeFleet(runtime, {"north": 18, "south": 18})
        await fleet.loop.sleep(2.0)
        nodes = fleet.in_cell(CellId("north/0"))
        context.targets = {node: len(list(_targets(fleet, node))) for node in nodes}
        context.nodes = nodes

    run_on_loop(scenario)


def _targets(fleet: LoadExchangeFleet, node: NodeId) -> Any:
    return fleet.exchanges[node].members.report_targets()


@then("a node on standby sends reports to the first nodes of its cell only")
def step_few_reports(context: Any) -> None:
    first, second, *others = context.nodes
    assert len(context.nodes) == 8
    assert context.targets[first] == context.targets[second] == 7
    assert {context.targets[node] for node in others} == {2}, context.targets


@when("claimants rank for many jobs")
def step_claimants(context: Any) -> None:
    nodes = dict.fromkeys(NodeId(f"n{number}") for number in range(18))
    context.claimants = len(nodes)
    context.ranks = [
        [claim_rank(f"job{job}", node, nodes) for node in nodes] for job in range(1800)
    ]
    context.standby_rank = claim_rank("job", NodeId("standby"), nodes)


@then("each job has one first claimant, and each claimant as many jobs")
def step_claims_spread(context: Any) -> None:
    assert all(sorted(ranks) == list(range(context.claimants)) for ranks in context.ranks)
    firsts = Counter(ranks.index(0) for ranks in context.ranks)
    assert max(firsts.values()) < 2 * min(firsts.values()), firsts
    assert context.standby_rank is None
