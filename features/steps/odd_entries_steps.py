"""Steps for values of other writers that cannot be read or believed."""

import json
from random import Random
from typing import Any

import h11
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.steps.front_jobs_steps import items, read, read_all, submit
from features.steps.front_requests_steps import run_with_fleet
from features.support.front_fleet import FrontFleet, routes
from features.support.loop import run_on_loop
from parsleyrouter.connection.key_value import Entry
from parsleyrouter.connection.peer import FRAME_HEADER, PeerFailure
from parsleyrouter.decoding import MAX_COUNT
from parsleyrouter.ids import DomainName, EndpointId, Revision
from parsleyrouter.platform.adapter import PLATFORM
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.load_codec import decode, encode_crashes
from parsleyrouter.request.batch_item import InvalidItem, read_item
from parsleyrouter.request.crash import Crash
from parsleyrouter.request.placement import choose_endpoint, queue_wait_s
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

HUGE = int("9" * 401)
DEPTH = 100_000
SOUND = {
    "service": "engines",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "slots": 8,
    "state": "ready",
    "version": "v1",
    "sequence": 1,
    "born": 1,
}
NESTED = b"[" * DEPTH + b"]" * DEPTH

ODD_FIELDS: dict[str, dict[str, Any]] = {
    "slots of 401 digits": {"slots": HUGE},
    "slots of 16 digits": {"slots": 10**15},
    "slots below 1": {"slots": -3},
    "a start of 401 digits": {"born": HUGE},
    "a start below 0": {"born": -1},
    "a port of 0": {"address": "127.0.0.1:0"},
    "a port of 99999": {"address": "127.0.0.1:99999"},
    "a port of 401 digits": {"address": f"127.0.0.1:{HUGE}"},
    "a port in other digits": {"address": "127.0.0.1:\u0669\u0660\u0669\u0660"},
    "an address of two lines": {"address": "127.0.0.1:9\n"},
    "an id that no header takes": {},
}


def odd_entry(what: str) -> tuple[str, bytes]:
    """Return key and value of an odd registration."""
    sound = json.dumps(SOUND).encode()
    if what in ODD_FIELDS:
        key = "servers/a b\r\nX: 1" if what.startswith("an id") else "servers/odd"
        return key, json.dumps(SOUND | ODD_FIELDS[what]).encode()
    values = {
        "a field nested 100000 deep": sound[:-1] + b',"more":' + NESTED + b"}",
        "only nesting": NESTED,
        "a number without end": sound[:-1] + b',"coldRemainingMs":1e400}',
        "bytes that are no text": sound.replace(b"engines", b"\xff\xfe"),
    }
    return "servers/odd", values[what]


@given("an endpoint, and beside it a registration with {what}")
def step_odd(context: Any, what: str) -> None:
    context.odd = odd_entry(what)


@when("a node starts, and endpoints come, go and come under odd entries later")
def step_play(context: Any) -> None:
    key, value = context.odd
    context.statuses = []

    async def scenario(fleet: FrontFleet) -> None:
        async def ask(count: int = 4) -> None:
            for _ in range(count):
                answer = await fleet.caller().ask("POST", "/chat/1")
                context.statuses.append(answer.status)

        fleet.store.put(key, value)
        fleet.register("e1")
        front = await fleet.start()
        known = front.directory.endpoints
        await ask()
        fleet.store.put(key, value)
        fleet.register("e2")
        await fleet.until(lambda: "e2" in known)
        await ask()
        fleet.store.remove("servers/e1")
        await fleet.until(lambda: "e1" not in known)
        fleet.store.forget_history()
        fleet.store.put(key, value)
        fleet.register("e3")
        await fleet.until(lambda: "e3" in known)
        await ask()
        context.known = set(known)

    run_with_fleet(context, scenario)


@then("every request is answered, and the node follows each change")
def step_followed(context: Any) -> None:
    assert set(context.statuses) == {200}, context.statuses
    assert context.known == {"e2", "e3"}, context.known


