"""Steps for reads through the leader of a cell, and for job results read from peers."""

from functools import partial
from typing import Any

from behave import given, then, when

import parsleyrouter.process.cells as cells
from features.steps.front_jobs_steps import ITEMS, read, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet, routes
from parsleyrouter.connection.peer import PeerFailure, PeerFailureKind
from parsleyrouter.ids import Address, ItemId, ItemIndex, JobId, NodeId
from parsleyrouter.process.cell_reader import (
    CHANGES_WAIT_S,
    READ_PAUSE_S,
    STANDBY_ANSWER_MAX_AGE_S,
)
from parsleyrouter.process.cells import ACTIVE_CELL
from parsleyrouter.process.front import Front
from parsleyrouter.request.shared_job import ItemResult, ItemState

QUIET_S = 2.0

SETTLED_S = 5.0
"""Time after which all nodes read from their leaders, also those that were refused at the start."""

SLOW_ANSWER_S = 0.25
"""Time that an answer of a slow service takes."""


@given("a large fleet of a few nodes that are divided into cells")
def step_few(context: Any) -> None:
    previous = cells.MAX_MEAN_CELL_NODES
    cells.MAX_MEAN_CELL_NODES = 3
    context.add_cleanup(lambda: setattr(cells, "MAX_MEAN_CELL_NODES", previous))


async def start_cells(fleet: FrontFleet) -> tuple[list[Front], list[Front]]:
    """Start eight nodes in two domains; return the cell leaders, the active one first, and others.

    Each domain has one active node, which leads the active cell or follows, and three on standby.
    """
    fleet.register("e1")
    await fleet.start(4, domain="north")
    await fleet.start(4, domain="south")
    members = [front.exchange.members for front in fleet.fronts]
    await fleet.until(lambda: sorted(len(one.peers) for one in members) == [1, 1, 2, 2, 2, 2, 2, 2])
    await fleet.loop.sleep(1.5)
    leaders = [front for front in fleet.fronts if is_leader(front)]
    leaders.sort(key=lambda front: front.exchange.members.cell != ACTIVE_CELL)
    return leaders, [one for one in fleet.fronts if one not in leaders]


def is_leader(front: Front) -> bool:
    return front.exchange.members.leader() == front.registry.own.node


async def change_routes(fleet: FrontFleet, nodes: list[Front], limit_s: float = 4.0) -> float:
    """Change the routes; return how long it took until all nodes had them."""
    fleet.store.put_json("op/config", routes(2))
    started_s = fleet.loop.now()
    await fleet.until(lambda: all(one.routes.version == 2 for one in nodes), limit_s)
    return fleet.loop.now() - started_s


