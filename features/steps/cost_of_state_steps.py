"""Steps for the cost of load reports and of calls to the store."""

import contextlib
from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.steps.front_jobs_steps import ITEMS, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from parsleyrouter.ids import Address, DomainName, EndpointId, JobId, NodeId
from parsleyrouter.process.fleet_loads import (
    FleetLoads,
    NodeLoadChanges,
    NodeLoadReport,
    RequestCounts,
)
from parsleyrouter.process.load_changes import (
    MARK,
    REPEATED_REPORTS,
    ChangeWindow,
    decode_changes,
    encode_changes,
)
from parsleyrouter.process.load_codec import InvalidLoadReport, encode_node_report
from parsleyrouter.process.node_registry import RegisteredNode
from parsleyrouter.process.shared_job_store import JobKeys

NODE = NodeId("front-a-12")
USED = 24
"""Endpoints that a busy node uses at a time."""

Uses = dict[EndpointId, RequestCounts]


def counts(given: dict[str, tuple[int, int]]) -> Uses:
    return {
        EndpointId(name): RequestCounts(*pair) for name, pair in given.items() if pair != (0, 0)
    }


@when("a node's counts change at random and two reports of three in a row may be lost")
def step_lose_reports(context: Any) -> None:
    pairs = st.tuples(st.integers(0, 3), st.integers(0, 3))
    steps = st.tuples(st.dictionaries(st.sampled_from("pqrstu"), pairs), st.booleans())

    @for_all(st.lists(steps, max_size=30))
    def check(steps: list[tuple[dict[str, tuple[int, int]], bool]]) -> None:
        fleet, window, now, lost_in_row = FleetLoads(), ChangeWindow(), 5.0, 0
        window.advance({})
        fleet.apply_node(NodeLoadReport(NODE, 1, 1, {}, received_s=now))
        for sequence, (given, lost) in enumerate(steps, 2):
            uses, now = counts(given), now + 0.01
            changes = NodeLoadChanges(NODE, 1, sequence, window.advance(uses))
            lost_in_row = lost_in_row + 1 if lost and lost_in_row + 1 < REPEATED_REPORTS else 0
            if lost_in_row:
                continue
            assert fleet.apply_changes(decode_changes(encode_changes(changes, now), now))
            assert fleet.nodes[NODE].uses == uses
            for name in "pqrstu":
                found = fleet.counts_at(EndpointId(name), now)
                assert found == uses.get(EndpointId(name), RequestCounts())

    context.check = check


@then("after each report that arrives the receiver's counts are the sender's")
def step_exact(context: Any) -> None:
    context.check()


@when("a node that uses many endpoints reports one request that started and one that ended")
def step_busy(context: Any) -> None:
    window = ChangeWindow()
    uses = {EndpointId(f"i-{number:010x}"): RequestCounts(2, 1) for number in range(USED)}
    for step in range(10):
        first, second = list(uses)[step], list(uses)[step + 1]
        uses = uses | {first: RequestCounts(1, 1), second: RequestCounts(3, 1)}
        changed = window.advance(uses)
    address = Address("10.1.0.35:7660")
    own = RegisteredNode(NODE, DomainName("suva-a"), address, address, boot=1780533481086)
    report = NodeLoadReport(NODE, own.boot, 812, uses)
    context.full = len(encode_node_report(report, own, 0.0, addressed=False))
    context.changes = len(encode_changes(NodeLoadChanges(NODE, own.boot, 812, changed), 0.0))


@then("its report of changes takes less than half of the bytes of its full report")
def step_half(context: Any) -> None:
    assert context.changes < context.full / 2, (context.changes, context.full)


@when("changes come of a node that has not reported, of a former start and out of order")
def step_unknown_start(context: Any) -> None:
    fleet = FleetLoads()
    uses = counts({"p": (9, 9)})
    context.applied = [fleet.apply_changes(NodeLoadChanges(NODE, 1, 5, uses, received_s=1.0))]
    fleet.apply_node(NodeLoadReport(NODE, 2, 7, counts({"p": (1, 0)}), received_s=1.0))
    for boot, sequence in ((1, 8), (3, 8), (2, 7), (2, 6)):
        changes = NodeLoadChanges(NODE, boot, sequence, uses, received_s=1.0)
        context.applied.append(fleet.apply_changes(changes))
    context.found = fleet.counts_at(EndpointId("p"), 1.1)


@then("none of them changes any count")
def step_unchanged(context: Any) -> None:
    assert context.applied == [False] * 5
    assert context.found == RequestCounts(1, 0)


@when("any bytes follow the mark of a report of changes")
def step_any_bytes(context: Any) -> None:
    @for_all(st.binary(max_size=200))
    def check(data: bytes) -> None:
        with contextlib.suppress(InvalidLoadReport):
            decode_changes(MARK + data, 1.0)

    context.check = check


@then("they are decoded or refused as not valid, and nothing else fails")
def step_dropped(context: Any) -> None:
    context.check()


@when("all items of a job end at a node")
def step_job_ends(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        await submit(fleet)
        results = await read_all(fleet)
        await fleet.loop.sleep(0.5)
        keys = JobKeys(JobId("job1"))
        context.listed = len(results)
        context.closing = [one for one in fleet.store.transactions if keys.record in one][1:]
        context.last_mark = keys.listed
        context.gets = fleet.fronts[0].store.call_counts["get"]
        context.owned = keys.owner in fleet.store.rows

    run_with_fleet(context, scenario)


@then("its last listing closes it, and nothing closes it again")
def step_closed_once(context: Any) -> None:
    assert context.listed == ITEMS
    assert len(context.closing) == 1, context.closing
    assert context.last_mark in context.closing[0], context.closing
    assert context.gets == 0, context.gets
    assert not context.owned


@when("the results of a job that no node is known to have run are read at each of five nodes")
def step_read_at_each(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        await submit(fleet)
        await read_all(fleet)
        await fleet.start(5)
        fleet.fronts[0].job_directory.jobs[JobId("job1")].last_owner = None
        await fleet.until(
            lambda: all(len(one.exchange.members.known_nodes) == 5 for one in fleet.fronts)
        )
        before = len(fleet.store.faults.calls)
        context.results = [await read_all(fleet, node) for node in range(1, 6)]
        made = fleet.store.faults.calls[before:]
        context.reads = [one for one in made if "parsley%2Fresult" in one]

    run_with_fleet(context, scenario)


@then("all nodes return them and the store is asked for them once")
def step_read_once(context: Any) -> None:
    assert all(len(one) == ITEMS for one in context.results)
    assert len(context.reads) <= 1, context.reads
