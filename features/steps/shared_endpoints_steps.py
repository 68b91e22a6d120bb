"""Steps for placement and load decisions of nodes that share endpoints."""

import json
import re
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

from behave import then, when
from hypothesis import given as any_of
from hypothesis import strategies as st

from features.support.burst_play import Burst, simulate_burst
from parsleyrouter.connection.key_value import Entry
from parsleyrouter.ids import (
    Address,
    DomainName,
    EndpointId,
    NodeId,
    Revision,
    RouteName,
    ServiceName,
)
from parsleyrouter.platform.endpoints import decode_endpoint
from parsleyrouter.process.batch_placement import (
    batch_item_rank,
    count_preemptions,
    pick_batch_endpoint,
)
from parsleyrouter.process.endpoint_directory import (
    REREGISTRATION_GRACE_S,
    EndpointDirectory,
    RegisteredEndpoint,
)
from parsleyrouter.process.endpoint_loads import INACTIVITY_TIMEOUT_S, REPORT_TTL_S, EndpointLoads
from parsleyrouter.process.fleet_loads import NodeLoadReport, RequestCounts
from parsleyrouter.request.admission import Admit, Refuse, admit
from parsleyrouter.request.item_time import ItemTimes
from parsleyrouter.request.placement import PlacementCandidate, choose_endpoint, queue_wait_s

NEAR, FAR = DomainName("near"), DomainName("far")
SERVICE = ServiceName("engines")

CANDIDATES = st.lists(
    st.builds(
        PlacementCandidate,
        endpoint=st.integers(0, 10**9).map(lambda number: EndpointId(f"e{number}")),
        domain=st.sampled_from([NEAR, FAR]),
        slots=st.just(8),
        online=st.integers(0, 14),
        batch=st.integers(0, 8),
        avoided=st.booleans(),
    ),
    max_size=8,
)


def entry(name: str, **fields: Any) -> RegisteredEndpoint:
    defaults = {"service": SERVICE, "address": Address("10.0.0.1:80"), "domain": NEAR, "slots": 8}
    return RegisteredEndpoint(EndpointId(name), **(defaults | fields))


@when("requests are placed under any loads")
def step_place(context: Any) -> None:
    @any_of(CANDIDATES, st.randoms(use_true_random=False))
    def check(candidates: list[PlacementCandidate], random: Random) -> None:
        chosen = choose_endpoint(candidates, NEAR, random)
        if not candidates:
            assert chosen is None
            return
        assert chosen is not None
        usable = [one for one in candidates if not one.avoided]
        assert not (usable and chosen.avoided)
        pool = usable or candidates
        min_wait_s = min(queue_wait_s(one, 1.0) for one in pool)
        assert queue_wait_s(chosen, 1.0) <= min_wait_s + 1 / 8 + 1e-9

    context.check = check


@then("free slots are preferred to queues, and avoided endpoints are used last")
def step_check(context: Any) -> None:
    context.check()


@when("requests are placed under equal loads")
def step_place_equal(context: Any) -> None:
    random = Random(1)
    candidates = [
        PlacementCandidate(EndpointId(f"e{number}"), NEAR if number < 2 else FAR, 8, online=3)
        for number in range(6)
    ]
    context.chosen = Counter(choose_endpoint(candidates, NEAR, random).domain for _ in range(200))  # type: ignore[union-attr]


@then("they stay in their own failure domain")
def step_near(context: Any) -> None:
    assert context.chosen == {NEAR: 200}


@when("online requests and batch items of several nodes share an endpoint")
def step_share_endpoint(context: Any) -> None:
    counts = st.dictionaries(st.sampled_from("abcd"), st.integers(0, 6), min_size=1)

    @any_of(counts, st.integers(0, 20))
    def check(batch: dict[str, int], online: int) -> None:
        uses = {NodeId(name): RequestCounts(batch=count) for name, count in batch.items()}
        total = sum(batch.values())
        candidate = PlacementCandidate(EndpointId("e"), NEAR, 8, online=online, batch=total)
        preempted = {
            name: count_preemptions(NodeId(name), online + total - 8, uses) for name in batch
        }
        assert sum(preempted.values()) == max(0, min(total, online + total - 8))
        assert all(preempted[name] <= batch[name] for name in batch)
        free = pick_batch_endpoint([candidate])
        assert (free is not None) == (online + total < 8)

    context.check = check


@then("together the nodes preempt exactly the excess items")
def step_preempted(context: Any) -> None:
    context.check()


