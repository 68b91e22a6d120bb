"""Steps for load reports in fleets of many nodes."""

from collections import Counter
from random import Random
from typing import Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.support.load_exchange_fleet import LoadExchangeFleet
from features.support.loop import run_on_loop
from parsleyrouter.ids import CellId, DomainName, EndpointId, NodeId
from parsleyrouter.process.batch_placement import count_preemptions
from parsleyrouter.process.cells import (
    ACTIVE_CELL,
    MAX_MEAN_CELL_NODES,
    SINGLE_CELL,
    CellNode,
    assign_cells,
)
from parsleyrouter.process.fleet_loads import (
    REPORT_TTL_S,
    CellLoadReport,
    FleetLoads,
    NodeLoadReport,
    RequestCounts,
)

SIZES = {"north": 14, "south": 14}
ENDPOINT = EndpointId("e")


@when("fleets of any size and distribution are divided")
def step_divide(context: Any) -> None:
    context.divisions = []
    sizes = st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 70), min_size=1)

    @for_all(sizes, st.randoms(use_true_random=False))
    def check(sizes: dict[str, int], random: Random) -> None:
        nodes = {
            NodeId(f"{name}-{number}"): CellNode(DomainName(name), random.choice([0.5, 1.0, 2.0]))
            for name, size in sizes.items()
            for number in range(size)
        }
        cells = assign_cells(nodes)
        assert cells.keys() == nodes.keys()
        order = list(nodes)
        random.shuffle(order)
        assert assign_cells({node: nodes[node] for node in order}) == cells
        context.divisions.append((nodes, cells))

    check()


@then("small ones are not divided")
def step_not_divided(context: Any) -> None:
    for nodes, cells in context.divisions:
        small = len(nodes) <= MAX_MEAN_CELL_NODES
        assert (SINGLE_CELL in cells.values()) == small
        assert not small or set(cells.values()) == {SINGLE_CELL}


@then("large ones have the strongest nodes of each domain in the active cell")
def step_active_strongest(context: Any) -> None:
    for nodes, cells in context.divisions:
        if len(nodes) <= MAX_MEAN_CELL_NODES:
            continue
        domains = {info.domain for info in nodes.values()}
        active = [node for node, cell in cells.items() if cell == ACTIVE_CELL]
        assert len(active) <= MAX_MEAN_CELL_NODES
        for domain in domains:
            chosen = [nodes[node].capacity for node in active if nodes[node].domain == domain]
            others = [
                info.capacity
                for node, info in nodes.items()
                if info.domain == domain and node not in active
            ]
            expected = MAX_MEAN_CELL_NODES // len(domains)
            assert len(chosen) == min(expected, len(chosen) + len(others))
            assert min(chosen) >= max(others, default=0.0)


@then("their other cells are small and within one domain")
def step_divided(context: Any) -> None:
    for nodes, cells in context.divisions:
        for cell in set(cells.values()) - {SINGLE_CELL, ACTIVE_CELL}:
            members = [node for node, assigned in cells.items() if assigned == cell]
            assert len({nodes[node].domain for node in members}) == 1
            assert len(members) <= 2 * MAX_MEAN_CELL_NODES


@when("online requests and batch items of several cells compete for an endpoint")
def step_compete(context: Any) -> None:
    cell = st.dictionaries(st.sampled_from("pqr"), st.integers(0, 4), min_size=1)
    fleets = st.dictionaries(st.sampled_from("abc"), cell, min_size=1)

    @for_all(fleets, st.integers(0, 20))
    def check(fleet: dict[str, dict[str, int]], online: int) -> None:
        total = sum(sum(nodes.values()) for nodes in fleet.values())
        excess = online + total - 8
        sums = {CellId(name): sum(nodes.values()) for name, nodes in fleet.items()}
        preempted = 0
        for name, nodes in fleet.items():
            uses = {NodeId(node): RequestCounts(batch=count) for node, count in nodes.items()}
            others = {cell: count for cell, count in sums.items() if cell != name}
            for node, count in nodes.items():
                preempted_here = count_preemptions(
                    NodeId(node), excess, uses, cell=CellId(name), cells=others
                )
                assert preempted_here <= count
                preempted += preempted_here
        assert preempted == max(0, min(total, online + total - 8))

    context.check = check


@then("all cells together preempt as many items as exceed the slots, and no more")
def step_preempted(context: Any) -> None:
    context.check()


@when("aggregates of a cell are lost, duplicated, reordered and sent by a new leader")
def step_aggregates(context: Any) -> None:
    def cell_report(leader: str, sequence: int, online: int, received_s: float) -> CellLoadReport:
        uses = {ENDPOINT: RequestCounts(online=online)}
        return CellLoadReport(CellId("c"), NodeId(leader), 1, sequence, uses, received_s=received_s)

    fleet = FleetLoads()
    rows = [("a", 1, 5), ("a", 3, 7), ("a", 2, 6), ("a", 3, 9), ("b", 1, 4)]
    context.applied = [fleet.apply_cell(cell_report(*row, received_s=10.0)) for row in rows]
    context.seen = [fleet.counts_at(ENDPOINT, now).online for now in (10.1, 10.1 + REPORT_TTL_S)]


