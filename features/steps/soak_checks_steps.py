"""Steps for the checks of the soak, on journals that violate one guarantee each."""

import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from behave import then, when

from features.support.soak_copies import SENDING_VIOLATIONS, add_second_sending, copies_plan
from features.support.soak_items import (
    DISTURBED,
    ITEM_S,
    ITEM_VIOLATIONS,
    WAITS,
    add_deadly_item_run,
    add_item,
    item_run,
    run,
)
from features.support.soak_requests import (
    ALLOWED_REQUESTS,
    CONDITIONS,
    REQUEST_VIOLATIONS,
    add_deadly_request,
)
from soak.checks import problems
from soak.endpoints import expected_body, item_output
from soak.engine_faults import ENGINE_FAULTS
from soak.faults import FAULTS
from soak.journal import (
    Attempt,
    DeadlySpan,
    EndpointCrash,
    EndpointLimit,
    JobTrace,
    Journal,
    Kind,
    Run,
    RunEnd,
)
from soak.play import Plan, run_soak

Violation = Callable[[Journal], object]


def good_journal() -> Journal:
    """Return a journal without violations."""
    journal = Journal()
    for name, kind in (("a1", Kind.STREAM), ("a2", Kind.SAFE), ("a3", Kind.MOVED)):
        body = expected_body(name, kind is Kind.STREAM)
        journal.attempts[name] = Attempt(
            name, kind, "n", 50.0, 200, "sig-e", body, True, 51.0, version=2, version_s=10.0
        )
        service = "engines" if kind is Kind.STREAM else "cards"
        journal.runs.append(Run(name, "e", service, "/", f"body {name}".encode(), 50.0))
    journal.attempts["a4"] = Attempt("a4", Kind.STREAM, "n", 50.0, 503, "", b"", True)
    record = JobTrace("j", ["i1", "i2"], [202], 40.0)
    record.results = {at: (f"i{at + 1}", "completed", item_output(f"i{at + 1}")) for at in (0, 1)}
    journal.jobs["j"] = record
    journal.jobs["k"] = JobTrace("k", ["i3"], [503, 503], refused_for_good=True)
    journal.runs += [
        Run(one, "e", "engines", "/", f"body {one}".encode(), 41.0) for one in record.items
    ]
    add_deadly_part(journal)
    add_deadly_request(journal)
    journal.item_slots = 4
    for one in journal.runs:
        one.ended_s, one.end = one.began_s + 0.5, RunEnd.COMPLETE
    return journal


def add_deadly_part(journal: Journal) -> None:
    """Add five crashes by a part, three runs with it that are allowed, and sound requests."""
    journal.crashes += [EndpointCrash(20.0 + number, "e", "dead") for number in range(5)]
    for number in range(3):
        add_deadly_run(journal, f"d{number}")
    journal.attempts["d9"] = Attempt(
        "d9", Kind.STREAM, "n", 60.0, 503, complete=True, parts=("a1", "dead", "d9")
    )
    for number in range(20):
        name, first = f"s{number}", f"a{number % 2 + 1}"
        body = expected_body(name, stream=True)
        journal.attempts[name] = Attempt(
            name, Kind.STREAM, "n", 40.0, 200, "sig-e", body, True, 41.0, parts=(first, name)
        )
        journal.runs.append(run(name))


def add_deadly_run(journal: Journal, name: str) -> None:
    parts = ("a1", "dead", name)
    journal.attempts[name] = Attempt(name, Kind.STREAM, "n", 30.0, 200, "sig-e", parts=parts)
    one = run(name)
    one.began_s, one.parts = 30.0, parts
    journal.runs.append(one)


def add_safe_run(journal: Journal, at_s: float, endpoint: str, *, leaving: bool = False) -> None:
    """Add a request that is answered within a tenth of a second."""
    name = f"w{len(journal.runs)}"
    body = expected_body(name, stream=False)
    journal.attempts[name] = Attempt(
        name, Kind.SAFE, "n", at_s, 200, f"sig-{endpoint}", body, True, at_s + 0.1
    )
    text = f"body {name}".encode()
    journal.runs.append(Run(name, endpoint, "cards", "/", text, at_s, leaving=leaving))


