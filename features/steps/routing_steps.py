"""Steps for routing requests to endpoints."""

from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

from behave import then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from features.support.sharing import engine
from parsleyrouter.ids import (
    Address,
    AttemptId,
    DomainName,
    EndpointId,
    KindName,
    ModelName,
    NodeId,
    TeamName,
)
from parsleyrouter.process.endpoint_selector import EndpointSelector, LoadHint
from parsleyrouter.process.fleet_view import NodeInfo, NodeState, Service, StaticFleetView
from parsleyrouter.process.grant_port import GrantRequest
from parsleyrouter.process.home_map import HomeMap
from parsleyrouter.request.home_hashing import home_of
from parsleyrouter.request.outlier_ejection import EjectionOptions, EndpointEjector
from parsleyrouter.request.prefix_affinity import MAX_PREFIXES, PrefixAffinity
from parsleyrouter.version.schema import (
    EndpointSettings,
    EndpointState,
    FleetSettings,
    KindClass,
    ModelSettings,
    TeamSettings,
)
from parsleyrouter.version.snapshot import SettingsSnapshot

TEAM = TeamName("team")


def _request(model: str = "m", application: str = "", prefix: str = "") -> GrantRequest:
    return GrantRequest(
        attempt=AttemptId("a"),
        team=TEAM,
        kind=KindName("k"),
        kind_class=KindClass.ONLINE,
        weight=1.0,
        deadline_in_s=5.0,
        model=ModelName(model),
        application=application,
        prefix_key=prefix,
    )


def _selector(endpoints: dict[str, EndpointSettings], seed: int = 0) -> EndpointSelector:
    team = TeamSettings(models={"m": ModelSettings(version="2", adapter="x")})
    snapshot = SettingsSnapshot(fleet=FleetSettings(endpoints=endpoints), teams={TEAM: team})
    me = NodeInfo(NodeId("n"), DomainName("d1"))
    return EndpointSelector(StaticFleetView(me, snapshot=snapshot), Counter(), Random(seed))


MATCHING_LABELS = ["m+x", "m+x@2"]
ENDPOINT = st.builds(
    EndpointSettings,
    address=st.just("127.0.0.1:1"),
    models=st.lists(st.sampled_from(["m", "m+x", "m+x@2", "m+x@1", "other"]), max_size=2),
    application=st.sampled_from(["", "cards"]),
    domain=st.sampled_from(["d1", "d2"]),
    state=st.sampled_from(EndpointState),
)


@when("requests of any kind are routed over any endpoints")
def route_any(context: Any) -> None:
    context.routed = []

    @settings(max_examples=300)
    @any_of(
        st.dictionaries(st.sampled_from("abcdefg"), ENDPOINT, max_size=7),
        st.sampled_from([("m", ""), ("", "cards")]),
        st.integers(0, 100),
        st.sets(st.sampled_from("abcdefg"), max_size=2),
    )
    def check(
        endpoints: dict[str, EndpointSettings],
        target: tuple[str, str],
        seed: int,
        failing: set[str],
    ) -> None:
        selector = _selector(endpoints, seed)
        for name in failing:
            for _ in range(5):
                selector.ejector.record_failure(EndpointId(name), 0.0)
        order = selector.rank(_request(*target), (), 1.0)
        context.routed.append((endpoints, target, order))

    check()


@then("only matching active endpoints are tried, and about half of them or more")
def only_matching(context: Any) -> None:
    for endpoints, (model, application), order in context.routed:
        matching = {
            name
            for name, endpoint in endpoints.items()
            if endpoint.state is EndpointState.ACTIVE
            and (
                endpoint.application == application
                if application
                else any(label in MATCHING_LABELS for label in endpoint.models)
            )
        }
        assert set(order) <= matching, (model, application, order, matching)
        assert len(order) == len(set(order))
        assert bool(order) == bool(matching), "all were ejected"
        assert len(order) * 2 >= len(matching) - 1, (order, matching)


