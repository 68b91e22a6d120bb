"""Steps for the batch jobs of customers, at real front processes with stand-ins."""

import json
from typing import Any

from behave import then, when

from features.steps.explain_steps import explain
from features.steps.front_jobs_steps import items
from features.steps.front_requests_steps import run_with_fleet
from features.support.customer_fleet import (
    customer_routes,
    ready,
    start_customers,
    told,
)
from features.support.front_fleet import CallerAnswer, FrontFleet, routes
from features.support.platform_endpoint import silent

JOB = "job1"

CALLS: dict[str, tuple[str, str, bytes]] = {
    "submit the job": ("POST", "/bulk/x", json.dumps({"items": items()}).encode()),
    "submit invalid text": ("POST", "/bulk/x", b"no json"),
    "read the results": ("GET", f"/lots/{JOB}?after=0", b""),
    "read an item's body": ("GET", f"/items/{JOB}?id=item1", b""),
    "end the job": ("DELETE", f"/lots/{JOB}", b""),
}


async def call(
    fleet: FrontFleet, what: str, *keys: str, node: int = 0, job: str = JOB, path: str = "/bulk/"
) -> CallerAnswer:
    """Make a call about a job with keys, each in a header of its own."""
    method, target, body = CALLS[what]
    target = target.replace(JOB, job).replace("/bulk/", path)
    body = body.replace(b"/bulk/", path.encode())
    headers = [("X-Credential", key) for key in keys]
    if what == "read the results":
        headers.append(("X-Wait-Ms", "300"))
    caller = fleet.caller(fleet.fronts[node])
    return await caller.ask(method, target, body, attempt=job, deadline_ms=None, headers=headers)


async def submit(fleet: FrontFleet, *keys: str, **named: Any) -> CallerAnswer:
    return await call(fleet, "submit the job", *keys, **named)


async def read_all(fleet: FrontFleet, *keys: str, node: int = 0, job: str = JOB) -> list[Any]:
    """Read the results until all are there; return none of a job that is not found."""
    until_s = fleet.loop.now() + 8.0
    while fleet.loop.now() < until_s:
        answer = await call(fleet, "read the results", *keys, node=node, job=job)
        if answer.status != 200:
            return []
        page = json.loads(answer.body)
        if page["total"] == len(page["results"]):
            results: list[Any] = page["results"]
            return results
    raise AssertionError("not all results came in time")


async def until_quiet(fleet: FrontFleet) -> None:
    """Wait until the nodes read no records of their own, as they do while they close a job."""
    jobs = fleet.fronts[0].job_directory.jobs
    await fleet.until(lambda: not any(view.open for view in jobs.values()))
    reads = -1
    while reads != (reads := sum("/kv-key" in one for one in fleet.store.faults.calls)):
        await fleet.loop.sleep(0.5)


def runs_of(fleet: FrontFleet) -> list[str]:
    """Return the ids of the items that ran, sorted."""
    return sorted(one.header("X-Attempt-Id") or "" for one in fleet.endpoints["e1"].arrivals)


ALL_ITEMS = sorted(one["id"] for one in items())


@when("a customer submits a job and calls about it with its other key at another node")
def step_other_key(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet, 2)
        await ready(fleet)
        fleet.endpoints["e1"].gap_s = 0.1
        await submit(fleet, "ant-key-1")
        context.body = await call(fleet, "read an item's body", "ant-key-2", node=1)
        context.results = await read_all(fleet, "ant-key-2", node=1)
        context.end = await call(fleet, "end the job", "ant-key-2", node=1)

    run_with_fleet(context, scenario)


@then("all items are read, a body is returned, the end is confirmed and the items ran once")
def step_other_key_works(context: Any) -> None:
    assert context.body.body == b"body 1", context.body.body
    assert sorted(one["id"] for one in context.results) == ALL_ITEMS
    assert context.end.status == 200 and runs_of(context.fleet) == ALL_ITEMS


