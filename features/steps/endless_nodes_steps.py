"""Steps for other nodes that send or answer without end."""

import socket
from typing import Any
from unittest.mock import patch

from behave import then, when

from features.steps.endless_senders_steps import CONNECTIONS, SECONDS
from features.support.endless_serving import LARGE_ANSWER_BYTES, Serving
from features.support.loop import run_on_loop
from parsleyrouter.connection import peer_limits, peer_server
from parsleyrouter.connection.peer import MAX_UNSENT_BYTES, PeerFailureKind
from parsleyrouter.ids import Address
from parsleyrouter.process.report_room import MAX_REPORTED_NODES
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

OPEN_CALL_BYTES = 4096
"""Memory of a call that waits, with its task."""


def _max_peer_growth_mb(what: str, connections: int) -> float:
    """Return the bound of what connections of nodes may hold, with as much again for copies."""
    unsent_bytes = peer_server.MAX_UNSENT_BYTES // 4 + LARGE_ANSWER_BYTES
    each_bytes = peer_server.SMALL_BYTES + peer_server.READ_BYTES
    held_bytes = peer_server.MAX_HELD_BYTES + connections * each_bytes
    if "not read" in what:
        return 1.5 * connections * (each_bytes + unsent_bytes) / 1e6
    if "wait" in what:
        held_bytes = connections * (each_bytes + peer_server.MAX_OPEN_CALLS * OPEN_CALL_BYTES)
    return 2 * held_bytes / 1e6


@when("nodes send {what} without end")
def step_nodes_send(context: Any, what: str) -> None:
    connections = {"almost whole frames": 16, "calls whose large answers are not read": 4}.get(
        what, CONNECTIONS
    )
    context.max_growth_mb = _max_peer_growth_mb(what, connections)

    async def main(runtime: Runtime) -> None:
        context.outcome = await Serving(runtime).beside(what, connections, SECONDS)

    run_on_loop(main)


@when("a node answers calls with {what} without end")
def step_node_answers(context: Any, what: str) -> None:
    context.max_growth_mb = 50.0

    async def main(runtime: Runtime) -> None:
        context.outcome = await Serving(runtime).beside(what, CONNECTIONS, SECONDS)

    run_on_loop(main)


@when("a node begins a frame and sends no more of it")
def step_unended_frame(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        serving = Serving(runtime)
        context.outcome = await serving.beside("a frame that never ends", 2, 2 * SECONDS)

    with patch.object(peer_server, "FRAME_TIMEOUT_S", 0.5):
        run_on_loop(main)


@then("its connections were closed")
def step_closed(context: Any) -> None:
    assert context.outcome.closed > 0, context.outcome
    assert context.outcome.unanswered == 0, context.outcome


@when("a node reads none of many large calls")
def step_reads_no_calls(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
            request = Envelope(payload=b"a" * 10_000_000)
            calls = [
                runtime.loop.spawn(runtime.peers.call(address, "any", request, Envelope, 1.0))
                for _ in range(10)
            ]
            context.results = await runtime.loop.gather(calls)
            context.unsent_bytes = runtime.peers.connections[address].stream.buffered_bytes

    run_on_loop(main)


@then("the calls over the limit fail as not run")
def step_not_run(context: Any) -> None:
    kinds = [one.kind for one in context.results]
    assert kinds.count(PeerFailureKind.TIMEOUT) >= 1, kinds
    assert kinds.count(PeerFailureKind.UNREACHABLE) >= 5, kinds
    assert context.unsent_bytes < MAX_UNSENT_BYTES + 11_000_000, context.unsent_bytes


@when("a node sends {what} without end")
def step_datagrams(context: Any, what: str) -> None:
    context.max_growth_mb = 50.0

    async def main(runtime: Runtime) -> None:
        serving = Serving(runtime)
        context.outcome = await serving.beside(what, 1, SECONDS)
        kept = (serving.exchange.loads.fleet.nodes, serving.exchange.members.reported_nodes)
        context.kept = [len(reports) for reports in kept]

    run_on_loop(main)


@then("load reports of a bounded number of nodes are kept")
def step_bounded_nodes(context: Any) -> None:
    assert max(context.kept) <= 2 * MAX_REPORTED_NODES, context.kept
    assert context.kept[0] <= MAX_REPORTED_NODES, context.kept


@when("a node reports a host name as its address")
def step_host_name(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        exchange = Serving(runtime).exchange
        with patch.object(exchange.datagrams, "sock") as sock:
            exchange.datagrams.send(Address("no-such-host.invalid:9"), b"report")
            context.names_sent_to = sock.sendto.mock_calls

    run_on_loop(main)


@then("no name is looked up for it")
def step_no_lookup(context: Any) -> None:
    assert context.names_sent_to == [], context.names_sent_to


@when("nodes connect, begin calls that wait and close, again and again")
def step_calls_of_closed(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        serving = Serving(runtime)
        address = serving.peers.bound_address()
        context.results = []
        for _ in range(4):
            calls = [
                runtime.loop.spawn(runtime.peers.call(address, "wait", Envelope(), Envelope, 0.2))
                for _ in range(5)
            ]
            context.results += await runtime.loop.gather(calls)
            runtime.peers.close(address)
        context.open_calls = serving.peers.open_calls

    with patch.object(peer_limits, "MAX_OPEN_CALLS_IN_SUM", 6):
        run_on_loop(main)


@then("calls over the limit of all connections are refused as such")
def step_refused_in_sum(context: Any) -> None:
    refused = [one for one in context.results if one.kind is PeerFailureKind.REMOTE]
    assert len(refused) == 8 and "too many calls" in refused[0].message, context.results
    assert context.open_calls == 12, context.open_calls
