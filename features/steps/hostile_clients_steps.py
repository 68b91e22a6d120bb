"""Steps for clients that don't keep to the limits, against a front process of its own."""

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import then, when

from features.support.front_fleet import HOST, Caller, FrontFleet, routes
from features.support.front_process import FrontProcess
from features.support.hostile_clients import BODY_BYTES, HTTP_KINDS, NODE_KINDS, Crowd
from features.support.loop import run_on_loop
from features.support.platform_endpoint import STREAM, Arrival, EndpointStandIn
from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.connection.stream import ConnectFailed
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.nodes.ttypes import AskFollowed, Followed

MEMORY_MB = 150
DESCRIPTORS = 500
RESERVED_DESCRIPTORS = 200
"""Descriptors that the platform keeps for files; sockets share the others."""

LARGE_ANSWER_BYTES = 1_000_000
LARGE_RESULT_BYTES = 300_000
SLOW_ANSWER_S = 3.0
ANSWER_LIMIT_S = 10.0
POLL_S = 0.02

LARGE_RESULTS = "large results of a job"

PLACES: dict[str, tuple[str, str]] = {
    "a route": ("callers", "/paper/1"),
    "a path without a route": ("callers", "/nowhere/1"),
    "the jobs": ("callers", "/bulk/1"),
    "the reads of jobs": ("callers", "/lots/j1"),
    "large answers": ("callers", "/paper/large"),
    "slow answers": ("callers", "/paper/slow"),
    LARGE_RESULTS: ("callers", "/lots/j1?after=0"),
    "locate": ("locate", "/resolve?zone=z1"),
    "the readiness check": ("ready", "/readiness"),
    "metrics": ("metrics", "/metrics"),
    "the nodes' own port": ("nodes", ""),
}


PAPER_ROUTE = {
    "name": "paper",
    "host": HOST,
    "prefix": "/paper/",
    "kind": "safe",
    "maxAttempts": 3,
    "service": "papers",
    "timeoutMs": 5000,
}
"""The crowd's route; its endpoint has slots of its own, so only the process is shared."""


def _routes() -> dict[str, Any]:
    config = routes(limits={"maxBodyBytes": BODY_BYTES})
    config["routes"].append(PAPER_ROUTE)
    config["services"].append({"name": "papers"})
    return config


