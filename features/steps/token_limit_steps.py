"""Steps for the limit on the tokens that wait on a batch route."""

from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.steps.front_jobs_steps import ITEMS, item_runs, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import CallerAnswer, FrontFleet, routes
from features.support.platform_endpoint import status
from features.support.quota_model import LateWrite, ModelNode, StoredRoute
from features.support.quota_model import submit as submit_in_model
from parsleyrouter.request.token_quota import MAX_RETRY_AFTER_S, retry_after_s

JOB_TOKENS = 10 * ITEMS


def limited_routes(version: int, limit: int) -> dict[str, Any]:
    """Return the operator's configuration with a limit on the batch route."""
    table = routes(version)
    table["routes"] = [
        route | {"maxCount": limit} if route["kind"] == "batch" else route
        for route in table["routes"]
    ]
    return table


async def start(fleet: FrontFleet, limit: int, *, nodes: int = 2, gap_s: float = 0.02) -> None:
    endpoint = fleet.register("e1")
    endpoint.events, endpoint.gap_s = 50, gap_s
    fleet.store.put_json("op/config", limited_routes(1, limit))
    await fleet.start(nodes, configured=False)
    await fleet.until(lambda: all(fleet._knows(front) for front in fleet.fronts))


async def set_limit(fleet: FrontFleet, version: int, limit: int) -> None:
    fleet.store.put_json("op/config", limited_routes(version, limit))
    await fleet.until(lambda: all(front.routes.version == version for front in fleet.fronts))


async def end_job(fleet: FrontFleet, job: str) -> None:
    assert (await fleet.caller().ask("DELETE", f"/lots/{job}")).status == 200


async def accepted_within(fleet: FrontFleet, limit_s: float, job: str = "next") -> float:
    """Submit a job until it is accepted; return how long that took."""
    started_s = fleet.loop.now()
    while (await submit(fleet, 1, job)).status != 202:
        assert fleet.loop.now() - started_s < limit_s, "not accepted in time"
        await fleet.loop.sleep(0.02)
    return fleet.loop.now() - started_s


@when("nodes with views of any age submit and end jobs while replies are lost and writes are late")
def step_model(context: Any) -> None:
    context.examples = 0
    step = st.tuples(
        st.sampled_from(["submit", "submit", "deliver", "deliver", "end", "look", "lower"]),
        st.integers(0, 3),
        st.integers(1, 60),
    )

    @settings(max_examples=400)
    @given(st.integers(20, 100), st.lists(step, min_size=10, max_size=60))
    def check(limit: int, steps: list[tuple[str, int, int]]) -> None:
        _play(limit, steps)
        context.examples += 1

    check()


def _play(limit: int, steps: list[tuple[str, int, int]]) -> None:
    stored, nodes = StoredRoute(), [ModelNode(number) for number in range(4)]
    under_way: list[LateWrite] = []
    version, jobs = 1, 1
    assert submit_in_model(nodes[0], stored, limit, version, 0, 1)[0]
    for node in nodes:
        node.look(stored)
    for action, number, amount in steps:
        node = nodes[number]
        if action == "submit":
            write = node.plan(limit, version, jobs, amount)
            jobs += 1
            if isinstance(write, LateWrite):
                under_way.append(write)
        elif action == "deliver" and under_way:
            write = under_way.pop(amount % len(under_way))
            before = stored.waiting
            if stored.apply(write) and write.job is not None:
                assert stored.waiting <= limit or before > limit, (stored.waiting, limit)
                assert before <= limit - write.tokens
        elif action == "end" and stored.jobs:
            job = sorted(stored.jobs)[amount % len(stored.jobs)]
            index, tokens = stored.jobs.pop(job)
            stored.finished[index] += tokens
        elif action == "look":
            node.look(stored)
            for other in nodes[: number + 1]:
                other.look_at_shares(stored)
        elif action == "lower" and not under_way:
            limit, version = max(10, limit - amount), version + 1
    node = nodes[0]
    node.look(stored)
    room = limit - stored.waiting
    if room > 0:
        assert submit_in_model(node, stored, limit, version, jobs, room)[0]
        assert stored.waiting == limit
    assert not submit_in_model(node, stored, limit, version, jobs + 1, 1)[0]


@then("the waiting tokens never exceed the limit, and a job that fits is accepted once views agree")
def step_model_holds(context: Any) -> None:
    assert context.examples >= 100


@when("nodes submit jobs at the same time, far from the limit and close to it")
def step_calls(context: Any) -> None:
    stored = StoredRoute()
    nodes = [ModelNode(number) for number in range(8)]
    assert submit_in_model(nodes[0], stored, 100_000, 1, 0, 10) == (True, 2)
    for node in nodes:
        node.look(stored)
    context.far = [
        submit_in_model(node, stored, 100_000, 1, 1 + node.number, 1_000) for node in nodes
    ]
    close = StoredRoute()
    context.close = []
    for number, node in enumerate(nodes):
        node.look(close)
        context.close.append(submit_in_model(node, close, 100, 1, number, 30))