@when("items of several jobs wait")
def step_queue_items(context: Any) -> None:
    rows = {
        "late": batch_item_rank(left_s=2.0, needed_s=5.0, expected_s=5.0),
        "fresh, due soon": batch_item_rank(left_s=6.0, needed_s=5.0, expected_s=5.0),
        "fresh, due later": batch_item_rank(left_s=16.0, needed_s=5.0, expected_s=5.0),
        "begun, due later": batch_item_rank(left_s=16.0, needed_s=1.0, expected_s=5.0),
    }
    context.order = sorted(rows, key=lambda name: rows[name])


@then("late items are last and partly processed items first")
def step_order(context: Any) -> None:
    assert context.order == ["begun, due later", "fresh, due soon", "fresh, due later", "late"]


@when("items of one route take a tenth of a second and those of another a minute")
def step_learn_times(context: Any) -> None:
    times = ItemTimes()
    short, long = RouteName("short"), RouteName("long")
    context.before_s = times.expected_s(short)
    for _ in range(50):
        times.record(short, 0.1)
        times.record(long, 60.0)
    context.expected_s = [times.expected_s(short), times.expected_s(long)]
    context.orders = []
    for route, total_s in ((short, 0.1), (long, 60.0)):
        rows = {
            name: batch_item_rank(
                left_s=due * total_s,
                needed_s=times.left_s(route, done * total_s),
                expected_s=times.expected_s(route),
            )
            for name, due, done in (
                ("late", 0.5, 0.0),
                ("fresh, due soon", 2.0, 0.0),
                ("fresh, due later", 9.0, 0.0),
                ("begun, due later", 9.0, 0.6),
            )
        }
        context.orders.append(sorted(rows, key=lambda name: rows[name]))


@then("both are ranked by the share of work that is left")
def step_learnt_order(context: Any) -> None:
    assert context.before_s > 0
    assert abs(context.expected_s[0] - 0.1) < 1e-6 and abs(context.expected_s[1] - 60.0) < 1e-6
    expected = ["begun, due later", "fresh, due soon", "fresh, due later", "late"]
    assert context.orders == [expected, expected], context.orders


@when("a burst exceeds the endpoints' capacity by half")
def step_burst(context: Any) -> None:
    burst = Burst(endpoints=4, slots=8, service_s=0.7, peak_per_s=70.0, trough_per_s=12.0)
    context.refusing = [simulate_burst(burst, seed, refuse=True) for seed in range(6)]
    context.queueing = [simulate_burst(burst, seed, refuse=False) for seed in range(6)]


@then("more callers are answered in time than without refusals, and none is refused twice")
def step_more_in_time(context: Any) -> None:
    in_time = sum(one.in_time for one in context.refusing)
    without = sum(one.in_time for one in context.queueing)
    assert in_time > 1.1 * without, (in_time, without)
    assert sum(one.refused_finally for one in context.refusing) == 0


@when("the wait is longer than the time left")
def step_long_wait(context: Any) -> None:
    @any_of(st.floats(0.1, 30.0), st.floats(0.0, 1.0), st.floats(0.0, 60.0))
    def check(left_s: float, spread: float, wait_s: float) -> None:
        verdict = admit(wait_s=wait_s, target_s=0.3, left_s=left_s, allowed_s=left_s, spread=spread)
        if isinstance(verdict, Refuse):
            assert 0 < verdict.retry_after_s <= left_s / 3 + 1e-9
        else:
            assert wait_s < left_s
        again = admit(wait_s=wait_s, target_s=0.3, left_s=left_s, allowed_s=60.0, spread=spread)
        assert isinstance(again, Admit) == (wait_s < left_s)

    context.check = check


@then("the request is refused with a retry time within a third of the time left")
def step_refused_with_retry(context: Any) -> None:
    context.check()


@when("the store becomes unreachable, registrations expire, and some return")
def step_expire_registrations(context: Any) -> None:
    directory = EndpointDirectory()
    for name in ("lives", "died"):
        directory.put(entry(name))
    directory.record_store_failure(10.0)
    gone = directory.mark_removed(EndpointId("lives"), 10.5) + directory.mark_removed(
        EndpointId("died"), 10.5
    )
    context.during_outage = [one.endpoint for one in directory.available_for(SERVICE)]
    directory.put(entry("lives"))
    context.gone = gone + directory.drop_missing(10.0 + REREGISTRATION_GRACE_S - 0.1)
    context.after = directory.drop_missing(10.0 + REREGISTRATION_GRACE_S + 0.1)
    context.left = [one.endpoint for one in directory.available_for(SERVICE)]


@then("live endpoints stay in use and the others are dropped afterwards")
def step_live_kept(context: Any) -> None:
    assert context.during_outage == ["lives", "died"] and not context.gone
    assert [one.endpoint for one in context.after] == ["died"]
    assert context.left == ["lives"]


