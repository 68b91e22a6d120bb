"""Sinks for the response of an attempt: buffered or streamed."""

from typing import Protocol

from parsleyrouter.process.call_port import CallSink, Reply

__all__ = ["ResponseSink", "BufferedResponse", "StreamedResponse"]


class ResponseSink(Protocol):
    """Receives the response of an attempt.

    ``response_started`` is set once the caller has received a part of it.
    """

    streamed: bool
    response_started: bool

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Start a response; discard what a failed attempt left unless the caller has seen it."""

    async def send(self, data: bytes) -> None:
        """Receive a chunk of the body."""


class BufferedResponse:
    """Buffer a response until it is complete."""

    streamed = False

    def __init__(self) -> None:
        self.response_started = False
        self.status = 0
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Discard the chunks of an earlier attempt."""
        self.status = status
        self.headers = headers
        self.chunks = []

    async def send(self, data: bytes) -> None:
        """Buffer a chunk."""
        self.chunks.append(data)

    def reply(self) -> Reply:
        """Return the buffered response."""
        return Reply(self.status, self.headers, b"".join(self.chunks))


class StreamedResponse:
    """Forward a response; a resumed stream keeps the status and headers of the first attempt."""

    streamed = True

    def __init__(self, sink: CallSink) -> None:
        self.sink = sink
        self.response_started = False

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Forward status and headers of the first attempt only."""
        if not self.response_started:
            self.response_started = True
            self.sink.start(status, headers)

    async def send(self, data: bytes) -> None:
        """Forward a chunk once the caller accepts it."""
        await self.sink.send(data)
