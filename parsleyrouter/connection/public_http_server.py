"""HTTP server for untrusted callers: bounded memory, one response at a time per connection.

circuits.web buffers whole bodies, does not check their length and lets pipelined bytes reach the
object of the request in progress. Here h11 parses instead, one request at a time, and a large
batch body is streamed to its handler.
"""

import logging
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qsl

from circuits import handler
from circuits.web import wrappers

from parsleyrouter.connection.caller_admission import CallerAdmission
from parsleyrouter.connection.caller_connection import CallerConnection
from parsleyrouter.connection.connection_stage import ConnectionStage, RefusalCause
from parsleyrouter.connection.http import HttpRequest
from parsleyrouter.connection.http_limits import HttpLimits, RequestHead, encode_refusal
from parsleyrouter.connection.http_server import Exchange, HttpServer, Routes
from parsleyrouter.connection.read_queue import ReadQueue
from parsleyrouter.connection.upload import Upload
from parsleyrouter.ids import Address
from parsleyrouter.outcome import ExecutionStatus, Refusal, RefusalKind
from parsleyrouter.process.loop import Loop

__all__ = ["PublicHttpServer"]

READ_BYTES = 64 * 1024
READ_BYTES_OUTSIDE_BODY = 16 * 1024
SWEEP_INTERVAL_S = 0.5

STREAMED_ROUTES = frozenset({("POST", "/v1/batches")})

log = logging.getLogger(__name__)

_TOO_SLOW = Refusal(
    RefusalKind.BAD_REQUEST,
    "the request came too slowly: send it again whole",
    ExecutionStatus.NOT_RUN,
)


class _RequestInfo:
    """The request attributes that a response of circuits.web reads."""

    def __init__(self, server: "PublicHttpServer", sock: Any, head: RequestHead) -> None:
        self.server = server
        self.sock = sock
        self.method = head.method
        self.protocol = head.protocol
        self.cookie: dict[str, Any] = {}


