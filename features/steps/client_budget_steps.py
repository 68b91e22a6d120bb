"""Steps for the division of memory and connections among clients."""

import json
import socket
from base64 import b64encode
from collections import Counter
from dataclasses import replace
from typing import Any

from behave import then, when

from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import HOST, Caller, FrontFleet, routes
from features.support.loop import run_on_loop
from features.support.platform_endpoint import Arrival, EndpointStandIn
from parsleyrouter.connection.crowding import Holder, first_to_yield
from parsleyrouter.connection.forward_server import CallerExchange, ForwardServer
from parsleyrouter.connection.http_limits import HttpLimits
from parsleyrouter.ids import Address, ItemId, JobId, NodeId
from parsleyrouter.platform.adapter import PLATFORM
from parsleyrouter.process.client_budget import RESERVED_DESCRIPTORS, ClientPort, divide_budget
from parsleyrouter.process.front_assembly import assemble_front
from parsleyrouter.process.job_memory import JobMemory, items_bytes
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.request.shared_job import JobItem
from parsleyrouter.standins.ports import free_address

MAX_MEMORY_SHARE = 0.6
"""The rest is for the program, its copies of what it holds and its own state."""

BODY_BYTES = 60_000
CROWD = 40
SMALLEST_MEMORY_MB = 32


@when("the budget of machines of 32 to 4000 MB and 64 to 100000 descriptors is divided")
def step_divide(context: Any) -> None:
    context.budgets = [
        (memory_mb, descriptors, divide_budget(memory_mb, descriptors))
        for memory_mb in (32, 150, 300, 4000)
        for descriptors in (64, 500, 1638, 100_000)
    ]


