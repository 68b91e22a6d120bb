"""Steps for the stand-in model engine."""

import itertools
import json
from collections import Counter
from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.agents import until
from features.support.loop import run_on_loop
from features.support.stand_ins import chat, post
from parsleyrouter.connection.http import HttpReply
from parsleyrouter.connection.http_client import HttpExchange
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.answers import answer_text, prompt_text
from parsleyrouter.standins.engine import Engine
from parsleyrouter.standins.engine_batch import ContinuousBatch, EngineSpec, Generation
from parsleyrouter.standins.engine_reports import LoadReports

FAST_ENGINE = EngineSpec(step_s=0.004, step_per_running_s=0.0)


@when("stand-ins: any generations arrive, step and are cancelled")
def run_any_batch(context: Any) -> None:
    context.runs = []
    moves = st.sampled_from(["arrive", "arrive", "step", "step", "cancel"])

    @settings(max_examples=150)
    @given(st.integers(1, 4), st.lists(st.tuples(moves, st.integers(1, 6)), max_size=60))
    def check(slots: int, moves: list[tuple[str, int]]) -> None:
        batch = ContinuousBatch(EngineSpec(slots=slots, prompt_chunk_tokens=8))
        made: list[Generation] = []
        started: list[str] = []
        tokens: Counter[str] = Counter()
        ids = itertools.count()
        max_running = 0
        for move, size in moves + [("step", 1)] * 400:
            if move == "arrive":
                made.append(Generation(f"g{next(ids)}", "m", "p" * size * 9, size))
                batch.arrive(made[-1])
            elif move == "cancel" and batch.running:
                cancelled = batch.running[size % len(batch.running)]
                batch.cancel(cancelled)
                made.remove(cancelled)
                started = [id for id in started if id != cancelled.id]
                batch.admit()
            elif move == "step":
                tokens.update(generation.id for generation in batch.step())
                batch.admit()
            max_running = max(max_running, len(batch.running))
            started += [one.id for one in batch.running if one.id not in started]
        context.runs.append((slots, max_running, made, started, tokens))

    check()


@then("stand-ins: slots are never exceeded, order is kept and every token is emitted once")
def batch_is_correct(context: Any) -> None:
    assert any(max_running > 1 for _, max_running, _, _, _ in context.runs)
    for slots, max_running, made, started, tokens in context.runs:
        assert max_running <= slots
        assert started == [generation.id for generation in made], (started, made)
        assert all(tokens[generation.id] == generation.count for generation in made), tokens


@when("stand-ins: one generation runs alone, eight together and one with a cached prefix")
def time_batches(context: Any) -> None:
    def seconds(generations: list[Generation], batch: ContinuousBatch) -> float:
        for generation in generations:
            batch.arrive(generation)
        total_s = 0.0
        while batch.running:
            total_s += batch.step_s()
            batch.step()
        return total_s

    spec = EngineSpec()
    prompts = [f"{number}" + "x" * 4000 for number in range(8)]
    together = [Generation(prompt[0], "m", prompt, 20) for prompt in prompts]
    context.together_s = seconds(together, ContinuousBatch(spec))
    batch = ContinuousBatch(spec)
    context.alone_s = seconds([Generation("a", "m", prompts[0], 20)], batch)
    again = Generation("b", "m", prompts[0], 20)
    context.kept_s = seconds([again], batch)
    context.kept_tokens = again.cached_tokens


@then("stand-ins: steps take longer under load and the cached prefix saves prompt processing")
def batch_times_are_ordered(context: Any) -> None:
    assert context.kept_s < context.alone_s < context.together_s < 8 * context.alone_s
    assert context.kept_tokens > 900


@when("stand-ins: a load report is read at any time after any load")
def read_load(context: Any) -> None:
    context.reports = []
    changes = st.lists(st.tuples(st.integers(1, 30), st.integers(0, 9)), max_size=40)

    @settings(max_examples=150)
    @given(changes, st.integers(1, 10), st.integers(0, 20))
    def check(changes: list[tuple[int, int]], interval: int, lag: int) -> None:
        reports = LoadReports(float(interval), float(lag))
        now = 100.0
        history = [(0.0, 0)]
        for wait, load in changes:
            now += wait
            history.append((now, load))
            reports.record(now, load, 0)
            reader_s = now + wait // 2
            at_s = (reader_s - lag) // interval * interval
            expected = [load for at, load in history if at <= at_s][-1]
            context.reports.append((reports.shown(reader_s)[0], expected))

    check()


@then("stand-ins: it shows the load of the last full interval before the lag")
def load_report_lags(context: Any) -> None:
    assert len({expected for _, expected in context.reports}) > 3
    assert all(shown == expected for shown, expected in context.reports)


