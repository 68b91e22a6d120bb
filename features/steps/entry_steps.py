"""Steps for the callers' API of an entry."""

import json
import random
from collections.abc import Callable, Coroutine
from typing import Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.entry import (
    CHAT,
    CHAT_PATH,
    KEY,
    OTHER_KEY,
    STREAM,
    ScriptedEndpoint,
    TestEntry,
    respond_ok,
    start_entry,
)
from features.support.loop import run_on_loop
from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange
from parsleyrouter.ids import Address, DomainName, NodeId, TeamName
from parsleyrouter.outcome import Refusal
from parsleyrouter.process.entry_locator import LOCATE_TTL_S, order_entries
from parsleyrouter.process.fleet_view import NodeInfo, NodeState, Service
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.team_limiter import TeamLimiter
from parsleyrouter.version.schema import LimitSettings

Work = Callable[[TestEntry, Any], Coroutine[Any, Any, None]]


def on_entry(context: Any, work: Work) -> None:
    """Run work against a new entry with the endpoint scripts of the scenario."""

    async def main(runtime: Runtime) -> None:
        endpoints = [ScriptedEndpoint(runtime, f"e{n}", s) for n, s in enumerate(context.scripts)]
        context.endpoints = endpoints
        context.entry = start_entry(runtime, *endpoints)
        await work(context.entry, context)
        await runtime.loop.sleep(0.05)

    run_on_loop(main)


@given("entry: two healthy endpoints")
def two_endpoints(context: Any) -> None:
    context.scripts = [respond_ok, respond_ok]


@when("entry: a chat, a streamed chat and a service call are sent")
def send_three(context: Any) -> None:
    async def work(entry: TestEntry, _: Any) -> None:
        context.chat = await entry.post(CHAT_PATH, CHAT)
        context.stream = await entry.post(CHAT_PATH, STREAM)
        context.service = await entry.post("/v1/services/cards/look", {"card": 1})

    on_entry(context, work)


@then("entry: each response is complete and from the endpoint")
def own_answers(context: Any) -> None:
    assert json.loads(context.chat.json()["sent"]) == CHAT
    assert json.loads(context.service.json()["sent"]) == {"card": 1}
    events = context.stream.body.split(b"\n\n")
    assert len(events) == 5 and events[3] == b"data: [DONE]", events


@then("entry: every slot was released")
def slots_back(context: Any) -> None:
    grants = context.entry.grants
    assert len(grants.results) == 3 and not grants.open
    assert all(result.ok for result in grants.results)


@when("entry: another team requests the first one's model, job and results")
def request_foreign(context: Any) -> None:
    async def work(entry: TestEntry, _: Any) -> None:
        done = await entry.post("/v1/batches", b"{}\n", idempotency_key="a")
        path = f"/v1/batches/{done.json()['id']}"
        context.foreign = [
            await entry.post(CHAT_PATH, CHAT, key=OTHER_KEY),
            await entry.get("/v1/models/small", key=OTHER_KEY),
            await entry.get(path, key=OTHER_KEY),
            await entry.get(f"{path}/results", key=OTHER_KEY),
            await entry.get(path, key=OTHER_KEY, method="DELETE"),
        ]
        context.lists = [
            (await entry.get(listed, key=key)).json()["data"]
            for key in (KEY, OTHER_KEY)
            for listed in ("/v1/models", "/v1/batches")
        ]
        context.bad_keys = [await entry.get("/v1/models", key=key) for key in ("sk-x", "x" * 600)]
        plain = entry.runtime.http
        context.bad_keys.append(await plain.request(entry.address, "GET", "/v1/models"))

    on_entry(context, work)


@then("entry: each is refused as not found and not run")
def refused_unknown(context: Any) -> None:
    for reply in context.foreign:
        assert reply.status == 404, reply
        assert reply.json()["error"]["ran"] == "not_run"


@then("entry: each team lists only its own models and jobs")
def lists_own(context: Any) -> None:
    names = [[item["id"] for item in listed] for listed in context.lists]
    assert names == [["small"], ["job-nkabom-a"], ["shade"], []], names


@then("entry: a wrong, an overlong and a missing key are refused alike")
def keys_refused(context: Any) -> None:
    bodies = {(reply.status, reply.body) for reply in context.bad_keys}
    assert len(bodies) == 1 and bodies.pop()[0] == 401


