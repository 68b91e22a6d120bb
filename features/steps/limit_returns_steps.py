"""Steps for callers that return after a refusal over the limit."""

from typing import Any

from behave import then, when

from features.support.limit_demand import Demand, DemandPlay

RATES = (5.0, 20.0, 80.0)
NODES = 4
LONG_S = 30.0
MIN_AT_ONCE = 0.5
MIN_SHARE = 0.9


@when(
    "callers ask for {factor:g} times the limit for half a minute, and all that are refused return"
)
def step_long(context: Any, factor: float) -> None:
    context.plays = []
    for rate_per_s in RATES:
        play = DemandPlay(Demand(rate_per_s, rate_per_s, factor, NODES, returning=1.0, seed=1))
        play.run(LONG_S)
        context.plays.append(play)


@then("at least half of what is let through is served at once")
def step_at_once(context: Any) -> None:
    shares = [play.at_once / len(play.granted) for play in context.plays]
    assert min(shares) >= MIN_AT_ONCE, shares


@then("nine tenths of the limit are let through")
def step_let_through(context: Any) -> None:
    shares = [len(play.granted) / (LONG_S * play.demand.rate_per_s) for play in context.plays]
    assert min(shares) >= MIN_SHARE, shares


@when("callers ask for three times the limit for half a second, and all that are refused return")
def step_burst(context: Any) -> None:
    context.returned = []
    for seed in range(10):
        play = DemandPlay(Demand(80.0, 8.0, 3.0, NODES, returning=1.0, seed=seed, hot_s=0.5))
        play.run(10.0)
        context.returned += play.returned


@then("nine tenths of those that return find room")
def step_found(context: Any) -> None:
    assert len(context.returned) >= 100, len(context.returned)
    found = sum(context.returned) / len(context.returned)
    assert found >= MIN_SHARE, found
