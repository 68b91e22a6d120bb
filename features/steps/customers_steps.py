"""Steps for customers and their keys, at real front processes with stand-ins."""

import re
from typing import Any

from behave import then, when
from prometheus_client import generate_latest

from features.steps.front_requests_steps import run_with_fleet
from features.support.customer_fleet import (
    ask_with,
    bytes_received,
    configure,
    customer_routes,
    ready,
    start_customers,
    told,
)
from features.support.front_fleet import FrontFleet
from features.support.platform_endpoint import stream_until
from parsleyrouter.customers import SuspendedTime

REVOKE_S = 0.8
"""Bound of revocation in these tests, shorter than that of any deployment."""

WAYS: dict[str, list[tuple[str, str]]] = {
    "alone": [("X-Credential", "ant-key-1")],
    "in a header of another spelling": [("x-cREDENTIAL", "ant-key-1")],
    "twice": [("X-Credential", "ant-key-1"), ("x-credential", "ant-key-1")],
    "with the name of another customer": [("X-Credential", "ant-key-1"), ("x-tenant", "bee")],
    "with two names of customers": [
        ("X-Tenant", "bee"),
        ("X-Credential", "ant-key-1"),
        ("X-TENANT", "ant"),
    ],
    "with both headers named as hop-by-hop": [
        ("Connection", "X-Credential, X-Tenant"),
        ("X-Credential", "ant-key-1"),
        ("X-Tenant", "bee"),
    ],
}

KEY_SETS: dict[str, list[str]] = {
    "no key": [],
    "an unknown key": ["unknown-key"],
    "an empty key": [""],
    "a known key": ["ant-key-1"],
    "keys of two customers": ["ant-key-1", "bee-key-1"],
    "two keys of one customer": ["ant-key-1", "ant-key-2"],
    "two keys in one header": ["ant-key-1, ant-key-1"],
    "a key of another case": ["ANT-KEY-1"],
}


