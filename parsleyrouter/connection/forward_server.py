"""HTTP server whose responses are forwarded as they arrive, byte for byte."""

import itertools
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from circuits.net.events import close

from parsleyrouter.connection.caller_connection import CallerConnection
from parsleyrouter.connection.endpoint_client import RawHeaders
from parsleyrouter.connection.http_limits import HttpLimits, RequestHead
from parsleyrouter.connection.http_server import Routes
from parsleyrouter.connection.public_http_server import PublicHttpServer
from parsleyrouter.connection.upload import Upload
from parsleyrouter.ids import Address
from parsleyrouter.process.loop import Loop

__all__ = ["AnswerExchange", "CallerExchange", "ForwardServer"]

_server_numbers = itertools.count(1)

log = logging.getLogger(__name__)


class CallerExchange:
    """One request of a caller and its response."""

    def __init__(
        self, server: "ForwardServer", connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        self.server = server
        self.sock = connection.sock
        self.remote = connection.remote
        self.head = head
        self.body = body
        self.received_s = connection.request_started_s
        self.connection_age_s = self.received_s - connection.opened_s
        self.chunked = False
        self.headers_sent = False
        self.finished = False
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        return self.sock not in self.server.server._clients

    @property
    def closes_connection(self) -> bool:
        """Whether the connection closes after this response."""
        return self.server.closing or not self.head.keep_alive

    def stop_fields(self) -> dict[str, object]:
        """Return the log fields of a request that arrived during a graceful shutdown."""
        if not self.server.closing:
            return {}
        return {
            "stopping_s": round(self.received_s - self.server.closing_since_s, 3),
            "remote": self.remote,
            "connection_age_s": round(self.connection_age_s, 3),
        }

    def begin(self, status: int, reason: bytes, headers: RawHeaders, length: int | None) -> None:
        """Send status and headers; a body without a known length is sent in chunks."""
        if self.finished:
            return
        self.headers_sent = True
        if not reason:
            reason = HTTPStatus(status).phrase.encode() if status in _KNOWN_STATUSES else b"Unknown"
        lines = [b"HTTP/1.1 %d %s" % (status, reason)]
        lines += [b"%s: %s" % header for header in headers]
        if length is not None:
            lines.append(b"Content-Length: %d" % length)
        elif self.head.protocol >= (1, 1):
            self.chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        if self.closes_connection:
            lines.append(b"Connection: close")
        self.server.send(self.sock, b"\r\n".join(lines) + b"\r\n\r\n")

    def send(self, data: bytes) -> None:
        """Send a piece of the body without waiting."""
        if self.finished or not data:
            return
        if self.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.server.send(self.sock, data)

    async def drain(self) -> None:
        """Wait until the send buffer to the caller has room."""
        await self.server.drain(self.sock)

    def finish(self) -> None:
        """End the response as complete."""
        if self.finished:
            return
        if self.chunked:
            self.server.send(self.sock, b"0\r\n\r\n")
        self._end(self.closes_connection or (not self.chunked and self.head.protocol < (1, 1)))

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete response."""
        if not self.finished:
            self._end(close_now=True)

    def reply(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a complete response."""
        self.begin(status, b"", headers, len(body))
        if self.head.method != "HEAD":
            self.send(body)
        self.finish()

    def _end(self, close_now: bool) -> None:
        self.finished = True
        self.on_disconnect = None
        self.server.end_exchange(self.sock, close_now)


AnswerExchange = Callable[[CallerExchange], Awaitable[None]]


class ForwardServer(PublicHttpServer):
    """Pass each complete request to ``answer``, which must finish the exchange."""

    def __init__(
        self, loop: Loop, bind: Address, answer: AnswerExchange, limits: HttpLimits | None = None
    ) -> None:
        channel = f"forward-{next(_server_numbers)}"
        super().__init__(loop, bind, Routes(), None, channel=channel, limits=limits)
        self.answer = answer
        self.exchanges: dict[Any, CallerExchange] = {}
        self.closing_since_s = 0.0
        """When the graceful shutdown of the process began; monotonic."""
        self.last_request_s = 0.0
        """When the latest request had arrived in full; monotonic."""

    def streams_body(self, head: RequestHead) -> bool:
        """Return false: a body is forwarded once it is complete."""
        return False

    def begin(self, connection: CallerConnection, body: bytes, upload: Upload | None) -> None:
        """Start answering a request whose body is complete."""
        assert connection.head is not None
        self.last_request_s = self.loop.now()
        exchange = CallerExchange(self, connection, connection.head, body)
        self.exchanges[exchange.sock] = exchange
        self.disconnect_callbacks[exchange.sock] = lambda: self._on_disconnected(exchange)
        name = f"{exchange.head.method} {exchange.head.path}"
        task = self.loop.spawn(self._answer_one(exchange), name)
        if not task.done:
            self.tasks[exchange.sock] = task

    def end_exchange(self, sock: Any, close_now: bool) -> None:
        """Remove a finished exchange and read the next request, or close the connection."""
        self.disconnect_callbacks.pop(sock, None)
        self.tasks.pop(sock, None)
        self.exchanges.pop(sock, None)
        connection = self.connections.get(sock)
        if connection is None:
            return
        if close_now:
            connection.discard()
            self.fire(close(sock))
        else:
            connection.start_next_request()

    def start_closing(self) -> None:
        """Close each connection after its current response from now on."""
        self.closing, self.closing_since_s = True, self.loop.now()

    def close_idle(self, idle_s: float) -> int:
        """Close the connections without a request for a time; return how many are idle for less."""
        since_s = self.loop.now() - idle_s
        recent = 0
        for sock, connection in list(self.connections.items()):
            if not connection.idle or sock in self.exchanges:
                continue
            if connection.progress_s > since_s:
                recent += 1
                continue
            # The close takes effect later; a request that arrives until then must not begin.
            connection.discard()
            self.fire(close(sock))
        return recent

    def reply_to_unanswered(self, status: int) -> None:
        """Answer the requests of which the caller has received nothing yet."""
        for exchange in list(self.exchanges.values()):
            if not exchange.headers_sent:
                exchange.reply(status, (), b"")

    async def _answer_one(self, exchange: CallerExchange) -> None:
        try:
            await self.answer(exchange)
        except Exception:
            log.exception("request failed", extra={"path": exchange.head.path})
            if not exchange.headers_sent:
                exchange.reply(HTTPStatus.INTERNAL_SERVER_ERROR, (), b"")
        finally:
            exchange.abort()

    def _on_disconnected(self, exchange: CallerExchange) -> None:
        self.exchanges.pop(exchange.sock, None)
        exchange.finished = True
        if exchange.on_disconnect is not None:
            exchange.on_disconnect()


_KNOWN_STATUSES = frozenset(HTTPStatus)