class PublicHttpServer(HttpServer):
    """Refuse requests that would use too much memory or mix up responses."""

    def __init__(
        self,
        loop: Loop,
        bind: Address,
        routes: Routes,
        context: Any,
        channel: str = "web",
        limits: HttpLimits | None = None,
    ) -> None:
        super().__init__(loop, bind, routes, context, channel=channel)
        self.limits = limits or HttpLimits()
        self.connections: dict[Any, CallerConnection] = {}
        self.buffered = 0
        self.queue = ReadQueue(loop, self._serve, self._watch, self.fire)
        self.admission = CallerAdmission(self)
        self.unsent_bytes = 0
        """Unsent bytes of all responses, at most; exact after each sweep."""
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def open_requests(self) -> list[str]:
        """Describe the requests that are being received, answered or not yet fully sent."""
        arriving = [
            f"request still arriving: {connection.describe()}"
            for sock, connection in self.connections.items()
            if connection.stage in (ConnectionStage.HEAD, ConnectionStage.BODY)
            and sock not in self.tasks
        ]
        return super().open_requests() + arriving

    def upload_count(self) -> int:
        """Return the number of streamed uploads."""
        return sum(1 for one in self.connections.values() if one.upload is not None)

    @property
    def refused(self) -> Mapping[RefusalCause, int]:
        """How many clients were refused or disconnected, by cause."""
        return self.admission.refused

    def client_bytes(self) -> int:
        """Return the bytes of requests and unread responses."""
        return self.buffered + self.unsent_bytes

    def client_count(self) -> int:
        """Return the number of open connections."""
        return len(self.connections)

    def streams_body(self, head: RequestHead) -> bool:
        """Return whether the body of a request is streamed to its handler."""
        return (head.method, head.path.rstrip("/")) in STREAMED_ROUTES

    def refuse(self, sock: Any, refusal: Refusal, cause: RefusalCause) -> None:
        """Send a refusal with ``Connection: close``."""
        remote = self.connections[sock].remote if sock in self.connections else ""
        self.admission.note(cause, remote, refusal.message)
        self.send(sock, encode_refusal(refusal))

    def begin(self, connection: CallerConnection, body: bytes, upload: Upload | None) -> None:
        """Start answering a request whose body is complete or arrives as an upload."""
        head = connection.head
        assert head is not None
        sock = connection.sock
        request = HttpRequest(
            method=head.method,
            path=head.path,
            query=dict(parse_qsl(head.query)),
            headers=head.headers,
            body=body,
            remote=connection.remote,
        )
        res = wrappers.Response(_RequestInfo(self, sock, head))
        res.close = not head.keep_alive or upload is not None
        self.start_answer(Exchange(self, res, request, upload=upload))

    def end(self, res: Any) -> None:
        """Remove an answered request and read the next one, or close the connection."""
        sock = res.request.sock
        connection = self.connections.get(sock)
        if connection is None:
            super().end(res)
            return
        if connection.body_pending:
            res.close = False
            super().end(res)
            connection.discard()
            return
        super().end(res)
        if not res.close:
            connection.start_next_request()

    def pause(self, sock: Any) -> None:
        """Stop reading from a caller."""
        self._set_paused(sock, True)

    def resume(self, sock: Any) -> None:
        """Resume reading from a caller."""
        self._set_paused(sock, False)
        connection = self.connections.get(sock)
        if connection is not None and connection.parseable:
            self.parse_later(sock)

    def parse_later(self, sock: Any) -> None:
        """Parse bytes that a connection holds in its next share of a turn."""
        if sock in self.connections:
            self.queue.add(sock)

    def _set_paused(self, sock: Any, paused: bool) -> None:
        connection = self.connections.get(sock)
        if connection is not None:
            connection.paused = paused
            self._watch(sock)

    def _watch(self, sock: Any) -> None:
        """Poll a connection unless it is paused or waits for its next share of a turn."""
        connection = self.connections.get(sock)
        if connection is None or sock not in self.server._clients:
            return
        if connection.paused or sock in self.queue.busy:
            self.server._poller.removeReader(sock)
        else:
            self.server._poller.addReader(self.server, sock)

    def _serve(self, sock: Any) -> bool:
        """Parse or read for one share of a turn; return whether there may be more of either."""
        connection = self.connections.get(sock)
        if connection is None or sock not in self.server._clients:
            return False
        if connection.parseable:
            connection.parse_some()
            return connection.parseable
        if connection.paused:
            return False
        max_bytes = READ_BYTES if connection.body_pending else READ_BYTES_OUTSIDE_BODY
        try:
            data = sock.recv(max_bytes)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as failure:
            log.debug("caller not read", extra={"error": str(failure)})
            self.server._close(sock)
            return False
        if not data:
            self.server.close(sock)
            return False
        connection.receive(data)
        return connection.parseable or (len(data) == max_bytes and not connection.paused)

    def send(self, sock: Any, data: bytes) -> None:
        """Send to a caller; close the slowest readers if all of them hold too much."""
        super().send(sock, data)
        if self.server._buffers.get(sock):
            self.unsent_bytes += len(data)
            if self.unsent_bytes > self.limits.unsent_bytes:
                self._drop_slow_readers()

    def drain_above_bytes(self) -> int:
        """Return the unsent bytes above which a response waits for its caller."""
        share = self.limits.unsent_bytes // max(1, len(self.connections))
        return min(super().drain_above_bytes(), share)

    def _drop_slow_readers(self) -> None:
        unsent = {sock: self.buffered_bytes(sock) for sock in self.connections}
        self.unsent_bytes = sum(unsent.values())
        slowest = sorted(
            (sock for sock in unsent if unsent[sock]),
            key=lambda sock: (self.connections[sock].unsent_since_s, -unsent[sock]),
        )
        for sock in slowest:
            if self.unsent_bytes <= self.limits.unsent_bytes:
                return
            remote = self.connections[sock].remote
            reason = "unread responses take too much memory"
            self.admission.note(RefusalCause.UNREAD, remote, reason, unsent_bytes=unsent[sock])
            self.unsent_bytes -= unsent[sock]
            self.connections[sock].discard()
            self.server._close(sock)

    @handler("read_turn")
    def _on_read_turn(self) -> None:
        self.queue.run()

    @handler("_write", priority=0)
    def _on_sent(self, sock: Any) -> None:
        connection = self.connections.get(sock)
        if connection is not None and connection.parseable and not self.queue.waits(sock):
            self.parse_later(sock)

    @handler("_read", priority=2)
    def _on_readable(self, event: Any, sock: Any) -> None:
        if sock in self.connections:
            event.stop()
            self.queue.add(sock)

    @handler("connect", priority=100)
    def _on_caller_connect(self, sock: Any, host: str, port: int) -> None:
        self.connections[sock] = connection = CallerConnection(self, sock, host)
        self.admission.admit(connection)

    @handler("read", priority=100)
    def _on_caller_read(self, event: Any, sock: Any, data: bytes) -> None:
        event.stop()
        connection = self.connections.get(sock)
        if connection is not None:
            connection.receive(data)

    @handler("disconnect", priority=100)
    def _on_caller_disconnect(self, sock: Any) -> None:
        self.forget(sock)

    def forget(self, sock: Any) -> None:
        """Remove a connection that has closed."""
        self.queue.discard(sock)
        connection = self.connections.pop(sock, None)
        if connection is not None:
            connection.handle_disconnect()

    def _sweep(self) -> None:
        now = self.loop.now()
        self.admission.sweep()
        self.unsent_bytes = 0
        for sock, connection in list(self.connections.items()):
            unsent_bytes = self.buffered_bytes(sock)
            self.unsent_bytes += unsent_bytes
            if connection.is_overdue(now, unsent_bytes):
                self.drop_overdue(sock, connection)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def drop_overdue(self, sock: Any, connection: CallerConnection) -> None:
        """Refuse or close a connection that has exceeded one of its timeouts."""
        if connection.stage in (ConnectionStage.HEAD, ConnectionStage.BODY):
            connection.refuse(_TOO_SLOW, RefusalCause.SLOW)
        elif connection.upload is not None and connection.body_pending:
            connection.upload.abort("the rest of the body did not arrive in time")
        else:
            # Bytes that were read before the close takes effect must not begin a request.
            connection.discard()
            self.server._close(sock)
