"""Steps for oversized, slow and malformed requests."""

import json
from typing import Any

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.support.entry import (
    CHAT,
    CHAT_PATH,
    EVENTS,
    KEY,
    STREAM,
    ScriptedEndpoint,
    TestEntry,
    respond_ok,
    start_entry,
)
from features.support.loop import run_on_loop
from parsleyrouter.connection.http import HttpReply, json_reply
from parsleyrouter.connection.http_limits import HttpLimits
from parsleyrouter.connection.http_server import Exchange
from parsleyrouter.process.loop import TimedOut
from parsleyrouter.process.runtime import Runtime

AUTH = f"authorization: Bearer {KEY}\r\n".encode()
SMALL_LIMITS = HttpLimits(
    body_bytes=1024,
    upload_bytes=4096,
    header_timeout_s=0.3,
    body_gap_timeout_s=0.3,
    send_stall_timeout_s=0.5,
    discard_timeout_s=0.3,
    connections=4,
    uploads=1,
)


class RawCaller:
    """A caller that sends raw bytes over one connection."""

    def __init__(self, runtime: Runtime, stream: Any) -> None:
        self.runtime = runtime
        self.stream = stream
        self.received = b""
        self.closed = runtime.loop.promise()
        stream.on_data = self._take
        stream.on_close = lambda: self.closed.resolve(None)

    def _take(self, data: bytes) -> None:
        self.received += data

    async def read_until_closed(self, limit_s: float = 5.0) -> bytes:
        """Return everything received until the entry closes the connection."""
        await self.runtime.loop.within(limit_s, self.closed)
        return self.received


async def raw_caller(entry: TestEntry) -> RawCaller:
    """Open a raw connection to an entry."""
    return RawCaller(entry.runtime, await entry.runtime.connector.open(entry.address))


def head(method: str, path: str, *headers: bytes) -> bytes:
    """Return the head of an authenticated request."""
    lines = b"".join(line + b"\r\n" for line in headers)
    return f"{method} {path} HTTP/1.1\r\nhost: x\r\n".encode() + AUTH + lines + b"\r\n"


def chat_head(*headers: bytes) -> bytes:
    """Return the head of a chat request."""
    return head("POST", CHAT_PATH, *headers)


def chat_request(body: bytes) -> bytes:
    """Return a complete chat request."""
    return chat_head(b"content-length: %d" % len(body)) + body


BAD_REQUESTS = {
    "no request line": (b"\x16\x03\x01\x02\x00\r\n\r\n", 400),
    "no host": (b"GET /v1/models HTTP/1.1\r\n\r\n", 400),
    "header without colon": (head("GET", "/v1/models", b"nonsense"), 400),
    "long header": (head("GET", "/v1/models", b"x: " + b"a" * 70_000), 400),
    "many headers": (head("GET", "/v1/models", *[b"x-%d: 1" % n for n in range(200)]), 400),
    "length not a number": (chat_head(b"content-length: ten"), 400),
    "negative length": (chat_head(b"content-length: -1"), 400),
    "two lengths": (chat_head(b"content-length: 1", b"content-length: 2") + b"{}", 400),
    "announced too large": (chat_head(b"content-length: 5000"), 413),
    "chunked too large": (
        chat_head(b"transfer-encoding: chunked") + b"7d0\r\n" + b"a" * 2000 + b"\r\n",
        413,
    ),
    "bad chunk size": (chat_head(b"transfer-encoding: chunked") + b"zz\r\n", 400),
    "compressed": (chat_head(b"content-encoding: gzip", b"content-length: 2") + b"{}", 400),
    "not UTF-8": (chat_request(b'{"model": "\xff\xfe", "messages": []}'), 400),
    "not JSON": (chat_request(b"{"), 400),
    "not an object": (chat_request(b"[]"), 400),
    "deep": (chat_request(b"[" * 1000), 400),
    "no messages": (chat_request(b'{"model": "small"}'), 400),
    "unknown model": (chat_request(b'{"model": "big", "messages": []}'), 404),
    "resume token": (
        chat_request(b'{"model": "small", "messages": [], "parsley_resume": "a:1"}'),
        400,
    ),
    "unknown kind": (
        chat_head(b"x-parsley-kind: none", b"content-length: 33")
        + b'{"model": "small", "messages":[]}',
        400,
    ),
    "bad deadline": (
        chat_head(b"x-parsley-deadline-s: soon", b"content-length: 33")
        + b'{"model": "small", "messages":[]}',
        400,
    ),
    "path upwards": (head("POST", "/v1/services/cards/../../admin", b"content-length: 0"), 400),
    "path upwards, encoded": (
        head("POST", "/v1/services/cards/%2e%2e%2fadmin", b"content-length: 0"),
        400,
    ),
    "unknown application": (head("POST", "/v1/services/none/x", b"content-length: 0"), 404),
    "key not ASCII": (
        head("POST", "/v1/services/cards/send", b"idempotency-key: \xff", b"content-length: 0"),
        400,
    ),
    "unknown path": (head("GET", "/nothing"), 404),
}