@then("the parts hold less than the machine, and every port has some of each")
def step_divided(context: Any) -> None:
    for memory_mb, descriptors, budget in context.budgets:
        ports = budget.ports.values()
        held = sum(one.received_bytes + one.unsent_bytes for one in ports) + budget.job_bytes
        assert held <= memory_mb * 1_000_000 * MAX_MEMORY_SHARE, (memory_mb, held)
        sockets = descriptors - min(RESERVED_DESCRIPTORS, descriptors // 2)
        forwarded = budget.ports[ClientPort.CALLERS].connections
        assert sum(one.connections for one in ports) + forwarded <= sockets, (descriptors, budget)
        assert all(
            one.received_bytes and one.unsent_bytes and one.connections >= 2 for one in ports
        )


@when("an address holds ten connections and another one holds two")
def step_two_addresses(context: Any) -> None:
    context.holders = [Holder(f"a{n}", "a", (float(n),)) for n in range(10)]
    context.holders += [Holder(f"b{n}", "b", (float(n),)) for n in range(2)]
    context.totals = Counter(one.remote for one in context.holders)


@then("the oldest connection of the first address yields, whoever comes")
def step_oldest(context: Any) -> None:
    for remote in ("a", "b", "c"):
        found = first_to_yield(context.holders, context.totals, remote)
        assert found is not None and found.key == "a0", (remote, found)


@when("an address that holds the most asks for room beside smaller ones")
def step_largest_asks(context: Any) -> None:
    step_two_addresses(context)
    context.others = [one for one in context.holders if one.remote == "b"]


@then("only its own connections yield")
def step_own(context: Any) -> None:
    assert first_to_yield(context.others, context.totals, "a") is None
    found = first_to_yield(context.holders, context.totals, "a")
    assert found is not None and found.remote == "a"


async def _crowded(runtime: Runtime, context: Any, *, complete: bool) -> None:
    """Fill a server with requests that are answered or unfinished, and send one more."""
    answer_now = runtime.loop.promise()

    async def answer(exchange: CallerExchange) -> None:
        if exchange.head.path == "/held":
            await answer_now
        exchange.reply(200, [], b"%d" % len(exchange.body))

    limits = HttpLimits(body_bytes=BODY_BYTES, buffered_bytes=2 * BODY_BYTES + 4000)
    server = ForwardServer(runtime.loop, Address("127.0.0.1:0"), answer, limits).register(runtime)
    await runtime.loop.sleep(0)
    held = []
    for number in range(2):
        caller = Caller(runtime, server.bound_address())
        body = b"h" * (BODY_BYTES - 500)
        if complete:
            await caller.send("POST", "/held", body, attempt=f"h{number}")
        else:
            await caller.send("POST", "/held", attempt=f"h{number}")
            caller.close()
            caller = Caller(runtime, server.bound_address())
            caller.stream = await runtime.connector.open(server.bound_address())
            caller.stream.on_data = caller._take
            caller.stream.on_close = lambda caller=caller: caller._take(b"")
            head = f"POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            caller.stream.send(head.encode() + body)
        held.append(caller)
    await runtime.loop.sleep(1.2)
    ordinary = Caller(runtime, server.bound_address())
    context.ordinary = await ordinary.ask("POST", "/now", b"o" * 5000, attempt="o")
    context.refused = [one.answer for one in held]
    await runtime.loop.sleep(0.1)
    answer_now.resolve(None)
    if complete:
        context.held = [await one.wait() for one in held]
    context.causes = {cause.value: count for cause, count in server.refused.items()}


async def _crowded_at_once(runtime: Runtime, context: Any) -> None:
    """Connect while the server stands still, so that it accepts all in one turn."""

    async def answer(exchange: CallerExchange) -> None:
        exchange.reply(200, [], b"")

    limits = HttpLimits(connections=CROWD // 4)
    server = ForwardServer(runtime.loop, Address("127.0.0.1:0"), answer, limits).register(runtime)
    await runtime.loop.sleep(0)
    host, _, port = server.bound_address().rpartition(":")
    sockets = [socket.create_connection((host, int(port))) for _ in range(CROWD)]
    try:
        sockets.append(socket.create_connection((host, int(port))))
        sockets[-1].sendall(b"GET /card/1 HTTP/1.1\r\nHost: h\r\n\r\n")
        await runtime.loop.sleep(0.1)
        sockets[-1].setblocking(False)
        context.answer = sockets[-1].recv(1000)
    finally:
        for one in sockets:
            one.close()


@when("more silent connections than a server may hold and then a request come in one turn")
def step_silent_crowd(context: Any) -> None:
    run_on_loop(lambda runtime: _crowded_at_once(runtime, context))


@then("the request is answered")
def step_request_answered(context: Any) -> None:
    assert context.answer.startswith(b"HTTP/1.1 200 "), context.answer


@when("the requests that fill the memory are being answered")
def step_complete_fill(context: Any) -> None:
    run_on_loop(lambda runtime: _crowded(runtime, context, complete=True))


@then("the request that arrives is refused, and they are answered")
def step_refused_answered(context: Any) -> None:
    assert context.ordinary.status == 503, context.ordinary.status
    assert b"not_run" in context.ordinary.body, context.ordinary.body
    assert [one.status for one in context.held] == [200, 200], context.held
    assert context.causes == {"memory": 1}, context.causes


@when("slow unfinished requests fill the memory and an ordinary one arrives")
def step_slow_fill(context: Any) -> None:
    run_on_loop(lambda runtime: _crowded(runtime, context, complete=False))


@then("the ordinary one is answered, and a slow one is refused as not run")
def step_slow_refused(context: Any) -> None:
    assert context.ordinary.status == 200, (context.ordinary.status, context.ordinary.body)
    assert context.causes.get("memory") == 1, context.causes


def _items(count: int) -> list[JobItem]:
    return [JobItem(ItemId(f"i{n}"), "/bulk/0", {"X-Model": "m"}, b"b" * 100) for n in range(count)]


@when("jobs are submitted beyond the memory for their items")
def step_jobs_beyond(context: Any) -> None:
    items = _items(10)
    memory = JobMemory(items_bytes(items))
    job = JobId("j1")
    with memory.submission(items) as first:
        memory.hold(job, items)
    with memory.submission(items) as second:
        pass
    memory.release(job)
    with memory.submission(items) as third:
        pass
    context.fits = (first, second, third)
    context.memory = memory


@then("the first is stored, the next is refused, and fits once the first has ended")
def step_jobs_fit(context: Any) -> None:
    assert context.fits == (True, False, True), context.fits
    assert context.memory.refused == 1 and context.memory.held_bytes == 0


def _job(items: int, headers: int, body: bytes = b"") -> bytes:
    text = b64encode(body).decode()
    fields = {f"x-{number}": "v" for number in range(headers)}
    entries = [
        {"id": f"i{n}", "path": "/bulk/0", "headers": fields, "body": text, "tokens": 1}
        for n in range(items)
    ]
    return json.dumps({"items": entries}).encode()


@when("the memory for jobs is full and an accepted job and a new one come")
def step_full_memory(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        front = await fleet.start()
        caller = fleet.caller()
        first = await caller.ask("POST", "/bulk/x", _job(3, 1), attempt="known")
        assert first.status == 202, first.status
        memory = front.worker.owner.memory
        assert memory.held_bytes > 0
        memory.limit_bytes = 1
        context.known = await fleet.caller().ask("POST", "/bulk/x", _job(3, 1), attempt="known")
        context.new = await fleet.caller().ask("POST", "/bulk/x", _job(3, 1), attempt="new")
        context.kept = [key for key in fleet.store.rows if "/job/" in key and "new" in key]

    run_with_fleet(context, scenario)


@then("the accepted one is confirmed and the new one is refused as not run")
def step_confirmed(context: Any) -> None:
    assert context.known.status == 202, (context.known.status, context.known.body)
    assert context.new.status == 503 and b"not_run" in context.new.body, context.new.body
    assert not context.kept, context.kept


@when("a job has an item with too many headers, or too many items")
def step_too_many(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start()
        context.answers = [
            await fleet.caller().ask("POST", "/bulk/x", body, attempt=f"j{len(body)}")
            for body in (_job(1, 101), _job(1, 30_000), _job(201, 1), _job(11_000, 0))
        ]

    run_with_fleet(context, scenario)


@then("it is refused as a bad request that was not run")
def step_bad_job(context: Any) -> None:
    for answer in context.answers:
        assert answer.status == 400 and b"not_run" in answer.body, (answer.status, answer.body)


@when("one client sends {what} to a front of 32 MB")
def step_calm(context: Any, what: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        front = await fleet.start()
        small = _small_front(fleet)
        await fleet.until(
            lambda: small.routes.table is not None and len(small.directory.endpoints) == 1
        )
        await fleet.until(lambda: small.registry.lease != 0)
        caller = fleet.caller(small)
        assert front is not small
        if what == "a body of the largest size":
            body, path = b"x" * (4 * 1024 * 1024), "/card/1"
        elif what == "a job of the largest size":
            body, path = _job(200, 3, b"b" * 15_000), "/bulk/x"
        else:
            body, path = _job(200, 100), "/bulk/x"
        context.answer = await caller.ask("POST", path, body, attempt="calm")

    run_with_fleet(context, scenario)


def _small_front(fleet: FrontFleet) -> Any:
    options = replace(
        fleet.options[0],
        node=NodeId("front-small"),
        callers=free_address(),
        ready=free_address(),
        locate=free_address(),
        nodes=free_address(),
        limits=free_address(),
        memory_mb=SMALLEST_MEMORY_MB,
    )
    small = assemble_front(fleet.runtime, options, PLATFORM)
    fleet.fronts.append(small)
    return small


@then("it is served")
def step_calm_served(context: Any) -> None:
    assert context.answer.status in (200, 202), (context.answer.status, context.answer.body)


@when("a request with a body is sent to /v1/batches on a route")
def step_batches(context: Any) -> None:
    async def keep(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        context.body = arrival.body
        exchange.reply(200, endpoint.proof(arrival), b"done")

    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards").default_behaviour = keep
        config = routes()
        v1 = {"name": "v1", "host": HOST, "prefix": "/v1/", "kind": "unsafe", "service": "cards"}
        config["routes"].append(v1 | {"maxAttempts": 1, "timeoutMs": 5000})
        fleet.store.put_json("op/config", config)
        await fleet.start(configured=False)
        front = fleet.fronts[0]
        await fleet.until(lambda: front.routes.table is not None and front.directory.endpoints)
        context.answer = await fleet.caller().ask("POST", "/v1/batches", b"a batch")

    run_with_fleet(context, scenario)


@then("the endpoint gets the body")
def step_batch_body(context: Any) -> None:
    assert context.answer.status == 200, (context.answer.status, context.answer.body)
    assert context.body == b"a batch", context.body
