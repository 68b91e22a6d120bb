"""Steps for the checks of the soak on customers and slow endpoints."""

import tempfile
from pathlib import Path
from typing import Any

from behave import when

from features.steps.soak_checks_steps import found, good_journal
from features.support.soak_customers import (
    ALLOWED_CUSTOMERS,
    CUSTOMER_VIOLATIONS,
    add_customers,
    customers_plan,
    slow_plan,
)
from soak.play import run_soak


@when("customers and endpoints see {seen}")
def step_customers_see(context: Any, seen: str) -> None:
    journal = good_journal()
    add_customers(journal)
    (CUSTOMER_VIOLATIONS | ALLOWED_CUSTOMERS)[seen](journal)
    context.found = found(journal)


@when("a soak plays customers that change keys and exceed their limits")
def step_customers_play(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        result = run_soak(customers_plan(), Path(folder) / "play")
    assert result.limited, "no request was refused for a limit"
    context.found = result.problems


@when("a soak plays engines that are slow and report it")
def step_slow_play(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        result = run_soak(slow_plan(), Path(folder) / "play")
    assert result.slow, "no engine was slow"
    context.found = result.problems