@when("bad input: malformed and oversized requests of many kinds are sent")
def send_bad_requests(context: Any) -> None:
    context.responses = {}

    async def main(runtime: Runtime) -> None:
        endpoint = ScriptedEndpoint(runtime, "e", respond_ok)
        entry = start_entry(runtime, endpoint)
        entry.server.limits = SMALL_LIMITS
        for name, (data, _) in BAD_REQUESTS.items():
            caller = await raw_caller(entry)
            caller.stream.send(data)
            for _ in range(200):
                if caller.received.count(b"\r\n\r\n") and caller.received.endswith(b"}"):
                    break
                await runtime.loop.sleep(0.01)
            context.responses[name] = caller.received
            caller.stream.close()
        context.seen = len(endpoint.seen)
        await runtime.loop.sleep(0.05)
        context.buffered = entry.server.buffered

    run_on_loop(main)


@then("bad input: each is refused with its status and not_run, and reaches no endpoint")
def bad_requests_refused(context: Any) -> None:
    for name, (_, status) in BAD_REQUESTS.items():
        response = context.responses[name]
        assert response.startswith(b"HTTP/1.1 %d" % status), (name, response)
        error = json.loads(response.partition(b"\r\n\r\n")[2])["error"]
        assert error["ran"] == "not_run" and error["message"], (name, response)
    assert context.seen == 0 and context.buffered == 0


@when("bad input: arbitrary bytes are sent in one or more chunks")
def send_random_bytes(context: Any) -> None:
    chunks = st.one_of(
        st.binary(max_size=200),
        st.sampled_from([chat_head(), head("GET", "/"), b"\r\n", b"\r\n\r\n", b"0\r\n\r\n"]),
    )
    context.rounds = []

    @settings(max_examples=40)
    @for_all(st.lists(chunks, max_size=6))
    def check(sent: list[bytes]) -> None:
        async def main(runtime: Runtime) -> None:
            endpoint = ScriptedEndpoint(runtime, "e", respond_ok)
            entry = start_entry(runtime, endpoint)
            caller = await raw_caller(entry)
            for chunk in sent:
                caller.stream.send(chunk)
                await runtime.loop.sleep(0.001)
            seen = len(endpoint.seen)
            reply = await entry.post(CHAT_PATH, CHAT)
            context.rounds.append((seen, reply.status))

        run_on_loop(main)

    check()


@then("bad input: none reach an endpoint and the next caller is served")
def next_caller_served(context: Any) -> None:
    assert set(context.rounds) == {(0, 200)}, set(context.rounds)


