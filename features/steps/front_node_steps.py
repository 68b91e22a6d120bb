"""Steps for a front process as a node."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from behave import then, when

from features.steps.front_requests_steps import all_events, run_with_fleet
from features.support.front_fleet import HOST, Caller, FrontFleet, routes
from parsleyrouter.process.stop_window import MAX_ADDRESSES_TTL_S
from parsleyrouter.standins.ports import free_address

ROOT = Path(__file__).resolve().parents[2]


async def http_get(fleet: FrontFleet, address: Any, path: str) -> Any:
    return await Caller(fleet.runtime, address).ask("GET", path)


@when("callers ask two nodes for addresses, and one of them then leaves")
def step_locate(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start(2)
        stays, leaves = fleet.fronts

        async def resolve() -> list[list[str]]:
            answers = []
            for options in fleet.options:
                path = f"/resolve?name={HOST}&region=r&zone=z1"
                answers.append(await http_get(fleet, options.locate, path))
            return [json.loads(one.body)["addresses"] for one in answers]

        await fleet.loop.sleep(0.7)
        context.before = await resolve()
        leaves.registry.leaving = True
        leaves.exchange.broadcast()
        await fleet.loop.sleep(0.1)
        context.after = await resolve()
        context.both = {front.registry.own.callers for front in fleet.fronts}
        context.stays = stays.registry.own.callers

    run_with_fleet(context, scenario)


@then("both are returned at first, and afterwards only the one that stays")
def step_located(context: Any) -> None:
    assert [set(one) for one in context.before] == [context.both] * 2
    assert context.after == [[context.stays]] * 2


@when("a node's readiness is queried at each stage of its life cycle")
def step_ready(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        front = await fleet.start(configured=False)
        ready = fleet.options[0].ready
        statuses = [(await http_get(fleet, ready, "/readiness")).status]
        fleet.store.put_json("op/config", routes())
        await fleet.until(lambda: front.routes.version == 1)
        statuses.append((await http_get(fleet, ready, "/readiness")).status)
        context.metrics = (await http_get(fleet, ready, "/metrics")).body
        front.registry.leaving = True
        statuses.append((await http_get(fleet, ready, "/readiness")).status)
        context.statuses = statuses

    run_with_fleet(context, scenario)


@then("it is ready only from its first routes until its shutdown")
def step_was_ready(context: Any) -> None:
    assert context.statuses == [503, 200, 503]
    assert b"parsley_forwarded_requests" in context.metrics


@when("a node is stopped in the middle of a stream")
def step_stop(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        endpoint = fleet.register("e1")
        endpoint.events, endpoint.gap_s = 40, 0.02
        await fleet.start()
        caller = fleet.caller()
        await caller.send("POST", "/chat/1")
        await fleet.until(lambda: caller.answer.body)
        started_s = fleet.loop.now()
        stop = fleet.loop.spawn(fleet.runtime.stop_hooks[-1](), "stop")
        context.answer = await caller.wait()
        second = await fleet.caller().ask("POST", "/chat/2", attempt="a2")
        context.second = second
        await stop
        context.took_s = fleet.loop.now() - started_s

    run_with_fleet(context, scenario)


@then("the stream completes, its connection closes, and the shutdown ends soon after")
def step_stopped(context: Any) -> None:
    assert context.answer.complete and context.answer.body == all_events(40)
    assert context.second.complete
    assert context.second.headers["Connection"] == "close"
    assert 3 * MAX_ADDRESSES_TTL_S <= context.took_s < 8.0 * 0.9


@when("the store expires the lease of a node and deletes its keys")
def step_revoke(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        front = await fleet.start()
        previous = front.registry.lease
        fleet.store.end_lease(previous)
        started_s = fleet.loop.now()
        await fleet.until(lambda: front.registry.lease not in (0, previous))
        context.took_s = fleet.loop.now() - started_s
        context.keys = [key for key in fleet.store.rows if "/node/" in key]

    run_with_fleet(context, scenario)


@then("the node is registered again within two seconds")
def step_registered(context: Any) -> None:
    assert context.took_s < 2.0
    assert context.keys == ["parsley/live/node/front-0"]


@when("an endpoint leaves while the store compacts its history")
def step_compact_history(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        for name in ("e1", "e2"):
            fleet.register(name)
        front = await fleet.start()
        fleet.store.remove("servers/e1")
        fleet.store.forget_history()

        await fleet.until(lambda: "e1" not in front.directory.endpoints)
        caller = fleet.caller()
        for number in range(6):
            await caller.ask("POST", "/chat/1", attempt=f"a{number}")

    run_with_fleet(context, scenario)


@then("the node sends it no more requests")
def step_nothing_sent(context: Any) -> None:
    counts = [len(context.fleet.endpoints[name].arrivals) for name in ("e1", "e2")]
    assert counts == [0, 6]


@when("the store refuses all calls of a node for a while and the routes change meanwhile")
def step_cut(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("e1")
        front = await fleet.start()
        fleet.store.faults.refuse = 503
        fleet.store.put_json("op/config", routes(2))
        await fleet.loop.sleep(1.0)
        context.meanwhile = await fleet.caller().ask("POST", "/chat/1")
        context.version = front.routes.version
        fleet.store.faults.refuse = 0
        started_s = fleet.loop.now()
        await fleet.until(lambda: front.routes.version == 2)
        context.took_s = fleet.loop.now() - started_s

    run_with_fleet(context, scenario)


@then("callers are served meanwhile, and the new routes are active soon afterwards")
def step_served_on(context: Any) -> None:
    assert context.meanwhile.status == 200 and context.version == 1
    assert context.took_s < 1.5


@when("the operator requests that a store VM be drained")
def step_drain_store(context: Any) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        await fleet.start()
        fleet.store.put_json("op/retire/store-1", {"durationS": 10})
        await fleet.until(lambda: "status/retire/store-1" in fleet.store.rows)
        context.report = json.loads(fleet.store.rows["status/retire/store-1"].value)

    run_with_fleet(context, scenario)


@then("the report says that it is completed")
def step_drained(context: Any) -> None:
    assert context.report == {"state": "completed"}


def _request(*lines: bytes, body: bytes = b"") -> bytes:
    start_line = [b"POST /card/1 HTTP/1.1", b"Host: " + HOST.encode(), b"X-Attempt-Id: a1"]
    return b"\r\n".join([*start_line, *lines]) + b"\r\n\r\n" + body


REQUESTS: dict[str, bytes] = {
    "two different lengths": _request(b"Content-Length: 2", b"Content-Length: 3", body=b"abc"),
    "a space before the colon": _request(b"Content-Length : 2", body=b"ab"),
    "a bare carriage return": _request(b"X-A: b\rContent-Length: 9", b"Content-Length: 0"),
    "a length that is no number": _request(b"Content-Length: +2", body=b"ab"),
    "headers without end": _request(b"X-A: " + b"y" * 40_000),
    "a body beyond the limit": _request(b"Content-Length: 99999999", body=b"ab"),
}


async def send_raw(fleet: FrontFleet, data: bytes) -> list[bytes]:
    """Send bytes and return what is received within a second."""
    stream = await fleet.runtime.connector.open(fleet.fronts[0].registry.own.callers)
    pieces: list[bytes] = []
    stream.on_data = pieces.append
    stream.send(data)
    await fleet.loop.sleep(1.0)
    stream.close()
    return pieces


@when("a caller sends {form}")
def step_send_form(context: Any, form: str) -> None:
    async def scenario(fleet: FrontFleet) -> None:
        fleet.register("c1", "cards")
        await fleet.start()
        data = REQUESTS.get(form, CHUNKED_REQUEST)
        context.pieces = await send_raw(fleet, data)

    run_with_fleet(context, scenario)


@then("nothing reaches an endpoint and the caller gets a refusal or is disconnected")
def step_refused_form(context: Any) -> None:
    assert not context.fleet.endpoints["c1"].arrivals
    answer = b"".join(context.pieces)
    assert not answer or answer.split()[1][:1] == b"4", answer


CHUNKED_REQUEST = _request(
    b"Content-Length: 40", b"Transfer-Encoding: chunked", body=b"3\r\nabc\r\n0\r\n\r\n"
)


@then("the endpoint gets at most the chunks' bytes, with their actual length")
def step_chunks(context: Any) -> None:
    for arrival in context.fleet.endpoints["c1"].arrivals:
        assert arrival.body == b"abc"
        assert arrival.header("Content-Length") == "3"
        assert arrival.header("Transfer-Encoding") is None


SETTINGS = """
node = "front-z1-1"
ip = "127.0.0.1"
zone = "z1"
internalPorts = [{port}, {port}]
unknown = "fields are ignored"
[listen]
front = "{front}"
ready = "{ready}"
directory = "{directory}"
[bounds]
graceS = 6
[platform]
address = "127.0.0.1:9"
"""


@contextlib.contextmanager
def program(module: str, settings: str) -> Iterator[subprocess.Popen[str]]:
    """Run a program of this project with a settings file; kill it by its process id."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_text(settings)
        environment = os.environ | {"PARSLEYROUTER_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        process = subprocess.Popen(
            [sys.executable, "-m", module],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            yield process
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()


def read_until(process: subprocess.Popen[str], message: str) -> list[str]:
    """Read log lines up to one with the given message; return all messages."""
    assert process.stdout is not None
    messages: list[str] = []
    while message not in messages:
        line = process.stdout.readline()
        assert line, messages
        messages.append(json.loads(line)["message"])
    return messages


@when("a front process is started, sent SIGHUP and then SIGTERM")
def step_signals(context: Any) -> None:
    listen = {name: free_address() for name in ("front", "ready", "directory")}
    settings = SETTINGS.format(port=free_address().rpartition(":")[2], **listen)
    with program("parsleyrouter.commands.front", settings) as process:
        read_until(process, "started")
        process.send_signal(signal.SIGHUP)
        read_until(process, "settings reloaded")
        process.send_signal(signal.SIGTERM)
        started_s = time.monotonic()
        context.messages = read_until(process, "planned stop done")
        context.code = process.wait(10)
        context.took_s = time.monotonic() - started_s


@then("it logs start, reload and shutdown, and exits with code 0 within its grace time")
def step_signals_taken(context: Any) -> None:
    assert "planned stop begins" in context.messages
    assert context.code == 0
    assert context.took_s < 6.0


@when("a front process is started with invalid settings")
def step_broken_settings(context: Any) -> None:
    listen = {name: free_address() for name in ("front", "ready", "directory")}
    broken = SETTINGS.format(port=7, **listen).replace('address = "127.0.0.1:9"', "")
    with program("parsleyrouter.commands.front", broken) as process:
        context.errors = process.communicate(timeout=20)[1]
        context.code = process.returncode


@then("it exits with code 2 and names what is wrong")
def step_broken_named(context: Any) -> None:
    assert context.code == 2
    assert "address" in context.errors and "platform" in context.errors


@when("the idle process is sent SIGHUP and then SIGTERM")
def step_idle(context: Any) -> None:
    with program("parsleyrouter.commands.idle_store", "") as process:
        read_until(process, "started")
        process.send_signal(signal.SIGHUP)
        read_until(process, "settings reloaded, none is used")
        process.send_signal(signal.SIGTERM)
        context.code = process.wait(10)


@then("it exits at SIGTERM with code 0")
def step_idle_ended(context: Any) -> None:
    assert context.code == 0


def send_early_sighup(process: Any) -> None:
    """Send SIGHUP repeatedly from the moment at which the program handles signals."""
    status = Path(f"/proc/{process.pid}/status")
    until_s = time.monotonic() + 20
    while time.monotonic() < until_s:
        rows = dict(row.split(":\t") for row in status.read_text().splitlines() if ":\t" in row)
        masks = (rows["SigIgn"], rows["SigCgt"], rows["SigBlk"])
        if any(int(mask, 16) & 1 << (signal.SIGHUP - 1) for mask in masks):
            break
    imported = "thrift" in Path(f"/proc/{process.pid}/maps").read_text()
    assert not imported, "the program handles signals only after its imports"
    for _ in range(20):
        process.send_signal(signal.SIGHUP)
        time.sleep(0.01)


@when("a front process and an idle one receive SIGHUP from their first imports on")
def step_early_sighup(context: Any) -> None:
    listen = {name: free_address() for name in ("front", "ready", "directory")}
    settings = SETTINGS.format(port=free_address().rpartition(":")[2], **listen)
    context.started = []
    for module, text in (("front", settings), ("idle_store", "")):
        with program(f"parsleyrouter.commands.{module}", text) as process:
            send_early_sighup(process)
            read_until(process, "started")
            process.send_signal(signal.SIGHUP)
            read_until(process, "settings reloaded" + ", none is used" * (module != "front"))
            context.started.append(process.poll())


@then("both start and keep running")
def step_both_serve(context: Any) -> None:
    assert context.started == [None, None]


@when("the settings file of a front process is changed and then made invalid")
def step_silent_change(context: Any) -> None:
    listen = {name: free_address() for name in ("front", "ready", "directory")}
    settings = SETTINGS.format(port=free_address().rpartition(":")[2], **listen)
    with program("parsleyrouter.commands.front", settings) as process:
        read_until(process, "started")
        path = Path(f"/proc/{process.pid}/environ").read_bytes().split(b"\0")
        file = Path(
            dict(row.split(b"=", 1) for row in path if row)[b"PARSLEYROUTER_CONFIG"].decode()
        )
        file.write_text(settings + "\n[limits]\nmemoryMb = 300\n")
        context.changed = read_until(process, "settings reloaded")[-1]
        file.write_text("broken =")
        context.refused = read_until(process, "settings not reloaded, the former ones stay")[-1]


@then("it logs which settings have changed, and that the invalid file is rejected")
def step_silent_change_taken(context: Any) -> None:
    assert context.changed == "settings reloaded"
    assert context.refused.startswith("settings not reloaded")


@when("the settings of a front process are checked")
def step_check(context: Any) -> None:
    listen = {name: free_address() for name in ("front", "ready", "directory")}
    settings = "new = 1\n" + SETTINGS.format(port=7, **listen)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_text(settings)
        command = [sys.executable, "-m", "parsleyrouter.commands.front", "--check"]
        environment = os.environ | {"PARSLEYROUTER_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        done = subprocess.run(
            command, env=environment, capture_output=True, text=True, check=False, timeout=30
        )
    context.code, context.lines, context.path = done.returncode, done.stdout.splitlines(), path


@then("the active settings and their sources are printed, and unused ones too")
def step_checked(context: Any) -> None:
    assert context.code == 0
    assert any(
        line.startswith("grace_s = ") and line.endswith(str(context.path)) for line in context.lines
    )
    assert "# new: not used" in context.lines
