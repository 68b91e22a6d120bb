"""Steps for the choice of endpoints."""

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
from parsleyrouter.process.endpoint_selector import EndpointChoice, LoadHint
from parsleyrouter.process.fleet_view import NodeInfo, NodeState, Service, StaticFleetView
from parsleyrouter.process.grant_port import GrantRequest
from parsleyrouter.process.home_map import HomeMap
from parsleyrouter.request.home_hashing import home_of
from parsleyrouter.request.outlier_ejection import EjectionOptions, Ejections
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


def _choice(endpoints: dict[str, EndpointSettings], seed: int = 0) -> EndpointChoice:
    team = TeamSettings(models={"m": ModelSettings(version="2", adapter="x")})
    snapshot = SettingsSnapshot(fleet=FleetSettings(endpoints=endpoints), teams={TEAM: team})
    me = NodeInfo(NodeId("n"), DomainName("d1"))
    return EndpointChoice(StaticFleetView(me, snapshot=snapshot), Counter(), Random(seed))


FITTING = ["m+x", "m+x@2"]
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
        endpoints: dict[str, EndpointSettings], what: tuple[str, str], seed: int, failing: set[str]
    ) -> None:
        choice = _choice(endpoints, seed)
        for name in failing:
            for _ in range(5):
                choice.ejections.failed(EndpointId(name), 0.0)
        order = choice.order(_request(*what), (), 1.0)
        context.routed.append((endpoints, what, order))

    check()


@then("only fitting endpoints are tried, never a leaving one, and none is forgotten")
def only_fitting(context: Any) -> None:
    for endpoints, (model, application), order in context.routed:
        fitting = {
            name
            for name, endpoint in endpoints.items()
            if endpoint.state is EndpointState.ACTIVE
            and (
                endpoint.application == application
                if application
                else any(label in FITTING for label in endpoint.models)
            )
        }
        assert set(order) <= fitting, (model, application, order, fitting)
        assert len(order) == len(set(order))
        assert bool(order) == bool(fitting), "all were ejected"
        assert len(order) * 2 >= len(fitting) - 1, (order, fitting)


@when("many requests are routed over loaded and idle endpoints")
def route_many(context: Any) -> None:
    far = engine(8, domain="d2").model_copy(update={"models": ["m+x"]})
    endpoints = dict.fromkeys(("busy", "idle1", "idle2"), far)
    endpoints["near"] = far.model_copy(update={"domain": "d1"})
    choice = _choice(endpoints)
    choice.heard(EndpointId("busy"), LoadHint(2.0, 2.0, 0.0))
    context.tally = Counter(choice.order(_request(), (), 0.5)[0] for _ in range(400))
    choice.heard(EndpointId("near"), LoadHint(1.0, 1.0, 0.0))
    context.near_busy = Counter(choice.order(_request(), (), 0.5)[0] for _ in range(400))
    choice.affinity.used("p", EndpointId("idle2"), 0.0)
    context.cached = Counter(choice.order(_request(prefix="p"), (), 0.5)[0] for _ in range(50))


@then("the loaded endpoint gets the fewest and the own failure domain the most")
def spread(context: Any) -> None:
    assert context.tally["busy"] == 0 and context.tally["near"] == 400, context.tally
    near_busy = context.near_busy
    idle = near_busy["idle1"] + near_busy["idle2"]
    assert idle > 1.5 * near_busy["near"] and near_busy["busy"] == 0, near_busy
    assert context.cached["idle2"] == 50, context.cached


@when("any nodes come and go")
def nodes_change(context: Any) -> None:
    context.moves = []

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
            context.moves.append((home, after, nodes[0]))

    check()
    course = st.lists(st.dictionaries(st.sampled_from("abcdef"), st.booleans()), max_size=6)

    @settings(max_examples=60)
    @any_of(course)
    def follow(steps: list[dict[str, bool]]) -> None:
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

    follow()


