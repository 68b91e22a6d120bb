"""Steps for batch jobs that are stored in the platform's store."""

import json
from base64 import b64encode
from typing import Any

from behave import then, when

from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import CallerAnswer, FrontFleet
from features.support.log_records import collected_logs
from features.support.platform_endpoint import (
    Arrival,
    EndpointStandIn,
    status,
    stream,
    stream_until,
)
from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.ids import Revision
from parsleyrouter.request.submission import RETRY_ELSEWHERE_S, RETRY_OUTAGE_S, submission_retry_s

ITEMS = 4


def items(count: int = ITEMS) -> list[dict[str, Any]]:
    return [
        {
            "id": f"item{number}",
            "path": f"/bulk/{number}",
            "headers": {"X-Model": "m"},
            "body": b64encode(b"body %d" % number).decode(),
            "tokens": 10,
        }
        for number in range(count)
    ]


async def submit(
    fleet: FrontFleet, node: int = 0, job: str = "job1", body: bytes | None = None
) -> CallerAnswer:
    data = json.dumps({"items": items()}).encode() if body is None else body
    caller = fleet.caller(fleet.fronts[node])
    return await caller.ask("POST", "/bulk/x", data, attempt=job, deadline_ms=None)


async def read(fleet: FrontFleet, node: int = 0, after: int = 0, job: str = "job1") -> Any:
    answer = await fleet.caller(fleet.fronts[node]).ask(
        "GET", f"/lots/{job}?after={after}", headers=[("X-Wait-Ms", "1000")], deadline_ms=None
    )
    return json.loads(answer.body) if answer.status == 200 else answer.status


async def read_all(fleet: FrontFleet, node: int = 0, job: str = "job1") -> list[dict[str, Any]]:
    results: list[dict[str, Any]] = []
    for _ in range(60):
        page = await read(fleet, node, len(results), job)
        if isinstance(page, dict):
            results += page["results"]
            assert page["next"] == len(results)
            if len(results) == page["total"]:
                return results
    raise AssertionError(f"only {len(results)} results came")


def item_runs(fleet: FrontFleet, item: str = "") -> list[Arrival]:
    return [
        arrival
        for endpoint in fleet.endpoints.values()
        for arrival in endpoint.arrivals
        if arrival.target.startswith("/bulk/")
        and (not item or arrival.header("X-Attempt-Id") == item)
    ]


def full_output(events: int = 5) -> str:
    return "\n".join(f"token {number}" for number in range(1, events + 1))


