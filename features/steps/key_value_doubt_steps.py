"""Steps for writes to the key-value service whose outcome is unknown at first."""

from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.loop import run_on_loop
from features.support.stand_ins import serve_key_value
from parsleyrouter.connection.key_value import (
    ABSENT,
    Conflict,
    KeyValueFailure,
    KeyValueFailureKind,
    WriteApplied,
)
from parsleyrouter.connection.swap_retry import compare_and_swap_with_retry
from parsleyrouter.ids import Revision
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.key_value_faults import CallFault, CallKind, KeyValueFaults
from parsleyrouter.standins.key_value_store import KeyValueStore
from parsleyrouter.standins.memory_key_value import MemoryKeyValue

FAULTS: dict[str, dict[str, Any]] = {
    "none": {},
    "outage": {"outage": True},
    "hang": {"hang": True},
    "limited": {"calls_per_s": 0.5},
    "lost before": {"lose_before": 1},
    "lost after": {"lose_after": 1},
}


@when("key-value: writes meet outages, rate limits, missing replies and lost replies")
def write_under_faults(context: Any) -> None:
    context.reported = []

    @settings(max_examples=8)
    @given(st.lists(st.sampled_from(sorted(FAULTS)), min_size=3, max_size=8))
    def check(names: list[str]) -> None:
        async def main(runtime: Runtime) -> None:
            server, client = await serve_key_value(runtime, timeout_s=0.2)
            for number, name in enumerate(names):
                server.faults = type(server.faults)(**FAULTS[name])
                key = f"/k/{number}"
                outcome = await client.compare_and_swap(key, b"v", ABSENT)
                context.reported.append((name, outcome, server.store.get(key) is not None))

        run_on_loop(main)

    check()


@then("key-value: no write reported as not applied took effect")
def failures_are_truthful(context: Any) -> None:
    assert {name for name, _, _ in context.reported} == set(FAULTS)
    for name, outcome, applied in context.reported:
        if isinstance(outcome, KeyValueFailure):
            assert outcome.maybe_applied or not applied, (name, outcome)
        else:
            assert applied, (name, outcome)
    limited = [outcome for name, outcome, _ in context.reported if name == "limited"]
    refused = [one for one in limited if isinstance(one, KeyValueFailure)]
    assert {one.kind for one in refused} <= {KeyValueFailureKind.OVER_BUDGET}, refused


@when("key-value: compare-and-swaps with retry lose any replies while another writer races")
def swap_with_races(context: Any) -> None:
    context.reported = []
    turns = st.tuples(
        st.lists(st.sampled_from(sorted(CallFault, key=str)), max_size=5),
        st.sampled_from(["nobody", "before", "between"]),
    )

    @settings(max_examples=150)
    @given(st.lists(turns, min_size=1, max_size=6))
    def check(turns: list[tuple[list[CallFault], str]]) -> None:
        async def main(runtime: Runtime) -> None:
            store = KeyValueStore()
            for number, (faults, race) in enumerate(turns):
                await swap_and_record(context, runtime, store, f"ours-{number}", list(faults), race)

        run_on_loop(main)

    check()


async def swap_and_record(
    context: Any,
    runtime: Runtime,
    store: KeyValueStore,
    value: str,
    faults: list[CallFault],
    race: str,
) -> None:
    entry = store.get("/k")
    call_count = [0]

    def script(kind: CallKind, key: str) -> CallFault:
        call_count[0] += 1
        if (race, call_count[0]) in {("before", 1), ("between", 2)}:
            store.put("/k", b"theirs")
        return faults.pop(0) if faults else CallFault.NONE

    key_value = MemoryKeyValue(runtime.loop, store=store, faults=KeyValueFaults(script=script))
    expected = entry.revision if entry else ABSENT
    outcome = await compare_and_swap_with_retry(key_value, "/k", value.encode(), expected)
    applied = [
        change
        for change in store.changes(Revision(1), "/k")
        if change.entry is not None and change.entry.value == value.encode()
    ]
    context.reported.append((outcome, [change.revision for change in applied]))


@then("key-value: each is reported with its actual outcome")
def swaps_are_truthful(context: Any) -> None:
    kinds = {type(outcome) for outcome, _ in context.reported}
    assert kinds == {WriteApplied, Conflict, KeyValueFailure}, kinds
    for outcome, applied in context.reported:
        if isinstance(outcome, WriteApplied):
            assert applied == [outcome.revision], (outcome, applied)
        elif isinstance(outcome, Conflict) or not outcome.maybe_applied:
            assert not applied, (outcome, applied)