@then("the latest of the current leader counts, and none counts after it has expired")
def step_latest_counts(context: Any) -> None:
    assert context.applied == [True, True, False, False, True]
    assert context.seen == [4, 0]


@given("nodes of two failure domains that make a large fleet")
def step_large_fleet(context: Any) -> None:
    assert sum(SIZES.values()) > MAX_MEAN_CELL_NODES >= max(SIZES.values())


async def _wait_until_known(fleet: LoadExchangeFleet, limit_s: float) -> tuple[float, Counter[int]]:
    """Wait until all nodes know of four requests; return the time taken and what they know."""
    started_s = fleet.loop.now()
    while fleet.loop.now() - started_s < limit_s:
        if set(fleet.online_at(ENDPOINT).values()) == {4}:
            break
        await fleet.loop.sleep(0.02)
    return fleet.loop.now() - started_s, Counter(fleet.online_at(ENDPOINT).values())


def start_requests(fleet: LoadExchangeFleet, node: NodeId) -> None:
    for _ in range(4):
        fleet.exchanges[node].loads.request_started(ENDPOINT, batch=False, now=fleet.loop.now())


@when("a node of one domain starts requests")
def stepstart_requests(context: Any) -> None:
    async def scenario(runtime: Any) -> None:
        fleet = LoadExchangeFleet(runtime, SIZES)
        await fleet.loop.sleep(1.0)
        active = fleet.in_cell(ACTIVE_CELL)
        start_requests(fleet, active[5])
        context.took_s, context.known = await _wait_until_known(fleet, 4.0)
        members = fleet.exchanges[active[5]].members
        targets = set(members.report_targets())
        context.targets = {node for node in active if members.peers.get(node) in targets}
        context.expected = set(active) - {active[5]}
        context.remote = set(members.remote_peers) & targets

    run_on_loop(scenario)


@then("nodes of both domains know the load within half a second")
def step_known(context: Any) -> None:
    assert context.known == {4: sum(SIZES.values())}, context.known
    assert context.took_s < 0.8, context.took_s


@then("each change of an active node is sent to the other active nodes only")
def step_sent_within_cell(context: Any) -> None:
    assert context.targets == context.expected
    assert not context.remote


@when("the leader of {cell} is lost and another node there starts requests")
def step_lose_leader(context: Any, cell: str) -> None:
    async def scenario(runtime: Any) -> None:
        fleet = LoadExchangeFleet(runtime, SIZES)
        await fleet.loop.sleep(1.0)
        chosen = ACTIVE_CELL if cell == "the active cell" else CellId("north/0")
        nodes = fleet.in_cell(chosen)
        fleet.silence(nodes[0])
        start_requests(fleet, nodes[-1])
        context.took_s, context.known = await _wait_until_known(fleet, 4.0)

    run_on_loop(scenario)


@then("nodes of both domains know the load within three seconds")
def step_known_later(context: Any) -> None:
    assert context.known == {4: sum(SIZES.values()) - 1}, context.known
    assert context.took_s < 3.0, context.took_s


@when("nodes and cells report their loads in any order and at any time")
def step_report_any(context: Any) -> None:
    reports = st.tuples(
        st.sampled_from(["a", "b", "cell"]),
        st.integers(1, 30),
        st.dictionaries(st.sampled_from("pqr"), st.integers(0, 5)),
        st.floats(0.0, 1.0),
    )

    @for_all(st.lists(reports, max_size=25))
    def check(reports: list[tuple[str, int, dict[str, int], float]]) -> None:
        fleet, now = FleetLoads(), 10.0
        latest: dict[str, tuple[int, dict[str, int], float]] = {}
        for name, sequence, counts, pause_s in reports:
            now += pause_s
            uses = {EndpointId(one): RequestCounts(batch=count) for one, count in counts.items()}
            if name == "cell":
                fleet.apply_cell(
                    CellLoadReport(CellId("c"), NodeId("s"), 1, sequence, uses, received_s=now)
                )
            else:
                fleet.apply_node(NodeLoadReport(NodeId(name), 1, sequence, uses, received_s=now))
            previous = latest.get(name)
            if previous is None or sequence > previous[0]:
                latest[name] = (sequence, counts, now)
            latest = {
                name: report for name, report in latest.items() if report[2] + REPORT_TTL_S > now
            }
            for endpoint in "pqr":
                expected = sum(counts.get(endpoint, 0) for _, counts, _ in latest.values())
                assert fleet.counts_at(EndpointId(endpoint), now).batch == expected

    context.check = check


@then("the totals are the sums of the latest reports that have not expired")
def step_totals_hold(context: Any) -> None:
    context.check()
