"""Steps for fleets of many nodes."""

from collections import Counter
from random import Random
from typing import Any

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import strategies as st

from features.support.load_exchange_fleet import Exchanges
from features.support.loop import run_on_loop
from parsleyrouter.ids import CellId, DomainName, EndpointId, NodeId
from parsleyrouter.process.batch_placement import count_preemptions
from parsleyrouter.process.cells import MAX_MEAN_CELL_NODES, SINGLE_CELL, divide
from parsleyrouter.process.fleet_loads import (
    NEWS_S,
    CellSum,
    FleetLoads,
    NodeLoadReport,
    RequestCounts,
)

SIZES = {"north": 14, "south": 14}
ENDPOINT = EndpointId("e")


@when("fleets of any size and spread are divided")
def step_divide(context: Any) -> None:
    sizes = st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 70), min_size=1)

    @any_of(sizes)
    def holds(sizes: dict[str, int]) -> None:
        domains = {
            NodeId(f"{name}-{number}"): DomainName(name)
            for name, size in sizes.items()
            for number in range(size)
        }
        cells = divide(domains)
        assert cells.keys() == domains.keys()
        if len(domains) <= MAX_MEAN_CELL_NODES:
            assert set(cells.values()) == {SINGLE_CELL}
            return
        for cell in set(cells.values()):
            members = [node for node, its in cells.items() if its == cell]
            assert len({domains[node] for node in members}) == 1
            assert len(members) <= 2 * MAX_MEAN_CELL_NODES
        order = list(domains)
        Random(len(order)).shuffle(order)
        assert divide({node: domains[node] for node in order}) == cells

    context.check = holds


@then("small ones stay whole, and large ones have cells within a domain that stay small")
def step_divided(context: Any) -> None:
    context.check()


@when("online requests and batch items of several cells meet at an endpoint")
def step_meet(context: Any) -> None:
    cell = st.dictionaries(st.sampled_from("pqr"), st.integers(0, 4), min_size=1)
    fleets = st.dictionaries(st.sampled_from("abc"), cell, min_size=1)

    @any_of(fleets, st.integers(0, 20))
    def holds(fleet: dict[str, dict[str, int]], online: int) -> None:
        total = sum(sum(nodes.values()) for nodes in fleet.values())
        over = online + total - 8
        sums = {CellId(name): sum(nodes.values()) for name, nodes in fleet.items()}
        given_up = 0
        for name, nodes in fleet.items():
            uses = {NodeId(node): RequestCounts(batch=count) for node, count in nodes.items()}
            others = {cell: count for cell, count in sums.items() if cell != name}
            for node, count in nodes.items():
                gives = count_preemptions(NodeId(node), over, uses, cell=CellId(name), cells=others)
                assert gives <= count
                given_up += gives
        assert given_up == max(0, min(total, online + total - 8))

    context.check = holds


@then("all cells together give up as many items as are too many, and no more")
def step_gave_way(context: Any) -> None:
    context.check()


@when("sums of a cell are lost, doubled, reordered and told by a new speaker")
def step_sums(context: Any) -> None:
    def told(speaker: str, sequence: int, online: int, received_s: float) -> CellSum:
        uses = {ENDPOINT: RequestCounts(online=online)}
        return CellSum(CellId("c"), NodeId(speaker), 1, sequence, uses, received_s=received_s)

    fleet = FleetLoads()
    rows = [("a", 1, 5), ("a", 3, 7), ("a", 2, 6), ("a", 3, 9), ("b", 1, 4)]
    context.taken = [fleet.take_cell(told(*row, received_s=10.0)) for row in rows]
    context.seen = [fleet.counts_at(ENDPOINT, now).online for now in (10.1, 10.1 + NEWS_S)]


@then("the latest of the present speaker counts, and none counts after it has aged")
def step_summed(context: Any) -> None:
    assert context.taken == [True, True, False, False, True]
    assert context.seen == [4, 0]


