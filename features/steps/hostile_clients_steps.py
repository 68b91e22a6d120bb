"""Steps for clients that don't keep to the limits, against a front process of its own."""

import json
from typing import Any

from behave import then, when

from features.support.front_fleet import HOST, Caller, routes
from features.support.front_process import FrontProcess
from features.support.hostile_clients import Crowd
from features.support.hostile_kinds import BODY_BYTES, HTTP_KINDS, NODE_KINDS
from features.support.hostile_play import (
    ANSWER_LIMIT_S,
    DESCRIPTORS,
    MEMORY_MB,
    POLL_S,
    play_crowds,
)
from features.support.platform_endpoint import STREAM, Arrival, EndpointStandIn
from parsleyrouter.connection.forward_server import CallerExchange

ADDRESSES = 50
RESERVED_DESCRIPTORS = 200
"""Descriptors that the platform keeps for files; sockets share the others."""

LARGE_ANSWER_BYTES = 1_000_000
LARGE_RESULT_BYTES = 300_000
SLOW_ANSWER_S = 3.0

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


def _play(context: Any, plan: list[tuple[str, str]], sources: int = 1) -> None:
    """Let crowds of a kind each send to a place, and ask ordinary requests beside them."""

    def crowds(process: FrontProcess) -> list[Crowd]:
        found = []
        for what, where in plan:
            port, path = PLACES[where]
            kind = (NODE_KINDS if port == "nodes" else HTTP_KINDS)[what]
            found.append(Crowd(getattr(process, port), path, kind, sources))
        return found

    async def prepare(process: FrontProcess) -> None:
        process.fleet.register("p1", "papers").default_behaviour = _paper
        if any(where == LARGE_RESULTS for _, where in plan):
            await _finish_job(process)

    play_crowds(context, _routes(), crowds, prepare)


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


@when("a crowd from many addresses sends {what} to {where}")
def step_many_addresses(context: Any, what: str, where: str) -> None:
    _play(context, [(what, where)], ADDRESSES)


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
