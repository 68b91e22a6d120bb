"""Steps for parts of batch jobs on simulated time."""

import json
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test

from features.support.batch_fleet import TEAM
from features.support.batch_model import BatchModel
from features.support.batch_sim import BatchSim
from parsleyrouter.connection.key_value import ABSENT
from parsleyrouter.ids import Epoch, NodeId, PartIndex
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.batch_limits import BatchLimits
from parsleyrouter.process.call_port import Call, Reply
from parsleyrouter.process.job_keys import job_id, part_key
from parsleyrouter.process.job_records import (
    PartPhase,
    PartRecord,
    decode_record,
    encode_record,
)
from parsleyrouter.process.runner_context import CommitPace

MODEL_EXAMPLES = 500
MODEL_STEPS = 40
CATCH_UP_CALLS = 120


@when("processes on simulated time accept, run, commit and cancel under any faults")
def run_model(context: Any) -> None:
    chosen = settings(max_examples=MODEL_EXAMPLES, stateful_step_count=MODEL_STEPS)
    run_state_machine_as_test(BatchModel, settings=chosen)
    context.model_passed = True


@then("every accepted item had one result that never changed and no unrepeatable item ran twice")
def model_passed(context: Any) -> None:
    assert context.model_passed


@given("simulated processes that run a job of {items:d} items")
def sim_job(context: Any, items: int) -> None:
    random.seed(1)
    context.sim = BatchSim()
    context.items = items
    context.job = job_id(TEAM, "k")


def submit_job(context: Any) -> None:
    """Submit the job."""
    assert context.sim.submit("n0", "k", context.items, unrepeatable=False).job == context.job


def run_to_end(context: Any) -> None:
    """Run until the job has its manifest; read its results."""
    for _ in range(400):
        record = context.sim.job(context.job)
        if record.manifest:
            break
        context.sim.loop.run_for(1.0)
    assert context.sim.job(context.job).manifest, context.sim.job(context.job)
    lines = context.sim.committed(context.job)
    context.results = {index: json.loads(line) for index, line in lines.items()}
    assert sorted(context.results) == list(range(context.items))


def run_until_progress(sim: BatchSim, condition: Callable[[Any], bool]) -> Any:
    """Run until the progress of a part meets a condition; return its process and runner."""
    for _ in range(2000):
        for node in sim.nodes.values():
            for runner in node.supervisor.runners.values():
                if runner.dispatcher is not None and condition(runner.dispatcher.progress):
                    return node, runner
        sim.loop.run_for(0.01)
    raise AssertionError("the condition never held")


@when("an owner crashes after it wrote results and before it committed them")
def crash_uncommitted(context: Any) -> None:
    sim = context.sim
    submit_job(context)
    node, runner = run_until_progress(sim, lambda progress: len(progress.uncommitted) >= 2)
    context.written = set(runner.dispatcher.progress.uncommitted)
    context.runs_before = {n: sim.dispatched[f"{context.job}-{n}"] for n in context.written}
    sim.crash(node.name)
    run_to_end(context)


@then("written items are not run again")
def not_run_twice(context: Any) -> None:
    for index in context.written:
        assert context.sim.dispatched[f"{context.job}-{index}"] == context.runs_before[index]
        assert context.results[index]["outcome"] == "ok"


@when("one item ends every process that dispatches it")
def poison(context: Any) -> None:
    sim = context.sim

    def kill(call: Call, node: str) -> None:
        if call.request == f"{context.job}-8" and node in sim.nodes:
            sim.crash(node)
            sim.loop.call_later(3.0, lambda: sim.start(node))

    sim.on_dispatch = kill
    submit_job(context)
    run_to_end(context)


@then("that item has an error result and the others are done")
def poison_ended(context: Any) -> None:
    outcomes = {index: line["outcome"] for index, line in context.results.items()}
    assert outcomes.pop(8) == "error", context.results[8]
    assert set(outcomes.values()) == {"ok"}, outcomes
    assert context.sim.dispatched[f"{context.job}-8"] <= 3


