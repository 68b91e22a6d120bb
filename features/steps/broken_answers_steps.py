"""Steps for answers of faulty endpoints: written twice, of another kind, or cut in their head."""

from typing import Any

from behave import given, then, when

from features.steps.front_jobs_steps import read_all
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from features.support.platform_endpoint import (
    STREAM,
    Arrival,
    Behaviour,
    EndpointStandIn,
    event,
    raw,
    stream,
    stream_until,
)
from parsleyrouter.connection.forward_server import CallerExchange

REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
TEXT = (b"Content-Type", b"text/plain")
ERROR = b"data: the engine failed\n\n"
HEAD_IN_BODY = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"
RESUMED_AFTER = 2


def refusal(request: str) -> bytes:
    """Return a refusal as an endpoint writes it, with an id unless that is empty."""
    line = f"X-Attempt-Id: {request}\r\n".encode() if request else b""
    return REFUSAL + line + b"\r\n"


class RepeatingEngine:
    """Refuses its first request; writes that refusal again before the next answer there."""

    def __init__(self, copy: str) -> None:
        self.copy = copy
        self.sock: Any = None

    async def refuse(
        self, endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
    ) -> None:
        """Refuse a request and remember its connection."""
        self.sock = exchange.sock
        identified = [(b"X-Attempt-Id", (arrival.header("X-Attempt-Id") or "").encode())]
        exchange.reply(503, [(b"X-Not-Executed", b"1"), *identified], b"")

    async def repeat(
        self, endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
    ) -> None:
        """Answer, after the earlier refusal if the connection is the same."""
        if exchange.sock is self.sock:
            exchange.server.send(exchange.sock, refusal(self.copy))
        await endpoint.runtime.loop.sleep(0.05)
        await stream(endpoint, exchange, arrival)