@when("malformed entries of any kind are written among the registrations")
def step_malformed(context: Any) -> None:
    good = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 8, "state": "ready"}
    values = st.one_of(
        st.none(), st.booleans(), st.integers(), st.floats(), st.text(), st.lists(st.integers())
    )
    changed = st.dictionaries(st.sampled_from(sorted(good)), values, min_size=1)
    bodies = st.one_of(
        st.binary(),
        changed.map(lambda change: json.dumps(good | change).encode()),
        st.sampled_from(sorted(good)).map(
            lambda name: json.dumps({k: v for k, v in good.items() if k != name}).encode()
        ),
    )

    @any_of(bodies)
    def check(body: bytes) -> None:
        found = decode_endpoint(Entry("servers/x", body, Revision(1)))
        if found is not None:
            assert isinstance(found.slots, int) and found.slots >= 1
            assert isinstance(found.service, str)
            assert re.match(r"^[\d.]+:\d+$", found.address)

    good_entry = Entry("servers/x", json.dumps(good).encode(), Revision(1))
    assert decode_endpoint(good_entry) is not None
    context.check = check


@then("they are ignored and the others stay valid")
def step_ignored(context: Any) -> None:
    context.check()


@when("an endpoint reports more requests than all nodes count")
def step_report(context: Any) -> None:
    loads = EndpointLoads(Random(1))
    name = EndpointId("e")
    loads.request_started(name, batch=False, now=1.0)
    loads.record_report(name, 11, 1.0)
    context.seen = [
        loads.candidates([entry("e")], now)[0].online for now in (1.1, 1.1 + REPORT_TTL_S)
    ]


@then("its load includes the additional requests for a while")
def step_load_higher(context: Any) -> None:
    assert context.seen == [9, 1]


@when("an endpoint with requests in flight sends nothing")
def step_inactive(context: Any) -> None:
    loads = EndpointLoads(Random(1))
    name = EndpointId("e")
    loads.request_started(name, batch=False, now=1.0)
    times = (1.0 + INACTIVITY_TIMEOUT_S / 2, 1.0 + INACTIVITY_TIMEOUT_S * 1.1)
    context.seen = [loads.candidates([entry("e")], now)[0].avoided for now in times]
    loads.record_activity(name, 2.0)
    context.seen.append(loads.candidates([entry("e")], 2.1)[0].avoided)


@then("it is avoided until it sends again")
def step_avoided(context: Any) -> None:
    assert context.seen == [False, True, False]


@when("reports are lost, duplicated and reordered")
def step_messages(context: Any) -> None:
    rows = st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 3), st.integers(1, 9)))

    @any_of(rows)
    def check(arrivals: list[tuple[str, int, int]]) -> None:
        loads = EndpointLoads(Random(1))
        latest: dict[str, tuple[int, int]] = {}
        for name, boot, sequence in arrivals:
            use = RequestCounts(online=boot * 100 + sequence)
            news = NodeLoadReport(
                NodeId(name), boot, sequence, {EndpointId("e"): use}, received_s=1.0
            )
            assert loads.fleet.apply_node(news) == ((boot, sequence) > latest.get(name, (0, 0)))
            latest[name] = max(latest.get(name, (0, 0)), (boot, sequence))
        expected = sum(boot * 100 + sequence for boot, sequence in latest.values())
        assert loads.fleet_use(EndpointId("e"), 1.5).online == expected
        assert loads.fleet_use(EndpointId("e"), 9.0).online == 0

    context.check = check


@then("the latest report of each node's latest start is used")
def step_latest(context: Any) -> None:
    context.check()


NAMES = re.compile(
    r"(?i)x-attempt-id|x-expect-instance|x-not-executed|x-response-signature|x-server-load"
    r"|x-prompt-prefix|x-token-usage|kv-txn|kv-range|kv-watch|kv-key\b|dead_lettered|trafficSplit"
    r"|targetLatencyMs|coldRemainingMs|internalPorts|op/config|\"/readiness|\"/resolve|servers/"
)


@when("the sources outside the folder are searched for the platform's names")
def step_search(context: Any) -> None:
    root = Path(__file__).resolve().parents[2] / "parsleyrouter"
    sources = [path for path in root.rglob("*.py") if "platform" not in path.parts[:-1]]
    sources = [path for path in sources if root / "platform" not in path.parents]
    context.searched = len(sources)
    context.found = [
        f"{path.name}: {found[0]}" for path in sources if (found := NAMES.search(path.read_text()))
    ]


@then("none is found")
def step_none_found(context: Any) -> None:
    assert context.searched > 100
    assert not context.found, context.found
