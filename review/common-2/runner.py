"""Stand-in for a runner, after PROTOCOL.md."""

import asyncio
import time
from dataclasses import dataclass, field

from wire import Message, encode, read_body, read_head


@dataclass
class Run:
    """One request that a runner has received."""

    runner: str
    request: str
    target: str
    arrived_s: float
    outcome: str = "running"
    ended_s: float = 0.0


@dataclass
class Runner:
    """Run requests in ``slots`` places; ``behave`` writes the answer to one."""

    name: str
    service: str
    store: object
    behave: object
    note: object
    zone: str = "z1"
    slots: int = 8
    running: int = 0
    waiting: int = 0
    runs: list[Run] = field(default_factory=list)
    open: set[asyncio.StreamWriter] = field(default_factory=set)
    port: int = 0

    async def start(self) -> None:
        """Listen on a free port, or on the former one, and register."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 24, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.free = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        self.born = int(time.time() * 1000)
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the entry of this runner."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }
        self.store.put(f"servers/{self.name}", entry)

    def crash(self, back_after_s: float) -> None:
        """Reset all connections, listen no more, and start again after some time."""
        if not self.server.is_serving():
            return
        self.note("runner crashed", runner=self.name)
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        loop.call_later(back_after_s, lambda: loop.create_task(self.start()))

    def proof(self, request: Message) -> dict[str, str]:
        """Return the headers of an answer to a request."""
        return {
            "X-Attempt-Id": request.headers.get("x-attempt-id", ""),
            "X-Response-Signature": f"sig.{self.name}.{len(self.runs)}",
            "X-Server-Load": f"{self.running},{self.waiting},{self.slots}",
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request, request=True)
                expected = request.headers.get("x-expect-instance", self.name)
                if expected != self.name:
                    first = "HTTP/1.1 421 Misdirected Request"
                    writer.write(encode(first, {"X-Instance-Id": self.name}, b""))
                    continue
                # What arrives while the request runs is the end of the connection.
                gone = asyncio.ensure_future(reader.read(1))
                work = asyncio.ensure_future(self._run(request, writer))
                await asyncio.wait((gone, work), return_when=asyncio.FIRST_COMPLETED)
                was_done = work.done()
                work.cancel()
                gone.cancel()
                await asyncio.gather(work, gone, return_exceptions=True)
                if not was_done:
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def _run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request when a slot is free."""
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        run = Run(
            self.name, request.headers.get("x-attempt-id", ""), request.target, time.monotonic()
        )
        self.runs.append(run)
        self.note("run", runner=self.name, request=run.request, path=run.target)
        try:
            run.outcome = await self.behave(self, request, writer)
        except asyncio.CancelledError:
            run.outcome = "cut by the sender"
            raise
        finally:
            run.ended_s = time.monotonic()
            self.running -= 1
            self.free.release()
            self.note("run ended", runner=self.name, request=run.request, outcome=run.outcome)


async def stream(
    runner: Runner,
    request: Message,
    writer: asyncio.StreamWriter,
    events: int,
    gap_s: float,
    text: str = "",
) -> str:
    """Answer with events, after the last one that the sender names."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in runner.proof(request).items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    first = int(request.headers.get("last-event-id", "0")) + 1
    text = text or request.headers.get("x-attempt-id", "")
    for number in range(first, events + 1):
        await asyncio.sleep(gap_s)
        data = f"id: {number}\ndata: {text}-{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return "whole"
