"""Endpoints of a soak; responses contain the request id, which reveals mixed-up responses."""

from collections.abc import Callable
from random import Random
from typing import Any

from features.support.crashing_endpoint import prompt_parts
from features.support.platform_endpoint import (
    STREAM,
    Arrival,
    EndpointStandIn,
    shed,
)
from parsleyrouter.connection.forward_server import CallerExchange
from parsleyrouter.process.runtime import Runtime
from soak.customers import CUSTOMER_HEADER, KEY_MARK
from soak.journal import Journal, Run, RunEnd

__all__ = [
    "BRIEF_EVENTS",
    "BRIEF_ROUTE",
    "EVENTS",
    "ITEM_EVENTS",
    "LEAVING_HEADER",
    "LIMIT_HEADER",
    "SENDING_HEADER",
    "SoakEndpoint",
    "behave",
    "expected_body",
    "item_output",
]

LEAVING_HEADER = (b"Server-Leaving", b"1")
LIMIT_HEADER = b"Server-Limit"
SENDING_HEADER = "X-Sending"
"""Tells endpoints how often a caller has sent an id."""

EVENTS = 12
ITEM_EVENTS = 40
BRIEF_EVENTS = 1
GAP_S = 0.02
"""Pause between events: a stream takes about 0.25 s, an item about 0.8 s."""

BRIEF_S = 0.002
"""Time to the only event of a brief stream; so short that only reports tell of its length."""


BRIEF_ROUTE = {
    "name": "brief",
    "prefix": "/brief/",
    "kind": "stream",
    "maxAttempts": 1,
    "targetLatencyMs": 300,
    "service": "engines",
}
EVENTS_BY_PREFIX = {"bulk": ITEM_EVENTS, "brief": BRIEF_EVENTS}


def _event(attempt: str, number: int) -> bytes:
    return b"id: %d\ndata: %s %d\n\n" % (number, attempt.encode(), number)


def expected_body(attempt: str, stream: bool, events: int = EVENTS) -> bytes:
    """Return the complete response body of a request."""
    if not stream:
        return b"card of " + attempt.encode()
    return b"".join(_event(attempt, number) for number in range(1, events + 1))


def item_output(item: str) -> str:
    """Return the output of a batch item."""
    return "\n".join(f"{item} {number}" for number in range(1, ITEM_EVENTS + 1))


class SoakEndpoint(EndpointStandIn):
    """Endpoint that fails requests at a set rate in a set mode."""

    def __init__(
        self, runtime: Runtime, name: str, service: str, journal: Journal, random: Random
    ) -> None:
        super().__init__(runtime, name)
        self.service = service
        self.journal = journal
        self.random = random
        self.failure_mode = ""
        self.failure_rate = 0.0
        self.born = 1
        """Number of its start, as registered."""
        self.crash_on: Callable[[str], bool] = lambda part: False
        """Crashes the endpoint if a part is deadly and returns whether it is."""
        self.crash_on_request: Callable[[str], bool] = lambda content: False
        """The same for a request, by its content."""
        self.down = False
        """Whether it has crashed and not started again."""
        self.slowness: float | None = None
        """How long its work takes as a multiple of the usual; reported unless ``None``."""
        self.default_behaviour = behave

    def load(self) -> bytes:
        """Return the load, with the time that work takes if that is reported."""
        percent = b"" if self.slowness is None else b",%d" % round(100 * self.slowness)
        return super().load() + percent

    def run(self, arrival: Arrival) -> Run:
        """Record the start of a run."""
        attempt = arrival.header("X-Attempt-Id") or ""
        after = int(arrival.header("Last-Event-Id") or 0)
        now = self.runtime.loop.now()
        run = Run(
            attempt,
            self.name,
            self.service,
            arrival.target,
            arrival.body,
            now,
            after,
            tuple(prompt_parts(arrival)),
            self.born,
            LEAVING_HEADER in self.headers,
            sending=int(arrival.header(SENDING_HEADER) or 1),
            customer=",".join(
                value for name, value in arrival.headers if name.lower() == CUSTOMER_HEADER
            ),
            key_told=KEY_MARK in repr((arrival.target, arrival.headers, arrival.body)),
        )
        self.journal.runs.append(run)
        return run

    def end_run(self, run: Run, end: RunEnd) -> None:
        """Record the end of a run, unless it has ended."""
        if run.end is None:
            run.end = RunEnd.CRASHED if self.down else end
            run.ended_s = self.runtime.loop.now()


async def behave(endpoint: Any, exchange: CallerExchange, arrival: Arrival) -> None:
    """Run a request, or fail it in the mode of the endpoint."""
    fails = endpoint.random.random() < endpoint.failure_rate
    if fails and endpoint.failure_mode == "shed":
        await shed(endpoint, exchange, arrival)
        return
    run = endpoint.run(arrival)
    note_gone = exchange.on_disconnect or (lambda: None)

    def leave() -> None:
        note_gone()
        endpoint.end_run(run, RunEnd.LEFT)

    exchange.on_disconnect = leave
    if endpoint.crash_on_request(run.content):
        endpoint.end_run(run, RunEnd.CRASHED)
        return
    end = await _answer(endpoint, exchange, arrival, run.attempt, fails=fails)
    endpoint.end_run(run, end)


async def _answer(
    endpoint: Any, exchange: CallerExchange, arrival: Arrival, attempt: str, *, fails: bool
) -> RunEnd:
    if fails and endpoint.failure_mode == "drop":
        exchange.abort()
    elif fails and endpoint.failure_mode == "mute":
        await endpoint.runtime.loop.sleep(20.0)
    elif fails and endpoint.failure_mode == "error":
        exchange.reply(500, endpoint.proof(arrival), b"failed")
    elif endpoint.service == "cards":
        exchange.reply(200, endpoint.proof(arrival), expected_body(attempt, stream=False))
    else:
        return await _stream(endpoint, exchange, arrival, attempt, cut=fails)
    return RunEnd.FAILED if fails else RunEnd.COMPLETE


async def _stream(
    endpoint: Any, exchange: CallerExchange, arrival: Arrival, attempt: str, *, cut: bool
) -> RunEnd:
    last = EVENTS_BY_PREFIX.get(arrival.target.split("/")[1], EVENTS)
    slowness = endpoint.slowness or 1.0
    start = int(arrival.header("Last-Event-Id") or 0)
    exchange.begin(200, b"", [*endpoint.proof(arrival), STREAM], None)
    if any(endpoint.crash_on(part) for part in prompt_parts(arrival)[:-1]):
        return RunEnd.CRASHED
    if last == BRIEF_EVENTS:
        await endpoint.runtime.loop.sleep(BRIEF_S * slowness)
    for number in range(start + 1, last + 1):
        event = _event(attempt, number)
        if cut and number == (start + last) // 2:
            exchange.send(event[: len(event) // 2])
            exchange.abort()
            return RunEnd.FAILED
        exchange.send(event)
        if last > BRIEF_EVENTS:
            await endpoint.runtime.loop.sleep(GAP_S * slowness)
        if exchange.disconnected:
            return RunEnd.LEFT
    exchange.finish()
    return RunEnd.COMPLETE