@then("only the endpoints of a lost node get a new home")
def little_moved(context: Any) -> None:
    assert any(home == lost for home, _, lost in context.moves)
    for home, after, lost in context.moves:
        assert (home == after) == (home != lost)


@when("endpoints fail and answer in any order")
def fail_any(context: Any) -> None:
    context.ejections = []
    names = [EndpointId(name) for name in "abcd"]

    @settings(max_examples=200)
    @any_of(
        st.lists(st.tuples(st.sampled_from(names), st.booleans(), st.floats(0, 3)), max_size=80)
    )
    def check(course: list[tuple[EndpointId, bool, float]]) -> None:
        ejections = Ejections(EjectionOptions(failures_in_row=2))
        now = 0.0
        for name, ok, elapsed in course:
            now += elapsed
            (ejections.succeeded if ok else ejections.failed)(name, now)
            chosen = ejections.usable(names, now, Random(0))
            weights = {name: ejections.weight(name, now) for name in names}
            context.ejections.append((weights, chosen))
        later = [ejections.weight(name, now + 200) for name in names]
        assert later == [1.0] * 4, later

    check()
    again = Ejections(EjectionOptions(failures_in_row=2, first_s=5.0, longest_s=18.0))
    context.lengths = []
    now = 0.0
    while len(context.lengths) < 4:
        again.failed(names[0], now)
        until_s = again.health[names[0]].until_s
        if until_s > now:
            context.lengths.append(until_s - now)
            now = until_s


@then("never all are ejected and each one returns in the end")
def never_all(context: Any) -> None:
    assert context.lengths == [5.0, 10.0, 18.0, 18.0], context.lengths
    assert any(0.0 in weights.values() for weights, _ in context.ejections)
    assert any(0.0 < min(weights.values()) < 1.0 for weights, _ in context.ejections)
    for weights, chosen in context.ejections:
        assert len(chosen) >= 2, chosen
        healthy = {name for name, weight in weights.items() if weight == 1.0}
        assert healthy <= chosen, (weights, chosen)
        if len(healthy) >= 2:
            assert all(weights[name] > 0 for name in chosen), (weights, chosen)


@when("prefixes are used and dropped in any order")
def prefixes(context: Any) -> None:
    context.guesses = []
    places = [EndpointId(name) for name in "abcde"]
    event = st.tuples(
        st.sampled_from("pq"), st.sampled_from(places), st.booleans(), st.floats(0, 9)
    )

    @settings(max_examples=200)
    @any_of(st.lists(event, max_size=40))
    def check(course: list[tuple[str, EndpointId, bool, float]]) -> None:
        affinity = PrefixAffinity()
        now = 0.0
        last: dict[tuple[str, EndpointId], float] = {}
        since: dict[tuple[str, EndpointId], set[EndpointId]] = {}
        for prefix, place, use, elapsed in course:
            now += elapsed
            if use:
                affinity.used(prefix, place, now)
                last[prefix, place] = now
                since[prefix, place] = set()
                for (other_prefix, other), places_since in since.items():
                    if other_prefix == prefix and other != place:
                        places_since.add(place)
            else:
                affinity.dropped(prefix, place, now - 5.0)
                if last.get((prefix, place), now) <= now - 5.0:
                    del last[prefix, place]
        for (prefix, place), at in last.items():
            newer = len(since[prefix, place])
            guess = affinity.cached(prefix, place, now)
            context.guesses.append((now - at, newer, guess))
        assert all(affinity.cached(p, e, now + 3600) < 1e-9 for p in "pq" for e in places)

    check()
    context.large = PrefixAffinity()
    for number in range(MAX_PREFIXES + 500):
        context.large.used(f"p{number}", places[0], 0.0)


@then("a late drop does not undo a later use, guesses fade and memory is bounded")
def faded(context: Any) -> None:
    assert context.guesses
    for age, newer, guess in context.guesses:
        assert newer >= 3 or guess > 0.0, (age, newer)
        assert guess <= 2 ** (-age / 60) + 1e-9, (age, guess)
    assert len(context.large.seen) == MAX_PREFIXES