@when("many requests are routed over loaded and idle endpoints")
def route_many(context: Any) -> None:
    far = engine(8, domain="d2").model_copy(update={"models": ["m+x"]})
    endpoints = dict.fromkeys(("busy", "idle1", "idle2"), far)
    endpoints["near"] = far.model_copy(update={"domain": "d1"})
    selector = _selector(endpoints)
    selector.record_load(EndpointId("busy"), LoadHint(2.0, 2.0, 0.0))
    context.tally = Counter(selector.rank(_request(), (), 0.5)[0] for _ in range(400))
    selector.record_load(EndpointId("near"), LoadHint(1.0, 1.0, 0.0))
    context.near_busy = Counter(selector.rank(_request(), (), 0.5)[0] for _ in range(400))
    selector.affinity.record_use("p", EndpointId("idle2"), 0.0)
    context.cached = Counter(selector.rank(_request(prefix="p"), (), 0.5)[0] for _ in range(50))


@then("the loaded endpoint gets the fewest and the own failure domain the most")
def spread_by_load(context: Any) -> None:
    assert context.tally["busy"] == 0 and context.tally["near"] == 400, context.tally
    near_busy = context.near_busy
    idle = near_busy["idle1"] + near_busy["idle2"]
    assert idle > 1.5 * near_busy["near"] and near_busy["busy"] == 0, near_busy
    assert context.cached["idle2"] == 50, context.cached


@when("nodes join and leave in any way")
def change_nodes(context: Any) -> None:
    context.home_changes = []

    def info(name: str) -> NodeInfo:
        addresses = {Service.SCHEDULER: Address("127.0.0.1:1")}
        return NodeInfo(NodeId(name), DomainName("d"), addresses)

    @settings(max_examples=60)
    @any_of(
        st.lists(st.text("abcdef", min_size=1, max_size=4), min_size=2, max_size=8, unique=True)
    )
    def check(names: list[str]) -> None:
        nodes = [info(name) for name in names]
        bare = NodeInfo(NodeId("bare"), DomainName("d"))
        for number in range(20):
            endpoint = EndpointId(f"e{number}")
            home = home_of(endpoint, nodes)
            assert home_of(endpoint, [bare, *reversed(nodes)]) == home
            after = home_of(endpoint, nodes[1:])
            context.home_changes.append((home, after, nodes[0]))

    check()
    events = st.lists(st.dictionaries(st.sampled_from("abcdef"), st.booleans()), max_size=6)

    @settings(max_examples=60)
    @any_of(events)
    def check_home_map(steps: list[dict[str, bool]]) -> None:
        view = StaticFleetView(NodeInfo(NodeId("me"), DomainName("d")))
        homes = HomeMap(view)
        for step in steps:
            leaving = {name: NodeState.LEAVING for name, stays in step.items() if not stays}
            infos = [info(name) for name in step]
            states = [replace(one, state=leaving.get(one.node, one.state)) for one in infos]
            view.set(tuple(states))
            for number in range(10):
                endpoint = EndpointId(f"e{number}")
                wanted = home_of(endpoint, view.nodes())
                assert homes.home(endpoint) == (wanted.node if wanted else None)

    check_home_map()


@then("only the endpoints of a removed node get a new home")
def few_moved(context: Any) -> None:
    assert any(home == removed for home, _, removed in context.home_changes)
    for home, after, removed in context.home_changes:
        assert (home == after) == (home != removed)


