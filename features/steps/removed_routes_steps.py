"""Steps for jobs whose route is removed or replaced by the operator."""

from typing import Any

from behave import given, then, when

from features.steps.front_jobs_steps import ITEMS, item_runs, read, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import HOST, Caller, FrontFleet, routes

SETTLED_S = 0.5
GUESSES = 300
CLOCK_MARGIN_S = 3.0
"""Items are given up this long after their time ends, since clocks of nodes differ."""

READ_WAIT_S = 1.1
"""How long a read may wait for a result."""


def changed_routes(change: str, version: int, **bulk: Any) -> dict[str, Any]:
    """Return a configuration of the operator; ``bulk`` changes fields of the batch route."""
    config = routes(version)
    others = [one for one in config["routes"] if one["kind"] != "batch"]
    batch = next(one for one in config["routes"] if one["kind"] == "batch") | bulk
    online = batch | {"name": "online", "kind": "safe"}
    config["routes"] = {
        "none": [*others, batch],
        "the batch route is removed": others,
        "the host is removed": [one | {"host": "other.example"} for one in others],
        "an online route takes the paths of the route": [*others, online],
        "an online route takes all paths of the host": [*others, online | {"prefix": "/"}],
    }[change]
    return config


def play(context: Any) -> None:
    """Play the actions that the steps have added."""

    async def scenario(fleet: FrontFleet) -> None:
        for action in context.actions:
            await action(fleet)

    run_with_fleet(context, scenario)


@given("a job that is done, and whose results and route are known")
def step_done(context: Any) -> None:
    async def run_job(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start(2)
        assert (await submit(fleet)).status == 202
        context.results = await read_all(fleet, node=1)

    context.actions = [run_job]


@when("the operator makes a change: {change}")
def step_change(context: Any, change: str) -> None:
    async def apply(fleet: FrontFleet) -> None:
        fleet.store.put_json("op/config", changed_routes(change, 2))
        await fleet.until(lambda: all(one.routes.version == 2 for one in fleet.fronts))

    context.actions.append(apply)


@then("every node, also one that starts after it, returns its results and takes its end")
def step_read(context: Any) -> None:
    async def read_everywhere(fleet: FrontFleet) -> None:
        await fleet.start(configured=False)
        await fleet.until(lambda: "job1" in fleet.fronts[2].job_directory.jobs)
        await fleet.until(lambda: fleet.fronts[2].routes.table is not None)
        for node in range(3):
            page = await read(fleet, node)
            assert isinstance(page, dict) and page["results"] == context.results, page
            answer = await ask(fleet, node, "DELETE", "/lots/job1")
            assert answer.status == 200, answer.status

    context.actions.append(read_everywhere)


async def ask(fleet: FrontFleet, node: int, method: str, path: str, host: str = HOST) -> Any:
    caller = Caller(fleet.runtime, fleet.options[node].callers)
    answer = await caller.ask(method, path, deadline_ms=None, host=host)
    caller.close()
    return answer


@then("every node confirms the job when it is submitted again")
def step_again(context: Any) -> None:
    async def submit_again(fleet: FrontFleet) -> None:
        runs = len(item_runs(fleet))
        for node in range(3):
            assert (await submit(fleet, node)).status == 202
        assert len(item_runs(fleet)) == runs
        other = await submit(fleet, 0, job="job2")
        assert other.status != 202, other.status

    context.actions.append(submit_again)
    play(context)


@when(
    "many calls name jobs that do not exist, at hosts with, without and formerly with batch routes"
)
def step_guess(context: Any) -> None:
    async def guess(fleet: FrontFleet) -> None:
        context.statuses = set()
        calls = len(fleet.store.faults.calls)
        for number in range(GUESSES):
            context.statuses.add((await ask(fleet, 0, "GET", f"/lots/x{number}")).status)
            other = await ask(fleet, 0, "GET", f"/lots/x{number}", "other.example")
            assert other.status == 404, other.status
        context.reads_with = len(fleet.store.faults.calls) - calls
        await step_change_now(fleet, "the batch route is removed")
        calls = len(fleet.store.faults.calls)
        for number in range(GUESSES):
            context.statuses.add((await ask(fleet, 0, "GET", f"/lots/y{number}")).status)
        context.reads_without = len(fleet.store.faults.calls) - calls

    context.actions.append(guess)
    play(context)


async def step_change_now(fleet: FrontFleet, change: str) -> None:
    fleet.store.put_json("op/config", changed_routes(change, 2))
    await fleet.until(lambda: all(one.routes.version == 2 for one in fleet.fronts))


@then("none of them is found, and the store gets few calls for them")
def step_few_calls(context: Any) -> None:
    assert context.statuses <= {404, 503} and 404 in context.statuses, context.statuses
    assert context.reads_with < GUESSES / 3, context.reads_with
    assert context.reads_without < GUESSES / 3, context.reads_without


@given("a job whose items wait for an endpoint, due in {due:d} s")
def step_waiting(context: Any, due: int) -> None:
    async def run_job(fleet: FrontFleet) -> None:
        config = changed_routes("none", 1, runTargetMs=due * 1000, retentionS=600)
        fleet.store.put_json("op/config", config)
        await fleet.start(1, configured=False)
        await fleet.until(lambda: fleet.fronts[0].routes.table and fleet.fronts[0].registry.lease)
        assert (await submit(fleet)).status == 202
        context.due_s = fleet.loop.now() + due

    context.actions = [run_job]


@when("an endpoint registers")
def step_register(context: Any) -> None:
    async def register(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.until(lambda: fleet.fronts[0].directory.endpoints)
        await fleet.loop.sleep(SETTLED_S)

    context.actions.append(register)


@when("the operator restores the route")
def step_restore(context: Any) -> None:
    async def restore(fleet: FrontFleet) -> None:
        assert not item_runs(fleet)
        fleet.store.put_json("op/config", changed_routes("none", 3))

    context.actions.append(restore)


@then("no item runs, and all are listed as given up after the job is due")
def step_given_up(context: Any) -> None:
    async def read_results(fleet: FrontFleet) -> None:
        page = await read(fleet)
        assert isinstance(page, dict) and page["results"] == [], page
        while fleet.loop.now() < context.due_s + CLOCK_MARGIN_S - READ_WAIT_S:
            assert (await read(fleet))["results"] == []
        results = await read_all(fleet)
        assert [one["state"] for one in results] == ["dead_lettered"] * ITEMS, results
        assert not item_runs(fleet)

    context.actions.append(read_results)
    play(context)


@then("all items complete")
def step_complete(context: Any) -> None:
    async def read_results(fleet: FrontFleet) -> None:
        results = await read_all(fleet)
        assert [one["state"] for one in results] == ["completed"] * ITEMS, results

    context.actions.append(read_results)
    play(context)