ODD_NUMBERS = st.one_of(
    st.integers(),
    st.sampled_from([HUGE, -HUGE, 10**15, 0, 2**63]),
    st.floats(allow_nan=False, allow_infinity=False),
)
ODD_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), ODD_NUMBERS, st.text()),
    lambda inner: st.one_of(st.lists(inner), st.dictionaries(st.text(), inner)),
    max_leaves=5,
)
ADDRESSES = st.one_of(
    st.text(),
    st.from_regex(r"\d{1,3}(\.\d{1,3}){3}:\d{1,7}", fullmatch=True),
    st.just("127.0.0.1:9"),
)


@when("any values are stored as registrations")
def step_any(context: Any) -> None:
    context.accepted = 0
    fields = {
        name: st.one_of(st.just(value), ODD_VALUES, ADDRESSES if name == "address" else st.text())
        for name, value in (SOUND | {"coldRemainingMs": 5}).items()
    }

    @settings(max_examples=600)
    @for_all(st.fixed_dictionaries(fields), st.one_of(st.just("e1"), st.text()), st.binary())
    def store(values: dict[str, Any], name: str, noise: bytes) -> None:
        for value in (json.dumps(values).encode(), json.dumps(SOUND).encode() + noise, noise):
            context.accepted += _use(Entry(f"servers/{name}", value, Revision(1)))

    store()


def _use(entry: Entry) -> bool:
    """Use a registration as nodes do; return whether it was accepted."""
    found = PLATFORM.decode_endpoint(entry)
    if found is None:
        return False
    loads = EndpointLoads(Random(1))
    loads.request_started(found.endpoint, batch=False, now=1.0)
    candidates = loads.candidates([found], 1.0)
    best = choose_endpoint(candidates, DomainName("z1"), Random(1))
    assert best is not None
    queue_wait_s(best, 0.5)
    headers = [(b"Host", b"h"), (b"X-Expect-Instance", found.endpoint.encode())]
    h11.Request(method="POST", target="/", headers=headers)
    crash = Crash(EndpointId(found.endpoint), 1.0, set(), found.started_ms)
    assert decode(encode_crashes([crash], 0.1), 2.0).crashes[0].started_ms == found.started_ms
    return True


@then("each is left out, or a request can be placed at it, sent to it and reported")
def step_used(context: Any) -> None:
    assert context.accepted > 5, context.accepted


ODD_HEADERS = {
    "X-Server-Load of other digits": (b"X-Server-Load", b"\xb2,0,8"),
    "X-Server-Load of 401 digits": (b"X-Server-Load", b"%d,0,8" % HUGE),
    "X-Server-Load of 5000 digits": (b"X-Server-Load", b"9" * 5000 + b",0,8"),
    "Keep-Alive of 5000 digits": (b"Keep-Alive", b"timeout=" + b"9" * 5000),
    "Server-Limit of 401 digits": (b"Server-Limit", b"%d" % HUGE),
    "Server-Limit without end": (b"Server-Limit", b"1e400"),
}


@given("an endpoint whose answers have the header {header}")
def step_header(context: Any, header: str) -> None:
    context.header = ODD_HEADERS[header]