@when("another customer calls to {what} of a job, and of one that does not exist")
def step_other_customer(context: Any, what: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        await submit(fleet, "ant-key-1")
        context.results = await read_all(fleet, "ant-key-1")
        await until_quiet(fleet)
        context.answers, context.calls = [], []
        for job in (JOB, "job9"):
            before = len(fleet.store.faults.calls)
            answer = await call(fleet, what, "bee-key-1", job=job)
            made = [one for one in fleet.store.faults.calls[before:] if "/kv-key" in one]
            context.calls.append(made)
            context.answers.append((answer.status, answer.headers, answer.body))
        context.again = await read_all(fleet, "ant-key-1")

    run_with_fleet(context, scenario)


@then("both answers and their calls to the store are the same, and the job goes on")
def step_same_answers(context: Any) -> None:
    assert context.answers[0] == context.answers[1] and context.answers[0][0] == 404
    assert [len(one) for one in context.calls] == [1, 1], context.calls
    assert context.again == context.results and len(context.again) == len(ALL_ITEMS)


@when("two customers submit different jobs under one id")
def step_same_id(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        context.results = {}
        for number, key in enumerate(("ant-key-1", "bee-key-1")):
            body = json.dumps({"items": items(2 + number)}).encode()
            caller = fleet.caller()
            answer = await caller.ask(
                "POST", "/bulk/x", body, attempt=JOB, headers=[("X-Credential", key)]
            )
            assert answer.status == 202, answer.status
        for key in ("ant-key-2", "bee-key-1"):
            context.results[key] = await read_all(fleet, key)

    run_with_fleet(context, scenario)


@then("each reads the results of its own")
def step_own_results(context: Any) -> None:
    assert [len(one) for one in context.results.values()] == [2, 3], context.results


@when("a job is submitted again with the other key of its customer at another node")
def step_submit_again(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet, 2)
        await ready(fleet)
        context.statuses = [
            (await submit(fleet, "ant-key-1")).status,
            (await submit(fleet, "ant-key-2", node=1)).status,
        ]
        context.results = await read_all(fleet, "ant-key-1")

    run_with_fleet(context, scenario)


@then("both submissions are accepted and each item ran once")
def step_accepted_once(context: Any) -> None:
    assert context.statuses == [202, 202], context.statuses
    assert runs_of(context.fleet) == ALL_ITEMS, runs_of(context.fleet)


@when("a call to {what} of a job has no key, an unknown one or two different ones")
def step_no_key(context: Any, what: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        closed = customer_routes(2)
        closed["routes"] = [one for one in closed["routes"] if "allowAnonymous" not in one]
        fleet.store.put_json("op/config", closed)
        await fleet.until(lambda: fleet.fronts[0].routes.version == 2)
        await submit(fleet, "ant-key-1")
        context.statuses = [
            (await call(fleet, what, *keys)).status
            for keys in ((), ("unknown",), ("ant-key-1", "ant-key-2"))
        ]

    run_with_fleet(context, scenario)


@then("each of these calls is refused with 401")
def step_calls_refused(context: Any) -> None:
    assert context.statuses == [401, 401, 401], context.statuses


@when("the key of a job is taken away before its items run")
def step_job_key_taken_away(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        fleet.endpoints["e1"].gap_s = 0.1
        await submit(fleet, "ant-key-1")
        table = customer_routes(2, keys={"ant": ["ant-key-2"], "bee": ["bee-key-1"]})
        table["routes"] = [one for one in table["routes"] if "allowAnonymous" not in one]
        fleet.store.put_json("op/config", table)
        await fleet.until(lambda: fleet.fronts[0].routes.version == 2)
        context.former = await call(fleet, "read the results", "ant-key-1")
        context.results = await read_all(fleet, "ant-key-2")

    run_with_fleet(context, scenario)


@then("all items run, the other key reads them and the former one is refused")
def step_job_outlives_key(context: Any) -> None:
    assert context.former.status == 401, context.former.status
    assert sorted(one["id"] for one in context.results) == ALL_ITEMS


@when("a job is submitted whose items have headers with a key and another name")
def step_item_headers(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        forged = {"x-credential": "ant-key-1", "X-Tenant": "bee", "X-Model": "m"}
        body = json.dumps({"items": [one | {"headers": forged} for one in items()]}).encode()
        await fleet.caller().ask(
            "POST", "/bulk/x", body, attempt=JOB, headers=[("X-Credential", "ant-key-1")]
        )
        await read_all(fleet, "ant-key-1")

    run_with_fleet(context, scenario)


@then("the endpoint is told the customer with each item, and neither it nor the store gets a key")
def step_items_named(context: Any) -> None:
    fleet: FrontFleet = context.fleet
    assert told(fleet, "e1") == [["ant"]] * len(ALL_ITEMS), told(fleet, "e1")
    assert all(one.header("X-Model") == "m" for one in fleet.endpoints["e1"].arrivals)
    assert "-key-" not in repr([one.headers for one in fleet.endpoints["e1"].arrivals])
    stored = [row.value for key, row in fleet.store.rows.items() if key != "op/config"]
    assert not any(b"-key-" in value for value in stored)


@when("customers appear after a job was accepted")
def step_customers_appear(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        assert (await submit(fleet)).status == 202
        table = customer_routes(2)
        table["routes"] = [one for one in table["routes"] if "allowAnonymous" not in one]
        fleet.store.put_json("op/config", table)
        await fleet.until(lambda: fleet.fronts[0].routes.version == 2)
        context.results = [await read_all(fleet, key) for key in ("ant-key-1", "bee-key-1")]
        context.again = await submit(fleet, "ant-key-1")
        context.without = await call(fleet, "read the results")

    run_with_fleet(context, scenario)


@then("any key reads the job, submitting it again is confirmed, and no key is refused")
def step_any_key(context: Any) -> None:
    assert [len(one) for one in context.results] == [len(ALL_ITEMS)] * 2
    assert (context.again.status, context.without.status) == (202, 401)
    assert runs_of(context.fleet) == ALL_ITEMS


@when("a job is submitted without a key on an anonymous route, and the route is removed")
def step_anonymous_job(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        await submit(fleet, path="/openbulk/")
        context.results = [await read_all(fleet)]
        table = customer_routes(2)
        table["routes"] = [one for one in table["routes"] if "allowAnonymous" not in one]
        fleet.store.put_json("op/config", table)
        await fleet.until(lambda: fleet.fronts[0].routes.version == 2)
        context.results.append(await read_all(fleet))

    run_with_fleet(context, scenario)


@then("it was read without a key before and after, and its items name no customer")
def step_anonymous_read(context: Any) -> None:
    assert [len(one) for one in context.results] == [len(ALL_ITEMS)] * 2
    assert told(context.fleet, "e1") == [[]] * len(ALL_ITEMS)


@when("a customer submits a job with its key on an anonymous route")
def step_named_anonymous(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        await submit(fleet, "ant-key-1", path="/openbulk/")
        context.results = await read_all(fleet, "ant-key-2")
        context.without = await call(fleet, "read the results")

    run_with_fleet(context, scenario)


@then("it reads the job with its other key, and a caller without a key finds none")
def step_named_anonymous_read(context: Any) -> None:
    assert len(context.results) == len(ALL_ITEMS) and context.without.status == 404
    assert told(context.fleet, "e1") == [["ant"]] * len(ALL_ITEMS)


@when("the route of a customer's job is removed")
def step_remove_route(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        await submit(fleet, "ant-key-1")
        await read_all(fleet, "ant-key-1")
        table = customer_routes(2)
        table["routes"] = [one for one in table["routes"] if one["kind"] != "batch"]
        fleet.store.put_json("op/config", table)
        await fleet.until(lambda: fleet.fronts[0].routes.version == 2)
        context.results = await read_all(fleet, "ant-key-2")
        context.again = await submit(fleet, "ant-key-2")
        context.others = [
            (await call(fleet, "read the results", "bee-key-1")).status,
            (await submit(fleet, "bee-key-1")).status,
            (await call(fleet, "read the results")).status,
        ]

    run_with_fleet(context, scenario)


@then("the customer reads the job and another finds none")
def step_removed_route(context: Any) -> None:
    assert len(context.results) == len(ALL_ITEMS) and context.again.status == 202
    assert context.others == [404, 404, 401], context.others


def limited(version: int, **more: Any) -> dict[str, Any]:
    """Return a configuration whose batch route takes the tokens of one job and a half."""
    table = customer_routes(version) | more
    table["routes"] = [
        one | ({"maxCount": 60} if one["kind"] == "batch" else {}) for one in table["routes"]
    ]
    return table


async def start_limited(fleet: FrontFleet, nodes: int = 1, **more: Any) -> None:
    await start_customers(fleet, nodes)
    fleet.store.put_json("op/config", limited(2, **more))
    await fleet.until(lambda: all(front.routes.version == 2 for front in fleet.fronts))
    await ready(fleet)


@when("one customer fills its limit on waiting tokens")
def step_fill(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_limited(fleet)
        fleet.endpoints["e1"].default_behaviour = silent
        context.statuses = [
            (await submit(fleet, key, job=job)).status
            for key, job in (("ant-key-1", "a"), ("ant-key-2", "b"), ("bee-key-1", "c"))
        ]

    run_with_fleet(context, scenario)


@then("its next job is refused, and that of another customer is accepted")
def step_filled(context: Any) -> None:
    assert context.statuses == [202, 429, 202], context.statuses


@when("a customer fills its limit and its items are finished")
def step_fill_and_finish(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_limited(fleet)
        assert (await submit(fleet, "ant-key-1")).status == 202
        await read_all(fleet, "ant-key-1")
        until_s = fleet.loop.now() + 3.0
        context.answer = await submit(fleet, "ant-key-1", job="job2")
        while context.answer.status == 429 and fleet.loop.now() < until_s:
            await fleet.loop.sleep(0.05)
            context.answer = await submit(fleet, "ant-key-1", job="job2")

    run_with_fleet(context, scenario)


@then("its next job is accepted")
def step_next_accepted(context: Any) -> None:
    assert context.answer.status == 202, context.answer.status


NAMES = {
    "a name with slashes": "a/b/../c~d e",
    "a name of 200 characters": "n" * 200,
    "a name of other scripts": "çédille 顧客",
}


@when("a customer with {name} submits a job within a limit on waiting tokens")
def step_odd_name(context: Any, name: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        held = [{"name": NAMES[name], "apiKeys": ["odd-key-1"]}]
        await start_limited(fleet, 2, tenants=held)
        context.statuses = [
            (await submit(fleet, "odd-key-1", job=job, node=node)).status
            for node, job in enumerate(("a", "b"))
        ]
        await read_all(fleet, "odd-key-1", job="a")

    run_with_fleet(context, scenario)
    context.name = NAMES[name]


@then("its keys in the store are at most 200 bytes of plain ASCII, and all nodes count its tokens")
def step_odd_keys(context: Any) -> None:
    fleet: FrontFleet = context.fleet
    keys = [key for key in fleet.store.rows if key.startswith("parsley/")]
    assert any(key.startswith("parsley/live/quota/bulk~") for key in keys), keys
    assert all(key.isascii() and " " not in key and len(key) <= 200 for key in keys), keys
    named = told(fleet, "e1")
    assert named and all(len(one) == 1 for one in named)
    assert {one[0].encode("latin-1").decode() for one in named} == {context.name}
    assert context.statuses[0] == 202 and context.statuses[1] in (202, 429)


@when("a job is submitted within a limit on waiting tokens and there are no customers")
def step_limit_without_customers(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        table = routes(2)
        table["routes"] = [one | {"maxCount": 600} for one in table["routes"]]
        fleet.store.put_json("op/config", table)
        await fleet.until(lambda: fleet.fronts[0].routes.version == 2)
        context.answer = await submit(fleet)

    run_with_fleet(context, scenario)


@then("the keys of its limit name the route only")
def step_route_keys(context: Any) -> None:
    assert context.answer.status == 202
    keys = sorted(key for key in context.fleet.store.rows if "/quota/" in key)
    assert keys == [f"parsley/live/quota/bulk/{index}" for index in range(8)], keys
    assert f"parsley/live/job/{JOB}/record" in context.fleet.store.rows


@when("the job of a customer is explained by its id")
def step_explain_job(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        await submit(fleet, "ant-key-1", job="theirs")
        await read_all(fleet, "ant-key-1", job="theirs")

    context.explanation = explain(context, scenario, "theirs")


@then("the explanation has the call, the customer and the lines of the stored job")
def step_job_explained(context: Any) -> None:
    for text in ("job call answered", 'customer="ant"', "item run ended", "results listed"):
        assert text in context.explanation, (text, context.explanation)


@when("the host takes jobs without a key and calls come with a key that is not known")
def step_open_host(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start_customers(fleet)
        await ready(fleet)
        await submit(fleet, path="/openbulk/", job="free")
        await submit(fleet, "ant-key-1", job="theirs")
        context.statuses = [
            (await call(fleet, "read the results", "ant-key-9", job=job)).status
            for job in ("free", "theirs", "none")
        ]

    run_with_fleet(context, scenario)


@then("the job without a customer is read, and that of a customer and an unknown one get 401")
def step_open_host_read(context: Any) -> None:
    assert context.statuses == [200, 401, 401], context.statuses
