"""A server of callers and one of nodes in this process, beside senders without end in another."""

import gc
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from features.support.endless_senders import ANSWER_KINDS, CALLER_KINDS, DATAGRAM_KINDS
from features.support.front_fleet import Caller
from features.support.load_exchange_fleet import LoadExchangeFleet
from parsleyrouter.connection.forward_server import CallerExchange, ForwardServer
from parsleyrouter.connection.http_limits import HttpLimits
from parsleyrouter.connection.peer import PeerFailure, PeerMethods, PeerServer
from parsleyrouter.ids import Address
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.standins.ports import free_address
from parsleyrouter.thrift_gen.peer.ttypes import Envelope

__all__ = ["Outcome", "Serving", "memory_mb"]

LOCAL = Address("127.0.0.1:0")
ANSWER_TIMEOUT_S = 2.0
LARGE_ANSWER_BYTES = 4 * 1024 * 1024
HUGE_ANSWER_BYTES = 16 * 1024 * 1024
"""More than the buffers of a loopback connection hold."""

ANSWER_BYTES = {"/large": LARGE_ANSWER_BYTES, "/huge": HUGE_ANSWER_BYTES}
WARM_UP_S = 0.3


def memory_mb() -> float:
    """Return the resident memory in MB."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1]) / 1000
    return 0.0


@dataclass
class Outcome:
    """What the process did beside the senders; times in seconds, memory in MB."""

    turn_s: float = 0.0
    """Longest processor time between two calls of a timer, which every turn makes."""
    answer_s: list[float] = field(default_factory=list)
    unanswered: int = 0
    growth_mb: float = 0.0
    sent_mb: float = 0.0
    closed: int = 0


class Serving:
    """Both servers with sound requests to them; ``limits`` are those of callers."""

    def __init__(self, runtime: Runtime, limits: HttpLimits | None = None) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        methods = PeerMethods()
        methods.add("echo", Envelope)(self._echo)
        methods.add("wait", Envelope)(self._wait)
        methods.add("large", Envelope)(self._large)
        self.callers = ForwardServer(self.loop, LOCAL, self._answer, limits).register(runtime)
        self.peers = PeerServer(self.loop, LOCAL, methods, None, "endless-peers").register(runtime)
        self.outcome = Outcome()
        (self.exchange,) = LoadExchangeFleet(runtime, {"z": 1}).exchanges.values()
        self.running = True

    async def _answer(self, exchange: CallerExchange) -> None:
        size = ANSWER_BYTES.get(exchange.head.path)
        length = b"%d bytes" % len(exchange.body)
        exchange.reply(200, (), length if size is None else b"a" * size)

    async def _echo(self, _: Any, request: Envelope) -> Envelope:
        return request

    async def _wait(self, _: Any, request: Envelope) -> Envelope:
        await self.loop.sleep(5.0)
        return request

    async def _large(self, _: Any, request: Envelope) -> Envelope:
        return Envelope(payload=b"a" * LARGE_ANSWER_BYTES)

    def _target(self, kinds: str) -> Address:
        first = kinds.partition(" + ")[0]
        if first in ANSWER_KINDS:
            return free_address()
        if first in DATAGRAM_KINDS:
            return self.exchange.datagrams.bound_address()
        return (self.callers if first in CALLER_KINDS else self.peers).bound_address()

    async def beside(self, kinds: str, connections: int, seconds: float) -> Outcome:
        """Ask both servers while senders send to one of them, or answer the calls of this one."""
        address = self._target(kinds)
        arguments = [str(address), kinds, str(connections), str(seconds)]
        before_mb = memory_mb()
        command = [sys.executable, "-m", "features.support.endless_senders", *arguments]
        asking = [self.loop.spawn(self._ask_callers()), self.loop.spawn(self._ask_peers())]
        await self.loop.sleep(WARM_UP_S)
        gc.collect()
        gc.freeze()
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as senders:
            await self.loop.sleep(0.0)
            self._tick(time.thread_time())
            if kinds in ANSWER_KINDS:
                asking += [self.loop.spawn(self._ask_answerer(address)) for _ in range(connections)]
            while senders.poll() is None:
                self.outcome.growth_mb = max(self.outcome.growth_mb, memory_mb() - before_mb)
                await self.loop.sleep(0.05)
            self.running = False
            gc.unfreeze()
            await self.loop.gather(asking)
            assert senders.stdout is not None
            sent, closed = senders.stdout.read().split()
        self.outcome.sent_mb, self.outcome.closed = int(sent) / 1e6, int(closed)
        return self.outcome

    def _tick(self, before_s: float) -> None:
        now_s = time.thread_time()
        self.outcome.turn_s = max(self.outcome.turn_s, now_s - before_s)
        if self.running:
            self.loop.call_later(0.0, lambda: self._tick(now_s))

    async def _ask_callers(self) -> None:
        address = self.callers.bound_address()
        while self.running:
            started_s = self.loop.now()
            caller = Caller(self.runtime, address)
            asked = self.loop.spawn(caller.ask("GET", "/sound"))
            await self._count(started_s, asked, lambda answer: answer.status == 200)
            caller.close()
            await self.loop.sleep(0.02)

    async def _ask_peers(self) -> None:
        address = self.peers.bound_address()
        request = Envelope(call=1, method="sound", payload=b"b" * 100)
        while self.running:
            started_s = self.loop.now()
            call = self.runtime.peers.call(address, "echo", request, Envelope, ANSWER_TIMEOUT_S)
            sound = lambda answer: not isinstance(answer, PeerFailure)  # noqa: E731
            await self._count(started_s, self.loop.spawn(call), sound)
            await self.loop.sleep(0.02)

    async def _ask_answerer(self, address: Address) -> None:
        while self.running:
            await self.runtime.peers.call(address, "any", Envelope(), Envelope, 0.2)
            await self.loop.sleep(0.02)

    async def _count(self, started_s: float, asked: Any, sound: Any) -> None:
        try:
            answered = sound(await self.loop.within(ANSWER_TIMEOUT_S, asked))
        except Exception:
            answered = False
        if answered:
            self.outcome.answer_s.append(self.loop.now() - started_s)
        else:
            self.outcome.unanswered += 1