@when("requests are sent one after another")
def step_requests(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        name = context.header[0]
        proof = endpoint.proof
        endpoint.proof = lambda arrival: [  # type: ignore[method-assign]
            *(one for one in proof(arrival) if one[0] != name),
            context.header,
        ]
        await fleet.start()
        context.statuses = [
            (await fleet.caller().ask("POST", f"/{kind}/1")).status
            for kind in ("chat", "tale", "chat", "tale", "chat")
        ]

    run_with_fleet(context, scenario)


@then("all of them are answered")
def step_all_answered(context: Any) -> None:
    assert set(context.statuses) == {200}, context.statuses


@when("a node gets a call with {call}")
def step_call(context: Any, call: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        await fleet.start()
        if call.startswith("items"):
            answer = await submit(fleet, body=b'{"items":' + NESTED + b"}", job="odd")
        elif call.startswith("tokens"):
            rows = [items(1)[0] | {"tokens": HUGE}]
            answer = await submit(fleet, body=json.dumps({"items": rows}).encode(), job="odd")
        else:
            assert (await submit(fleet, job="odd")).status == 202
            await read_all(fleet, job="odd")
            after, wait = (HUGE, "0") if call.startswith("a position") else (0, "1e400")
            target, headers = f"/lots/odd?after={after}", [("X-Wait-Ms", wait)]
            answer = await fleet.caller().ask("GET", target, headers=headers, deadline_ms=None)
        context.status = answer.status
        assert (await submit(fleet)).status == 202
        context.results = await read_all(fleet)
        assert isinstance(await read(fleet), dict)

    run_with_fleet(context, scenario)


@then("the answer is {status:d}, and the next job is accepted and done")
def step_next_job(context: Any, status: int) -> None:
    assert context.status == status, context.status
    assert {one["state"] for one in context.results} == {"completed"}


@when("the operator's record is nested too deep or no JSON")
def step_routes(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        front = await fleet.start()
        for value in (NESTED, b"\xff", b'{"version":' + b"9" * 5000 + b"}"):
            fleet.store.put("op/config", value)
            await fleet.loop.sleep(0.1)
        context.status = (await fleet.caller().ask("POST", "/chat/1")).status
        fleet.store.put_json("op/config", routes(7))
        await fleet.until(lambda: front.routes.version == 7)

    run_with_fleet(context, scenario)


@then("the former routes stay in force, and the next record applies")
def step_routes_kept(context: Any) -> None:
    assert context.status == 200, context.status


@when("a peer answers a call with any bytes")
def step_frames(context: Any) -> None:
    context.outcomes = []

    async def scenario(runtime: Any) -> None:
        random = Random(5)
        frames = [random.randbytes(random.randint(1, 60)) for _ in range(30)]
        sent = [FRAME_HEADER.pack(len(one)) + one for one in frames] + frames
        answers = iter(sent)

        from circuits.net.events import write
        from circuits.net.sockets import TCPServer

        class OddPeer(TCPServer):
            channel = "odd-peer"

            def read(self, sock: Any, data: bytes) -> None:
                self.fire(write(sock, next(answers)))

        server = OddPeer("127.0.0.1:0").register(runtime)
        await runtime.loop.sleep(0.05)
        address = f"{server.host}:{server.port}"
        for _ in sent:
            outcome = await runtime.peers.call(address, "m", Envelope(call=1), Envelope, 0.1)
            context.outcomes.append(outcome)

    run_on_loop(scenario)


@then("the call fails at once, or when its time is over if a frame is not complete")
def step_calls_failed(context: Any) -> None:
    assert len(context.outcomes) == 60
    assert all(isinstance(one, PeerFailure) for one in context.outcomes), context.outcomes


@when("lines of a job are nested too deep, no text, or name too many tokens")
def step_lines(context: Any) -> None:
    body = b'{"model":"m","max_tokens":%d}' % HUGE
    head = b'{"custom_id":"a","url":"/v1/completions","body":'
    lines = [
        NESTED,
        head + b'{"model":"m","more":' + NESTED + b"}}",
        head + b'{"model":"\xff"}}',
        head + b'{"model":1}}',
        head + body + b"}",
    ]
    context.lines = [_read_line(line) for line in lines]


def _read_line(line: bytes) -> Any:
    try:
        return read_item(line)
    except InvalidItem as error:
        return error


@then("each is refused with its reason, or read with a number of tokens that is believed")
def step_lines_refused(context: Any) -> None:
    *refused, read_line = context.lines
    assert all(isinstance(one, InvalidItem) and str(one) for one in refused), refused
    assert read_line.output_tokens == MAX_COUNT
