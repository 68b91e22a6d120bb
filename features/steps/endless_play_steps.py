"""Steps for endpoints and services in another process that send without end."""

import gc
import json
import time
from typing import Any

from behave import then, when

from features.steps.endless_replies_steps import unframed
from features.steps.front_jobs_steps import full_output, items, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.support.endless_play import EndlessPlay, resident_bytes
from features.support.endless_sender import EndlessSender
from features.support.front_fleet import FrontFleet
from features.support.log_records import collected_logs
from features.support.loop import run_on_loop
from parsleyrouter.connection.http import TransportFailure
from parsleyrouter.connection.turn_shares import CONNECTION_SHARE_S, TURN_SHARE_S
from parsleyrouter.ids import EndpointId
from parsleyrouter.process.runtime import Runtime

PLAY_S = 1.0
MAX_SOUND_S = 0.5
MAX_SLOW_BYTES = (256 + 2 * 64) * 1024
"""What is kept for one reader, one read beyond it, and one that waits to be handled."""

MAX_GROWTH_BYTES = 32 * 1024 * 1024
MAX_RELEASED_GROWTH_BYTES = 24 * 1024 * 1024
"""Far less than a thousand reads of 64 KiB."""

DEADLINE_MS = 5000
CONNECTIONS = 40

MIXED = (
    "chunks of one byte",
    "chunk extensions",
    "trailers",
    "interim responses",
    "responses to another",
    "header lines",
    "a body with a length",
    "a body up to the end of the connection",
)


@when("eight endpoints send {what} without end beside a slow reader and sound requests")
def step_eight(context: Any, what: str) -> None:
    sender = EndlessSender(8, *(MIXED if what == "each another kind" else [what]))

    async def main(runtime: Runtime) -> None:
        context.play = EndlessPlay(runtime, sender)
        await context.play.run(PLAY_S)

    try:
        run_on_loop(main)
    finally:
        sender.close()


@then("every sound request is answered within half a second")
def step_sound_answered(context: Any) -> None:
    assert context.play.sound_s and max(context.play.sound_s) < MAX_SOUND_S, context.play.sound_s


@then("memory stays within its bounds, also for the slow reader")
def step_memory(context: Any) -> None:
    assert context.play.slow_bytes <= MAX_SLOW_BYTES, context.play.slow_bytes
    assert context.play.memory_bytes < MAX_GROWTH_BYTES, context.play.memory_bytes


@then("the requests to them fail for the size of the heads")
def step_heads(context: Any) -> None:
    failures = context.play.failures
    assert failures and all("16384 bytes of heads" in one for one in failures), failures


async def announce(fleet: FrontFleet, service: str, sender: EndlessSender) -> None:
    fields = {"zone": "z1", "slots": 8, "state": "ready", "version": "v1"}
    address = {"service": service, "address": sender.addresses[0], "sequence": 1, "born": 1}
    fleet.store.put_json("servers/x1", fields | address)
    await fleet.until(lambda: fleet.fronts[0].directory.endpoints)


@when("callers ask for {what} at an endpoint that sends {kind} without end")
def step_callers(context: Any, what: str, kind: str) -> None:
    sender = EndlessSender(1, kind)
    service, target = ("engines", "/chat/1") if what == "chats" else ("cards", "/card/1")

    async def scenario(fleet: FrontFleet) -> None:
        front = await fleet.start()
        await announce(fleet, service, sender)
        context.answers = []
        for number in range(2):
            began_s = fleet.loop.now()
            answer = await fleet.caller().ask(
                "POST", target, attempt=f"a{number}", deadline_ms=DEADLINE_MS
            )
            context.answers.append((answer, fleet.loop.now() - began_s))
        health = front.loads.ejector.health.get(EndpointId("x1"))
        context.held_back = health is not None and health.ejected

    with collected_logs("parsleyrouter.connection.endpoint_client") as records:
        try:
            run_with_fleet(context, scenario)
        finally:
            sender.close()
    context.lines = [one for one in records if one.address == sender.addresses[0]]