def add_leaving(journal: Journal) -> None:
    """Add an answer that says that its endpoint leaves, and a request to it 2.2 s later."""
    add_safe_run(journal, 70.0, "c", leaving=True)
    add_safe_run(journal, 72.3, "c", leaving=True)


LIMIT_PER_S = 1.0


def add_limit(journal: Journal, requests: int) -> None:
    """Add requests to an endpoint with a limit of one a second: first one, then many in 2 s."""
    journal.limits.append(EndpointLimit("l", LIMIT_PER_S, 80.0, 90.0))
    add_safe_run(journal, 80.0, "l")
    for number in range(requests):
        add_safe_run(journal, 84.0 + 2.0 * number / requests, "l")


def refuse_first_part(journal: Journal) -> None:
    for one in journal.attempts.values():
        if one.parts[:1] == ("a1",) and one.attempt.startswith("s"):
            one.status, one.body = 503, b""
    journal.runs = [one for one in journal.runs if not one.attempt.startswith("s")]


def result(position: int, item: str, output: str) -> Violation:
    return lambda journal: journal.jobs["j"].results.update({position: (item, "completed", output)})


VIOLATIONS: dict[str, Violation] = {
    "a response to another request": lambda journal: setattr(
        journal.attempts["a2"], "body", expected_body("a9", stream=False)
    ),
    "a response without a signature": lambda journal: setattr(journal.attempts["a2"], "proof", ""),
    "a stream that ran twice": lambda journal: journal.runs.append(run("a1")),
    "a refusal of a request that ran": lambda journal: journal.runs.append(run("a4")),
    **SENDING_VIOLATIONS,
    "a run that no client requested": lambda journal: journal.runs.append(run("a8")),
    "a run with another body": lambda journal: journal.runs.append(run("a2", "cards", b"other")),
    "a request on an outdated route": lambda journal: setattr(
        journal.runs[2], "service", "engines"
    ),
    "a job with an item missing": lambda journal: journal.jobs["j"].results.pop(1),
    "an item at two positions": result(1, "i1", item_output("i1")),
    "an item with an event missing": result(1, "i2", item_output("i2").replace("i2 7\n", "")),
    "a refused job that ran": lambda journal: journal.runs.append(run("i3")),
    "four runs with a part after five crashes": lambda journal: add_deadly_run(journal, "d3"),
    "sound requests refused for a first part": refuse_first_part,
    "a request cut at a planned stop": lambda journal: setattr(
        journal.attempts["a1"], "complete", False
    ),
    "a run after an answer that says leaving": add_leaving,
    "too many runs at a limited endpoint": lambda journal: add_limit(journal, 12),
    **ITEM_VIOLATIONS,
    **REQUEST_VIOLATIONS,
    **ALLOWED_REQUESTS,
    "a process that ended by itself": lambda journal: journal.ends.append("n ended by itself"),
}


def found(
    journal: Journal,
    *,
    started_s: float = 0.0,
    disturbances: Sequence[tuple[float, float]] = (),
    rows: Sequence[dict[str, Any]] = (),
    cut_off_s: float = 0.0,
    stop_s: float = 45.0,
) -> list[str]:
    node = SimpleNamespace(
        name="n",
        interruptions_s=[started_s],
        undisturbed_since=lambda at_s: True,
        undisturbed_between=lambda from_s, until_s: True,
        stops_s=[stop_s],
        in_touch_between=lambda from_s, until_s: not from_s <= cut_off_s <= until_s,
        versions=lambda: [0, 1, 2],
        disturbances=disturbances,
        rows=lambda: rows,
    )
    world: Any = SimpleNamespace(journal=journal, nodes=[node], version=3)
    world.version_s, world.version_times_s = 195.0, [190.0, 195.0]
    return problems(world)


