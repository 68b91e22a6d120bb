"""One HTTP/1.1 request in flight and the incremental reading of its reply."""

import math
from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import h11

from parsleyrouter.connection.http import HttpReply, Sent, TransportFailure
from parsleyrouter.connection.stream import Stream
from parsleyrouter.process.loop import Promise, Timer

if TYPE_CHECKING:
    from parsleyrouter.connection.http_client import HttpClient

__all__ = ["PAUSE_ABOVE_BYTES", "HttpExchange"]

BODY_GAP_TIMEOUT_S = 30.0
PAUSE_ABOVE_BYTES = 256 * 1024
MAX_REPLY_BYTES = 64 * 1024 * 1024
"""Maximum size of a reply that is read as a whole; those of the services used are far smaller."""


class HttpExchange:
    """One request in flight and its reply, read incrementally."""

    def __init__(self, client: "HttpClient", stream: Stream) -> None:
        self.client = client
        self.stream = stream
        self.parser = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: dict[str, str] = {}
        self.pieces: deque[bytes] = deque()
        self.pending_bytes = 0
        self.ended = False
        self.failure: TransportFailure | None = None
        self.reused = False
        self.closed_early = False
        self.idle_until_s = math.inf
        """When a pooled connection is no longer reused."""
        self.waiter: Promise[None] | None = None
        self.wait_deadline_s = 0.0
        self.wait_reason = ""
        self.wait_timer: Timer | None = None
        self.attach()

    def attach(self) -> None:
        """Take over the stream's callbacks."""
        self.stream.on_data = self._on_data
        self.stream.on_close = self._on_closed

    def send(self, method: str, target: str, headers: Mapping[str, str], body: bytes) -> None:
        """Send the whole request."""
        lines = [("host", self.stream.address), ("content-length", str(len(body)))]
        lines += list(headers.items())
        data = self.parser.send(h11.Request(method=method, target=target, headers=lines)) or b""
        if body:
            data += self.parser.send(h11.Data(data=body)) or b""
        data += self.parser.send(h11.EndOfMessage()) or b""
        self.stream.send(data)

    async def wait_headers(self, timeout_s: float) -> TransportFailure | None:
        """Wait for status and headers; return the failure if there is one.

        Bytes that do not complete the headers do not extend the time.
        """
        deadline_s = self.client.loop.now() + timeout_s
        while not self.status and self.failure is None:
            await self._wait_until(deadline_s, f"no reply headers within {timeout_s:g} s")
        return self.failure

    async def read(self, timeout_s: float = BODY_GAP_TIMEOUT_S) -> bytes | None | TransportFailure:
        """Return the body bytes received so far, ``None`` at the end of the body."""
        deadline_s = self.client.loop.now() + timeout_s
        while not self.pieces and not self.ended and self.failure is None:
            await self._wait_until(deadline_s, f"no more body data within {timeout_s:g} s")
        if self.pieces:
            data = b"".join(self.pieces)
            self.pieces.clear()
            self.pending_bytes = 0
            self.stream.resume()
            return data
        if self.ended:
            return None
        return self.failure

    async def read_all(
        self, timeout_s: float, max_bytes: int = MAX_REPLY_BYTES
    ) -> HttpReply | TransportFailure:
        """Return the complete reply; headers and body may take ``timeout_s`` each."""
        failure = await self.wait_headers(timeout_s)
        if failure is not None:
            return failure
        parts: list[bytes] = []
        size = 0
        deadline_s = self.client.loop.now() + timeout_s
        while True:
            piece = await self.read(max(0.0, deadline_s - self.client.loop.now()))
            if isinstance(piece, TransportFailure):
                return piece
            if piece is None:
                return HttpReply(self.status, self.headers, b"".join(parts))
            parts.append(piece)
            size += len(piece)
            if size > max_bytes or self.client.loop.now() >= deadline_s:
                self.fail(f"no end of the body within {timeout_s:g} s and {max_bytes} bytes")
                if self.failure is not None:
                    return self.failure

    def cancel(self) -> None:
        """Close the connection; the server sees a disconnect."""
        self.fail("cancelled")

    def fail(self, message: str) -> None:
        """End the exchange with a failure unless it has ended."""
        if self.ended or self.failure is not None:
            return
        sent = Sent.MAYBE if self.stream.bytes_sent else Sent.NOTHING
        self.failure = TransportFailure(f"{self.stream.address}: {message}", sent)
        self._cancel_wait_timer()
        self.stream.close()
        self._notify()

    async def _wait_until(self, deadline_s: float, reason: str) -> None:
        """Wait for the next event; one timer serves all waits of the exchange."""
        loop = self.client.loop
        self.wait_deadline_s, self.wait_reason = deadline_s, reason
        if self.wait_timer is None or self.wait_timer.due_s > deadline_s:
            self._start_wait_timer(deadline_s - loop.now())
        self.waiter = loop.promise()
        await self.waiter
        self.waiter = None

    def _start_wait_timer(self, delay_s: float) -> None:
        if self.wait_timer is not None:
            self.wait_timer.cancel()
        self.wait_timer = self.client.loop.call_later(delay_s, self._check_wait)

    def _check_wait(self) -> None:
        self.wait_timer = None
        if self.waiter is None or self.ended or self.failure is not None:
            return
        remaining_s = self.wait_deadline_s - self.client.loop.now()
        if remaining_s <= 0:
            self.fail(self.wait_reason)
        else:
            self._start_wait_timer(remaining_s)

    def _cancel_wait_timer(self) -> None:
        if self.wait_timer is not None:
            self.wait_timer.cancel()
            self.wait_timer = None

    def _on_closed(self) -> None:
        """Handle the end of the connection; only an orderly one may complete a reply."""
        if self.stream.ended_orderly:
            self._on_data(b"")
        else:
            self.closed_early = not self.ended
            self.fail("connection reset")

    def _on_data(self, data: bytes) -> None:
        if not data and self.failure is None and not self.ended:
            self.closed_early = True
        try:
            self.parser.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError as error:
            self.fail(f"broken reply: {error}" if data else "connection closed early")
        if not data:
            self.fail("connection closed early")

    def _handle_events(self) -> None:
        while True:
            event: Any = self.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.Response):
                self.headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self.pieces.append(bytes(event.data))
                self.pending_bytes += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.ended = True
                self._cancel_wait_timer()
                self.client.release(self)
                break
            elif isinstance(event, h11.ConnectionClosed):
                self.fail("connection closed early")
                return
        if self.pending_bytes > PAUSE_ABOVE_BYTES and not self.ended:
            self.stream.pause()
        self._notify()

    def _notify(self) -> None:
        if self.waiter is not None:
            self.waiter.resolve(None)
