"""Steps for malformed messages to the listeners of a front process, and for its stop under load."""

import socket
from random import Random
from typing import Any

from behave import then, when
from circuits.net.events import read

from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import Caller, FrontFleet
from features.support.loop import run_on_loop
from parsleyrouter.connection.forward_server import CallerExchange, ForwardServer
from parsleyrouter.connection.stream import split_address
from parsleyrouter.ids import Address, EndpointId
from parsleyrouter.process.cell_reader import CHANGES_WAIT_S
from parsleyrouter.process.front import Front
from parsleyrouter.thrift_gen.nodes.ttypes import AskFollowed, Followed

LISTENERS = {
    "the callers' address": "callers",
    "the readiness check": "ready",
    "the locate address": "locate",
    "the peer calls": "nodes",
    "the load reports": "nodes",
}


def malformed_messages() -> list[bytes]:
    random = Random(7)
    return [
        b"",
        b"\x00",
        b"\xff" * 64,
        b"\xff\xff\xff\xff" + b"x" * 32,
        b"\x00\x00\x00\x05hello",
        b"\x7f\xff\xff\xff\x82!\x01",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET \xff\xfe HTTP/1.1\r\nHost: \x00\r\n\r\n",
        b"POST /bulk/x HTTP/1.1\r\nHost: callers.example\r\nContent-Length: nine\r\n\r\n",
        b"GET /resolve?%ZZ=&zone=%ff HTTP/1.1\r\nHost: h\r\n\r\n",
        *(random.randbytes(random.randint(1, 400)) for _ in range(40)),
    ]


async def send_each(fleet: FrontFleet, address: Address, *, datagrams: bool) -> None:
    for message in malformed_messages():
        kind = socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.connect(split_address(address))
            if message or datagrams:
                sock.send(message)
            await fleet.loop.sleep(0.005)


async def check_serving(context: Any, fleet: FrontFleet, front: Front, options: Any) -> None:
    """Ask the process on each listener."""
    context.card = await fleet.caller().ask("GET", "/card/1")
    ready = await Caller(fleet.runtime, options.ready).ask("GET", "/readiness")
    locate = await Caller(fleet.runtime, options.locate).ask("GET", "/resolve?zone=z1")
    context.statuses = (ready.status, locate.status)
    query = AskFollowed(prefix="op/", wait_ms=0)
    context.peer = await fleet.runtime.peers.call(
        options.nodes, "cell.followed", query, Followed, CHANGES_WAIT_S
    )
    other = fleet.fronts[1]
    other.loads.request_started(EndpointId("seen"), batch=False, now=fleet.loop.now())
    await fleet.until(
        lambda: front.loads.fleet_use(EndpointId("seen"), fleet.loop.now()).online == 1
    )


@when("malformed messages of many kinds are sent to {listener}")
def step_malformed(context: Any, listener: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        front = await fleet.start(2)
        address = getattr(fleet.options[0], LISTENERS[listener])
        await send_each(fleet, address, datagrams=listener == "the load reports")
        await check_serving(context, fleet, front, fleet.options[0])

    run_with_fleet(context, scenario)


@then("the process answers callers, locate calls, peers and load reports as before")
def step_serves(context: Any) -> None:
    assert context.card.status == 200 and context.card.body == b"the body"
    assert context.statuses == (200, 200)
    assert isinstance(context.peer, Followed)


@when("the store holds entries that cannot be read under every prefix that is watched")
def step_malformed_entries(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        keys = [
            "servers/odd",
            "op/odd",
            "op/retire/",
            "parsley/live/odd",
            "parsley/live/node/odd",
            "parsley/live/job/odd/record",
            "parsley/live/job/odd/left",
            "parsley/live/job/odd/owner",
            "parsley/live/job/odd/other",
            "parsley/live/quota/odd/x",
            "parsley/live/quota/odd/99",
            "parsley/live/quota/odd/1",
        ]
        for key in keys:
            fleet.store.put(key, b"\xff{")
        front = await fleet.start(2)
        for key in keys:
            fleet.store.put(key, b"[1, 2]")
        await fleet.loop.sleep(0.5)
        await check_serving(context, fleet, front, fleet.options[0])
        assert len(front.directory.endpoints) == 1
        assert len(front.registry.nodes) == 2

    run_with_fleet(context, scenario)


@when("callers keep sending requests on open connections while their process stops")
def step_stop_under_load(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2", "e3"):
            fleet.register(name).gap_s = 0.02
        front = await fleet.start(2)
        context.outcomes, context.failures = [], []
        stopped = False

        async def keep_asking(number: int) -> None:
            count = 0
            while not stopped:
                caller = fleet.caller()
                while not caller.closed and not stopped:
                    count += 1
                    answer = await caller.ask("POST", "/chat/1", attempt=f"a{number}-{count}")
                    complete = answer.complete and answer.status == 200
                    read = any(
                        one.header("X-Attempt-Id") == f"a{number}-{count}"
                        for endpoint in fleet.endpoints.values()
                        for one in endpoint.arrivals
                    )
                    context.outcomes.append(complete or not read)
                    if read and not complete:
                        context.failures.append((answer.status, answer.complete, caller.closed))
                    if answer.headers.get("Connection") == "close":
                        break

        tasks = [fleet.loop.spawn(keep_asking(number)) for number in range(8)]
        await fleet.loop.sleep(0.5)
        before = len(context.outcomes)
        await front.runtime.stop_hooks[0]()
        context.during = len(context.outcomes) - before
        stopped = True
        await fleet.loop.gather(tasks)

    run_with_fleet(context, scenario)


@then("every request that the process read is answered")
def step_answered(context: Any) -> None:
    assert context.during > 20, context.during
    assert all(context.outcomes), context.failures


@when("the bytes of a request are queued as its connection is chosen for closing {why}")
def step_closing(context: Any, why: str) -> None:
    context.begun = []

    async def main(runtime: Any) -> None:
        async def answer(exchange: CallerExchange) -> None:
            context.begun.append(exchange.head.path)
            exchange.reply(200, [], b"")

        server = ForwardServer(runtime.loop, Address("127.0.0.1:0"), answer).register(runtime)
        await runtime.loop.sleep(0)
        caller = Caller(runtime, server.bound_address())
        await caller.ask("GET", "/first")
        sock = next(iter(server.connections))
        server.fire(read(sock, b"GET /second HTTP/1.1\r\nHost: h\r\n\r\n"))
        if why == "in a stop":
            server.close_idle(0.0)
        else:
            server.drop_overdue(sock, server.connections[sock])
        await runtime.loop.sleep(0.05)

    run_on_loop(main)


@then("the request does not begin")
def step_not_begun(context: Any) -> None:
    assert context.begun == ["/first"], context.begun