@when("one item fails at every endpoint")
def fails_everywhere(context: Any) -> None:
    for node in context.sim.nodes.values():
        calls = node.supervisor.context.calls
        run = calls.run

        async def fail(call: Call, *, on_dispatch: Any = None, run: Any = run) -> Reply | Refusal:
            answer = await run(call, on_dispatch=on_dispatch)
            if call.request == f"{context.job}-8":
                return Refusal(RefusalKind.ENDPOINT_FAILED, "cut", ExecutionStatus.UNKNOWN)
            return answer

        calls.run = fail
    submit_job(context)
    run_to_end(context)


@then("it was dispatched 3 times, has an error result and the others are done")
def failed_thrice(context: Any) -> None:
    assert context.sim.dispatched[f"{context.job}-8"] == 3
    outcomes = {index: line["outcome"] for index, line in context.results.items()}
    assert outcomes.pop(8) == "error"
    assert set(outcomes.values()) == {"ok"}


@when("the key-value service is down for 10 minutes")
def long_outage(context: Any) -> None:
    sim = context.sim
    submit_job(context)
    run_until_progress(sim, lambda progress: bool(progress.in_flight))
    for node in sim.nodes.values():
        node.faults.outage = True
    started_s = sim.loop.now()
    before = len(sim.dispatches)
    sim.loop.run_for(600.0)
    context.in_outage = len(sim.dispatches) - before
    context.committed_in_outage = sim.committed(context.job)
    context.outage_s = sim.loop.now() - started_s
    for node in sim.nodes.values():
        node.faults.outage = False
        node.faults.counts.clear()
    run_to_end(context)


@then("items were dispatched during the outage, each once, and all results are committed after it")
def outage_passed(context: Any) -> None:
    assert context.in_outage > 0
    for request, count in context.sim.dispatched.items():
        number = int(request.rpartition("-")[2])
        assert count == (2 if number % 7 in (3, 6) else 1), (request, count)


@then("the catch-up took few calls")
def catch_up(context: Any) -> None:
    calls = sum(sum(node.faults.counts.values()) for node in context.sim.nodes.values())
    assert calls < CATCH_UP_CALLS, calls


@when("a process that runs parts shuts down gracefully")
def planned_stop(context: Any) -> None:
    sim = context.sim
    submit_job(context)
    node, _ = run_until_progress(sim, lambda progress: len(progress.in_flight) >= 2)
    task = sim.loop.spawn(node.supervisor.stop())
    while not task.done:
        sim.loop.run_for(0.1)
    sim.crash(node.name)
    run_to_end(context)


@then("it waited for what it had dispatched and no item ran twice")
def stop_cut_nothing(context: Any) -> None:
    for request, count in context.sim.dispatched.items():
        number = int(request.rpartition("-")[2])
        assert count == (2 if number % 7 in (3, 6) else 1), (request, count)


@when("a part record is written again after its job has taken over the part")
def part_comes_back(context: Any) -> None:
    sim = context.sim
    submit_job(context)
    key = part_key(context.job, PartIndex(1))
    first = decode_record(PartRecord, sim.store.get(key).value)
    run_to_end(context)
    before = sum(sim.dispatched.values())
    record = replace(first, phase=PartPhase.WAITING, owner=NodeId(""), epoch=Epoch(0))
    sim.store.compare_and_swap(key, encode_record(record), ABSENT)
    sim.loop.run_for(60.0)
    context.came_back = (sim.store.get(key), sum(sim.dispatched.values()) - before)


@then("the record is deleted and no item of it was dispatched again")
def not_run_again(context: Any) -> None:
    assert context.came_back == (None, 0)


@when("parts are committed in fleets of any size")
def commit_in_any_fleet(context: Any) -> None:
    context.paces = []

    @settings(max_examples=100)
    @examples(st.integers(1, 1000), st.integers(1, 64))
    def check(nodes: int, parts: int) -> None:
        pace = CommitPace(BatchLimits(), nodes, parts)
        context.paces.append((nodes * parts / pace.commit_s(), pace.commit_s()))

    check()


@then("all nodes together stay within the budget and none commits faster than its setting")
def pace_in_budget(context: Any) -> None:
    limits = BatchLimits()
    assert context.paces
    assert max(rate for rate, _ in context.paces) <= limits.fleet_commits_per_s * 1.001
    assert min(seconds for _, seconds in context.paces) == limits.commit_s
