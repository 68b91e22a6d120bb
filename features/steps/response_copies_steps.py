"""Steps for copies of responses in any order."""

from collections import Counter
from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.copies_model import CopiesModel

ACTIONS = ("send", "send", "respond", "respond", "copy", "deliver", "deliver", "end", "give_up")
NUMBERS = st.integers(0, 999)
SENDINGS_BELIEVED = 1000


@when("requests, some under an id that comes again, meet copies of all kinds at any time")
def step_any_order(context: Any) -> None:
    context.counts = Counter()
    step = st.tuples(st.sampled_from(ACTIONS), NUMBERS, NUMBERS)

    @settings(max_examples=400)
    @given(st.lists(step, min_size=30, max_size=80))
    def play(steps: list[tuple[str, int, int]]) -> None:
        model = CopiesModel()
        model.play(steps)
        context.counts["sent"] += len(model.sendings)
        context.counts["believed"] += model.believed
        context.counts["reused"] += sum(one.exchange.reused for one in model.sendings)
        context.counts["skipped"] += sum(one.exchange.skipped for one in model.sendings)

    play()


@then("each response that was believed was that to its sending, and many were")
def step_many_believed(context: Any) -> None:
    assert context.counts["believed"] > SENDINGS_BELIEVED, context.counts
    assert context.counts["reused"] and context.counts["skipped"], context.counts
