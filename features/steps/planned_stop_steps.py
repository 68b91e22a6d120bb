"""Steps for graceful shutdowns."""

import logging
import os
import signal
import socket
from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.agents import start_agent, until
from features.support.log_records import RecordHandler
from features.support.loop import run_on_loop
from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange, HttpServer, Routes
from parsleyrouter.connection.stream import split_address
from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.entry_locator import EntryLocator
from parsleyrouter.process.fleet_view import NodeState, Service
from parsleyrouter.process.follower import Follower
from parsleyrouter.process.graceful_shutdown import (
    GracefulShutdown,
    ShutdownPlan,
    ShutdownState,
    leave_before_stop,
)
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.memory_key_value import MemoryKeyValue

TTL_S = 0.6
STREAM_PIECES = 40
BIG_BYTES = 12_000_000
SLOW_READ_S = 0.05


@when("a shutdown plan is run with any sequence of locate results and requests")
def run_shutdown_plans(context: Any) -> None:
    context.ends = 0
    times = st.floats(0, 20)

    @settings(max_examples=400)
    @given(times, st.floats(0.1, 10), st.lists(st.tuples(times, st.floats(0, 9)), max_size=4))
    def check(started_s: float, ttl_s: float, requests: list[tuple[float, float]]) -> None:
        plan = ShutdownPlan(started_s, ttl_s, stop_timeout_s=1000)
        other_results_until_s = started_s + plan.propagation_s + ttl_s
        own_until_s = started_s + ttl_s
        now = started_s
        while True:
            running = sum(start <= now < start + length for start, length in requests)
            if plan.may_exit(ShutdownState(now, own_until_s, running)):
                break
            now += 0.1
        assert now >= max(other_results_until_s, own_until_s)
        assert not any(start <= now < start + length for start, length in requests)
        context.ends += 1

    check()


@then("the shutdown plan never ends while a caller may connect or is served")
def plan_never_ended_early(context: Any) -> None:
    assert context.ends


def _routes() -> Routes:
    routes = Routes()

    @routes.add("GET", "/slow")
    async def slow(runtime: Runtime, exchange: Exchange) -> HttpReply:
        await runtime.loop.sleep(0.5)
        return json_reply({"done": True})

    @routes.add("GET", "/stream")
    async def stream(runtime: Runtime, exchange: Exchange) -> None:
        response = exchange.open_stream(200, {"content-type": "text/plain"})
        for _ in range(STREAM_PIECES):
            response.send(b"piece\n")
            await runtime.loop.sleep(0.1)
        response.finish()

    @routes.add("GET", "/big")
    async def big(runtime: Runtime, exchange: Exchange) -> HttpReply:
        return HttpReply(200, {"content-type": "text/plain"}, b"x" * BIG_BYTES)

    @routes.add("GET", "/forever")
    async def forever(runtime: Runtime, exchange: Exchange) -> HttpReply:
        await runtime.loop.sleep(1000)
        return json_reply({})

    return routes


class StoppableEntry:
    """A minimal entry with short shutdown times."""

    def __init__(self, runtime: Runtime, seeds: str = "") -> None:
        self.agent = start_agent(runtime, MemoryKeyValue(runtime.loop), "n0", seeds)
        self.server = HttpServer(
            runtime.loop, Address("127.0.0.1:0"), _routes(), runtime, channel="stoppable"
        ).register(runtime)
        self.agent.set_service(Service.ENTRY, self.server.bound_address())
        self.locator = EntryLocator(runtime.loop, self.agent, TTL_S)
        self.stop = GracefulShutdown(
            runtime,
            self.agent,
            self.locator,
            self.server,
            stop_timeout_s=60,
            propagation_s=0.5,
            arrival_s=0.3,
        )


