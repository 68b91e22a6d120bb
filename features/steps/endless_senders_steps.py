"""Steps for callers and nodes that send without end."""

import json
import tracemalloc
from typing import Any

from behave import then, when

from features.steps.bad_input_steps import RawCaller
from features.support.endless_senders import CALLER_KINDS, CHUNKED, POST
from features.support.endless_serving import HUGE_ANSWER_BYTES, LARGE_ANSWER_BYTES, Serving
from features.support.loop import run_on_loop
from parsleyrouter.connection.http_limits import HttpLimits
from parsleyrouter.process.runtime import Runtime

CONNECTIONS = 8
SECONDS = 1.5
MAX_TURN_S = 0.1
"""The shares of the servers are a tenth of it; before there were bounds, turns took 0.4 to 3 s."""

SMALL_LIMITS = HttpLimits(body_bytes=20_000, discard_timeout_s=0.2)


def _max_growth_mb(limits: HttpLimits, connections: int) -> float:
    """Return the bound of what connections may hold, with as much again for copies."""
    held = connections * (limits.header_bytes + 2 * 64 * 1024 + 2 * limits.body_bytes)
    return 2 * held / 1e6


@when("callers send {what} without end")
def step_callers_send(context: Any, what: str) -> None:
    answers_mb = CONNECTIONS * 2 * LARGE_ANSWER_BYTES / 1e6 if "not read" in what else 0.0
    limits = HttpLimits(body_bytes=1_000_000)
    context.max_growth_mb = _max_growth_mb(limits, CONNECTIONS) + answers_mb

    async def main(runtime: Runtime) -> None:
        serving = Serving(runtime, limits)
        context.outcome = await serving.beside(what, CONNECTIONS, SECONDS)

    run_on_loop(main)


@then("the other requests are answered, and turns and memory stay within their bounds")
def step_within_bounds(context: Any) -> None:
    outcome = context.outcome
    assert outcome.sent_mb > 0 and len(outcome.answer_s) > 10, outcome
    assert outcome.unanswered == 0, outcome
    assert outcome.turn_s < MAX_TURN_S, outcome
    assert outcome.growth_mb < context.max_growth_mb, (outcome, context.max_growth_mb)


@when("many callers never read their large answers")
def step_never_read(context: Any) -> None:
    limits = HttpLimits(unsent_bytes=20_000_000)
    kind = "one request whose huge answer is not read"
    context.max_growth_mb = 1.5 * (limits.unsent_bytes + 2 * HUGE_ANSWER_BYTES) / 1e6

    async def main(runtime: Runtime) -> None:
        context.outcome = await Serving(runtime, limits).beside(kind, 12, SECONDS)

    run_on_loop(main)


@when("callers send many kinds without end at once, beside some that never read")
def step_callers_mixed(context: Any) -> None:
    limits = HttpLimits(body_bytes=1_000_000, unsent_bytes=20_000_000)
    kinds = [
        "tiny chunks",
        "chunk extensions",
        "pipelined requests",
        "heads of many headers",
        "requests whose answers are not read",
    ]
    context.max_growth_mb = _max_growth_mb(limits, 20) + 2 * limits.unsent_bytes / 1e6

    async def main(runtime: Runtime) -> None:
        context.outcome = await Serving(runtime, limits).beside(" + ".join(kinds), 4, SECONDS)

    run_on_loop(main)


@when("one caller sends {what} without end and reads the answer")
def step_one_caller(context: Any, what: str) -> None:
    async def main(runtime: Runtime) -> None:
        serving = Serving(runtime, SMALL_LIMITS)
        address = serving.callers.bound_address()
        caller = RawCaller(runtime, await runtime.connector.open(address))
        kind = CALLER_KINDS[what]
        caller.stream.send(kind.start)
        until_s = runtime.loop.now() + 10.0
        while not caller.closed.done and runtime.loop.now() < until_s:
            if caller.stream.buffered_bytes < len(kind.piece):
                caller.stream.send(kind.piece)
            await runtime.loop.sleep(0.005)
        context.received = caller.received

    run_on_loop(main)


@then(
    "the answer has the status {status}, names nothing that was run, and the connection is closed"
)
def step_refused(context: Any, status: str) -> None:
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 " + status.encode()), context.received[:300]
    assert b"connection: close" in head.lower(), head
    assert json.loads(body)["error"]["ran"] == "not_run", body


@when("a caller sends a body in the smallest chunks")
def step_smallest_chunks(context: Any) -> None:
    context.body_bytes = 80_000
    piece = b"2\r\nab\r\n" * 4_000

    async def main(runtime: Runtime) -> None:
        serving = Serving(runtime)
        caller = RawCaller(runtime, await runtime.connector.open(serving.callers.bound_address()))
        caller.stream.send(POST + CHUNKED)
        tracemalloc.start()
        for _ in range(context.body_bytes // 8_000):
            caller.stream.send(piece)
            while serving.callers.buffered + 8_000 < caller.stream.bytes_sent // 7 * 2:
                await runtime.loop.sleep(0.002)
        while serving.callers.buffered < context.body_bytes:
            await runtime.loop.sleep(0.01)
        context.held_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()

    run_on_loop(main)


@then("the process holds not much more than the bytes of the body")
def step_bytes_of_the_body(context: Any) -> None:
    assert context.held_bytes < 2 * context.body_bytes + 200_000, context.held_bytes


@when("a caller sends a sound body slowly beside callers that send tiny chunks without end")
def step_slow_upload(context: Any) -> None:
    piece = b"100\r\n" + b"s" * 256 + b"\r\n"

    async def main(runtime: Runtime) -> None:
        serving = Serving(runtime, HttpLimits(body_bytes=1_000_000, body_gap_timeout_s=1.0))
        beside = runtime.loop.spawn(serving.beside("tiny chunks", CONNECTIONS, 2 * SECONDS))
        address = serving.callers.bound_address()
        caller = RawCaller(runtime, await runtime.connector.open(address))
        caller.stream.send(b"POST /slow HTTP/1.1\r\nHost: callers.example\r\n" + CHUNKED)
        for _ in range(10):
            caller.stream.send(piece)
            await runtime.loop.sleep(0.25)
        caller.stream.send(b"0\r\n\r\n")
        await beside
        context.received = caller.received

    run_on_loop(main)


@then("its body arrives whole")
def step_arrives_whole(context: Any) -> None:
    assert context.received.endswith(b"2560 bytes"), context.received[-200:]


@when("a caller that has sent nothing for long waits to be read")
def step_waits_to_be_read(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        server = Serving(runtime).callers
        caller = RawCaller(runtime, await runtime.connector.open(server.bound_address()))
        caller.stream.send(b"GET /sound HTTP/1.1\r\n")
        await runtime.loop.sleep(0.1)
        ((sock, connection),) = server.connections.items()
        after_s = runtime.loop.now() + 2 * server.limits.header_timeout_s
        server.queue.add(sock)
        context.late = [connection.is_overdue(after_s, 0)]
        await runtime.loop.sleep(0.1)
        context.late.append(connection.is_overdue(after_s, 0))

    run_on_loop(main)


@then("it is late only after it has been read")
def step_late_after(context: Any) -> None:
    assert context.late == [False, True], context.late