async def _paper(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
    if arrival.target.endswith("slow"):
        await endpoint.runtime.loop.sleep(SLOW_ANSWER_S)
    body = b"x" * LARGE_ANSWER_BYTES if arrival.target.endswith("large") else b"the body"
    exchange.reply(200, endpoint.proof(arrival), body)


async def _long_answer(
    endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
) -> None:
    exchange.begin(200, b"", [*endpoint.proof(arrival), STREAM], None)
    exchange.send(b"id: 1\ndata: " + b"x" * LARGE_RESULT_BYTES + b"\n\n")
    exchange.finish()


async def _finish_job(process: FrontProcess) -> None:
    """Have one job run whose result is large."""
    runtime = process.fleet.runtime
    process.fleet.register("e1").default_behaviour = _long_answer
    job = {"items": [{"id": "i", "path": "/bulk/1", "headers": {}, "body": "", "tokens": 1}]}
    caller = Caller(runtime, process.callers)
    answer = await caller.ask("POST", "/bulk/1", json.dumps(job).encode(), attempt="j1")
    assert answer.status == 202, answer.status
    until_s = runtime.loop.now() + ANSWER_LIMIT_S
    while len(answer.body) < LARGE_RESULT_BYTES:
        assert runtime.loop.now() < until_s, answer.body[:200]
        answer = await caller.ask("GET", "/lots/j1?after=0")
        await runtime.loop.sleep(POLL_S)
    caller.close()


async def _serves(process: FrontProcess) -> bool:
    """Return whether the process answers an ordinary request of a caller."""
    caller = Caller(process.fleet.runtime, process.callers)
    try:
        answer = await caller.ask("GET", "/card/1")
    except ConnectFailed:
        return False
    finally:
        caller.close()
    return answer.status == 200


async def _ask_all(process: FrontProcess) -> dict[str, str]:
    """Return what went wrong with one ordinary request to each port."""
    runtime = process.fleet.runtime
    wrong: dict[str, str] = {}
    asked = [
        ("callers", process.callers, "POST", "/card/1", b"q" * 2000),
        ("ready", process.ready, "GET", "/readiness", b""),
        ("locate", process.locate, "GET", "/resolve?zone=z1", b""),
        ("metrics", process.metrics, "GET", "/metrics", b""),
    ]
    for port, address, method, path, body in asked:
        caller = Caller(runtime, address)
        try:
            answer = await caller.ask(method, path, body, attempt=f"ordinary-{port}")
            if answer.status != 200 or not answer.complete:
                wrong[port] = f"{answer.status} {answer.body[:200]!r} complete={answer.complete}"
        except (ConnectFailed, AssertionError) as error:
            wrong[port] = str(error)
        finally:
            caller.close()
    query = AskFollowed(prefix="op/", wait_ms=0)
    try:
        await runtime.peers.call(process.nodes, "cell.followed", query, Followed, ANSWER_LIMIT_S)
    except Exception as error:
        wrong["nodes"] = repr(error)
    return wrong


def _play(context: Any, plan: list[tuple[str, str]]) -> None:
    """Let crowds of a kind each send to a place, and ask ordinary requests beside them."""

    async def main(runtime: Runtime) -> None:
        fleet = FrontFleet(runtime)
        fleet.store.put_json("op/config", _routes())
        fleet.register("c1", "cards")
        fleet.register("p1", "papers").default_behaviour = _paper
        process = context.process = FrontProcess(
            fleet, context.folder, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS
        ).start()
        until_s = runtime.loop.now() + 20.0
        while not await _serves(process):
            assert process.alive and runtime.loop.now() < until_s, process.log_tail()
            await runtime.loop.sleep(POLL_S)
        if any(where == LARGE_RESULTS for _, where in plan):
            await _finish_job(process)
        context.memory_before = process.usage.peak_memory_bytes()
        crowds = []
        for what, where in plan:
            port, path = PLACES[where]
            kind = (NODE_KINDS if port == "nodes" else HTTP_KINDS)[what]
            crowds.append(Crowd(getattr(process, port), path, kind).start())
        try:
            while not all(one.settled.is_set() for one in crowds) and process.alive:
                process.usage.count_sockets()
                await runtime.loop.sleep(POLL_S)
            context.alive = process.alive
            context.wrong = await _ask_all(process) if process.alive else {}
            context.counts = [one.counts() for one in crowds]
            context.alive = process.alive
            if process.alive:
                process.usage.count_sockets()
                context.peak_memory = process.usage.peak_memory_bytes()
        finally:
            for one in crowds:
                one.close()

    with tempfile.TemporaryDirectory() as folder:
        context.folder = Path(folder)
        try:
            run_on_loop(main)
            context.log_tail = context.process.log_tail()
        finally:
            if hasattr(context, "process"):
                context.process.kill()


MANY_KINDS = [
    ("bodies in one piece that stop short", "a route"),
    ("whole bodies of legal size", "slow answers"),
    ("requests whose answers are read slowly", "large answers"),
    ("jobs of the largest legal size", "the jobs"),
    ("heads of many fields that stop short", "locate"),
    ("requests ahead without reading", "locate"),
    ("bodies in one piece that stop short", "the readiness check"),
    ("requests ahead without reading", "metrics"),
    ("frames that stop short", "the nodes' own port"),
    ("calls ahead without reading", "the nodes' own port"),
]


@when("a crowd sends {what} to {where}")
def step_crowd(context: Any, what: str, where: str) -> None:
    _play(context, [(what, where)])


@when("crowds at every port send {what}")
def step_crowds(context: Any, what: str) -> None:
    places = ["a route", "locate", "the readiness check", "metrics"]
    plan = [(what, where) for where in places]
    if what in NODE_KINDS:
        plan.append((what, "the nodes' own port"))
    _play(context, plan)


@when("crowds of many kinds send to all ports at once")
def step_many_kinds(context: Any) -> None:
    _play(context, MANY_KINDS)


@then("the process lives and holds no more memory and sockets than its machine allows")
def step_bounded(context: Any) -> None:
    assert context.alive, context.log_tail
    found = {
        "peak_memory_mb": round(context.peak_memory / 1e6, 1),
        "memory_before_mb": round(context.memory_before / 1e6, 1),
        "sockets": context.process.usage.max_sockets,
        "crowds": context.counts,
    }
    print("measured", json.dumps(found))
    assert context.peak_memory <= MEMORY_MB * 1_000_000, found
    assert found["sockets"] <= DESCRIPTORS - RESERVED_DESCRIPTORS, found


@then("an ordinary request to each port is answered beside the crowd")
def step_answered(context: Any) -> None:
    assert not context.wrong, (context.wrong, context.counts, context.log_tail)
