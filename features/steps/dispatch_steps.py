"""Steps for calls to endpoints that fail."""

import json
from dataclasses import replace
from typing import Any

from behave import then, when
from hypothesis import given as sample
from hypothesis import settings
from hypothesis import strategies as st

from features.support.entry import (
    CHAT,
    CHAT_PATH,
    EVENTS,
    KEY,
    STREAM,
    FixedGrants,
    ScriptedEndpoint,
    chunk,
    close_without_response,
    never_respond,
    respond_503,
    respond_ok,
    start_entry,
    truncate_stream,
)
from features.support.loop import run_on_loop
from parsleyrouter.connection.http import HttpReply, TransportFailure, json_reply
from parsleyrouter.connection.http_server import Exchange
from parsleyrouter.ids import EndpointId, KindName, ModelName, RequestId, TeamName
from parsleyrouter.outcome import ExecutionStatus
from parsleyrouter.process.call_dispatcher import CallDispatcher
from parsleyrouter.process.call_port import Call, Preempted, Reply
from parsleyrouter.process.fleet_view import StaticFleetView
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.request.attempts import (
    AttemptFailure,
    AttemptHistory,
    FailurePoint,
    GiveUp,
    Retry,
    RetryRules,
    decide_retry,
)
from parsleyrouter.request.retry_budget import WINDOW_S, RetryBudget
from parsleyrouter.standins.answers import answer_text, prompt_text
from parsleyrouter.standins.engine import Engine
from parsleyrouter.standins.engine_batch import EngineSpec
from parsleyrouter.version.schema import KindClass, KindSettings

FAST = EngineSpec(models=("small",), step_s=0.002, step_per_running_s=0.0)


@when("dispatch: decisions are made on any series of failed attempts")
def decide_failures(context: Any) -> None:
    failure = st.builds(
        AttemptFailure,
        endpoint=st.sampled_from([EndpointId("a"), EndpointId("b")]),
        failed_at=st.sampled_from(FailurePoint),
        message=st.just("x"),
        response_started=st.booleans(),
        resumable=st.booleans(),
    )
    context.decisions = []

    @settings(max_examples=200)
    @sample(st.booleans(), st.lists(failure, min_size=1, max_size=6), st.floats(0, 5))
    def check(idempotent: bool, failures: list[AttemptFailure], remaining_s: float) -> None:
        rules, history = RetryRules(idempotent), AttemptHistory()
        for index, one in enumerate(failures):
            step = decide_retry(
                rules, history, one, remaining_s=remaining_s, take_retry=lambda: True
            )
            context.decisions.append((rules, failures[: index + 1], step))
            if isinstance(step, GiveUp):
                break
            history = step.history

    check()


NOT_RUN = frozenset({FailurePoint.NOT_SENT, FailurePoint.REFUSED})
"""Nothing was sent, or the endpoint stated that it has not run the call and will not."""


@then("dispatch: a non-idempotent call is retried only if it provably did not run")
def retried_only_if_not_run(context: Any) -> None:
    for rules, failures, step in context.decisions:
        if isinstance(step, Retry) and not rules.idempotent:
            assert all(one.failed_at in NOT_RUN for one in failures)


@then("dispatch: not_run is reported only if no attempt can have run")
def not_run_only_if_unrun(context: Any) -> None:
    for _, failures, step in context.decisions:
        if isinstance(step, GiveUp):
            none_ran = all(one.failed_at in NOT_RUN for one in failures)
            assert (step.refusal.ran is ExecutionStatus.NOT_RUN) == none_ran


@then("dispatch: no call is retried after the caller received a part that cannot be resumed")
def no_retry_after_partial_response(context: Any) -> None:
    for _, failures, step in context.decisions:
        if isinstance(step, Retry) and failures[-1].response_started:
            assert failures[-1].resumable


@when("dispatch: requests and retries arrive at any times")
def spend_budget(context: Any) -> None:
    context.budgets = []

    @settings(max_examples=100)
    @sample(st.lists(st.tuples(st.floats(0, 1.5), st.booleans()), max_size=80), st.floats(0, 1))
    def check(events: list[tuple[float, bool]], share: float) -> None:
        budget, now, requests, retries = RetryBudget(share=share), 0.0, [], []
        for gap_s, is_retry in events:
            now += gap_s
            if not is_retry:
                budget.count_request(now)
                requests.append(now)
            elif budget.try_withdraw(now):
                retries.append(now)
                recent = [at for at in requests if at > now - WINDOW_S]
                taken = [at for at in retries if at > now - WINDOW_S]
                context.budgets.append((len(taken), budget.min_retries + share * len(recent)))

    check()