@then("the far ones take one call each, and the close ones a few")
def step_calls_few(context: Any) -> None:
    assert context.far == [(True, 1)] * 8
    assert [accepted for accepted, _ in context.close] == [True] * 3 + [False] * 5
    assert max(calls for _, calls in context.close) <= 2


@when("two nodes are sent jobs of which only one fits")
def step_race(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start(fleet, JOB_TOKENS + 5)
        tasks = [fleet.loop.spawn(submit(fleet, node, f"job{node}")) for node in (0, 1)]
        context.answers = await fleet.loop.gather(tasks)
        await fleet.loop.sleep(0.2)
        context.started = {one.header("X-Attempt-Id") for one in item_runs(fleet)}

    run_with_fleet(context, scenario)


@then("one is accepted, and the other is refused as not run with a retry delay")
def step_one_accepted(context: Any) -> None:
    answers: list[CallerAnswer] = sorted(context.answers, key=lambda one: one.status)
    assert [one.status for one in answers] == [202, 429]
    assert float(answers[1].headers["Retry-After"]) > 0
    assert len(item_runs(context.fleet)) == ITEMS


@when("the reply to a submission that fills the route is lost and the job is submitted again")
def step_lost_reply(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start(fleet, JOB_TOKENS, gap_s=0.002)
        await accepted_within(fleet, 1.0, "first")
        await read_all(fleet, 0, "first")
        await fleet.loop.sleep(0.1)
        fleet.store.faults.lose_answers = 1
        context.statuses = [(await submit(fleet, 0)).status, (await submit(fleet, 1)).status]
        context.results = await read_all(fleet, 1)

    run_with_fleet(context, scenario)


@then("it is accepted again and every item is listed once")
def step_accepted_again(context: Any) -> None:
    assert context.statuses == [202, 202]
    assert sorted(one["id"] for one in context.results) == [f"item{n}" for n in range(ITEMS)]


@when("a route is filled and then freed by {what}")
def step_freed(context: Any, what: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        slow = what in ("an ended job", "a node taken over")
        await start(fleet, JOB_TOKENS + 5, gap_s=0.1 if slow else 0.005)
        if what == "items given up":
            fleet.endpoints["e1"].default_behaviour = status(422)
        assert (await submit(fleet)).status == 202
        if what == "an ended job":
            assert (await submit(fleet, 1, "next")).status == 429
            await end_job(fleet, "job1")
        elif what == "a node taken over":
            await fleet.until(lambda: len(item_runs(fleet)) == ITEMS)
            owner = fleet.fronts[0]
            await owner.worker.owner.leave(2.0)
            await owner.registry.leave()
            assert (await submit(fleet, 1, "next")).status == 429
            await read_all(fleet, 1)
        else:
            await read_all(fleet, 1)
        context.took_s = await accepted_within(fleet, 1.0)

    run_with_fleet(context, scenario)


@then("the next job is accepted within a second")
def step_next_accepted(context: Any) -> None:
    assert context.took_s < 1.0, context.took_s


@when("the limit of a route with waiting jobs is lowered, removed and set again")
def step_limit_changes(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await start(fleet, 3 * JOB_TOKENS, gap_s=0.05)
        statuses = [(await submit(fleet, 0, f"a{number}")).status for number in range(2)]
        await set_limit(fleet, 2, 2 * JOB_TOKENS)
        statuses.append((await submit(fleet, 1, "b")).status)
        await set_limit(fleet, 3, 0)
        statuses.append((await submit(fleet, 1, "c")).status)
        await set_limit(fleet, 4, 2 * JOB_TOKENS)
        statuses.append((await submit(fleet, 0, "d")).status)
        for job in ("a0", "a1"):
            await end_job(fleet, job)
        await accepted_within(fleet, 1.0, "d")
        statuses.append((await submit(fleet, 1, "e")).status)
        context.statuses = statuses

    run_with_fleet(context, scenario)


@then("jobs are refused, accepted and refused, and accepted once the others have finished")
def step_limit_changed(context: Any) -> None:
    assert context.statuses == [202, 202, 429, 202, 429, 429], context.statuses


@when("the retry delay is computed for a full route that frees tokens slowly, fast or not at all")
def step_retry_delay(context: Any) -> None:
    context.delays = [retry_after_s(600, rate) for rate in (100.0, 1e6, 0.0, 1.0)]


@then("it is the expected time until the job fits, within its bounds")
def step_delay(context: Any) -> None:
    assert context.delays == [6.0, 0.1, MAX_RETRY_AFTER_S, MAX_RETRY_AFTER_S]
