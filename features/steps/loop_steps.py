"""Steps for the event loop and for calls between processes."""

import socket
import threading
import time
from typing import Any

from behave import then, when
from circuits import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from features.support.loop import run_on_loop
from parsleyrouter.connection.peer import PeerMethods, PeerServer
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Cancelled, TimedOut
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.peer.ttypes import Envelope


@when("tasks sleep for any of a set of times")
def sleep_many(context: Any) -> None:
    context.orders = []

    @settings(max_examples=5)
    @given(st.lists(st.integers(0, 20), min_size=1, max_size=8, unique=True))
    def check(delays: list[int]) -> None:
        woken: list[int] = []

        async def main(runtime: Runtime) -> None:
            async def sleep_and_note(delay: int) -> None:
                await runtime.loop.sleep(delay / 100)
                woken.append(delay)

            await runtime.loop.gather(
                [runtime.loop.spawn(sleep_and_note(delay)) for delay in delays]
            )

        run_on_loop(main)
        context.orders.append((delays, woken))

    check()


@then("they wake in order of their due times")
def woke_in_order(context: Any) -> None:
    assert context.orders
    for delays, woken in context.orders:
        assert woken == sorted(delays), (delays, woken)


@when("a task sleeps past its timeout")
def sleep_too_long(context: Any) -> None:
    seen: list[str] = []

    async def main(runtime: Runtime) -> None:
        async def sleep_and_note() -> None:
            try:
                await runtime.loop.sleep(30)
            except Cancelled:
                seen.append("cancelled")
                raise

        try:
            await runtime.loop.within(0.05, runtime.loop.spawn(sleep_and_note()))
        except TimedOut:
            seen.append("timed out")
        await runtime.loop.sleep(0)

    run_on_loop(main)
    context.seen = seen


@then("it is cancelled and the waiter gets a timeout")
def was_cancelled(context: Any) -> None:
    assert sorted(context.seen) == ["cancelled", "timed out"], context.seen


@when("a peer echoes a binary message of any content")
def echo_any(context: Any) -> None:
    context.echoes = []

    @settings(max_examples=10)
    @given(st.binary(max_size=4096))
    def check(data: bytes) -> None:
        methods = PeerMethods()

        @methods.add("echo", Envelope)
        async def echo(_: Any, message: Envelope) -> Envelope:
            return message

        async def main(runtime: Runtime) -> bytes:
            server = PeerServer(runtime.loop, Address("127.0.0.1:0"), methods, None)
            server.register(runtime)
            await runtime.loop.sleep(0)
            message = Envelope(call=1, method="x", payload=data)
            answer = await runtime.peers.call(
                server.bound_address(), "echo", message, Envelope, timeout_s=5
            )
            return answer.payload

        context.echoes.append((data, run_on_loop(main)))

    check()


@then("the message is returned unchanged")
def unchanged(context: Any) -> None:
    assert context.echoes
    for sent, received in context.echoes:
        assert sent == received


class _note(Event):  # noqa: N801
    """Event without data."""


@when("a timer fires an event and another timer follows")
def fire_from_timer(context: Any) -> None:
    context.waits = []

    async def main(runtime: Runtime) -> None:
        poller = runtime.loop.poller
        poll = poller._generate_events

        def watched(event: Any) -> None:
            if len(runtime._queue):
                context.waits.append(event.time_left)
            poll(event)

        poller._generate_events = watched
        runtime.loop.call_later(0.05, lambda: runtime.fire(_note()))
        await runtime.loop.sleep(0.3)

    run_on_loop(main)


@then("the loop never polled while the event was queued")
def never_polled(context: Any) -> None:
    assert context.waits, "no event was ever queued at a poll"
    assert set(context.waits) == {0}, context.waits


@when("a process is blocked past a timeout while the answer waits in the socket")
def stand_still(context: Any) -> None:
    listener = socket.create_server(("127.0.0.1", 0))

    def answer() -> None:
        sock, _ = listener.accept()
        sock.recv(1)
        sock.sendall(b"answer")

    thread = threading.Thread(target=answer, daemon=True)
    thread.start()

    async def main(runtime: Runtime) -> bytes:
        address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
        stream = await runtime.connector.open(address)
        arrived = runtime.loop.promise()
        stream.on_data = arrived.resolve
        stream.send(b"?")
        thread.join()
        waiting = runtime.loop.spawn(runtime.loop.within(0.1, arrived))
        runtime.loop.call_soon(lambda: time.sleep(0.2))
        try:
            return await waiting
        finally:
            stream.close()
            listener.close()

    try:
        context.answer = run_on_loop(main)
    except TimedOut as error:
        context.answer = error


@then("the waiter gets the answer")
def got_answer(context: Any) -> None:
    assert context.answer == b"answer", repr(context.answer)