def answer(code: int, headers: list[tuple[bytes, bytes]], body: bytes) -> Behaviour:
    """Answer with the proofs of the endpoint and any body."""

    async def behave(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
        exchange.reply(code, [*endpoint.proof(arrival), *headers], body)

    return behave


async def refuse(endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival) -> None:
    """Refuse a request with its id."""
    exchange.reply(503, [*endpoint.proof(arrival), (b"X-Not-Executed", b"1")], b"no room")


ERRORS: dict[str, Behaviour] = {
    "a status 500 and a text": answer(500, [TEXT], b"the engine failed"),
    "a status 404 and a text": answer(404, [TEXT], b"no such model"),
    "a status 404 and a stream of an error": answer(404, [STREAM], ERROR),
    "a status 200 and a text": answer(200, [TEXT], b"the engine failed"),
    "a status 200 and a stream of an error": answer(200, [STREAM], ERROR),
    "a refusal": refuse,
    "a head in the middle of its body": answer(200, [STREAM], HEAD_IN_BODY),
}


@given("an engine that has refused a request on a connection that is kept")
def step_refused(context: Any) -> None:
    context.fleet = None


@when("a {kind} request comes on that connection and the engine writes the refusal {copy} first")
def step_repeated(context: Any, kind: str, copy: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        engine = RepeatingEngine("first" if copy == "with its id" else "")
        fleet.register("e1").behaviours += [engine.refuse, engine.repeat]
        await fleet.start()
        first = await fleet.caller().ask("POST", "/chat/1", attempt="first")
        assert first.status == 503
        fleet.register("e2")
        await fleet.until(lambda: len(fleet.fronts[0].directory.endpoints) == 2)
        other = fleet.endpoints["e2"]
        # Keeps the other engine from being chosen first.
        fleet.announce("e2", state="draining")
        await fleet.loop.sleep(0.6)
        caller = fleet.caller()
        await caller.send("POST", f"/{kind}/2", attempt="second")
        await fleet.until(lambda: len(fleet.endpoints["e1"].arrivals) == 2)
        context.same = engine.sock is not None
        fleet.announce("e2")
        context.answer = await caller.wait()
        await fleet.loop.sleep(0.2)
        context.ran_elsewhere = len(other.arrivals)

    run_with_fleet(context, scenario)


@then("the caller is not told that the request has not run, and no other engine runs it too")
def step_not_told(context: Any) -> None:
    assert context.answer.status not in (429, 503), context.answer.status
    assert context.ran_elsewhere == 0


@when("a refused item is sent to the engine again, which would write the refusal again")
def step_item_again(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        engine = RepeatingEngine("item0")
        endpoint = fleet.register("e1")
        endpoint.behaviours += [engine.refuse, engine.repeat]
        await fleet.start()
        await submit_one(fleet)
        context.results = await read_all(fleet)
        context.runs = len(endpoint.arrivals)

    run_with_fleet(context, scenario)


async def submit_one(fleet: FrontFleet) -> None:
    body = b"""{"items":[{"id":"item0","path":"/bulk/0","headers":{"X-Model":"m"},
        "body":"Ym9keQ==","tokens":10}]}"""
    answer = await fleet.caller().ask("POST", "/bulk/x", body, attempt="job1", deadline_ms=None)
    assert answer.status == 202


@then("the item runs once more and completes")
def step_item_once(context: Any) -> None:
    assert [one["state"] for one in context.results] == ["completed"]
    assert context.runs == 2, context.runs


@given("a stream that has begun and breaks off")
def step_begun(context: Any) -> None:
    context.first = stream_until(RESUMED_AFTER)


@when("the engine that resumes it answers with {error}")
def step_resume_error(context: Any, error: str) -> None:
    _play_resume(context, ERRORS[error])


@when("the engine that resumes it sends all events from the first one on")
def step_resume_anew(context: Any) -> None:
    body = b"".join(event(number) for number in range(1, 6))
    _play_resume(context, answer(200, [STREAM], body))


@when("the engine that resumes it leaves an event out")
def step_resume_gap(context: Any) -> None:
    body = event(RESUMED_AFTER + 2) + event(RESUMED_AFTER + 3)
    _play_resume(context, answer(200, [STREAM], body))


def _play_resume(context: Any, behaviour: Behaviour) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        runs: list[str] = []

        async def behave(
            endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
        ) -> None:
            chosen = behaviour if runs else context.first
            runs.append(endpoint.name)
            await chosen(endpoint, exchange, arrival)

        for name in ("e1", "e2"):
            fleet.register(name).default_behaviour = behave
        await fleet.start()
        context.answer = await fleet.caller().ask("POST", "/tale/1")
        assert len(runs) == 2, runs

    run_with_fleet(context, scenario)


@then("the caller gets events only, and no end that looks complete")
def step_events_only(context: Any) -> None:
    begun = b"".join(event(number) for number in range(1, RESUMED_AFTER + 1))
    assert context.answer.body == begun, context.answer.body
    assert not context.answer.complete


@then("the caller gets each event once")
def step_each_once(context: Any) -> None:
    assert context.answer.body == b"".join(event(number) for number in range(1, 6))
    assert context.answer.complete


@given("a job of which an item is answered with {error}")
def step_job_error(context: Any, error: str) -> None:
    context.error = ERRORS[error]


@when("the item is run again")
def step_item_rerun(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").behaviours.append(context.error)
        await fleet.start()
        await submit_one(fleet)
        context.results = await read_all(fleet)

    run_with_fleet(context, scenario)


@then("its result is the whole output and nothing else")
def step_whole_output(context: Any) -> None:
    output = "\n".join(f"token {number}" for number in range(1, 6))
    assert [one["output"] for one in context.results] == [output], context.results


CUTS = {
    "within a name": b"X-Own",
    "after a line": b"X-Own: kept\r\n",
    "before the end": b"X-Own: kept\r\n\r",
}


@given("an engine that closes {where} of its head, {length} a length")
def step_cut_head(context: Any, where: str, length: str) -> None:
    def head(endpoint: EndpointStandIn, arrival: Arrival) -> bytes:
        lines = [b"%s: %s\r\n" % line for line in [*endpoint.proof(arrival), STREAM]]
        if length == "with":
            lines.append(b"Content-Length: 8\r\n")
        return b"HTTP/1.1 200 OK\r\n" + b"".join(lines) + CUTS[where]

    context.behaviour = raw(head)


@when("a {kind} request gets this head")
def step_ask_cut(context: Any, kind: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name, service in (("e1", "engines"), ("c1", "cards")):
            fleet.register(name, service).default_behaviour = context.behaviour
        await fleet.start()
        context.answer = await fleet.caller().ask("POST", f"/{kind}/1")

    run_with_fleet(context, scenario)


@then("the caller gets no success that is empty or short")
def step_no_success(context: Any) -> None:
    assert context.answer.status in (502, 504), context.answer.status


@when("an engine runs a stream that must not be repeated and answers with status {code:d}")
def step_status(context: Any, code: int) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).default_behaviour = answer(code, [TEXT], b"the engine failed")
        await fleet.start()
        context.answer = await fleet.caller().ask("POST", "/chat/1")
        context.arrivals = sum(len(one.arrivals) for one in fleet.endpoints.values())

    run_with_fleet(context, scenario)


@then("the caller gets a failure that promises nothing, and no other engine runs it")
def step_no_promise(context: Any) -> None:
    assert context.answer.status == 502, context.answer.status
    assert context.arrivals == 1, context.arrivals
