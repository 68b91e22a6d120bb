"""Exchanges with endpoints that send without end, beside sound ones."""

import resource
from pathlib import Path
from typing import Any

from features.support.endless_sender import EndlessSender
from features.support.platform_endpoint import EndpointStandIn, whole
from parsleyrouter.connection.endpoint_client import EndpointClient, EndpointExchange
from parsleyrouter.connection.http import HttpReply, TransportFailure
from parsleyrouter.ids import Address, RequestId
from parsleyrouter.process.runtime import Runtime

SOUND_PAUSE_S = 0.05
READ_TIMEOUT_S = 5.0


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


class EndlessPlay:
    """Readers of endless answers, one of which reads nothing, and sound requests beside them."""

    def __init__(self, runtime: Runtime, sender: EndlessSender) -> None:
        self.runtime = runtime
        self.loop = runtime.loop
        self.sender = sender
        self.client = EndpointClient(runtime.loop, runtime.connector)
        self.client.id_header = "x-attempt-id"
        self.sound = EndpointStandIn(runtime, "sound").start()
        self.sound.default_behaviour = whole
        self.sound_s: list[float] = []
        """How long each sound answer took; infinite if it did not come."""
        self.failures: list[str] = []
        self.slow: EndpointExchange | None = None
        self.slow_bytes = 0
        self.memory_bytes = 0
        """Largest growth of the resident memory."""
        self.ended = False

    async def run(self, play_s: float) -> None:
        """Play for a time in seconds."""
        before_bytes, until_s = resident_bytes(), self.loop.now() + play_s
        tasks: list[Any] = [self.loop.spawn(self._read(one)) for one in self.sender.addresses]
        tasks.append(self.loop.spawn(self._read_slowly(self.sender.addresses[0])))
        tasks.append(self.loop.spawn(self._ask_sound()))
        while self.loop.now() < until_s:
            await self.loop.sleep(SOUND_PAUSE_S)
            self.memory_bytes = max(self.memory_bytes, resident_bytes() - before_bytes)
            if self.slow is not None:
                held_bytes = len(self.slow.pending) + len(self.slow.parser.trailing_data[0])
                self.slow_bytes = max(self.slow_bytes, held_bytes)
        self.ended = True
        await self.loop.gather(tasks)

    async def open(self, address: Address) -> EndpointExchange:
        """Send a request on a new connection."""
        exchange = await self.client.start(address, new_connection=True)
        assert isinstance(exchange, EndpointExchange), exchange
        headers = [(b"Host", b"h"), (b"X-Attempt-Id", b"r1")]
        exchange.send_request("GET", "/", headers, b"", request=RequestId("r1"))
        return exchange

    async def _read(self, address: Address) -> None:
        """Read one answer after the other; each ends with a failure or with the play."""
        while not self.ended:
            exchange = await self.open(address)
            failure = await exchange.wait_headers(READ_TIMEOUT_S)
            while failure is None and not self.ended:
                piece = await exchange.read(SOUND_PAUSE_S)
                failure = piece if isinstance(piece, TransportFailure) else None
            exchange.cancel()
            if failure is not None:
                self.failures.append(failure.message)

    async def _read_slowly(self, address: Address) -> None:
        self.slow = await self.open(address)
        while not self.ended:
            await self.loop.sleep(SOUND_PAUSE_S)
        self.slow.cancel()

    async def _ask_sound(self) -> None:
        while not self.ended:
            began_s = self.loop.now()
            exchange = await self.open(self.sound.address)
            reply = await exchange.read_all(READ_TIMEOUT_S)
            whole_reply = isinstance(reply, HttpReply) and reply.body == b"the body"
            self.sound_s.append(self.loop.now() - began_s if whole_reply else float("inf"))
            await self.loop.sleep(SOUND_PAUSE_S)
