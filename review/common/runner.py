"""A model runner, by its published protocol."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from http1 import Answer, Request, Server
from store import Store

HEARTBEAT_S = 1.2
MAX_CONNECTIONS = 300
IDLE_S = 10.0


@dataclass
class Run:
    """One request that a runner began to work on."""

    attempt: str
    runner: str
    target: str
    at_s: float
    ended_s: float = 0.0
    end: str = "running"


class Runner:
    """Stream ``events`` events, ``gap_s`` apart, as the request's path or the default says."""

    def __init__(self, store: Store, name: str, service: str, zone: str = "z1") -> None:
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = 8
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs: list[Run] = []
        self.headers: list[tuple[str, str]] = []
        self.plan: Callable[[Request], tuple[int, float]] = lambda request: (10, 0.02)
        """Returns the number of events and the pause before each."""
        self.registered = False
        self.server = Server(self._answer, MAX_CONNECTIONS, IDLE_S)
        self.beat: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int = 0) -> None:
        await self.server.start(host, port)
        self.registered = True
        self.beat = asyncio.ensure_future(self._beat())

    def stop(self) -> None:
        """End the process: nothing listens any more."""
        if self.beat is not None:
            self.beat.cancel()
        self.server.stop()

    def announce(self) -> None:
        """Write the registration."""
        self.sequence += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put(f"servers/{self.name}", entry)

    def withdraw(self) -> None:
        """Remove the registration and write none any more."""
        self.registered = False
        self.store.remove(f"servers/{self.name}")

    async def _beat(self) -> None:
        while True:
            if self.registered:
                self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def _answer(self, request: Request, answer: Answer) -> None:
        attempt = request.header("X-Attempt-Id")
        if request.header("X-Expect-Instance", self.name) != self.name:
            answer.reply(421, [("X-Instance-Id", self.name), ("X-Attempt-Id", attempt)], b"")
            return
        if self.running >= self.slots:
            answer.reply(
                503, [("X-Attempt-Id", attempt), ("X-Not-Executed", "1"), *self.headers], b""
            )
            return
        run = Run(attempt, self.name, request.target, time.monotonic())
        self.runs.append(run)
        self.running += 1
        try:
            await self._run(request, answer, attempt)
            run.end = "whole"
        except asyncio.CancelledError:
            run.end = "cut by the caller"
            raise
        finally:
            self.running -= 1
            run.ended_s = time.monotonic()

    async def _run(self, request: Request, answer: Answer, attempt: str) -> None:
        events, gap_s = self.plan(request)
        headers = [
            ("X-Attempt-Id", attempt),
            ("X-Response-Signature", f"sig-{self.name}"),
            ("X-Server-Load", f"{self.running},0,{self.slots}"),
            ("Keep-Alive", f"timeout={IDLE_S:.0f}"),
            *self.headers,
        ]
        start = int(request.header("Last-Event-Id") or 0)
        await asyncio.sleep(gap_s)
        answer.begin_chunks(200, [*headers, ("Content-Type", "text/event-stream")])
        for number in range(start + 1, events + 1):
            if number > start + 1:
                await asyncio.sleep(gap_s)
            answer.send(event(attempt, number))
        answer.finish()


def event(attempt: str, number: int) -> bytes:
    return b"id: %d\ndata: %s %d\n\n" % (number, attempt.encode(), number)


def stream_body(attempt: str, events: int) -> bytes:
    return b"".join(event(attempt, number) for number in range(1, events + 1))