@when("a request comes with the key of a customer {way}")
def step_send_key(context: Any, way: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        context.answer = await fleet.caller().ask("POST", "/card/1", headers=WAYS[way])

    run_with_fleet(context, scenario)


@then("the endpoint is told the customer once and gets no key")
def step_told_once(context: Any) -> None:
    assert context.answer.status == 200, context.answer.status
    assert told(context.fleet) == [["ant"]], told(context.fleet)
    assert "-key-" not in bytes_received(context.fleet)


@when("a stream of a customer is resumed at another endpoint")
def step_resume(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        fleet.register("e2")
        await ready(fleet)
        for endpoint in ("e1", "e2"):
            fleet.endpoints[endpoint].behaviours = [stream_until(2)]
        context.answer = await ask_with(fleet.caller(), "bee-key-1", target="/tale/1")

    run_with_fleet(context, scenario)


@then("both endpoints were told the customer and got no key")
def step_resumed(context: Any) -> None:
    fleet: FrontFleet = context.fleet
    assert context.answer.status == 200
    assert told(fleet, "e1") + told(fleet, "e2") == [["bee"], ["bee"]]
    assert "-key-" not in bytes_received(fleet)


@when("a request to a route of customers comes with {keys}")
def step_send_keys(context: Any, keys: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        context.answer = await ask_with(fleet.caller(), *KEY_SETS[keys])

    run_with_fleet(context, scenario)


@then("the answer is 401 and names the header, and no endpoint gets the request")
def step_refused(context: Any) -> None:
    assert context.answer.status == 401, context.answer.status
    assert b"x-credential" in context.answer.body and b"-key-" not in context.answer.body
    assert not told(context.fleet)


@when("a request to an anonymous route comes with {keys}")
def step_anonymous(context: Any, keys: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        forged = [("X-Tenant", "bee")]
        context.answer = await ask_with(
            fleet.caller(), *KEY_SETS[keys], target="/open/1", headers=forged
        )

    run_with_fleet(context, scenario)


@then("it is served and the endpoint is told {customer}")
def step_anonymous_served(context: Any, customer: str) -> None:
    assert context.answer.status == 200, context.answer.status
    assert told(context.fleet) == [[] if customer == "none" else [customer]]
    assert "-key" not in bytes_received(context.fleet)


@when("a request without a key names a route that does not exist")
def step_no_route(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        context.answer = await fleet.caller().ask("POST", "/none/1")

    run_with_fleet(context, scenario)


@when("a request with a key comes to a node that knows no configuration")
def step_no_configuration(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(configured=False)
        context.answer = await ask_with(fleet.caller(), "unknown-key")

    run_with_fleet(context, scenario)


@then("the request is answered with {status:d}")
def step_answer_status(context: Any, status: int) -> None:
    assert context.answer.status == status, context.answer.status


@when("both headers are sent and the configuration has no customers")
def step_no_customers(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        await fleet.start()
        headers = [("X-Credential", "some-key"), ("x-Tenant", "a"), ("x-tenant", "b")]
        context.answer = await fleet.caller().ask("POST", "/card/1", headers=headers)

    run_with_fleet(context, scenario)


@then("the endpoint gets both headers as sent")
def step_headers_as_sent(context: Any) -> None:
    assert context.answer.status == 200
    (arrival,) = context.fleet.endpoints["c1"].arrivals
    kept = [one for one in arrival.headers if one[0].lower() in ("x-credential", "x-tenant")]
    assert kept == [("X-Credential", "some-key"), ("x-Tenant", "a"), ("x-tenant", "b")], kept


@when("the key of a kept connection is taken away")
def step_take_key_away(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        caller = fleet.caller()
        context.before = (await ask_with(caller, "ant-key-1")).status
        await configure(fleet, 2, keys={"ant": ["ant-key-2"], "bee": ["bee-key-1"]})
        context.answer = await ask_with(caller, "ant-key-1")
        context.after = (await ask_with(caller, "ant-key-2")).status

    run_with_fleet(context, scenario)


@then("the next request there is refused with 401, and another key works on the same connection")
def step_taken_away(context: Any) -> None:
    assert (context.before, context.answer.status, context.after) == (200, 401, 200)


@when("the key of a kept connection is given to another customer")
def step_move_key(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        caller = fleet.caller()
        await ask_with(caller, "ant-key-1")
        await configure(fleet, 2, keys={"ant": ["ant-key-2"], "bee": ["ant-key-1"]})
        await ask_with(caller, "ant-key-1")

    run_with_fleet(context, scenario)


@then("the next request there names the new customer")
def step_moved(context: Any) -> None:
    assert told(context.fleet) == [["ant"], ["bee"]], told(context.fleet)


@when("a key is added after a request that was refused for it")
def step_add_key(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        caller = fleet.caller()
        context.before = (await ask_with(caller, "cat-key-1")).status
        await configure(fleet, 2, keys={"cat": ["cat-key-1"]})
        context.answer = await ask_with(caller, "cat-key-1")

    run_with_fleet(context, scenario)


@then("the next request there is served")
def step_added(context: Any) -> None:
    assert (context.before, context.answer.status) == (401, 200)
    assert told(context.fleet) == [["cat"]]


@when("a version without a key is followed by an older one that has it")
def step_older_version(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet, 2)
        await ready(fleet)
        await configure(fleet, 3, keys={"ant": ["ant-key-2"]})
        older = fleet.store.put_json("op/config", {"version": 2, "tenants": []})
        await fleet.until(lambda: all(_has_read(front, older) for front in fleet.fronts))
        context.statuses = [
            (await ask_with(fleet.caller(front), "ant-key-1")).status for front in fleet.fronts
        ]

    run_with_fleet(context, scenario)


def _has_read(front: Any, revision: int) -> bool:
    return (front.reader.watched_prefix("op/").revision or 0) >= revision


@then("the key is refused at every node")
def step_refused_everywhere(context: Any) -> None:
    assert context.statuses == [401, 401], context.statuses


@when("a key is taken away and the store stops answering")
def step_store_down(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        front = await start_customers(fleet, revoke_within_s=REVOKE_S)
        await ready(fleet)
        await configure(fleet, 2, keys={"ant": ["ant-key-2"]})
        fleet.store.faults.refuse = 503
        await fleet.until(lambda: front.reader.answer_age_s("op/") > 2 * REVOKE_S)
        caller = fleet.caller()
        context.statuses = [
            (await ask_with(caller, key)).status for key in ("ant-key-1", "ant-key-2")
        ]

    run_with_fleet(context, scenario)


@then("the key is refused and the others work beyond the bound of revocation")
def step_store_down_served(context: Any) -> None:
    assert context.statuses == [401, 200], context.statuses


REVOKED_AFTER_OUTAGE_S = 5.0
"""Bound of revocation of a deployment that names none."""


@when("a key is taken away while the store refuses all calls, and the store answers again")
def step_outage(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet, 3)
        await ready(fleet)
        callers = [fleet.caller(front) for front in fleet.fronts]
        fleet.store.faults.refuse = 503
        fleet.store.put_json("op/config", customer_routes(2, keys={"ant": ["ant-key-2"]}))
        await fleet.loop.sleep(1.5)
        context.during = [(await ask_with(caller, "ant-key-1")).status for caller in callers]
        fleet.store.faults.refuse = 0
        until_s = fleet.loop.now() + REVOKED_AFTER_OUTAGE_S
        context.statuses = []
        while set(context.statuses) != {401} and fleet.loop.now() < until_s:
            await fleet.loop.sleep(0.05)
            context.statuses = [(await ask_with(caller, "ant-key-1")).status for caller in callers]

    run_with_fleet(context, scenario)


@then("every node refuses the key within the bound of revocation, which served it until then")
def step_outage_ends(context: Any) -> None:
    assert context.during == [200, 200, 200], context.during
    assert context.statuses == [401, 401, 401], context.statuses


async def _outlast_bound(context: Any, fleet: FrontFleet) -> None:
    front = await start_customers(fleet, strict_revocation=True, revoke_within_s=REVOKE_S)
    await ready(fleet)
    fleet.store.faults.refuse = 503
    await fleet.until(lambda: front.reader.answer_age_s("op/") > REVOKE_S)
    caller = fleet.caller()
    context.statuses = [
        (await ask_with(caller, "ant-key-1")).status,
        (await ask_with(caller, "unknown-key")).status,
        (await ask_with(caller, "ant-key-1", target="/open/1")).status,
    ]


@when("the store stops answering beyond the bound of strict revocation")
def step_strict(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await _outlast_bound(context, fleet)

    run_with_fleet(context, scenario)


@then("requests that need a key get 503, an unknown key 401, an anonymous route is served")
def step_strict_refuses(context: Any) -> None:
    assert context.statuses == [503, 401, 200], context.statuses


@when("the store answers again after the bound of strict revocation")
def step_strict_ends(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await _outlast_bound(context, fleet)
        fleet.store.faults.refuse = 0
        reader = fleet.fronts[0].reader
        await fleet.until(lambda: reader.answer_age_s("op/") < REVOKE_S / 2)
        context.answer = await ask_with(fleet.caller(), "ant-key-1")

    run_with_fleet(context, scenario)


@then("requests that need a key are served")
def step_strict_served(context: Any) -> None:
    assert context.answer.status == 200, context.answer.status


UNCHANGED_REVOKE_S = 2.0
UNCHANGED_S = 6.0
"""Time without changes: that in which a started node reads often, and twice the bound."""


@when("the store has no changes for longer than the bound of strict revocation")
def step_unchanged(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet, strict_revocation=True, revoke_within_s=UNCHANGED_REVOKE_S)
        await ready(fleet)
        caller, until_s = fleet.caller(), fleet.loop.now() + UNCHANGED_S
        context.statuses = set()
        while fleet.loop.now() < until_s:
            context.statuses.add((await ask_with(caller, "ant-key-1")).status)
            await fleet.loop.sleep(0.1)

    run_with_fleet(context, scenario)


@then("every request with a key is served")
def step_unchanged_served(context: Any) -> None:
    assert context.statuses == {200}, context.statuses


@when("a node is suspended after an answer of the store")
def step_suspend(context: Any) -> None:
    suspended = SuspendedTime()
    suspended.note(100.0, 7.0)
    answered_s = 101.0
    context.ages = [suspended.age_s(102.0, answered_s)]
    suspended.note(103.0, 7.0 + 40.0)
    context.ages.append(suspended.age_s(103.0, answered_s))
    context.ages.append(suspended.age_s(104.0, 103.5))


@then("the age of the answer includes it until the store has answered again")
def step_suspended_age(context: Any) -> None:
    assert context.ages == [1.0, 42.0, 0.5], context.ages


def metric_lines(fleet: FrontFleet, name: str) -> dict[str, float]:
    """Return the samples of a metric by their labels."""
    text = generate_latest(fleet.runtime.metrics).decode()
    found = re.findall(rf"^{name}\{{(.*)\}} (\S+)$", text, re.M)
    return {labels: float(value) for labels, value in found}
