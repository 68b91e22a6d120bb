"""``python -m soak.engine_program``: an engine in a process of its own.

Frozen or killed, it leaves what only processes leave: accepted connections that nobody reads,
unread bytes in the kernel and connections that are reset. Every run is appended to a file.
"""

import os
import sys
from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Any, NoReturn

import msgspec

from features.support.platform_endpoint import Arrival, shed
from parsleyrouter.connection.forward_server import CallerExchange, ForwardServer
from parsleyrouter.ids import Address
from parsleyrouter.process.runtime import Runtime
from soak.endpoints import SoakEndpoint, behave
from soak.journal import CarriedTwice, EndpointCrash, Journal, Run, RunEnd
from soak.refusal_copies import CopyMode, RefusalKeeper, refuse_and_keep, write_due_copies

__all__ = ["CRASHES_SUFFIX", "CRASH_EXIT", "EngineMode", "REPEATS_SUFFIX", "RUNS_SUFFIX", "main"]

RUNS_SUFFIX = ".runs"
CRASHES_SUFFIX = ".crashes"
REPEATS_SUFFIX = ".repeats"
CRASH_EXIT = 70
"""Exit code of an engine that a deadly part or request has ended."""

MAX_COPY_DELAY_S = 0.03
LATE_COPY_SHARE = 0.7


class EngineMode(msgspec.Struct):
    """What the engine does to a share of its requests; read again for each of them."""

    copies: float = 0.0
    """Share refused, with the refusal written once more, soon or before the next answer."""
    identified: bool = False
    """Whether such copies carry the id of the refused request."""
    deadly: tuple[str, ...] = ()
    """Parts that end the process when it begins to answer a request with one of them."""
    kept: CopyMode = CopyMode()
    """Which requests are refused with copies of the refusals kept."""
    deadly_requests: tuple[str, ...] = ()
    """Contents of requests that end the process when it begins to run them."""


class RunFile(list[Run]):
    """Append runs to a file at their begin and end, so that a killed process loses none."""

    def __init__(self, path: Path) -> None:
        super().__init__()
        self.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def append(self, run: Run) -> None:
        os.write(self.descriptor, msgspec.json.encode(run) + b"\n")


class ProcessEndpoint(SoakEndpoint):
    """Engine that refuses what exceeds its slots and queue."""

    def __init__(
        self, runtime: Runtime, name: str, service: str, journal: Journal, random: Random
    ) -> None:
        super().__init__(runtime, name, service, journal, random)
        self.default_behaviour = _behave_as_process
        self.mode_file = Path()
        self.running = 0
        self.late_copies: dict[Any, bytes] = {}
        """Copies to write on a connection before its next answer."""
        self.keeper = RefusalKeeper()
        self.failure_mode = "cut"
        self.crash_on = self._crash_on
        self.crash_on_request = self._crash_on_request

    @property
    def mode(self) -> EngineMode:
        """Return how to treat the next request."""
        return msgspec.json.decode(self.mode_file.read_bytes(), type=EngineMode)

    def end_run(self, run: Run, end: RunEnd) -> None:
        """Record the end of a run, unless it has ended."""
        if run.end is None:
            super().end_run(run, end)
            self.journal.runs.append(run)

    def _crash_on(self, part: str) -> bool:
        return part in self.mode.deadly and self._crash(part=part)

    def _crash_on_request(self, content: str) -> bool:
        return content in self.mode.deadly_requests and self._crash(request=content)

    def _crash(self, **cause: str) -> NoReturn:
        self._record(CRASHES_SUFFIX, EndpointCrash(self.runtime.loop.now(), self.name, **cause))
        os._exit(CRASH_EXIT)

    def note_request(self, exchange: CallerExchange, arrival: Arrival) -> None:
        """Record a request whose connection has carried its id before."""
        request = arrival.header("X-Attempt-Id") or ""
        if self.keeper.note_request(exchange.sock, request):
            now = self.runtime.loop.now()
            self._record(REPEATS_SUFFIX, CarriedTwice(now, self.name, request))

    def _record(self, suffix: str, row: object) -> None:
        with self.mode_file.with_suffix(suffix).open("ab", buffering=0) as output:
            output.write(msgspec.json.encode(row) + b"\n")

    def refuse_misdirected(self, exchange: CallerExchange, arrival: Arrival) -> None:
        """Refuse a request that is meant for another endpoint, which had the address before."""
        self.note_request(exchange, arrival)
        refuse_and_keep(self, exchange, arrival, self.mode.kept, HTTPStatus.MISDIRECTED_REQUEST)


async def _behave_as_process(
    endpoint: ProcessEndpoint, exchange: CallerExchange, arrival: Arrival
) -> None:
    endpoint.note_request(exchange, arrival)
    copy = endpoint.late_copies.pop(exchange.sock, b"")
    if copy:
        exchange.server.send(exchange.sock, copy)
    mode, kept = endpoint.mode, endpoint.mode.kept
    if await write_due_copies(endpoint, exchange, arrival, kept):
        return
    if endpoint.random.random() < mode.copies:
        await _refuse_twice(endpoint, exchange, arrival, mode)
        return
    endpoint.failure_rate = kept.broken
    if endpoint.running >= kept.room or endpoint.random.random() < kept.share:
        refuse_and_keep(endpoint, exchange, arrival, kept, kept.status)
        return
    endpoint.running += 1
    try:
        await endpoint.runtime.loop.sleep(endpoint.random.uniform(0.0, kept.pause_s))
        if not exchange.disconnected:
            await behave(endpoint, exchange, arrival)
    finally:
        endpoint.running -= 1


async def _refuse_twice(
    endpoint: ProcessEndpoint, exchange: CallerExchange, arrival: Arrival, mode: EngineMode
) -> None:
    name = arrival.header("X-Attempt-Id") or ""
    line = f"X-Attempt-Id: {name}\r\n" if mode.identified else ""
    head = f"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n{line}"
    copy = f"{head}Content-Length: 0\r\n\r\n".encode()
    await shed(endpoint, exchange, arrival)
    if endpoint.random.random() < LATE_COPY_SHARE:
        endpoint.late_copies[exchange.sock] = copy
        return
    await endpoint.runtime.loop.sleep(endpoint.random.uniform(0.0, MAX_COPY_DELAY_S))
    exchange.server.send(exchange.sock, copy)


def main() -> None:
    """Serve until killed; arguments: name, service, address, start, folder."""
    name, service, address, born, folder = sys.argv[1:]
    runtime = Runtime()
    journal = Journal(runs=RunFile(Path(folder) / f"{name}{RUNS_SUFFIX}"))
    endpoint = ProcessEndpoint(runtime, name, service, journal, Random(f"{name} {born}"))
    endpoint.born = int(born)
    endpoint.mode_file = Path(folder) / f"{name}.mode"
    server = ForwardServer(runtime.loop, Address(address), endpoint.answer)
    endpoint.server = server.register(runtime)
    runtime.run()


if __name__ == "__main__":
    main()
