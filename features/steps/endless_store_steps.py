"""Steps for a store that sends without end, or sends bytes that are no message."""

from typing import Any

from behave import then, when

from features.support.endless_sender import EndlessSender
from features.support.log_records import collected_logs
from features.support.loop import run_on_loop
from features.support.stand_ins import UNLIMITED_BUDGET
from parsleyrouter.connection.etcd import EtcdKeyValue
from parsleyrouter.connection.http import TransportFailure
from parsleyrouter.ids import Revision
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.key_value_server import KeyValueServer

MAX_REPLIES_BYTES = 64 * 1024 * 1024


@when("eight calls to services are answered by large chunks without end")
def step_whole_replies(context: Any) -> None:
    sender = EndlessSender(8, "large chunks")

    async def main(runtime: Runtime) -> None:
        server = KeyValueServer(runtime).register(runtime)
        memory = runtime.http.memory
        tasks = [
            runtime.loop.spawn(runtime.http.request(one, "GET", "/", timeout_s=10.0))
            for one in sender.addresses
        ]
        context.used_bytes = 0
        context.small: list[Any] = []
        client = EtcdKeyValue(runtime, await server.address, budget=UNLIMITED_BUDGET)
        while not all(one.done for one in tasks):
            context.small.append(await client.get("k"))
            context.used_bytes = max(context.used_bytes, memory.used_bytes)
            await runtime.loop.sleep(0.01)
        context.replies = await runtime.loop.gather(tasks)
        context.left_bytes = memory.used_bytes

    try:
        run_on_loop(main)
    finally:
        sender.close()


@then("they fail below the memory for all replies, and a small reply beside them comes whole")
def step_whole_bounded(context: Any) -> None:
    for reply in context.replies:
        assert isinstance(reply, TransportFailure), reply
        assert "no end of the body within" in reply.message and " bytes" in reply.message, reply
    assert context.small and not any(context.small), context.small
    assert 0 < context.used_bytes <= MAX_REPLIES_BYTES, context.used_bytes
    assert context.left_bytes == 0, context.left_bytes


@when("the watched service sends {what} without end")
def step_watch(context: Any, what: str) -> None:
    sender = EndlessSender(1, what)

    async def main(runtime: Runtime) -> None:
        address = sender.addresses[0]
        # Only the size may end a watch that is sent one long line.
        silence_s = 0.5 if what == "empty events" else 60.0
        client = EtcdKeyValue(runtime, address, watch_silence_s=silence_s, budget=UNLIMITED_BUDGET)
        changes: list[Any] = []
        watch = client.watch("/w/", Revision(2), changes.append, changes.append)
        until_s = runtime.loop.now() + 10.0
        while watch.failures < 2 and runtime.loop.now() < until_s:
            await runtime.loop.sleep(0.02)
        context.opened_again, context.changes = watch.failures, changes
        watch.cancel()

    with collected_logs("parsleyrouter.connection.etcd_watch") as context.records:
        try:
            run_on_loop(main)
        finally:
            sender.close()


@then("the watch is opened again, with one log line for each time")
def step_watch_reopened(context: Any) -> None:
    assert context.opened_again >= 2 and not context.changes, context.opened_again
    assert len(context.records) == context.opened_again, context.records