@when("the fleet is idle and the routes change")
def step_rest(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        leaders, others = await start_cells(fleet)
        await fleet.loop.sleep(SETTLED_S)
        context.leaders = len(leaders)
        others = leaders[1:] + others
        before = [one.store.call_counts["changes"] for one in others]
        await fleet.loop.sleep(QUIET_S)
        context.calls = [
            one.store.call_counts["changes"] - count_before
            for one, count_before in zip(others, before, strict=True)
        ]
        context.sources = {one.reader.source for one in others}
        context.took_s = await change_routes(fleet, fleet.fronts)

    run_with_fleet(context, scenario)


@then("only the active leader reads from the store, and all nodes get the new routes at once")
def step_rested(context: Any) -> None:
    assert context.leaders == 3
    assert context.calls == [0] * 7, context.calls
    assert "service" not in context.sources
    assert context.took_s < 0.5, context.took_s


@when("the longest age of what the leader of a cell on standby knows is added up")
def step_longest_age(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        leaders, _ = await start_cells(fleet)
        context.longest_s = [
            2 * CHANGES_WAIT_S + READ_PAUSE_S + one.reader.pause_s(READ_PAUSE_S)
            for one in leaders[1:]
        ]

    run_with_fleet(context, scenario)


@then("a slow answer beside it is no reason to refuse the other nodes of the cell")
def step_not_refused(context: Any) -> None:
    assert max(context.longest_s) + SLOW_ANSWER_S <= STANDBY_ANSWER_MAX_AGE_S, context.longest_s


def _address_unless_failed(front: Front, leader: Front) -> tuple[NodeId, Address] | None:
    if front.loop.now() < front.reader.leader_retry_at_s:
        return None
    return leader.registry.own.node, leader.registry.own.nodes


@when("two nodes ask each other while neither reads from the store")
def step_ask_each_other(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        leaders, _ = await start_cells(fleet)
        first, second = leaders[0], leaders[1]
        await fleet.loop.sleep(SETTLED_S)
        for one, other in ((first, second), (second, first)):
            one.reader._leader_address = partial(  # type: ignore[method-assign]
                _address_unless_failed, one, other
            )
        # Ends the reads that wait at the store, which would return the change.
        await fleet.loop.sleep(CHANGES_WAIT_S)
        context.took_s = CHANGES_WAIT_S + await change_routes(fleet, [first, second])

    run_with_fleet(context, scenario)


@then("both have routes that change meanwhile within three seconds")
def step_both_have(context: Any) -> None:
    assert context.took_s < 3.0, context.took_s


@when("the fleet is idle for a while")
def step_rest_long(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        leaders, _ = await start_cells(fleet)
        await fleet.loop.sleep(2 * QUIET_S)
        context.waiting = [
            len(watched.changed.waiters)
            for one in leaders
            for watched in one.reader.prefixes.values()
        ]

    run_with_fleet(context, scenario)


@then("no more readers wait at a leader than its cell has other nodes")
def step_bounded_readers(context: Any) -> None:
    assert max(context.waiting) <= 3, context.waiting


@when("the store stops responding to a leader and the routes change")
def step_cut_leader(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        leaders, others = await start_cells(fleet)
        leaders[0].store.address = Address("127.0.0.1:9")
        await fleet.loop.sleep(0.7)
        context.took_s = await change_routes(fleet, others)

    run_with_fleet(context, scenario)


@when("the leaders answer no calls and the routes change")
def step_paused_leader(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        leaders, others = await start_cells(fleet)
        for leader in leaders:
            leader.peers.methods.methods["cell.followed"] = (
                leader.peers.methods.methods["cell.followed"][0],
                lambda *_: fleet.loop.sleep(30.0),
            )
        await fleet.loop.sleep(0.7)
        context.took_s = await change_routes(fleet, others)

    run_with_fleet(context, scenario)


@then("the other nodes have the new routes within two seconds")
def step_routes_updated(context: Any) -> None:
    assert context.took_s < 2.0, context.took_s


@when("the store refuses all calls for a moment and a registration expires meanwhile")
def step_registration_expires(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_cells(fleet)
        fleet.store.faults.refuse = 503
        await fleet.loop.sleep(0.25)
        fleet.store.remove("servers/e1")
        await fleet.loop.sleep(0.25)
        fleet.store.faults.refuse = 0
        context.missed = 0
        for _ in range(100):
            await fleet.loop.sleep(0.015)
            context.missed += sum(not one.directory.endpoints for one in fleet.fronts)
        fleet.announce("e1")
        await fleet.loop.sleep(2.5)
        context.known = [len(one.directory.endpoints) for one in fleet.fronts]

    run_with_fleet(context, scenario)


@then("every node keeps the endpoint until it is back")
def step_kept(context: Any) -> None:
    assert context.missed == 0
    assert context.known == [1] * 8


@when("a job is submitted at one node and its results are read at another that knows its owner")
def step_read_at_owner(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start(2)
        assert (await submit(fleet)).status == 202
        other = fleet.fronts[1]
        await fleet.until(lambda: JobId("job1") in other.job_directory.jobs)
        before = len(fleet.store.faults.calls)
        context.results = await read_all(fleet, node=1)
        context.again = await read(fleet, node=1)
        calls = fleet.store.faults.calls[before:]
        context.calls = [call for call in calls if "parsley%2Fresult" in call]

    run_with_fleet(context, scenario)


@then("the other reads all results without a call to the store for them")
def step_no_calls(context: Any) -> None:
    assert len(context.results) == ITEMS
    assert context.again["results"] == context.results
    assert not context.calls, context.calls


@when("the node that runs a job cannot be reached by another that is asked for results")
def step_cut_owner(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start(2)
        fleet.fronts[1].runtime.peers.call = unreachable(fleet)  # type: ignore[method-assign]
        assert (await submit(fleet)).status == 202
        await fleet.until(lambda: JobId("job1") in fleet.fronts[1].job_directory.jobs)
        context.results = await read_all(fleet, node=1)

    run_with_fleet(context, scenario)


def unreachable(fleet: FrontFleet) -> Any:
    async def call(address: Any, *_: Any) -> Any:
        await fleet.loop.sleep(0.05)
        return PeerFailure(PeerFailureKind.TIMEOUT, f"{address}: no answer")

    return call


@then("the other reads all results from the store")
def step_from_store(context: Any) -> None:
    assert len(context.results) == ITEMS


@when("a node's lease has not been renewed and another node appends results of its job")
def step_unsure(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(1)
        front = fleet.fronts[0]
        assert (await submit(fleet)).status == 202
        await fleet.until(lambda: bool(front.worker.owner.runs))
        front.registry.lease_is_fresh = lambda: False  # type: ignore[method-assign]
        result = ItemResult(ItemId("item0"), ItemState.COMPLETED, "text")
        store = front.worker.owner.store
        await store.list_results(JobId("job1"), 0, {ItemIndex(0): result})
        context.page = await read(fleet)

    run_with_fleet(context, scenario)


@when("a node has taken over a job and the previous owner appends its results")
def step_taken_over(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(1)
        front = fleet.fronts[0]
        owner = front.worker.owner
        assert (await submit(fleet)).status == 202
        await fleet.until(lambda: bool(owner.runs))
        fleet.store.put("parsley/live/job/job1/owner", b"front-9")
        await fleet.until(lambda: not owner.runs)
        fleet.store.remove("parsley/live/job/job1/owner")
        await fleet.until(lambda: JobId("job1") in owner.runs)
        result = ItemResult(ItemId("item0"), ItemState.COMPLETED, "text")
        await owner.store.list_results(JobId("job1"), 0, {ItemIndex(0): result})
        context.page = await read(fleet)

    run_with_fleet(context, scenario)


@then("readers at the first node see them")
def step_seen(context: Any) -> None:
    assert [one["id"] for one in context.page["results"]] == ["item0"]