@when("bad input: callers send a head, a body and a job slowly, and one does not read its response")
def send_slowly(context: Any) -> None:
    async def flood(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply | None:
        stream = exchange.open_stream(200, EVENTS)
        while not stream.disconnected:
            stream.send(b"data: " + b"x" * 60_000 + b"\n\n")
            await stream.drain()
            await endpoint.runtime.loop.sleep(0.001)
        stream.abort()
        return None

    async def main(runtime: Runtime) -> None:
        loop = runtime.loop
        endpoint = ScriptedEndpoint(runtime, "e", flood)
        entry = start_entry(runtime, endpoint)
        entry.server.limits = SMALL_LIMITS
        starts = [
            b"GET /v1/models HTTP/1.1\r\nhost:",
            chat_head(b"content-length: 500") + b"{",
            head("POST", "/v1/batches", b"idempotency-key: k", b"content-length: 500") + b"{}\n",
        ]
        callers = [await raw_caller(entry) for _ in starts]
        for caller, start in zip(callers, starts, strict=True):
            caller.stream.send(start)
        context.cut = [await caller.read_until_closed() for caller in callers]
        context.jobs, context.seen = dict(entry.jobs.bodies), len(endpoint.seen)
        stalled_reader = await raw_caller(entry)
        stalled_reader.stream.pause()
        stalled_reader.stream.send(chat_request(json.dumps(STREAM).encode()))
        for _ in range(500):
            if entry.grants.results:
                break
            await loop.sleep(0.02)
        context.slots = (len(entry.grants.results), dict(entry.grants.open))
        stalled_reader.stream.close()

    run_on_loop(main)


@then("bad input: all are disconnected, nothing was run and the slot was released")
def slow_callers_disconnected(context: Any) -> None:
    for response in context.cut:
        assert b'"ran":"not_run"' in response, response
    assert context.jobs == {} and context.seen == 0
    assert context.slots == (1, {}), context.slots


@when("bad input: several requests are pipelined on one connection")
def pipeline(context: Any) -> None:
    concurrent = []

    async def slow(endpoint: ScriptedEndpoint, exchange: Exchange) -> HttpReply:
        concurrent.append(len(endpoint.server.tasks))
        number = json.loads(exchange.request.body)["n"]
        await endpoint.runtime.loop.sleep(0.02 * (4 - number))
        return json_reply({"n": number})

    async def main(runtime: Runtime) -> None:
        entry = start_entry(runtime, ScriptedEndpoint(runtime, "e", slow))
        caller = await raw_caller(entry)
        bodies = [json.dumps(CHAT | {"n": number}).encode() for number in range(4)]
        caller.stream.send(b"".join(map(chat_request, bodies)))
        caller.stream.send(b"x" * 100)
        for _ in range(200):
            if caller.received.count(b'{"n":') == 4:
                break
            await runtime.loop.sleep(0.01)
        context.pipelined, context.concurrent = caller.received, concurrent

    run_on_loop(main)


@then("bad input: the responses arrive in order and one request ran at a time")
def in_order(context: Any) -> None:
    places = [context.pipelined.find(b'{"n":%d}' % number) for number in range(4)]
    assert places == sorted(places) and places[0] > 0, places
    assert max(context.concurrent) <= 1, context.concurrent


@when("bad input: a large job, a truncated one and too many concurrent jobs are sent")
def large_jobs(context: Any) -> None:
    lines = b"".join(b'{"key":"%d","body":{"prompt":"hello"}}\n' % n for n in range(79_000))

    async def main(runtime: Runtime) -> None:
        entry = start_entry(runtime, ScriptedEndpoint(runtime, "e", respond_ok))
        entry.server.limits = HttpLimits(uploads=1)
        context.large = await entry.post("/v1/batches", lines, idempotency_key="large")
        context.whole = entry.jobs.bodies.get("job-nkabom-large") == lines  # type: ignore
        context.largest = entry.jobs.largest_piece
        truncated = await raw_caller(entry)
        start = head("POST", "/v1/batches", b"idempotency-key: cut", b"content-length: 9000")
        truncated.stream.send(start + b"{}\n")
        await runtime.loop.sleep(0.05)
        context.crowded = await entry.post("/v1/batches", b"{}\n", idempotency_key="other")
        truncated.stream.close()
        await runtime.loop.sleep(0.05)
        context.accepted = set(entry.jobs.bodies)
        context.after = await entry.post("/v1/batches", b"{}\n", idempotency_key="after")
        context.unknown = await entry.post("/v1/batches", lines, key="sk-none", idempotency_key="x")

    run_on_loop(main)


@then("bad input: the large one is complete, read in small chunks, and the others are refused")
def large_job_accepted(context: Any) -> None:
    assert context.large.status == 202 and context.large.json()["items"] == 79_000
    assert context.whole and context.largest <= 512 * 1024, context.largest
    assert context.crowded.status == 503 and b'"not_run"' in context.crowded.body
    assert context.accepted == {"job-nkabom-large"} and context.after.status == 202
    assert context.unknown.status == 401, context.unknown


@when("bad input: more connections are opened than allowed")
def open_too_many_connections(context: Any) -> None:
    async def main(runtime: Runtime) -> None:
        entry = start_entry(runtime, ScriptedEndpoint(runtime, "e", respond_ok))
        entry.server.limits = SMALL_LIMITS
        callers = [await raw_caller(entry) for _ in range(6)]
        context.over = []
        for caller in callers[4:]:
            try:
                context.over.append(await caller.read_until_closed())
            except TimedOut:
                context.over.append(b"still open")
        context.under = [caller.received for caller in callers[:4]]

    run_on_loop(main)


@then("bad input: those over the limit are refused with 503")
def refused_over_limit(context: Any) -> None:
    for response in context.over:
        assert response.startswith(b"HTTP/1.1 503") and b'"not_run"' in response, response
    assert context.under == [b""] * 4
