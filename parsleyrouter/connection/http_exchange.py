"""One HTTP/1.1 request in flight and the incremental reading of its reply."""

import math
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import h11

from parsleyrouter.connection.http import FINAL_STATUSES, HttpReply, Sent, TransportFailure
from parsleyrouter.connection.stream import Stream
from parsleyrouter.process.loop import Promise, Timer

if TYPE_CHECKING:
    from parsleyrouter.connection.http_client import HttpClient

__all__ = ["HttpExchange", "new_parser"]

BODY_GAP_TIMEOUT_S = 30.0
PAUSE_ABOVE_BYTES = 256 * 1024
MAX_HEAD_BYTES = 16 * 1024
"""Maximum size of a head, which h11 checks, and of all heads before that of the reply."""

HEADER_LINE_BYTES = len(b": \r\n")


class HttpExchange:
    """One request in flight and its reply, read incrementally."""

    def __init__(self, client: "HttpClient", stream: Stream) -> None:
        self.client = client
        self.stream = stream
        self.parser = new_parser()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.pending = bytearray()
        """Received bytes of the body that have not been read yet."""
        self.received_bytes = 0
        """Bytes received in all, also those that are not part of a body."""
        self.early_head_bytes = 0
        self.rest_waits = False
        """Whether received bytes are not handled yet; no more are read before."""
        self.deferred = self.held = self.at_end = False
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

    def take_over(self, old: "HttpExchange") -> None:
        """Go on with the connection of an earlier exchange."""
        self.parser, self.reused = old.parser, True

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
        while not self.pending and not self.ended and self.failure is None:
            await self._wait_until(deadline_s, f"no more body data within {timeout_s:g} s")
        if self.pending:
            data = bytes(self.pending)
            self.pending.clear()
            self._go_on()
            return data
        return None if self.ended else self.failure

    async def read_all(
        self, timeout_s: float, max_bytes: float = math.inf
    ) -> HttpReply | TransportFailure:
        """Return the complete reply; headers and body may take ``timeout_s`` each."""
        failure = await self.wait_headers(timeout_s)
        if failure is not None:
            return failure
        body, memory = bytearray(), self.client.memory
        deadline_s = self.client.loop.now() + timeout_s
        try:
            while True:
                piece = await self.read(max(0.0, deadline_s - self.client.loop.now()))
                if isinstance(piece, TransportFailure):
                    return piece
                if piece is None:
                    return HttpReply(self.status, self.headers, bytes(body))
                body += piece
                memory.take(len(piece))
                if len(body) > max_bytes or not memory.allows(len(body)):
                    self.fail_invalid(f"no end of the body within {len(body)} bytes")
                elif self.client.loop.now() >= deadline_s:
                    self.fail(f"no end of the body within {timeout_s:g} s")
                if self.failure is not None:
                    return self.failure
        finally:
            memory.free(len(body))

    def pause(self) -> None:
        """Receive nothing until ``resume``."""
        if not self.ended:
            self.held = True
            self.stream.pause()

    def resume(self) -> None:
        """Receive again after ``pause``."""
        self.held = False
        self._go_on()

    def cancel(self) -> None:
        """Close the connection; the server sees a disconnect."""
        self.fail("cancelled")

    def fail_invalid(self, message: str) -> None:
        """End the exchange because the peer has sent bytes that are no reply, or too many."""
        self.fail(message)

    def fail(self, message: str) -> None:
        """End the exchange with a failure unless it has ended."""
        if self.ended or self.failure is not None:
            return
        sent = Sent.MAYBE if self.stream.bytes_sent else Sent.NOTHING
        self.failure = TransportFailure(f"{self.stream.address}: {message}", sent)
        self._cancel_wait_timer()
        self.stream.close()
        # Exchange and stream refer to each other, so what the parser holds would stay for a while.
        self.parser = new_parser()
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
        if self.ended or self.failure is not None:
            return
        self.at_end = not data
        self.closed_early = self.closed_early or self.at_end
        self.received_bytes += len(data)
        self.parser.receive_data(data)
        self._handle_received()

    def _go_on(self) -> None:
        """Handle what is left, or receive more, unless the reader has to take something first."""
        if self.ended or self.failure is not None or self.held:
            return
        if not self.rest_waits:
            self.stream.resume()
        elif not self.deferred and len(self.pending) <= PAUSE_ABOVE_BYTES:
            self.deferred = True
            self.client.shares.defer(self._handle_rest)

    def _handle_rest(self) -> None:
        self.deferred = False
        if self.ended or self.failure is not None or self.held:
            return
        self._handle_received()
        if not self.rest_waits and len(self.pending) <= PAUSE_ABOVE_BYTES:
            self._go_on()

    def _handle_received(self) -> None:
        """Handle received bytes for one share of a turn."""
        try:
            self.rest_waits = not self._handle_events()
        except h11.RemoteProtocolError as error:
            self.rest_waits = False
            if self.at_end:
                self.fail("connection closed early")
            else:
                self.fail_invalid(f"broken reply: {error}")
        if self.rest_waits:
            self.stream.pause()
            self._go_on()
        elif self.at_end:
            self.fail("connection closed early")

    def _handle_events(self) -> bool:
        """Handle events for one share of a turn; return whether no bytes are left that form one."""
        loop, shares = self.client.loop, self.client.shares
        began_s, until_s = loop.now(), shares.end_s()
        more = True
        while (
            more
            and self.failure is None
            and len(self.pending) <= PAUSE_ABOVE_BYTES
            and loop.now() < until_s
        ):
            more = self._handle_event(self.parser.next_event())
        shares.record(began_s)
        if len(self.pending) > PAUSE_ABOVE_BYTES and not self.ended:
            self.stream.pause()
        self._notify()
        return not more or self.failure is not None

    def _handle_event(self, event: Any) -> bool:
        """Handle one event; return whether another one may follow."""
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.InformationalResponse):
            return self._count_early_head(event)
        if isinstance(event, h11.Response) and event.status_code not in FINAL_STATUSES:
            self.fail_invalid(f"{event.status_code} is no status of a reply")
        elif isinstance(event, h11.Response):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._handle_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return self._handle_end()
        elif isinstance(event, h11.ConnectionClosed):
            self.fail("connection closed early")
        return self.failure is None

    def _count_early_head(self, head: h11.InformationalResponse | h11.Response) -> bool:
        """Count a head before the reply's own; return whether another one may follow."""
        lines = (len(name) + len(value) + HEADER_LINE_BYTES for name, value in head.headers)
        self.early_head_bytes += len(b"HTTP/1.1 100 \r\n\r\n") + len(head.reason) + sum(lines)
        if self.early_head_bytes > MAX_HEAD_BYTES:
            self.fail_invalid(f"no reply within {MAX_HEAD_BYTES} bytes of heads")
        return self.failure is None

    def _handle_head(self, head: h11.Response) -> None:
        self.headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}
        self.status = head.status_code

    def _handle_body(self, data: bytes) -> None:
        self.pending += data

    def _handle_end(self) -> bool:
        """Handle the end of a reply; return whether another one follows."""
        self.ended = True
        self._cancel_wait_timer()
        self.client.release(self)
        return False

    def _notify(self) -> None:
        if self.waiter is not None:
            self.waiter.resolve(None)


def new_parser() -> h11.Connection:
    """Return the parser of a connection without a request."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
