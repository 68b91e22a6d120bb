"""Steps for requests that a front process forwards."""

from collections.abc import Callable, Coroutine
from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from features.support.front_fleet import Caller, CallerAnswer, FrontFleet, routes
from features.support.loop import run_on_loop
from features.support.platform_endpoint import (
    Arrival,
    Behaviour,
    EndpointStandIn,
    RawEndpoint,
    drop,
    event,
    raw,
    shed,
    silent,
    status,
    stream,
    stream_until,
)
from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.ids import RouteName, ServiceName
from parsleyrouter.process.active_routes import ActiveRoutes
from parsleyrouter.version.route_table import Route, RouteKind, RouteTable, Target

MAX_PAUSE_S = 0.4
FleetScenario = Callable[[FrontFleet], Coroutine[Any, Any, None]]


def run_with_fleet(context: Any, scenario: FleetScenario) -> None:
    """Run a test coroutine with a new fleet."""

    async def main(runtime: Any) -> None:
        context.fleet = FrontFleet(runtime)
        await scenario(context.fleet)

    run_on_loop(main)


def all_events(count: int) -> bytes:
    return b"".join(event(number) for number in range(1, count + 1))


@when("a caller sends a request with headers, a query and a body of its own")
def step_forward(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        await fleet.start()
        headers = [("X-Twice", "a"), ("X-Twice", "b"), ("x-Lower", "l"), ("Connection", "x-hop")]
        headers += [("X-Hop", "no"), ("X-Expect-Instance", "forged")]
        context.response = await fleet.caller().ask(
            "POST", "/card/a%20b/?q=1&r", b"\x00body", headers=headers, deadline_ms=1500
        )

    run_with_fleet(context, scenario)


@then("the endpoint gets them unchanged, with its own name expected and the remaining time")
def step_forwarded_unchanged(context: Any) -> None:
    arrival: Arrival = context.fleet.endpoints["c1"].arrivals[0]
    assert context.response.status == 200
    assert (arrival.method, arrival.target) == ("POST", "/card/a%20b/?q=1&r")
    assert arrival.body == b"\x00body"
    names = [name for name, _ in arrival.headers]
    assert [value for name, value in arrival.headers if name == "X-Twice"] == ["a", "b"]
    assert "x-Lower" in names and "X-Hop" not in names
    assert arrival.header("X-Attempt-Id") == "a1"
    assert arrival.header("Host") == "callers.example"
    assert arrival.header("X-Expect-Instance") == "c1"
    assert 1000 < int(arrival.header("X-Deadline-Ms") or 0) <= 1500


@when("a caller requests a card")
def step_ask_card(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        await fleet.start()
        context.response = await fleet.caller().ask("POST", "/card/1")

    run_with_fleet(context, scenario)


@then("status, body and the endpoint's headers are returned")
def step_card_returned(context: Any) -> None:
    response: CallerAnswer = context.response
    assert (response.status, response.body, response.complete) == (200, b"the body", True)
    assert response.headers["X-Own"] == "kept"
    assert response.headers["X-Response-Signature"] == "sig-c1"


@when("a caller requests a stream")
def step_ask_stream(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        context.response = await fleet.caller().ask("POST", "/chat/1", b"prompt")

    run_with_fleet(context, scenario)


@then("all events arrive in order and the response is complete")
def step_stream_complete(context: Any) -> None:
    assert context.response.complete and context.response.status == 200
    assert context.response.body == all_events(5)


def _head(endpoint: EndpointStandIn, arrival: Arrival, *lines: bytes) -> bytes:
    proof_headers = [b"%s: %s" % line for line in endpoint.proof(arrival)]
    return b"\r\n".join([b"HTTP/1.1 200 OK", *proof_headers, *lines]) + b"\r\n\r\n"


async def _reset_without_length(
    endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
) -> None:
    """Send a part of a response without a length and reset the connection."""
    exchange.server.send(exchange.sock, _head(endpoint, arrival) + b"part")
    await endpoint.runtime.loop.sleep(0.05)
    exchange.sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    exchange.server.server._poller.discard(exchange.sock)
    exchange.sock.close()


FAILURES: dict[str, Behaviour] = {
    "closing without a response": drop,
    "shedding": shed,
    "a status 500": status(500),
    "a response without signature": raw(
        lambda e, a: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
    ),
    "a response to another request": raw(
        lambda e, a: b"HTTP/1.1 200 OK\r\nX-Attempt-Id: zz\r\nX-Response-Signature: s\r\n"
        b"Content-Length: 2\r\n\r\nno"
    ),
    "a truncated response": raw(lambda e, a: _head(e, a, b"Content-Length: 50") + b"part"),
    "an encoded response": raw(
        lambda e, a: _head(e, a, b"Content-Length: 2", b"Content-Encoding: gzip") + b"no"
    ),
    "bytes that are no response": raw(lambda e, a: b"\x00\x01garbage\r\n\r\n"),
    "a reset response without length": _reset_without_length,
}


@when("an endpoint fails a card by {failure}")
def step_fail_card(context: Any, failure: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("c1", "c2"):
            fleet.register(name, "cards").behaviours = [FAILURES[failure]]
        await fleet.start()
        fleet.endpoints["c2"].behaviours = []
        fleet.endpoints["c1"].behaviours = [FAILURES[failure]] * 9
        caller = fleet.caller()
        context.responses = [
            await caller.ask("POST", f"/card/{n}", attempt=f"a{n}") for n in (1, 2)
        ]
        fleet.endpoints["c1"].behaviours = []
        context.responses.append(await caller.ask("POST", "/card/3", attempt="a3"))

    run_with_fleet(context, scenario)


@then("the card comes from another attempt")
def step_card_from_another(context: Any) -> None:
    assert [(one.status, one.body) for one in context.responses] == [(200, b"the body")] * 3


@when("an endpoint closes the connection without a response to a chat")
def step_drop_chat(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).default_behaviour = drop
        await fleet.start()
        context.response = await fleet.caller().ask("POST", "/chat/1")

    run_with_fleet(context, scenario)


@then("the chat was sent once and the caller gets a status that does not rule out execution")
def step_chat_once(context: Any) -> None:
    arrivals = [one for endpoint in context.fleet.endpoints.values() for one in endpoint.arrivals]
    assert len(arrivals) == 1
    assert context.response.status == 502


@when("an endpoint sheds a chat")
def step_shed_chat(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name)
        await fleet.start()
        fleet.endpoints["e1"].default_behaviour = shed
        caller = fleet.caller()
        context.responses = [
            await caller.ask("POST", "/chat/1", attempt=f"a{number}") for number in range(4)
        ]

    run_with_fleet(context, scenario)


@then("another endpoint answers it")
def step_another_answers(context: Any) -> None:
    assert all(one.status == 200 and one.body == all_events(5) for one in context.responses)


@when("all endpoints shed a chat")
def step_all_shed(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).default_behaviour = shed
        await fleet.start()
        context.response = await fleet.caller().ask("POST", "/chat/1")

    run_with_fleet(context, scenario)


@then("the refusal is 503 with a retry time")
def step_refused(context: Any) -> None:
    assert context.response.status == 503
    assert float(context.response.headers["Retry-After"]) >= 0


@when("an endpoint truncates a tale within an event")
def step_truncate_tale(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        first = [stream_until(2)]
        for name in ("e1", "e2"):
            fleet.register(name).behaviours = first
        await fleet.start()
        context.response = await fleet.caller().ask("POST", "/tale/1")

    run_with_fleet(context, scenario)


@then("the caller gets every event once under the first endpoint's headers")
def step_tale_resumed(context: Any) -> None:
    endpoints: dict[str, EndpointStandIn] = context.fleet.endpoints
    arrivals = sorted(
        ((one.at_s, name, one) for name, e in endpoints.items() for one in e.arrivals),
        key=lambda row: row[0],
    )
    first, second = arrivals
    assert first[1] != second[1]
    assert second[2].header("Last-Event-Id") == "2"
    assert context.response.headers["X-Response-Signature"] == f"sig-{first[1]}"
    assert context.response.complete


async def _stall(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
    await stream(endpoint, exchange, arrival, 2)
    await endpoint.runtime.loop.sleep(5.0)


def stall_tale(context: Any, behaviour: Behaviour) -> None:
    """Request a tale whose first endpoint stalls by a behaviour once it has sent something."""

    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).behaviours = [behaviour]
        await fleet.start()
        caller = fleet.caller()
        started_s = fleet.loop.now()
        await caller.send("POST", "/tale/1")
        await fleet.until(lambda: caller.answer.body)
        for endpoint in fleet.endpoints.values():
            endpoint.behaviours = []
        context.response = await caller.wait()
        context.took_s = fleet.loop.now() - started_s

    run_with_fleet(context, scenario)


@when("an endpoint stalls within a tale")
def step_stall_tale(context: Any) -> None:
    stall_tale(context, _stall)


@then("the tale resumes within the maximum pause that counts as on time")
def step_tale_resumed_in_time(context: Any) -> None:
    assert context.response.body == all_events(5) and context.response.complete
    assert context.took_s < MAX_PAUSE_S + 0.1


@when("an endpoint truncates a chat within an event")
def step_truncate_chat(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).default_behaviour = stream_until(2)
        await fleet.start()
        context.response = await fleet.caller().ask("POST", "/chat/1")

    run_with_fleet(context, scenario)


@then("the caller's response is incomplete")
def step_incomplete(context: Any) -> None:
    assert context.response.status == 200 and not context.response.complete
    assert sum(len(one.arrivals) for one in context.fleet.endpoints.values()) == 1


@when("an endpoint sends an extra response before the expected one")
def step_extra_answer(context: Any) -> None:
    def extra(endpoint: EndpointStandIn, arrival: Arrival) -> bytes:
        other = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: zz\r\nX-Response-Signature: s\r\n"
        own = _head(endpoint, arrival, b"Content-Length: 3") + b"own"
        return other + b"Content-Length: 5\r\n\r\nother" + own

    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards").default_behaviour = raw(extra, close=False)
        await fleet.start()
        caller = fleet.caller()
        context.responses = [await caller.ask("POST", "/card/1", b"xy") for _ in range(2)]

    run_with_fleet(context, scenario)


@then("the caller gets its own response")
def step_own_answer(context: Any) -> None:
    assert [one.body for one in context.responses] == [b"own", b"own"]


@when("an endpoint responds before it has read a long body")
def step_early_answer(context: Any) -> None:
    context.body = b"x" * 3_000_000

    async def scenario(fleet: FrontFleet) -> None:
        endpoint = RawEndpoint(fleet.runtime)
        fleet.register("c1", "cards")
        fleet.announce("c1", "cards", address=endpoint.address)
        await fleet.start()
        caller = fleet.caller()
        context.responses = [
            await caller.ask("POST", "/card/1", context.body),
            await caller.ask("POST", "/card/2", b"short", attempt="a2"),
        ]
        context.received = endpoint.received

    run_with_fleet(context, scenario)


@then("the next request uses another connection")
def step_other_connection(context: Any) -> None:
    assert [one.status for one in context.responses] == [200, 200]
    assert len(context.received) == 2
    assert all(data.startswith(b"POST /card/") for data in context.received)
    assert context.received[1].endswith(b"short")


@when("a caller disconnects during a stream")
def step_disconnect_caller(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.events, endpoint.gap_s = 1000, 0.01
        await fleet.start()
        caller: Caller = fleet.caller()
        await caller.send("POST", "/chat/1")
        await fleet.until(lambda: caller.answer.body)
        disconnected_s = fleet.loop.now()
        caller.close()
        await fleet.until(lambda: endpoint.arrivals[0].cut)
        context.took_s = endpoint.arrivals[0].ended_s - disconnected_s

    run_with_fleet(context, scenario)


@then("the endpoint's connection is closed within half a second")
def step_endpoint_disconnected(context: Any) -> None:
    assert context.took_s < 0.5


@when("an address has been taken over by another endpoint")
def step_taken_over(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        other = fleet.register("e2")
        await fleet.start()
        fleet.endpoints["e1"].server.unregister()
        fleet.announce("e1", address=other.address)
        await fleet.until(
            lambda: fleet.fronts[0].directory.endpoints["e1"].address == other.address
        )
        caller = fleet.caller()
        context.responses = [await caller.ask("POST", "/chat/1", attempt=f"a{n}") for n in range(4)]

    run_with_fleet(context, scenario)


@then("the request runs at the intended endpoint")
def step_ran_at_intended(context: Any) -> None:
    assert all(one.status == 200 for one in context.responses)
    assert all(one.headers["X-Response-Signature"] == "sig-e2" for one in context.responses)


@when("a caller requests an unknown route before and after routes are known")
def step_unknown(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(configured=False)
        caller = fleet.caller()
        before = await caller.ask("POST", "/none/1")
        fleet.store.put_json("op/config", routes())
        await fleet.until(lambda: fleet.fronts[0].routes.version == 1)
        context.statuses = [before.status, (await caller.ask("POST", "/none/1")).status]

    run_with_fleet(context, scenario)


@then("the first response is 503 and the second is 404")
def step_unknown_answers(context: Any) -> None:
    assert context.statuses == [503, 404]


@when("an endpoint never responds to a chat with a short timeout")
def step_route_timeout(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = silent
        await fleet.start()
        table = routes(2)
        for route in table["routes"]:
            route["timeoutMs"] = 400
        fleet.store.put_json("op/config", table)
        await fleet.until(lambda: fleet.fronts[0].routes.version == 2)
        started_s = fleet.loop.now()
        context.response = await fleet.caller().ask("POST", "/chat/1")
        context.took_s = fleet.loop.now() - started_s

    run_with_fleet(context, scenario)


@then("the caller gets a response soon after the timeout")
def step_timeout_held(context: Any) -> None:
    assert 0.35 < context.took_s < 0.9
    assert context.response.status in (502, 504)


PARTS = st.lists(st.sampled_from(["a", "b"]), max_size=3)


def _path(parts: list[str]) -> str:
    return "/" + "".join(f"{part}/" for part in parts)


def _route(host: str, prefix: str) -> Route:
    target = Target(ServiceName("s"))
    return Route(RouteName(host + prefix), host, prefix, RouteKind.SAFE, (target,), 1.0, 1.0)


@when("arbitrary paths are looked up in arbitrary routes")
def step_look_up(context: Any) -> None:
    @for_all(
        st.sets(st.tuples(st.sampled_from("xy"), PARTS.map(_path))), st.sampled_from("xy"), PARTS
    )
    def check(rows: set[tuple[str, str]], host: str, parts: list[str]) -> None:
        table = RouteTable(1, tuple(_route(*row) for row in sorted(rows)))
        path = _path(parts) + "rest"
        matching = [prefix for name, prefix in rows if name == host and path.startswith(prefix)]
        found = table.find(host, path)
        assert (found.prefix if found else None) == max(matching, key=len, default=None)

    context.check = check


@then("the route is the one with the longest prefix and the same host")
def step_longest_prefix(context: Any) -> None:
    context.check()


@when("versions arrive in any order")
def step_versions(context: Any) -> None:
    @for_all(st.lists(st.integers(1, 30)))
    def check(versions: list[int]) -> None:
        in_force = ActiveRoutes()
        seen = [0]
        for version in versions:
            taken = in_force.activate(RouteTable(version, ()), "test")
            assert taken == (version > seen[-1])
            seen.append(in_force.version)
        assert seen == sorted(seen)
        assert in_force.version == max(versions, default=0)

    context.check = check


@then("the active version never decreases")
def step_never_decreases(context: Any) -> None:
    context.check()


@when("a caller sends its body in chunks")
def step_chunks(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        front = await fleet.start()
        sock = await fleet.runtime.connector.open(front.registry.own.callers)
        head = b"POST /card/1 HTTP/1.1\r\nHost: callers.example\r\nX-Attempt-Id: a1\r\n"
        sock.send(head + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
        await fleet.loop.sleep(0.1)
        sock.send(b"4\r\ndefg\r\n0\r\n\r\n")
        await fleet.until(lambda: fleet.endpoints["c1"].arrivals)
        context.arrival = fleet.endpoints["c1"].arrivals[0]

    run_with_fleet(context, scenario)


@then("the endpoint gets the complete body with one length")
def step_chunks_whole(context: Any) -> None:
    assert context.arrival.body == b"abcdefg"
    assert context.arrival.header("Content-Length") == "7"


@when("an endpoint responds without a length")
def step_no_length(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards").default_behaviour = raw(
            lambda e, a: _head(e, a) + b"all of it"
        )
        fleet.register("e1").default_behaviour = raw(lambda e, a: _head(e, a) + event(1) + event(2))
        await fleet.start()
        context.responses = [
            await fleet.caller().ask("POST", "/card/1"),
            await fleet.caller().ask("POST", "/chat/1", attempt="a2"),
        ]

    run_with_fleet(context, scenario)


@then("the caller gets the complete response and its end")
def step_no_length_complete(context: Any) -> None:
    assert [one.body for one in context.responses] == [b"all of it", all_events(2)]
    assert all(one.complete for one in context.responses)


@when("an endpoint sends interim responses before the final one")
def step_interim(context: Any) -> None:
    def interim(endpoint: EndpointStandIn, arrival: Arrival) -> bytes:
        first = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        return first + _head(endpoint, arrival, b"Content-Length: 3") + b"own"

    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards").default_behaviour = raw(interim, close=False)
        await fleet.start()
        context.response = await fleet.caller().ask("POST", "/card/1")

    run_with_fleet(context, scenario)


@then("the caller gets only the final response")
def step_final_alone(context: Any) -> None:
    response: CallerAnswer = context.response
    assert (response.status, response.body, response.complete) == (200, b"own", True)
    assert "Link" not in response.headers


@when("two requests are further apart than the endpoint's keep-alive time")
def step_idle_time(context: Any) -> None:
    context.sockets = []

    async def short_kept(
        endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
    ) -> None:
        context.sockets.append(exchange.sock)
        headers = [*endpoint.proof(arrival), (b"Keep-Alive", b"timeout=1")]
        exchange.reply(200, headers, b"the body")

    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards").default_behaviour = short_kept
        await fleet.start()
        caller = fleet.caller()
        context.responses = []
        for number, pause_s in enumerate((0.0, 0.1, 0.8)):
            await fleet.loop.sleep(pause_s)
            attempt = f"a{number}"
            context.responses.append(await caller.ask("POST", "/card/1", attempt=attempt))

    run_with_fleet(context, scenario)


@then("the second uses a new connection and is answered")
def step_new_connection(context: Any) -> None:
    assert [one.status for one in context.responses] == [200] * 3
    first, second, third = context.sockets
    assert first is second and third is not second


@when("a caller's connection stays idle beyond the configured time")
def step_idle_caller(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        await fleet.start()
        fleet.store.put_json("op/config", routes(2, limits={"idleTimeoutMs": 400}))
        await fleet.until(lambda: fleet.fronts[0].routes.version == 2)
        caller = fleet.caller()
        await caller.ask("POST", "/card/1")
        started_s = fleet.loop.now()
        await fleet.until(lambda: caller.closed, 3.0)
        context.took_s = fleet.loop.now() - started_s

    run_with_fleet(context, scenario)


@then("the connection is closed")
def step_idle_closed(context: Any) -> None:
    assert 0.4 <= context.took_s < 2.0
