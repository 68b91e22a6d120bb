"""Let crowds send to a front process of its own, and ask ordinary requests beside them."""

import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

from features.support.front_fleet import Caller, FrontFleet
from features.support.front_process import FrontProcess
from features.support.loop import run_on_loop
from parsleyrouter.connection.stream import ConnectFailed
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.thrift_gen.nodes.ttypes import AskFollowed, Followed

__all__ = ["ANSWER_LIMIT_S", "DESCRIPTORS", "MEMORY_MB", "POLL_S", "play_crowds"]

MEMORY_MB = 150
DESCRIPTORS = 500
ANSWER_LIMIT_S = 10.0
POLL_S = 0.02


class Crowds(Protocol):
    """Clients that send to a process until they are closed."""

    settled: Any

    def start(self) -> Any:
        """Begin to send."""

    def close(self) -> None:
        """Stop."""

    def counts(self) -> str:
        """Describe what was sent."""


async def _serves(process: FrontProcess) -> bool:
    """Return whether the process answers an ordinary request of a caller."""
    caller = Caller(process.fleet.runtime, process.callers)
    try:
        answer = await caller.ask("GET", "/card/1")
    except ConnectFailed:
        return False
    finally:
        caller.close()
    return answer.status == 200


async def _ask_all(process: FrontProcess) -> dict[str, str]:
    """Return what went wrong with one ordinary request to each port."""
    runtime = process.fleet.runtime
    wrong: dict[str, str] = {}
    asked = [
        ("callers", process.callers, "POST", "/card/1", b"q" * 2000),
        ("ready", process.ready, "GET", "/readiness", b""),
        ("locate", process.locate, "GET", "/resolve?zone=z1", b""),
        ("metrics", process.metrics, "GET", "/metrics", b""),
    ]
    for port, address, method, path, body in asked:
        caller = Caller(runtime, address)
        try:
            answer = await caller.ask(method, path, body, attempt=f"ordinary-{port}")
            if answer.status != 200 or not answer.complete:
                wrong[port] = f"{answer.status} {answer.body[:200]!r} complete={answer.complete}"
        except (ConnectFailed, AssertionError) as error:
            wrong[port] = str(error)
        finally:
            caller.close()
    query = AskFollowed(prefix="op/", wait_ms=0)
    try:
        await runtime.peers.call(process.nodes, "cell.followed", query, Followed, ANSWER_LIMIT_S)
    except Exception as error:
        wrong["nodes"] = repr(error)
    return wrong


async def _no_preparation(_: FrontProcess) -> None:
    return


def play_crowds(
    context: Any,
    config: dict[str, Any],
    make_crowds: Callable[[FrontProcess], Sequence[Crowds]],
    prepare: Callable[[FrontProcess], Awaitable[None]] = _no_preparation,
) -> None:
    """Let crowds send to a process, and ask ordinary requests beside them."""

    async def main(runtime: Runtime) -> None:
        fleet = FrontFleet(runtime)
        fleet.store.put_json("op/config", config)
        fleet.register("c1", "cards")
        process = context.process = FrontProcess(
            fleet, context.folder, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS
        ).start()
        until_s = runtime.loop.now() + 20.0
        while not await _serves(process):
            assert process.alive and runtime.loop.now() < until_s, process.log_tail()
            await runtime.loop.sleep(POLL_S)
        await prepare(process)
        context.memory_before = process.usage.peak_memory_bytes()
        crowds = make_crowds(process)
        for one in crowds:
            one.start()
        try:
            while not all(one.settled.is_set() for one in crowds) and process.alive:
                process.usage.count_sockets()
                await runtime.loop.sleep(POLL_S)
            context.alive = process.alive
            context.wrong = await _ask_all(process) if process.alive else {}
            context.counts = [one.counts() for one in crowds]
            context.alive = process.alive
            if process.alive:
                process.usage.count_sockets()
                context.peak_memory = process.usage.peak_memory_bytes()
        finally:
            for one in crowds:
                one.close()

    with tempfile.TemporaryDirectory() as folder:
        context.folder = Path(folder)
        try:
            run_on_loop(main)
            context.log_tail = context.process.log_tail()
        finally:
            if hasattr(context, "process"):
                context.process.kill()