@then("each ends as incomplete long before its deadline")
def step_cut(context: Any) -> None:
    for answer, took_s in context.answers:
        assert answer.status == 200 and not answer.complete, answer.body[-100:]
        assert took_s < DEADLINE_MS / 1000 * 0.8, took_s


@then("the endpoint is held back")
def step_held_back(context: Any) -> None:
    assert context.held_back


@then("the endpoint is held back, and named in one log line")
def step_held_back_and_logged(context: Any) -> None:
    assert context.held_back
    assert len(context.lines) == 1, context.lines


@when("forty connections need much longer than their share of a turn")
def step_forty(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        loop, shares = runtime.loop, runtime.connector.shares
        context.served = []
        context.per_turn = []

        def work(number: int) -> None:
            time.sleep(2 * CONNECTION_SHARE_S)
            context.served.append(number)

        for number in range(CONNECTIONS):
            shares.defer(lambda number=number: work(number))
        while shares.waiting:
            before = len(context.served)
            await loop.sleep(0.0)
            context.per_turn.append(len(context.served) - before)

    run_on_loop(main)


@then("few of them are served in one turn, and all in the end")
def step_few(context: Any) -> None:
    assert sorted(context.served) == list(range(CONNECTIONS)), context.served
    assert max(context.per_turn) <= 2 * TURN_SHARE_S / CONNECTION_SHARE_S, context.per_turn


@when("a thousand requests meet header lines without end, and no collection of garbage")
def step_thousand(context: Any) -> None:
    sender = EndlessSender(1, "header lines")

    async def main(runtime: Runtime) -> None:
        play = EndlessPlay(runtime, sender)
        gc.collect()
        gc.disable()
        before_bytes = resident_bytes()
        context.failures = []
        for _ in range(1000):
            exchange = await play.open(sender.addresses[0])
            context.failures.append(await exchange.wait_headers(5.0))
        context.growth_bytes = resident_bytes() - before_bytes

    try:
        run_on_loop(main)
    finally:
        gc.enable()
        sender.close()


@then("they all fail, and memory does not hold what they have received")
def step_released(context: Any) -> None:
    assert all(isinstance(one, TransportFailure) for one in context.failures)
    assert context.growth_bytes < MAX_RELEASED_GROWTH_BYTES, context.growth_bytes


@when("a job runs at an endpoint that sends events without end, and then at a sound one")
def step_endless_item(context: Any) -> None:
    sender = EndlessSender(1, "events")

    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start()
        await announce(fleet, "engines", sender)
        before_bytes = context.growth_bytes = resident_bytes()
        body = json.dumps({"items": items(1)}).encode()
        assert (await submit(fleet, body=body)).status == 202
        until_s = fleet.loop.now() + 3.0
        while fleet.loop.now() < until_s:
            await fleet.loop.sleep(0.02)
            context.growth_bytes = max(context.growth_bytes, resident_bytes())
        context.growth_bytes -= before_bytes
        fleet.register("e1")
        context.results = await read_all(fleet)

    with collected_logs("parsleyrouter.connection.endpoint_client") as context.records:
        try:
            run_with_fleet(context, scenario)
        finally:
            sender.close()


@then("memory held no more than a result may have, and the item is listed with its whole output")
def step_item_anew(context: Any) -> None:
    assert any("an output of more than" in one.reason for one in context.records)
    assert context.growth_bytes < MAX_GROWTH_BYTES, context.growth_bytes
    assert [one["output"] for one in context.results] == [full_output()]


@when("an endpoint sends a chat and a tale of many events, far larger than one event may be")
def step_long_streams(context: Any) -> None:
    body = b"data: " + b"x" * 2000 + b"\n\n"

    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.default_behaviour = unframed(body * 500)
        await fleet.start()
        context.answers = [
            await fleet.caller().ask("POST", target) for target in ("/chat/1", "/tale/1")
        ]
        context.sent = len(endpoint.arrivals)

    run_with_fleet(context, scenario)
    context.expected = body * 500


@then("both arrive whole from their first endpoint")
def step_long_whole(context: Any) -> None:
    assert all(one.complete and one.body == context.expected for one in context.answers)
    assert context.sent == 2
