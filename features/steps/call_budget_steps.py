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
        now, made = 0.0, []
        for wait_ms, result in moves:
            now += wait_ms / 1000 if wait_ms > 300 else 0.0
            place = budget.reserve(now)
            if not isinstance(place, BudgetRefusal):
                assert place <= chosen.wait_limit_s
                made.append(now + place)
                (budget.record_success if result == "ok" else budget.record_failure)(now)
        context.windows.append((chosen, sorted(made)))

    check()


@then("key-value: no second had more calls than burst and rate allow")
def within_budget(context: Any) -> None:
    assert any(len(made) > 20 for _, made in context.windows)
    for chosen, made in context.windows:
        allowed = chosen.burst_calls + chosen.calls_per_s + 1
        for start in made:
            count = sum(start <= at < start + 1.0 for at in made)
            assert count <= allowed, (chosen, count)


OUTAGE_S = 60.0
STEP_S = 0.05


def simulate(budgets: list[CallBudget], until_s: float) -> list[float]:
    """Let every client want a call all the time; return when calls were made."""
    made: list[float] = []
    due: list[float] = [0.0] * len(budgets)
    for tick in range(int(until_s / STEP_S)):
        now = tick * STEP_S
        for index, budget in enumerate(budgets):
            if due[index] > now:
                continue
            place = budget.reserve(now)
            if isinstance(place, BudgetRefusal):
                continue
            due[index] = now + place + STEP_S
            made.append(now + place)
            (budget.record_failure if now + place < OUTAGE_S else budget.record_success)(
                now + place
            )
    return made


@when("key-value: the clients of 360 nodes call through an outage")
def herd(context: Any) -> None:
    context.chosen = BudgetSettings(calls_per_s=2.0, burst_calls=4.0)
    budgets = [CallBudget(context.chosen, random.Random(index).random) for index in range(360)]
    context.made = simulate(budgets, OUTAGE_S + 15.0)


@then("key-value: the calls after the outage stay under the ramp")
def ramped(context: Any) -> None:
    rate = context.chosen.calls_per_s * 360
    for second in range(14):
        start_s = OUTAGE_S + second
        calls = sum(start_s <= at < start_s + 1.0 for at in context.made)
        share = min(1.0, 0.1 + (second + 1) / context.chosen.ramp_s)
        assert calls <= 1.05 * rate * share + 100, (second, calls)


@when("key-value: one client meets an outage of a minute")
def meet_outage(context: Any) -> None:
    context.made = simulate([CallBudget(rng=random.Random(1).random)], OUTAGE_S)


@then("key-value: it makes few calls and answers its callers at once")
def few_calls(context: Any) -> None:
    assert 5 < len(context.made) < 40, len(context.made)
