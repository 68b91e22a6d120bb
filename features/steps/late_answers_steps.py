"""Steps for answers that an engine writes once more when another call uses the connection."""

import json
from typing import Any

from behave import given, then, when

from features.support.entry import CHAT, CHAT_PATH, ScriptedEndpoint, start_entry
from features.support.loop import run_on_loop
from parsleyrouter.connection.call_client import ATTEMPT_HEADER
from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_server import Exchange
from parsleyrouter.ids import Address, KindName, ModelName, RequestId, TeamName
from parsleyrouter.process.call_dispatcher import CallDispatcher
from parsleyrouter.process.call_port import Call, Preempted
from parsleyrouter.process.fleet_view import StaticFleetView
from parsleyrouter.process.loop import Promise
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.version.schema import KindClass, KindSettings

LOAD_REPORT = HttpReply(200, {"content-type": "text/plain"}, b"vllm:num_requests_running 1\n")


def own_answer(exchange: Exchange, *, with_id: bool) -> HttpReply:
    """Return the answer to a call, which repeats its body."""
    reply = json_reply({"sent": exchange.request.body.decode()})
    if not with_id:
        return reply
    named = {ATTEMPT_HEADER: exchange.request.headers[ATTEMPT_HEADER]}
    return HttpReply(200, {**reply.headers, **named}, reply.body)


