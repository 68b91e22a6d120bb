"""Steps for the bound on permits, by a model of the store and the network."""

from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.limit_model import LimitModel
from parsleyrouter.limits.authority import AUTHORITY_S, CLAIM_WAIT_S

EXAMPLES = 800

WINDOWS_S = (1.0, 5.0, 9.0, 25.0)

LIMITS = [(8.0, 12.0), (1.0, 0.0), (8.0, 0.0), (40.0, 0.0)]
"""Rate and burst at the start."""

NODES = st.integers(0, 2)
SHARES = st.integers(0, 1)

WAITS_S = [AUTHORITY_S - 0.5, AUTHORITY_S + 0.2, CLAIM_WAIT_S]

CHANCES: dict[str, tuple[st.SearchStrategy[Any], ...]] = {
    "wait": (st.sampled_from([0.1, 0.3, 0.5, 1.0, 2.0, 2.0, 6.0, 11.0, *WAITS_S]),),
    "claim": (NODES, SHARES),
    "claim_now": (NODES, SHARES),
    "write": (st.integers(0, 3), st.booleans()),
    "read": (NODES, st.integers(0, 3)),
    "read_now": (NODES,),
    "deliver": (st.integers(0, 3),),
    "restart": (NODES,),
    "replace": (NODES,),
    "release": (NODES, SHARES),
    "grant_late": (NODES, SHARES),
    "arrive": (st.integers(0, 3), st.booleans()),
    "configure": (st.sampled_from([0.0, 1.0, 8.0]), st.sampled_from([0.0, 12.0])),
    "learn": (NODES,),
    "churn": (NODES,),
}

MIXES: list[list[str]] = [
    ["wait", "claim_now", "restart"],
    ["wait", "claim_now", "claim_now", "restart"],
    ["wait", "claim_now", "replace", "read_now"],
    ["wait", "claim", "write", "read", "deliver", "claim_now", "read_now"],
    ["wait", "grant_late", "arrive"],
    ["wait", "churn", "churn", "claim_now"],
    ["wait", "configure", "learn", "claim_now", "restart"],
    sorted(CHANCES),
]
"""What happens in a schedule: a few things often, or all."""


def step_of(names: list[str]) -> st.SearchStrategy[tuple[Any, ...]]:
    """Return a strategy of steps by their names."""
    return st.sampled_from(names).flatmap(lambda name: st.tuples(st.just(name), *CHANCES[name]))


SCHEDULES = st.sampled_from(MIXES).flatmap(
    lambda names: st.lists(step_of(names), min_size=30, max_size=80)
)


@when("processes claim, restart, lag, are cut off and suspended while callers take all they get")
def step_any_schedule(context: Any) -> None:
    context.examples = context.most_runs = 0

    @settings(max_examples=EXAMPLES)
    @given(st.sampled_from(LIMITS), SCHEDULES)
    def check(limit: tuple[float, float], steps: list[tuple[Any, ...]]) -> None:
        model = LimitModel(3, *limit)
        for share in range(2):
            model.claim_now(share, share)
        for name, *values in steps:
            getattr(model, name)(*values)
        for window_s in WINDOWS_S:
            assert model.most_over(window_s) <= 0, (window_s, model.most_over(window_s))
        context.examples += 1
        context.most_runs = max(context.most_runs, *map(len, model.runs.values()))

    check()


@then("no window holds more permits than the bound")
def step_bound_held(context: Any) -> None:
    assert context.examples >= EXAMPLES, context.examples
    assert context.most_runs > 30, context.most_runs


def _restarts(model: LimitModel) -> None:
    model.restart(0)
    model.claim_now(0, 0)
    model.claim_now(0, 0)
    model.wait(0.3)


def _churn(model: LimitModel) -> None:
    model.churn(0)
    model.wait(0.1)


def _late(model: LimitModel) -> None:
    """Take permits, let the bucket fill again, then give them back one by one."""
    for _ in range(14):
        model.grant_late(0, 0)
        model.now += 0.1
    model.now += 0.45
    for _ in range(14):
        model.arrive(0, twice=True)
        model.take_all()
    model.wait(1.0)


LOOPS = {
    "restarts": (1.0, _restarts),
    "limits taken away and back": (1.0, _churn),
    "permits given back late": (40.0, _late),
}


@when("callers take all they get during a loop of {what}")
def step_loop(context: Any, what: str) -> None:
    rate_per_s, turn = LOOPS[what]
    context.model = LimitModel(2, rate_per_s, 0.0)
    context.model.claim_now(0, 0)
    context.model.wait(20.0)
    context.model.claim_now(0, 0)
    for _ in range(40):
        turn(context.model)


@then("no share gave more permits in a window than the bound")
def step_loop_bound(context: Any) -> None:
    over = {window_s: context.model.most_over(window_s) for window_s in WINDOWS_S}
    assert max(over.values()) <= 0, over