@then("dispatch: the retries of any ten seconds stay within the budget")
def budget_kept(context: Any) -> None:
    assert context.budgets
    for taken, allowed in context.budgets:
        assert taken <= allowed + 1e-9


@when("dispatch: the first endpoint closes a plain and a streamed chat without answering")
def first_endpoint_closes(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        broken = ScriptedEndpoint(runtime, "bad", close_without_response)
        good = ScriptedEndpoint(runtime, "good", respond_ok)
        context.entry = start_entry(runtime, broken, good)
        context.replies = [await context.entry.post(CHAT_PATH, body) for body in (CHAT, STREAM)]

    run_on_loop(main)


@then("dispatch: both responses are complete and come from the second endpoint")
def answered_by_second(context: Any) -> None:
    plain, streamed = context.replies
    assert plain.json()["endpoint"] == "good"
    assert streamed.body.endswith(b"data: [DONE]\n\n") and streamed.body.count(b"data:") == 4


@then("dispatch: the failures are attributed to the first endpoint and every slot is released")
def failures_attributed(context: Any) -> None:
    results = context.entry.grants.results
    assert [result.endpoint_at_fault for result in results] == [True, False, True, False]
    assert not context.entry.grants.open


@when("dispatch: the stream of an endpoint without resume is interrupted")
def interrupt_without_resume(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        interrupted = ScriptedEndpoint(runtime, "cut", truncate_stream)
        entry = start_entry(runtime, interrupted, ScriptedEndpoint(runtime, "good", respond_ok))
        exchange = await runtime.http.open(
            entry.address,
            "POST",
            CHAT_PATH,
            headers={"authorization": f"Bearer {KEY}"},
            body=json.dumps(STREAM).encode(),
        )
        context.body, context.end = b"", b""
        while isinstance(context.end, bytes):
            context.body += context.end
            context.end = await exchange.read()

    run_on_loop(main)


@then("dispatch: the caller gets an error event with ran, no end marker and a closed connection")
def error_event(context: Any) -> None:
    events = context.body.split(b"\n\n")
    assert [b"one" in events[0], b"two" in events[1]] == [True, True]
    error = json.loads(events[2].removeprefix(b"data: "))["error"]
    assert error["ran"] == "ran" and b"[DONE]" not in context.body
    assert isinstance(context.end, TransportFailure)


def streamed_text(body: bytes) -> str:
    """Return the text of a streamed chat response."""
    pieces = [event.removeprefix(b"data: ") for event in body.split(b"\n\n") if event]
    assert pieces[-1] == b"[DONE]", pieces[-1]
    return "".join(json.loads(one)["choices"][0]["delta"].get("content", "") for one in pieces[:-1])


@when("dispatch: an engine breaks a stream after any number of tokens")
def engine_breaks_streams(context: Any) -> None:
    context.streams = []

    async def main(runtime: Runtime) -> None:
        engines = [Engine(runtime, spec=FAST).register(runtime) for _ in range(2)]
        entry = start_entry(runtime)
        entry.context.calls.budget.min_retries = 100  # type: ignore[attr-defined]
        addresses = [await one.address for one in engines]
        entry.grants.endpoints = [_Named(f"e{n}", one) for n, one in enumerate(addresses)]
        body = STREAM | {"max_tokens": 12}
        for position in range(1, 13):
            engines[0].faults.break_streams = 1
            engines[0].faults.break_after_tokens = position
            context.streams.append(await entry.post(CHAT_PATH, body))
        context.complete_text = answer_text("small", prompt_text(CHAT), 12)

    run_on_loop(main)


class _Unreachable:
    """Endpoint at an address where nothing listens."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = "127.0.0.1:1"


class _Named:
    """Name and address of a stand-in, as grants need them."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address


@then("dispatch: the caller receives the complete text exactly once")
def complete_text_once(context: Any) -> None:
    assert len(context.streams) == 12
    for reply in context.streams:
        assert isinstance(reply, HttpReply), reply
        assert streamed_text(reply.body) == context.complete_text


@when("dispatch: non-idempotent calls are sent to endpoints that fail in any way")
def call_failing_endpoints(context: Any) -> None:
    context.runs = []
    behaviours = [respond_ok, respond_503, close_without_response, None]
    drawn = st.lists(st.sampled_from(behaviours), min_size=2, max_size=4)

    @settings(max_examples=25)
    @sample(drawn)
    def check(scripts: list[Any]) -> None:
        async def main(runtime: Runtime) -> None:
            endpoints = [
                ScriptedEndpoint(runtime, f"e{n}", s or respond_ok) for n, s in enumerate(scripts)
            ]
            entry = start_entry(runtime, *endpoints)
            for position, script in enumerate(scripts):
                if script is None:
                    entry.grants.endpoints[position] = _Unreachable(f"e{position}")  # type: ignore
            reply = await entry.post("/v1/services/cards/send", {"card": 1})
            executed = sum(sum(one.executions.values()) for one in endpoints)
            seen = sum(len(one.seen) for one in endpoints)
            context.runs.append((executed, seen, reply))

        run_on_loop(main)

    check()


@then("dispatch: no call is executed twice and not_run is reported only for calls never executed")
def executed_at_most_once(context: Any) -> None:
    reported = set()
    for executed, seen, reply in context.runs:
        assert executed <= 1 and seen <= 1, (executed, seen)
        if reply.status != 200 and b"ran" in reply.body:
            ran = reply.json()["error"]["ran"]
            reported.add(ran)
            assert ran != "not_run" or seen == 0
    assert {"unknown", "not_run"} <= reported, reported


@when("dispatch: the first endpoint hangs before and after the start of a stream")
def first_endpoint_hangs(context: Any) -> None:
    async def start_and_hang(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply | None:
        exchange.open_stream(200, EVENTS)
        return await never_respond(endpoint, exchange)

    async def main(runtime: Runtime) -> None:
        hanging = ScriptedEndpoint(runtime, "frozen", never_respond, start_and_hang)
        entry = start_entry(runtime, hanging, ScriptedEndpoint(runtime, "good", respond_ok))
        context.after_hang = [
            await entry.post(CHAT_PATH, STREAM, x_parsley_deadline_s="1") for _ in range(2)
        ]

    run_on_loop(main)


@then("dispatch: the second endpoint answers before the deadline")
def answered_in_time(context: Any) -> None:
    for reply in context.after_hang:
        assert reply.status == 200 and reply.body.endswith(b"data: [DONE]\n\n"), reply


@when("dispatch: an endpoint closes a connection on its second request")
def close_pooled_connection(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        endpoint = ScriptedEndpoint(runtime, "e", respond_ok, close_without_response, respond_ok)
        entry = start_entry(runtime, endpoint)
        context.pooled = [await entry.post(CHAT_PATH, CHAT) for _ in range(2)]
        context.results = entry.grants.results

    run_on_loop(main)


@then("dispatch: the call is answered on a new connection and no failure is recorded")
def no_failure_recorded(context: Any) -> None:
    assert [reply.status for reply in context.pooled] == [200, 200], context.pooled
    assert [result.ok for result in context.results] == [True, True], context.results


@when("dispatch: an endpoint answers with another attempt's id")
def mismatched_response(context: Any) -> None:
    async def answer_with_other_id(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply:
        reply = json_reply({"endpoint": "crossed"})
        return HttpReply(200, {**reply.headers, "x-parsley-attempt": "other"}, reply.body)

    async def main(runtime: Runtime) -> None:
        mismatched = ScriptedEndpoint(runtime, "wrong", answer_with_other_id)
        entry = start_entry(runtime, mismatched, ScriptedEndpoint(runtime, "good", respond_ok))
        context.reply = await entry.post(CHAT_PATH, CHAT)
        context.mismatches = runtime.metrics.get_sample_value("parsley_answers_crossed_total")

    run_on_loop(main)


@then("dispatch: the response comes from the other endpoint and the mismatch is counted")
def mismatch_counted(context: Any) -> None:
    assert context.reply.json()["endpoint"] == "good" and context.mismatches == 1


@when("dispatch: many requests with short deadlines are sent to a slow endpoint")
def request_late_responses(context: Any) -> None:
    async def slow(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply | None:
        number = json.loads(exchange.request.body)["n"]
        await endpoint.runtime.loop.sleep(0.01 * (number * 7 % 13))
        return json_reply({"n": number})

    async def main(runtime: Runtime) -> None:
        entry = start_entry(runtime, ScriptedEndpoint(runtime, "slow", slow))

        async def send(number: int) -> tuple[int, Any]:
            body = CHAT | {"n": number}
            return number, await entry.post(CHAT_PATH, body, x_parsley_deadline_s="0.06")

        tasks = [runtime.loop.spawn(send(number)) for number in range(60)]
        context.late = await runtime.loop.gather(tasks)

    run_on_loop(main)


@then("dispatch: each caller gets its own response or a refusal")
def own_or_refused(context: Any) -> None:
    statuses = {reply.status for _, reply in context.late}
    assert statuses == {200, 504}, statuses
    for number, reply in context.late:
        if reply.status == 200:
            assert reply.json() == {"n": number}
        else:
            assert reply.json()["error"]["ran"] == "unknown"


@when("dispatch: callers disconnect before and during the response")
def disconnect_callers(context: Any) -> None:
    async def trickle(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply | None:
        stream = exchange.open_stream(200, EVENTS)
        while not stream.disconnected:
            stream.send(chunk("x"))
            await endpoint.runtime.loop.sleep(0.01)
        endpoint.gone += 1
        stream.abort()
        return None

    async def main(runtime: Runtime) -> None:
        endpoint = ScriptedEndpoint(runtime, "e", never_respond, trickle)
        entry = start_entry(runtime, endpoint)
        for body in (CHAT, STREAM):
            exchange = await runtime.http.begin(
                entry.address,
                "POST",
                CHAT_PATH,
                {"authorization": f"Bearer {KEY}"},
                json.dumps(body).encode(),
            )
            await runtime.loop.sleep(0.1)
            exchange.cancel()
        await runtime.loop.sleep(0.2)
        context.disconnected, context.entry = endpoint.gone, entry

    run_on_loop(main)


@then("dispatch: the endpoint sees the disconnections and every slot is released")
def disconnections_seen(context: Any) -> None:
    assert context.disconnected == 2, context.disconnected
    assert len(context.entry.grants.results) == 2 and not context.entry.grants.open


@when("dispatch: batch calls are revoked at any time")
def revoke_batch_calls(context: Any) -> None:
    context.revoked_runs = []

    async def main(runtime: Runtime) -> None:
        engine = Engine(runtime, spec=FAST).register(runtime)
        grants = FixedGrants(_Named("e", await engine.address))  # type: ignore[arg-type]
        runner = CallDispatcher(runtime, grants, StaticFleetView(start_entry(runtime).view.me))
        for delay_ms in (0, 1, 5, 10, 20, 30):
            call = _batch_call(CHAT | {"max_tokens": 20})
            task = runtime.loop.spawn(runner.run(call))
            await runtime.loop.sleep(delay_ms / 1000)
            for revoke in list(grants.open.values()):
                assert revoke is not None
                revoke()
            first = await runtime.loop.within(5, task)
            running = len(engine.batch.running)
            token = first.resume_token if isinstance(first, Preempted) else ""
            again = await runner.run(replace(call, resume_token=token))
            context.revoked_runs.append((delay_ms, first, running, again))
        context.open = grants.open
        context.complete_text = answer_text("small", prompt_text(CHAT), 20)

    run_on_loop(main)


def _batch_call(body: dict[str, Any]) -> Call:
    return Call(
        request=RequestId("r"),
        team=TeamName("t"),
        kind=KindName("batch"),
        settings=KindSettings(kind_class=KindClass.BATCH),
        method="POST",
        path=CHAT_PATH,
        body=json.dumps(body).encode(),
        model=ModelName("small"),
    )


@then("dispatch: each stops, frees the engine and resumes to the complete response")
def stopped_and_resumed(context: Any) -> None:
    assert not context.open
    assert any(isinstance(y[1], Preempted) and y[1].resume_token for y in context.revoked_runs)
    for delay_ms, first, running, again in context.revoked_runs:
        assert isinstance(first, Preempted), (delay_ms, first)
        assert running == 0 and isinstance(again, Reply), (delay_ms, running, again)
        content = json.loads(again.body)["choices"][0]["message"]["content"]
        assert content == context.complete_text