def as_bytes(reply: HttpReply) -> bytes:
    """Return an answer as an engine writes it."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in reply.headers.items())
    head = f"HTTP/1.1 {reply.status} OK\r\n{lines}Content-Length: {len(reply.body)}\r\n\r\n"
    return head.encode() + reply.body


class RepeatingEndpoint:
    """Writes its first answer once more when another request comes on the same connection."""

    def __init__(self, *, with_id: bool = True) -> None:
        self.with_id = with_id
        self.first: HttpReply | None = None
        self.sock: Any = None
        self.connections: list[Any] = []

    async def answer(self, endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply:
        """Answer a call, after a copy if it is not the first on its connection."""
        sock = exchange.res.request.sock
        self.connections.append(sock)
        if exchange.request.path == "/metrics":
            reply = LOAD_REPORT
        else:
            reply = own_answer(exchange, with_id=self.with_id)
        if self.first is None:
            self.first, self.sock = reply, sock
        elif sock is self.sock:
            exchange.server.send(sock, as_bytes(self.first))
            await endpoint.runtime.loop.sleep(0.02)
        return reply


@given("an engine that writes {copied} once more when the next call comes on its connection")
def step_engine(context: Any, copied: str) -> None:
    context.copied = copied
    context.engine = RepeatingEndpoint(with_id=copied != "an answer that has no id")


@when("a call follows it")
def step_follows(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        first = ScriptedEndpoint(runtime, "first", context.engine.answer)
        other = ScriptedEndpoint(runtime, "other", RepeatingEndpoint().answer)
        entry = start_entry(runtime, first, other)
        if context.copied == "a report of its load":
            reply: Any = await runtime.http.request(Address(first.address), "POST", "/metrics")
        else:
            reply = await entry.post(CHAT_PATH, CHAT | {"n": 1})
        assert reply.status == 200
        context.sent = CHAT | {"n": 2}
        context.reply = await entry.post(CHAT_PATH, context.sent)

    run_on_loop(main)


@then("the call gets its own answer")
def step_own(context: Any) -> None:
    assert context.reply.status == 200, context.reply
    assert b"sent" in context.reply.body, context.reply.body
    assert json.loads(context.reply.json()["sent"]) == context.sent, context.reply.body


class CancellingEngine:
    """Holds calls until they are cancelled; writes the first answer to a cancellation once more."""

    def __init__(self) -> None:
        self.held: dict[str, Promise[None]] = {}
        self.copy = b""
        self.sock: Any = None

    async def answer(self, endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply:
        """Hold a call, or cancel one with a token of its own."""
        if exchange.request.path != "/cancel":
            attempt = exchange.request.headers[ATTEMPT_HEADER]
            self.held[attempt] = endpoint.runtime.loop.promise()
            await self.held[attempt]
            return json_reply({}, status=409)
        name, sock = exchange.request.json()["id"], exchange.res.request.sock
        reply = json_reply({"cancelled": True, "parsley_resume": f"{name}:3"})
        if sock is self.sock:
            exchange.server.send(sock, self.copy)
            await endpoint.runtime.loop.sleep(0.02)
        elif not self.copy:
            self.copy, self.sock = as_bytes(reply), sock
        self.held[name].resolve(None)
        return reply


@when("two batch calls are revoked and the engine writes the first answer to a cancellation twice")
def step_revoked(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        engine = CancellingEngine()
        entry = start_entry(runtime, ScriptedEndpoint(runtime, "e", engine.answer))
        runner = CallDispatcher(runtime, entry.grants, StaticFleetView(entry.view.me))
        context.tokens = []
        tasks = []
        for number in range(2):
            tasks.append(runtime.loop.spawn(runner.run(batch_call())))
            while len(engine.held) <= number:
                await runtime.loop.sleep(0.005)
        for attempt, revoke in zip(
            list(engine.held), list(entry.grants.open.values()), strict=True
        ):
            assert revoke is not None
            revoke()
            end = await runtime.loop.within(5, tasks.pop(0))
            assert isinstance(end, Preempted), end
            context.tokens.append((attempt, end.resume_token))

    run_on_loop(main)


def batch_call() -> Call:
    """Return a batch call that an engine may cancel."""
    return Call(
        request=RequestId("r"),
        team=TeamName("t"),
        kind=KindName("batch"),
        settings=KindSettings(kind_class=KindClass.BATCH),
        method="POST",
        path=CHAT_PATH,
        body=json.dumps(CHAT).encode(),
        model=ModelName("small"),
    )


@then("the second call gets no resume token of the first")
def step_no_token(context: Any) -> None:
    assert [token for _, token in context.tokens] == [
        f"{attempt}:3" for attempt, _ in context.tokens
    ], context.tokens


@when("calls are sent one after another to engines that answer with and without the id")
def step_sequence(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        context.connections = []
        for with_id in (True, False):
            engine = RepeatingEndpoint(with_id=with_id)
            endpoint = ScriptedEndpoint(runtime, f"e{with_id}", plain(engine))
            entry = start_entry(runtime, endpoint, name=f"entry-{with_id}")
            for number in range(5):
                reply = await entry.post(CHAT_PATH, CHAT | {"n": number})
                assert reply.status == 200, reply
            assert len(engine.connections) == 5, "each call is sent once"
            context.connections.append(len(set(engine.connections)))

    run_on_loop(main)


def plain(engine: RepeatingEndpoint) -> Any:
    """Return a behaviour that notes connections and writes nothing twice."""

    async def answer(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply:
        engine.connections.append(exchange.res.request.sock)
        return own_answer(exchange, with_id=engine.with_id)

    return answer


@then("the first engine has had one connection, and the second one for each call")
def step_connections(context: Any) -> None:
    assert context.connections == [1, 5], context.connections


@when("an engine that has answered with an id answers the next call without one")
def step_without_id(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        engine = RepeatingEndpoint()
        entry = start_entry(runtime, ScriptedEndpoint(runtime, "e", plain(engine)))
        assert (await entry.post(CHAT_PATH, CHAT)).status == 200
        engine.with_id = False
        context.reply = await entry.post(CHAT_PATH, CHAT)
        context.connections = engine.connections

    run_on_loop(main)


@then("the engine has answered that call on a new connection")
def step_new_connection(context: Any) -> None:
    assert context.reply.status == 200, context.reply
    first, again, new = context.connections
    assert first is again and new is not first