@when("a job is submitted at one node and read at another")
def step_submit_and_read(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start(2)
        context.status = (await submit(fleet)).status
        context.results = await read_all(fleet, 1)

    run_with_fleet(context, scenario)


@then("every item is listed once with its whole output")
def step_listed(context: Any) -> None:
    assert context.status == 202
    listed = [one["id"] for one in context.results]
    assert sorted(listed) == [f"item{number}" for number in range(ITEMS)]
    assert all(one["state"] == "completed" for one in context.results)
    assert all(one["output"] == full_output() for one in context.results)


@when("a job is submitted three times at different nodes")
def step_submit_again(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start(2)
        context.statuses = [(await submit(fleet, node)).status for node in (0, 1, 0)]
        await read_all(fleet)
        context.statuses.append((await submit(fleet, 1)).status)
        await fleet.loop.sleep(0.5)

    run_with_fleet(context, scenario)


@then("all answers accept it and no item runs twice")
def step_accepted_once(context: Any) -> None:
    assert context.statuses == [202] * 4
    assert len(item_runs(context.fleet)) == ITEMS


@when("the store's reply to a submission is lost")
def step_lose_answer(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        fleet.store.faults.lose_answers = 1
        context.status = (await submit(fleet)).status
        context.results = await read_all(fleet)

    run_with_fleet(context, scenario)


@then("the job is accepted and every item is listed once")
def step_accepted_and_listed(context: Any) -> None:
    step_listed(context)


@when("the store refuses all calls while a job is submitted")
def step_store_refuses(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        fleet.store.faults.refuse = 503
        context.answer = await submit(fleet)
        fleet.store.faults.refuse = 0
        await fleet.loop.sleep(1.0)

    run_with_fleet(context, scenario)


@then("the answer is 503 and no item runs")
def step_refused_not_run(context: Any) -> None:
    assert context.answer.status == 503
    assert not item_runs(context.fleet)


@when("a reader returns after the store has compacted its history")
def step_history_compacted(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start(2)
        context.status = (await submit(fleet)).status
        context.first = await read(fleet, 1)
        context.results = await read_all(fleet, 0)
        fleet.store.forget_history()
        context.again = await read(fleet, 1, len(context.first["results"]))

    run_with_fleet(context, scenario)


@then("the results have the same positions")
def step_same_positions(context: Any) -> None:
    seen = context.first["results"] + context.again["results"]
    assert seen == context.results


@when("the node that runs a job is lost in the middle of an item")
def step_node_lost(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.events, endpoint.gap_s = 40, 0.02
        await fleet.start(2)
        context.status = (await submit(fleet)).status
        await fleet.until(lambda: len(item_runs(fleet)) == ITEMS)
        owner_front = fleet.fronts[0]
        owner_front.registry.leaving = owner_front.worker.owner.leaving = True
        for job in owner_front.worker.owner.runs.values():
            job.stop()
            job.unlisted.clear()
        owner_front.exchange.datagrams.close()
        fleet.store.end_lease(owner_front.registry.lease)
        context.results = await read_all(fleet, 1)

    run_with_fleet(context, scenario)


@then("another node lists all items")
def step_other_lists(context: Any) -> None:
    assert sorted(one["id"] for one in context.results) == [f"item{n}" for n in range(ITEMS)]
    assert all(one["output"] == full_output(40) for one in context.results)


@when("the store's replies to listings are lost")
def step_listing_lost(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        context.status = (await submit(fleet)).status
        fleet.store.faults.lose_answers = 3
        context.results = await read_all(fleet)

    run_with_fleet(context, scenario)


@when("the endpoint reports an item as impossible")
def step_impossible(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = status(422)
        await fleet.start()
        await submit(fleet)
        context.results = await read_all(fleet)

    run_with_fleet(context, scenario)


@then("the item is given up after one run")
def step_given_up(context: Any) -> None:
    assert all(one["state"] == "dead_lettered" for one in context.results)
    assert all(len(item_runs(context.fleet, f"item{number}")) == 1 for number in range(ITEMS))


@when("an item fails at every run")
def step_fails(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).default_behaviour = status(500)
        await fleet.start()
        await submit(fleet)
        context.results = await read_all(fleet)

    run_with_fleet(context, scenario)


@then("the item is given up after three runs")
def step_given_up_late(context: Any) -> None:
    assert all(one["state"] == "dead_lettered" for one in context.results)
    assert all(len(item_runs(context.fleet, f"item{number}")) == 3 for number in range(ITEMS))


@when("endpoints interrupt an item again and again")
def step_interrupt_item(context: Any) -> None:
    async def interrupted(
        endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
    ) -> None:
        seen = int(arrival.header("Last-Event-Id") or 0)
        if seen < 4:
            await stream_until(seen + 2)(endpoint, exchange, arrival)
        else:
            await stream(endpoint, exchange, arrival)

    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).default_behaviour = interrupted
        await fleet.start()
        context.status = (await submit(fleet)).status
        context.results = await read_all(fleet)

    run_with_fleet(context, scenario)


@then("its output has every event once")
def step_every_event(context: Any) -> None:
    step_listed(context)


@when("a job is ended while its items run")
def step_end_job(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.events, endpoint.gap_s = 1000, 0.02
        await fleet.start(2)
        await submit(fleet)
        await fleet.until(lambda: len(item_runs(fleet)) == ITEMS)
        caller = fleet.caller(fleet.fronts[1])
        statuses = [(await caller.ask("DELETE", "/lots/job1")).status for _ in range(2)]
        ended_s = fleet.loop.now()
        await fleet.until(lambda: all(one.cut for one in item_runs(fleet)))
        context.took_s = fleet.loop.now() - ended_s
        await fleet.loop.sleep(0.6)
        context.statuses = statuses

    run_with_fleet(context, scenario)


@then("its runs are cancelled within half a second and nothing runs afterwards")
def step_job_ended(context: Any) -> None:
    assert context.statuses == [200, 200]
    assert context.took_s < 0.5
    assert len(item_runs(context.fleet)) == ITEMS


@when("one run is cancelled for online requests and another because its job is ended")
def step_cancel_runs(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1", slots=1)
        endpoint.events, endpoint.gap_s = 1000, 0.02
        await fleet.start()
        body = json.dumps({"items": items(1)}).encode()
        await submit(fleet, body=body)
        await fleet.until(lambda: len(item_runs(fleet)) == 1)
        online = fleet.caller()
        await online.send("POST", "/chat/1", attempt="c1")
        await fleet.until(lambda: item_runs(fleet)[0].cut)
        online.close()
        await fleet.until(lambda: len(item_runs(fleet)) == 2)
        await fleet.caller().ask("DELETE", "/lots/job1")
        await fleet.until(lambda: item_runs(fleet)[1].cut)
        await fleet.loop.sleep(0.1)

    with collected_logs("parsleyrouter.process.job_worker") as records:
        run_with_fleet(context, scenario)
    context.ends = [one.end for one in records if one.getMessage() == "item run ended"]


@then("their log lines say yielded and stopped")
def step_ends_logged(context: Any) -> None:
    assert context.ends == ["yielded", "stopped"]


@when("the bodies of a job's items are read at another node")
def step_read_bodies(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start(2)
        await submit(fleet)
        caller = fleet.caller(fleet.fronts[1])
        answers = [
            await caller.ask("GET", f"/items/job1?id=item{number}") for number in range(ITEMS)
        ]
        context.bodies = [one.body for one in answers]
        context.unknown = [
            (await caller.ask("GET", path)).status
            for path in ("/items/job1?id=none", "/items/none?id=item1", "/lots/none?after=0")
        ]

    run_with_fleet(context, scenario)


@then("they are those that were submitted")
def step_bodies(context: Any) -> None:
    assert context.bodies == [b"body %d" % number for number in range(ITEMS)]
    assert context.unknown == [404] * 3


@when("online requests fill the endpoint that runs batch items")
def step_online_fills(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.events, endpoint.gap_s = 40, 0.02
        await fleet.start(2)
        context.status = (await submit(fleet)).status
        await fleet.until(lambda: len(item_runs(fleet)) == ITEMS)
        callers = [fleet.caller(fleet.fronts[1]) for _ in range(8)]
        for number, caller in enumerate(callers):
            await caller.send("POST", "/chat/1", attempt=f"c{number}")
        await fleet.until(lambda: sum(one.cut for one in item_runs(fleet)) == ITEMS, 1.0)
        context.answers = [await caller.wait() for caller in callers]
        context.results = await read_all(fleet)

    run_with_fleet(context, scenario)


@then("the items are preempted, resume later, and lose no event")
def step_preempted(context: Any) -> None:
    assert all(one.status == 200 and one.complete for one in context.answers)
    assert all(one["output"] == full_output(40) for one in context.results)
    resumed = [one for one in item_runs(context.fleet) if one.header("Last-Event-Id")]
    assert len(resumed) == ITEMS


INVALID_BODIES: dict[str, bytes] = {
    "broken JSON": b'{"items":[',
    "broken base64": json.dumps({"items": [items()[0] | {"body": "*"}]}).encode(),
    "items of another type": b'{"items":"all of them"}',
    "two items of one id": json.dumps({"items": [items()[0]] * 2}).encode(),
    "no items": b'{"items":[]}',
}


@when("a job is submitted as {what}")
def step_invalid_submission(context: Any, what: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        context.status = (await submit(fleet, body=INVALID_BODIES[what])).status
        await fleet.loop.sleep(0.1)

    run_with_fleet(context, scenario)


@then("the answer is 400 and nothing is stored")
def step_invalid_refused(context: Any) -> None:
    assert context.status == 400
    assert not [key for key in context.fleet.store.rows if key.startswith("parsley/live/job/")]
    assert not item_runs(context.fleet)


@when("a job of more items than slots is submitted")
def step_large_job(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name).gap_s = 0.02
        await fleet.start()
        body = json.dumps({"items": items(30)}).encode()
        context.status = (await submit(fleet, body=body)).status
        context.results = await read_all(fleet)

    run_with_fleet(context, scenario)


@then("no item is cancelled and no endpoint holds more than its slots")
def step_spread(context: Any) -> None:
    assert len(context.results) == 30
    for endpoint in context.fleet.endpoints.values():
        assert not any(one.cut for one in endpoint.arrivals)
        for one in endpoint.arrivals:
            held = sum(other.at_s <= one.at_s < other.ended_s for other in endpoint.arrivals)
            assert held <= 8, held


@when("a reader waits at the end of a job's results")
def step_wait_at_end(context: Any) -> None:
    async def last_is_slow(
        endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
    ) -> None:
        slow = arrival.header("X-Attempt-Id") == "item3"
        endpoint.gap_s = 0.3 if slow else 0.002
        await stream(endpoint, exchange, arrival)

    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = last_is_slow
        await fleet.start(2)
        await submit(fleet)
        await read(fleet, 1, 0)
        before = len(fleet.store.faults.calls)
        await read(fleet, 1, 3)
        calls = fleet.store.faults.calls[before:]
        context.calls = [call for call in calls if "result" in call]

    run_with_fleet(context, scenario)


@then("the store gets few calls meanwhile")
def step_few_calls(context: Any) -> None:
    assert len(context.calls) <= 6, len(context.calls)


@when("the store is unavailable while all items of a large job end")
def step_unavailable(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2", "e3"):
            fleet.register(name).gap_s = 0.02
        await fleet.start()
        body = json.dumps({"items": items(24)}).encode()
        context.status = (await submit(fleet, body=body)).status
        await fleet.until(lambda: len(item_runs(fleet)) == 24)
        fleet.store.faults.refuse = 503
        await fleet.until(lambda: all(one.ended_s for one in item_runs(fleet)))
        fleet.store.faults.refuse = 0
        started_s = fleet.loop.now()
        context.results = await read_all(fleet)
        context.took_s = fleet.loop.now() - started_s

    run_with_fleet(context, scenario)


@then("every item of the large job is listed once soon after the outage")
def step_listed_after_outage(context: Any) -> None:
    assert len({one["id"] for one in context.results}) == 24
    assert context.took_s < 4.0, context.took_s


async def _long_items(fleet: FrontFleet) -> None:
    endpoint = fleet.register("e1")
    endpoint.events, endpoint.gap_s = 150, 0.02
    await fleet.start(2)
    await submit(fleet)
    await fleet.until(lambda: len(item_runs(fleet)) == ITEMS)


@when("the node that runs a job shuts down gracefully in the middle of long items")
def step_planned_stop(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await _long_items(fleet)
        await fleet.loop.sleep(1.0)
        owner_front = fleet.fronts[0]
        await owner_front.worker.owner.leave(2.0)
        await owner_front.registry.leave()
        context.min_event, context.results = 20, await read_all(fleet, 1)

    run_with_fleet(context, scenario)


@when("the node that runs a job is lost after its items' progress was saved")
def step_lost_after_save(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await _long_items(fleet)
        owner_front = fleet.fronts[0]
        await fleet.until(
            lambda: [len(job.saved_events) for job in owner_front.worker.owner.runs.values()]
            == [ITEMS]
        )
        owner_front.registry.leaving = owner_front.worker.owner.leaving = True
        for job in owner_front.worker.owner.runs.values():
            job.stop()
        fleet.store.end_lease(owner_front.registry.lease)
        context.min_event, context.results = 1, await read_all(fleet, 1)

    run_with_fleet(context, scenario)


@then("another node resumes after the saved events")
def step_resumed(context: Any) -> None:
    assert all(one["output"] == full_output(150) for one in context.results)
    for number in range(ITEMS):
        first, second = item_runs(context.fleet, f"item{number}")
        assert first.cut
        assert int(second.header("Last-Event-Id") or 0) >= context.min_event


def _saves(fleet: FrontFleet) -> int:
    return sum("parsley/saved/" in call for call in fleet.store.transactions)


@when("a node runs several jobs, one of which another node has taken")
def step_several_jobs(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1", slots=12)
        endpoint.events, endpoint.gap_s = 400, 0.02
        front = await fleet.start()
        for number in range(3):
            await submit(fleet, 0, f"job{number}")
        await fleet.until(lambda: len(item_runs(fleet)) == 3 * ITEMS)
        owner = front.worker.owner
        await fleet.until(lambda: all(run.saved_events for run in owner.runs.values()))
        before = _saves(fleet)
        await fleet.loop.sleep(0.3)
        runs = list(owner.runs.values())
        await owner.saver.save(runs)
        context.together = _saves(fleet) - before
        view = front.job_directory.jobs[runs[0].versioned.record.job]
        view.owner_revision = Revision(view.owner_revision - 1)
        before = _saves(fleet)
        saved = [dict(run.saved_events) for run in runs]
        await fleet.loop.sleep(0.3)
        await owner.saver.save(runs)
        context.apart = _saves(fleet) - before
        context.changed = [run.saved_events != old for run, old in zip(runs, saved, strict=True)]

    run_with_fleet(context, scenario)


@then("their progress takes one call, or one each if another node has taken one")
def step_saved_together(context: Any) -> None:
    assert context.together == 1, context.together
    assert context.apart == 1 + 3, context.apart
    assert context.changed == [False, True, True]


@when("the items of a job end one after the other within a moment")
def step_end_together(context: Any) -> None:
    async def staggered(
        endpoint: EndpointStandIn, exchange: CallerExchange, arrival: Arrival
    ) -> None:
        number = int((arrival.header("X-Attempt-Id") or "item0")[4:])
        await endpoint.runtime.loop.sleep(0.1 + 0.03 * number)
        await stream(endpoint, exchange, arrival)

    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1").default_behaviour = staggered
        await fleet.start()
        await submit(fleet, body=json.dumps({"items": items(8)}).encode())
        context.results = await read_all(fleet)
        ended_s = max(one.ended_s for one in item_runs(fleet))
        context.delay_s = fleet.loop.now() - ended_s
        context.listings = sum("parsley/listed/" in call for call in fleet.store.transactions)

    run_with_fleet(context, scenario)


@then("they take fewer calls than there are items, and the last is listed at once")
def step_listed_together(context: Any) -> None:
    assert len(context.results) == 8
    assert context.listings <= 4, context.listings
    assert context.delay_s < 0.35, context.delay_s


@when("a job is submitted to a node whose calls to the store have begun to fail")
def step_disconnected_node(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        fleet.store.faults.silent = True
        await fleet.until(lambda: fleet.fronts[0].store.failing)
        started_s = fleet.loop.now()
        context.answer = await submit(fleet)
        context.took_s = fleet.loop.now() - started_s

    run_with_fleet(context, scenario)


@then("it is refused as not run at once, with an immediate retry")
def step_refused_at_once(context: Any) -> None:
    assert context.answer.status == 503
    assert float(context.answer.headers["Retry-After"]) <= 0.05
    assert context.took_s < 0.2, context.took_s


@when("the retry delay of submissions is computed at nodes that get answers or not")
def step_retry_delays(context: Any) -> None:
    context.retry_delays = {
        "answers": submission_retry_s(False, [True, True]),
        "alone": submission_retry_s(True, []),
        "cut": submission_retry_s(True, [True, False]),
        "outage": submission_retry_s(True, [True, True]),
    }


@then("only an outage that all nodes see delays the retry")
def step_outage_delays(context: Any) -> None:
    now, later = RETRY_ELSEWHERE_S, RETRY_OUTAGE_S
    assert context.retry_delays == {"answers": None, "alone": now, "cut": now, "outage": later}
