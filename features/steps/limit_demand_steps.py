"""Steps for what is let through while a customer asks for more than its limit."""

from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.limit_bounds import most_in_window, share_bound
from features.support.limit_demand import CUSTOMER, Demand, DemandPlay
from parsleyrouter.customers import Customer
from parsleyrouter.limits.shares import SHARES_PER_GROUP

MIN_SHARE = 0.9
"""Stated least share of what a customer may send that is let through."""

EXAMPLES = 60
MIN_REQUESTS = 40
MIN_TIME_S = 20.0

DEMANDS = st.builds(
    Demand,
    rate_per_s=st.sampled_from([0.5, 1.6, 5.0, 20.0, 80.0]),
    burst=st.sampled_from([0.0, 1.0, 4.0, 20.0]),
    factor=st.sampled_from([1.2, 1.6, 3.0, 7.0]),
    entries=st.integers(1, 4),
    returning=st.sampled_from([0.0, 0.5, 1.0]),
    seed=st.integers(0, 1000),
)


@when("callers of any customer ask for more than its limit at one or more nodes")
def step_demand(context: Any) -> None:
    context.examples = 0

    @settings(max_examples=EXAMPLES)
    @given(DEMANDS)
    def check(demand: Demand) -> None:
        play = DemandPlay(demand)
        time_s = max(MIN_TIME_S, MIN_REQUESTS / demand.rate_per_s)
        play.run(time_s)
        wanted = MIN_SHARE * demand.rate_per_s * time_s
        assert len(play.granted) >= wanted, (len(play.granted), wanted)
        customer = Customer(CUSTOMER, demand.rate_per_s, demand.burst)
        bound = SHARES_PER_GROUP * share_bound(customer, 5.0)
        assert most_in_window(play.granted, 5.0) <= bound
        context.examples += 1

    check()


@then("nine tenths of what the limit allows is let through and never more than the bound")
def step_let_through(context: Any) -> None:
    assert context.examples >= EXAMPLES, context.examples