@given("nodes of two failure domains that make a large fleet")
def step_large_fleet(context: Any) -> None:
    assert sum(SIZES.values()) > MAX_MEAN_CELL_NODES >= max(SIZES.values())


async def _known(fleet: Exchanges, limit_s: float) -> tuple[float, Counter[int]]:
    """Wait until all nodes know of four requests; return how long and what they know."""
    began_s = fleet.loop.now()
    while fleet.loop.now() - began_s < limit_s:
        if set(fleet.online_at(ENDPOINT).values()) == {4}:
            break
        await fleet.loop.sleep(0.02)
    return fleet.loop.now() - began_s, Counter(fleet.online_at(ENDPOINT).values())


def _begin(fleet: Exchanges, node: str) -> None:
    for _ in range(4):
        fleet.exchanges[NodeId(node)].loads.request_started(
            ENDPOINT, batch=False, now=fleet.loop.now()
        )


@when("a node of one domain begins requests")
def step_begin(context: Any) -> None:
    async def scene(runtime: Any) -> None:
        fleet = Exchanges(runtime, SIZES)
        await fleet.loop.sleep(1.0)
        _begin(fleet, "north-05")
        context.took_s, context.known = await _known(fleet, 4.0)
        context.near = {node: len(one.cell_peers) for node, one in fleet.exchanges.items()}
        context.far = {node: len(one.remote_peers) for node, one in fleet.exchanges.items()}

    run_on_loop(scene)


@then("nodes of both domains know it within half a second")
def step_known(context: Any) -> None:
    assert context.known == {4: sum(SIZES.values())}, context.known
    assert context.took_s < 0.5, context.took_s


@then("each change is told to the nodes of one cell only")
def step_told_near(context: Any) -> None:
    assert set(context.near.values()) == {13}, context.near
    assert set(context.far.values()) == {2}, context.far


@when("the speaker of a domain is lost and another node there begins requests")
def step_lose_speaker(context: Any) -> None:
    async def scene(runtime: Any) -> None:
        fleet = Exchanges(runtime, SIZES)
        await fleet.loop.sleep(1.0)
        fleet.lose(NodeId("north-00"))
        _begin(fleet, "north-05")
        context.took_s, context.known = await _known(fleet, 4.0)

    run_on_loop(scene)


@then("nodes of both domains know it within three seconds")
def step_known_later(context: Any) -> None:
    assert context.known == {4: sum(SIZES.values()) - 1}, context.known
    assert context.took_s < 3.0, context.took_s


@when("nodes and cells tell their loads in any order and at any time")
def step_tell_any(context: Any) -> None:
    words = st.tuples(
        st.sampled_from(["a", "b", "cell"]),
        st.integers(1, 30),
        st.dictionaries(st.sampled_from("pqr"), st.integers(0, 5)),
        st.floats(0.0, 1.0),
    )

    @any_of(st.lists(words, max_size=25))
    def holds(words: list[tuple[str, int, dict[str, int], float]]) -> None:
        fleet, now = FleetLoads(), 10.0
        latest: dict[str, tuple[int, dict[str, int], float]] = {}
        for name, sequence, counts, pause_s in words:
            now += pause_s
            uses = {EndpointId(one): RequestCounts(batch=count) for one, count in counts.items()}
            if name == "cell":
                fleet.take_cell(
                    CellSum(CellId("c"), NodeId("s"), 1, sequence, uses, received_s=now)
                )
            else:
                fleet.apply_node(NodeLoadReport(NodeId(name), 1, sequence, uses, received_s=now))
            former = latest.get(name)
            if former is None or sequence > former[0]:
                latest[name] = (sequence, counts, now)
            latest = {name: word for name, word in latest.items() if word[2] + NEWS_S > now}
            for endpoint in "pqr":
                expected = sum(counts.get(endpoint, 0) for _, counts, _ in latest.values())
                assert fleet.counts_at(EndpointId(endpoint), now).batch == expected

    context.check = holds


@then("the sums kept are those of the latest words that have not aged")
def step_sums_hold(context: Any) -> None:
    context.check()
