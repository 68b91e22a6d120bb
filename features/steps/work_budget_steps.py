"""Steps for the time that work takes which other nodes cause."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from behave import then, when

from parsleyrouter.process.work_budget import PacedCall, WorkBudget

SHARE, BURST_S = 0.25, 1.0
DELAY_S = 0.16
MARGIN_S = 0.3
"""One more call than allowed, and parts of one."""


class StepLoop:
    """A clock that is set by hand, and calls that are made when it has passed their times."""

    def __init__(self) -> None:
        self.time_s = 100.0
        self.calls: list[tuple[float, int, Callable[[], object]]] = []
        self.numbers = itertools.count()

    def now(self) -> float:
        """Return the time."""
        return self.time_s

    def call_later(self, delay_s: float, function: Callable[[], object]) -> None:
        """Note a call."""
        heapq.heappush(self.calls, (self.time_s + delay_s, next(self.numbers), function))

    def run_until(self, until_s: float) -> None:
        """Make the calls that are due, and advance the time."""
        while self.calls and self.calls[0][0] <= until_s:
            due_s, _, function = heapq.heappop(self.calls)
            self.time_s = max(self.time_s, due_s)
            function()
        self.time_s = max(self.time_s, until_s)


@when("reports of crashes that take 0.1 s each come without a pause for 10 s")
def step_reports(context: Any) -> None:
    loop: Any = StepLoop()
    context.spent_s = 0.0

    def work() -> None:
        loop.time_s += 0.1
        context.spent_s += 0.1

    take = WorkBudget(loop, SHARE, BURST_S, loop.now).within(work)
    while loop.time_s < 110.0:
        take()
        loop.time_s += 0.001


@then("they take the burst of 1 s and a quarter of the time")
def step_share(context: Any) -> None:
    allowed_s = BURST_S + SHARE * 10.0
    assert allowed_s - MARGIN_S <= context.spent_s <= allowed_s + MARGIN_S, context.spent_s


@when("a crash comes every 10 ms for 5 s and a decision takes 0.1 s")
def step_crashes(context: Any) -> None:
    loop: Any = StepLoop()
    context.decided_s = []

    def decide() -> None:
        context.decided_s.append(loop.time_s)
        loop.time_s += 0.1

    paced = PacedCall(loop, decide, loop.now)
    for number in range(500):
        loop.run_until(100.0 + number * 0.01)
        context.crashed_s = loop.time_s
        paced.ask(DELAY_S)
    loop.run_until(120.0)


@then("decisions take at most a quarter of the time")
def step_quarter(context: Any) -> None:
    spent_s = 0.1 * len(context.decided_s)
    assert 0.1 < spent_s <= SHARE * 5.0 + MARGIN_S, context.decided_s


@then("the last decision is later than the last crash by its delay")
def step_last(context: Any) -> None:
    assert context.decided_s[-1] >= context.crashed_s + DELAY_S, context.decided_s[-3:]
