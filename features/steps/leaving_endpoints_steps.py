"""Steps for endpoints that say in their answers that they leave."""

import time
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from features.steps.front_jobs_steps import ITEMS, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet
from features.support.platform_endpoint import Behaviour, shed, status, stream, stream_until, whole
from parsleyrouter.ids import EndpointId

LEAVING = (b"Server-Leaving", b"1")
CALLS = 12
BROKEN_STREAMS = 12

ANSWERS: dict[str, tuple[str, str, Behaviour]] = {
    "the body of a document": ("c1", "/card/", whole),
    "the head of a stream": ("e1", "/chat/", stream),
    "a refusal": ("c1", "/card/", shed),
    "its own failure": ("c1", "/card/", status(500)),
}

EVENTS: dict[str, Callable[[FrontFleet], None]] = {}


def event(name: str) -> Callable[[Callable[[FrontFleet], None]], Callable[[FrontFleet], None]]:
    """Register what happens after an endpoint said that it leaves."""

    def register(function: Callable[[FrontFleet], None]) -> Callable[[FrontFleet], None]:
        EVENTS[name] = function
        return function

    return register


@event("its registration is written as ready again")
def _written(fleet: FrontFleet) -> None:
    fleet.announce("c1", "cards", sequence=2)


@event("the store does not answer")
def _silent(fleet: FrontFleet) -> None:
    fleet.store.faults.silent = True


@event("all registrations are listed anew")
def _listed(fleet: FrontFleet) -> None:
    fleet.store.forget_history()
    fleet.announce("c2", "cards", sequence=2)


@event("its start before that answer is read late")
def _started_before(fleet: FrontFleet) -> None:
    fleet.announce("c1", "cards", sequence=2, born=int(time.time() * 1000) - 1000)


@event("its registration expires and is written again")
def _expired(fleet: FrontFleet) -> None:
    fleet.store.remove("servers/c1")
    fleet.loop.call_later(0.4, lambda: fleet.announce("c1", "cards", sequence=2))


@given("two endpoints of each service that are registered as ready")
def step_two(context: Any) -> None:
    context.names = {"c1": "cards", "c2": "cards", "e1": "engines", "e2": "engines"}


async def start(context: Any, fleet: FrontFleet) -> None:
    for name, service in context.names.items():
        fleet.register(name, service)
    await fleet.start()


async def leave(fleet: FrontFleet, name: str, prefix: str = "/card/") -> None:
    """Ask until an endpoint has said in an answer that it leaves."""
    endpoint = fleet.endpoints[name]
    endpoint.headers.append(LEAVING)
    before = len(endpoint.arrivals)
    for number in range(50):
        if len(endpoint.arrivals) > before:
            return
        await fleet.caller().ask("POST", f"{prefix}{number}", attempt=f"l{number}")
    raise AssertionError("the endpoint got no request")


async def ask_on(context: Any, fleet: FrontFleet, name: str, prefix: str) -> None:
    before = len(fleet.endpoints[name].arrivals)
    asked = [fleet.caller() for _ in range(CALLS)]
    answers = [
        await one.ask("POST", f"{prefix}{number}", attempt=f"a{number}")
        for number, one in enumerate(asked)
    ]
    context.later = len(fleet.endpoints[name].arrivals) - before
    context.statuses = [one.status for one in answers]


@when("one of them says in {answer} that it leaves and callers go on")
def step_says(context: Any, answer: str) -> None:
    name, prefix, behaviour = ANSWERS[answer]

    async def scenario(fleet: FrontFleet) -> None:
        await start(context, fleet)
        fleet.endpoints[name].default_behaviour = behaviour
        await leave(fleet, name, prefix)
        await ask_on(context, fleet, name, prefix)

    run_with_fleet(context, scenario)


@when("one of them says in the body of a document that it leaves and then {happening}")
def step_says_then(context: Any, happening: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start(context, fleet)
        await leave(fleet, "c1")
        EVENTS[happening](fleet)
        await fleet.loop.sleep(1.2)
        await ask_on(context, fleet, "c1", "/card/")

    run_with_fleet(context, scenario)


@then("it gets no further request, and all callers are served by the other one")
def step_none_later(context: Any) -> None:
    assert context.later == 0, context.later
    assert context.statuses == [200] * CALLS, context.statuses


@when("one of them says that it leaves and then starts again")
def step_restart(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start(context, fleet)
        await leave(fleet, "c1")
        fleet.endpoints["c1"].headers.clear()
        born = int(time.time() * 1000) + 1
        fleet.announce("c1", "cards", born=born)
        # Otherwise placement may prefer the other one for its speed.
        fleet.announce("c2", "cards", state="draining")
        known = fleet.fronts[0].directory.endpoints
        await fleet.until(
            lambda: known[EndpointId("c1")].started_ms == born and known[EndpointId("c2")].leaving
        )
        await ask_on(context, fleet, "c1", "/card/")

    run_with_fleet(context, scenario)


@then("it gets requests again")
def step_some_later(context: Any) -> None:
    assert context.later == CALLS, context.later
    assert context.statuses == [200] * CALLS, context.statuses


@when("an engine says that it leaves, a job is submitted and a stream breaks off at the other")
def step_other_kinds(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        context.names["e3"] = "engines"
        await start(context, fleet)
        await leave(fleet, "e1", "/chat/")
        before = len(fleet.endpoints["e1"].arrivals)
        for number in range(BROKEN_STREAMS):
            for name in ("e2", "e3"):
                fleet.endpoints[name].behaviours[:] = [stream_until(2)]
            await fleet.caller().ask("POST", "/tale/1", attempt=f"t{number}")
        for name in ("e2", "e3"):
            fleet.endpoints[name].behaviours.clear()
        assert (await submit(fleet)).status == 202
        context.results = await read_all(fleet)
        context.later = len(fleet.endpoints["e1"].arrivals) - before

    run_with_fleet(context, scenario)


@then("the engine that leaves gets neither items nor the rest of the stream")
def step_no_rest(context: Any) -> None:
    assert context.later == 0
    assert len(context.results) == ITEMS


@when("all endpoints of a service say that they leave and a caller asks")
def step_all_leave(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start(context, fleet)
        await leave(fleet, "c1")
        await leave(fleet, "c2")
        begun_s = fleet.loop.now()
        context.answer = await fleet.caller().ask("POST", "/card/1")
        context.took_s = fleet.loop.now() - begun_s

    run_with_fleet(context, scenario)


@then("the caller is told at once that the request has not run and when to come again")
def step_rejected(context: Any) -> None:
    assert context.answer.status == 503
    assert float(context.answer.headers["Retry-After"]) > 0
    assert context.took_s < 0.2


@when("the address of an endpoint is answered by another one that leaves")
def step_misdirected(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start(context, fleet)
        endpoint = fleet.endpoints["c1"]
        endpoint.name = "another"
        await leave(fleet, "c1")
        directory = fleet.fronts[0].directory
        context.leaving = directory.is_leaving(directory.endpoints[EndpointId("c1")])

    run_with_fleet(context, scenario)


@then("the expected endpoint does not count as leaving")
def step_not_leaving(context: Any) -> None:
    assert not context.leaving