@when("endpoints fail and answer in any order")
def fail_endpoints(context: Any) -> None:
    context.ejections = []
    names = [EndpointId(name) for name in "abcd"]

    @settings(max_examples=200)
    @any_of(
        st.lists(st.tuples(st.sampled_from(names), st.booleans(), st.floats(0, 3)), max_size=80)
    )
    def check(outcomes: list[tuple[EndpointId, bool, float]]) -> None:
        ejector = EndpointEjector(EjectionOptions(failures_in_row=2))
        now = 0.0
        for name, ok, elapsed in outcomes:
            now += elapsed
            (ejector.record_success if ok else ejector.record_failure)(name, now)
            chosen = ejector.select_usable(names, now, Random(0))
            weights = {name: ejector.traffic_share(name, now) for name in names}
            context.ejections.append((weights, chosen))
        later = [ejector.traffic_share(name, now + 200) for name in names]
        assert later == [1.0] * 4, later

    check()
    repeated_ejector = EndpointEjector(
        EjectionOptions(failures_in_row=2, first_s=5.0, longest_s=18.0)
    )
    context.lengths = []
    now = 0.0
    while len(context.lengths) < 4:
        repeated_ejector.record_failure(names[0], now)
        until_s = repeated_ejector.health[names[0]].ejected_until_s
        if until_s > now:
            context.lengths.append(until_s - now)
            now = until_s


@then("at least half stay in use and each ejected endpoint returns")
def half_in_use(context: Any) -> None:
    assert context.lengths == [5.0, 10.0, 18.0, 18.0], context.lengths
    assert any(0.0 in weights.values() for weights, _ in context.ejections)
    assert any(0.0 < min(weights.values()) < 1.0 for weights, _ in context.ejections)
    for weights, chosen in context.ejections:
        assert len(chosen) >= 2, chosen
        healthy = {name for name, weight in weights.items() if weight == 1.0}
        assert healthy <= chosen, (weights, chosen)
        if len(healthy) >= 2:
            assert all(weights[name] > 0 for name in chosen), (weights, chosen)


@when("prefixes are used and evicted in any order")
def use_prefixes(context: Any) -> None:
    context.estimates = []
    endpoints = [EndpointId(name) for name in "abcde"]
    event = st.tuples(
        st.sampled_from("pq"), st.sampled_from(endpoints), st.booleans(), st.floats(0, 9)
    )

    @settings(max_examples=200)
    @any_of(st.lists(event, max_size=40))
    def check(events: list[tuple[str, EndpointId, bool, float]]) -> None:
        affinity = PrefixAffinity()
        now = 0.0
        last: dict[tuple[str, EndpointId], float] = {}
        newer_uses: dict[tuple[str, EndpointId], set[EndpointId]] = {}
        for prefix, endpoint, use, elapsed in events:
            now += elapsed
            if use:
                affinity.record_use(prefix, endpoint, now)
                last[prefix, endpoint] = now
                newer_uses[prefix, endpoint] = set()
                for (other_prefix, other), newer_endpoints in newer_uses.items():
                    if other_prefix == prefix and other != endpoint:
                        newer_endpoints.add(endpoint)
            else:
                affinity.record_eviction(prefix, endpoint, now - 5.0)
                if last.get((prefix, endpoint), now) <= now - 5.0:
                    del last[prefix, endpoint]
        for (prefix, endpoint), at in last.items():
            newer = len(newer_uses[prefix, endpoint])
            estimate = affinity.cached_probability(prefix, endpoint, now)
            context.estimates.append((now - at, newer, estimate))
        assert all(
            affinity.cached_probability(p, e, now + 3600) < 1e-9 for p in "pq" for e in endpoints
        )

    check()
    context.large = PrefixAffinity()
    for number in range(MAX_PREFIXES + 500):
        context.large.record_use(f"p{number}", endpoints[0], 0.0)


@then("a late eviction does not undo a later use, estimates decay and memory is bounded")
def estimates_decay(context: Any) -> None:
    assert context.estimates
    for age, newer, estimate in context.estimates:
        assert newer >= 3 or estimate > 0.0, (age, newer)
        assert estimate <= 2 ** (-age / 60) + 1e-9, (age, estimate)
    assert len(context.large.last_uses) == MAX_PREFIXES
