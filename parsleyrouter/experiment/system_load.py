"""Send open-loop load to a running system through its HTTP API."""

import itertools
from dataclasses import dataclass

import msgspec

from parsleyrouter.connection.http import HttpReply, TransportFailure
from parsleyrouter.connection.sse import EventSplitter, is_event_stream
from parsleyrouter.experiment.arrivals import Arrival
from parsleyrouter.experiment.endpoints import BYTES_PER_TOKEN
from parsleyrouter.experiment.measures import Measures, record
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Promise
from parsleyrouter.process.runtime import Runtime

__all__ = ["Target", "run_system_load"]

CHAT_PATH = "/v1/chat/completions"


@dataclass(frozen=True)
class Target:
    """System to measure: any entry, the team's API key, and the model that all requests name."""

    entry: Address
    key: str
    model: str


def run_system_load(target: Target, load: list[Arrival], warmup_s: float) -> Measures:
    """Send all arrivals to a running system and return the measurements."""
    runtime = Runtime()
    measures = Measures()

    async def main() -> None:
        try:
            await _LoadDriver(runtime, target, measures).run(load, warmup_s)
        finally:
            runtime.stop()

    runtime.loop.spawn(main(), "drive")
    runtime.run()
    return measures


class _LoadDriver:
    """Send arrivals to the located entries round-robin and measure from the intended starts."""

    def __init__(self, runtime: Runtime, target: Target, measures: Measures) -> None:
        self.loop = runtime.loop
        self.http = runtime.http
        self.target = target
        self.measures = measures
        self.numbers = itertools.count(1)
        self.entries: list[Address] = []

    async def run(self, arrivals: list[Arrival], warmup_s: float) -> None:
        """Send all arrivals and wait until they have ended."""
        self.entries = await self._locate()
        start_s = self.loop.now()
        tasks: list[Promise[None]] = []
        for arrival in arrivals:
            due_s = start_s + arrival.at_s
            if due_s > self.loop.now():
                await self.loop.sleep(due_s - self.loop.now())
            measured = arrival.at_s >= warmup_s
            tasks.append(self.loop.spawn(self._send_one(arrival, due_s, measured), "drive"))
        await self.loop.gather(tasks)
        self.measures.measured_s += self.loop.now() - start_s - warmup_s

    async def _locate(self) -> list[Address]:
        reply = await self.http.request(
            self.target.entry, "GET", "/v1/locate", headers=self._headers(), timeout_s=5.0
        )
        if not isinstance(reply, HttpReply) or reply.status != 200:
            return [self.target.entry]
        answer = msgspec.json.decode(reply.body)
        addresses = [Address(entry["address"]) for entry in answer.get("entries", ())]
        return addresses or [self.target.entry]

    def _headers(self) -> dict[str, str]:
        return {"authorization": f"Bearer {self.target.key}", "content-type": "application/json"}

    async def _send_one(self, arrival: Arrival, due_s: float, measured: bool) -> None:
        number = next(self.numbers)
        times = await self._stream(arrival, self.entries[number % len(self.entries)], number)
        if not measured:
            return
        self.measures.offered += 1
        self.measures.weight_offered += arrival.kind.weight
        if not times:
            self.measures.refused += 1
            record(self.measures.ttft, arrival.kind.deadline_s)
            return
        record(self.measures.ttft, times[0] - due_s)
        for before, after in itertools.pairwise(times):
            record(self.measures.between, after - before)
        if times[-1] - due_s <= arrival.kind.deadline_s:
            self.measures.answered += 1
            self.measures.weight_answered += arrival.kind.weight

    async def _stream(self, arrival: Arrival, entry: Address, number: int) -> list[float]:
        """Return the event times of a complete response, an empty list if it was incomplete."""
        exchange = await self.http.open(
            entry,
            "POST",
            CHAT_PATH,
            headers=self._headers(),
            body=msgspec.json.encode(self._body(arrival, number)),
            timeout_s=arrival.kind.deadline_s,
        )
        if isinstance(exchange, TransportFailure):
            return []
        streamed = is_event_stream(exchange.headers.get("content-type", ""))
        splitter = EventSplitter()
        times = []
        while True:
            piece = await exchange.read(arrival.kind.deadline_s)
            if not isinstance(piece, bytes):
                break
            if splitter.feed(piece):
                times.append(self.loop.now())
        return times if streamed and splitter.done else []

    def _body(self, arrival: Arrival, number: int) -> dict[str, object]:
        prompt = f"{number:012d}".ljust(arrival.prompt_tokens * BYTES_PER_TOKEN, ".")
        return {
            "model": self.target.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": arrival.output_tokens,
            "stream": True,
        }