@when("entry: nodes of any states, domains and loads are ordered")
def order_any(context: Any) -> None:
    node = st.tuples(
        st.sampled_from(NodeState), st.sampled_from("abc"), st.floats(0, 1), st.booleans()
    )
    context.orders = []

    @settings(max_examples=50)
    @for_all(st.lists(node, max_size=8), st.sampled_from("abc"), st.integers(0, 99))
    def check(drawn: list[Any], domain: str, seed: int) -> None:
        nodes = tuple(
            NodeInfo(
                NodeId(f"n{index}"),
                DomainName(where),
                {Service.ENTRY: Address(f"127.0.0.1:{index}")} if has_entry else {},
                state,
                load,
            )
            for index, (state, where, load, has_entry) in enumerate(drawn)
        )
        context.orders.append((nodes, domain, order_entries(nodes, domain, random.Random(seed))))

    check()


@then("entry: only live entries are returned and those of the domain come first")
def live_and_near(context: Any) -> None:
    for nodes, domain, found in context.orders:
        live = {n.addresses.get(Service.ENTRY) for n in nodes if n.state is NodeState.LIVE}
        assert {entry.address for entry in found} == live - {None}
        far = [entry.domain != domain for entry in found]
        assert far == sorted(far)


@when("entry: it leaves while a request is in progress")
def leave_busy(context: Any) -> None:
    async def work(entry: TestEntry, _: Any) -> None:
        loop = entry.runtime.loop
        release = loop.promise()

        async def wait(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply | None:
            await release
            return json_reply({"slow": True})

        context.endpoints[0].script = [wait]
        context.before = (await entry.get("/v1/locate")).json()["entries"]
        context.listed_until_s = entry.context.locator.listed_until_s - loop.now()
        asked = loop.spawn(entry.post(CHAT_PATH, CHAT))
        await loop.sleep(0.05)
        entry.context.locator.leaving = True
        context.during = (await entry.get("/v1/locate")).json()["entries"]
        context.counted = entry.server.open_requests()
        release.resolve(None)
        context.slow = await asked
        context.left = entry.server.open_requests()

    on_entry(context, work)


@then("entry: locate no longer returns it and the request is counted until it is answered")
def left_well(context: Any) -> None:
    assert len(context.before) == 1 and context.during == []
    assert 0 < context.listed_until_s <= LOCATE_TTL_S
    assert context.counted == [f"POST {CHAT_PATH}"], context.counted
    assert context.slow.json() == {"slow": True} and context.left == []


@when("entry: requests of a team arrive at any rate")
def any_rate(context: Any) -> None:
    context.admissions = []

    @settings(max_examples=60)
    @for_all(
        st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=60),
        st.integers(1, 8),
        st.integers(1, 5),
    )
    def check(arrivals: list[tuple[float, bool]], rate: int, open_limit: int) -> None:
        limits = TeamLimiter()
        allowed = LimitSettings(online_per_s=rate, online_open=open_limit)
        now, open_tickets, admitted, max_open = 0.0, [], 0, 0
        for gap_s, ends in arrivals:
            now += gap_s
            if ends and open_tickets:
                limits.release(open_tickets.pop())
            ticket = limits.acquire(TeamName("t"), allowed, now)
            if isinstance(ticket, Refusal):
                assert ticket.retry_after_s is not None and ticket.status == 429
                continue
            open_tickets.append(ticket)
            admitted += 1
            max_open = max(max_open, len(open_tickets))
        context.admissions.append((admitted, rate * (1 + now) + 1e-6, max_open, open_limit))

    check()


@then("entry: no more are admitted than the rate and the open limit allow")
def limits_hold(context: Any) -> None:
    for admitted, allowed, max_open, open_limit in context.admissions:
        assert admitted <= allowed and max_open <= open_limit


@when("entry: a batch job is submitted")
def submit_job(context: Any) -> None:
    async def work(entry: TestEntry, _: Any) -> None:
        headers = {"idempotency_key": "k", "x_parsley_deadline_s": "3600"}
        context.submitted = await entry.post("/v1/batches", b'{"a":1}\n{"a":2}\n', **headers)
        path = "/v1/batches/job-nkabom-k"
        context.status = await entry.get(path)
        context.rest = await entry.get(f"{path}/results?offset=1")
        context.cancelled = await entry.get(path, method="DELETE")
        context.no_key = await entry.post("/v1/batches", b"{}\n")

    on_entry(context, work)


@then("entry: its status, its results from an offset and its cancellation are returned")
def job_answers(context: Any) -> None:
    assert context.submitted.status == 202
    assert context.status.json() == context.submitted.json()
    assert context.status.json()["deadline_s"] == 3600
    assert context.rest.body == b'{"a":2}\n'
    assert context.rest.headers["x-parsley-next-offset"] == "2"
    assert context.cancelled.status == 200 and context.no_key.status == 400