@when("stand-ins: an engine caches many prompts and its events are read immediately and later")
def cache_prompts(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        spec = EngineSpec(step_s=0.001, event_lag_s=0.3, event_loss=0.3, cache_tokens=400)
        engine = Engine(runtime, spec=spec).register(runtime)
        address = await engine.address

        async def events() -> list[dict[str, Any]]:
            reply = await runtime.http.request(address, "GET", "/events?after=0")
            return list(reply.json()["events"])

        for number in range(40):
            await post(runtime, address, "/v1/completions", chat(f"{number}" * 80))
            if number == 0:
                context.at_once = await events()
        await runtime.loop.sleep(0.35)
        context.later = await events()
        context.total = engine.cache_events.number

    run_on_loop(main)


@then("stand-ins: events appear late, in order, and some are missing")
def events_have_gaps(context: Any) -> None:
    assert context.at_once == []
    numbers = [event["number"] for event in context.later]
    assert numbers == sorted(numbers) and 0 < len(numbers) < context.total
    assert any(event["removed"] for event in context.later)


@when("stand-ins: responses are abandoned, cancelled, crashed and interrupted")
def end_generations(context: Any) -> None:
    context.outcomes = {}

    async def main(runtime: Runtime) -> None:
        engine = Engine(runtime, spec=FAST_ENGINE).register(runtime)
        address = await engine.address

        async def begin(attempt: str, **named: Any) -> HttpExchange:
            data = json.dumps(chat("hello", max_tokens=4000, **named)).encode()
            headers = {"x-parsley-attempt": attempt}
            found = await runtime.http.begin(
                address, "POST", "/v1/chat/completions", headers=headers, body=data
            )
            assert isinstance(found, HttpExchange)
            await until(runtime, lambda: any(e.attempt == attempt for e in engine.executions))
            return found

        (await begin("gone", stream=True)).cancel()
        await until(runtime, lambda: not engine.running)
        stopped = await begin("stopped")
        context.token = (await post(runtime, address, "/cancel", {"id": "stopped"})).json()
        context.outcomes["stopped"] = await stopped.read_all(5)
        crashed = [await begin("crashed-1"), await begin("crashed-2", stream=True)]
        context.lost = engine.crash()
        for number, exchange in enumerate(crashed, 1):
            context.outcomes[f"crashed-{number}"] = await exchange.read_all(5)
        engine.faults.break_streams = 1
        context.outcomes["broken"] = await (await begin("broken", stream=True)).read_all(5)
        context.states = {one.attempt: one.state.value for one in engine.executions}

    run_on_loop(main)


@then("stand-ins: the engine records how each ended and no response looks complete")
def ends_are_recorded(context: Any) -> None:
    assert context.states == {
        "gone": "cancelled",
        "stopped": "cancelled",
        "crashed-1": "crashed",
        "crashed-2": "crashed",
        "broken": "crashed",
    }
    assert context.lost == 2 and context.token["cancelled"], context.token
    for name, outcome in context.outcomes.items():
        whole = isinstance(outcome, HttpReply) and outcome.status == 200
        assert not whole, (name, outcome)


def parse_stream(data: bytes) -> tuple[str, str]:
    """Return the text of a stream's complete events and the last resume token."""
    text, token = "", ""
    for event in data.decode().split("\n\n")[:-1]:
        if event != "data: [DONE]":
            body = json.loads(event.removeprefix("data: "))
            text += body["choices"][0]["delta"]["content"]
            token = body["parsley_resume"]
    return text, token


@when("stand-ins: streams are cut at any token and resumed on another or the same engine")
def resume_streams(context: Any) -> None:
    context.resumed = []

    @settings(max_examples=10)
    @given(st.integers(1, 10), st.booleans(), st.text("ab ", min_size=1, max_size=200))
    def check(cut_at: int, elsewhere: bool, prompt: str) -> None:
        async def main(runtime: Runtime) -> None:
            engines = [Engine(runtime, spec=FAST_ENGINE).register(runtime) for _ in range(2)]
            first, second = [await engine.address for engine in engines]
            engines[0].faults.break_streams = 1
            engines[0].faults.break_after_tokens = cut_at + 1
            body = chat(prompt, stream=True)
            exchange = await runtime.http.open(
                first, "POST", "/v1/chat/completions", body=json.dumps(body).encode()
            )
            data = b""
            while isinstance(piece := await exchange.read(), bytes):
                data += piece
            text, token = parse_stream(data)
            rest = await post(
                runtime,
                second if elsewhere else first,
                "/v1/chat/completions",
                body | {"parsley_resume": token},
            )
            tail, _ = parse_stream(rest.body)
            whole = answer_text("stand-in", prompt_text(body), 12)
            context.resumed.append((text, tail, whole))

        run_on_loop(main)

    check()


@then("stand-ins: both parts together are the complete answer")
def resumed_answers_are_whole(context: Any) -> None:
    assert context.resumed
    for text, tail, whole in context.resumed:
        assert text and tail and text + tail == whole, (text, tail, whole)


@when("stand-ins: commands with old and new fencing numbers reach both kinds of engines")
def send_fenced_orders(context: Any) -> None:
    context.fenced = {}

    async def main(runtime: Runtime) -> None:
        for checks in (True, False):
            spec = EngineSpec(command_s=0.0, checks_fencing=checks)
            engine = Engine(runtime, spec=spec).register(runtime)
            address = await engine.address
            statuses = []
            for fence, name in ((5, "new"), (4, "old"), (5, "again")):
                command = {"model": name, "fence": fence}
                statuses.append((await post(runtime, address, "/admin/load", command)).status)
            context.fenced[checks] = (statuses, sorted(engine.admin_state.models))

    run_on_loop(main)


@then("stand-ins: only the engine that checks refuses the old one")
def fencing_as_declared(context: Any) -> None:
    assert context.fenced[True] == ([200, 409, 200], ["again", "new", "stand-in"])
    assert context.fenced[False] == (
        [200, 200, 200],
        ["again", "new", "old", "stand-in"],
    )
