"""Steps for the budget of calls to the key-value service, on a simulated clock."""

import random
from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from parsleyrouter.connection.call_budget import BudgetRefusal, BudgetSettings, CallBudget


@when("key-value: calls are asked for at any times with any failures")
def ask_for_calls(context: Any) -> None:
    context.windows = []
    rates = st.tuples(st.integers(1, 50), st.integers(1, 50))
    moves = st.tuples(st.integers(0, 400), st.sampled_from(["ok", "ok", "ok", "fail"]))

    @settings(max_examples=200)
    @given(rates, st.lists(moves, min_size=10, max_size=300), st.integers(0, 9))
    def check(rate: tuple[int, int], moves: list[tuple[int, str]], seed: int) -> None:
        chosen = BudgetSettings(calls_per_s=rate[0], burst_calls=rate[1])
        budget = CallBudget(chosen, random.Random(seed).random)
        now, call_times = 0.0, []
        for wait_ms, result in moves:
            now += wait_ms / 1000 if wait_ms > 300 else 0.0
            wait_s = budget.reserve(now)
            if not isinstance(wait_s, BudgetRefusal):
                assert wait_s <= chosen.wait_limit_s
                call_times.append(now + wait_s)
                (budget.record_success if result == "ok" else budget.record_failure)(now)
        context.windows.append((chosen, sorted(call_times)))

    check()


@then("key-value: no second had more calls than burst and rate allow")
def within_budget(context: Any) -> None:
    assert any(len(call_times) > 20 for _, call_times in context.windows)
    for chosen, call_times in context.windows:
        allowed = chosen.burst_calls + chosen.calls_per_s + 1
        for start in call_times:
            count = sum(start <= at < start + 1.0 for at in call_times)
            assert count <= allowed, (chosen, count)


OUTAGE_S = 60.0
STEP_S = 0.05


def simulate(budgets: list[CallBudget], until_s: float) -> list[float]:
    """Let every client request calls continuously; return the times of the calls made."""
    call_times: list[float] = []
    next_call_s: list[float] = [0.0] * len(budgets)
    for tick in range(int(until_s / STEP_S)):
        now = tick * STEP_S
        for index, budget in enumerate(budgets):
            if next_call_s[index] > now:
                continue
            wait_s = budget.reserve(now)
            if isinstance(wait_s, BudgetRefusal):
                continue
            next_call_s[index] = now + wait_s + STEP_S
            call_times.append(now + wait_s)
            (budget.record_failure if now + wait_s < OUTAGE_S else budget.record_success)(
                now + wait_s
            )
    return call_times


@when("key-value: the clients of 360 nodes call through an outage")
def call_through_outage(context: Any) -> None:
    context.chosen = BudgetSettings(calls_per_s=2.0, burst_calls=4.0)
    budgets = [CallBudget(context.chosen, random.Random(index).random) for index in range(360)]
    context.call_times = simulate(budgets, OUTAGE_S + 15.0)


@then("key-value: the calls after the outage stay under the ramp")
def calls_ramp_up(context: Any) -> None:
    rate = context.chosen.calls_per_s * 360
    for second in range(14):
        start_s = OUTAGE_S + second
        calls = sum(start_s <= at < start_s + 1.0 for at in context.call_times)
        share = min(1.0, 0.1 + (second + 1) / context.chosen.ramp_s)
        assert calls <= 1.05 * rate * share + 100, (second, calls)


@when("key-value: one client meets an outage of a minute")
def meet_outage(context: Any) -> None:
    context.call_times = simulate([CallBudget(rng=random.Random(1).random)], OUTAGE_S)


@then("key-value: it makes few calls and answers its callers at once")
def few_calls(context: Any) -> None:
    assert 5 < len(context.call_times) < 40, len(context.call_times)