@when("nothing goes wrong for callers and endpoints")
def step_good(context: Any) -> None:
    context.found = found(good_journal())


@when("an endpoint crashes while it runs a request around a planned stop")
def step_crash_at_stop(context: Any) -> None:
    journal = good_journal()
    journal.attempts["a1"].complete = False
    journal.crashes.append(EndpointCrash(50.5, "e", "other"))
    context.found = found(journal)


@when("a request follows an answer that says leaving and a start of its node")
def step_leaving_start(context: Any) -> None:
    journal = good_journal()
    add_leaving(journal)
    context.found = found(journal, started_s=71.0)


@when("an endpoint with a limit gets as many requests as it allows")
def step_limit_kept(context: Any) -> None:
    journal = good_journal()
    add_limit(journal, 11)
    context.found = found(journal)


@when("an item waits while {reason}")
def step_item_waits(context: Any, reason: str) -> None:
    journal = good_journal()
    WAITS[reason](journal)
    context.found = found(journal, disturbances=[DISTURBED[reason]] if reason in DISTURBED else ())


@when("a soak plays jobs while engines are killed and connections are reset")
def step_short_play(context: Any) -> None:
    without = sorted((FAULTS.keys() | ENGINE_FAULTS.keys()) - {"kill engine", "resets"})
    plan = Plan(1, nodes=2, clients=2, faults_s=6.0, engine_processes=2, without=without)
    with tempfile.TemporaryDirectory() as folder:
        result = run_soak(plan, Path(folder) / "play")
    assert result.jobs, "no job was submitted"
    context.found = result.problems


@when("a request is refused and runs after it was sent again under its id")
def step_sent_again(context: Any) -> None:
    journal = good_journal()
    add_second_sending(journal, status=200)
    context.found = found(journal)


@when("a soak plays engines that write refusals again under the ids of requests under way")
def step_copies_play(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        result = run_soak(copies_plan(), Path(folder) / "play")
    assert result.sent_again, "no request was sent again"
    context.found = result.problems


@when("an item runs with a part that had its five crashes and three runs and has ended")
def step_ended_part_run(context: Any) -> None:
    journal = good_journal()
    journal.deadly["dead"] = DeadlySpan("dead", "a1", 20.0, ITEM_S - 1.0)
    add_deadly_item_run(journal)
    context.found = found(journal)


@when("callers and endpoints see an item that is held to the end")
def step_item_held(context: Any) -> None:
    journal = good_journal()
    job = add_item(journal, 1.0, item_run(1.0, RunEnd.CRASHED), parts=("a9", "part", "i9"))
    job.results.clear()
    journal.deadly["part"] = DeadlySpan("part", "a9", ITEM_S, ITEM_S + 5.0)
    rows = [
        {"message": "job runs here", "job": "l", "time": "10:00:00"},
        {"message": "item held back", "request": "i9", "time": "10:00:05", "reason": "part"},
    ]
    context.found = found(journal, rows=rows)


@then("the soak reports its owner, its last run, its part and the line that holds it")
def step_state_told(context: Any) -> None:
    text = next(one for one in context.found if one.startswith("no item is left lying"))
    told = (
        "1 runs, the last at e from 199.00, crashed at 201.00",
        "part was deadly until 205.00",
        "n holds it since 10:00:05: item held back at 10:00:05 (part)",
    )
    assert all(one in text for one in told), text


@then("the soak reports nothing")
def step_nothing(context: Any) -> None:
    assert not context.found, context.found


@when("callers and endpoints see {violation}")
def step_broken(context: Any, violation: str) -> None:
    journal = good_journal()
    VIOLATIONS[violation](journal)
    context.found = found(journal, **CONDITIONS.get(violation, {}))


@then('the soak reports it under "{guarantee}"')
def step_reported(context: Any, guarantee: str) -> None:
    assert any(one.startswith(guarantee) for one in context.found), context.found
