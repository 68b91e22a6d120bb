"""Take the answer of an attempt: kept whole, or handed on as it comes."""

from typing import Protocol

from parsleyrouter.process.call_port import CallSink, Reply

__all__ = ["Answer", "KeptAnswer", "StreamedAnswer"]


class Answer(Protocol):
    """What an attempt writes its answer to; ``shown`` once the caller has seen a part."""

    streamed: bool
    response_started: bool

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Take status and headers; drops what a failed attempt left unless it was shown."""

    async def send(self, data: bytes) -> None:
        """Take a piece."""


class KeptAnswer:
    """Keep an answer until it is whole."""

    streamed = False

    def __init__(self) -> None:
        self.response_started = False
        self.status = 0
        self.headers: dict[str, str] = {}
        self.pieces: list[bytes] = []

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Start over."""
        self.status = status
        self.headers = headers
        self.pieces = []

    async def send(self, data: bytes) -> None:
        """Keep a piece."""
        self.pieces.append(data)

    def reply(self) -> Reply:
        """Return what was kept."""
        return Reply(self.status, self.headers, b"".join(self.pieces))


class StreamedAnswer:
    """Hand an answer on; a resumed one continues under the first one's status."""

    streamed = True

    def __init__(self, sink: CallSink) -> None:
        self.sink = sink
        self.response_started = False

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Pass status and headers on once."""
        if not self.response_started:
            self.response_started = True
            self.sink.start(status, headers)

    async def send(self, data: bytes) -> None:
        """Pass a piece on when the caller has room for it."""
        await self.sink.send(data)
