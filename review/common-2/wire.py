"""HTTP/1.1 for the stand-ins and clients of the cases, on asyncio streams."""

import asyncio
import json
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 64 * 1024


@dataclass
class Message:
    """A request or a response; header names are lower case."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first.split(" ")[1]

    def json(self) -> dict:
        """Return the body as a JSON object."""
        return json.loads(self.body or b"{}")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; ``None`` if the connection ended before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Message, *, request: bool) -> None:
    """Read the body of a message; ``complete`` is cleared if it ends early."""
    try:
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if not size:
                    return
                head.body += piece[:-2]
        elif "content-length" in head.headers:
            head.body = await reader.readexactly(int(head.headers["content-length"]))
        elif not request:
            head.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        head.body += getattr(error, "partial", b"")
        head.complete = False


def encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a message with its length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Send a request on a new connection; ``None`` without a complete response in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            head = await read_head(reader)
            if head is None:
                return None
            await read_body(reader, head, request=False)
            return head if head.complete else None
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
