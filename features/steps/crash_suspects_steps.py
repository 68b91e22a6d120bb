"""Steps for the requests that may have caused the crash of an endpoint."""

from typing import Any

from behave import then, when

from features.support.crashing_endpoint import CrashPlan
from features.support.deadly_request_play import DeadlyRequestPlay
from features.support.front_fleet import HOST, FrontFleet, routes
from features.support.loop import run_on_loop
from features.support.platform_endpoint import Arrival, EndpointStandIn, shed, silent
from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.ids import PromptPart
from parsleyrouter.request.fingerprint import fingerprint_of
from parsleyrouter.request.quarantine import ONLINE_DELAY_S, REQUEST_PAUSES_S, TRIAL_TIMEOUT_S
from parsleyrouter.request.request_evidence import REQUEST_CRASHES

SUSPECT, BESIDE = b"suspect", b"beside"


@when("an endpoint crashes after a refusal that is not provably that of its request")
def step_unproven_refusal(context: Any) -> None:
    async def refuse(endpoint: EndpointStandIn, exchange: CallerExchange, _: Arrival) -> None:
        exchange.reply(503, [(b"X-Not-Executed", b"1")], b"")

    async def main(runtime: Any) -> None:
        fleet = FrontFleet(runtime)
        one = DeadlyRequestPlay(fleet, CrashPlan(fleet), "/chat/x")
        endpoint = one.plan.add_endpoint("e0", renamed=False)
        fleet.store.put_json("op/config", routes())
        await fleet.start(1, configured=False)
        front = fleet.fronts[0]
        await fleet.until(lambda: fleet._knows(front))
        for number in range(2):
            fleet.loop.spawn(one.ask(front, b"%d" % number, "own"), "opens a connection")
        await fleet.until(lambda: sum(bool(each.ended_s) for each in endpoint.arrivals) == 2)
        await fleet.loop.sleep(0.1)
        endpoint.behaviours = [silent, refuse]
        fleet.loop.spawn(one.ask(front, BESIDE, "own"), "runs beside")
        await fleet.until(lambda: len(endpoint.arrivals) == 3)
        await one.ask(front, SUSPECT, "own")
        await one.plan.crash(endpoint, renamed=False)
        context.crashes = front.quarantine.evidence.crashes

    run_on_loop(main)


@then("the request is among those that may have crashed it")
def step_is_suspect(context: Any) -> None:
    (crash,) = context.crashes
    names = set(map(_name, (SUSPECT, BESIDE)))
    assert crash.parts == names, (crash.parts, names)


@when("all endpoints refuse the trial of a request in quarantine while its copies come")
def step_refused_trial(context: Any) -> None:
    async def main(runtime: Any) -> None:
        fleet = FrontFleet(runtime)
        one = DeadlyRequestPlay(fleet, CrashPlan(fleet), "/chat/x")
        for number in range(3):
            one.plan.add_endpoint(f"e{number}", renamed=False).default_behaviour = shed
        fleet.store.put_json("op/config", routes())
        await fleet.start(1, configured=False)
        front = fleet.fronts[0]
        await fleet.until(lambda: fleet._knows(front))
        keeper, parts = front.quarantine, frozenset((_name(SUSPECT),))
        keeper.add(parts, {})
        await keeper.records.store_group(parts)
        group = keeper.quarantine.groups[parts]
        group.cut_runs = REQUEST_CRASHES
        group.since_s -= REQUEST_PAUSES_S[0] + ONLINE_DELAY_S
        until_s = fleet.loop.now() + TRIAL_TIMEOUT_S + 1.0
        while fleet.loop.now() < until_s:
            await one.ask(front, SUSPECT, "own")
            await fleet.loop.sleep(0.1)
        context.arrived, context.late = len(one.arrivals_of(SUSPECT)), group.late_requests

    run_on_loop(main)


@then("one copy reaches one endpoint, and the trial counts")
def step_one_copy(context: Any) -> None:
    assert (context.arrived, context.late) == (1, 1), (context.arrived, context.late)


def _name(body: bytes) -> PromptPart:
    return fingerprint_of(HOST, "POST", "/chat/x", body)
