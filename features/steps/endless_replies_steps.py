"""Steps for replies that never end or stall without falling silent."""

import json
import resource
from typing import Any

from behave import then, when

from features.steps.front_jobs_steps import full_output, items, read_all, submit
from features.steps.front_requests_steps import all_events, run_with_fleet, stall_tale
from features.support.front_fleet import FrontFleet, routes
from features.support.platform_endpoint import (
    STREAM,
    Arrival,
    Behaviour,
    EndpointStandIn,
    event,
    raw,
    stream,
    whole,
)
from parsleyrouter.connection.forward_server import CallerExchange

PIECE = b"x" * 4096
MAX_GROWTH_KB = 40_000
"""Growth of the process's memory, which also holds the stand-ins that send the bytes."""


def raw_head(endpoint: EndpointStandIn, arrival: Arrival, status: str, *lines: bytes) -> bytes:
    head = [b"HTTP/1.1 " + status.encode()]
    head += [b": ".join(pair) for pair in endpoint.proof(arrival)]
    return b"\r\n".join([*head, *lines, b"", b""])


def endless(start: Any, piece: bytes, pause_s: float = 0.001) -> Behaviour:
    """Send a start and then a piece again and again until the connection is closed."""

    async def behave(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        exchange.headers_sent = True
        exchange.server.send(exchange.sock, start(endpoint, arrival))
        while not exchange.disconnected:
            if exchange.server.buffered_bytes(exchange.sock) < 10 * len(PIECE):
                exchange.server.send(exchange.sock, piece)
            await endpoint.runtime.loop.sleep(pause_s)

    return behave


CHUNKED = b"Transfer-Encoding: chunked"
CHUNK = b"1000\r\n" + PIECE + b"\r\n"
CARD_REPLIES: dict[str, Behaviour] = {
    "a head without end": endless(lambda e, a: b"HTTP/1.1 200 OK\r\nX-Long: ", PIECE),
    "a head one byte at a time": endless(lambda e, a: b"HTTP/1.1 200 OK\r\nX: ", b"y", 0.05),
    "interim responses without end": endless(
        lambda e, a: b"HTTP/1.1 103 Early Hints\r\n\r\n", b"HTTP/1.1 103 Early Hints\r\n\r\n"
    ),
    "a refusal whose body has no end": endless(
        lambda e, a: raw_head(e, a, "503 Full", b"X-Not-Executed: 1", CHUNKED), CHUNK
    ),
    "an error whose body has no end": endless(
        lambda e, a: raw_head(e, a, "500 Broken", CHUNKED), CHUNK
    ),
    "a body one byte at a time": endless(
        lambda e, a: raw_head(e, a, "200 OK", b"Content-Length: 4000"), b"z", 0.05
    ),
    "a response to another without end": endless(
        lambda e, a: b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n" + CHUNKED + b"\r\n\r\n", CHUNK
    ),
    "a refusal that is not its own": endless(
        lambda e, a: b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", b"", 0.5
    ),
}


def first_only(behaviour: Behaviour) -> Behaviour:
    """Apply a behaviour to the first request of all endpoints together, and answer the others."""
    done: list[bool] = []

    async def behave(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        chosen = whole if done else behaviour
        done.append(True)
        await chosen(endpoint, exchange, arrival)

    return behave


def memory_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


@when("an endpoint replies to a card by {what}")
def step_endless_card(context: Any, what: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        fleet.register("c2", "cards")
        await fleet.start()
        first = first_only(CARD_REPLIES[what])
        for endpoint in fleet.endpoints.values():
            endpoint.default_behaviour = first
        caller = fleet.caller()
        started_s = fleet.loop.now()
        await caller.send("GET", "/card/1", deadline_ms=4000)
        context.answer = await caller.wait()
        context.took_s = fleet.loop.now() - started_s
        arrivals = [one.arrivals[0] for one in fleet.endpoints.values() if one.arrivals]
        earliest = min(arrivals, key=lambda arrival: arrival.at_s)
        await fleet.until(lambda: earliest.cut or earliest.ended_s, 1.0)
        context.closed = earliest.cut

    run_with_fleet(context, scenario)


@then("the card comes from another endpoint in time, and the connection is closed")
def step_card_in_time(context: Any) -> None:
    assert context.answer.status == 200 and context.answer.body == b"the body"
    assert context.took_s < 2.5, context.took_s
    assert context.closed


@when("an endpoint never ends the large body of a card")
def step_large_endless(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        head = lambda e, a: raw_head(e, a, "200 OK", CHUNKED)  # noqa: E731
        fleet.register("c1", "cards").default_behaviour = endless(head, CHUNK, 0.0005)
        await fleet.start()
        await _ask_until_deadline(context, fleet, "/card/1")

    run_with_fleet(context, scenario)


@when("an endpoint sends events of a chat without end")
def step_endless_chat(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        lines = (CHUNKED, b": ".join(STREAM))
        data = event(1)
        piece = b"%x\r\n%s\r\n" % (len(data), data)
        head = lambda e, a: raw_head(e, a, "200 OK", *lines)  # noqa: E731
        fleet.register("e1").default_behaviour = endless(head, piece, 0.01)
        await fleet.start()
        await _ask_until_deadline(context, fleet, "/chat/1")

    run_with_fleet(context, scenario)


async def _ask_until_deadline(context: Any, fleet: FrontFleet, target: str) -> None:
    before_kb = memory_kb()
    started_s = fleet.loop.now()
    context.answer = await fleet.caller().ask("POST", target, deadline_ms=1500)
    context.took_s = fleet.loop.now() - started_s
    context.growth_kb = memory_kb() - before_kb


@then("the caller's response ends as incomplete at its deadline, with bounded memory")
def step_ends_at_deadline(context: Any) -> None:
    assert not context.answer.complete
    assert 1.3 < context.took_s < 2.0, context.took_s
    assert context.growth_kb < MAX_GROWTH_KB, context.growth_kb


STALLS: dict[str, bytes] = {
    "a byte of an event": b"1\r\n:\r\n",
    "parts of one endless event": b"9\r\ndata: par\r\n",
}


def stalled(piece: bytes, events: int = 2) -> Behaviour:
    """Send some events, then pieces that complete none."""

    async def behave(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        first = int(arrival.header("Last-Event-Id") or 0) + 1
        data = b"".join(event(number) for number in range(first, first + events))
        head = raw_head(endpoint, arrival, "200 OK", CHUNKED, b": ".join(STREAM))
        start = head + b"%x\r\n%s\r\n" % (len(data), data)
        await endless(lambda e, a: start, piece, 0.05)(endpoint, exchange, arrival)

    return behave


@when("an endpoint sends only {what} within a tale")
def step_stall_with_bytes(context: Any, what: str) -> None:
    stall_tale(context, stalled(STALLS[what]))


@when("an endpoint stalls within an item and sends a byte now and then")
def step_stalled_item(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).behaviours = [stalled(STALLS["a byte of an event"])]
        await fleet.start()
        body = json.dumps({"items": items(1)}).encode()
        assert (await submit(fleet, body=body)).status == 202
        context.results = await read_all(fleet)

    run_with_fleet(context, scenario)


@then("the item is listed with its whole output")
def step_item_listed(context: Any) -> None:
    assert [one["output"] for one in context.results] == [full_output()]


@when("an endpoint sends a chat and a tale slowly but within their pauses")
def step_slow_streams(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.events, endpoint.gap_s = 8, 0.25
        await fleet.start()
        context.answers = [
            await fleet.caller().ask("POST", target) for target in ("/chat/1", "/tale/1")
        ]
        context.sent = len(endpoint.arrivals)

    run_with_fleet(context, scenario)


@then("both arrive complete from their first endpoint")
def step_slow_complete(context: Any) -> None:
    assert all(one.complete and one.body == all_events(8) for one in context.answers)
    assert context.sent == 2


@when("the key-value service sends a body without end to one call")
def step_endless_store(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = stream
        front = await fleet.start()
        answer = fleet.store.server.answer

        async def answer_endlessly(exchange: CallerExchange) -> None:
            if exchange.head.path != "/kv-watch":
                await answer(exchange)
                return
            exchange.begin(200, b"", [(b"Content-Type", b"application/json")], None)
            while not exchange.disconnected:
                exchange.send(b" " * 1024)
                await fleet.loop.sleep(0.02)

        fleet.store.server.answer = answer_endlessly
        failures = front.store.metrics.failures
        await fleet.until(lambda: bool(list(failures.collect()[0].samples)), 15.0)
        fleet.store.server.answer = answer
        context.answer = await fleet.caller().ask("POST", "/tale/1")
        fleet.store.put_json("op/config", routes(2))
        await fleet.until(lambda: front.routes.version == 2)

    run_with_fleet(context, scenario)


@then("the call fails in time, and the node serves on")
def step_serves_on(context: Any) -> None:
    assert context.answer.status == 200 and context.answer.complete


@when("endpoints end streams without a length within an event, and between two events")
def step_unframed(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        await fleet.start()
        endpoint.behaviours = [unframed(event(1) + event(2)[:-5])]
        context.broken = await fleet.caller().ask("POST", "/chat/1", attempt="a1")
        other = fleet.register("e2")
        await fleet.until(lambda: len(fleet.fronts[0].directory.endpoints) == 2)
        for one in (endpoint, other):
            one.events = 3
        endpoint.behaviours = [unframed(event(1) + event(2)[:-5])]
        other.behaviours = [unframed(event(1) + event(2)[:-5])]
        context.resumed = await fleet.caller().ask("POST", "/tale/1", attempt="a2")
        endpoint.behaviours = [unframed(event(1) + event(2))]
        other.behaviours = [unframed(event(1) + event(2))]
        context.whole = await fleet.caller().ask("POST", "/chat/2", attempt="a3")

    run_with_fleet(context, scenario)


def unframed(body: bytes) -> Behaviour:
    """Answer with a stream that ends with its connection."""
    stream_type = b": ".join(STREAM)
    return raw(lambda endpoint, arrival: raw_head(endpoint, arrival, "200 OK", stream_type) + body)


@then("the one that was broken off is incomplete, or resumed where the route allows it")
def step_unframed_broken(context: Any) -> None:
    assert not context.broken.complete, context.broken.body
    assert not context.resumed.complete or context.resumed.body == all_events(3)


@then("the other one is complete")
def step_unframed_whole(context: Any) -> None:
    assert context.whole.complete and context.whole.body == all_events(2), context.whole.body
