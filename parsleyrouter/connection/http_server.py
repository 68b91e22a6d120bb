"""HTTP server: circuits.web with asynchronous and streaming handlers."""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

from circuits import handler
from circuits.net.events import close
from circuits.web.servers import BaseServer

from parsleyrouter.connection.http import HttpReply, HttpRequest, refusal_reply
from parsleyrouter.connection.socket_set import SocketSet
from parsleyrouter.connection.stream import send_some
from parsleyrouter.ids import Address
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.loop import Loop, Promise, Task

__all__ = ["Exchange", "HttpServer", "ReplyStream", "Routes"]

DRAIN_ABOVE_BYTES = 256 * 1024
"""Unsent bytes to a slow caller above which a response waits, and reading from its endpoint."""

DRAIN_POLL_S = 0.01

log = logging.getLogger(__name__)

Handler = Callable[[Any, "Exchange"], Awaitable[HttpReply | None]]


@dataclass
class _Route:
    method: str
    parts: list[str]
    handler: Handler


class Routes:
    """Registry of the handlers of one HTTP API, filled by the decorator ``add``."""

    def __init__(self) -> None:
        self.routes: list[_Route] = []

    def add(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Register a handler; ``{name}`` matches a segment, a final ``{name:rest}`` the rest."""

        def register(function: Handler) -> Handler:
            self.routes.append(_Route(method, path.strip("/").split("/"), function))
            return function

        return register

    def find(self, method: str, path: str) -> tuple[Handler, dict[str, str]] | None:
        """Return the handler of a request and its path parameters."""
        segments = path.strip("/").split("/")
        for route in self.routes:
            if route.method != method:
                continue
            values = _match(route.parts, segments)
            if values is not None:
                return route.handler, values
        return None


def _match(parts: list[str], segments: list[str]) -> dict[str, str] | None:
    values: dict[str, str] = {}
    for index, part in enumerate(parts):
        if part.endswith(":rest}"):
            values[part[1:-6]] = "/".join(segments[index:])
            return values
        if index >= len(segments):
            return None
        if part.startswith("{"):
            values[part[1:-1]] = segments[index]
        elif part != segments[index]:
            return None
    return values if len(parts) == len(segments) else None


class ReplyStream:
    """A reply that is sent incrementally."""

    def __init__(self, server: "HttpServer", res: Any) -> None:
        self.server = server
        self.res = res
        self.sock = res.request.sock
        self.finished = False

    @property
    def disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        return self.sock not in self.server.server._clients

    def send(self, data: bytes) -> None:
        """Send one piece without waiting."""
        if self.finished or self.disconnected or not data:
            return
        if self.res.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.server.send(self.sock, data)

    async def drain(self) -> None:
        """Wait until the send buffer to the caller has room."""
        await self.server.drain(self.sock)

    def finish(self) -> None:
        """End the reply as complete."""
        if self.finished:
            return
        self.finished = True
        if self.res.chunked and not self.disconnected:
            self.server.send(self.sock, b"0\r\n\r\n")
        self.server.end(self.res)

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete reply."""
        if not self.finished:
            self.finished = True
            self.res.close = True
            self.server.end(self.res)


@dataclass
class Exchange:
    """One request being answered."""

    server: "HttpServer"
    res: Any
    request: HttpRequest
    values: Mapping[str, str] = field(default_factory=dict)
    stream: ReplyStream | None = None
    upload: AsyncIterator[bytes] | None = None

    def open_stream(self, status: int, headers: Mapping[str, str]) -> ReplyStream:
        """Send status and headers and return the stream of the body."""
        self.res.status = status
        for name, value in headers.items():
            self.res.headers[name.title()] = value
        self.res.body = iter(())
        self.res.prepare()
        self.server.send(self.res.request.sock, bytes(self.res) + bytes(self.res.headers))
        self.stream = ReplyStream(self.server, self.res)
        return self.stream

    def on_caller_disconnect(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` if the caller disconnects before the response has ended."""
        self.server.disconnect_callbacks[self.res.request.sock] = callback


class HttpServer(BaseServer):
    """Serve routes on one address; ``context`` is passed to each handler.

    While ``closing`` is set, each connection closes after its current response.
    """

    def __init__(
        self, loop: Loop, bind: Address, routes: Routes, context: Any, channel: str = "web"
    ) -> None:
        super().__init__(bind, channel=channel, display_banner=False)
        self.server._clients = SocketSet()
        self.loop = loop
        self.routes = routes
        self.context = context
        self.tasks: dict[Any, Task[Any]] = {}
        self.disconnect_callbacks: dict[Any, Callable[[], None]] = {}
        self.closing = False
        self.address: Promise[Address] = loop.promise()

    def bound_address(self) -> Address:
        """Return the address that the system chose."""
        return Address(f"{self.host}:{self.port}")

    def buffered_bytes(self, sock: Any) -> int:
        """Return the number of bytes queued for a caller."""
        return sum(map(len, self.server._buffers.get(sock, ())))

    def drain_above_bytes(self) -> int:
        """Return the unsent bytes above which a response waits for its caller."""
        return DRAIN_ABOVE_BYTES

    async def drain(self, sock: Any) -> None:
        """Wait until the send buffer to a caller has room, or the caller has gone."""
        while sock in self.server._clients and self.buffered_bytes(sock) > self.drain_above_bytes():
            await self.loop.sleep(DRAIN_POLL_S)

    def open_requests(self) -> list[str]:
        """Describe the requests that are being received, answered or not yet fully sent."""
        running = {sock: task.name for sock, task in self.tasks.items()}
        arriving = dict.fromkeys(self.http._buffers, "request still arriving")
        unsent = {
            sock: f"{len(pieces)} unsent pieces of a response"
            for sock, pieces in self.server._buffers.items()
            if pieces
        }
        return list((unsent | arriving | running).values())

    def send(self, sock: Any, data: bytes) -> None:
        """Send to a caller what the socket accepts now and queue the rest."""
        if sock not in self.server._clients:
            return
        if not self.server._buffers.get(sock):
            try:
                data = send_some(sock, data)
            except OSError:
                self.fire(close(sock))
                return
        if data:
            self.server.write(sock, data)

    def end(self, res: Any) -> None:
        """Remove an answered request; close its connection if the response asks for it."""
        sock = res.request.sock
        self.disconnect_callbacks.pop(sock, None)
        self.tasks.pop(sock, None)
        self.http._clients.pop(sock, None)
        res.done = True
        if res.close:
            self.fire(close(sock))

    @handler("ready", override=True)
    def _on_ready(self, server: Any, bind: Any) -> None:
        self.address.resolve(self.bound_address())

    @handler("signal", override=True)
    def _on_signal(self, *_: Any) -> None:
        """Leave signal handling to the process."""

    @handler("request", priority=1.0)
    def _on_request(self, event: Any, req: Any, res: Any, *_: Any) -> bool:
        event.stop()
        request = HttpRequest(
            method=req.method,
            path=req.path,
            query=dict(parse_qsl(req.qs or "")),
            headers={name.lower(): value for name, value in req.headers.items()},
            body=req.body.getvalue(),
            remote=req.remote.ip or "",
        )
        self.start_answer(Exchange(self, res, request))
        return True

    def start_answer(self, exchange: Exchange) -> None:
        """Run the handler of a request as a task."""
        res, request = exchange.res, exchange.request
        res.close = res.close or self.closing
        task = self.loop.spawn(self._answer(exchange), f"{request.method} {request.path}")
        if not task.done:
            self.tasks[res.request.sock] = task

    async def _answer(self, exchange: Exchange) -> None:
        request = exchange.request
        found = self.routes.find(request.method, request.path)
        if found is None:
            self._reply(exchange, refusal_reply(_no_route(request)))
            return
        function, exchange.values = found
        try:
            reply = await function(self.context, exchange)
        except Exception:
            log.exception("handler failed", extra={"path": request.path})
            reply = refusal_reply(_INTERNAL)
        if exchange.stream is None:
            self._reply(exchange, reply or refusal_reply(_INTERNAL))
        elif not exchange.stream.finished:
            exchange.stream.abort()

    def _reply(self, exchange: Exchange, reply: HttpReply) -> None:
        res = exchange.res
        sock = res.request.sock
        res.status = reply.status
        for name, value in reply.headers.items():
            res.headers[name.title()] = value
        res.body = reply.body
        res.prepare()
        body = b"" if res.request.method == "HEAD" else reply.body
        self.send(sock, bytes(res) + bytes(res.headers) + body)
        self.end(res)

    @handler("disconnect", priority=1.0)
    def _on_disconnect(self, sock: Any) -> None:
        self.http._buffers.pop(sock, None)
        self.tasks.pop(sock, None)
        callback = self.disconnect_callbacks.pop(sock, None)
        if callback is not None:
            callback()


_INTERNAL = Refusal(
    RefusalKind.INTERNAL, "internal error: see the log, then try again", ExecutionStatus.UNKNOWN
)


def _no_route(request: HttpRequest) -> Refusal:
    message = f"no such path {request.method} {request.path}: see docs/API.md"
    return Refusal(RefusalKind.NOT_FOUND, message, ExecutionStatus.NOT_RUN)
