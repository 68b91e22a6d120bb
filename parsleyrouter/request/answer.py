"""Take the answer of an attempt: kept whole, or handed on as it comes."""

from typing import Protocol

from parsleyrouter.process.call_port import CallSink, Reply

__all__ = ["ResponseSink", "BufferedResponse", "StreamedResponse"]


class ResponseSink(Protocol):
    """What an attempt writes its answer to; ``shown`` once the caller has seen a part."""

    streamed: bool
    shown: bool

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Take status and headers; drops what a failed attempt left unless it was shown."""

    async def send(self, data: bytes) -> None:
        """Take a piece."""


class BufferedResponse:
    """Keep an answer until it is whole."""

    streamed = False

    def __init__(self) -> None:
        self.shown = False
        self.status = 0
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Start over."""
        self.status = status
        self.headers = headers
        self.chunks = []

    async def send(self, data: bytes) -> None:
        """Keep a piece."""
        self.chunks.append(data)

    def reply(self) -> Reply:
        """Return what was kept."""
        return Reply(self.status, self.headers, b"".join(self.chunks))


class StreamedResponse:
    """Hand an answer on; a resumed one continues under the first one's status."""

    streamed = True

    def __init__(self, sink: CallSink) -> None:
        self.sink = sink
        self.shown = False

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Pass status and headers on once."""
        if not self.shown:
            self.shown = True
            self.sink.start(status, headers)

    async def send(self, data: bytes) -> None:
        """Pass a piece on when the caller has room for it."""
        await self.sink.send(data)
