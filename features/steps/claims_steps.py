"""Steps for requests that run at most once."""

import json
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.entry import (
    CHAT_PATH,
    KEY,
    STREAM,
    ScriptedEndpoint,
    respond_ok,
    start_entry,
)
from features.support.loop import run_on_loop
from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange
from parsleyrouter.ids import KindName, NodeId, RequestId, TeamName
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.call_port import Call, Reply
from parsleyrouter.process.idempotency_claims import IdempotencyClaims
from parsleyrouter.process.loop import Promise, TimedOut
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.key_value_faults import CallFault, KeyValueFaults
from parsleyrouter.standins.key_value_store import KeyValueStore
from parsleyrouter.standins.memory_key_value import MemoryKeyValue
from parsleyrouter.version.schema import KindSettings

CARD_PATH = "/v1/services/cards/send"
DEADLINE_S = 0.2
GRACE_S = 0.1


class KillableEntry:
    """Claims of an entry that can be killed; then it reaches neither the store nor an endpoint."""

    def __init__(
        self,
        runtime: Runtime,
        name: str,
        store: KeyValueStore,
        faults: list[CallFault],
        executions: Counter[str],
        outcomes: list[str],
    ) -> None:
        self.runtime = runtime
        self.alive = True
        self.executions = executions
        self.outcomes = outcomes
        script = KeyValueFaults(script=lambda *_: faults.pop(0) if faults else CallFault.NONE)
        self.memory = MemoryKeyValue(runtime.loop, store=store, faults=script)
        self.claims = IdempotencyClaims(runtime.loop, self, NodeId(name), grace_s=GRACE_S)  # type: ignore

    def __getattr__(self, name: str) -> Callable[..., Any]:
        async def call(*arguments: Any, **options: Any) -> Any:
            await self._live()
            response = await getattr(self.memory, name)(*arguments, **options)
            await self._live()
            return response

        return call

    async def _live(self) -> None:
        if not self.alive:
            await Promise(self.runtime.loop)

    async def run(self, call: Call, **_: Any) -> Reply | Refusal:
        """Execute a call with the next generated outcome."""
        await self._live()
        outcome = self.outcomes.pop(0) if self.outcomes else "reply"
        if outcome == "not_run":
            return Refusal(RefusalKind.OVERLOADED, "full", ExecutionStatus.NOT_RUN)
        key = call.headers["key"]
        self.executions[key] += 1
        await self.runtime.loop.sleep(0.03)
        await self._live()
        if outcome == "unknown":
            return Refusal(RefusalKind.ENDPOINT_FAILED, "cut", ExecutionStatus.UNKNOWN)
        return Reply(200, {}, f"{key} run {self.executions[key]}".encode())


def card_call(key: str, content: str) -> Call:
    """Return a non-idempotent call."""
    return Call(
        request=RequestId("r"),
        team=TeamName("t"),
        kind=KindName("cards"),
        settings=KindSettings(idempotent=False),
        method="POST",
        path="/send",
        body=content.encode(),
        application="cards",
        headers={"key": key},
        deadline_in_s=DEADLINE_S,
    )


@when(
    "claims: requests are sent and resent to entries that are killed and whose store loses replies"
)
def send_with_faults(context: Any) -> None:
    send = st.tuples(
        st.just("send"), st.integers(0, 2), st.sampled_from("kl"), st.sampled_from("xxxy")
    )
    kill = st.tuples(st.just("kill"), st.integers(0, 2), st.just(""), st.just(""))
    pause = st.tuples(st.just("pause"), st.integers(1, 12), st.just(""), st.just(""))
    faults = st.lists(st.sampled_from(CallFault), max_size=12)
    outcomes = st.lists(st.sampled_from(["reply", "reply", "not_run", "unknown"]), max_size=3)
    context.histories = []

    @settings(max_examples=40)
    @for_all(st.lists(st.one_of(send, send, kill, pause), max_size=12), faults, outcomes)
    def check(steps: list[Any], faults: list[CallFault], outcomes: list[str]) -> None:
        async def main(runtime: Runtime) -> None:
            context.histories.append(
                await run_actions(runtime, steps, list(faults), list(outcomes))
            )

        run_on_loop(main)

    check()


async def run_actions(
    runtime: Runtime, steps: list[Any], faults: list[CallFault], outcomes: list[str]
) -> tuple[Counter[str], dict[str, list[Any]]]:
    """Run the actions; return the executions and the responses by key."""
    loop, store, executions = runtime.loop, KeyValueStore(), Counter[str]()

    def start(number: int) -> KillableEntry:
        return KillableEntry(runtime, f"e{number}", store, faults, executions, outcomes)

    entries = [start(number) for number in range(3)]
    tasks = []
    for action, number, key, content in steps:
        if action == "send":
            entry = entries[number]
            task = loop.spawn(entry.claims.run_once(card_call(key, content), key, entry))
            tasks.append((key, task))
        elif action == "kill":
            entries[number].alive = False
            entries[number] = start(number)
        await loop.sleep(number / 100 if action == "pause" else 0)
    responses: dict[str, list[Any]] = defaultdict(list)
    for key, task in tasks:
        try:
            responses[key].append(await loop.within(1.5, task))
        except TimedOut:
            responses[key].append(None)
    return executions, responses


@then("claims: no key is executed twice")
def once_each(context: Any) -> None:
    assert any(executions for executions, _ in context.histories)
    for executions, responses in context.histories:
        assert all(count <= 1 for count in executions.values()), (executions, responses)