async def _read_slowly(runtime: Runtime, address: Address) -> int:
    """Request a big response and read it slowly; return the length of its body."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.connect(split_address(address))
        sock.sendall(b"GET /big HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        sock.setblocking(False)
        data = bytearray()
        while True:
            await runtime.loop.sleep(SLOW_READ_S)
            try:
                piece = sock.recv(100_000)
            except BlockingIOError:
                continue
            if not piece:
                break
            data += piece
    return len(bytes(data).partition(b"\r\n\r\n")[2])


@when("an entry is stopped while callers stream, read slowly and use old locate results")
def stop_entry(context: Any) -> None:
    run_on_loop(lambda runtime: _run_stop(runtime, context))


async def _run_stop(runtime: Runtime, context: Any) -> None:
    loop = runtime.loop
    observer = start_agent(runtime, MemoryKeyValue(loop), "n1")
    entry = StoppableEntry(runtime, observer.address)
    address = entry.server.bound_address()
    await until(runtime, lambda: len(observer.nodes()) == 2)
    states: list[NodeState] = []
    observer.on_change(lambda: states.extend(_states(observer)))
    located = entry.locator.find_entries()
    assert located.entries[0].address == address

    async def use_old_result() -> Any:
        await loop.sleep(TTL_S - 0.05)
        return await runtime.http.request(address, "GET", "/slow", new_connection=True)

    callers = [
        loop.spawn(runtime.http.request(address, "GET", "/stream")),
        loop.spawn(runtime.http.request(address, "GET", "/slow")),
        loop.spawn(use_old_result()),
    ]
    slow_reader = loop.spawn(_read_slowly(runtime, address))
    await loop.sleep(0.1)
    stopping = loop.spawn(entry.stop.run())
    await loop.sleep(0.05)
    context.after = entry.locator.find_entries()
    await stopping
    context.open_at_exit = entry.server.open_requests()
    context.unsent = any(entry.server.server._buffers.values())
    context.replies = await loop.gather(callers)
    context.read_bytes = await slow_reader
    context.states = states


def _states(observer: Any) -> list[NodeState]:
    return [info.state for info in observer.nodes() if info.node == "n0"]


@then("every caller of the stopping entry got its complete response")
def all_responses_complete(context: Any) -> None:
    stream, slow, use_old_result = context.replies
    assert stream.body == b"piece\n" * STREAM_PIECES
    assert slow.status == use_old_result.status == 200
    assert context.read_bytes == BIG_BYTES
    assert context.open_at_exit == []
    assert not context.unsent


@then("the stopping entry was known as leaving before it exited")
def known_leaving(context: Any) -> None:
    assert context.after.entries == ()
    assert NodeState.LEAVING in context.states


@when("a stopping entry with an open request gets a second signal")
def stop_twice(context: Any) -> None:
    records = RecordHandler()
    logger = logging.getLogger("parsleyrouter.process.graceful_shutdown")
    logger.addHandler(records)
    runtime = Runtime()
    entry = StoppableEntry(runtime)

    async def main() -> None:
        await runtime.loop.sleep(0)
        address = entry.server.bound_address()
        runtime.loop.spawn(runtime.http.request(address, "GET", "/forever"))
        await runtime.loop.sleep(0.3)
        runtime.begin_stop()
        await runtime.loop.sleep(2.5)
        context.still_running = not records.records
        runtime.begin_stop()

    runtime.loop.spawn(main())
    runtime.run()
    logger.removeHandler(records)
    context.cut = [record.requests for record in records.records]


@then("the immediate exit logged the interrupted request")
def cut_request_logged(context: Any) -> None:
    assert context.still_running
    assert context.cut == [["GET /forever"]]


@when("a process whose supervisor ends it gets SIGTERM twice and then SIGINT")
def stop_repeatedly(context: Any) -> None:
    runtime = Runtime(forcing_signals=(signal.SIGINT,))
    entry = StoppableEntry(runtime)
    context.forced = []
    runtime.on_forced_stop(lambda: context.forced.append("forced"))

    async def main() -> None:
        await runtime.loop.sleep(0)
        address = entry.server.bound_address()
        runtime.loop.spawn(runtime.http.request(address, "GET", "/forever"))
        slow = runtime.loop.spawn(runtime.http.request(address, "GET", "/slow"))
        for _ in range(2):
            await runtime.loop.sleep(0.2)
            os.kill(os.getpid(), signal.SIGTERM)
        context.slow = await slow
        context.forced_by_sigterm = list(context.forced)
        os.kill(os.getpid(), signal.SIGINT)

    runtime.loop.spawn(main())
    runtime.run()


@then("the requests go on after the second SIGTERM, and SIGINT forces the stop")
def not_interrupted(context: Any) -> None:
    assert context.slow.status == 200, context.slow
    assert not context.forced_by_sigterm
    assert context.forced == ["forced"]


@when("a process that follows an agent is stopped")
def stop_follower(context: Any) -> None:
    runtime = Runtime()
    agent = start_agent(runtime, MemoryKeyValue(runtime.loop), "n0")
    address = Address("127.0.0.1:9")
    follower = Follower(
        runtime,
        agent.address,
        Service.BATCH,
        address,
        node=NodeId("n0"),
        domain=DomainName("d1"),
    )

    async def hand_over() -> None:
        context.at_hand_over = dict(agent.self_node().addresses)

    async def main() -> None:
        await runtime.loop.sleep(0)
        follower.start()
        await until(runtime, lambda: Service.BATCH in agent.self_node().addresses)
        runtime.begin_stop()

    runtime.on_stop(hand_over)
    leave_before_stop(runtime, follower, propagation_s=1.2)
    runtime.loop.spawn(main())
    runtime.run()


@then("its service had left the fleet view before its work was handed over")
def follower_left(context: Any) -> None:
    assert Service.AGENT in context.at_hand_over
    assert Service.BATCH not in context.at_hand_over
