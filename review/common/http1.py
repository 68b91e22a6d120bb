"""A small HTTP/1.1 server and client for the stand-ins of the review; standard library only."""

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Request:
    """One complete request as a server received it."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    at_s: float

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        return self.target.partition("?")[2]

    def header(self, name: str, default: str = "") -> str:
        found = [value for key, value in self.headers if key.lower() == name.lower()]
        return found[-1] if found else default


class Answer:
    """Write the answer to one request."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.chunked = False
        self.done = False

    @property
    def gone(self) -> bool:
        """Whether the caller has closed the connection."""
        return self.writer.is_closing()

    def reply(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self._head(status, [*headers, ("Content-Length", str(len(body)))])
        self._write(body)
        self.done = True

    def begin_chunks(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.chunked = True
        self._head(status, [*headers, ("Transfer-Encoding", "chunked")])

    def send(self, data: bytes) -> None:
        self._write(b"%x\r\n%s\r\n" % (len(data), data))

    def finish(self) -> None:
        self._write(b"0\r\n\r\n")
        self.done = True

    def _head(self, status: int, headers: list[tuple[str, str]]) -> None:
        lines = [f"HTTP/1.1 {status} Status", *(f"{key}: {value}" for key, value in headers)]
        self._write("\r\n".join(lines).encode() + b"\r\n\r\n")

    def _write(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)


Handle = Callable[[Request, Answer], Awaitable[None]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = [
        (name.strip(), value.strip()) for name, _, value in (one.partition(":") for one in lines)
    ]
    return first, headers


async def _read_chunks(reader: asyncio.StreamReader, sink: bytearray) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        sink += data[:-2]


class Server:
    """Serve requests on kept connections, one at a time on each.

    Connections beyond ``max_connections`` are reset, those idle for ``idle_s`` are closed.
    """

    def __init__(
        self, handle: Handle, max_connections: int = 100_000, idle_s: float = 3600.0
    ) -> None:
        self.handle = handle
        self.max_connections = max_connections
        self.idle_s = idle_s
        self.resets = 0
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 24)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.writers) >= self.max_connections:
            self.resets += 1
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                first, headers = await asyncio.wait_for(_read_head(reader), self.idle_s)
                method, target, _ = first.split(" ", 2)
                body = bytearray()
                named = {key.lower(): value for key, value in headers}
                if "chunked" in named.get("transfer-encoding", ""):
                    await _read_chunks(reader, body)
                elif "content-length" in named:
                    body += await reader.readexactly(int(named["content-length"]))
                request = Request(method, target, headers, bytes(body), time.monotonic())
                answer = Answer(writer)
                task = asyncio.ensure_future(self.handle(request, answer))
                peek = asyncio.ensure_future(_until_closed(reader, writer))
                await asyncio.wait({task, peek}, return_when=asyncio.FIRST_COMPLETED)
                if not task.done():
                    writer.close()
                    task.cancel()
                    return
                peek.cancel()
                task.result()
                if not answer.done:
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def _until_closed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Return when the caller closes; callers of the stand-ins send no request ahead."""
    while not reader.at_eof() and reader.exception() is None and not writer.is_closing():
        await asyncio.sleep(0.01)


@dataclass
class Reply:
    """What a client got; ``status`` 0 means no answer, ``complete`` a whole one."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""
    sent_s: float = 0.0
    ended_s: float = 0.0


async def call(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Reply:
    """Make one call on a new connection."""
    reply = Reply(sent_s=time.monotonic())
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
            lines = [f"{method} {target} HTTP/1.1", *(f"{key}: {value}" for key, value in headers)]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            reply.sent_s = time.monotonic()
            await _read_reply(reader, reply)
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError) as error:
        reply.error = f"{type(error).__name__}: {error}"
    finally:
        reply.ended_s = time.monotonic()
        if writer is not None:
            writer.close()
    return reply


async def _read_reply(reader: asyncio.StreamReader, reply: Reply) -> None:
    first, headers = await _read_head(reader)
    reply.status = int(first.split(" ")[1])
    reply.headers = {key.lower(): value for key, value in headers}
    body = bytearray()
    try:
        if "chunked" in reply.headers.get("transfer-encoding", ""):
            await _read_chunks(reader, body)
        else:
            length = int(reply.headers.get("content-length", "0"))
            while len(body) < length:
                data = await reader.read(min(65536, length - len(body)))
                if not data:
                    raise asyncio.IncompleteReadError(bytes(body), length)
                body += data
        reply.complete = True
    finally:
        reply.body = bytes(body)
