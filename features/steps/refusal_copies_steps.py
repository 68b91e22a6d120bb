"""Steps for copies of a refusal with the id of a request that is under way again."""

from typing import Any

from behave import then, when

from features.steps.broken_answers_steps import RepeatingEngine
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from features.support.log_records import collected_logs
from features.support.platform_endpoint import Arrival, EndpointStandIn, shed, stream
from parsleyrouter.connection.connection_history import MAX_REQUESTS
from parsleyrouter.connection.forward_server import CallerExchange

LOGGER = "parsleyrouter.connection.endpoint_client"


class SuccessorEndpoint(EndpointStandIn):
    """Has taken over the address of ``e0``; refuses its requests, again before an answer."""

    fleet: FrontFleet
    refused: Any = None

    async def answer(self, exchange: CallerExchange) -> None:
        """Refuse what is meant for another endpoint once this one is known; answer the rest."""
        head = exchange.head
        arrival = Arrival(head.method, head.path, [], exchange.body, self.runtime.loop.now())
        arrival.headers = [(name.decode(), value.decode("latin-1")) for name, value in head.raw]
        self.arrivals.append(arrival)
        name = (arrival.header("X-Attempt-Id") or "").encode()
        refusal = [(b"X-Attempt-Id", name), (b"X-Instance-Id", self.name.encode())]
        if arrival.header("X-Expect-Instance") != self.name:
            self.refused = exchange.sock
            self.fleet.announce("e1")
            await self.fleet.until(lambda: "e1" in self.fleet.fronts[0].directory.endpoints)
            exchange.reply(421, refusal, b"")
            return
        if exchange.sock is self.refused:
            lines = b"".join(b"%s: %s\r\n" % line for line in refusal)
            head_line = b"HTTP/1.1 421 Misdirected Request\r\n"
            copy = head_line + lines + b"Content-Length: 0\r\n\r\n"
            exchange.server.send(exchange.sock, copy)
            await self.runtime.loop.sleep(0.05)
        await stream(self, exchange, arrival)


@when("a {kind} request comes again under its id and the engine writes the refusal again first")
def step_same_id(context: Any, kind: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        engine = RepeatingEngine("first")
        endpoint = fleet.register("e1")
        endpoint.behaviours += [engine.refuse, engine.repeat]
        await fleet.start()
        first = await fleet.caller().ask("POST", f"/{kind}/1", attempt="first")
        assert first.status == 503
        context.answer = await fleet.caller().ask("POST", f"/{kind}/1", attempt="first")
        context.runs = len(endpoint.arrivals) - 1
        context.ran_elsewhere = 0

    with collected_logs(LOGGER) as context.records:
        run_with_fleet(context, scenario)


@when("a request meets an endpoint that has taken over an address and refuses it twice")
def step_taken_over(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        successor = SuccessorEndpoint(fleet.runtime, "e1")
        successor.fleet = fleet
        successor.start()
        fleet.endpoints["e0"] = successor
        fleet.announce("e0")
        await fleet.start()
        fleet.endpoints["e1"] = successor
        context.answer = await fleet.caller().ask("POST", "/chat/1", attempt="first")
        context.runs = len(successor.arrivals) - 1
        context.ran_elsewhere = 0

    run_with_fleet(context, scenario)


@when("a request without an id comes on a connection in use and an empty id refuses it")
def step_empty_id(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").behaviours += [stream, shed]
        await fleet.start()
        first = await fleet.caller().ask("POST", "/chat/1", attempt="first")
        assert first.status == 200
        context.answer = await fleet.caller().ask("POST", "/chat/2", attempt="")

    run_with_fleet(context, scenario)


@when("a request comes on a connection in use and a refusal with two ids comes first")
def step_two_ids(context: Any) -> None:
    lines = b"X-Not-Executed: 1\r\nX-Attempt-Id: first\r\nX-Attempt-Id: second\r\n"
    copy = b"HTTP/1.1 503 Service Unavailable\r\n" + lines + b"Content-Length: 0\r\n\r\n"

    async def repeat(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        exchange.server.send(exchange.sock, copy)
        await endpoint.runtime.loop.sleep(0.05)
        await stream(endpoint, exchange, arrival)

    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").behaviours += [stream, repeat]
        await fleet.start()
        first = await fleet.caller().ask("POST", "/chat/1", attempt="first")
        assert first.status == 200
        context.answer = await fleet.caller().ask("POST", "/chat/2", attempt="second")

    run_with_fleet(context, scenario)


@then("its caller gets a failure that promises nothing")
def step_no_promise(context: Any) -> None:
    assert context.answer.status == 502, context.answer.status


@when("requests with ids that come again are sent to an engine one after another")
def step_many(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.default_behaviour = CountingEngine(context).answer
        await fleet.start()
        caller = fleet.caller()
        for number in range(MAX_REQUESTS + 50):
            # Every tenth request repeats the id of the one before.
            answer = await caller.ask("POST", "/chat/1", attempt=f"r{number - (number % 10 == 9)}")
            assert answer.status == 200

    run_with_fleet(context, scenario)


class CountingEngine:
    """Answers requests and notes which ids came on each connection."""

    def __init__(self, context: Any) -> None:
        self.carried: dict[Any, list[str]] = {}
        context.carried = self.carried

    async def answer(
        self, endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
    ) -> None:
        """Answer a request with a small body."""
        self.carried.setdefault(exchange.sock, []).append(arrival.header("X-Attempt-Id") or "")
        exchange.reply(200, endpoint.proof(arrival), b"the body")


@then("no connection has carried an id twice, and each has been used as often as it may")
def step_once_each(context: Any) -> None:
    counts = sorted(len(ids) for ids in context.carried.values())
    assert all(len(set(ids)) == len(ids) for ids in context.carried.values())
    assert sum(counts) == MAX_REQUESTS + 50
    assert len(counts) == 2 and counts[-1] <= MAX_REQUESTS, counts


@then("the request runs once and its caller gets the answer")
def step_answered(context: Any) -> None:
    assert context.answer.status == 200, context.answer.status
    assert context.answer.body.count(b"data:") == 5, context.answer.body
    assert context.runs == 1, context.runs


@then("a log line names the connection, its age, its requests and the ids refused there")
def step_logged(context: Any) -> None:
    refusal = next(one for one in context.records if one.message == "refused by endpoint")
    assert (refusal.request, refusal.endpoint, refusal.status) == ("first", "e1", 503)
    assert refusal.proven and refusal.connection and refusal.connection_requests == 1
    assert refusal.connection_age_s >= 0
    assert refusal.refused == []


@when("an engine writes an answer without an id on a connection in use that says {line}")
def step_past(context: Any, line: str) -> None:
    copy = f"HTTP/1.1 200 OK\r\n{line}\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"

    async def repeat(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        exchange.server.send(exchange.sock, copy.encode())
        await endpoint.runtime.loop.sleep(0.05)
        await stream(endpoint, exchange, arrival)

    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").behaviours += [stream, repeat]
        await fleet.start()
        answers = [
            await fleet.caller().ask("POST", "/chat/1", attempt=f"r{number}") for number in range(5)
        ]
        context.statuses = [answer.status for answer in answers]

    run_with_fleet(context, scenario)


@then("the next requests are sent to the engine as before")
def step_as_before(context: Any) -> None:
    assert context.statuses == [200, 502, 200, 200, 200], context.statuses
