"""Steps for jobs whose node meets errors between two states of an item."""

import json
from typing import Any

from behave import given, then, when

from features.steps.front_jobs_steps import ITEMS, item_runs, items, read, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet, routes
from parsleyrouter.process.shared_job_store import JobKeys
from parsleyrouter.request.shared_job import JobState

CALLS = {
    "a listing": "parsley/result/job1/",
    "a claim": "parsley/live/job/job1/owner",
    "a read of a job's items": "prefix=parsley%2Fitems%2Fjob1",
    "a read of saved progress": "key=parsley%2Fsaved%2Fjob1",
    "a close": '"state":"done"',
}
SEVERAL = 2
SETTLED_S = 0.5


def odd_text(reply: str) -> str:
    """Return a text that occurs in the calls of a kind only."""
    return "parsley/live/job/job1" if reply == "a close" else CALLS[reply]


@given("a store whose reply to {reply} cannot be read")
def step_odd_reply(context: Any, reply: str) -> None:
    context.reply = reply


def play_job(context: Any, begin: Any) -> None:
    """Play one job; ``begin`` makes it known to the node."""

    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        front = await fleet.start()
        await begin(fleet, front)
        context.results = await read_all(fleet)
        await fleet.loop.sleep(SETTLED_S)
        context.closed = fleet.fronts[0].job_directory.jobs["job1"]  # type: ignore[index]
        context.runs = item_runs(fleet)
        client = front.forward_context.client
        idle = sum(map(len, client.idle.values()))
        endpoint_streams = [
            one
            for one in fleet.runtime.connector.streams.values()
            if one.address == fleet.endpoints["e1"].address
        ]
        context.unused = len(endpoint_streams) - idle

    run_with_fleet(context, scenario)


@when("a job is submitted")
def step_submit(context: Any) -> None:
    async def begin(fleet: FrontFleet, front: Any) -> None:
        if context.reply == "a close":
            await submit(fleet)
            await fleet.until(lambda: item_runs(fleet))
            fleet.store.faults.odd_replies[odd_text(context.reply)] = SEVERAL
            return
        fleet.store.faults.odd_replies[odd_text(context.reply)] = SEVERAL
        assert (await submit(fleet)).status == 202

    play_job(context, begin)


async def create_without_owner(fleet: FrontFleet, front: Any) -> None:
    lease, front.registry.lease = front.registry.lease, 0
    assert (await submit(fleet)).status == 202
    front.registry.lease = lease


@when("a job that has no owner appears")
def step_no_owner(context: Any) -> None:
    async def begin(fleet: FrontFleet, front: Any) -> None:
        fleet.store.faults.odd_replies[odd_text(context.reply)] = SEVERAL
        await create_without_owner(fleet, front)

    play_job(context, begin)


@then("all its items complete")
def step_complete(context: Any) -> None:
    assert [one["state"] for one in context.results] == ["completed"] * ITEMS, context.results


@then("the job is closed")
def step_closed(context: Any) -> None:
    assert context.closed.versioned.record.state is JobState.DONE, context.closed


@when("the lease of the only node ends while it reads the items of a job")
def step_lease_ends(context: Any) -> None:
    async def begin(fleet: FrontFleet, front: Any) -> None:
        owner = front.worker.owner
        read_items = owner.store.items

        async def read_slowly(record: Any) -> Any:
            owner.store.items = read_items
            found = await read_items(record)
            fleet.store.end_lease(front.registry.lease)
            before = front.registry.lease
            await fleet.until(lambda: front.registry.lease not in (0, before))
            await fleet.until(lambda: front.job_directory.jobs["job1"].owner is None)
            return found

        owner.store.items = read_slowly
        await create_without_owner(fleet, front)

    play_job(context, begin)


ODD_ITEMS: dict[str, dict[str, Any]] = {
    "a blank at the end of a value": {"headers": {"X-Model": "m "}},
    "a blank in its path": {"path": "/bulk/1 2"},
    "a value beyond Latin-1": {"headers": {"X-Model": "\u65e5\u672c"}},
}


@when("a job is submitted with an item that has {what}")
def step_odd_item(context: Any, what: str) -> None:
    async def begin(fleet: FrontFleet, front: Any) -> None:
        rows = items()
        rows[0] |= ODD_ITEMS[what]
        answer = await submit(fleet, body=json.dumps({"items": rows}).encode())
        assert answer.status == 202, answer.status

    play_job(context, begin)


@then("that item is given up, and the others complete")
def step_others(context: Any) -> None:
    states = {one["id"]: one["state"] for one in context.results}
    expected = {f"item{number}": "completed" for number in range(ITEMS)}
    assert states == expected | {"item0": "dead_lettered"}, states
    assert not [one for one in context.runs if one.header("X-Attempt-Id") == "item0"]


@then("its node has no open connection to an endpoint that it does not use")
def step_unused(context: Any) -> None:
    assert context.unused == 0, context.unused


def two_routes(**first: Any) -> dict[str, Any]:
    """Return routes with a second batch route, whose service has no endpoint."""
    config = routes()
    batch = next(one for one in config["routes"] if one["kind"] == "batch")
    other = batch | {"name": "other", "prefix": "/other/", "service": "absent"} | first
    config["routes"].append(other)
    return config


async def submit_other(fleet: FrontFleet) -> None:
    rows = [one | {"path": "/other/1", "id": f"o{one['id']}"} for one in items()]
    body = json.dumps({"items": rows}).encode()
    answer = await fleet.caller().ask("POST", "/other/x", body, attempt="job2", deadline_ms=None)
    assert answer.status == 202, answer.status


@given("a job whose route has no endpoint, due before another job")
def step_absent(context: Any) -> None:
    context.first = {"runTargetMs": 5000}


@when("a job is submitted on a route that has endpoints")
def step_present(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        fleet.store.put_json("op/config", two_routes(**context.first))
        front = await fleet.start(configured=False)
        await fleet.until(lambda: front.routes.table is not None and front.registry.lease)
        await fleet.until(lambda: front.directory.endpoints)
        await submit_other(fleet)
        await fleet.loop.sleep(SETTLED_S)
        assert (await submit(fleet)).status == 202
        context.results = await read_all(fleet)

    run_with_fleet(context, scenario)


@then("the items of that route complete")
def step_route_complete(context: Any) -> None:
    step_complete(context)


@given("a job whose retention ends, and another that waits for an endpoint")
def step_retention(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        expiring = two_routes(runTargetMs=500, retentionS=1, service="engines")
        fleet.store.put_json("op/config", expiring)
        front = await fleet.start(configured=False)
        await fleet.until(lambda: front.routes.table is not None and front.registry.lease)
        assert (await submit(fleet)).status == 202
        await submit_other(fleet)
        await fleet.loop.sleep(5.0)
        context.first = await read(fleet, job="job2")
        context.waiting = await read(fleet)
        assert JobKeys("job2").record in fleet.store.rows  # type: ignore[arg-type]

    run_with_fleet(context, scenario)


@then("the items of the first are given up soon after")
def step_first_given_up(context: Any) -> None:
    states = [one["state"] for one in context.first["results"]]
    assert states == ["dead_lettered"] * ITEMS, context.first
    assert context.waiting["results"] == []