@then("claims: every response for a key is that of its one execution")
def one_answer(context: Any) -> None:
    for _, responses in context.histories:
        for key, got in responses.items():
            bodies = {reply.body for reply in got if isinstance(reply, Reply)}
            assert bodies <= {f"{key} run 1".encode()}, bodies


@then("claims: a key that another entry runs gets unknown only while no outcome is stored")
def unknown_reported(context: Any) -> None:
    statuses = Counter(
        one.ran
        for _, responses in context.histories
        for got in responses.values()
        for one in got
        if isinstance(one, Refusal)
    )
    assert statuses[ExecutionStatus.UNKNOWN] and statuses[ExecutionStatus.NOT_RUN], statuses


@when("claims: a card is sent to one entry, then again to another, then with other content")
def resend_elsewhere(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        endpoint = ScriptedEndpoint(runtime, "e", respond_ok)
        shared = MemoryKeyValue(runtime.loop)
        entries = [
            start_entry(runtime, endpoint, key_value=shared, name=f"entry-{n}") for n in range(2)
        ]
        card = {"venue": "Osu"}
        pair = [
            runtime.loop.spawn(one.post(CARD_PATH, card, idempotency_key="k")) for one in entries
        ]
        context.replies = await runtime.loop.gather(pair)
        context.replies.append(await entries[1].post(CARD_PATH, card, idempotency_key="k"))
        context.other = await entries[1].post(CARD_PATH, {"venue": "Tema"}, idempotency_key="k")
        context.executions = sum(endpoint.executions.values())

    run_on_loop(main)


@then("claims: the card ran once, the responses are equal and the other content is a conflict")
def ran_once(context: Any) -> None:
    assert context.executions == 1, context.executions
    assert {(reply.status, reply.body) for reply in context.replies} == {
        (200, context.replies[0].body)
    }
    assert context.other.status == 409 and context.other.json()["error"]["ran"] == "not_run"


@when("claims: a card is sent during an outage and again after it")
def send_in_outage(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        endpoint = ScriptedEndpoint(runtime, "e", respond_ok)
        entry = start_entry(runtime, endpoint)
        entry.key_value.faults.outage = True
        context.first = await entry.post(CARD_PATH, {"a": 1}, idempotency_key="k")
        context.seen = len(endpoint.seen)
        entry.key_value.faults.outage = False
        context.second = await entry.post(CARD_PATH, {"a": 1}, idempotency_key="k")
        context.executions = sum(endpoint.executions.values())

    run_on_loop(main)


@then("claims: the first is refused as not run and the second runs once")
def refused_then_run(context: Any) -> None:
    assert context.first.status == 503 and context.first.json()["error"]["ran"] == "not_run"
    assert context.seen == 0 and context.second.status == 200 and context.executions == 1


@when("claims: a caller disconnects while its card is being written")
def caller_disconnects(context: Any) -> None:
    async def slow(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply:
        endpoint.executions["card"] += 1
        await endpoint.runtime.loop.sleep(0.3)
        return json_reply({"run": endpoint.executions["card"]})

    async def main(runtime: Runtime) -> None:
        endpoint = ScriptedEndpoint(runtime, "e", slow)
        entry = start_entry(runtime, endpoint)
        exchange = await runtime.http.begin(
            entry.address,
            "POST",
            CARD_PATH,
            {"authorization": f"Bearer {KEY}", "idempotency-key": "k"},
            json.dumps({"a": 1}).encode(),
        )
        await runtime.loop.sleep(0.1)
        exchange.cancel()
        context.resent = await entry.post(CARD_PATH, {"a": 1}, idempotency_key="k")
        context.executions = endpoint.executions["card"]

    run_on_loop(main)


@then("claims: the resend gets the response of the one execution")
def resend_answered(context: Any) -> None:
    assert context.resent.json() == {"run": 1} and context.executions == 1


@when("claims: an entry is killed while it runs a card")
def kill_entry(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        loop, store, executions = runtime.loop, KeyValueStore(), Counter[str]()
        first, second = (KillableEntry(runtime, n, store, [], executions, []) for n in "ab")
        loop.spawn(first.claims.run_once(card_call("k", "x"), "k", first))
        await loop.sleep(0.01)
        first.alive = False
        context.early = await second.claims.run_once(card_call("k", "x"), "k", second)
        await loop.sleep(DEADLINE_S + GRACE_S)
        context.late = await second.claims.run_once(card_call("k", "x"), "k", second)
        context.executions = executions["k"]

    run_on_loop(main)


@then("claims: the resend gets unknown and the card is not run again")
def unknown_not_rerun(context: Any) -> None:
    assert context.executions == 1
    for refusal in (context.early, context.late):
        assert isinstance(refusal, Refusal) and refusal.ran is ExecutionStatus.UNKNOWN, refusal


@when("claims: a streamed chat of a non-idempotent kind is sent to two entries")
def stream_twice(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        endpoint = ScriptedEndpoint(runtime, "e", respond_ok)
        shared = MemoryKeyValue(runtime.loop)
        kinds = {"order": {"idempotent": False}}
        entries = [
            start_entry(runtime, endpoint, key_value=shared, name=f"entry-{n}", kinds=kinds)
            for n in range(2)
        ]
        context.replies = [
            await entry.post(CHAT_PATH, STREAM, idempotency_key="k", x_parsley_kind="order")
            for entry in entries
        ]
        context.executions = sum(endpoint.executions.values())

    run_on_loop(main)


@then("claims: it ran once and both callers got the complete stream")
def streamed_once(context: Any) -> None:
    assert context.executions == 1, context.executions
    for reply in context.replies:
        assert reply.headers["content-type"] == "text/event-stream"
        assert reply.body.endswith(b"data: [DONE]\n\n") and reply.body.count(b"data: ") == 4
